package forwarder

import (
	"cmp"
	"net/http"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/retrier"
)

const (
	// refusedTTL is how long after its refusal a request is recognized when its
	// caller retries it.
	refusedTTL = 5 * time.Second
	// maxRefusedDigests bounds the number of refused requests that are remembered;
	// all are dropped when it is reached.
	maxRefusedDigests = 8192
	// defaultCallTime is the assumed duration of a call until one is measured.
	defaultCallTime = 50 * time.Millisecond
	// requiredFraction is the fraction of a route's call trees that must include a
	// call to a service for the route to depend on it. Requests of the route are refused
	// while no server of such a service takes requests.
	requiredFraction = 0.9
	// ranksPerPriority is the number of ranks of requests of one priority: two for each
	// priority of a route.
	ranksPerPriority = 2 * int(exchanger.PriorityCount)
	// maxWaitFraction is the fraction of the time until its deadline that a refused
	// caller waits at most before it returns.
	maxWaitFraction = 1.0 / 3
)

// Admit returns nil if a request may start its chain of calls, or the refusal if
// the services that it calls lack capacity. A retry of a refused request takes
// precedence over other requests of its priorities.
func (f *Forwarder) Admit(c *exchanger.Call) *exchanger.Refusal {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshPeers()
	now := f.Clock.Now()
	f.updatePressure(now)
	if service, found := f.closedDependency(c, now); found {
		refusal := noServerRefusal(service)
		refusal.RetryAfter = f.retryAfter(minClosedRetryAfter)
		return refusal
	}
	digest := xxh3.HashString(c.Customer + " " + c.Method + " " + c.Host + c.Target)
	// Among requests of the same priorities, those that were refused before have the
	// better rank.
	rank := ranksPerPriority*int(c.Priority) + 2*int(c.RoutePriority) + 1
	if at, refused := f.refusedAt[digest]; refused && now.Sub(at) < refusedTTL {
		rank--
	}
	costs := f.slotSeconds(c)
	scarce := f.regulator.Admit(now, c.Route, rank, costs)
	if len(scarce) == 0 {
		delete(f.refusedAt, digest)
		return nil
	}
	if len(f.refusedAt) >= maxRefusedDigests {
		clear(f.refusedAt)
	}
	f.refusedAt[digest] = now
	refusal := exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonOverload, "the services below %q bear no more requests of rank %d", c.Service, rank)
	refusal.RetryAfter = retrier.RetryAfter(c.ObjectiveDeadline.Sub(now), f.random.Float64())
	for _, service := range scarce {
		refusal.RetryAfter = max(refusal.RetryAfter, f.returnDelay(c, service, now))
	}
	return refusal
}

// returnDelay returns the delay after which the caller of a refused call should return
// because most servers of a service are cold; 0 if they are not. The caller must hold f.mu.
func (f *Forwarder) returnDelay(c *exchanger.Call, service string, now time.Time) time.Duration {
	recovery, cold := f.recoveryOf(service, now)
	if !cold {
		return 0
	}
	maxDelay := time.Duration(maxWaitFraction * float64(c.CallerDeadline.Sub(now)))
	return f.returnPlanner.Plan(now, service, recovery, f.warmSlotSeconds(c, service), maxDelay)
}

// CancelAdmission reverts the admission of a request that does not start its chain.
func (f *Forwarder) CancelAdmission(c *exchanger.Call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.regulator.CancelAdmission(f.Clock.Now(), c.Route, f.slotSeconds(c))
}

// closedDependency returns another service that the call's route depends on, as defined by
// requiredFraction, and that has no server that takes requests. The caller must hold f.mu.
func (f *Forwarder) closedDependency(c *exchanger.Call, now time.Time) (service string, found bool) {
	for edge, calls := range f.callTree(c.Route, c.Service) {
		if calls.minFraction >= requiredFraction && edge.service != c.Service && f.serviceClosed(edge.service, now) {
			return edge.service, true
		}
	}
	return "", false
}

// slotSeconds returns the slot time, in seconds, that a call and all its nested calls
// occupy at each service. Cold servers limit the rate of calls, so there all calls count
// alike. The caller must hold f.mu.
func (f *Forwarder) slotSeconds(c *exchanger.Call) map[string]float64 {
	seconds := map[string]float64{}
	for edge, calls := range f.callTree(c.Route, c.Service) {
		serviceTime := calls.serviceTime
		if f.coldServices[edge.service] {
			serviceTime = 0
		}
		serviceTime = cmp.Or(serviceTime, f.serviceCallTime[edge.service], defaultCallTime)
		seconds[edge.service] += calls.mean * serviceTime.Seconds()
	}
	return seconds
}

// warmSlotSeconds returns the slot time, in seconds, that a call and all its nested calls
// occupy at a service when its servers are warm. The caller must hold f.mu.
func (f *Forwarder) warmSlotSeconds(c *exchanger.Call, service string) (seconds float64) {
	for edge, calls := range f.callTree(c.Route, c.Service) {
		if edge.service == service {
			seconds += calls.mean * cmp.Or(calls.serviceTime, defaultCallTime).Seconds()
		}
	}
	return seconds
}
