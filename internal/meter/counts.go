package meter

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/parser"
)

// The windows over which requests are counted.
const (
	Window5m  Window = 5 * Window(time.Minute)
	Window30m Window = 30 * Window(time.Minute)
	Window1h  Window = Window(time.Hour)
	Window6h  Window = 6 * Window(time.Hour)
	Window3d  Window = 72 * Window(time.Hour)
)

// The outcomes of requests that were answered. The outcome of a refused request
// is the reason of the refusal.
const (
	// OutcomeGood is a complete response within the latency objective.
	OutcomeGood Outcome = "good"
	// OutcomeSlow is a complete response that exceeded the latency objective.
	OutcomeSlow Outcome = "slow"
	// OutcomeError is a response with status 500 or above.
	OutcomeError Outcome = "error"
)

// Windows are the windows over which requests are counted, the shortest first.
var Windows = [...]Window{Window5m, Window30m, Window1h, Window6h, Window3d}

type (
	// Counts are the requests that ended on a node.
	Counts struct {
		// Node and Incarnation identify the node.
		Node        string `json:"node"`
		Incarnation string `json:"incarnation"`
		// CountingDuration is how long the node has counted. Counts of longer
		// windows cover no more than that.
		CountingDuration parser.Duration `json:"age"`
		// Windows are the windows of Series.Counts, in the same order.
		Windows []parser.Duration `json:"spans"`
		// Series are the counts, sorted by key.
		Series []Series `json:"series"`
	}

	// SeriesKey identifies the requests that are counted together.
	SeriesKey struct {
		// Service is the requested service.
		Service string `json:"service"`
		// Customer is empty on a route that needs no key.
		Customer string `json:"customer"`
		// Priority is the priority of the requests.
		Priority exchanger.Priority `json:"priority"`
		// Outcome is how the requests ended.
		Outcome Outcome `json:"outcome"`
	}

	// Outcome is how a request ended.
	Outcome string

	// Series holds the counts of one key.
	Series struct {
		SeriesKey
		// Counts are the numbers of requests in each of Windows.
		Counts [len(Windows)]uint64 `json:"counts"`
	}

	// Window is the length of a time window that ends now.
	Window time.Duration

	// windowCounter counts by key, in one ring per bin width. It has no clock:
	// callers pass the time since the start.
	windowCounter struct {
		seriesIndex map[SeriesKey]int
		rings       [4]*ring
	}
)

func newWindowCounter() *windowCounter {
	return &windowCounter{
		seriesIndex: map[SeriesKey]int{},
		rings: [4]*ring{
			newRing(10*time.Second, time.Duration(Window5m)),
			newRing(time.Minute, time.Duration(Window1h)),
			newRing(10*time.Minute, time.Duration(Window6h)),
			newRing(time.Hour, time.Duration(Window3d)),
		},
	}
}

func (c *windowCounter) add(sinceStart time.Duration, k SeriesKey) {
	i, found := c.seriesIndex[k]
	if !found {
		i = len(c.seriesIndex)
		c.seriesIndex[k] = i
	}
	for _, r := range c.rings {
		r.add(sinceStart, i)
	}
}

// allSeries returns the counts of all keys, sorted by key.
func (c *windowCounter) allSeries(sinceStart time.Duration) []Series {
	list := make([]Series, len(c.seriesIndex))
	for k, i := range c.seriesIndex {
		list[i].SeriesKey = k
	}
	ringByWindow := [len(Windows)]int{0, 1, 1, 2, 3}
	for column, w := range Windows {
		for i, n := range c.rings[ringByWindow[column]].sum(sinceStart, time.Duration(w), len(c.seriesIndex)) {
			list[i].Counts[column] = n
		}
	}
	slices.SortFunc(list, func(a, b Series) int { return a.compare(b.SeriesKey) })
	return list
}

func (k SeriesKey) compare(o SeriesKey) int {
	return cmp.Or(
		cmp.Compare(k.Service, o.Service),
		cmp.Compare(k.Customer, o.Customer),
		cmp.Compare(k.Priority, o.Priority),
		cmp.Compare(k.Outcome, o.Outcome),
	)
}
