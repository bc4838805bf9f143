package releaser

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/promoter"
)

// statusState is what the decider knows about the stored status.
type statusState struct {
	// readAt is when the status was read first, zero before, and written the state that was
	// written last.
	readAt  time.Time
	written promoter.State
	// readLate reports whether the status was read after the deadline, completing whether this
	// node has begun to store StateCompleted.
	readLate, completing bool
	// pending reports whether a call to the store is under way, attemptedAt when the last
	// one began.
	pending     bool
	attemptedAt time.Time
	// resets counts the calls of reset. Calls to the store that began before the last one
	// tell nothing about what is stored.
	resets int
}

// reset forgets what is known about the stored status, as the store may have lost it.
func (s *statusState) reset() {
	*s = statusState{pending: s.pending, completing: s.completing, resets: s.resets + 1}
}

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
	}
	if o.firstReportAt.IsZero() {
		o.firstReportAt = now
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
		if o.concludedHere || now.Sub(o.finalAt) >= othersVerdictTime {
			r.writeStatus(ctx, now, o, o.final)
		}
		if now.Sub(o.finalSentAt) >= o.finalInterval(now) && (!o.withdrawn || now.Sub(o.finalAt) < withdrawalTime) {
			o.finalSentAt = now
			r.send(now, o, promoter.Decision{State: o.final, Share: finalShare(o.final)})
		}
		return
	}
	if !r.hasQuorum(now, o) {
		o.actingSince = now
	}
	// While the store is away all candidates wait for it, so the first one gets time to decide.
	turn := time.Duration(slices.Index(o.candidates(), r.Node)) * (statusRetryTime + decisionInterval)
	if o.status.readAt.IsZero() || now.Sub(o.status.readAt) < turn || now.Sub(o.actingSince) < collectTime {
		return
	}
	if late := now.Sub(o.orderedAt) >= o.order.Duration; late && !o.status.readLate && !o.status.completing {
		// Another decider may have stored StateCompleted shortly before. Until that is
		// known, nothing is decided, so the target version gets no calls.
		r.readStatus(ctx, now, o)
		return
	}
	d := o.promoter.Decide(now)
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
	r.send(now, o, d)
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
	r.take(now, o, decision)
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
		Sequence:      uint64(now.UnixNano()),
		Decider:       decider,
		Left:          LeaseTime,
	}
}

