// Package gatekeeper lets requests through to the backend server one by one.
// It is the thin concurrent part around the limiter and the scheduler, which
// make the decisions.
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
	// defaultSlots is the fixed limit of a server without known slots.
	defaultSlots = 64
	// fixedQueue is the number of requests that wait under the baseline.
	fixedQueue = 1024
	// leastQueue and mostQueue bound the number of requests that may wait.
	leastQueue = 32
	mostQueue  = 1024
	// queueTime is how long the last request in a full queue waits.
	queueTime = time.Second
	// lookAgain is how long a paused server is left before it is asked again.
	lookAgain = 5 * time.Millisecond
)

type (
	// Gatekeeper guards one backend server. It is safe for concurrent use.
	// Make it by New.
	AdmissionQueue struct {
		clock timekeeper.Clock

		mu        sync.Mutex
		random    *rand.Rand
		config    Config
		limiter   limiter.Limiter[limiter.Policy]
		scheduler scheduler.Scheduler[scheduler.Order]
		waiting   map[uint64]chan *exchanger.Refusal
		number    uint64
		looking   bool
		// services are the times that requests run, by class.
		services averager.MeansByKind
	}

	// Config is what the manifest says about the backend server.
	Config struct {
		// Fixed asks for the baseline: a fixed limit, first come first
		// served.
		FixedLimit bool
		// Slots is the most requests that may run at once; 0 sets no
		// ceiling.
		Slots int
	}

	// Load is the state of the gate.
	Stats struct {
		// Limit is the number of requests that may run at once; 0 while the
		// server gets none.
		ConcurrencyLimit int
		// Running and Queued are the requests at the gate.
		Running, Queued int
		// Service is the mean time that a request runs.
		MeanServiceTime time.Duration
		// Shed is the least important priority that still gets through.
		LowestAdmittedPriority exchanger.Priority
	}

	// Pass is the leave to run one request. Leave gives it back.
	Permit struct {
		gate    *AdmissionQueue
		class   string
		started time.Time
		once    sync.Once
	}

	// Ticket is a request that wants to pass.
	Request struct {
		// Class groups requests of like service time.
		LatencyClass string
		// Customer is the name of the customer; empty on an open route.
		Customer string
		// Priority decides who is shed first.
		Priority exchanger.Priority
		// Depth is the number of hops already done.
		Depth int
		// Deadline is when the answer is of no more use.
		Deadline time.Time
	}
)

// New returns a Gatekeeper of a server that has just started.
func New(clock timekeeper.Clock, random *rand.Rand) *AdmissionQueue {
	g := &AdmissionQueue{
		clock:   clock,
		random:  random,
		waiting: map[uint64]chan *exchanger.Refusal{},
	}
	g.apply()
	return g
}

// Configure takes what the manifest says now.
func (g *AdmissionQueue) Configure(c Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c == g.config {
		return
	}
	g.config = c
	g.apply()
	g.dispatch(g.clock.Now())
}

// Enter waits until the request may run. It does not wait for one that can't
// end in time or gives way to more important ones.
func (g *AdmissionQueue) Acquire(ctx context.Context, t Request) (p *Permit, refusal *exchanger.Refusal) {
	number, decided := g.offer(t)
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
	return &Permit{gate: g, class: t.LatencyClass, started: g.clock.Now()}, nil
}

// Hint takes what the backend server says of itself.
func (g *AdmissionQueue) SetHint(h limiter.Hint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.config.FixedLimit {
		return
	}
	now := g.clock.Now()
	g.limiter.SetHint(now, h)
	g.dispatch(now)
}

// Load returns the present state.
func (g *AdmissionQueue) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	return Stats{
		ConcurrencyLimit:       g.limiter.Limit(now),
		Running:                g.limiter.Running(),
		Queued:                 g.scheduler.Len(),
		MeanServiceTime:        g.services.OverallMean(),
		LowestAdmittedPriority: g.scheduler.LowestAdmittedPriority(now),
	}
}

// Reset says that the backend server has just started.
func (g *AdmissionQueue) Reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Reset(g.clock.Now())
}

// Leave says how the request ended. waited is the part of its time in which
// the server waited for calls to further services. Only the first call
// counts.
func (p *Permit) Release(o limiter.Outcome, waited time.Duration) {
	p.once.Do(func() { p.gate.leave(p, o, waited) })
}

// abandon takes a request back whose caller is gone. It may have been let
// through at the same moment.
func (g *AdmissionQueue) abandon(ctx context.Context, number uint64, decided chan *exchanger.Refusal) *exchanger.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.scheduler.Cancel(number) {
		delete(g.waiting, number)
		return waitedInVain(ctx)
	}
	if refusal := <-decided; refusal != nil {
		return refusal
	}
	g.release()
	return waitedInVain(ctx)
}

