package retrier

import "time"

const (
	// returnFrom and returnTo bound when a refused caller should come back, in
	// parts of the time until its answer is late.
	returnFrom = 0.25
	returnTo   = 0.5
	// leastObjective stands for less time than that, so that a late caller does
	// not come back at once.
	leastObjective = 400 * time.Millisecond
)

// ComeBack returns after what time a refused caller should come back whose
// answer is late in left: soon enough for it to be in time, and spread. random
// is from 0 to below 1.
func RetryAfter(left time.Duration, random float64) time.Duration {
	part := returnFrom + (returnTo-returnFrom)*random
	return time.Duration(float64(max(left, leastObjective)) * part)
}
