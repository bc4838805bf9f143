package forwarder

import (
	"math"
	"time"

	"github.com/flamingotack/flamingotack/internal/linker"
)

const (
	// restoredRuns is the number of runs that restored fan-outs count as. It is small
	// so that current ones soon outweigh them.
	restoredRuns = minRuns
	// restoredNode is the node name under which restored fan-outs are kept.
	restoredNode = ""
	// offeredDecayTime is the time constant of the mean offered load.
	offeredDecayTime = 10 * time.Second
	// offeredChangeFactor is the factor by which the offered load of a service must
	// change for two states to differ.
	offeredChangeFactor = 2
)

// LearnedState is stored so that a node that starts while no other node runs knows the
// fan-outs and the load of the services.
type LearnedState struct {
	// FanOuts holds the mean numbers of calls that a run makes and its mean time, by
	// route.
	FanOuts map[string]linker.FanOut
	// OfferedSlots is the load that all nodes offer to each service, in slots.
	OfferedSlots map[string]float64
}

// DiffersFrom reports whether the other state differs enough to be stored.
func (s *LearnedState) DiffersFrom(other *LearnedState) bool {
	if linker.FanOutsDiffer(s.FanOuts, other.FanOuts) {
		return true
	}
	for service, slots := range s.OfferedSlots {
		if known := other.OfferedSlots[service]; slots > offeredChangeFactor*known || known > offeredChangeFactor*slots {
			return true
		}
	}
	return len(s.OfferedSlots) != len(other.OfferedSlots)
}

// LearnedState returns the fan-outs over all nodes of the routes with at least minRuns
// runs, and the mean offered load of the services.
func (f *Forwarder) LearnedState() LearnedState {
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := map[string]float64{}
	for node, fanOuts := range f.fanOuts {
		for route, fanOut := range fanOuts {
			if node != restoredNode {
				runs[route] += fanOut.Runs
			}
		}
	}
	s := LearnedState{FanOuts: map[string]linker.FanOut{}, OfferedSlots: map[string]float64{}}
	for route, n := range runs {
		if n >= minRuns {
			s.FanOuts[route] = linker.FanOut{Runs: restoredRuns, Calls: f.meanFanOut(route), ServiceTime: f.meanServiceTime(route)}
		}
	}
	for service, slots := range f.offeredSlots {
		s.OfferedSlots[service] = slots
	}
	return s
}

// Restore loads the state that was stored before this node started.
func (f *Forwarder) Restore(s LearnedState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fanOuts[restoredNode] = s.FanOuts
	clear(f.callTrees)
	for service, slots := range s.OfferedSlots {
		f.regulator.ExpectLoad(f.Clock.Now(), service, slots)
	}
}

// averageOffered adds the load offered to a service, in slots, to its mean. elapsed is
// the time since the last update. The caller must hold f.mu.
func (f *Forwarder) averageOffered(service string, offered float64, elapsed time.Duration) {
	known, found := f.offeredSlots[service]
	if !found {
		f.offeredSlots[service] = offered
		return
	}
	f.offeredSlots[service] = known + (1-math.Exp(-elapsed.Seconds()/offeredDecayTime.Seconds()))*(offered-known)
}
