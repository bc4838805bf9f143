package scheduler

import (
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
)

const (
	// minRetryAfter and maxRetryAfter bound how long a refused caller should wait.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// shedWindow is the length of a window in which refusals are counted.
	shedWindow = 200 * time.Millisecond
)

type (
	// windowCounts holds numbers of requests by priority.
	windowCounts struct {
		refused [exchanger.PriorityCount]int
		started [exchanger.PriorityCount]int
	}

	// shedCounter counts refused and started requests by priority, in the current
	// and the previous window.
	shedCounter struct {
		windowStart time.Time
		current     windowCounts
		previous    windowCounts
	}
)

// lowestAdmitted returns the least important priority of which some requests still run;
// -1 if there is none.
func (s *shedCounter) lowestAdmitted(now time.Time) exchanger.Priority {
	s.rotate(now)
	for p := range exchanger.PriorityCount {
		if s.previous.refused[p] > 0 && s.previous.started[p]+s.current.started[p] == 0 {
			return p - 1
		}
	}
	return exchanger.PriorityCount - 1
}

// refusalsPerStart returns the number of refusals per started request.
func (s *shedCounter) refusalsPerStart(now time.Time) float64 {
	s.rotate(now)
	refused, started := 0, 0
	for p := range exchanger.PriorityCount {
		refused += s.previous.refused[p] + s.current.refused[p]
		started += s.previous.started[p] + s.current.started[p]
	}
	return float64(refused) / float64(max(1, started))
}

func (s *shedCounter) countRefused(now time.Time, p exchanger.Priority) {
	s.rotate(now)
	s.current.refused[clampPriority(p)]++
}

// rotate starts a new window if the current one has ended.
func (s *shedCounter) rotate(now time.Time) {
	elapsed := now.Sub(s.windowStart)
	if elapsed < shedWindow {
		return
	}
	s.previous = s.current
	if elapsed >= 2*shedWindow {
		s.previous = windowCounts{}
	}
	s.current = windowCounts{}
	s.windowStart = now
}

func (s *shedCounter) countStarted(now time.Time, p exchanger.Priority) {
	s.rotate(now)
	s.current.started[clampPriority(p)]++
}

func clampPriority(p exchanger.Priority) exchanger.Priority {
	return min(max(p, 0), exchanger.PriorityCount-1)
}
