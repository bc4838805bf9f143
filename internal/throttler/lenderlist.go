package throttler

import (
	"slices"
	"time"
)

const (
	// unresponsivePeriod is how long a lender that did not answer is asked
	// only after all others.
	unresponsivePeriod = time.Second
	// maxPause bounds the pause after all lenders had no token.
	maxPause = 100 * time.Millisecond
	// minPause limits how often all lenders are asked without success.
	minPause = 5 * time.Millisecond
)

// LenderList holds the nodes that may lend tokens of one customer. The nearest
// lender is asked first. When it has no token, the lender that last reported
// the most tokens is asked next, as in greedy work stealing.
type LenderList struct {
	// Names are unique; the first one is the nearest.
	Names []string

	// pausedUntil is when lenders are asked again after all had no token.
	pausedUntil time.Time
	// unresponsiveUntil is when unresponsive lenders are asked in turn again, by
	// name.
	unresponsiveUntil map[string]time.Time
	// lastTokens are the unspent tokens that lenders last reported, by name.
	lastTokens map[string]MilliTokens
}

// MarkUnresponsive records that a lender did not answer.
func (l *LenderList) MarkUnresponsive(now time.Time, name string) {
	if l.unresponsiveUntil == nil {
		l.unresponsiveUntil = map[string]time.Time{}
	}
	l.unresponsiveUntil[name] = now.Add(unresponsivePeriod)
}

// Next returns the next lender to ask, excluding those already tried; false
// when there is none. Unresponsive lenders come last instead of being skipped:
// a lender that answered late once may be the only one that knows the
// customer's rate.
func (l *LenderList) Next(now time.Time, tried []string) (name string, found bool) {
	unresponsive := ""
	for i, n := range l.Names {
		if slices.Contains(tried, n) {
			continue
		}
		if until := l.unresponsiveUntil[n]; now.Before(until) {
			if unresponsive == "" || until.Before(l.unresponsiveUntil[unresponsive]) {
				unresponsive = n
			}
			continue
		}
		if !found || l.lastTokens[n] > l.lastTokens[name] {
			name, found = n, true
		}
		if i == 0 {
			break
		}
	}
	if !found && unresponsive != "" {
		return unresponsive, true
	}
	return name, found
}

// Pause records that no lender had a token. wait is the time until a lender
// expects the next token; zero when that is unknown.
func (l *LenderList) Pause(now time.Time, wait time.Duration) {
	if wait == 0 {
		wait = maxPause
	}
	l.pausedUntil = now.Add(min(max(wait, minPause), maxPause))
}

// PauseLeft returns the remaining time in which lenders are not asked.
func (l *LenderList) PauseLeft(now time.Time) time.Duration {
	return max(l.pausedUntil.Sub(now), 0)
}

// RecordTokens records the unspent tokens that a lender reported.
func (l *LenderList) RecordTokens(name string, left MilliTokens) {
	if l.lastTokens == nil {
		l.lastTokens = map[string]MilliTokens{}
	}
	l.lastTokens[name] = left
}
