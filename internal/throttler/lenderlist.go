package throttler

import (
	"slices"
	"time"
)

const (
	// avoidTime is how long a lender that did not answer is not asked.
	avoidTime = time.Second
	// maxPause bounds how long no lender is asked after all had no token.
	maxPause = 100 * time.Millisecond
	// minPause bounds how often all lenders are asked in vain.
	minPause = 5 * time.Millisecond
)

// Lenders are the nodes that may lend tokens of one customer. The nearest one
// is asked first. When it has none, the fullest of the others is asked, as in
// greedy work stealing, by what each told last.
type LenderList struct {
	// Names are unique; the first one is the nearest.
	Names []string

	// paused is when lenders are asked again after all had no token.
	paused  time.Time
	avoided map[string]time.Time
	left    map[string]MilliTokens
}

// Avoid notes that a lender did not answer.
func (l *LenderList) MarkUnresponsive(now time.Time, name string) {
	if l.avoided == nil {
		l.avoided = map[string]time.Time{}
	}
	l.avoided[name] = now.Add(avoidTime)
}

// Next returns the lender to ask after tried ones have been asked in vain; false when
// there is none. Lenders that are avoided come last: one that was late once may be the
// only one that knows the customer's rate.
func (l *LenderList) Next(now time.Time, tried []string) (name string, found bool) {
	avoided := ""
	for i, n := range l.Names {
		if slices.Contains(tried, n) {
			continue
		}
		if until := l.avoided[n]; now.Before(until) {
			if avoided == "" || until.Before(l.avoided[avoided]) {
				avoided = n
			}
			continue
		}
		if !found || l.left[n] > l.left[name] {
			name, found = n, true
		}
		if i == 0 {
			break
		}
	}
	if !found && avoided != "" {
		return avoided, true
	}
	return name, found
}

// Pause notes that no lender had a token, and when one expects the next; zero
// when that is not known.
func (l *LenderList) Pause(now time.Time, wait time.Duration) {
	if wait == 0 {
		wait = maxPause
	}
	l.paused = now.Add(min(max(wait, minPause), maxPause))
}

// Paused returns how long it is of no use to ask.
func (l *LenderList) PauseLeft(now time.Time) time.Duration {
	return max(l.paused.Sub(now), 0)
}

// Note keeps the tokens that a lender has left.
func (l *LenderList) RecordTokens(name string, left MilliTokens) {
	if l.left == nil {
		l.left = map[string]MilliTokens{}
	}
	l.left[name] = left
}
