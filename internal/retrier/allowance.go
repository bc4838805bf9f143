package retrier

import "time"

const (
	// allowanceWindow is the time over which requests earn repeats.
	allowanceWindow = 10 * time.Second
	// usedPart is the part of what is allowed that a node uses; the rest is
	// for what it can't see, such as repeats of its callers' calls.
	usedPart = 0.8
)

type (
	// Allowance keeps the repeats of all nodes together at a part of the
	// requests for each service. Each node earns by the requests that it
	// takes itself and has an equal part of the constant slack, so that no
	// message is needed.
	Allowance struct {
		// Ratio is the number of repeats that a request allows.
		Ratio float64
		// Slack is the number of repeats in a window that is allowed besides.
		Slack float64

		services map[string]*saving
	}

	// saving is what a node may spend on repeats at one service.
	saving struct {
		earned float64
		slack  float64
		paid   time.Time
	}
)

// Earn counts a request of a caller for a service.
func (a *Allowance) Earn(now time.Time, service string, nodes int) {
	s := a.saving(now, service, nodes)
	s.earned = min(s.earned+a.Ratio*usedPart, a.most(nodes))
}

// Spend takes the cost of a repeat and reports whether there was enough at each
// service. cost is the number of requests that the repeat brings to a service.
func (a *Allowance) Spend(now time.Time, cost map[string]float64, nodes int) bool {
	for service, n := range cost {
		s := a.saving(now, service, nodes)
		if s.earned+s.slack < n {
			return false
		}
	}
	for service, n := range cost {
		s := a.services[service]
		fromSlack := min(n, s.slack)
		s.slack -= fromSlack
		s.earned -= n - fromSlack
	}
	return true
}

// most bounds what is saved up, so that a burst of repeats after a long calm
// still fits one window.
func (a *Allowance) most(nodes int) float64 {
	return a.part(nodes)
}

// part is a third of the node's part of the slack: one window may see what was
// there at its start, what comes back during it, and what requests before it
// have earned.
func (a *Allowance) part(nodes int) float64 {
	return a.Slack * usedPart / float64(max(1, nodes)) / 3
}

func (a *Allowance) saving(now time.Time, service string, nodes int) *saving {
	if a.services == nil {
		a.services = map[string]*saving{}
	}
	s := a.services[service]
	if s == nil {
		s = &saving{slack: a.part(nodes), paid: now}
		a.services[service] = s
	}
	elapsed := now.Sub(s.paid)
	s.paid = now
	part := a.part(nodes)
	s.slack = min(part, s.slack+part*float64(elapsed)/float64(allowanceWindow))
	return s
}
