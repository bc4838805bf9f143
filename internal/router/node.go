package router

import (
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
)

const (
	// maxConsecutiveBroken is the number of consecutive broken requests after
	// which a node is ejected.
	maxConsecutiveBroken = 3
	// minEjectionTime and maxEjectionTime bound the time of an ejection.
	minEjectionTime = 100 * time.Millisecond
	maxEjectionTime = 2 * time.Second
	// pausedLimit replaces the limit 0 of a paused server, so that it is chosen
	// last.
	pausedLimit = 0.01
)

// node is the state that is known of one node.
type node struct {
	incarnation string
	report      Report
	reportedAt  time.Time
	// inFlight is the number of requests from this router that the node runs, and
	// sentSinceReport the number of those sent after the last report.
	inFlight, sentSinceReport int
	consecutiveBroken         int
	ejectionTime              time.Duration
	ejectedUntil              time.Time
	slowdown                  slowdown
	// prospect is that of the request that is being routed.
	prospect prospect
}

// limitAndLoad returns the node's concurrency limit and the number of its running and
// queued requests. Without a current report it counts only requests from this router.
func (n *node) limitAndLoad(now time.Time) (limit, load float64) {
	if n.reportExpired(now) {
		return unknownLimit, float64(n.inFlight)
	}
	limit = max(pausedLimit, float64(n.report.Limit))
	load = float64(n.report.Running + n.report.Queued + n.sentSinceReport)
	return limit, load
}

func (n *node) recordOutcome(now time.Time, o Outcome, jitter float64) {
	n.inFlight = max(0, n.inFlight-1)
	n.sentSinceReport = min(n.sentSinceReport, n.inFlight)
	switch o {
	case OutcomeAnswered:
		n.consecutiveBroken = 0
		n.ejectionTime = 0
		n.ejectedUntil = time.Time{}
	case OutcomeBroken:
		n.consecutiveBroken++
		if n.consecutiveBroken >= maxConsecutiveBroken {
			n.eject(now, jitter)
		}
	case OutcomeUnresponsive:
		n.eject(now, jitter)
	case OutcomeInconclusive:
	}
}

// eject keeps new requests away from the node for a while. Each further ejection without an
// answer in between lasts twice as long, up to maxEjectionTime.
func (n *node) eject(now time.Time, jitter float64) {
	if now.Before(n.ejectedUntil) {
		return
	}
	n.ejectionTime = min(maxEjectionTime, max(minEjectionTime, 2*n.ejectionTime))
	n.ejectedUntil = now.Add(time.Duration(float64(n.ejectionTime) * (1 + jitter/2)))
}

// resetIfReplaced drops the state of another incarnation of the node.
func (n *node) resetIfReplaced(incarnation string) {
	if n.incarnation == incarnation {
		return
	}
	*n = node{incarnation: incarnation}
}

// sheds reports whether the node sheds requests of priority p, according to a report that
// is still valid.
func (n *node) sheds(now time.Time, p exchanger.Priority) bool {
	return !n.reportedAt.IsZero() && now.Sub(n.reportedAt) <= shedTTL && p > n.report.LowestAdmittedPriority
}

func (n *node) countRequest() {
	n.inFlight++
	n.sentSinceReport++
}

func (n *node) update(now time.Time, r Report) {
	n.resetIfReplaced(r.Incarnation)
	if !n.reportedAt.IsZero() && r.Sequence <= n.report.Sequence {
		return
	}
	n.report = r
	n.reportedAt = now
	n.sentSinceReport = 0
	if r.WorkPercent > 0 {
		n.slowdown.add(now.Add(-r.WorkAge), float64(r.WorkPercent)/100)
	}
}

// reportExpired reports whether there is no report whose load is still valid.
func (n *node) reportExpired(now time.Time) bool {
	return n.reportedAt.IsZero() || now.Sub(n.reportedAt) > loadTTL
}

// usable reports whether the node may get new requests. A node that was ejected gets
// one request at a time until it answers.
func (n *node) usable(now time.Time) bool {
	if n.report.Draining || now.Before(n.ejectedUntil) {
		return false
	}
	return n.ejectionTime == 0 || n.inFlight == 0
}