// giveBack takes a request back that was let through and does not run.
func (g *AdmissionQueue) giveBack(ctx context.Context) *exchanger.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.release()
	return waitedInVain(ctx)
}

// release frees the place of a request that did not run. The caller holds the lock.
func (g *AdmissionQueue) release() {
	now := g.clock.Now()
	g.limiter.Release(now, limiter.Sample{Outcome: limiter.OutcomeIgnored})
	g.dispatch(now)
}

// apply sets the policies that the config asks for. What runs and waits stays.
func (g *AdmissionQueue) apply() {
	g.limiter.Slots = g.config.Slots
	if g.config.FixedLimit {
		slots := g.config.Slots
		if slots == 0 {
			slots = defaultSlots
		}
		g.limiter.Policy = limiter.Fixed(slots)
		g.scheduler.Order = scheduler.FIFOOrder{}
		g.scheduler.AllowLate = true
		g.scheduler.QueueCapacity = fixedQueue
		return
	}
	adaptive, known := g.limiter.Policy.(*limiter.Adaptive)
	if !known || adaptive.MaxLimit != g.config.Slots {
		g.limiter.Policy = &limiter.Adaptive{MaxLimit: g.config.Slots}
	}
	g.scheduler.Order = scheduler.PriorityOrder{}
	g.scheduler.AllowLate = false
}

// capacity returns the number of requests that may wait at a limit.
func (g *AdmissionQueue) capacity(limit int) int {
	if g.services.OverallMean() == 0 {
		return max(leastQueue, limit)
	}
	served := float64(limit) * float64(queueTime) / float64(g.services.OverallMean())
	return int(min(mostQueue, max(leastQueue, served)))
}

// decide ends the wait of a request.
func (g *AdmissionQueue) decide(number uint64, r *exchanger.Refusal) {
	g.waiting[number] <- r
	delete(g.waiting, number)
}

// dispatch lets through what the limit allows.
func (g *AdmissionQueue) dispatch(now time.Time) {
	for g.scheduler.Len() > 0 && g.limiter.Available(now) > 0 {
		next, found, late := g.scheduler.Dequeue(now)
		g.refuse(now, late)
		if found && g.limiter.Acquire(now) {
			g.decide(next.ID, nil)
		}
	}
	if g.scheduler.Len() > 0 && g.limiter.Running() == 0 && !g.looking {
		g.looking = true
		time.AfterFunc(lookAgain, g.look)
	}
}

func (g *AdmissionQueue) leave(p *Permit, o limiter.Outcome, waited time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	held := now.Sub(p.started)
	if o == limiter.OutcomeSuccess {
		g.services.Add(now, p.class, held)
	}
	g.limiter.Release(now, limiter.Sample{
		LatencyClass:  p.class,
		ResidenceTime: held,
		Latency:       max(0, held-waited),
		Outcome:       o,
	})
	g.dispatch(now)
}

// look goes on after a pause in which nothing ran.
func (g *AdmissionQueue) look() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.looking = false
	g.dispatch(g.clock.Now())
}

func (g *AdmissionQueue) offer(t Request) (number uint64, decided chan *exchanger.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	limit := max(1, g.limiter.Limit(now))
	if !g.config.FixedLimit {
		g.scheduler.QueueCapacity = g.capacity(limit)
	}
	g.scheduler.ServerCapacity = scheduler.ServerCapacity{ConcurrencyLimit: limit, MeanServiceTime: g.services.OverallMean()}
	g.number++
	decided = make(chan *exchanger.Refusal, 1)
	g.waiting[g.number] = decided
	refused := g.scheduler.Enqueue(now, scheduler.Item{
		ID:          g.number,
		Customer:    t.Customer,
		Priority:    t.Priority,
		Depth:       t.Depth,
		Deadline:    t.Deadline,
		ServiceTime: g.services.Mean(t.LatencyClass),
	})
	g.refuse(now, refused)
	g.dispatch(now)
	return g.number, decided
}

func (g *AdmissionQueue) refuse(now time.Time, refused []scheduler.RefusedItem) {
	for _, r := range refused {
		refusal := r.Refusal()
		refusal.RetryAfter = g.scheduler.RetryAfter(now, g.random.Float64())
		g.decide(r.Item.ID, refusal)
	}
}

func waitedInVain(ctx context.Context) *exchanger.Refusal {
	if ctx.Err() == context.DeadlineExceeded {
		return exchanger.NotRun(http.StatusGatewayTimeout, exchanger.ReasonDeadline, "the deadline passed in the queue of the backend server")
	}
	return exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonCanceled, "the caller went away")
}
