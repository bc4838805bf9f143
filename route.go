package flamingotack

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/indexer"
	"github.com/flamingotack/flamingotack/internal/messenger"
	"github.com/flamingotack/flamingotack/internal/parser"
	"github.com/flamingotack/flamingotack/internal/retrier"
	"github.com/flamingotack/flamingotack/internal/router"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// maxPauses bounds the waits of one attempt.
	maxPauses = 4
	// sameNodePause is the mean wait before the only node that is left gets
	// another attempt.
	sameNodePause = 50 * time.Millisecond
)

type (
	// crowd are the nodes in service that offer one service.
	crowd struct {
		candidates []router.Candidate
		members    map[string]folder.Member
	}

	// route is the filter that picks the node that runs a request, and
	// another one when that is allowed.
	route struct {
		node *Node

		mu        sync.Mutex
		random    *rand.Rand
		router    router.Router
		index     *indexer.Index
		crowds    map[string]*crowd
		throttles map[string]*retrier.Throttle
	}

	// routeBody tells the router how the answer ended.
	routeBody struct {
		io.ReadCloser
		route *route
		name  string
		once  sync.Once
	}

	// trip is the way of one request through its attempts.
	trip struct {
		route    *route
		request  exchanger.Request
		crowd    *crowd
		throttle *retrier.Throttle
		attempts retrier.AttemptTracker
		tried    []string
	}
)

func newRoute(n *Node) *route {
	return &route{
		node:      n,
		random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		router:    router.Router{Domain: n.self.Domain, Region: n.self.Region},
		throttles: map[string]*retrier.Throttle{},
	}
}

// Handle sends r to one node after the other while that may help and the
// budget allows it.
func (t *route) Handle(ctx context.Context, r *exchanger.Request) (*exchanger.Answer, error) {
	x := t.node.index.Load()
	service := x.Service(r.Service)
	if service != nil && service.Policy == parser.PolicyFixed {
		return t.handleFixed(ctx, r, x, *service.MaxChainRetries)
	}
	p := t.begin(x, r)
	if p == nil {
		refusal := exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonRetryBudget, "a tenth of the node's calls to service %q are extra attempts already", r.Service)
		refusal.UnusedRetries = r.RetriesLeft
		return nil, refusal
	}
	for {
		answer, refusal := p.attempt(ctx)
		if refusal == nil {
			return answer, nil
		}
		if !p.again(ctx, refusal) {
			return nil, p.attempts.FinalRefusal(refusal)
		}
	}
}

// begin counts a first attempt. It returns nil for a call that the backend
// server repeats when there are too many of them.
func (t *route) begin(x *indexer.Index, r *exchanger.Request) *trip {
	if r.Service == t.node.self.Service {
		t.report(t.node.guard.load())
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	throttle := t.throttles[r.Service]
	if throttle == nil {
		throttle = &retrier.Throttle{}
		t.throttles[r.Service] = throttle
	}
	if r.AttemptNumber == 0 {
		throttle.RecordFirstAttempt()
	} else if !throttle.AllowRetry() {
		return nil
	}
	return &trip{
		route:    t,
		request:  *r,
		crowd:    t.crowd(x, r.Service),
		throttle: throttle,
		attempts: retrier.AttemptTracker{RetriesLeft: r.RetriesLeft, Idempotent: r.Idempotent},
	}
}

// crowd returns the nodes in service of a service. The caller holds the lock.
func (t *route) crowd(x *indexer.Index, service string) *crowd {
	if t.index != x {
		t.index = x
		t.crowds = map[string]*crowd{}
		t.router.Prune(func(name string) bool {
			_, found := x.State.Member(name)
			return found
		})
	}
	c := t.crowds[service]
	if c == nil {
		c = newCrowd(x, service)
		t.crowds[service] = c
	}
	return c
}

// end tells the router how a request ended.
func (t *route) end(name string, o router.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.router.RecordOutcome(t.node.edges.Clock.Now(), name, o, t.random.Float64())
}

// pick returns the node for the next attempt. The refusal says why there is
// none.
func (t *route) pick(p *trip) (m folder.Member, refusal *exchanger.Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, verdict := t.router.Pick(t.node.edges.Clock.Now(), t.random, p.crowd.candidates, p.request.Priority, p.tried)
	switch verdict {
	case router.VerdictPicked:
		return p.crowd.members[c.Name], nil
	case router.VerdictShed:
		refusal = exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonOverload,
			"every backend server of service %q sheds requests of priority %s", p.request.Service, p.request.Priority)
	default:
		refusal = exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonNoServer,
			"service %q has no backend server that takes requests", p.request.Service)
	}
	refusal.RetryAfter = router.RetryAfter(t.random.Float64())
	return m, refusal
}

