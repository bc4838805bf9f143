// Package gatekeeper admits requests to the backend server. It lets concurrent
// requests wait and run as the limiter and the scheduler decide, which are not safe
// for concurrent use themselves.
package gatekeeper

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/flamingotack/flamingotack/internal/averager"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/limiter"
	"github.com/flamingotack/flamingotack/internal/scheduler"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// defaultFixedLimit is the fixed concurrency limit of a server without
	// configured slots.
	defaultFixedLimit = 64
	// fixedLimitQueueCapacity is the number of requests that may wait under the
	// baseline policy.
	fixedLimitQueueCapacity = 1024
	// minQueueCapacity and maxQueueCapacity bound the number of requests that
	// may wait.
	minQueueCapacity = 32
	maxQueueCapacity = 1024
	// targetQueueTime is how long the last request in a full queue waits.
	targetQueueTime = time.Second
	// retryInterval is the time until the next dispatch to a paused server on
	// which nothing runs.
	retryInterval = 5 * time.Millisecond
)

type (
	// AdmissionQueue queues and admits requests to one backend server. It is safe
	// for concurrent use. Create it with New.
	AdmissionQueue struct {
		clock timekeeper.Clock

		mu             sync.Mutex
		random         *rand.Rand
		config         Config
		limiter        limiter.Limiter[limiter.Policy]
		scheduler      scheduler.Scheduler[scheduler.Order]
		waiting        map[uint64]chan *exchanger.Refusal
		lastID         uint64
		retryScheduled bool
		// serviceTimes are mean service times by latency class.
		serviceTimes averager.MeansByKind
	}

	// Config is the manifest's configuration of the backend server.
	Config struct {
		// FixedLimit selects the baseline policy: a fixed concurrency limit and
		// first-in first-out order.
		FixedLimit bool
		// Slots is the maximum of concurrent requests; 0 means no maximum.
		Slots int
	}

	// Stats is the state of an AdmissionQueue.
	Stats struct {
		// ConcurrencyLimit is the number of requests that may run concurrently;
		// 0 while the server gets none.
		ConcurrencyLimit int
		// Running and Queued are the numbers of running and waiting requests.
		Running, Queued int
		// MeanServiceTime is the mean time that a request runs.
		MeanServiceTime time.Duration
		// LowestAdmittedPriority is the lowest priority that is still admitted.
		LowestAdmittedPriority exchanger.Priority
	}

	// Permit is the permission to run one request. Release returns it.
	Permit struct {
		queue        *AdmissionQueue
		latencyClass string
		startedAt    time.Time
		releaseOnce  sync.Once
	}

	// Request describes a request to be admitted.
	Request struct {
		// LatencyClass groups requests with similar service times.
		LatencyClass string
		// Customer is the name of the customer; empty for anonymous requests.
		Customer string
		// Priority determines which requests are refused first.
		Priority exchanger.Priority
		// Depth is the number of hops before this one in the call chain.
		Depth int
		// Deadline is when the answer becomes useless to the caller.
		Deadline time.Time
	}
)

// New returns an AdmissionQueue for a server that has just started.
func New(clock timekeeper.Clock, random *rand.Rand) *AdmissionQueue {
	q := &AdmissionQueue{
		clock:   clock,
		random:  random,
		waiting: map[uint64]chan *exchanger.Refusal{},
	}
	q.applyConfig()
	return q
}

// Configure applies the current configuration from the manifest.
func (q *AdmissionQueue) Configure(c Config) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if c == q.config {
		return
	}
	q.config = c
	q.applyConfig()
	q.dispatch(q.clock.Now())
}

// Acquire waits until the request may run. It returns at once if the request
// can't end before its deadline or is refused in favour of requests with a higher
// priority.
func (q *AdmissionQueue) Acquire(ctx context.Context, r Request) (p *Permit, refusal *exchanger.Refusal) {
	id, decided := q.enqueue(r)
	select {
	case refusal = <-decided:
		if refusal == nil && ctx.Err() != nil {
			refusal = q.discard(ctx)
		}
	case <-ctx.Done():
		refusal = q.cancel(ctx, id, decided)
	}
	if refusal != nil {
		return nil, refusal
	}
	return &Permit{queue: q, latencyClass: r.LatencyClass, startedAt: q.clock.Now()}, nil
}

// SetHint applies the load that the backend server reports about itself.
func (q *AdmissionQueue) SetHint(h limiter.Hint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.config.FixedLimit {
		return
	}
	now := q.clock.Now()
	q.limiter.SetHint(now, h)
	q.dispatch(now)
}

// Stats returns the current state.
func (q *AdmissionQueue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	return Stats{
		ConcurrencyLimit:       q.limiter.Limit(now),
		Running:                q.limiter.Running(),
		Queued:                 q.scheduler.Len(),
		MeanServiceTime:        q.serviceTimes.OverallMean(),
		LowestAdmittedPriority: q.scheduler.LowestAdmittedPriority(now),
	}
}

// Reset resets the limiter after the backend server has restarted.
func (q *AdmissionQueue) Reset() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.Reset(q.clock.Now())
}

// Release records the outcome of the request and returns the permit.
// waitedDownstream is the time in which the server waited for calls to other
// services. Only the first call has an effect.
func (p *Permit) Release(o limiter.Outcome, waitedDownstream time.Duration) {
	p.releaseOnce.Do(func() { p.queue.finish(p, o, waitedDownstream) })
}

