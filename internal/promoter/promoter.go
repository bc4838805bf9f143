// Package promoter decides how fast the calls of a service move to backend servers of a new
// version, and whether that version is good (canary analysis). It reads no clock and does no
// input or output: times are arguments.
package promoter

import (
	"math"
	"time"

	"github.com/flamingotack/flamingotack/internal/validator"
)

// States of a rollout.
const (
	// StateRunning means that the old and the target version share the calls.
	StateRunning State = "running"
	// StateCompleted means that the target version has all calls.
	StateCompleted State = "completed"
	// StateRolledBack means that the old version has all calls.
	StateRolledBack State = "rolled_back"
)

const (
	// canaryBudgetFraction is the part of the budget that is used until the share grows. The
	// rest is for the growth, where a version that is bad only under load shows it.
	canaryBudgetFraction = 0.35
	// budgetFraction is the part of the allowed exposure that is used. The rest covers
	// requests that nodes count differently from whoever checks the exposure.
	budgetFraction = 0.9
	// forecastFraction is the part of the requests expected until the deadline that counts
	// for the budget, as the request rate may fall.
	forecastFraction = 0.6
	// minRateTime is how long the requests of the service are counted before their rate is
	// used.
	minRateTime = 300 * time.Millisecond
	// minCanaryShare and maxCanaryShare bound the share until it grows.
	minCanaryShare = 0.005
	maxCanaryShare = 0.2
	// minEvidence is the number of runs on warm servers that must have ended before the
	// share grows.
	minEvidence = 8
	// freshTime is how long a report counts as current. goneTime is how long after its last
	// report a node counts as stopped, so that a crashed node does not block the rollout.
	freshTime = 500 * time.Millisecond
	goneTime  = 1500 * time.Millisecond
	// maxPendingFactor is the number of pending runs, relative to the number expected from
	// the old version's run times, above which the share does not grow: runs of a slow
	// version have not ended yet. minPending is the number that is never too high.
	maxPendingFactor = 2.0
	minPending       = 4.0
)

// growthSteps are the shares after the canary phase, with the least time for each, which is shorter
// in short orders, and the fraction of the budget that is used before the next one. The least
// times together use less than half of a second's requests, which fits into 0.1 of 10 s. At low
// request rates the budget lasts for longer, which gives more outcomes.
var growthSteps = []struct {
	share          float64
	time           time.Duration
	budgetFraction float64
}{
	{0.3, 300 * time.Millisecond, 0.55},
	{0.8, 400 * time.Millisecond, 0.95},
	// The outcomes of the runs that have begun are awaited before the bound is lifted.
	{0, 300 * time.Millisecond, 0},
}

