package forwarder

import (
	"math"
	"time"

	"github.com/flamingotack/flamingotack/internal/linker"
)

const (
	// recalledRuns is the number of runs that recalled fans count as, so that those of
	// the present take over soon.
	recalledRuns = leastRuns
	// recalled stands for a node where recalled fans are kept.
	recalled = ""
	// workTime is the time over which the work of services is averaged.
	workTime = 10 * time.Second
	// workChange is the factor by which the work of a service has to change for the
	// memory to differ.
	workChange = 2
)

// Memory is what helps a node that starts when no other one is left that could tell it.
type LearnedState struct {
	// Fans are the mean numbers of calls that a run makes, by route.
	FanOuts map[string]linker.Fans
	// Work is what each service is offered by all nodes, in slots.
	OfferedSlots map[string]float64
}

// Differs reports whether another memory tells something else.
func (m *LearnedState) DiffersFrom(other *LearnedState) bool {
	if linker.FansDiffer(m.FanOuts, other.FanOuts) {
		return true
	}
	for service, work := range m.OfferedSlots {
		if known := other.OfferedSlots[service]; work > workChange*known || known > workChange*work {
			return true
		}
	}
	return len(m.OfferedSlots) != len(other.OfferedSlots)
}

// Memory returns the fans of all routes of which enough have run, over all nodes, and
// the work of the services.
func (f *Forwarder) LearnedState() LearnedState {
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := map[string]float64{}
	for name, m := range f.fans {
		for route, fans := range m {
			if name != recalled {
				runs[route] += fans.Runs
			}
		}
	}
	m := LearnedState{FanOuts: map[string]linker.Fans{}, OfferedSlots: map[string]float64{}}
	for route, n := range runs {
		if n >= leastRuns {
			m.FanOuts[route] = linker.Fans{Runs: recalledRuns, Calls: f.meanFans(route)}
		}
	}
	for service, work := range f.work {
		m.OfferedSlots[service] = work
	}
	return m
}

// Recall takes what was kept before this node started.
func (f *Forwarder) Restore(m LearnedState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fans[recalled] = m.FanOuts
	clear(f.trees)
	for service, work := range m.OfferedSlots {
		f.regulator.ExpectLoad(f.Clock.Now(), service, work)
	}
}

// remember takes what a service is offered into the mean. elapsed is the time since the
// last look. The caller holds the lock.
func (f *Forwarder) remember(service string, offered float64, elapsed time.Duration) {
	known, found := f.work[service]
	if !found {
		f.work[service] = offered
		return
	}
	f.work[service] = known + (1-math.Exp(-elapsed.Seconds()/workTime.Seconds()))*(offered-known)
}