// readStatus reads the stored status in the background. A verdict on the order that another
// decider has stored is adopted. The caller holds the lock.
func (r *Releaser) readStatus(ctx context.Context, now time.Time, o *rollout) {
	order, resets := o.order, o.status.resets
	r.callStore(ctx, now, o, func(ctx context.Context) error {
		state, err := r.storedState(ctx, o, order)
		if err != nil {
			return err
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if o.status.resets != resets {
			return nil
		}
		if o.status.readAt.IsZero() {
			o.status.readAt = r.Clock.Now()
		}
		o.status.readLate = now.Sub(o.orderedAt) >= o.order.Duration
		r.adopt(o, state)
		return nil
	})
}

// adopt takes over a state that is stored for the order. The caller holds the lock.
func (r *Releaser) adopt(o *rollout, state promoter.State) {
	o.status.written = state
	if !isFinal(state) {
		return
	}
	if o.final != "" && o.final != state {
		r.Logger.Errorf("rollout of service %s to version %q was %s, but %s is stored", o.order.Service, o.order.TargetVersion, o.final, state)
	}
	r.conclude(o, state, "as stored")
}

// writeStatus stores the state of a rollout in the background, once. It reads the stored one
// before. The caller holds the lock.
func (r *Releaser) writeStatus(ctx context.Context, now time.Time, o *rollout, state promoter.State) {
	if o.status.written == state || isFinal(o.status.written) {
		return
	}
	order, resets := o.order, o.status.resets
	r.callStore(ctx, now, o, func(ctx context.Context) error {
		return r.storeStatus(ctx, o, order, state, resets)
	})
}

// storeStatus stores the state of a rollout unless that or a verdict is stored, and adopts what is
// stored then, unless the status was reset meanwhile. order is that of the rollout, which changes
// under the lock.
func (r *Releaser) storeStatus(ctx context.Context, o *rollout, order director.Rollout, state promoter.State, resets int) error {
	stored, err := r.storedState(ctx, o, order)
	if err != nil {
		return err
	}
	if stored == "" || stored == promoter.StateRunning && state != stored {
		if !r.mayStore(o, state) {
			return nil
		}
		if err := r.Store.SaveRolloutStatus(ctx, order.Service, state, order.TargetVersion); err != nil {
			return err
		}
		r.Logger.Infof("status %s of the rollout of service %s to version %q stored", state, order.Service, order.TargetVersion)
		stored = state
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.status.resets != resets {
		return nil
	}
	o.formerVerdict = ""
	r.adopt(o, stored)
	return nil
}

// RewriteStatuses stores the statuses of the rollouts that this node decides, after the store was
// restored from an older copy. It reports whether there were any. If it fails, it may be called
// again.
func (r *Releaser) RewriteStatuses(ctx context.Context) (written bool, err error) {
	type rewrite struct {
		rollout *rollout
		order   director.Rollout
		state   promoter.State
		resets  int
	}
	var rewrites []rewrite
	r.mu.Lock()
	now := r.Clock.Now()
	for _, o := range r.rollouts {
		if o.status.pending {
			err = errors.Newf("a call for the status of the rollout of service %s is under way", o.order.Service)
			continue
		}
		acts, state := r.acts(now, o), o.final
		if state == "" && len(o.decisions) > 0 {
			state = promoter.StateRunning
		}
		o.status.reset()
		if acts && state != "" {
			o.status.pending = true
			rewrites = append(rewrites, rewrite{o, o.order, state, o.status.resets})
		}
	}
	r.mu.Unlock()
	for _, w := range rewrites {
		callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
		err = errors.CombineErrors(err, r.storeStatus(callCtx, w.rollout, w.order, w.state, w.resets))
		cancel()
		r.mu.Lock()
		w.rollout.status.pending = false
		r.mu.Unlock()
	}
	return len(rewrites) > 0, err
}

// mayStore reports whether a state may be stored: no other verdict and no later order has come
// since the write was begun. A write of StateCompleted may take effect even if it fails, so the
// deadline does not count any more.
func (r *Releaser) mayStore(o *rollout, state promoter.State) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.final != "" && o.final != state || r.rollouts[o.order.Service] != o {
		return false
	}
	if state == promoter.StateCompleted {
		o.status.completing = true
		o.promoter.IgnoreDeadline()
	}
	return true
}

// storedState returns the stored state of the order; empty if the store holds that of another
// order.
func (r *Releaser) storedState(ctx context.Context, o *rollout, order director.Rollout) (promoter.State, error) {
	state, target, err := r.Store.RolloutStatus(ctx, order.Service)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil || target != order.TargetVersion || state == o.formerVerdict {
		return "", err
	}
	return state, nil
}

// callStore runs a call to the store in the background unless one is under way or the last one
// failed a short time ago. The caller holds the lock.
func (r *Releaser) callStore(ctx context.Context, now time.Time, o *rollout, call func(context.Context) error) {
	if o.status.pending || !o.status.attemptedAt.IsZero() && now.Sub(o.status.attemptedAt) < statusRetryTime {
		return
	}
	o.status.pending, o.status.attemptedAt = true, now
	r.statusCalls.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
		defer cancel()
		err := call(callCtx)
		r.mu.Lock()
		defer r.mu.Unlock()
		o.status.pending = false
		if err == nil {
			o.status.attemptedAt = time.Time{}
		} else if ctx.Err() == nil {
			r.Logger.Warnf("status of the rollout of service %s not read or stored: %v", o.order.Service, err)
		}
	})
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
