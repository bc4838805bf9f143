// Package averager computes running means of durations and decaying sums. It reads no
// clock and does no input or output. Its types are not safe for concurrent use.
package averager

import (
	"math"
	"time"
)

const (
	// minWeight and maxWeight bound the weight of a new value in the mean.
	minWeight = 0.05
	maxWeight = 0.3
	// meanDecayTime is the time in which the weight of the earlier values falls to
	// 1/e, within minWeight and maxWeight. So a mean follows a change even when values
	// are rare.
	meanDecayTime = 500 * time.Millisecond
)

// RunningMean is an exponentially weighted moving average of durations. The zero
// RunningMean has no values.
type RunningMean struct {
	mean      time.Duration
	updatedAt time.Time
}

// Add adds a value observed at now.
func (m *RunningMean) Add(now time.Time, value time.Duration) {
	if m.updatedAt.IsZero() {
		m.mean, m.updatedAt = value, now
		return
	}
	weight := 1 - math.Exp(-now.Sub(m.updatedAt).Seconds()/meanDecayTime.Seconds())
	weight = max(minWeight, min(weight, maxWeight))
	m.mean += time.Duration(weight * float64(value-m.mean))
	m.updatedAt = now
}

// Value returns the mean; 0 before the first value.
func (m *RunningMean) Value() time.Duration {
	return m.mean
}
