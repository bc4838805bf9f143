package limiter

import "time"

// Pacer spaces the opening of connections.
type Pacer struct {
	// Every is the time between two openings. Never negative.
	Interval time.Duration

	next time.Time
}

// Reserve takes the next turn and returns how long to wait for it.
func (p *Pacer) Reserve(now time.Time) time.Duration {
	if p.next.Before(now) {
		p.next = now
	}
	wait := p.next.Sub(now)
	p.next = p.next.Add(p.Interval)
	return wait
}

// Due returns how long the next turn is away, without taking it.
func (p *Pacer) TimeToNext(now time.Time) time.Duration {
	return max(0, p.next.Sub(now))
}
