// Package assessor detects from the outcomes of its latest runs whether a backend server
// is failing. It reads no clock and does no input or output. An Assessor is not safe for
// concurrent use.
package assessor

import (
	"time"

	"github.com/flamingotack/flamingotack/internal/averager"
)

// The outcomes of a run, as far as they say something about the server.
const (
	// OutcomeSuccess means that the server answered.
	OutcomeSuccess Outcome = iota
	// OutcomeFailure means that the server refused the call, failed it or broke off
	// its response.
	OutcomeFailure
	// OutcomeIgnored says nothing about the server, such as a failure of another
	// server that it calls.
	OutcomeIgnored
)

const (
	// decayTime is the time in which the weight of a run falls to 1/e, about a third.
	decayTime = time.Second
	// presumedSuccesses is the number of successful runs that are added to the
	// observed ones when the fraction of failures is computed.
	presumedSuccesses = 4
	// failingFraction is the fraction of failed runs from which a server counts as
	// failing.
	failingFraction = 0.2
	// recoverySuccesses is the number of consecutive successes after which a failing
	// server has recovered.
	recoverySuccesses = 12
	// recoveryTimeout is the time after its last failure at which a failing server
	// counts as recovered even if it gets too few calls for recoverySuccesses. It bounds
	// how long a recovered server stays unused.
	recoveryTimeout = 2 * time.Second
)

type (
	// Outcome is the outcome of a run.
	Outcome int

	// Assessor keeps decaying counts of runs and failures. The zero Assessor has seen no
	// runs and reports a server that is not failing.
	Assessor struct {
		failures, runs averager.DecayingSum
		failing        bool
		// successStreak is the number of successes since the last failure, and
		// lastFailure the time of that failure.
		successStreak int
		lastFailure   time.Time
	}
)

// Record adds the outcome of a run that ended at now.
func (a *Assessor) Record(now time.Time, outcome Outcome) {
	switch outcome {
	case OutcomeSuccess:
		a.successStreak++
	case OutcomeFailure:
		a.successStreak = 0
		a.lastFailure = now
		a.failures.Add(now, decayTime, 1)
	default:
		return
	}
	a.runs.Add(now, decayTime, 1)
	switch failureFraction := a.failures.Value(now, decayTime) / (a.runs.Value(now, decayTime) + presumedSuccesses); {
	case a.failing && a.successStreak >= recoverySuccesses:
		*a = Assessor{}
	case failureFraction >= failingFraction:
		a.failing = true
	}
}

// Failing reports whether a high fraction of the latest runs has failed. Callers should
// prefer other servers as long as those have free capacity.
func (a *Assessor) Failing(now time.Time) bool {
	return a.failing && now.Sub(a.lastFailure) < recoveryTimeout
}
