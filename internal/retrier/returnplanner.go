package retrier

import "time"

const (
	// returnCapacityFraction is the fraction of a service's capacity that returning
	// callers may use. The rest is left for new requests.
	returnCapacityFraction = 0.9
	// recoveryMargin is the time after a service's capacity has come back until nodes
	// that send calls to it have noticed.
	recoveryMargin = 30 * time.Millisecond
)

type (
	// ReturnPlanner plans when refused callers return to services whose capacity comes
	// back at a known time, such as servers that warm up. The callers of one node return
	// one after the other, at the rate at which the recovered service can serve them. The
	// zero value is ready to use. It is not safe for concurrent use.
	ReturnPlanner struct {
		// planned holds the time of the last planned return by service.
		planned map[string]time.Time
	}

	// Recovery describes when the capacity of a service comes back.
	Recovery struct {
		// At is when the capacity comes back.
		At time.Time
		// Slots is the capacity then, as far as this node may use it, in slots. It is
		// greater than 0.
		Slots float64
	}
)

// Plan returns the delay until a caller that is refused at now should return, if it needs
// a slot of the service for slotSeconds. A caller that would have to wait longer than
// maxDelay takes no place in the plan.
func (p *ReturnPlanner) Plan(now time.Time, service string, r Recovery, slotSeconds float64, maxDelay time.Duration) time.Duration {
	at := r.At.Add(recoveryMargin)
	if last := p.planned[service]; last.After(at) {
		at = last
	}
	at = at.Add(time.Duration(slotSeconds / (returnCapacityFraction * r.Slots) * float64(time.Second)))
	if at.Sub(now) > maxDelay {
		return at.Sub(now)
	}
	if p.planned == nil {
		p.planned = map[string]time.Time{}
	}
	p.planned[service] = at
	return at.Sub(now)
}
