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
	// fullPart is the part of a server's slots that is used: servers slow
	// down when they are nearly full.
	fullPart = 0.95
	// queueTime is how long the requests in a full queue take together.
	queueTime = time.Second
	// coldQueueTime is the same while the server is cold.
	coldQueueTime = 400 * time.Millisecond
	leastQueue    = 4
	// warmPart is the part of the rate that a cold server bears which is
	// used; the rest is for health checks.
	warmPart = 0.95
	// offeredTime is the time over which the offered work is averaged.
	offeredTime = 400 * time.Millisecond
	// defaultService stands for the mean service time until it is known.
	defaultService = 50 * time.Millisecond
)

type (
	// gate lets calls through to the backend server one by one.
	gate struct {
		clock timekeeper.Clock

		mu        sync.Mutex
		scheduler scheduler.Scheduler[scheduler.DepthOrder]
		pacer     limiter.Pacer
		bounds    bounds
		closed    *exchanger.Refusal
		running   int
		number    uint64
		waiting   map[uint64]chan *exchanger.Refusal
		// offered is the work of the last offeredTime, in seconds of slots.
		offered averager.DecayingSum
		// services are the times that calls take, by route.
		services averager.MeansByKind
		assessor assessor.Assessor
		timer    *time.Timer
		next     time.Time
	}

	// bounds is what the backend server bears.
	bounds struct {
		// slots is the number of requests that it runs at once.
		slots int
		// coldUntil is when it stops being cold.
		coldUntil time.Time
		// warmRate is the number of requests a second that it bears while it
		// is cold; 0 sets no limit.
		warmRate float64
	}

	// pass is the right of one call to run.
	pass struct {
		gate    *gate
		route   string
		started time.Time
	}
)

func newGate(clock timekeeper.Clock) *gate {
	return &gate{
		clock:   clock,
		waiting: map[uint64]chan *exchanger.Refusal{},
	}
}

// close refuses all that waits, and what comes until open.
func (g *gate) close(reason *exchanger.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = reason
	for number, decided := range g.waiting {
		g.scheduler.Cancel(number)
		decided <- reason
	}
	clear(g.waiting)
}

// enter waits until the call may run. One that is canceled does not, also when it
// is let through at the same moment.
func (g *gate) enter(ctx context.Context, c *exchanger.Call) (*pass, *exchanger.Refusal) {
	number, decided := g.offer(c)
	var refusal *exchanger.Refusal
	select {
	case refusal = <-decided:
		if refusal == nil && ctx.Err() != nil {
			refusal = g.giveBack(ctx)
		}
	case <-ctx.Done():
		refusal = g.abandon(ctx, number, decided)
	}
	if refusal != nil {
		return nil, refusal
	}
	return &pass{gate: g, route: c.Route, started: g.clock.Now()}, nil
}

// load fills in what the gate knows.
func (g *gate) load(l *LoadReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	l.Limit = g.limit()
	l.Running = g.running
	l.Queued = g.scheduler.Len()
	l.MeanServiceTime = g.service()
	l.CapacitySlots = float64(l.Limit)
	if g.cold(now) {
		l.CapacitySlots = min(l.CapacitySlots, g.bounds.warmRate*warmPart*l.MeanServiceTime.Seconds())
		l.Limit = max(1, int(l.CapacitySlots))
	}
	l.Failing = g.assessor.Failing(now)
	l.OfferedSlots = g.offered.Value(now, offeredTime) / offeredTime.Seconds()
}

// open lets calls through within the bounds.
func (g *gate) open(b bounds) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = nil
	g.bounds = b
	g.dispatch(g.clock.Now())
}

// reserve takes a turn of a cold server for a health check.
func (g *gate) reserve() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pacer.Reserve(g.clock.Now())
}

// leave says that the call has ended. good tells that its time is that of a
// whole answer, end what it tells about the server. It reports whether the server is
// or is not failing any more by that.
func (p *pass) leave(good bool, end assessor.Outcome) (turned bool) {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.running--
	before := g.assessor.Failing(now)
	g.assessor.Record(now, end)
	turned = before != g.assessor.Failing(now)
	if good {
		g.services.Add(now, p.route, now.Sub(p.started))
	}
	g.dispatch(now)
	return turned
}

