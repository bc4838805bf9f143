package throttler

import (
	"math"
	"math/bits"
	"time"
)

const (
	// Token is the token that one request takes.
	Token MilliTokens = 1000

	// maxRefillTime bounds the time that a single refill covers, so that the
	// product of rate and time fits an int64.
	maxRefillTime = 10 * time.Minute
)

type (
	// Limit is a part of a customer's rate and burst.
	Limit struct {
		// RatePerSecond is the refill rate per second, not negative.
		RatePerSecond MilliTokens
		// Burst is the maximum of unspent tokens, not negative.
		Burst MilliTokens
	}

	// MilliTokens counts thousandths of a token.
	MilliTokens int64
)

// NewLimit returns the limit of a rate in requests per second and a burst in
// requests, both rounded down to thousandths.
func NewLimit(rate, burst float64) Limit {
	return Limit{
		RatePerSecond: MilliTokens(math.Floor(rate * float64(Token))),
		Burst:         MilliTokens(math.Floor(burst * float64(Token))),
	}
}

// add returns the sum of l and m.
func (l Limit) add(m Limit) Limit {
	return Limit{RatePerSecond: l.RatePerSecond + m.RatePerSecond, Burst: l.Burst + m.Burst}
}

// nonNegative returns l with negative fields set to 0.
func (l Limit) nonNegative() Limit {
	return Limit{RatePerSecond: max(l.RatePerSecond, 0), Burst: max(l.Burst, 0)}
}

// limitedTo returns the smaller of l and m for each field.
func (l Limit) limitedTo(m Limit) Limit {
	return Limit{RatePerSecond: min(l.RatePerSecond, m.RatePerSecond), Burst: min(l.Burst, m.Burst)}
}

// scaled returns l times n/d, rounded down. No field of l is negative.
func (l Limit) scaled(n, d MilliTokens) Limit {
	return Limit{RatePerSecond: scale(l.RatePerSecond, n, d), Burst: scale(l.Burst, n, d)}
}

// sub returns l minus m; fields may be negative.
func (l Limit) sub(m Limit) Limit {
	return Limit{RatePerSecond: l.RatePerSecond - m.RatePerSecond, Burst: l.Burst - m.Burst}
}

// refilledTokens returns the whole MilliTokens that rate yields from last to
// now, and the time up to which they account for the refill.
func refilledTokens(rate MilliTokens, last, now time.Time) (tokens MilliTokens, refilledUntil time.Time) {
	elapsed := now.Sub(last)
	if elapsed <= 0 {
		return 0, last
	}
	if rate <= 0 {
		return 0, now
	}
	if elapsed > maxRefillTime {
		last = now.Add(-maxRefillTime)
		elapsed = maxRefillTime
	}
	micros := elapsed.Microseconds()
	tokens = MilliTokens(int64(rate) * micros / int64(time.Second/time.Microsecond))
	used := (int64(tokens)*int64(time.Second/time.Microsecond) + int64(rate) - 1) / int64(rate)
	return tokens, last.Add(time.Duration(used) * time.Microsecond)
}

// scale returns m times n/d, rounded down, and at most math.MaxInt64; 0 when
// any argument is not positive.
func scale(m, n, d MilliTokens) MilliTokens {
	if m <= 0 || n <= 0 || d <= 0 {
		return 0
	}
	high, low := bits.Mul64(uint64(m), uint64(n))
	if high >= uint64(d) {
		return math.MaxInt64
	}
	quotient, _ := bits.Div64(high, low, uint64(d))
	return MilliTokens(min(quotient, math.MaxInt64))
}
