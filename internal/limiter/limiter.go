// Package limiter decides how many requests a backend server bears at once.
// It knows no clock and does no input or output: times and observations are
// arguments. Its types are not safe for concurrent use.
package limiter

import (
	"math"
	"time"
)

// The outcomes of a request, as far as they tell about the server's load.
const (
	// OutcomeSuccess says that the server answered.
	OutcomeSuccess Outcome = iota
	// OutcomeOverload says that the server shed the request, failed or did
	// not answer in time.
	OutcomeOverload
	// OutcomeIgnored says nothing about the server, such as a caller that
	// went away.
	OutcomeIgnored
)

const (
	// hintProof is the number of successes that refute a hint after
	// hintTrust.
	hintProof = 5
	// hintTrust is how long a hint holds against own successes.
	hintTrust = 5 * time.Second
	// loadHigh is the reported load from which a server counts as full.
	loadHigh = 0.95
	// noBound is the bound of a hint that lowers nothing.
	noBound = math.MaxInt32
)

type (
	// Hint is what a backend server says of itself. It may lag or mislead, so
	// it only ever lowers the limit, and only until own observation refutes
	// it.
	Hint struct {
		// Ready is false when the server wants no new work.
		Ready bool
		// Cold says that the server has just started.
		Cold bool
		// Load is the part of the server in use, 0 to 1.
		LoadFraction float64
		// Slots is the number of requests that the server says it can run
		// at once; 0 when it says nothing.
		Slots int
	}

	// Limiter counts the running requests and keeps them at or below the
	// limit of its policy.
	Limiter[P Policy] struct {
		// Policy is told all outcomes. It is never nil.
		Policy P
		// Slots is the most requests that may ever run at once; 0 sets no
		// ceiling.
		Slots int

		running int
		bound   int
		since   time.Time
		proof   int
	}

	// Outcome is how a request ended.
	Outcome int

	// Policy derives a limit from outcomes.
	Policy interface {
		// Limit returns the number of requests that may run at once; 0 only
		// for a short time, after which it is asked again.
		Limit(now time.Time) int
		// Observe tells how a request ended. Times never go back.
		Observe(now time.Time, s Sample)
		// Reset says that the server has just started.
		Reset(now time.Time)
	}

	// Sample is one request that ended.
	Sample struct {
		// Class groups requests of like latency, such as a route.
		LatencyClass string
		// Held is the time that the request occupied the server, at least
		// Latency.
		ResidenceTime time.Duration
		// Latency is the time that the server itself spent, without that in
		// which it waited for calls to further services.
		Latency time.Duration
		// Outcome is how the request ended.
		Outcome Outcome
		// Running is the number of requests that ran when this one ended,
		// itself included.
		Running int
	}
)

// Acquire counts one more running request, if the limit allows.
func (l *Limiter[P]) Acquire(now time.Time) bool {
	if l.running >= l.Limit(now) {
		return false
	}
	l.running++
	return true
}

// Free returns the number of requests that may start now. Never negative.
func (l *Limiter[P]) Available(now time.Time) int {
	return max(0, l.Limit(now)-l.running)
}

// Limit returns the number of requests that may run at once; 0 only for a
// short time.
func (l *Limiter[P]) Limit(now time.Time) int {
	limit := l.Policy.Limit(now)
	if l.Slots > 0 {
		limit = min(limit, l.Slots)
	}
	if l.bound > 0 {
		limit = min(limit, l.relaxed(now))
	}
	return limit
}

// Release counts one running request less and tells the policy how it ended.
// s.Running is filled in.
func (l *Limiter[P]) Release(now time.Time, s Sample) {
	s.Running = l.running
	l.running = max(0, l.running-1)
	if s.Outcome == OutcomeSuccess {
		l.proof++
	}
	if s.Outcome == OutcomeOverload {
		l.proof = 0
	}
	l.Policy.Observe(now, s)
}

// Reset says that the server has just started.
func (l *Limiter[P]) Reset(now time.Time) {
	l.bound = noBound
	l.proof = 0
	l.Policy.Reset(now)
}

// Running returns the number of running requests.
func (l *Limiter[P]) Running() int {
	return l.running
}

// SetHint takes what the server says of itself. A hint that says the same as
// the one before gains no new trust.
func (l *Limiter[P]) SetHint(now time.Time, h Hint) {
	bound := l.hintBound(now, h)
	if bound == l.bound {
		return
	}
	l.bound = bound
	l.since = now
	l.proof = 0
}

func (l *Limiter[P]) hintBound(now time.Time, h Hint) int {
	if !h.Ready {
		return 1
	}
	bound := noBound
	if h.Slots > 0 && (l.Slots == 0 || h.Slots < l.Slots) {
		bound = h.Slots
	}
	if h.Cold && h.Slots == 0 {
		bound = max(1, int(float64(l.Slots)*coldShare))
	}
	own := l.Policy.Limit(now)
	if h.LoadFraction >= loadHigh && l.running < own/2 {
		bound = min(bound, max(1, own/2))
	}
	return bound
}

// relaxed returns the bound of the hint, which grows as fast as a limit does
// once own successes refute the hint.
func (l *Limiter[P]) relaxed(now time.Time) int {
	over := now.Sub(l.since) - hintTrust
	if over <= 0 || l.proof < hintProof {
		return l.bound
	}
	factor := math.Pow(1+growth, float64(over)/float64(minWindow))
	return int(min(noBound, float64(l.bound)*factor))
}
