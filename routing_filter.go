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
	// maxNodeWaits bounds how often one attempt waits for a node.
	maxNodeWaits = 4
	// sameNodeRetryDelay is the mean wait before the only remaining node gets
	// another attempt.
	sameNodeRetryDelay = 50 * time.Millisecond
)

type (
	// serviceNodes are the nodes in service that offer one service.
	serviceNodes struct {
		candidates    []router.Candidate
		membersByName map[string]folder.Member
	}

	// routingFilter is the filter that picks the node that runs a request, and
	// another one if a retry is allowed.
	routingFilter struct {
		node *Node

		mu             sync.Mutex
		random         *rand.Rand
		router         router.Router
		index          *indexer.Index
		nodesByService map[string]*serviceNodes
		retryThrottles map[string]*retrier.Throttle
	}

	// routedBody reports to the router how the answer ended.
	routedBody struct {
		io.ReadCloser
		filter   *routingFilter
		nodeName string
		once     sync.Once
	}

	// routedCall is one request with its attempts.
	routedCall struct {
		filter        *routingFilter
		request       exchanger.Request
		nodes         *serviceNodes
		retryThrottle *retrier.Throttle
		attempts      retrier.AttemptTracker
		triedNodes    []string
	}
)

func newRoutingFilter(n *Node) *routingFilter {
	return &routingFilter{
		node:           n,
		random:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		router:         router.Router{Domain: n.self.Domain, Region: n.self.Region},
		retryThrottles: map[string]*retrier.Throttle{},
	}
}

// Handle sends r to one node after the other while a retry may help and the
// retry budget allows it.
func (f *routingFilter) Handle(ctx context.Context, r *exchanger.Request) (*exchanger.Answer, error) {
	index := f.node.index.Load()
	service := index.Service(r.Service)
	if service != nil && service.Policy == parser.PolicyFixed {
		return f.handleFixed(ctx, r, index, *service.MaxChainRetries)
	}
	call := f.startCall(index, r)
	if call == nil {
		refusal := exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonRetryBudget, "a tenth of the node's calls to service %q are extra attempts already", r.Service)
		refusal.UnusedRetries = r.RetriesLeft
		return nil, refusal
	}
	for {
		answer, refusal := call.attempt(ctx)
		if refusal == nil {
			return answer, nil
		}
		if !call.shouldRetry(ctx, refusal) {
			return nil, call.attempts.FinalRefusal(refusal)
		}
	}
}

// startCall starts the call of a request. It returns nil if the request is a retry
// by the calling backend server and the retry throttle does not allow it.
func (f *routingFilter) startCall(index *indexer.Index, r *exchanger.Request) *routedCall {
	if r.Service == f.node.self.Service {
		f.reportLoad(f.node.guard.loadReport())
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	throttle := f.retryThrottles[r.Service]
	if throttle == nil {
		throttle = &retrier.Throttle{}
		f.retryThrottles[r.Service] = throttle
	}
	if r.AttemptNumber == 0 {
		throttle.RecordFirstAttempt()
	} else if !throttle.AllowRetry() {
		return nil
	}
	return &routedCall{
		filter:        f,
		request:       *r,
		nodes:         f.serviceNodes(index, r.Service),
		retryThrottle: throttle,
		attempts:      retrier.AttemptTracker{RetriesLeft: r.RetriesLeft, Idempotent: r.Idempotent},
	}
}

// serviceNodes returns the nodes in service that offer a service. The caller
// holds the lock.
func (f *routingFilter) serviceNodes(index *indexer.Index, service string) *serviceNodes {
	if f.index != index {
		f.index = index
		f.nodesByService = map[string]*serviceNodes{}
		f.router.Prune(func(name string) bool {
			_, found := index.State.Member(name)
			return found
		})
	}
	nodes := f.nodesByService[service]
	if nodes == nil {
		nodes = newServiceNodes(index, service)
		f.nodesByService[service] = nodes
	}
	return nodes
}

// recordOutcome reports to the router how a request ended.
func (f *routingFilter) recordOutcome(name string, outcome router.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.RecordOutcome(f.node.dependencies.Clock.Now(), name, outcome, f.random.Float64())
}

// pick returns the node for the next attempt. The refusal says why there is
// none.
func (f *routingFilter) pick(call *routedCall) (m folder.Member, refusal *exchanger.Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	candidate, verdict := f.router.Pick(f.node.dependencies.Clock.Now(), f.random, call.nodes.candidates, router.Request{Priority: call.request.Priority}, call.triedNodes)
	switch verdict {
	case router.VerdictPicked:
		return call.nodes.membersByName[candidate.Name], nil
	case router.VerdictShed:
		refusal = exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonOverload,
			"every backend server of service %q sheds requests of priority %s", call.request.Service, call.request.Priority)
	default:
		refusal = exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonNoServer,
			"service %q has no backend server that takes requests", call.request.Service)
	}
	refusal.RetryAfter = router.RetryAfter(f.random.Float64())
	return m, refusal
}

