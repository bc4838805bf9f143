package limiter

import "time"

// Fixed is a Policy whose limit, in requests, never changes.
type Fixed int

// Limit returns f, at least 1.
func (f Fixed) Limit(time.Time) int {
	return max(1, int(f))
}

// Observe does nothing.
func (Fixed) Observe(time.Time, Sample) {}

// Reset does nothing.
func (Fixed) Reset(time.Time) {}
