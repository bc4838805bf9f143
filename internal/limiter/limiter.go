// Package limiter limits how many requests run concurrently on a backend server.
// It reads no clock and does no input or output: times and observations are
// arguments. Its types are not safe for concurrent use.
package limiter

import (
	"math"
	"time"
)

// The outcomes of a request, as far as they say something about the server's load.
const (
	// OutcomeSuccess means that the server answered.
	OutcomeSuccess Outcome = iota
	// OutcomeOverload means that the server shed the request, failed or did
	// not answer in time.
	OutcomeOverload
	// OutcomeIgnored says nothing about the server, such as a request whose
	// caller went away.
	OutcomeIgnored
)

const (
	// hintRefutingSuccesses is the number of consecutive successes that refute a hint
	// once hintTrustDuration has passed.
	hintRefutingSuccesses = 5
	// hintTrustDuration is how long a hint holds despite observed successes.
	hintTrustDuration = 5 * time.Second
	// fullLoadFraction is the reported LoadFraction from which a server counts as full.
	fullLoadFraction = 0.95
	// noHintLimit is the limit of a hint that sets none.
	noHintLimit = math.MaxInt32
)

type (
	// Hint is the load that a backend server reports about itself. It may be
	// late or wrong, so it only ever lowers the limit, and only until observed
	// successes refute it.
	Hint struct {
		// Ready is false when the server wants no new requests.
		Ready bool
		// Cold reports whether the server has just started.
		Cold bool
		// LoadFraction is the fraction of the server's capacity in use, 0 to 1.
		LoadFraction float64
		// Slots is the number of requests that the server claims to run
		// concurrently; 0 if it does not report one.
		Slots int
	}

	// Limiter counts the running requests and keeps them at or below the
	// limit of its policy.
	Limiter[P Policy] struct {
		// Policy observes all outcomes. It is never nil.
		Policy P
		// Slots is the upper bound of the limit, in requests; 0 sets no bound.
		Slots int

		running int
		// hintLimit is the limit that the last hint sets, in requests; noHintLimit
		// if it sets none, 0 before the first hint.
		hintLimit int
		hintSetAt time.Time
		// successStreak is the number of successes since the last overload or change
		// of hintLimit.
		successStreak int
	}

	// Outcome is the outcome of a request.
	Outcome int

	// Policy computes a concurrency limit from observed outcomes.
	Policy interface {
		// Limit returns the number of requests that may run concurrently. It
		// is 0 only for a short time, so callers must ask again.
		Limit(now time.Time) int
		// Observe records the end of a request. Times never go back.
		Observe(now time.Time, s Sample)
		// Reset restarts the policy for a server that has just started.
		Reset(now time.Time)
	}

	// Sample describes a request that has ended.
	Sample struct {
		// LatencyClass groups requests of similar latency, such as a route.
		LatencyClass string
		// ResidenceTime is how long the request occupied the server. It is at
		// least Latency.
		ResidenceTime time.Duration
		// Latency is the processing time of the server itself, without the time
		// in which it waited for calls to other services.
		Latency time.Duration
		// Outcome is the outcome of the request.
		Outcome Outcome
		// Running is the number of running requests when this one ended,
		// including itself.
		Running int
	}
)

// Acquire counts one more running request if the limit allows it, and reports whether
// it did.
func (l *Limiter[P]) Acquire(now time.Time) bool {
	if l.running >= l.Limit(now) {
		return false
	}
	l.running++
	return true
}

// Available returns the number of requests that may start now. It is never negative.
func (l *Limiter[P]) Available(now time.Time) int {
	return max(0, l.Limit(now)-l.running)
}

// Limit returns the number of requests that may run concurrently. It is 0 only for a
// short time.
func (l *Limiter[P]) Limit(now time.Time) int {
	limit := l.Policy.Limit(now)
	if l.Slots > 0 {
		limit = min(limit, l.Slots)
	}
	if l.hintLimit > 0 {
		limit = min(limit, l.relaxedHintLimit(now))
	}
	return limit
}

// Release ends a running request and passes the sample to the policy. It sets
// s.Running.
func (l *Limiter[P]) Release(now time.Time, s Sample) {
	s.Running = l.running
	l.running = max(0, l.running-1)
	if s.Outcome == OutcomeSuccess {
		l.successStreak++
	}
	if s.Outcome == OutcomeOverload {
		l.successStreak = 0
	}
	l.Policy.Observe(now, s)
}

// Reset restarts the limit for a server that has just started and drops the hint.
func (l *Limiter[P]) Reset(now time.Time) {
	l.hintLimit = noHintLimit
	l.successStreak = 0
	l.Policy.Reset(now)
}

// Running returns the number of running requests.
func (l *Limiter[P]) Running() int {
	return l.running
}

// SetHint applies a hint of the server. A hint that sets the same limit as the last one
// does not restart hintTrustDuration.
func (l *Limiter[P]) SetHint(now time.Time, h Hint) {
	limit := l.limitFromHint(now, h)
	if limit == l.hintLimit {
		return
	}
	l.hintLimit = limit
	l.hintSetAt = now
	l.successStreak = 0
}

// limitFromHint returns the limit that the hint sets, or noHintLimit.
func (l *Limiter[P]) limitFromHint(now time.Time, h Hint) int {
	if !h.Ready {
		return 1
	}
	limit := noHintLimit
	if h.Slots > 0 && (l.Slots == 0 || h.Slots < l.Slots) {
		limit = h.Slots
	}
	if h.Cold && h.Slots == 0 {
		limit = max(1, int(float64(l.Slots)*coldLimitFraction))
	}
	policyLimit := l.Policy.Limit(now)
	if h.LoadFraction >= fullLoadFraction && l.running < policyLimit/2 {
		limit = min(limit, max(1, policyLimit/2))
	}
	return limit
}

// relaxedHintLimit returns the limit of the hint. Once observed successes refute the
// hint, that limit grows as fast as an Adaptive limit.
func (l *Limiter[P]) relaxedHintLimit(now time.Time) int {
	untrustedFor := now.Sub(l.hintSetAt) - hintTrustDuration
	if untrustedFor <= 0 || l.successStreak < hintRefutingSuccesses {
		return l.hintLimit
	}
	factor := math.Pow(1+growthFraction, float64(untrustedFor)/float64(minWindow))
	return int(min(noHintLimit, float64(l.hintLimit)*factor))
}
