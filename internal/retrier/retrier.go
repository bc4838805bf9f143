// Package retrier decides whether a refused call is retried. It reads no clock and
// does no input or output.
//
// AttemptTracker and Throttle keep these bounds. A request from outside starts with a
// budget of B retries for its whole call chain. Nested calls get a share of it, and
// return the unused retries with the answer or the refusal. So all retries of the chain
// together are at most B, and each place in the call tree is executed at most 1 + B
// times for one request, however deep the tree is and whatever fails. In addition, the
// retries of a node are at most a tenth of its first attempts, plus one. So if only the
// last hop of a chain fails, N requests execute it at most 1.1 N + 1 times for each node
// that calls it. A node that refuses a request because it stops, before the request has
// run, costs no retry: such a request is rerouted to another node at most twice.
//
// RetryBudget limits the retries of all nodes together to a ratio of the requests, plus
// those that the bucket shared by all nodes allows (SharedBucket).
package retrier

import (
	"github.com/flamingotack/flamingotack/internal/exchanger"
)

// Steps after a refusal.
const (
	// StepStop passes the refusal on.
	StepStop Step = iota
	// StepRetry makes another attempt, which costs a retry.
	StepRetry
	// StepReroute sends the call to another node at no cost, since the node is
	// unavailable and has not run it.
	StepReroute
)

const (
	// throttleRatio is the number of retries that a first attempt earns.
	throttleRatio = 0.1
	// maxReroutes bounds the reroutes of one call.
	maxReroutes = 2
	// maxSavedRetries bounds the retries that a node saves up.
	maxSavedRetries = 10.0
)

type (
	// AttemptTracker tracks the attempts of one call.
	AttemptTracker struct {
		// RetriesLeft is the number of retries that the call and its nested calls
		// may still make. Never negative.
		RetriesLeft int
		// Idempotent reports whether running the request twice does no harm.
		Idempotent bool

		lentRetries int
		reroutes    int
		// firstUnknown is the first refusal after which the request may have run.
		firstUnknown *exchanger.Refusal
	}

	// Step is the action to take after a refusal.
	Step int

	// Throttle limits the retries of a node to a ratio of its first attempts, as
	// gRPC's retry throttling and Finagle's retry budget do. The zero value is
	// ready to use.
	Throttle struct {
		// savedRetries is the number of retries that first attempts have earned,
		// at most maxSavedRetries.
		savedRetries float64
		// initialRetryUsed reports whether the one retry that a node starts with
		// is used.
		initialRetryUsed bool
	}
)

// SplitRetries returns the share of the remaining retries that a nested call gets: half,
// rounded up, so that concurrent calls each get some and the last hop of a long chain
// still has one.
func SplitRetries(retriesLeft int) (share int) {
	return (retriesLeft + 1) / 2
}

// StartAttempt returns the number of retries to lend to the attempt that starts now. It
// keeps the other half, since an attempt without an answer returns none.
func (a *AttemptTracker) StartAttempt() (retries int) {
	a.lentRetries = SplitRetries(a.RetriesLeft)
	a.RetriesLeft -= a.lentRetries
	return a.lentRetries
}

// EndAttempt takes back the unused retries of the attempt, at most those lent to it.
func (a *AttemptTracker) EndAttempt(unused int) {
	a.RetriesLeft += max(0, min(unused, a.lentRetries))
	a.lentRetries = 0
}

// FinalRefusal returns the refusal to pass on after the last attempt. If the request may
// have run in any attempt, the refusal says so even when the last attempt did not run.
func (a *AttemptTracker) FinalRefusal(last *exchanger.Refusal) *exchanger.Refusal {
	final := last
	if last.Ran == exchanger.RanNo && a.firstUnknown != nil {
		final = a.firstUnknown
	}
	final.UnusedRetries = a.RetriesLeft
	return final
}

// NextStep returns the action to take after a refusal. Only the node whose own call was
// refused calls it: the answer of a backend server whose nested call failed is no refusal
// and is passed on unchanged.
func (a *AttemptTracker) NextStep(t *Throttle, r *exchanger.Refusal) Step {
	if r.Ran != exchanger.RanNo && a.firstUnknown == nil {
		a.firstUnknown = r
	}
	if nodeUnavailable(r) && a.reroutes < maxReroutes {
		a.reroutes++
		return StepReroute
	}
	if !a.retryable(r) || a.RetriesLeft == 0 || !t.AllowRetry() {
		return StepStop
	}
	a.RetriesLeft--
	return StepRetry
}

// RecordFirstAttempt counts a first attempt.
func (t *Throttle) RecordFirstAttempt() {
	t.savedRetries = min(t.savedRetries+throttleRatio, maxSavedRetries)
}

// AllowRetry reports whether the node may retry, and if so counts the retry.
func (t *Throttle) AllowRetry() bool {
	if t.savedRetries >= 1 {
		t.savedRetries--
		return true
	}
	if !t.initialRetryUsed {
		t.initialRetryUsed = true
		return true
	}
	return false
}

// retryable reports whether another attempt could succeed and does no harm.
func (a *AttemptTracker) retryable(r *exchanger.Refusal) bool {
	if r.Ran != exchanger.RanNo && !a.Idempotent {
		return false
	}
	switch r.Reason {
	case exchanger.ReasonBroken, exchanger.ReasonCold, exchanger.ReasonOverload, exchanger.ReasonSilent:
		return true
	default:
		return nodeUnavailable(r)
	}
}

// nodeUnavailable reports whether the node refused the request, without running it, for a
// reason other than load.
func nodeUnavailable(r *exchanger.Refusal) bool {
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
