package releaser

import (
	"math"
	"slices"
	"time"

	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/promoter"
)

type (
	// OrderID identifies an order.
	OrderID struct {
		Era, Revision uint64
	}

	// Report is a node's report for the order of a service.
	Report struct {
		promoter.NodeReport
		Service string
		Order   OrderID
		// Age is the time since the node learned of the order. A decider that starts
		// later takes the highest one as the age of the order.
		Age time.Duration
	}

	// Decision is a decision on a rollout as it is sent to other nodes.
	Decision struct {
		Service       string
		Order         OrderID
		TargetVersion string
		State         promoter.State
		// Share is the fraction of the calls for the target version, MaxRequests the
		// number of runs that each node beside a server of it may have had since the
		// order.
		Share       float64
		MaxRequests uint64
		// Sequence grows with each decision of a decider.
		Sequence uint64
		Decider  string
		// ValidFor is how long the decision is valid after it is received.
		ValidFor time.Duration
	}

	// Plan tells the node which versions of a service its calls may go to. It is immutable.
	Plan struct {
		versionRules
		// Share is the fraction of the calls for the target version. It is valid until
		// ValidUntil; 0 applies afterwards.
		Share      float64
		ValidUntil time.Time
		// Undecided reports whether no decision on the order is known. The node has
		// started a short time ago then, and the rollout may have ended long before.
		Undecided bool
		// FinalAt is when the verdict became known; zero before.
		FinalAt time.Time
	}

	// Gate tells which calls may run on the node's backend server. It is immutable.
	Gate struct {
		versionRules
		// Generation differs between orders. The numbers of runs are counted since the
		// gate with that generation was applied first.
		Generation uint64
		// MaxRequests is the number of runs that a server of the target version may
		// have had. It is valid until ValidUntil; no call may run afterwards.
		MaxRequests uint64
		ValidUntil  time.Time
	}

	// versionRules tells which versions may get calls at all.
	versionRules struct {
		TargetVersion string
		// Completed and RolledBack report the verdict.
		Completed, RolledBack bool
		// excluded holds the target versions of earlier orders that were not completed.
		excluded map[string]bool
	}

	// rollout is the state of one order on this node.
	rollout struct {
		order director.Rollout
		// formerIDs identify the order before it was written again in a new era.
		formerIDs  []OrderID
		orderedAt  time.Time
		generation uint64
		excluded   map[string]bool
		// final is the verdict, or empty.
		final promoter.State
		// withdrawn reports whether the order was deleted.
		withdrawn bool
		// formerVerdict is the verdict of an earlier order for the same version, which the
		// store may still hold.
		formerVerdict promoter.State

		promoter *promoter.Promoter
		// reportedAt holds when each node last reported.
		reportedAt map[string]time.Time
		// started holds the newest numbers of runs on the target version by node and
		// incarnation.
		started map[string]uint64
		// targetReportedAt is when this node first reported a server of the target
		// version, standbyReportAt when it last reported to all candidates.
		targetReportedAt, standbyReportAt time.Time
		ranked                            []string
		decisions                         map[string]*receivedDecision

		// actingSince is when this node began to act as the decider; zero while it does
		// not.
		actingSince time.Time
		// decidedAt is when this node last acted as the decider. After a pause of the
		// process it collects reports anew.
		decidedAt time.Time
		// finalAt is when the verdict became known, finalSentAt when it was last sent.
		finalAt, finalSentAt time.Time
		// concludedHere reports whether this node has decided on the verdict, and so
		// stores it.
		concludedHere bool
		// loggedShare is the share that was logged last.
		loggedShare float64
		status      statusState
	}

	receivedDecision struct {
		decision               Decision
		receivedAt, validUntil time.Time
	}
)

// Allows reports whether a version may get calls at all.
func (v *versionRules) Allows(version string) bool {
	switch {
	case v.excluded[version]:
		return false
	case version == v.TargetVersion:
		return !v.RolledBack
	default:
		return !v.Completed
	}
}

// ShareAt returns the fraction of the calls for the target version.
func (p *Plan) ShareAt(now time.Time) float64 {
	switch {
	case p.Completed:
		return 1
	case p.RolledBack || !now.Before(p.ValidUntil):
		return 0
	}
	return p.Share
}

// Unlimited reports whether a server of a version may run any number of calls.
func (g *Gate) Unlimited(version string) bool {
	return version != g.TargetVersion || g.Completed
}

