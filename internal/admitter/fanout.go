package admitter

import (
	"maps"
	"sync"
	"time"

	"github.com/flamingotack/flamingotack/internal/attributor"
	"github.com/flamingotack/flamingotack/internal/averager"
	"github.com/flamingotack/flamingotack/internal/estimator"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// windowLength is the length of a window in which runs and calls are counted.
	windowLength = 500 * time.Millisecond
	// openWindows is the number of windows that still accept runs. A run is
	// counted when it ends, in each window by the fraction of its time there.
	openWindows = 3
	// mergedWindows is the number of first windows that are merged into one.
	mergedWindows = 2
	// attributedDecayTime is the time constant of the sums of attributed calls. It is
	// close to the memory of the estimator.
	attributedDecayTime = 16 * time.Second
	// minAttributedRuns is the decayed number of runs below which a route is dropped.
	minAttributedRuns = 0.01
)

type (
	// FanOutCounter counts the runs and the outgoing calls of the local backend
	// server and determines how many calls a run of each route makes: exactly for the
	// calls that are attributed to a run, and by an estimate for the others. Create it
	// with NewFanOutCounter. It is safe for concurrent use.
	FanOutCounter struct {
		clock     timekeeper.Clock
		startedAt time.Time

		mu sync.Mutex
		// oldestOpen is the number of the oldest open window.
		oldestOpen int
		windows    [openWindows]windowCounts
		// merged holds the counts of the first windows with any run or call,
		// and mergedCount is the number of these windows.
		merged      windowCounts
		mergedCount int
		estimator   estimator.Estimator
		// attributed holds the attributed calls by the route of the runs.
		attributed map[string]*attributedCalls
		// cached is the last result of FanOuts; nil after the estimator changed.
		cached map[string]estimator.FanOut
	}

	// attributedCalls holds the sums of the runs of a route, of their times and of the
	// calls that are attributed to them, with weights that decay over attributedDecayTime.
	attributedCalls struct {
		runs  averager.DecayingSum
		calls map[string]*averager.DecayingSum
		// completed is the number of completed runs and seconds their total time.
		completed, seconds averager.DecayingSum
	}

	// windowCounts holds the numbers of runs and calls in one window, by route.
	windowCounts struct {
		runs, calls map[string]float64
	}
)

// NewFanOutCounter returns an empty FanOutCounter.
func NewFanOutCounter(clock timekeeper.Clock) *FanOutCounter {
	c := &FanOutCounter{clock: clock, startedAt: clock.Now(), merged: newWindowCounts(), attributed: map[string]*attributedCalls{}}
	for i := range c.windows {
		c.windows[i] = newWindowCounts()
	}
	return c
}

// CountCall counts a call to a route that the backend server makes in a run that is not
// known.
func (c *FanOutCounter) CountCall(route string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance()
	c.window(c.windowNumber(c.clock.Now())).calls[route]++
}

// FanOuts returns, for each route, the mean number of calls to other routes that one
// run makes. The result is immutable.
func (c *FanOutCounter) FanOuts() map[string]estimator.FanOut {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance()
	if c.cached == nil {
		c.cached = c.estimator.FanOuts()
		c.addAttributed(c.cached)
	}
	return c.cached
}

// CountRun counts a finished run on the backend server and the calls that are attributed to
// it.
func (c *FanOutCounter) CountRun(s attributor.Summary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance()
	c.countAttributed(s)
	route, started, ended := s.Route, s.StartedAt, s.EndedAt
	length := max(ended.Sub(started), 1)
	for n := max(c.oldestOpen, c.windowNumber(started)); n <= c.windowNumber(ended); n++ {
		start := c.startedAt.Add(time.Duration(n) * windowLength)
		if n == c.oldestOpen || start.Before(started) {
			// Time before the oldest open window counts in that window.
			start = started
		}
		end := c.startedAt.Add(time.Duration(n+1) * windowLength)
		if end.After(ended) {
			end = ended
		}
		c.window(n).runs[route] += float64(max(end.Sub(start), 1)) / float64(length)
	}
}

// countAttributed counts a run and the calls that are attributed to it.
func (c *FanOutCounter) countAttributed(s attributor.Summary) {
	sums := c.attributed[s.Route]
	if sums == nil {
		sums = &attributedCalls{calls: map[string]*averager.DecayingSum{}}
		c.attributed[s.Route] = sums
	}
	sums.runs.Add(s.EndedAt, attributedDecayTime, 1)
	if s.Completed {
		sums.completed.Add(s.EndedAt, attributedDecayTime, 1)
		sums.seconds.Add(s.EndedAt, attributedDecayTime, s.EndedAt.Sub(s.StartedAt).Seconds())
	}
	for called, n := range s.Calls {
		if sums.calls[called] == nil {
			sums.calls[called] = &averager.DecayingSum{}
		}
		sums.calls[called].Add(s.EndedAt, attributedDecayTime, float64(n))
	}
}

// addAttributed adds the mean number of attributed calls per run and the mean service time
// to the fan-outs. It drops the routes that have not run for a long time.
func (c *FanOutCounter) addAttributed(fanOuts map[string]estimator.FanOut) {
	now := c.clock.Now()
	maps.DeleteFunc(c.attributed, func(_ string, sums *attributedCalls) bool {
		return sums.runs.Value(now, attributedDecayTime) < minAttributedRuns
	})
	for route, fanOut := range fanOuts {
		sums := c.attributed[route]
		if sums == nil {
			continue
		}
		runs := max(1, sums.runs.Value(now, attributedDecayTime))
		for called, calls := range sums.calls {
			fanOut.Calls[called] += calls.Value(now, attributedDecayTime) / runs
		}
		if completed := sums.completed.Value(now, attributedDecayTime); completed > minAttributedRuns {
			fanOut.ServiceTime = time.Duration(sums.seconds.Value(now, attributedDecayTime) / completed * float64(time.Second))
			fanOuts[route] = fanOut
		}
	}
}

// advance closes all windows but the newest openWindows.
func (c *FanOutCounter) advance() {
	last := c.windowNumber(c.clock.Now())
	if last-c.oldestOpen > 2*openWindows {
		c.oldestOpen = last - 2*openWindows
	}
	for ; c.oldestOpen <= last-openWindows; c.oldestOpen++ {
		w := c.window(c.oldestOpen)
		if len(w.runs) > 0 || len(w.calls) > 0 {
			c.close(*w)
		}
		*w = newWindowCounts()
	}
}

// close adds a finished window to the estimator. The first windows are merged because
// most calls are made early in a run: the first windows hold calls of runs that are
// counted in later ones.
func (c *FanOutCounter) close(w windowCounts) {
	if c.mergedCount < mergedWindows {
		c.mergedCount++
		c.merged.add(w)
		if c.mergedCount < mergedWindows {
			return
		}
		w = c.merged
	}
	c.estimator.AddWindow(w.runs, w.calls)
	c.cached = nil
}

// windowNumber returns the number of the window that contains t.
func (c *FanOutCounter) windowNumber(t time.Time) int {
	return int(t.Sub(c.startedAt) / windowLength)
}

func (c *FanOutCounter) window(number int) *windowCounts {
	return &c.windows[number%openWindows]
}

// add adds the counts of another window.
func (w windowCounts) add(o windowCounts) {
	for route, n := range o.runs {
		w.runs[route] += n
	}
	for route, n := range o.calls {
		w.calls[route] += n
	}
}

func newWindowCounts() windowCounts {
	return windowCounts{runs: map[string]float64{}, calls: map[string]float64{}}
}