type (
	// Order orders that the calls of a service move to backend servers of a version.
	Order struct {
		// Service is the service and TargetVersion the version.
		Service, TargetVersion string
		// Duration is the time from the order to its deadline.
		Duration time.Duration
	}

	// Bounds bounds the requests that a bad version gets.
	Bounds struct {
		// ExposureShare is the allowed fraction of all requests of the service between
		// the order and its deadline, and ExposureRequests a number of requests beyond it.
		ExposureShare, ExposureRequests float64
		// RollbackTime is the time within which a bad version must get no requests any
		// more.
		RollbackTime time.Duration
	}

	// RouteOutcomes counts the ended runs of one route since the order.
	RouteOutcomes struct {
		// Requests is the number of runs and Failures the number of those that failed.
		Requests, Failures uint64
		// TotalTime is the sum of their durations.
		TotalTime time.Duration
	}

	// NodeReport holds the outcomes of the runs on one node's backend server since the order.
	NodeReport struct {
		// Node, Incarnation and Version identify the node and its server's version.
		Node, Incarnation, Version string
		// Started is the number of started runs.
		Started uint64
		// Routes holds the outcomes by route, without the runs of a cold server, and the
		// number of requests that were turned away at TurnedAwayRoute.
		Routes map[string]RouteOutcomes
		// Cold holds the outcomes of the runs that started while the server was cold.
		Cold RouteOutcomes
		// Busy reports whether calls run or wait at the server.
		Busy bool
	}

	// Decision is the outcome of Decide.
	Decision struct {
		// State is StateCompleted as soon as the rollout may be recorded as completed.
		State State
		// Share is the fraction of the service's calls for the target version.
		Share float64
		// MaxRequests is the number of runs that the target version may have had since
		// the order, over all nodes together; math.MaxUint64 stands for no limit.
		MaxRequests uint64
	}

	// State is the state of a rollout.
	State string

	// Promoter decides on one order. Create it with New. It is not safe for concurrent use.
	Promoter struct {
		order     Order
		bounds    Bounds
		orderedAt time.Time
		pace      pace
		nodes     map[nodeKey]*nodeState
		evidence  evidence
		// firstOutcomeAt is when the first run on a warm server of the target version had
		// ended.
		firstOutcomeAt time.Time
		// step is the number of growth steps begun, stepAt when the last one began.
		step   int
		stepAt time.Time
		// promoted reports whether all calls may go to the target version.
		promoted   bool
		rolledBack bool
		reason     string
		// pendingSeconds sums the numbers of pending runs of the old version over time since
		// observedAt, and observedRuns is the number of its runs started meanwhile. Their
		// ratio is the mean time that a run is pending (Little's law).
		pendingSeconds, observedRuns float64
		observedAt                   time.Time
		observedStarted              uint64
		// noDeadline reports whether the deadline does not count any more.
		noDeadline bool
	}

	nodeKey struct {
		node, incarnation, version string
	}

	// nodeState is what one node has reported of one version.
	nodeState struct {
		report     NodeReport
		reportedAt time.Time
		// idleSince is when the server became idle; zero while it is busy. startedAt is when
		// a report last showed that runs had started.
		idleSince, startedAt time.Time
	}
)

// New returns a Promoter of an order that was given at orderedAt.
func New(orderedAt time.Time, o Order, b Bounds) *Promoter {
	return &Promoter{order: o, bounds: b, orderedAt: orderedAt, pace: newPace(o.Duration), nodes: map[nodeKey]*nodeState{}, evidence: newEvidence(o.Duration)}
}

// Reason returns why the rollout was rolled back; empty if it was not.
func (p *Promoter) Reason() string {
	return p.reason
}

// IgnoreDeadline keeps the rollout from being rolled back at its deadline.
func (p *Promoter) IgnoreDeadline() {
	p.noDeadline = true
}

// CountDeadline reverts IgnoreDeadline.
func (p *Promoter) CountDeadline() {
	p.noDeadline = false
}

// Promoted reports whether all calls may have gone to the target version.
func (p *Promoter) Promoted() bool {
	return p.promoted
}

// MoveOrder moves the time of the order to an earlier one.
func (p *Promoter) MoveOrder(orderedAt time.Time) {
	if orderedAt.Before(p.orderedAt) {
		p.orderedAt = orderedAt
	}
}

// Exposure returns the number of runs of the target version and of all versions.
func (p *Promoter) Exposure() (target, all uint64) {
	for key, n := range p.nodes {
		all += n.report.Started
		if key.version == p.order.TargetVersion {
			target += n.report.Started
		}
	}
	return target, all
}

// AdoptShare records that another node has decided on a share. Growth goes on from there, so that a
// change of the deciding node costs little time.
func (p *Promoter) AdoptShare(now time.Time, share float64) {
	step := 0
	for step < len(growthSteps) && growthSteps[step].share > 0 && share >= growthSteps[step].share {
		step++
	}
	if step > p.step {
		p.step, p.stepAt = step, now
	}
	if share >= 1 && !p.promoted {
		p.promoted, p.stepAt = true, now
	}
}

