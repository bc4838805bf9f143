// Package retrier decides whether a call that was refused is made again. It
// knows no clock and does no input or output.
//
// Bounds. A request from outside starts with a budget of B extra attempts for
// its whole call chain. Calls below get a part of it by splitting, and what
// they leave over comes back with the answer or the refusal, so all extra
// attempts of the chain together are at most B, and each place in the call tree
// is executed at most 1 + B times for one request, however deep the tree is
// and whatever fails. Besides, the extra attempts that a node makes are at
// most a tenth of its first attempts, plus one. So where only the last hop of a
// chain fails, N requests execute it at most 1.1 N + 1 times for each node that
// calls it. A guard that turns a request away because it stops, before the
// request has run, costs nothing of this: such a request goes to another guard
// at most twice.
package retrier

import (
	"github.com/flamingotack/flamingotack/internal/exchanger"
)

// What to do after a refusal.
const (
	// StepStop passes the refusal on.
	StepStop Step = iota
	// StepRetry makes an extra attempt.
	StepRetry
	// StepReroute asks another guard, since this one is about to leave and
	// has run nothing.
	StepReroute
)

const (
	// ratio is the part of extra attempts to first attempts.
	ratio = 0.1
	// maxReroutes bounds the other guards asked free of charge.
	maxReroutes = 2
	// maxTokens bounds the extra attempts that a node saves up.
	maxTokens = 10.0
)

type (
	// Attempts are those of one call.
	AttemptTracker struct {
		// Budget is the number of extra attempts that the call and all below
		// it may still make. Never negative.
		RetriesLeft int
		// Idempotent tells that running the request twice does no harm.
		Idempotent bool

		given    int
		reroutes int
		// unknown is the first refusal after which the request may have run.
		unknown *exchanger.Refusal
	}

	// Step is what to do after a refusal.
	Step int

	// Throttle keeps the extra attempts of a node at a part of its first
	// ones, as gRPC's retry throttling and Finagle's retry budget do.
	Throttle struct {
		// saved is what first attempts have earned, at most maxTokens.
		saved float64
		// started says that the one attempt a node begins with is spent.
		started bool
	}
)

// Split returns the part of a budget that a call below gets: half, rounded up,
// so that calls made at the same time each get something and the last hop of
// a long chain still has one.
func SplitRetries(budget int) (part int) {
	return (budget + 1) / 2
}

// Begin returns the budget that the attempt which now starts takes along. Half
// of it stays, since an attempt that goes silent brings nothing back.
func (a *AttemptTracker) StartAttempt() (budget int) {
	a.given = SplitRetries(a.RetriesLeft)
	a.RetriesLeft -= a.given
	return a.given
}

// End takes back what the attempt left over. More than was given along is not
// believed.
func (a *AttemptTracker) EndAttempt(unused int) {
	a.RetriesLeft += max(0, min(unused, a.given))
	a.given = 0
}

// Final returns the refusal to pass on after the last one: what may have run in
// any attempt is not called not run because another attempt did not.
func (a *AttemptTracker) FinalRefusal(last *exchanger.Refusal) *exchanger.Refusal {
	final := last
	if last.Ran == exchanger.RanNo && a.unknown != nil {
		final = a.unknown
	}
	final.UnusedRetries = a.RetriesLeft
	return final
}

// Next returns what to do after a refusal. Only the node whose own call was
// refused asks: an answer of a backend server that failed further down is no
// refusal and is passed on as it is.
func (a *AttemptTracker) NextStep(t *Throttle, r *exchanger.Refusal) Step {
	if r.Ran != exchanger.RanNo && a.unknown == nil {
		a.unknown = r
	}
	if leaving(r) && a.reroutes < maxReroutes {
		a.reroutes++
		return StepReroute
	}
	if !a.repeatable(r) || a.RetriesLeft == 0 || !t.AllowRetry() {
		return StepStop
	}
	a.RetriesLeft--
	return StepRetry
}

// First counts a first attempt.
func (t *Throttle) RecordFirstAttempt() {
	t.saved = min(t.saved+ratio, maxTokens)
}

// Extra reports whether the node may make an extra attempt, and counts it.
func (t *Throttle) AllowRetry() bool {
	if t.saved >= 1 {
		t.saved--
		return true
	}
	if !t.started {
		t.started = true
		return true
	}
	return false
}

// repeatable reports whether another attempt could do better and does no
// harm.
func (a *AttemptTracker) repeatable(r *exchanger.Refusal) bool {
	if r.Ran != exchanger.RanNo && !a.Idempotent {
		return false
	}
	switch r.Reason {
	case exchanger.ReasonBroken, exchanger.ReasonCold, exchanger.ReasonOverload, exchanger.ReasonSilent:
		return true
	default:
		return leaving(r)
	}
}

// leaving reports whether the guard turned the request away for a cause of its
// own that has nothing to do with load.
func leaving(r *exchanger.Refusal) bool {
	if r.Ran != exchanger.RanNo {
		return false
	}
	switch r.Reason {
	case exchanger.ReasonDraining, exchanger.ReasonNotReady, exchanger.ReasonOutOfService,
		exchanger.ReasonStale, exchanger.ReasonUnreachable, exchanger.ReasonVersionMismatch:
		return true
	default:
		return false
	}
}
