package meter

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/parser"
)

// The spans over which requests are counted.
const (
	Window5m  Window = 5 * Window(time.Minute)
	Window30m Window = 30 * Window(time.Minute)
	Window1h  Window = Window(time.Hour)
	Window6h  Window = 6 * Window(time.Hour)
	Window3d  Window = 72 * Window(time.Hour)
)

// The outcomes of requests that were answered. A refused request has its
// reason as its outcome.
const (
	// OutcomeGood is a whole answer in time.
	OutcomeGood Outcome = "good"
	// OutcomeSlow is a whole answer that took longer than the objective.
	OutcomeSlow Outcome = "slow"
	// OutcomeError is an answer with status 500 or above.
	OutcomeError Outcome = "error"
)

// Spans are the spans over which requests are counted, the shortest first.
var Windows = [...]Window{Window5m, Window30m, Window1h, Window6h, Window3d}

type (
	// Counts are the requests that ended on a node.
	Counts struct {
		// Node and Incarnation name the node.
		Node        string `json:"node"`
		Incarnation string `json:"incarnation"`
		// Age is how long the node has counted. Longer spans hold no more
		// than that.
		CountingDuration parser.Duration `json:"age"`
		// Spans are the spans of the columns.
		Windows []parser.Duration `json:"spans"`
		// Series are the counts, in order of their keys.
		Series []Series `json:"series"`
	}

	// Key tells which requests are counted together.
	SeriesKey struct {
		// Service is the wanted service.
		Service string `json:"service"`
		// Customer is empty on an open route.
		Customer string `json:"customer"`
		// Priority is that of the request.
		Priority exchanger.Priority `json:"priority"`
		// Outcome is how the request ended.
		Outcome Outcome `json:"outcome"`
	}

	// Outcome is how a request ended.
	Outcome string

	// Series is the counts of one key.
	Series struct {
		SeriesKey
		// Counts are the requests in each span.
		Counts [len(Windows)]uint64 `json:"counts"`
	}

	// Span is a length of time that ends now.
	Window time.Duration

	// counter counts by key in rings of several steps. It has no clock: times
	// are given as the time since the start.
	counter struct {
		series map[SeriesKey]int
		rings  [4]*ring
	}
)

func newCounter() *counter {
	return &counter{
		series: map[SeriesKey]int{},
		rings: [4]*ring{
			newRing(10*time.Second, time.Duration(Window5m)),
			newRing(time.Minute, time.Duration(Window1h)),
			newRing(10*time.Minute, time.Duration(Window6h)),
			newRing(time.Hour, time.Duration(Window3d)),
		},
	}
}

func (c *counter) add(at time.Duration, k SeriesKey) {
	i, found := c.series[k]
	if !found {
		i = len(c.series)
		c.series[k] = i
	}
	for _, r := range c.rings {
		r.add(at, i)
	}
}

// list returns the counts of all keys.
func (c *counter) list(at time.Duration) []Series {
	list := make([]Series, len(c.series))
	for k, i := range c.series {
		list[i].SeriesKey = k
	}
	ringOf := [len(Windows)]int{0, 1, 1, 2, 3}
	for column, s := range Windows {
		for i, n := range c.rings[ringOf[column]].sum(at, time.Duration(s), len(c.series)) {
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
