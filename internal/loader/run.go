package loader

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/checker"
	"github.com/flamingotack/flamingotack/internal/recorder"
)

// Target is a set of running nodes.
type Target struct {
	// Addresses are those for callers, IP numbers with ports.
	Addresses []string
}

// Run runs a scenario over nodes and stand-ins in this process, with that
// policy, and measures it. The same seed gives the same arrivals.
func Run(ctx context.Context, s *Scenario, policy string, seed uint64) (result Result, err error) {
	defer func() { err = errors.Wrapf(err, "run scenario %q with policy %q and seed %d", s.Name, policy, seed) }()
	r := recorder.New()
	f, err := startFleet(ctx, s, policy, seed, r)
	if err != nil {
		return Result{}, err
	}
	l := newLoad(s, policy, seed, r, f.callers())
	watching, stopWatch := context.WithCancel(ctx)
	watched := make(chan struct{})
	go func() {
		f.watch(watching)
		close(watched)
	}()
	begin := time.Now().Add(s.WarmupTime.Std())
	loading, cancel := context.WithDeadline(ctx, begin.Add(s.Duration.Std()))
	defer cancel()
	triggered := make(chan error, 1)
	go func() { triggered <- (&trigger{fleet: f, load: l}).run(loading, begin) }()
	l.run(loading)
	err = <-triggered
	stopWatch()
	<-watched
	f.close()
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return Result{}, err
	}
	return l.measure(begin), nil
}

// RunAgainst puts a scenario's load on running nodes. Only surges are brought
// about, and only what callers see is measured and checked.
func RunAgainst(ctx context.Context, s *Scenario, target Target, seed uint64) (result Result, err error) {
	defer func() { err = errors.Wrapf(err, "run scenario %q with seed %d", s.Name, seed) }()
	for _, e := range s.Events {
		if e.Kind != EventSurge {
			return Result{}, errors.Newf("an event of kind %q needs nodes that the tool runs itself", e.Kind)
		}
	}
	nodes := make([]address, 0, len(target.Addresses))
	for _, a := range target.Addresses {
		nodes = append(nodes, address{a, a})
	}
	l := newLoad(s, "", seed, recorder.New(), nodes)
	begin := time.Now().Add(s.WarmupTime.Std())
	loading, cancel := context.WithDeadline(ctx, begin.Add(s.Duration.Std()))
	defer cancel()
	triggered := make(chan error, 1)
	go func() { triggered <- (&trigger{load: l}).run(loading, begin) }()
	l.run(loading)
	if err := errors.Join(<-triggered, ctx.Err()); err != nil {
		return Result{}, err
	}
	return l.measure(begin), nil
}

// measure evaluates a run whose warm-up ended at begin.
func (l *load) measure(begin time.Time) Result {
	history := l.recorder.History()
	m := &measurer{
		scenario: l.scenario,
		begin:    begin,
		requests: l.requests,
		history:  history,
	}
	result := m.result()
	result.Policy = l.policy
	result.Seed = l.seed
	result.SkippedRequests = int(l.skipped.Load())
	result.Violations = brokenPromises(checker.Verify(history, l.bounds()))
	return result
}

// bounds are the promises' bounds with the chain budget of the scenario.
func (l *load) bounds() checker.Bounds {
	b := checker.DefaultBounds()
	for _, v := range l.scenario.Services {
		if v.MaxChainRetries != nil {
			b.MaxChainRetries = max(b.MaxChainRetries, *v.MaxChainRetries)
		}
	}
	return b
}

func brokenPromises(breaches []checker.Violation) (broken []GuaranteeViolations) {
	for _, p := range checker.Guarantees() {
		one := GuaranteeViolations{Guarantee: p}
		for _, b := range breaches {
			if b.Guarantee != p {
				continue
			}
			if one.Count == 0 {
				one.FirstViolation = b.Detail
			}
			one.Count++
		}
		if one.Count > 0 {
			broken = append(broken, one)
		}
	}
	return broken
}
