package guardian

import (
	"net/http"
	"sync"
	"time"

	"github.com/flamingotack/flamingotack/internal/attributor"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/promoter"
	"github.com/flamingotack/flamingotack/internal/releaser"
)

type (
	// rolloutLedger limits the runs on the backend server by a rollout's gate and counts
	// their outcomes since the order, by the version of the server. It is safe for concurrent
	// use.
	rolloutLedger struct {
		mu       sync.Mutex
		gate     *releaser.Gate
		versions map[string]*promoter.NodeReport
		// reportedStarts holds the number of started runs in the last report, by version.
		reportedStarts map[string]uint64
	}

	// rolloutRun is a run that a ledger counts. A nil one counts nothing.
	rolloutRun struct {
		ledger *rolloutLedger
		counts *promoter.NodeReport
		cold   bool
	}
)

// ApplyRollout puts the part of a rollout in force that concerns the server; nil ends it.
func (g *Guardian) ApplyRollout(gate *releaser.Gate) {
	ledger := g.rollout.Load()
	same, changed := false, false
	if ledger != nil && gate != nil {
		same, changed = ledger.replaceGate(gate)
	}
	switch {
	case gate == nil:
		g.rollout.Store(nil)
	case changed:
		g.OnChange()
	case !same:
		g.rollout.Store(&rolloutLedger{gate: gate, versions: map[string]*promoter.NodeReport{}, reportedStarts: map[string]uint64{}})
		// The other nodes must learn the version.
		g.OnChange()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	table := g.Table()
	if state, _ := g.closedState(table.HasConfig()); state != g.state {
		g.applyState()
	}
}

// RolloutReports returns the outcomes since the order by version, the present one included.
func (g *Guardian) RolloutReports() (reports []promoter.NodeReport) {
	ledger := g.rollout.Load()
	if ledger == nil {
		return nil
	}
	load := g.LoadReport()
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	if load.Version != "" {
		ledger.counts(load.Version)
	}
	for version, counts := range ledger.versions {
		report := *counts
		report.Routes = make(map[string]promoter.RouteOutcomes, len(counts.Routes))
		for route, outcomes := range counts.Routes {
			report.Routes[route] = outcomes
		}
		report.Busy = version == load.Version && (load.Running > 0 || load.Queued > 0) || counts.Started != ledger.reportedStarts[version]
		ledger.reportedStarts[version] = counts.Started
		reports = append(reports, report)
	}
	if len(reports) == 0 {
		// The node reports even if its server has not announced itself, as the decider
		// needs a majority of the nodes.
		reports = append(reports, promoter.NodeReport{})
	}
	return reports
}

// startRolloutRun counts a run that is about to start, or returns the refusal of the call. It
// returns nil without a rollout.
func (g *Guardian) startRolloutRun() (*rolloutRun, *exchanger.Refusal) {
	ledger := g.rollout.Load()
	if ledger == nil {
		return nil, nil
	}
	g.mu.Lock()
	version := g.server.LastHeartbeat.Version
	g.mu.Unlock()
	cold := g.queue.isCold()
	now := g.Clock.Now()
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	counts := ledger.counts(version)
	reason, detail := ledger.closedReasonLocked(now, version)
	if reason == "" && ledger.usedUpLocked(version) {
		reason, detail = exchanger.ReasonNotReady, "the rollout allows no further calls of the target version"
	}
	if reason != "" {
		return nil, exchanger.NotRun(http.StatusServiceUnavailable, reason, "%s", detail)
	}
	counts.Started++
	if ledger.usedUpLocked(version) {
		defer g.OnChange()
	}
	return &rolloutRun{ledger: ledger, counts: counts, cold: cold}, nil
}

// replaceGate replaces the gate. same reports whether it belongs to the same order, changed whether
// a version has or has no longer used up its runs.
func (l *rolloutLedger) replaceGate(gate *releaser.Gate) (same, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.gate.Generation != gate.Generation {
		return false, false
	}
	target := gate.TargetVersion
	before := l.usedUpLocked(target)
	l.gate = gate
	_, known := l.versions[target]
	return true, known && l.usedUpLocked(target) != before
}

// usedUp reports whether a server of a version has had all runs that the gate allows.
func (l *rolloutLedger) usedUp(version string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usedUpLocked(version)
}

// usedUpLocked is usedUp for callers that hold the lock.
func (l *rolloutLedger) usedUpLocked(version string) bool {
	return !l.gate.Unlimited(version) && l.counts(version).Started >= l.gate.MaxRequests
}

// closedReason returns why no call may run on a server of a version; an empty reason if calls
// may.
func (l *rolloutLedger) closedReason(now time.Time, version string) (reason exchanger.Reason, detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closedReasonLocked(now, version)
}

// closedReasonLocked is closedReason for callers that hold the lock.
func (l *rolloutLedger) closedReasonLocked(now time.Time, version string) (reason exchanger.Reason, detail string) {
	switch {
	case !l.gate.Allows(version):
		return exchanger.ReasonOutOfService, "the rollout has ended against this version"
	case !l.gate.Unlimited(version) && !now.Before(l.gate.ValidUntil):
		return exchanger.ReasonNotReady, "no decision on the rollout to this version is valid"
	}
	return "", ""
}

// counts returns the counts of a version. The caller holds the lock.
func (l *rolloutLedger) counts(version string) *promoter.NodeReport {
	if l.versions[version] == nil {
		l.versions[version] = &promoter.NodeReport{Version: version, Routes: map[string]promoter.RouteOutcomes{}}
	}
	return l.versions[version]
}

// cancel reverts the count of a run that does not start.
func (r *rolloutRun) cancel() {
	if r == nil {
		return
	}
	// The number of started runs never falls, so the run counts as ended, without a time.
	r.cold = true
	r.count("", promoter.RouteOutcomes{Requests: 1})
}

// end counts the outcome of a run.
func (r *rolloutRun) end(s *attributor.Summary, reply *exchanger.Reply, refusal *exchanger.Refusal) {
	if r == nil {
		return
	}
	outcome := promoter.RouteOutcomes{Requests: 1, TotalTime: s.OwnTime}
	if rolloutFailure(reply, refusal) {
		outcome.Failures = 1
	}
	if refusal != nil && refusal.Ran == exchanger.RanNo {
		// The request did not run, so its time says nothing.
		if refusal.Reason == exchanger.ReasonServerFull && !r.cold {
			r.count(promoter.TurnedAwayRoute, promoter.RouteOutcomes{Requests: 1})
			return
		}
		r.cold = true
	}
	r.count(s.Route, outcome)
}

// count adds the outcome of a run.
func (r *rolloutRun) count(route string, outcome promoter.RouteOutcomes) {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	if r.cold {
		r.counts.Cold = r.counts.Cold.Add(outcome)
		return
	}
	r.counts.Routes[route] = r.counts.Routes[route].Add(outcome)
}

// rolloutFailure reports whether the outcome of a run counts against the version of the server.
func rolloutFailure(reply *exchanger.Reply, refusal *exchanger.Refusal) bool {
	if refusal == nil {
		return reply.Status >= http.StatusInternalServerError
	}
	switch refusal.Reason {
	case exchanger.ReasonBroken, exchanger.ReasonCrashRequest, exchanger.ReasonDeadline, exchanger.ReasonUnreachable:
		return true
	default:
		return false
	}
}
