// Package releaser runs the rollouts of services on one node: it reports the outcomes of the
// node's backend server, decides as the decider of a service, relays decisions and keeps what
// the node itself may do with each version. The decisions on a version are those of the
// package promoter.
package releaser

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/promoter"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// loggedShareRatio is the ratio of two shares from which on a change is logged.
	loggedShareRatio = 1.5
	// tickInterval is how often nodes report and deciders decide.
	tickInterval = 100 * time.Millisecond
	// decisionInterval is how often a decision is sent that changes little. Two may be lost
	// before the lease ends.
	decisionInterval = 2 * tickInterval
	// LeaseTime is how long a decision is valid.
	LeaseTime = 500 * time.Millisecond
	// finalInterval is how often the verdict is sent again until finalTime has passed, for
	// nodes that have missed it, and lateFinalInterval how often afterwards, for nodes that
	// start later.
	finalInterval     = time.Second
	finalTime         = 10 * time.Second
	lateFinalInterval = 10 * time.Second
	// settledTime is how long after the verdict calls may still move.
	settledTime = 5 * time.Second
	// finalTickInterval replaces tickInterval while all rollouts have a verdict.
	finalTickInterval = finalInterval / 2
	// withdrawalTime is how long the verdict on an order that was withdrawn is sent.
	withdrawalTime = 5 * time.Second
	// standbyInterval is how often a node reports to deciders that do not act.
	standbyInterval = 500 * time.Millisecond
	// candidateCount is the number of delegates, by rank, that act as the decider if those
	// before them do not.
	candidateCount = 4
	// takeoverTime is how long the first candidate may be silent before the second one
	// acts, and takeoverStep what is added for each further one.
	takeoverTime = time.Second
	takeoverStep = 500 * time.Millisecond
	// collectTime is how long a decider collects reports before it decides. The leases of
	// its predecessor have expired then.
	collectTime = LeaseTime + tickInterval
	// settleTime is the time from a node's first report of a server of the target version
	// until it takes decisions as valid for that server. The decider counts it in the quota
	// then.
	settleTime = 3 * tickInterval
	// quorumTime is how long a report counts for the quorum.
	quorumTime = 1200 * time.Millisecond
	// othersVerdictTime is how long a decider leaves it to another node to store the verdict
	// that this one has reached.
	othersVerdictTime = 1500 * time.Millisecond
	// statusTimeout bounds a call to the store, and statusRetryTime is the time between two
	// attempts.
	statusTimeout   = 2 * time.Second
	statusRetryTime = 500 * time.Millisecond
)

type (
	// Links sends messages to other nodes and names the deciders.
	Links interface {
		// DeciderNames returns the delegates that may decide for a service, in the order
		// of their ranks, which is the same on all nodes.
		DeciderNames(service string) []string
		// CountNodes returns the number of nodes of a service, this one included. known
		// reports whether this node knows all members.
		CountNodes(service string) (count int, known bool)
		// IsDelegate reports whether this node relays messages.
		IsDelegate() bool
		// SendReports sends reports to a node, and reports whether there is a session.
		SendReports(name string, reports []Report) bool
		// SendReportsToDelegates sends reports to some delegates, which relay them.
		SendReportsToDelegates(reports []Report)
		// SendDecision sends a decision to a node to which there is a session.
		SendDecision(name string, d Decision)
		// BroadcastDecisions sends decisions to all nodes to which there is a session.
		BroadcastDecisions(decisions []Decision)
		// RelayDecisions sends decisions that the node from has sent to the nodes that
		// rely on this delegate.
		RelayDecisions(decisions []Decision, from string)
	}

	// Server is the backend server beside the node.
	Server interface {
		// ApplyRollout puts the part of a rollout in force that concerns the server; nil
		// ends it.
		ApplyRollout(gate *Gate)
		// RolloutReports returns the outcomes of the gate's order by version.
		RolloutReports() []promoter.NodeReport
	}

	// Store keeps the statuses of rollouts.
	Store interface {
		// RolloutStatus returns the stored status of a service's rollout; an empty state
		// without one.
		RolloutStatus(ctx context.Context, service string) (state promoter.State, targetVersion string, err error)
		// SaveRolloutStatus stores the status of a service's rollout.
		SaveRolloutStatus(ctx context.Context, service string, state promoter.State, targetVersion string) error
	}

	// Settings holds the dependencies of a Releaser.
	Settings struct {
		Bounds promoter.Bounds
		Clock  timekeeper.Clock
		Links  Links
		Logger *logger.Logger
		// Node is the name of this node, Incarnation its incarnation and Service the
		// service of its backend server.
		Node, Incarnation, Service string
		Server                     Server
		Store                      Store
	}

	// Releaser runs the rollouts. Create it with New. It is safe for concurrent use.
	Releaser struct {
		Settings

		// plans holds what callers may do, by service; nil without rollouts.
		plans atomic.Pointer[map[string]*Plan]
		// changed signals that the orders have changed.
		changed chan struct{}

		mu       sync.Mutex
		rollouts map[string]*rollout
		// generation counts the orders for the service of this node's server.
		generation uint64
		// statusCalls runs calls to the store in the background.
		statusCalls sync.WaitGroup
	}
)

// New returns a Releaser without rollouts.
func New(s Settings) *Releaser {
	return &Releaser{Settings: s, changed: make(chan struct{}, 1), rollouts: map[string]*rollout{}}
}

// Plan returns which versions of a service calls may go to; nil if there is no rollout.
func (r *Releaser) Plan(service string) *Plan {
	plans := r.plans.Load()
	if plans == nil {
		return nil
	}
	return (*plans)[service]
}

