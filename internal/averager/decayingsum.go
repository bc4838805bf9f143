package averager

import (
	"math"
	"time"
)

// DecayingSum is a sum of amounts whose weights decay exponentially with their age. The
// zero DecayingSum is empty.
type DecayingSum struct {
	sum       float64
	updatedAt time.Time
}

// Add adds an amount. decayTime is the time in which its weight falls to 1/e, about a
// third.
func (s *DecayingSum) Add(now time.Time, decayTime time.Duration, amount float64) {
	s.sum = s.Value(now, decayTime) + amount
}

// Value decays the sum up to now and returns it. A time before the last one does not
// change the sum.
func (s *DecayingSum) Value(now time.Time, decayTime time.Duration) float64 {
	if elapsed := now.Sub(s.updatedAt); elapsed > 0 {
		s.sum *= math.Exp(-elapsed.Seconds() / decayTime.Seconds())
		s.updatedAt = now
	}
	return s.sum
}
