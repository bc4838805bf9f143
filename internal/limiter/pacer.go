package limiter

import "time"

// Pacer spaces events evenly, such as the opening of connections.
type Pacer struct {
	// Interval is the time between two events. It is never negative.
	Interval time.Duration

	nextTurn time.Time
}

// Reserve reserves the next turn and returns how long to wait for it.
func (p *Pacer) Reserve(now time.Time) time.Duration {
	if p.nextTurn.Before(now) {
		p.nextTurn = now
	}
	wait := p.nextTurn.Sub(now)
	p.nextTurn = p.nextTurn.Add(p.Interval)
	return wait
}

// TimeToNext returns how long to wait for the next turn, without reserving it.
func (p *Pacer) TimeToNext(now time.Time) time.Duration {
	return max(0, p.nextTurn.Sub(now))
}