// Report records a report of a node. Its numbers are cumulative.
func (p *Promoter) Report(now time.Time, r NodeReport) {
	key := nodeKey{r.Node, r.Incarnation, r.Version}
	n := p.nodes[key]
	if n == nil {
		n = &nodeState{}
		p.nodes[key] = n
	}
	if r.Started < n.report.Started || r.ended() < n.report.ended() {
		// The report is older than the known one: reports may be relayed.
		return
	}
	target := r.Version == p.order.TargetVersion
	at := p.evidence.at(now.Sub(p.orderedAt))
	for route, total := range r.Routes {
		delta := difference(total, n.report.Routes[route])
		at.add(target, route, delta)
		if target && route != TurnedAwayRoute && delta.Requests > 0 && p.firstOutcomeAt.IsZero() {
			p.firstOutcomeAt = now
		}
	}
	if target {
		at.addCold(difference(r.Cold, n.report.Cold))
	}
	if r.Started != n.report.Started {
		n.startedAt = now
	}
	switch {
	case r.Busy || r.Started != n.report.Started:
		n.idleSince = time.Time{}
	case n.idleSince.IsZero():
		n.idleSince = now
	}
	n.report, n.reportedAt = r, now
}

// Decide returns the decision for the next moment.
func (p *Promoter) Decide(now time.Time) Decision {
	p.Observe(now)
	elapsed := now.Sub(p.orderedAt)
	if !p.rolledBack {
		if reason := p.evidence.verdict(elapsed); reason != "" {
			p.rolledBack, p.reason = true, reason
		} else if elapsed >= p.order.Duration && !p.noDeadline {
			p.rolledBack, p.reason = true, "the deadline has passed"
		}
	}
	if p.rolledBack {
		return Decision{State: StateRolledBack}
	}
	budget := p.budget(elapsed)
	if !p.promoted && !p.hasTarget(now) {
		return Decision{State: StateRunning, MaxRequests: roundDown(canaryBudgetFraction * budget)}
	}
	p.grow(now, elapsed)
	switch {
	case p.promoted:
		d := Decision{State: StateRunning, Share: 1, MaxRequests: math.MaxUint64}
		if now.Sub(p.stepAt) >= p.pace.idleTime && p.hasTarget(now) && p.oldServersIdle(now) {
			d.State = StateCompleted
		}
		return d
	case p.step > 0:
		return Decision{State: StateRunning, Share: growthSteps[p.step-1].share, MaxRequests: roundDown(budget)}
	default:
		limit := canaryBudgetFraction * budget
		return Decision{State: StateRunning, Share: p.canaryShare(elapsed, limit), MaxRequests: roundDown(limit)}
	}
}

// budget returns the number of runs that a bad version may have had at its deadline.
func (p *Promoter) budget(elapsed time.Duration) float64 {
	_, all := p.Exposure()
	total := float64(all) + forecastFraction*p.rate(elapsed)*max(0, (p.order.Duration-elapsed).Seconds())
	return budgetFraction * (p.bounds.ExposureShare*total + p.bounds.ExposureRequests)
}

// rate returns the requests of the service per second since the order.
func (p *Promoter) rate(elapsed time.Duration) float64 {
	if elapsed < minRateTime {
		return 0
	}
	_, all := p.Exposure()
	return float64(all) / elapsed.Seconds()
}

// canaryShare returns the share that uses up limit by the end of the canary phase.
func (p *Promoter) canaryShare(elapsed time.Duration, limit float64) float64 {
	target, _ := p.Exposure()
	rate := p.rate(elapsed)
	left := p.pace.canaryEnd - elapsed
	if rate == 0 || left <= 0 {
		return minCanaryShare
	}
	return min(maxCanaryShare, max(minCanaryShare, (limit-float64(target))/(rate*left.Seconds())))
}

// grow begins the next step of growth if it is due.
func (p *Promoter) grow(now time.Time, elapsed time.Duration) {
	switch {
	case p.promoted:
		return
	case p.step == 0 && !p.canaryDone(elapsed):
		return
	case p.step > 0 && !p.stepDone(now, elapsed):
		return
	case p.tooManyPending(now):
		return
	}
	p.stepAt = now
	if p.step == len(growthSteps) {
		p.promoted = true
		return
	}
	p.step++
}

// stepDone reports whether the current step of growth has lasted for long enough.
func (p *Promoter) stepDone(now time.Time, elapsed time.Duration) bool {
	step := growthSteps[p.step-1]
	if now.Sub(p.stepAt) < min(step.time, p.pace.maxStepTime) {
		return false
	}
	limit := step.budgetFraction * p.budget(elapsed)
	target, _ := p.Exposure()
	return float64(target) >= limit || p.quotaUsed(now, roundDown(limit)) || elapsed >= p.pace.latestPromotion
}

