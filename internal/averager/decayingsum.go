package averager

import (
	"math"
	"time"
)

// Sum is a sum in which an amount counts the less the longer it is ago.
type DecayingSum struct {
	value float64
	at    time.Time
}

// Add takes an amount. memory is the time after which one counts a third.
func (s *DecayingSum) Add(now time.Time, memory time.Duration, amount float64) {
	s.value = s.Value(now, memory) + amount
}

// At returns the sum and brings it up to now. Times before the last one change
// nothing.
func (s *DecayingSum) Value(now time.Time, memory time.Duration) float64 {
	if elapsed := now.Sub(s.at); elapsed > 0 {
		s.value *= math.Exp(-elapsed.Seconds() / memory.Seconds())
		s.at = now
	}
	return s.value
}
