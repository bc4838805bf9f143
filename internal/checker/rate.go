package checker

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/flamingotack/flamingotack/internal/recorder"
)

type (
	// admittedRequest is a request that was admitted at some time between
	// sentAt and ranAt.
	admittedRequest struct {
		sentAt, ranAt time.Time
	}

	// rateLimit is a customer's limit from a point in time.
	rateLimit struct {
		from                         time.Time
		ratePerSecond, burstRequests float64
	}

	// maxTree stores values by position. It adds a value to a range of
	// positions and returns the maximum of a range, both in logarithmic time.
	//
	// Node 1 is the root, and the children of node n are 2n and 2n+1.
	maxTree struct {
		// size is the number of leaves, a power of two.
		size int
		// addedBelow is, by node, what was added to all positions below the
		// node at once.
		addedBelow []float64
		// maxima is, by node, the maximum of the positions below the node,
		// without what was added at the nodes above it.
		maxima []float64
	}
)

// checkRateLimit finds customers for whom more requests were admitted than
// rate and burst allow, in any interval. A request was admitted at some time
// between sending and execution, so it counts for the intervals that contain
// both.
func checkRateLimit(x *historyIndex, b Bounds) (found []string) {
	requests := x.admittedByCustomer()
	for name, limits := range x.limitsByCustomer() {
		loosest := limits[0]
		for i, l := range limits {
			loosest.ratePerSecond = max(loosest.ratePerSecond, l.ratePerSecond)
			loosest.burstRequests = max(loosest.burstRequests, l.burstRequests)
			found = append(found, l.checkRequests(name, l.requestsUnder(requests[name], limits[:i], limits[i+1:], b), b)...)
		}
		if len(limits) > 1 {
			found = append(found, loosest.checkRequests(name, requests[name], b)...)
		}
	}
	return found
}

// admittedByCustomer returns the requests that ran, by customer. A request
// with several executions counts once.
func (x *historyIndex) admittedByCustomer() map[string][]admittedRequest {
	byCustomer := map[string][]admittedRequest{}
	for _, c := range x.Calls {
		executions := x.executionsByAttempt[c.AttemptID]
		if !recorder.IsRoot(c.ChainPath) || c.Customer == "" || len(executions) == 0 {
			continue
		}
		first := executions[0].Start
		byCustomer[c.Customer] = append(byCustomer[c.Customer], admittedRequest{c.Start, first})
	}
	return byCustomer
}

func (x *historyIndex) limitsByCustomer() map[string][]rateLimit {
	byCustomer := map[string][]rateLimit{}
	for _, e := range x.Events {
		if e.Kind == recorder.EventRateLimitSet {
			byCustomer[e.Name] = append(byCustomer[e.Name], rateLimit{e.At, e.RatePerSecond, e.BurstRequests})
		}
	}
	return byCustomer
}

func (l rateLimit) checkRequests(customer string, requests []admittedRequest, b Bounds) (found []string) {
	if excessRequests := maxExcess(requests, l.ratePerSecond, l.burstRequests, b.MaxClockSkew); excessRequests > 0 {
		found = append(found, fmt.Sprintf("customer %q had %.1f requests above rate %g and burst %g",
			customer, excessRequests, l.ratePerSecond, l.burstRequests))
	}
	return found
}

// requestsUnder returns the requests to which only l can apply: sent after l
// is in force on all nodes and run before the next limit starts.
func (l rateLimit) requestsUnder(all []admittedRequest, earlier, later []rateLimit, b Bounds) (kept []admittedRequest) {
	for _, a := range all {
		if len(earlier) > 0 && a.sentAt.Before(l.from.Add(b.MaxConfigDelay)) {
			continue
		}
		if len(later) > 0 && !a.ranAt.Before(later[0].from) {
			continue
		}
		kept = append(kept, a)
	}
	return kept
}

// maxExcess returns the number of requests by which the worst interval exceeds
// burst + rate * (length + clockSkew). It is 0 or negative if no interval
// does.
func maxExcess(requests []admittedRequest, rate, burst float64, clockSkew time.Duration) float64 {
	if len(requests) == 0 {
		return 0
	}
	starts := make([]time.Time, 0, len(requests))
	for _, a := range requests {
		starts = append(starts, a.sentAt)
	}
	slices.SortFunc(starts, time.Time.Compare)
	origin := starts[0]
	tree := newMaxTree(len(starts))
	for i, s := range starts {
		tree.add(i, i, rate*s.Sub(origin).Seconds())
	}
	byRanAt := slices.Clone(requests)
	slices.SortFunc(byRanAt, func(a, b admittedRequest) int { return a.ranAt.Compare(b.ranAt) })
	worst := math.Inf(-1)
	for _, a := range byRanAt {
		// The request is in each interval that starts before or when it was
		// sent.
		last, _ := slices.BinarySearchFunc(starts, a.sentAt.Add(1), time.Time.Compare)
		tree.add(0, last-1, 1)
		length := a.ranAt.Add(clockSkew).Sub(origin).Seconds()
		worst = max(worst, tree.maximum(1, 0, tree.size-1, last-1)-rate*length-burst)
	}
	return worst
}

func newMaxTree(n int) *maxTree {
	size := 1
	for size < n {
		size *= 2
	}
	return &maxTree{size: size, addedBelow: make([]float64, 2*size), maxima: make([]float64, 2*size)}
}

// add adds v to the positions from first to last, both included.
func (t *maxTree) add(first, last int, v float64) {
	t.addBelow(1, 0, t.size-1, first, last, v)
}

func (t *maxTree) addBelow(node, low, high, first, last int, v float64) {
	if last < low || high < first {
		return
	}
	if first <= low && high <= last {
		t.addedBelow[node] += v
		t.maxima[node] += v
		return
	}
	middle := (low + high) / 2
	t.addBelow(2*node, low, middle, first, last, v)
	t.addBelow(2*node+1, middle+1, high, first, last, v)
	t.maxima[node] = t.addedBelow[node] + max(t.maxima[2*node], t.maxima[2*node+1])
}

// maximum returns the maximum of the positions up to last under node, which
// covers the positions from low to high.
func (t *maxTree) maximum(node, low, high, last int) float64 {
	switch {
	case last < low:
		return math.Inf(-1)
	case high <= last:
		return t.maxima[node]
	}
	middle := (low + high) / 2
	left := t.maximum(2*node, low, middle, last)
	right := t.maximum(2*node+1, middle+1, high, last)
	return t.addedBelow[node] + max(left, right)
}
