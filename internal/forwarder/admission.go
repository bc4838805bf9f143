package forwarder

import (
	"net/http"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/guardian"
	"github.com/flamingotack/flamingotack/internal/retrier"
)

const (
	// pressureInterval is how often the pressure on the services is worked
	// out.
	pressureInterval = 50 * time.Millisecond
	// loadLife is how long the load of a guard counts.
	loadLife = 5 * time.Second
	// returnTime is how long after its refusal a request that comes again is
	// known as one that was refused.
	returnTime = 5 * time.Second
	maxRefused = 8192
	// defaultHeld stands for the time that a call takes until it is known.
	defaultHeld = 50 * time.Millisecond
	// neededPart is the part of the trees of a route that call a service from
	// which on the route is not begun while no server of that service takes
	// requests.
	neededPart = 0.9
	// leastSound is the part of a service's capacity that must be sound for work to
	// be admitted by that alone. With less, chains are better begun on servers on
	// which some calls end badly than not at all.
	leastSound = 0.15
)

type (
	// loadReport is the newest load of a guard.
	loadReport struct {
		service, incarnation string
		load                 guardian.LoadReport
		taken                time.Time
	}
)

// Admit reports whether a request may begin its chain of calls, by what the
// services below it bear. A request that was refused before goes first among
// those of its priority.
func (f *Forwarder) Admit(c *exchanger.Call) *exchanger.Refusal {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	now := f.Clock.Now()
	f.measure(now)
	if service, found := f.closedBelow(c, now); found {
		refusal := noServer(service)
		refusal.RetryAfter = f.spread(closedRetry)
		return refusal
	}
	digest := xxh3.HashString(c.Customer + " " + c.Method + " " + c.Host + c.Target)
	rank := 2*int(c.Priority) + 1
	if at, refused := f.refused[digest]; refused && now.Sub(at) < returnTime {
		rank--
	}
	if f.regulator.Admit(now, c.Route, rank, f.costs(c)) {
		delete(f.refused, digest)
		return nil
	}
	if len(f.refused) >= maxRefused {
		clear(f.refused)
	}
	f.refused[digest] = now
	refusal := exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonOverload, "the services below %q bear no more requests of rank %d", c.Service, rank)
	refusal.RetryAfter = retrier.ComeBack(c.Objective.Sub(now), f.random.Float64())
	return refusal
}

// Retract takes back the admission of a request that does not begin its chain.
func (f *Forwarder) Retract(c *exchanger.Call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.regulator.Retract(f.Clock.Now(), c.Route, f.costs(c))
}

// closedBelow returns a service that nearly every call of the route needs and
// that has no server which takes requests. The caller holds the lock.
func (f *Forwarder) closedBelow(c *exchanger.Call, now time.Time) (service string, found bool) {
	for b, n := range f.tree(c.Route, c.Service) {
		if n.part >= neededPart && b.service != c.Service && f.closed(b.service, now) {
			return b.service, true
		}
	}
	return "", false
}

// closed reports whether every node of a service says that its backend server
// takes no requests. A node that says nothing may have one that does. The caller
// holds the lock.
func (f *Forwarder) closed(service string, now time.Time) bool {
	if service == f.Self.Service {
		return false
	}
	for _, name := range f.services[service] {
		r, told := f.loads[name]
		if !told || !r.load.Closed || now.Sub(r.taken) > loadLife {
			return false
		}
	}
	return true
}

// costs returns for how many seconds a call occupies slots of each service. The
// caller holds the lock.
func (f *Forwarder) costs(c *exchanger.Call) map[string]float64 {
	costs := map[string]float64{}
	for b, n := range f.tree(c.Route, c.Service) {
		held := f.held[b.service]
		if known := f.routes.Mean(b.route); known > 0 {
			held = known
		}
		if held <= 0 {
			held = defaultHeld
		}
		costs[b.service] += n.calls * held.Seconds()
	}
	return costs
}

// learn takes the time that a whole answer took.
func (f *Forwarder) learn(route string, held time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.routes.Add(f.Clock.Now(), route, held)
}

// measure works out the pressure on each service, by the nodes that were chosen for
// calls. The caller holds the lock.
func (f *Forwarder) measure(now time.Time) {
	if now.Sub(f.measured) < pressureInterval {
		return
	}
	elapsed := now.Sub(f.measured)
	f.measured = now
	f.regulator.Nodes = len(f.members)
	offered, bears, sound := map[string]float64{}, map[string]float64{}, map[string]float64{}
	held, count := map[string]time.Duration{}, map[string]int{}
	for name, r := range f.loads {
		if !f.chosen[name] || r.load.Closed || now.Sub(r.taken) > loadLife {
			continue
		}
		offered[r.service] += r.load.OfferedSlots
		bears[r.service] += r.load.CapacitySlots
		if !r.load.Failing {
			sound[r.service] += r.load.CapacitySlots
		}
		held[r.service] += r.load.MeanServiceTime
		count[r.service]++
	}
	for service, b := range bears {
		f.held[service] = held[service] / time.Duration(count[service])
		if sound[service] >= leastSound*b {
			b = sound[service]
		}
		scale := max(1, f.samples[service])
		f.remember(service, scale*offered[service], elapsed)
		f.regulator.Report(now, service, scale*offered[service], scale*b)
	}
}
