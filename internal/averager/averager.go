// Package averager keeps running means of times and sums that fade. It knows no
// clock and does no input or output; its types are not safe for concurrent use.
package averager

import (
	"math"
	"time"
)

const (
	// leastGain and mostGain bound the weight of a new value against the mean
	// of those before.
	leastGain = 0.05
	mostGain  = 0.3
	// memory is the time after which values that come seldom have faded, so
	// that a mean follows a change also when few values come.
	memory = 500 * time.Millisecond
)

// Mean is a running mean. The zero Mean has taken no value.
type RunningMean struct {
	value time.Duration
	at    time.Time
}

// Add takes a value.
func (m *RunningMean) Add(now time.Time, value time.Duration) {
	if m.at.IsZero() {
		m.value, m.at = value, now
		return
	}
	gain := 1 - math.Exp(-now.Sub(m.at).Seconds()/memory.Seconds())
	gain = max(leastGain, min(gain, mostGain))
	m.value += time.Duration(gain * float64(value-m.value))
	m.at = now
}

// Value returns the mean; 0 before the first value.
func (m *RunningMean) Value() time.Duration {
	return m.value
}
