package admitter

import "sync"

// maxRuns is the number of runs after which older ones count half, so that the
// means follow what the backend server does now.
const maxRuns = 2000

// FanCounter counts the calls that runs on the own backend server make. Make it
// by NewFanCounter. It is safe for concurrent use.
type FanCounter struct {
	runs func() int64

	mu    sync.Mutex
	past  int64
	total float64
	calls map[string]float64
}

// NewFanCounter returns a FanCounter. runs returns the number of runs so far.
func NewFanCounter(runs func() int64) *FanCounter {
	return &FanCounter{runs: runs, calls: map[string]float64{}}
}

// Called counts a call of a service.
func (c *FanCounter) Called(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[service]++
}

// Means returns the mean number of calls that one run makes, by service.
func (c *FanCounter) Means() map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.runs()
	c.total += float64(now - c.past)
	c.past = now
	if c.total == 0 {
		return nil
	}
	means := make(map[string]float64, len(c.calls))
	for service, n := range c.calls {
		means[service] = n / c.total
	}
	if c.total > maxRuns {
		c.total /= 2
		for service := range c.calls {
			c.calls[service] /= 2
		}
	}
	return means
}