// MovesCalls reports whether calls of a service move between versions: a rollout has no verdict, or
// has had one for a few seconds. It takes no lock.
func (r *Releaser) MovesCalls(service string) bool {
	p := r.Plan(service)
	return p != nil && (p.FinalAt.IsZero() || r.Clock.Now().Sub(p.FinalAt) < settledTime)
}

// Status returns the state of the rollout of this node's service for metrics: the share, the
// number of runs on the target version as far as this node knows, and whether the rollout is
// running (1), completed (2) or rolled back (3); 0 without one.
func (r *Releaser) Status() (share float64, exposure uint64, state int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.rollouts[r.Service]
	if o == nil {
		return 0, 0, 0
	}
	exposure, _ = o.promoter.Exposure()
	switch o.final {
	case promoter.StateCompleted:
		return 1, exposure, 2
	case promoter.StateRolledBack:
		return 0, exposure, 3
	}
	if d := o.validDecision(r.Clock.Now()); d != nil {
		share = d.Share
	}
	return share, exposure, 1
}

// Apply puts the orders of a state in force.
func (r *Releaser) Apply(orders []director.Rollout) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(orders) == 0 && len(r.rollouts) == 0 {
		return
	}
	now := r.Clock.Now()
	ordered := map[string]bool{}
	for i := range orders {
		ordered[orders[i].Service] = true
		r.applyOrder(now, &orders[i])
	}
	for service, o := range r.rollouts {
		if !ordered[service] {
			r.withdraw(service, o)
		}
	}
	r.publish(now)
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// Run runs the rollouts until ctx ends and returns nil.
func (r *Releaser) Run(ctx context.Context) error {
	defer r.statusCalls.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.changed:
		}
		for r.Tick(ctx) {
			select {
			case <-ctx.Done():
				return nil
			case <-r.changed:
			case <-time.After(r.interval()):
			}
		}
	}
}

// interval returns the time until the next tick unless the orders change.
func (r *Releaser) interval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.rollouts {
		if o.final == "" {
			return tickInterval
		}
	}
	return finalTickInterval
}

// Tick sends the due reports and decisions and ends leases. It reports whether there are
// rollouts.
func (r *Releaser) Tick(ctx context.Context) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	for _, o := range r.rollouts {
		o.ranked = r.Links.DeciderNames(o.order.Service)
		r.report(now, o)
		r.decide(ctx, now, o)
	}
	r.publish(now)
	return len(r.rollouts) > 0
}

// HandleReports records the reports that a node has sent. A delegate relays those that come from
// the node that they are about.
func (r *Releaser) HandleReports(from string, reports []Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, report := range reports {
		o := r.rollouts[report.Service]
		if o == nil || !o.concerns(report.Order) {
			continue
		}
		if o.final != "" {
			r.Links.SendDecision(from, o.decision(r.Clock.Now(), r.Node, promoter.Decision{State: o.final, Share: finalShare(o.final)}))
			continue
		}
		o.record(r.Clock.Now(), report)
		if from == report.Node && r.Links.IsDelegate() {
			r.relay(o, report)
		}
	}
}

// relay sends the report of another node to the decider, or to all candidates while none
// decides. The caller holds the lock.
func (r *Releaser) relay(o *rollout, report Report) {
	names := o.candidates()
	if d := o.validDecision(r.Clock.Now()); d != nil {
		names = []string{d.Decider}
	}
	for _, name := range names {
		if name != r.Node && name != report.Node {
			r.Links.SendReports(name, []Report{report})
		}
	}
}

// HandleDecisions takes the decisions that a node has sent. A delegate relays them.
func (r *Releaser) HandleDecisions(from string, decisions []Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	var relayed []Decision
	for _, d := range decisions {
		o := r.rollouts[d.Service]
		if d.Decider == r.Node || o == nil || !o.concerns(d.Order) || d.TargetVersion != o.order.TargetVersion {
			continue
		}
		if r.recordDecision(now, o, d) {
			relayed = append(relayed, d)
		}
	}
	if len(relayed) == 0 {
		return
	}
	r.publish(now)
	if r.Links.IsDelegate() {
		r.Links.RelayDecisions(relayed, from)
	}
}

// recordDecision records a decision and reports whether it is new.
func (r *Releaser) recordDecision(now time.Time, o *rollout, d Decision) bool {
	if known := o.decisions[d.Decider]; known != nil && d.Sequence <= known.decision.Sequence {
		return false
	}
	o.decisions[d.Decider] = &receivedDecision{decision: d, receivedAt: now, validUntil: now.Add(min(LeaseTime, d.ValidFor))}
	if d.Decider != r.Node {
		o.promoter.AdoptShare(now, d.Share)
	}
	if d.State != promoter.StateRunning {
		r.conclude(o, d.State, "decided by node "+d.Decider)
	}
	return true
}

// conclude records the verdict, which never changes.
func (r *Releaser) conclude(o *rollout, state promoter.State, reason string) {
	if o.final != "" {
		return
	}
	o.final, o.finalAt = state, r.Clock.Now()
	target, all := o.promoter.Exposure()
	r.Logger.Infof("rollout of service %s to version %q, revision %d: %s (%s); %d of %d known runs were on that version", o.order.Service, o.order.TargetVersion, o.order.Revision, state, reason, target, all)
}

// publish computes the plans for callers and the gate of the node's server.
func (r *Releaser) publish(now time.Time) {
	if len(r.rollouts) == 0 {
		r.plans.Store(nil)
		return
	}
	plans := make(map[string]*Plan, len(r.rollouts))
	for service, o := range r.rollouts {
		plans[service] = o.plan(now)
	}
	r.plans.Store(&plans)
	if o := r.rollouts[r.Service]; o != nil {
		r.Server.ApplyRollout(o.gate(now, o.generation))
	}
}