// cancel removes a request whose caller is gone. The request may have been
// admitted at the same moment.
func (q *AdmissionQueue) cancel(ctx context.Context, id uint64, decided chan *exchanger.Refusal) *exchanger.Refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.scheduler.Cancel(id) {
		delete(q.waiting, id)
		return endedRefusal(ctx)
	}
	if refusal := <-decided; refusal != nil {
		return refusal
	}
	q.releaseSlot()
	return endedRefusal(ctx)
}

// discard releases the slot of a request that was admitted but does not run.
func (q *AdmissionQueue) discard(ctx context.Context) *exchanger.Refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.releaseSlot()
	return endedRefusal(ctx)
}

// releaseSlot frees the slot of a request that did not run. The caller holds the
// lock.
func (q *AdmissionQueue) releaseSlot() {
	now := q.clock.Now()
	q.limiter.Release(now, limiter.Sample{Outcome: limiter.OutcomeIgnored})
	q.dispatch(now)
}

// applyConfig sets the policies of the config. Running and waiting requests are
// kept.
func (q *AdmissionQueue) applyConfig() {
	q.limiter.Slots = q.config.Slots
	if q.config.FixedLimit {
		slots := q.config.Slots
		if slots == 0 {
			slots = defaultFixedLimit
		}
		q.limiter.Policy = limiter.Fixed(slots)
		q.scheduler.Order = scheduler.FIFOOrder{}
		q.scheduler.AllowLate = true
		q.scheduler.QueueCapacity = fixedLimitQueueCapacity
		return
	}
	adaptive, known := q.limiter.Policy.(*limiter.Adaptive)
	if !known || adaptive.MaxLimit != q.config.Slots {
		q.limiter.Policy = &limiter.Adaptive{MaxLimit: q.config.Slots}
	}
	q.scheduler.Order = scheduler.PriorityOrder{}
	q.scheduler.AllowLate = false
}

// queueCapacity returns the number of requests that may wait at a concurrency
// limit.
func (q *AdmissionQueue) queueCapacity(limit int) int {
	if q.serviceTimes.OverallMean() == 0 {
		return max(minQueueCapacity, limit)
	}
	servedInTargetTime := float64(limit) * float64(targetQueueTime) / float64(q.serviceTimes.OverallMean())
	return int(min(maxQueueCapacity, max(minQueueCapacity, servedInTargetTime)))
}

// decide ends the wait of a request; refusal is nil when it is admitted.
func (q *AdmissionQueue) decide(id uint64, refusal *exchanger.Refusal) {
	q.waiting[id] <- refusal
	delete(q.waiting, id)
}

// dispatch admits as many waiting requests as the limit allows.
func (q *AdmissionQueue) dispatch(now time.Time) {
	for q.scheduler.Len() > 0 && q.limiter.Available(now) > 0 {
		next, found, late := q.scheduler.Dequeue(now)
		q.refuse(now, late)
		if found && q.limiter.Acquire(now) {
			q.decide(next.ID, nil)
		}
	}
	if q.scheduler.Len() > 0 && q.limiter.Running() == 0 && !q.retryScheduled {
		q.retryScheduled = true
		time.AfterFunc(retryInterval, q.retryDispatch)
	}
}

func (q *AdmissionQueue) finish(p *Permit, o limiter.Outcome, waitedDownstream time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	residenceTime := now.Sub(p.startedAt)
	if o == limiter.OutcomeSuccess {
		q.serviceTimes.Add(now, p.latencyClass, residenceTime)
	}
	q.limiter.Release(now, limiter.Sample{
		LatencyClass:  p.latencyClass,
		ResidenceTime: residenceTime,
		Latency:       max(0, residenceTime-waitedDownstream),
		Outcome:       o,
	})
	q.dispatch(now)
}

// retryDispatch dispatches again after a period in which nothing ran.
func (q *AdmissionQueue) retryDispatch() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.retryScheduled = false
	q.dispatch(q.clock.Now())
}

func (q *AdmissionQueue) enqueue(r Request) (id uint64, decided chan *exchanger.Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	limit := max(1, q.limiter.Limit(now))
	if !q.config.FixedLimit {
		q.scheduler.QueueCapacity = q.queueCapacity(limit)
	}
	q.scheduler.ServerCapacity = scheduler.ServerCapacity{ConcurrencyLimit: limit, MeanServiceTime: q.serviceTimes.OverallMean()}
	q.lastID++
	decided = make(chan *exchanger.Refusal, 1)
	q.waiting[q.lastID] = decided
	refused := q.scheduler.Enqueue(now, scheduler.Item{
		ID:          q.lastID,
		Customer:    r.Customer,
		Priority:    r.Priority,
		Depth:       r.Depth,
		Deadline:    r.Deadline,
		ServiceTime: q.serviceTimes.Mean(r.LatencyClass),
	})
	q.refuse(now, refused)
	q.dispatch(now)
	return q.lastID, decided
}

func (q *AdmissionQueue) refuse(now time.Time, refused []scheduler.RefusedItem) {
	for _, r := range refused {
		refusal := r.Refusal()
		refusal.RetryAfter = q.scheduler.RetryAfter(now, q.random.Float64())
		q.decide(r.Item.ID, refusal)
	}
}

func endedRefusal(ctx context.Context) *exchanger.Refusal {
	if ctx.Err() == context.DeadlineExceeded {
		return exchanger.NotRun(http.StatusGatewayTimeout, exchanger.ReasonDeadline, "the deadline passed in the queue of the backend server")
	}
	return exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonCanceled, "the caller went away")
}
