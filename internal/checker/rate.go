package checker

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/flamingotack/flamingotack/internal/recorder"
)

type (
	// admitted is a request that was let through at some time from sent to
	// ran.
	admitted struct {
		sent, ran time.Time
	}

	// allowance is a customer's limit from a time on.
	allowance struct {
		from        time.Time
		rate, burst float64
	}

	// maxTree keeps values by position. It adds to a run of positions and
	// tells the greatest value, each in logarithmic time.
	maxTree struct {
		size  int
		added []float64
		most  []float64
	}
)

// rate finds customers of whom more was let through than rate and burst allow,
// over any interval. A request was let through at some time between its
// sending and its execution, so the intervals that hold both count it.
func rate(x *index, b Bounds) (found []string) {
	requests := x.admitted()
	for name, limits := range x.allowances() {
		most := limits[0]
		for i, l := range limits {
			most.rate = max(most.rate, l.rate)
			most.burst = max(most.burst, l.burst)
			found = append(found, l.check(name, l.within(requests[name], limits[:i], limits[i+1:], b), b)...)
		}
		if len(limits) > 1 {
			found = append(found, most.check(name, requests[name], b)...)
		}
	}
	return found
}

// admitted returns the requests that ran, by customer. Each counts once.
func (x *index) admitted() map[string][]admitted {
	byCustomer := map[string][]admitted{}
	for _, c := range x.Calls {
		executions := x.bySend[c.AttemptID]
		if !recorder.IsRoot(c.ChainPath) || c.Customer == "" || len(executions) == 0 {
			continue
		}
		first := executions[0].Start
		byCustomer[c.Customer] = append(byCustomer[c.Customer], admitted{c.Start, first})
	}
	return byCustomer
}

func (x *index) allowances() map[string][]allowance {
	byCustomer := map[string][]allowance{}
	for _, e := range x.Events {
		if e.Kind == recorder.EventRateLimitSet {
			byCustomer[e.Name] = append(byCustomer[e.Name], allowance{e.At, e.RatePerSecond, e.BurstRequests})
		}
	}
	return byCustomer
}

func (l allowance) check(customer string, requests []admitted, b Bounds) (found []string) {
	if over := excess(requests, l.rate, l.burst, b.Drift); over > 0 {
		found = append(found, fmt.Sprintf("customer %q had %.1f requests above rate %g and burst %g",
			customer, over, l.rate, l.burst))
	}
	return found
}

// within returns the requests that surely fall under l: sent once l is in
// force everywhere and run before the next limit.
func (l allowance) within(all []admitted, earlier, later []allowance, b Bounds) (kept []admitted) {
	for _, a := range all {
		if len(earlier) > 0 && a.sent.Before(l.from.Add(b.InForce)) {
			continue
		}
		if len(later) > 0 && !a.ran.Before(later[0].from) {
			continue
		}
		kept = append(kept, a)
	}
	return kept
}

// excess returns by how many requests the worst interval exceeds
// burst + rate * (length + drift); at most 0 when none does.
func excess(requests []admitted, rate, burst float64, drift time.Duration) float64 {
	if len(requests) == 0 {
		return 0
	}
	starts := make([]time.Time, 0, len(requests))
	for _, a := range requests {
		starts = append(starts, a.sent)
	}
	slices.SortFunc(starts, time.Time.Compare)
	zero := starts[0]
	tree := newMaxTree(len(starts))
	for i, s := range starts {
		tree.add(i, i, rate*s.Sub(zero).Seconds())
	}
	byRun := slices.Clone(requests)
	slices.SortFunc(byRun, func(a, b admitted) int { return a.ran.Compare(b.ran) })
	worst := math.Inf(-1)
	for _, a := range byRun {
		// The request is in every interval that begins by when it was sent.
		last, _ := slices.BinarySearchFunc(starts, a.sent.Add(1), time.Time.Compare)
		tree.add(0, last-1, 1)
		length := a.ran.Add(drift).Sub(zero).Seconds()
		worst = max(worst, tree.maximum(1, 0, tree.size-1, last-1)-rate*length-burst)
	}
	return worst
}

func newMaxTree(n int) *maxTree {
	size := 1
	for size < n {
		size *= 2
	}
	return &maxTree{size: size, added: make([]float64, 2*size), most: make([]float64, 2*size)}
}

// add adds v to the positions from first to last.
func (t *maxTree) add(first, last int, v float64) {
	t.addBelow(1, 0, t.size-1, first, last, v)
}

func (t *maxTree) addBelow(node, low, high, first, last int, v float64) {
	if last < low || high < first {
		return
	}
	if first <= low && high <= last {
		t.added[node] += v
		t.most[node] += v
		return
	}
	middle := (low + high) / 2
	t.addBelow(2*node, low, middle, first, last, v)
	t.addBelow(2*node+1, middle+1, high, first, last, v)
	t.most[node] = t.added[node] + max(t.most[2*node], t.most[2*node+1])
}

// maximum returns the greatest value of the positions of node, which covers
// low to high, up to last.
func (t *maxTree) maximum(node, low, high, last int) float64 {
	switch {
	case last < low:
		return math.Inf(-1)
	case high <= last:
		return t.most[node]
	}
	middle := (low + high) / 2
	left := t.maximum(2*node, low, middle, last)
	right := t.maximum(2*node+1, middle+1, high, last)
	return t.added[node] + max(left, right)
}
