package admitter

import (
	"sync"
	"time"

	"github.com/flamingotack/flamingotack/internal/estimator"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

// fanWindow is the least time over which runs and calls are counted together.
const fanWindow = 500 * time.Millisecond

// FanCounter counts the runs and the calls of the own backend server and learns
// how many calls a run of each route makes. Make it by NewFanCounter. It is safe
// for concurrent use.
type FanCounter struct {
	clock timekeeper.Clock

	mu        sync.Mutex
	begun     time.Time
	runs      map[string]float64
	calls     map[string]float64
	estimator estimator.Estimator
	fans      map[string]estimator.Fans
}

// NewFanCounter returns a FanCounter that has counted nothing.
func NewFanCounter(clock timekeeper.Clock) *FanCounter {
	return &FanCounter{clock: clock, begun: clock.Now(), runs: map[string]float64{}, calls: map[string]float64{}}
}

// Called counts a call of a route by the backend server.
func (c *FanCounter) Called(route string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[route]++
}

// Fans returns the mean number of calls, by route, that a run of each route
// makes. The result is not changed any more.
func (c *FanCounter) Fans() map[string]estimator.Fans {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if now.Sub(c.begun) < fanWindow {
		return c.fans
	}
	c.begun = now
	if len(c.runs) == 0 && len(c.calls) == 0 {
		return c.fans
	}
	c.estimator.Add(c.runs, c.calls)
	clear(c.runs)
	clear(c.calls)
	c.fans = c.estimator.Fans()
	return c.fans
}

// Ran counts a run of a route on the backend server.
func (c *FanCounter) Ran(route string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[route]++
}
