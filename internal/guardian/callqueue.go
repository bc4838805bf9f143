package guardian

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/flamingotack/flamingotack/internal/assessor"
	"github.com/flamingotack/flamingotack/internal/averager"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/limiter"
	"github.com/flamingotack/flamingotack/internal/scheduler"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// usableSlotFraction is the fraction of a server's slots that calls may
	// occupy. Servers slow down when they are nearly full.
	usableSlotFraction = 0.95
	// queueDrainTime is the time in which the server works off a full queue.
	queueDrainTime = time.Second
	// coldQueueDrainTime replaces queueDrainTime while the server is cold.
	coldQueueDrainTime = 400 * time.Millisecond
	// minQueueCapacity is the lowest capacity of the queue of a warm server, in
	// calls.
	minQueueCapacity = 4
	// warmupRateFraction is the fraction of the warm-up rate that calls use. The
	// rest is left for health checks.
	warmupRateFraction = 0.95
	// offeredDecayTime is the time constant of the average of the offered work.
	offeredDecayTime = 400 * time.Millisecond
	// minBusySlots is the offered work from which a queue counts as busy, in slots.
	minBusySlots = 0.01
	// defaultServiceTime is used until a mean service time has been measured.
	defaultServiceTime = 50 * time.Millisecond
)

type (
	// callQueue holds calls and starts each one when the limits of the backend
	// server allow it. It is safe for concurrent use.
	callQueue struct {
		clock timekeeper.Clock

		mu        sync.Mutex
		scheduler scheduler.Scheduler[scheduler.PriorityOrder]
		pacer     limiter.Pacer
		limits    serverLimits
		// closedRefusal is the refusal of new calls; nil while the queue is open.
		closedRefusal *exchanger.Refusal
		// running is the number of calls that run.
		running int
		lastID  uint64
		// waiting holds the channel that receives the decision on each queued call,
		// by the call's ID in the scheduler.
		waiting map[uint64]chan *exchanger.Refusal
		// offeredSlotSeconds sums the expected service times of offered calls,
		// decaying over offeredDecayTime.
		offeredSlotSeconds averager.DecayingSum
		// serviceTimes holds the mean service times by route.
		serviceTimes  averager.MeansByKind
		assessor      assessor.Assessor
		dispatchTimer *time.Timer
		// nextDispatch is when dispatchTimer fires; zero if no dispatch is scheduled.
		nextDispatch time.Time
	}

	// serverLimits holds the concurrency and rate limits of the backend server.
	serverLimits struct {
		// slots is the number of requests that the server runs concurrently.
		slots int
		// coldUntil is when the warm-up ends.
		coldUntil time.Time
		// warmupRatePerSecond is the highest request rate of a cold server; 0
		// sets no limit.
		warmupRatePerSecond float64
		// held says that calls wait until the limits are known.
		held bool
	}

	// permit allows one call to run until it is released.
	permit struct {
		queue     *callQueue
		route     string
		startedAt time.Time
	}
)

func newCallQueue(clock timekeeper.Clock) *callQueue {
	return &callQueue{
		clock:   clock,
		waiting: map[uint64]chan *exchanger.Refusal{},
	}
}

// close gives the refusal to all queued calls, and to all new ones until open is called.
func (q *callQueue) close(refusal *exchanger.Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closedRefusal = refusal
	for id, decision := range q.waiting {
		q.scheduler.Cancel(id)
		decision <- refusal
	}
	clear(q.waiting)
}

// acquire waits until the call may run and returns its permit. A canceled call gets
// a refusal, even if it is dispatched at the same moment.
func (q *callQueue) acquire(ctx context.Context, c *exchanger.Call) (*permit, *exchanger.Refusal) {
	id, decision := q.enqueue(c)
	var refusal *exchanger.Refusal
	select {
	case refusal = <-decision:
		if refusal == nil && ctx.Err() != nil {
			refusal = q.releaseUnused(ctx)
		}
	case <-ctx.Done():
		refusal = q.cancelWaiting(ctx, id, decision)
	}
	if refusal != nil {
		return nil, refusal
	}
	return &permit{queue: q, route: c.Route, startedAt: q.clock.Now()}, nil
}

