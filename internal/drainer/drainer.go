// Package drainer decides which requests a stopping node still accepts, so that each
// accepted one can be answered before the process ends. The package reads no clock and
// does no input or output.
package drainer

import (
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
)

const (
	// lingerDuration is how long a stopping node still accepts requests that start a call
	// chain. Callers probe readiness once a second, so they need this time to notice.
	lingerDuration = 2300 * time.Millisecond
	// maxLingerFraction bounds lingerDuration as a fraction of the time until End.
	maxLingerFraction = 0.5
	// runTimeFactor is how many times the mean time of a run must be left. Most runs that
	// take longer than the mean take less than that.
	runTimeFactor = 5
	// minTimeLeft is the time that must be left beside the run, for the messages between
	// nodes and a wait in a queue.
	minTimeLeft = 250 * time.Millisecond
)

type (
	// Drain is the schedule of a node that stops. The zero value is that of a node that
	// does not stop.
	Drain struct {
		// LingerUntil is when the node stops accepting requests that start a call chain;
		// zero while the node does not stop.
		LingerUntil time.Time
		// End is when the node cuts the requests that are not answered. It is not before
		// LingerUntil.
		End time.Time
	}

	// Request is what the decision on a request depends on.
	Request struct {
		// Call is the request as a call.
		Call *exchanger.Call
		// InRun reports whether a run on the local backend server may wait for the answer.
		InRun bool
		// MeanRunTime is the mean time of a run of the request's route; 0 if it is not known.
		MeanRunTime time.Duration
	}
)

// New returns the schedule of a stop that starts at startedAt and cuts requests at end.
func New(startedAt, end time.Time) Drain {
	longest := time.Duration(maxLingerFraction * float64(end.Sub(startedAt)))
	return Drain{LingerUntil: startedAt.Add(min(lingerDuration, longest)), End: end}
}

// Lingers reports whether the node accepts all requests.
func (d Drain) Lingers(now time.Time) bool {
	return d.LingerUntil.IsZero() || now.Before(d.LingerUntil)
}

// Accepts reports whether the node accepts a request at now. After LingerUntil it accepts
// only calls of runs on its backend server that will surely or most likely be answered
// before End.
func (d Drain) Accepts(now time.Time, r Request) bool {
	switch {
	case d.Lingers(now):
		return true
	case !r.InRun:
		return false
	case !r.Call.Deadline.After(d.End):
		return true
	}
	return r.MeanRunTime > 0 && !now.Add(minTimeLeft+runTimeFactor*r.MeanRunTime).After(d.End)
}