// reportLoad passes the load report of a guard to the router.
func (f *routingFilter) reportLoad(load *messenger.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.Report(f.node.dependencies.Clock.Now(), load.GetName(), router.Report{
		Incarnation:            load.GetIncarnation(),
		Sequence:               load.GetSequence(),
		Limit:                  int(load.GetLimit()),
		Running:                int(load.GetRunning()),
		Queued:                 int(load.GetQueued()),
		LowestAdmittedPriority: exchanger.Priority(load.GetShed()),
		Draining:               load.GetDraining(),
	})
}

func (f *routingFilter) send(ctx context.Context, m folder.Member, r *exchanger.Request) (*exchanger.Answer, error) {
	if m.Incarnation == f.node.self.Incarnation {
		return f.node.guard.Handle(ctx, r)
	}
	return f.node.sender.Send(ctx, m, r)
}

// shouldRetry reports whether to make another attempt after a refusal.
func (c *routedCall) shouldRetry(ctx context.Context, refusal *exchanger.Refusal) bool {
	if ctx.Err() != nil || len(c.triedNodes) == 0 {
		return false
	}
	if c.exhausted() && refusal.Ran == exchanger.RanNo {
		return false
	}
	c.filter.mu.Lock()
	step := c.attempts.NextStep(c.retryThrottle, refusal)
	jitter := c.filter.random.Float64()
	c.filter.mu.Unlock()
	if step == retrier.StepStop {
		return false
	}
	if c.exhausted() {
		c.triedNodes = c.triedNodes[:0]
		timekeeper.Sleep(ctx, time.Duration(float64(sameNodeRetryDelay)*(0.5+jitter)))
	}
	c.request.AttemptNumber++
	return true
}

// attempt sends the request to one node.
func (c *routedCall) attempt(ctx context.Context) (*exchanger.Answer, *exchanger.Refusal) {
	m, refusal := c.pick(ctx)
	if refusal != nil {
		c.triedNodes = nil
		return nil, refusal
	}
	c.triedNodes = append(c.triedNodes, m.Name)
	r := c.request
	r.RetriesLeft = c.attempts.StartAttempt()
	answer, err := c.filter.send(ctx, m, &r)
	if err != nil {
		refusal = exchanger.AsRefusal(err)
		unused := refusal.UnusedRetries
		if refusal.Ran == exchanger.RanNo {
			unused = r.RetriesLeft
		}
		c.attempts.EndAttempt(unused)
		c.filter.recordOutcome(m.Name, routerOutcome(ctx, refusal))
		return nil, refusal
	}
	answer.UnusedRetries = c.unusedRetries(answer.UnusedRetries)
	answer.Body = &routedBody{ReadCloser: answer.Body, filter: c.filter, nodeName: m.Name}
	return answer, nil
}

// exhausted reports whether every node has been tried.
func (c *routedCall) exhausted() bool {
	return len(c.triedNodes) >= len(c.nodes.candidates)
}

// pick returns the node for this attempt. If no node takes requests at present, a
// retry waits for one up to maxNodeWaits times.
func (c *routedCall) pick(ctx context.Context) (m folder.Member, refusal *exchanger.Refusal) {
	m, refusal = c.filter.pick(c)
	for range maxNodeWaits {
		if refusal == nil || refusal.Reason != exchanger.ReasonNoServer || c.request.AttemptNumber == 0 || ctx.Err() != nil {
			break
		}
		c.triedNodes = c.triedNodes[:0]
		timekeeper.Sleep(ctx, sameNodeRetryDelay)
		m, refusal = c.filter.pick(c)
	}
	return m, refusal
}

// unusedRetries adds the retries that were not passed on to those that the
// attempt left unused.
func (c *routedCall) unusedRetries(attemptUnused func() int) func() int {
	reserved := c.attempts.RetriesLeft
	return func() int { return reserved + attemptUnused() }
}

// Close reports to the router that the answer was dropped, unless it has
// ended.
func (b *routedBody) Close() error {
	b.recordOutcome(router.OutcomeInconclusive)
	return b.ReadCloser.Close()
}

// Read reads the body.
func (b *routedBody) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.recordOutcome(router.OutcomeAnswered)
	case err != nil:
		b.recordOutcome(routerOutcome(context.Background(), exchanger.AsRefusal(err)))
	}
	return n, err
}

func (b *routedBody) recordOutcome(outcome router.Outcome) {
	b.once.Do(func() { b.filter.recordOutcome(b.nodeName, outcome) })
}

func newServiceNodes(index *indexer.Index, service string) *serviceNodes {
	nodes := &serviceNodes{membersByName: map[string]folder.Member{}}
	for _, m := range index.Members(service) {
		if index.State.IsServerOutOfService(m) {
			continue
		}
		nodes.membersByName[m.Name] = m
		nodes.candidates = append(nodes.candidates, router.Candidate{
			Name:        m.Name,
			Incarnation: m.Incarnation,
			Domain:      m.Domain,
			Region:      m.Region,
		})
	}
	return nodes
}

// routerOutcome returns what a refusal says about the node that sent it.
func routerOutcome(ctx context.Context, r *exchanger.Refusal) router.Outcome {
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