// fillReport sets the fields of report that describe the queue and the running calls.
func (q *callQueue) fillReport(report *LoadReport) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	report.Limit = q.concurrencyLimit()
	report.Running = q.running
	report.Queued = q.scheduler.Len()
	report.MeanServiceTime = q.meanServiceTime()
	report.CapacitySlots = float64(report.Limit)
	report.WarmSlots = report.CapacitySlots
	if q.isColdAt(now) {
		report.WarmupRemaining = q.limits.coldUntil.Sub(now)
		report.CapacitySlots = min(report.CapacitySlots, q.limits.warmupRatePerSecond*warmupRateFraction*report.MeanServiceTime.Seconds())
		report.Limit = max(1, int(report.CapacitySlots))
	}
	report.Failing = q.assessor.Failing(now)
	report.OfferedSlots = q.offeredSlotSeconds.Value(now, offeredDecayTime) / offeredDecayTime.Seconds()
}

// isQuiet reports whether the queue is open and no call runs.
func (q *callQueue) isQuiet() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.closedRefusal == nil && !q.limits.held && q.running == 0
}

// length returns the number of calls that wait.
func (q *callQueue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.scheduler.Len()
}

// open accepts calls and dispatches them within the limits.
func (q *callQueue) open(limits serverLimits) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closedRefusal = nil
	q.limits = limits
	q.dispatch(q.clock.Now())
}

// reserveHealthCheck counts a health check against the request rate of a cold server.
func (q *callQueue) reserveHealthCheck() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pacer.Reserve(q.clock.Now())
}

// release ends the call and records its outcome. If the call completed with a whole
// response, its time counts as a service time. release reports whether the server has
// started or stopped failing.
func (p *permit) release(completed bool, outcome assessor.Outcome) (changed bool) {
	q := p.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.running--
	wasFailing := q.assessor.Failing(now)
	q.assessor.Record(now, outcome)
	changed = wasFailing != q.assessor.Failing(now)
	if completed {
		q.serviceTimes.Add(now, p.route, now.Sub(p.startedAt))
	}
	q.dispatch(now)
	return changed
}

// cancel frees the slot of a call that does not run.
func (p *permit) cancel() {
	p.queue.freeSlot()
}

// cancelWaiting removes a call from the queue after its context has ended. The call may
// have been dispatched at the same moment.
func (q *callQueue) cancelWaiting(ctx context.Context, id uint64, decision chan *exchanger.Refusal) *exchanger.Refusal {
	q.mu.Lock()
	_, queued := q.waiting[id]
	if queued {
		q.scheduler.Cancel(id)
		delete(q.waiting, id)
	}
	q.mu.Unlock()
	if queued {
		return cancelRefusal(ctx)
	}
	if refusal := <-decision; refusal != nil {
		return refusal
	}
	return q.releaseUnused(ctx)
}

// releaseUnused frees the slot of a call that was dispatched but does not run.
func (q *callQueue) releaseUnused(ctx context.Context) *exchanger.Refusal {
	q.freeSlot()
	return cancelRefusal(ctx)
}

func (q *callQueue) freeSlot() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	q.dispatch(q.clock.Now())
}

// cancelRefusal returns the refusal of a call whose context ended before it ran.
func cancelRefusal(ctx context.Context) *exchanger.Refusal {
	if ctx.Err() == context.DeadlineExceeded {
		return exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonDeadline, "the deadline passed in the queue of the backend server")
	}
	return exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonCanceled, "the caller went away")
}

// dispatch starts as many queued calls as the limits allow. The caller holds the lock.
func (q *callQueue) dispatch(now time.Time) {
	if q.closedRefusal != nil || q.limits.held {
		return
	}
	for q.scheduler.Len() > 0 && q.running < q.concurrencyLimit() {
		if delay := q.pacingDelay(now); delay > 0 {
			q.scheduleDispatch(now, delay)
			return
		}
		next, found, expired := q.scheduler.Dequeue(now)
		q.refuse(expired)
		if !found {
			return
		}
		if q.isColdAt(now) {
			q.pacer.Interval = time.Duration(float64(time.Second) / (q.limits.warmupRatePerSecond * warmupRateFraction))
			q.pacer.Reserve(now)
		}
		q.running++
		q.waiting[next.ID] <- nil
		delete(q.waiting, next.ID)
	}
}

// failing reports whether a high fraction of the latest runs has failed.
func (q *callQueue) failing() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.assessor.Failing(q.clock.Now())
}

// isCold reports whether the server is cold.
func (q *callQueue) isCold() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.isColdAt(q.clock.Now())
}