// applyOrder puts an order in force. The caller holds the lock.
func (r *Releaser) applyOrder(now time.Time, order *director.Rollout) {
	known := r.rollouts[order.Service]
	if known != nil && !known.withdrawn && known.continuedBy(order) {
		if known.order != *order {
			// Nodes that have not seen the new record yet name the former one.
			known.formerIDs = append(known.formerIDs, known.id())
			// The store may have lost the status as well.
			known.status.reset()
		}
		known.order = *order
		return
	}
	o := &rollout{
		order:      *order,
		orderedAt:  now,
		excluded:   map[string]bool{},
		promoter:   promoter.New(now, promoter.Order{Service: order.Service, TargetVersion: order.TargetVersion, Duration: order.Duration}, r.Bounds),
		reportedAt: map[string]time.Time{},
		started:    map[string]uint64{},
		decisions:  map[string]*receivedDecision{},
	}
	if known != nil {
		o.inheritFrom(known)
	}
	r.generation++
	o.generation = r.generation
	r.rollouts[order.Service] = o
	r.Logger.Infof("rollout of service %s to version %q ordered at revision %d, to be completed within %s", order.Service, order.TargetVersion, order.Revision, order.Duration)
}

// continuedBy reports whether an order is the one of the rollout, or orders what it has
// completed.
func (o *rollout) continuedBy(order *director.Rollout) bool {
	return o.order.ContinuedBy(order) || o.final == promoter.StateCompleted && o.order.TargetVersion == order.TargetVersion
}

// inheritFrom takes over from an earlier order which versions get no calls. A target version that
// was not completed counts as rolled back.
func (o *rollout) inheritFrom(former *rollout) {
	if former.final != promoter.StateCompleted {
		o.excluded = former.excluded
		o.excluded[former.order.TargetVersion] = true
	}
	delete(o.excluded, o.order.TargetVersion)
	if former.order.TargetVersion == o.order.TargetVersion {
		o.formerVerdict = former.final
	}
}

// withdraw rolls back a rollout whose order was deleted. The caller holds the lock.
func (r *Releaser) withdraw(service string, o *rollout) {
	if o.withdrawn {
		return
	}
	if o.final == promoter.StateCompleted {
		delete(r.rollouts, service)
		if service == r.Service {
			r.Server.ApplyRollout(nil)
		}
		return
	}
	o.withdrawn = true
	r.conclude(o, promoter.StateRolledBack, "the order was withdrawn")
}

// concerns reports whether a message belongs to the order. Nodes that read the order from a copy
// of the store and nodes that knew it before give it different eras.
func (o *rollout) concerns(id OrderID) bool {
	return id.Revision == o.order.Revision || slices.Contains(o.formerIDs, id)
}

func (o *rollout) id() OrderID {
	return OrderID{Era: o.order.Era, Revision: o.order.Revision}
}

// candidates returns the delegates that may decide.
func (o *rollout) candidates() []string {
	return o.ranked[:min(candidateCount, len(o.ranked))]
}

// record records a report.
func (o *rollout) record(now time.Time, report Report) {
	if o.final != "" {
		return
	}
	if orderedAt := now.Add(-min(report.Age, o.order.Duration)); orderedAt.Before(o.orderedAt) {
		o.orderedAt = orderedAt
		o.promoter.MoveOrder(orderedAt)
	}
	o.reportedAt[report.Node] = now
	if report.Version == o.order.TargetVersion {
		key := report.Node + " " + report.Incarnation
		o.started[key] = max(o.started[key], report.Started)
	}
	if report.Version != "" {
		o.promoter.Report(now, report.NodeReport)
	}
}

// validDecision returns the decision that is in force: of those that are valid, that of the
// decider with the best rank; nil without one.
func (o *rollout) validDecision(now time.Time) *Decision {
	var best *receivedDecision
	bestRank := 0
	for decider, d := range o.decisions {
		if !now.Before(d.validUntil) {
			continue
		}
		rank := slices.Index(o.ranked, decider)
		if rank < 0 {
			rank = math.MaxInt
		}
		if best == nil || rank < bestRank {
			best, bestRank = d, rank
		}
	}
	if best == nil {
		return nil
	}
	return &best.decision
}

func (o *rollout) rules() versionRules {
	return versionRules{
		TargetVersion: o.order.TargetVersion,
		Completed:     o.final == promoter.StateCompleted,
		RolledBack:    o.final == promoter.StateRolledBack,
		excluded:      o.excluded,
	}
}

func (o *rollout) plan(now time.Time) *Plan {
	p := &Plan{versionRules: o.rules(), Undecided: o.final == "" && len(o.decisions) == 0, FinalAt: o.finalAt}
	if d := o.validDecision(now); d != nil {
		p.Share, p.ValidUntil = d.Share, o.decisions[d.Decider].validUntil
	}
	return p
}

func (o *rollout) gate(now time.Time, generation uint64) *Gate {
	g := &Gate{versionRules: o.rules(), Generation: generation}
	if o.targetReportedAt.IsZero() || now.Sub(o.targetReportedAt) < settleTime {
		return g
	}
	if d := o.validDecision(now); d != nil {
		g.MaxRequests, g.ValidUntil = d.MaxRequests, o.decisions[d.Decider].validUntil
	}
	return g
}
