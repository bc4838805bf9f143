package retrier

import "time"

const (
	// minDelayFraction and maxDelayFraction bound the delay of a refused caller's
	// retry, as fractions of the time until its objective.
	minDelayFraction = 0.25
	maxDelayFraction = 0.5
	// minTimeLeft is the least time that the delay is computed from, so that a late
	// caller does not retry at once.
	minTimeLeft = 400 * time.Millisecond
)

// RetryAfter returns the delay after which a refused caller should retry. timeLeft is the
// time until its answer is late. The delay leaves time for the answer to be in time, and
// is spread by random, a random number from 0 to below 1.
func RetryAfter(timeLeft time.Duration, random float64) time.Duration {
	return RetryAfterWithin(timeLeft, maxDelayFraction, random)
}

// RetryAfterWithin is like RetryAfter with a delay of at most maxFraction of the time left, from
// minDelayFraction to 1.
func RetryAfterWithin(timeLeft time.Duration, maxFraction, random float64) time.Duration {
	fraction := minDelayFraction + (maxFraction-minDelayFraction)*random
	return time.Duration(float64(max(timeLeft, minTimeLeft)) * fraction)
}