// abandon takes a call back whose caller is gone. It may have been let through
// at the same moment.
func (g *gate) abandon(ctx context.Context, number uint64, decided chan *exchanger.Refusal) *exchanger.Refusal {
	g.mu.Lock()
	_, waits := g.waiting[number]
	if waits {
		g.scheduler.Cancel(number)
		delete(g.waiting, number)
	}
	g.mu.Unlock()
	if waits {
		return canceled(ctx)
	}
	if refusal := <-decided; refusal != nil {
		return refusal
	}
	return g.giveBack(ctx)
}

// giveBack takes a call back that was let through and does not run.
func (g *gate) giveBack(ctx context.Context) *exchanger.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.dispatch(g.clock.Now())
	return canceled(ctx)
}

func canceled(ctx context.Context) *exchanger.Refusal {
	if ctx.Err() == context.DeadlineExceeded {
		return exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonDeadline, "the deadline passed in the queue of the backend server")
	}
	return exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonCanceled, "the caller went away")
}

// dispatch lets through what the bounds allow. The caller holds the lock.
func (g *gate) dispatch(now time.Time) {
	if g.closed != nil {
		return
	}
	for g.scheduler.Len() > 0 && g.running < g.limit() {
		if wait := g.pause(now); wait > 0 {
			g.wake(now, wait)
			return
		}
		next, found, late := g.scheduler.Dequeue(now)
		g.refuse(late)
		if !found {
			return
		}
		if g.cold(now) {
			g.pacer.Interval = time.Duration(float64(time.Second) / (g.bounds.warmRate * warmPart))
			g.pacer.Reserve(now)
		}
		g.running++
		g.waiting[next.ID] <- nil
		delete(g.waiting, next.ID)
	}
}

// failing reports whether many runs end badly.
func (g *gate) failing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.assessor.Failing(g.clock.Now())
}

// isCold reports whether the server is cold.
func (g *gate) isCold() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cold(g.clock.Now())
}

func (g *gate) cold(now time.Time) bool {
	return g.bounds.warmRate > 0 && now.Before(g.bounds.coldUntil)
}

// limit returns the number of calls that may run at once.
func (g *gate) limit() int {
	return max(1, int(fullPart*float64(g.bounds.slots)))
}

// offer puts the call into the queue.
func (g *gate) offer(c *exchanger.Call) (number uint64, decided chan *exchanger.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	decided = make(chan *exchanger.Refusal, 1)
	if g.closed != nil {
		decided <- g.closed
		return 0, decided
	}
	now := g.clock.Now()
	service := g.services.Mean(c.Route)
	if !c.Moved {
		g.offered.Add(now, offeredTime, cmp.Or(service, g.service()).Seconds())
	}
	g.number++
	g.waiting[g.number] = decided
	g.scheduler.QueueCapacity = g.capacity(now)
	g.scheduler.ServerCapacity = scheduler.ServerCapacity{ConcurrencyLimit: g.limit(), MeanServiceTime: g.service()}
	depth := 0
	if c.Inner {
		depth = 1
	}
	refused := g.scheduler.Enqueue(now, scheduler.Item{
		ID:          g.number,
		Customer:    c.Customer,
		Priority:    c.Priority,
		Depth:       depth,
		Deadline:    c.Deadline,
		ServiceTime: service,
	})
	g.refuse(refused)
	g.dispatch(now)
	return g.number, decided
}

// capacity returns the number of calls that may wait.
func (g *gate) capacity(now time.Time) int {
	if g.cold(now) {
		return max(1, int(g.bounds.warmRate*coldQueueTime.Seconds()))
	}
	served := float64(g.limit()) * float64(queueTime) / float64(g.service())
	return max(leastQueue, int(served))
}

// pause returns how long the next call has to wait for its turn at a cold
// server.
func (g *gate) pause(now time.Time) time.Duration {
	if !g.cold(now) {
		return 0
	}
	return g.pacer.TimeToNext(now)
}

func (g *gate) refuse(refused []scheduler.RefusedItem) {
	for _, r := range refused {
		g.waiting[r.Item.ID] <- r.Refusal()
		delete(g.waiting, r.Item.ID)
	}
}

func (g *gate) service() time.Duration {
	return cmp.Or(g.services.OverallMean(), defaultService)
}

// wake dispatches again after a pause. The caller holds the lock.
func (g *gate) wake(now time.Time, wait time.Duration) {
	at := now.Add(wait)
	if !g.next.IsZero() && g.next.After(now) && !at.Before(g.next) {
		return
	}
	g.next = at
	if g.timer != nil {
		g.timer.Reset(wait)
		return
	}
	g.timer = time.AfterFunc(wait, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.next = time.Time{}
		g.dispatch(g.clock.Now())
	})
}
