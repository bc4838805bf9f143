package admitter

import (
	"sync"
	"time"

	"github.com/flamingotack/flamingotack/internal/estimator"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// fanWindow is the time over which runs and calls are counted together.
	fanWindow = 500 * time.Millisecond
	// openWindows is the number of windows that still take runs: a run counts
	// once it has ended, in each window by the part of it that lies there.
	openWindows = 3
	// startWindows is the number of the first windows that become one.
	startWindows = 2
)

type (
	// FanCounter counts the runs and the calls of the own backend server and
	// learns how many calls a run of each route makes. Make it by
	// NewFanCounter. It is safe for concurrent use.
	FanoutCounter struct {
		clock timekeeper.Clock
		begun time.Time

		mu sync.Mutex
		// first is the number of the oldest open window.
		first   int
		windows [openWindows]fanCounts
		// start holds the first windows with any run or call, and opening is
		// their number.
		start     fanCounts
		opening   int
		estimator estimator.Estimator
		// fans are those that the estimator gave; nil when it has learnt since.
		fans map[string]estimator.Fans
	}

	// fanCounts are the runs and calls of one window, by route.
	fanCounts struct {
		runs, calls map[string]float64
	}
)

// NewFanCounter returns a FanCounter that has counted nothing.
func NewFanoutCounter(clock timekeeper.Clock) *FanoutCounter {
	c := &FanoutCounter{clock: clock, begun: clock.Now(), start: newFanCounts()}
	for i := range c.windows {
		c.windows[i] = newFanCounts()
	}
	return c
}

// Called counts a call of a route by the backend server.
func (c *FanoutCounter) CountCall(route string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance()
	c.window(c.number(c.clock.Now())).calls[route]++
}

// Fans returns the mean number of calls, by route, that a run of each route
// makes. The result is not changed any more.
func (c *FanoutCounter) Fanouts() map[string]estimator.Fans {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance()
	if c.fans == nil {
		c.fans = c.estimator.Fans()
	}
	return c.fans
}

// Ran counts a run of a route on the backend server.
func (c *FanoutCounter) CountRun(route string, started, ended time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance()
	length := max(ended.Sub(started), 1)
	for n := max(c.first, c.number(started)); n <= c.number(ended); n++ {
		from := c.begun.Add(time.Duration(n) * fanWindow)
		if n == c.first || from.Before(started) {
			// What lies before the oldest window counts there.
			from = started
		}
		to := c.begun.Add(time.Duration(n+1) * fanWindow)
		if to.After(ended) {
			to = ended
		}
		c.window(n).runs[route] += float64(max(to.Sub(from), 1)) / float64(length)
	}
}

// advance closes the windows that are over for long enough.
func (c *FanoutCounter) advance() {
	last := c.number(c.clock.Now())
	if last-c.first > 2*openWindows {
		c.first = last - 2*openWindows
	}
	for ; c.first <= last-openWindows; c.first++ {
		w := c.window(c.first)
		if len(w.runs) > 0 || len(w.calls) > 0 {
			c.close(*w)
		}
		*w = newFanCounts()
	}
}

// close hands a window to the estimator. The first few become one: most calls are
// made early in a run, so that the first windows hold the calls of runs that count
// in later ones.
func (c *FanoutCounter) close(w fanCounts) {
	if c.opening < startWindows {
		c.opening++
		c.start.add(w)
		if c.opening < startWindows {
			return
		}
		w = c.start
	}
	c.estimator.Add(w.runs, w.calls)
	c.fans = nil
}

// number returns the number of the window of a time.
func (c *FanoutCounter) number(t time.Time) int {
	return int(t.Sub(c.begun) / fanWindow)
}

func (c *FanoutCounter) window(number int) *fanCounts {
	return &c.windows[number%openWindows]
}

// add takes the counts of another window.
func (w fanCounts) add(o fanCounts) {
	for route, n := range o.runs {
		w.runs[route] += n
	}
	for route, n := range o.calls {
		w.calls[route] += n
	}
}

func newFanCounts() fanCounts {
	return fanCounts{runs: map[string]float64{}, calls: map[string]float64{}}
}
