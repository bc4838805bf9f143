package releaser

import (
	"context"
	"slices"
	"time"

	"github.com/flamingotack/flamingotack/internal/promoter"
)

// report sends the outcomes of the node's own server. The caller holds the lock.
func (r *Releaser) report(now time.Time, o *rollout) {
	if o.order.Service != r.Service || o.final != "" {
		return
	}
	var reports []Report
	for _, outcome := range r.Server.RolloutReports() {
		outcome.Node, outcome.Incarnation = r.Node, r.Incarnation
		reports = append(reports, Report{NodeReport: outcome, Service: o.order.Service, Order: o.id(), Age: now.Sub(o.orderedAt)})
	}
	for _, report := range reports {
		o.record(now, report)
		if report.Version == o.order.TargetVersion && o.targetReportedAt.IsZero() {
			o.targetReportedAt = now
		}
	}
	acting := ""
	if d := o.validDecision(now); d != nil {
		acting = d.Decider
	}
	all := acting == "" || now.Sub(o.standbyReportAt) >= standbyInterval
	if all {
		o.standbyReportAt = now
	}
	relayed := false
	for _, name := range o.candidates() {
		if name == r.Node || !all && name != acting {
			continue
		}
		if !r.Links.SendReports(name, reports) && !relayed {
			r.Links.SendReportsToDelegates(reports)
			relayed = true
		}
	}
}

// decide decides on a rollout if this node is the decider, and sends the decision. The caller
// holds the lock.
func (r *Releaser) decide(ctx context.Context, now time.Time, o *rollout) {
	if !r.acts(now, o) {
		o.actingSince = time.Time{}
		o.promoter.Observe(now)
		return
	}
	paused := now.Sub(o.decidedAt) > LeaseTime
	o.decidedAt = now
	if o.actingSince.IsZero() || paused {
		o.actingSince = now
		r.Logger.Infof("decider of the rollout of service %s to version %q", o.order.Service, o.order.TargetVersion)
	}
	if o.status.readAt.IsZero() {
		r.readStatus(ctx, now, o)
	}
	if o.final != "" {
		r.announceVerdict(ctx, now, o)
		return
	}
	if !r.hasQuorum(now, o) {
		o.actingSince = now
	}
	// While the store is away all candidates wait for it, so the first one gets time to decide.
	rankDelay := time.Duration(slices.Index(o.candidates(), r.Node)) * (statusRetryTime + decisionInterval)
	if o.status.readAt.IsZero() || now.Sub(o.status.readAt) < rankDelay || now.Sub(o.actingSince) < collectTime {
		return
	}
	late := now.Sub(o.orderedAt) >= o.order.Duration
	if late && !o.status.readAfterDeadline && !o.status.completionBegun {
		// Another decider may have stored StateCompleted shortly before. Until that is
		// known, nothing is decided, so the target version gets no calls.
		r.readStatus(ctx, now, o)
		return
	}
	r.send(now, o, r.concludeOrContinue(ctx, now, o, late))
}

// announceVerdict stores and sends the verdict on a rollout. The caller holds the lock.
func (r *Releaser) announceVerdict(ctx context.Context, now time.Time, o *rollout) {
	if o.concludedHere || now.Sub(o.finalAt) >= othersVerdictTime {
		r.writeStatus(ctx, now, o, o.final)
	}
	if now.Sub(o.finalSentAt) >= o.finalInterval(now) && (!o.withdrawn || now.Sub(o.finalAt) < withdrawalTime) {
		o.finalSentAt = now
		r.send(now, o, promoter.Decision{State: o.final, Share: finalShare(o.final)})
	}
}

// concludeOrContinue returns the next decision on a rollout and begins the calls of the store that
// it needs. late reports whether the deadline has passed. The caller holds the lock.
func (r *Releaser) concludeOrContinue(ctx context.Context, now time.Time, o *rollout, late bool) promoter.Decision {
	d := o.promoter.Decide(now)
	switch {
	case d.State == promoter.StateRolledBack && o.mayBeCompleted():
		// If StateCompleted is stored, the old servers stop, and a later verdict would
		// leave the service without any. Until that is known, the target version gets no
		// calls.
		r.readStatus(ctx, now, o)
		d = promoter.Decision{State: promoter.StateRunning}
	case d.State == promoter.StateRunning && late && o.status.completionBegun:
		r.readStatus(ctx, now, o)
	}
	switch d.State {
	case promoter.StateRolledBack:
		r.conclude(o, d.State, o.promoter.Reason())
		o.concludedHere, o.finalSentAt = true, now
	case promoter.StateCompleted:
		// The verdict counts once it is stored, as the old servers stop then.
		r.writeStatus(ctx, now, o, d.State)
		d.State = promoter.StateRunning
	}
	if o.final == "" && o.status.written == "" {
		r.writeStatus(ctx, now, o, promoter.StateRunning)
	}
	return d
}