// busy reports whether the queue is open and calls wait, run or have been offered lately.
func (q *callQueue) busy() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	offeredSlots := q.offeredSlotSeconds.Value(q.clock.Now(), offeredDecayTime) / offeredDecayTime.Seconds()
	return q.closedRefusal == nil && (q.running > 0 || q.scheduler.Len() > 0 || offeredSlots >= minBusySlots)
}

func (q *callQueue) isColdAt(now time.Time) bool {
	return q.limits.warmupRatePerSecond > 0 && now.Before(q.limits.coldUntil)
}

// concurrencyLimit returns the number of calls that may run concurrently, at least 1.
func (q *callQueue) concurrencyLimit() int {
	return max(1, int(usableSlotFraction*float64(q.limits.slots)))
}

// enqueue adds the call to the queue and returns its ID. decision receives nil when the
// call may run, or its refusal.
func (q *callQueue) enqueue(c *exchanger.Call) (id uint64, decision chan *exchanger.Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	decision = make(chan *exchanger.Refusal, 1)
	if q.closedRefusal != nil {
		decision <- q.closedRefusal
		return 0, decision
	}
	now := q.clock.Now()
	serviceTime := q.serviceTimes.Mean(c.Route)
	if !c.RefusedByFullNode {
		q.offeredSlotSeconds.Add(now, offeredDecayTime, cmp.Or(serviceTime, q.meanServiceTime()).Seconds())
	}
	q.lastID++
	q.waiting[q.lastID] = decision
	q.scheduler.QueueCapacity = q.queueCapacity(now)
	q.scheduler.ServerCapacity = scheduler.ServerCapacity{ConcurrencyLimit: q.concurrencyLimit(), MeanServiceTime: q.meanServiceTime()}
	item := schedulerItem(c)
	item.ID, item.ServiceTime = q.lastID, serviceTime
	q.refuse(q.scheduler.Enqueue(now, item))
	q.dispatch(now)
	return q.lastID, decision
}

// schedulerItem returns the fields of a waiting call that decide on its order. Calls of one
// chain wait like its first call, whatever their depth, so that requests that go directly
// to this server get their part. A nested call of an unknown chain goes first, because it
// may belong to the most important one.
func schedulerItem(c *exchanger.Call) scheduler.Item {
	item := scheduler.Item{Customer: c.ChainCustomer, Priority: c.Priority, RoutePriority: c.RoutePriority, Deadline: c.Deadline}
	if c.Nested && !c.ChainKnown {
		item.Priority, item.RoutePriority, item.Depth = exchanger.PriorityCritical, exchanger.PriorityCritical, 1
	}
	return item
}

// queueCapacity returns the number of calls that the queue may hold.
func (q *callQueue) queueCapacity(now time.Time) int {
	if q.isColdAt(now) {
		return max(1, int(q.limits.warmupRatePerSecond*coldQueueDrainTime.Seconds()))
	}
	calls := float64(q.concurrencyLimit()) * float64(queueDrainTime) / float64(q.meanServiceTime())
	return max(minQueueCapacity, int(calls))
}

// pacingDelay returns how long the next call must wait to keep within the request
// rate of a cold server; 0 for a warm server.
func (q *callQueue) pacingDelay(now time.Time) time.Duration {
	if !q.isColdAt(now) {
		return 0
	}
	return q.pacer.TimeToNext(now)
}

// refuse sends the refusals to the waiting calls. The caller holds the lock.
func (q *callQueue) refuse(refused []scheduler.RefusedItem) {
	for _, r := range refused {
		q.waiting[r.Item.ID] <- r.Refusal()
		delete(q.waiting, r.Item.ID)
	}
}

func (q *callQueue) meanServiceTime() time.Duration {
	return cmp.Or(q.serviceTimes.OverallMean(), defaultServiceTime)
}

// scheduleDispatch calls dispatch after the delay unless an earlier dispatch is
// scheduled. The caller holds the lock.
func (q *callQueue) scheduleDispatch(now time.Time, delay time.Duration) {
	dispatchAt := now.Add(delay)
	if !q.nextDispatch.IsZero() && q.nextDispatch.After(now) && !dispatchAt.Before(q.nextDispatch) {
		return
	}
	q.nextDispatch = dispatchAt
	if q.dispatchTimer != nil {
		q.dispatchTimer.Reset(delay)
		return
	}
	q.dispatchTimer = time.AfterFunc(delay, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.nextDispatch = time.Time{}
		q.dispatch(q.clock.Now())
	})
}
