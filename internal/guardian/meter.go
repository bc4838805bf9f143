package guardian

import (
	"math"
	"time"
)

// meterTime is the time over which a meter averages.
const meterTime = 400 * time.Millisecond

// meter measures a rate, with less weight for what is longer ago.
type meter struct {
	sum float64
	now time.Time
}

// add counts an amount.
func (m *meter) add(now time.Time, amount float64) {
	m.decay(now)
	m.sum += amount
}

// at returns the rate a second.
func (m *meter) at(now time.Time) float64 {
	m.decay(now)
	return m.sum / meterTime.Seconds()
}

func (m *meter) decay(now time.Time) {
	elapsed := now.Sub(m.now)
	if elapsed <= 0 {
		return
	}
	m.sum *= math.Exp(-elapsed.Seconds() / meterTime.Seconds())
	m.now = now
}
