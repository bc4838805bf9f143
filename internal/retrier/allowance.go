package retrier

import (
	"time"

	"github.com/flamingotack/flamingotack/internal/averager"
)

const (
	// Window is the time over which repeats are counted against requests.
	Window = 10 * time.Second
	// usedPart is the part of what is allowed that is used; the rest is for what a
	// node can't see, such as repeats of its callers' calls.
	usedPart = 0.8
	// earnedTime is the time over which repeats that requests have earned fade, so
	// that what is saved up before a window adds little to what it allows.
	earnedTime = Window / 4
	// slackParts divides the slack: a window may see what was there at its start,
	// what comes back during it and, if all nodes start anew, a part once more.
	slackParts = 3
)

// Allowance keeps the repeats of all nodes together at a part of the requests for
// each service. Each node earns by the requests that it takes itself, so that no
// message is needed.
type Allowance struct {
	// Ratio is the number of repeats that a request allows.
	Ratio float64

	services map[string]*averager.DecayingSum
}

// Slack returns the number of repeats that all nodes together may save up besides
// those that requests earn, and how many come back in a second, when slack is what is
// allowed in a Window.
func Slack(slack float64) (most, perSecond float64) {
	most = slack * usedPart / slackParts
	return most, most / Window.Seconds()
}

// Earn counts a request of a caller for a service.
func (a *Allowance) Earn(now time.Time, service string) {
	a.earned(service).Add(now, earnedTime, a.Ratio*usedPart)
}

// Spend takes the cost of a repeat from what was earned and returns what that lacks.
// cost is the number of requests that the repeat brings to a service.
func (a *Allowance) Spend(now time.Time, cost map[string]float64) (lacking map[string]float64) {
	lacking = map[string]float64{}
	for service, n := range cost {
		s := a.earned(service)
		taken := min(n, s.Value(now, earnedTime))
		s.Add(now, earnedTime, -taken)
		if taken < n {
			lacking[service] = n - taken
		}
	}
	return lacking
}

// Refund gives back what Spend took of a cost of which that was lacking.
func (a *Allowance) Refund(now time.Time, cost, lacking map[string]float64) {
	for service, n := range cost {
		a.earned(service).Add(now, earnedTime, n-lacking[service])
	}
}

func (a *Allowance) earned(service string) *averager.DecayingSum {
	if a.services == nil {
		a.services = map[string]*averager.DecayingSum{}
	}
	s := a.services[service]
	if s == nil {
		s = &averager.DecayingSum{}
		a.services[service] = s
	}
	return s
}
