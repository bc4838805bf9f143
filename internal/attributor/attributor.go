// Package attributor finds the run on the local backend server that makes a call. Where
// the ID of a call extends the ID of a run that is in progress, the call belongs to that
// run; other calls stay without a run. The package reads no clock and does no input or
// output.
package attributor

import (
	"sync"
	"time"
	"unicode"

	"github.com/flamingotack/flamingotack/internal/exchanger"
)

type (
	// Attributor keeps the runs in progress. The zero value is ready to use. It is safe
	// for concurrent use.
	Attributor struct {
		mu sync.Mutex
		// runs holds the runs in progress by the ID of their call.
		runs map[string]*Run
		// attributed reports whether any call has been attributed to a run.
		attributed bool
	}

	// Run is a call that runs on the local backend server. Only the Attributor that
	// started it changes it.
	Run struct {
		// Call is the call that runs.
		Call *exchanger.Call
		// StartedAt is when the call was sent to the backend server.
		StartedAt time.Time

		// calls holds the number of calls that the run has made, by route, and
		// failedCalls the number of those that have failed.
		calls       map[string]int
		failedCalls int
		// pending is the number of its calls that have no answer yet, and waitingSince
		// the time since which there are any.
		pending      int
		waitingSince time.Time
		// waited is the time during which at least one call was pending, except for the
		// time since waitingSince.
		waited time.Duration
	}

	// Summary describes a run that has ended.
	Summary struct {
		// Route is the route of the run.
		Route string
		// StartedAt and EndedAt are when the run began and ended.
		StartedAt, EndedAt time.Time
		// Completed reports whether the backend server answered with success.
		Completed bool
		// OwnTime is the time of the run during which none of its calls was pending. It
		// is the whole time if its calls are not known.
		OwnTime time.Duration
		// Calls holds the number of its calls by route, and FailedCalls is the number of
		// those that have failed.
		Calls       map[string]int
		FailedCalls int
		// CallsKnown reports whether calls of the backend server can be attributed to
		// runs, so that Calls, FailedCalls and OwnTime are those of the run.
		CallsKnown bool
	}
)

// StartRun records that the backend server begins to run a call.
func (a *Attributor) StartRun(now time.Time, c *exchanger.Call) *Run {
	r := &Run{Call: c, StartedAt: now}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.runs == nil {
		a.runs = map[string]*Run{}
	}
	a.runs[c.ID] = r
	return r
}

// EndRun removes a run and returns its summary. Calls that are pending still count as
// calls of the run.
func (a *Attributor) EndRun(now time.Time, r *Run) Summary {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.runs[r.Call.ID] == r {
		delete(a.runs, r.Call.ID)
	}
	waited := r.waited
	if r.pending > 0 {
		waited += now.Sub(r.waitingSince)
	}
	return Summary{
		Route:       r.Call.Route,
		StartedAt:   r.StartedAt,
		EndedAt:     now,
		OwnTime:     max(0, now.Sub(r.StartedAt)-waited),
		Calls:       r.calls,
		FailedCalls: r.failedCalls,
		CallsKnown:  a.attributed,
	}
}

// StartCall records that the backend server makes a call to a route and returns the run
// that makes it; nil if that is not known. The caller passes the run to EndCall when the
// call has ended.
func (a *Attributor) StartCall(now time.Time, id, route string) *Run {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.runOf(id)
	if r == nil {
		return nil
	}
	if r.calls == nil {
		r.calls = map[string]int{}
	}
	r.calls[route]++
	a.attributed = true
	if r.pending == 0 {
		r.waitingSince = now
	}
	r.pending++
	return r
}

// MayBeInRun reports whether a call with that ID may belong to a run in progress. While no
// call has been attributed by its ID, each call may belong to any run.
func (a *Attributor) MayBeInRun(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.runOf(id) != nil || !a.attributed && len(a.runs) > 0
}

// EndCall records that a call of the run has ended, and whether it has failed. It does
// nothing if r is nil.
func (a *Attributor) EndCall(now time.Time, r *Run, failed bool) {
	if r == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if failed {
		r.failedCalls++
	}
	r.pending--
	if r.pending == 0 {
		r.waited += now.Sub(r.waitingSince)
	}
}

// runOf returns the run whose ID, followed by a separator, is the longest proper prefix of
// the ID of a call; nil if there is none. The caller holds the lock.
func (a *Attributor) runOf(id string) *Run {
	for i := len(id) - 1; i > 0; i-- {
		if isSeparator(rune(id[i])) {
			if r := a.runs[id[:i]]; r != nil {
				return r
			}
		}
	}
	return nil
}

func isSeparator(r rune) bool {
	return !unicode.IsLetter(r) && !unicode.IsDigit(r)
}
