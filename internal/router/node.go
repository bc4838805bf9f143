package router

import (
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
)

const (
	// brokenLimit is the number of broken requests in a row after which a
	// node is left alone.
	brokenLimit = 3
	// banLeast and banMost bound for how long.
	banLeast = 100 * time.Millisecond
	banMost  = 2 * time.Second
	// emptyShare stands for the limit of a server that gets no work, so that
	// it comes last.
	emptyShare = 0.01
)

// node is what is known of one node.
type node struct {
	incarnation string
	report      Report
	reported    time.Time
	// own is the number of own requests there, and since that of those sent
	// after the last report.
	own, since int
	broken     int
	ban        time.Duration
	banned     time.Time
}

// capacity returns the node's limit and what of it is in use.
func (n *node) capacity(now time.Time) (limit, load float64) {
	if n.reported.IsZero() || now.Sub(n.reported) > loadLife {
		return unknownLimit, float64(n.own)
	}
	limit = max(emptyShare, float64(n.report.Limit))
	load = float64(n.report.Running + n.report.Queued + n.since)
	return limit, load
}

func (n *node) end(now time.Time, o Outcome, spread float64) {
	n.own = max(0, n.own-1)
	n.since = min(n.since, n.own)
	switch o {
	case OutcomeAnswered:
		n.broken = 0
		n.ban = 0
		n.banned = time.Time{}
	case OutcomeBroken:
		n.broken++
		if n.broken >= brokenLimit {
			n.leaveAlone(now, spread)
		}
	case OutcomeUnresponsive:
		n.leaveAlone(now, spread)
	case OutcomeInconclusive:
	}
}

// leaveAlone keeps new work away from the node, longer each time.
func (n *node) leaveAlone(now time.Time, spread float64) {
	if now.Before(n.banned) {
		return
	}
	n.ban = min(banMost, max(banLeast, 2*n.ban))
	n.banned = now.Add(time.Duration(float64(n.ban) * (1 + spread/2)))
}

// meet forgets what was known of another incarnation.
func (n *node) meet(incarnation string) {
	if n.incarnation == incarnation {
		return
	}
	*n = node{incarnation: incarnation}
}

func (n *node) sheds(now time.Time, p exchanger.Priority) bool {
	return !n.reported.IsZero() && now.Sub(n.reported) <= reportLife && p > n.report.LowestAdmittedPriority
}

func (n *node) start() {
	n.own++
	n.since++
}

func (n *node) take(now time.Time, r Report) {
	n.meet(r.Incarnation)
	if !n.reported.IsZero() && r.Sequence <= n.report.Sequence {
		return
	}
	n.report = r
	n.reported = now
	n.since = 0
}

// usable reports whether the node may get new work. One that was left alone
// gets one request at a time until it answers.
func (n *node) usable(now time.Time) bool {
	if n.report.Draining || now.Before(n.banned) {
		return false
	}
	return n.ban == 0 || n.own == 0
}