// report takes what a guard tells about its backend server.
func (t *route) report(l *messenger.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.router.Report(t.node.edges.Clock.Now(), l.GetName(), router.Report{
		Incarnation:            l.GetIncarnation(),
		Sequence:               l.GetSequence(),
		Limit:                  int(l.GetLimit()),
		Running:                int(l.GetRunning()),
		Queued:                 int(l.GetQueued()),
		LowestAdmittedPriority: exchanger.Priority(l.GetShed()),
		Draining:               l.GetDraining(),
	})
}

func (t *route) send(ctx context.Context, m folder.Member, r *exchanger.Request) (*exchanger.Answer, error) {
	if m.Incarnation == t.node.self.Incarnation {
		return t.node.guard.Handle(ctx, r)
	}
	return t.node.sender.Send(ctx, m, r)
}

// again reports whether to make another attempt after a refusal.
func (p *trip) again(ctx context.Context, refusal *exchanger.Refusal) bool {
	if ctx.Err() != nil || len(p.tried) == 0 {
		return false
	}
	if p.exhausted() && refusal.Ran == exchanger.RanNo {
		return false
	}
	p.route.mu.Lock()
	step := p.attempts.NextStep(p.throttle, refusal)
	spread := p.route.random.Float64()
	p.route.mu.Unlock()
	if step == retrier.StepStop {
		return false
	}
	if p.exhausted() {
		p.tried = p.tried[:0]
		timekeeper.Sleep(ctx, time.Duration(float64(sameNodePause)*(0.5+spread)))
	}
	p.request.AttemptNumber++
	return true
}

// attempt sends the request to one node.
func (p *trip) attempt(ctx context.Context) (*exchanger.Answer, *exchanger.Refusal) {
	m, refusal := p.pick(ctx)
	if refusal != nil {
		p.tried = nil
		return nil, refusal
	}
	p.tried = append(p.tried, m.Name)
	r := p.request
	r.RetriesLeft = p.attempts.StartAttempt()
	answer, err := p.route.send(ctx, m, &r)
	if err != nil {
		refusal = exchanger.AsRefusal(err)
		unused := refusal.UnusedRetries
		if refusal.Ran == exchanger.RanNo {
			unused = r.RetriesLeft
		}
		p.attempts.EndAttempt(unused)
		p.route.end(m.Name, outcome(ctx, refusal))
		return nil, refusal
	}
	answer.UnusedRetries = p.unused(answer.UnusedRetries)
	answer.Body = &routeBody{ReadCloser: answer.Body, route: p.route, name: m.Name}
	return answer, nil
}

// exhausted reports whether every node has been tried.
func (p *trip) exhausted() bool {
	return len(p.tried) >= len(p.crowd.candidates)
}

// pick returns the node for this attempt. An extra attempt waits a little for a
// node that is left alone for the moment.
func (p *trip) pick(ctx context.Context) (m folder.Member, refusal *exchanger.Refusal) {
	m, refusal = p.route.pick(p)
	for range maxPauses {
		if refusal == nil || refusal.Reason != exchanger.ReasonNoServer || p.request.AttemptNumber == 0 || ctx.Err() != nil {
			break
		}
		p.tried = p.tried[:0]
		timekeeper.Sleep(ctx, sameNodePause)
		m, refusal = p.route.pick(p)
	}
	return m, refusal
}

// unused adds what was not given along to what the attempt leaves over.
func (p *trip) unused(left func() int) func() int {
	kept := p.attempts.RetriesLeft
	return func() int { return kept + left() }
}

// Close tells the router that the answer was dropped, unless it has ended.
func (b *routeBody) Close() error {
	b.end(router.OutcomeInconclusive)
	return b.ReadCloser.Close()
}

// Read reads the body.
func (b *routeBody) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.end(router.OutcomeAnswered)
	case err != nil:
		b.end(outcome(context.Background(), exchanger.AsRefusal(err)))
	}
	return n, err
}

func (b *routeBody) end(o router.Outcome) {
	b.once.Do(func() { b.route.end(b.name, o) })
}

func newCrowd(x *indexer.Index, service string) *crowd {
	c := &crowd{members: map[string]folder.Member{}}
	for _, m := range x.Members(service) {
		if x.State.ServerOut(m) {
			continue
		}
		c.members[m.Name] = m
		c.candidates = append(c.candidates, router.Candidate{
			Name:        m.Name,
			Incarnation: m.Incarnation,
			Domain:      m.Domain,
			Region:      m.Region,
		})
	}
	return c
}

// outcome returns what a refusal says about the node it came from.
func outcome(ctx context.Context, r *exchanger.Refusal) router.Outcome {
	if ctx.Err() != nil {
		return router.OutcomeInconclusive
	}
	switch r.Reason {
	case exchanger.ReasonBroken:
		return router.OutcomeBroken
	case exchanger.ReasonSilent, exchanger.ReasonUnreachable:
		return router.OutcomeUnresponsive
	case exchanger.ReasonCanceled:
		return router.OutcomeInconclusive
	default:
		return router.OutcomeAnswered
	}
}
