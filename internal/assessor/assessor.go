// Package assessor judges by its latest runs whether a backend server is sound. It knows
// no clock and does no input or output; an Assessor is not safe for concurrent use.
package assessor

import (
	"time"

	"github.com/flamingotack/flamingotack/internal/averager"
)

// How a run ended, as far as that tells about the server.
const (
	// EndWell says that the server answered.
	OutcomeSuccess Outcome = iota
	// EndBadly says that the server turned the call away, failed or broke off.
	OutcomeFailure
	// EndUnclear says nothing about the server, such as a failure of one that it
	// calls in turn.
	OutcomeIgnored
)

const (
	// memory is the time after which a run counts a third.
	memory = time.Second
	// presumed is the number of runs that are presumed to have ended well before
	// the first one.
	presumed = 4
	// failingFrom is the part of the runs that end badly from which on a server is
	// failing.
	failingFrom = 0.2
	// proof is the number of runs in a row that have to end well for a failing server
	// to be sound again.
	proof = 12
	// pardon is how long after its last bad run a failing server is sound again that
	// gets too few calls for a proof. It bounds for how long one is left unused that has
	// recovered.
	pardon = 2 * time.Second
)

type (
	// End is how a run ended.
	Outcome int

	// Assessor keeps the latest runs. The zero Assessor has seen none and takes the
	// server for sound.
	Assessor struct {
		badly, all averager.DecayingSum
		failing    bool
		// streak is the number of runs in a row that ended well, and last when one
		// last ended badly.
		streak int
		last   time.Time
	}
)

// Take takes the end of a run.
func (a *Assessor) Record(now time.Time, e Outcome) {
	switch e {
	case OutcomeSuccess:
		a.streak++
	case OutcomeFailure:
		a.streak = 0
		a.last = now
		a.badly.Add(now, memory, 1)
	default:
		return
	}
	a.all.Add(now, memory, 1)
	switch part := a.badly.Value(now, memory) / (a.all.Value(now, memory) + presumed); {
	case a.failing && a.streak >= proof:
		*a = Assessor{}
	case part >= failingFrom:
		a.failing = true
	}
}

// Failing reports whether many runs end badly. Others should go first as long as they
// have room.
func (a *Assessor) Failing(now time.Time) bool {
	return a.failing && now.Sub(a.last) < pardon
}