// mayBeCompleted reports whether StateCompleted may be stored although this node does not know it:
// a write of it was begun by this node, or maybe by the decider before it.
func (o *rollout) mayBeCompleted() bool {
	return o.status.completionBegun || o.promoter.Promoted() && o.status.readBegunAt.Before(o.actingSince)
}

// acts reports whether this node is the decider: no candidate with a better rank has sent a
// decision for some time. The caller holds the lock.
func (r *Releaser) acts(now time.Time, o *rollout) bool {
	rank := slices.Index(o.candidates(), r.Node)
	if rank <= 0 {
		return rank == 0
	}
	if o.concludedHere && !isFinal(o.status.written) {
		return true
	}
	lastHeardAt := o.orderedAt
	for _, name := range o.ranked[:rank] {
		if d := o.decisions[name]; d != nil && d.receivedAt.After(lastHeardAt) {
			lastHeardAt = d.receivedAt
		}
	}
	wait := takeoverTime + time.Duration(rank-1)*takeoverStep
	if o.final != "" {
		wait += 2 * o.finalInterval(now)
	}
	return now.Sub(lastHeardAt) >= wait
}

// finalInterval returns how often the verdict is sent again.
func (o *rollout) finalInterval(now time.Time) time.Duration {
	if now.Sub(o.finalAt) > finalTime {
		return lateFinalInterval
	}
	return finalInterval
}

// hasQuorum reports whether more than half of the service's nodes report to this node, so that
// at most one decider acts when the network is partitioned. The caller holds the lock.
func (r *Releaser) hasQuorum(now time.Time, o *rollout) bool {
	count := 0
	for _, at := range o.reportedAt {
		if now.Sub(at) <= quorumTime {
			count++
		}
	}
	nodes, known := r.Links.CountNodes(o.order.Service)
	return known && 2*count > nodes
}

// send sends a decision to all nodes and takes it itself, unless one that differs little was sent
// a short time ago. The caller holds the lock.
func (r *Releaser) send(now time.Time, o *rollout, d promoter.Decision) {
	known := o.decisions[r.Node]
	if d.State == promoter.StateRunning && known != nil && now.Sub(known.receivedAt) < decisionInterval-tickInterval/2 && shareRatio(known.decision.Share, d.Share) <= loggedShareRatio {
		return
	}
	decision := o.decision(now, r.Node, d)
	if shareRatio(o.loggedShare, d.Share) > loggedShareRatio {
		o.loggedShare = d.Share
		target, all := o.promoter.Exposure()
		r.Logger.Infof("rollout of service %s to version %q: %s at share %.3f, %d of %d runs on that version", o.order.Service, o.order.TargetVersion, d.State, d.Share, target, all)
	}
	r.recordDecision(now, o, decision)
	r.Links.BroadcastDecisions([]Decision{decision})
}

// shareRatio returns the ratio of the higher to the lower one of two shares; 1 if both are 0.
func shareRatio(a, b float64) float64 {
	if a == b {
		return 1
	}
	return max(a, b) / min(a, b)
}

// decision returns the decision as it is sent to other nodes.
func (o *rollout) decision(now time.Time, decider string, d promoter.Decision) Decision {
	// The wall clock orders the decisions of a node that was restarted, but it may be set back.
	sequence := uint64(now.UnixNano())
	if known := o.decisions[decider]; known != nil {
		sequence = max(sequence, known.decision.Sequence+1)
	}
	started := make([]uint64, 0, len(o.started))
	for _, runs := range o.started {
		started = append(started, runs)
	}
	return Decision{
		Service:       o.order.Service,
		Order:         o.id(),
		TargetVersion: o.order.TargetVersion,
		State:         d.State,
		Share:         d.Share,
		MaxRequests:   promoter.Quota(d.MaxRequests, started),
		Sequence:      sequence,
		Decider:       decider,
		ValidFor:      LeaseTime,
	}
}

func isFinal(state promoter.State) bool {
	return state == promoter.StateCompleted || state == promoter.StateRolledBack
}

func finalShare(state promoter.State) float64 {
	if state == promoter.StateCompleted {
		return 1
	}
	return 0
}