// canaryDone reports whether the target version was observed at a small share for long
// enough.
func (p *Promoter) canaryDone(elapsed time.Duration) bool {
	switch {
	case elapsed < p.pace.canaryEnd:
		return false
	case elapsed >= p.pace.latestGrowth:
		return true
	case p.firstOutcomeAt.IsZero():
		return p.rate(elapsed)*elapsed.Seconds()*minCanaryShare < 1
	}
	_, all := p.Exposure()
	observed := elapsed - p.firstOutcomeAt.Sub(p.orderedAt)
	wanted := min(minEvidence, minCanaryShare*float64(all))
	return observed >= p.pace.minCanaryTime && float64(p.evidence.targetRuns) >= wanted
}

// tooManyPending reports whether more runs of the target version are pending than the run
// times of the old version explain.
func (p *Promoter) tooManyPending(now time.Time) bool {
	pending, _ := p.pendingRuns(now, true)
	meanSeconds := p.evidence.oldMeanTime().Seconds()
	if p.observedRuns > 0 {
		// A run is pending for longer than its own time if it makes calls.
		meanSeconds = max(meanSeconds, p.pendingSeconds/p.observedRuns)
	}
	expected := p.rate(now.Sub(p.orderedAt)) * meanSeconds
	return pending > minPending+maxPendingFactor*expected
}

// Observe records how many runs are pending. A node calls it also while another one decides, so
// that it can take over.
func (p *Promoter) Observe(now time.Time) {
	pending, started := p.pendingRuns(now, false)
	if elapsed := now.Sub(p.observedAt); !p.observedAt.IsZero() && elapsed <= freshTime && started >= p.observedStarted {
		p.pendingSeconds += pending * elapsed.Seconds()
		p.observedRuns += float64(started - p.observedStarted)
	}
	p.observedAt, p.observedStarted = now, started
}

// pendingRuns returns the numbers of pending and of started runs of the target or of the old
// version on the nodes that report.
func (p *Promoter) pendingRuns(now time.Time, target bool) (pending float64, started uint64) {
	for key, n := range p.nodes {
		if (key.version == p.order.TargetVersion) != target || now.Sub(n.reportedAt) > freshTime {
			continue
		}
		started += n.report.Started
		pending += max(0, float64(n.report.Started)-float64(n.report.ended()))
	}
	return pending, started
}

// hasTarget reports whether a node of the target version reports.
func (p *Promoter) hasTarget(now time.Time) bool {
	for key, n := range p.nodes {
		if key.version == p.order.TargetVersion && now.Sub(n.reportedAt) <= freshTime {
			return true
		}
	}
	return false
}

// oldServersIdle reports whether every server of another version has been idle for long enough.
func (p *Promoter) oldServersIdle(now time.Time) bool {
	for key, n := range p.nodes {
		age := now.Sub(n.reportedAt)
		if key.version == p.order.TargetVersion || age > goneTime {
			continue
		}
		if age > freshTime || n.idleSince.IsZero() || now.Sub(n.idleSince) < p.pace.idleTime {
			return false
		}
	}
	return true
}

// ended returns the number of ended runs.
func (r *NodeReport) ended() uint64 {
	ended := r.Cold.Requests
	for _, o := range r.Routes {
		ended += o.Requests
	}
	return ended
}

// difference returns what was added to before, or nothing if total is not a later sum.
func difference(total, before RouteOutcomes) RouteOutcomes {
	if total.Requests < before.Requests || total.Failures < before.Failures || total.TotalTime < before.TotalTime {
		return RouteOutcomes{}
	}
	return RouteOutcomes{total.Requests - before.Requests, total.Failures - before.Failures, total.TotalTime - before.TotalTime}
}

// roundDown rounds a limit down. The conversion of numbers out of range differs between processors.
func roundDown(requests float64) uint64 {
	if !(requests > 0) {
		return 0
	}
	return uint64(min(requests, validator.MaxRate))
}
