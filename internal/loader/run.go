package loader

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/checker"
	"github.com/flamingotack/flamingotack/internal/recorder"
)

// Target is a set of nodes that are already running.
type Target struct {
	// Addresses are the nodes' addresses for callers, IP addresses with ports.
	Addresses []string
}

// Run starts nodes with emulated backend servers in this process, runs a
// scenario with the given policy and measures it. The same seed gives the same
// arrivals.
func Run(ctx context.Context, s *Scenario, policy string, seed uint64) (result Result, err error) {
	defer func() { err = errors.Wrapf(err, "run scenario %q with policy %q and seed %d", s.Name, policy, seed) }()
	r := recorder.New()
	d, err := startDeployment(ctx, s, policy, seed, r)
	if err != nil {
		return Result{}, err
	}
	g := newLoadGenerator(s, policy, seed, r, d.callerAddresses())
	watchCtx, stopWatch := context.WithCancel(ctx)
	watchEnded := make(chan struct{})
	go func() {
		d.recordVersionsInForce(watchCtx)
		close(watchEnded)
	}()
	measureStart := time.Now().Add(s.WarmupTime.Std())
	loadCtx, cancel := context.WithDeadline(ctx, measureStart.Add(s.Duration.Std()))
	defer cancel()
	eventErrors := make(chan error, 1)
	go func() { eventErrors <- (&eventRunner{deployment: d, generator: g}).run(loadCtx, measureStart) }()
	g.run(loadCtx)
	err = <-eventErrors
	stopWatch()
	<-watchEnded
	d.close()
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return Result{}, err
	}
	return g.measure(measureStart), nil
}

// RunAgainst runs a scenario's load against running nodes. It supports only
// surge events and returns an error for all others. Only what callers see is
// measured and checked.
func RunAgainst(ctx context.Context, s *Scenario, target Target, seed uint64) (result Result, err error) {
	defer func() { err = errors.Wrapf(err, "run scenario %q with seed %d", s.Name, seed) }()
	for _, e := range s.Events {
		if e.Kind != EventSurge {
			return Result{}, errors.Newf("an event of kind %q needs nodes that the tool runs itself, only %q is supported here", e.Kind, EventSurge)
		}
	}
	nodes := make([]nodeAddress, 0, len(target.Addresses))
	for _, a := range target.Addresses {
		nodes = append(nodes, nodeAddress{a, a})
	}
	g := newLoadGenerator(s, "", seed, recorder.New(), nodes)
	measureStart := time.Now().Add(s.WarmupTime.Std())
	loadCtx, cancel := context.WithDeadline(ctx, measureStart.Add(s.Duration.Std()))
	defer cancel()
	eventErrors := make(chan error, 1)
	go func() { eventErrors <- (&eventRunner{generator: g}).run(loadCtx, measureStart) }()
	g.run(loadCtx)
	if err := errors.Join(<-eventErrors, ctx.Err()); err != nil {
		return Result{}, err
	}
	return g.measure(measureStart), nil
}

// measure evaluates a run whose warm-up ended at measureStart.
func (l *loadGenerator) measure(measureStart time.Time) Result {
	history := l.recorder.History()
	m := &measurer{
		scenario:     l.scenario,
		measureStart: measureStart,
		requests:     l.requests,
		history:      history,
	}
	result := m.result()
	result.Policy = l.policy
	result.Seed = l.seed
	result.SkippedRequests = int(l.skipped.Load())
	result.Violations = violationsByGuarantee(checker.Verify(history, l.checkerBounds()))
	return result
}

// checkerBounds returns the default bounds with the largest retry budget of
// the scenario's services.
func (l *loadGenerator) checkerBounds() checker.Bounds {
	b := checker.DefaultBounds()
	for _, v := range l.scenario.Services {
		if v.MaxChainRetries != nil {
			b.MaxChainRetries = max(b.MaxChainRetries, *v.MaxChainRetries)
		}
	}
	return b
}

func violationsByGuarantee(violations []checker.Violation) (counts []GuaranteeViolations) {
	for _, g := range checker.Guarantees() {
		one := GuaranteeViolations{Guarantee: g}
		for _, v := range violations {
			if v.Guarantee != g {
				continue
			}
			if one.Count == 0 {
				one.FirstViolation = v.Detail
			}
			one.Count++
		}
		if one.Count > 0 {
			counts = append(counts, one)
		}
	}
	return counts
}
