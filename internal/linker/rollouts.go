package linker

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/framer"
	"github.com/flamingotack/flamingotack/internal/promoter"
	"github.com/flamingotack/flamingotack/internal/releaser"
	"github.com/flamingotack/flamingotack/internal/validator"
)

const (
	// rolloutLinksPerService replaces selector.TargetLinksPerService and MaxLinksPerService
	// for a service with a rollout, as there are twice as many nodes and the calls go to a
	// part of them.
	rolloutLinksPerService = 64
	// reportRelays is the number of delegates to which reports are sent for relaying.
	reportRelays = 2
	// maxReportedRoutes bounds the routes in a report that is received.
	maxReportedRoutes = 4096
)

// DeciderNames returns the delegates in the order in which they decide on the rollouts of a
// service. The order is the same on all nodes with the same members.
func (l *Linker) DeciderNames(service string) []string {
	return l.Delegates().Ranked("rollout " + service)
}

// IsDelegate reports whether this node is a delegate.
func (l *Linker) IsDelegate() bool {
	return l.Delegates().IsDelegate()
}

// CountNodes returns the number of nodes of a service, this one included. known reports whether
// this node has received the whole member list once.
func (l *Linker) CountNodes(service string) (count int, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.self.Service == service {
		count++
	}
	for _, k := range l.links {
		if k.member.Service == service {
			count++
		}
	}
	return count, l.membersReceived
}

// SendReports sends reports on rollouts to a node, and reports whether there is a session.
func (l *Linker) SendReports(name string, reports []releaser.Report) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sessionWith(name)
	return s != nil && s.enqueue(&framer.Frame{RolloutReports: fromReports(reports)})
}

// SendReportsToDelegates sends reports on rollouts to some connected delegates, which relay
// them.
func (l *Linker) SendReportsToDelegates(reports []releaser.Report) {
	f := &framer.Frame{RolloutReports: fromReports(reports)}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateLinkOrders()
	sent := 0
	for k := range l.delegateLinks() {
		if s := k.current.Load(); sent < reportRelays && s != nil && s.enqueue(f) {
			sent++
		}
	}
}

// SendDecision sends a decision on a rollout to a node if there is a session.
func (l *Linker) SendDecision(name string, d releaser.Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.sessionWith(name); s != nil {
		s.enqueue(&framer.Frame{RolloutDecisions: []*framer.RolloutDecision{fromDecision(d)}})
	}
}

// BroadcastDecisions sends decisions on rollouts to all nodes to which there is a session.
func (l *Linker) BroadcastDecisions(decisions []releaser.Decision) {
	l.sendDecisions(decisions, func(Member) bool { return true })
}

// RelayDecisions sends decisions that the node from has sent to the nodes of this node's failure
// domain. Each node has links to delegates of its own failure domain or to all delegates, of which
// the deciding node is one.
func (l *Linker) RelayDecisions(decisions []releaser.Decision, from string) {
	l.sendDecisions(decisions, func(m Member) bool { return m.Domain == l.self.Domain && m.Name != from })
}

// sendDecisions sends decisions to the nodes that match, over one session each.
func (l *Linker) sendDecisions(decisions []releaser.Decision, match func(Member) bool) {
	f := &framer.Frame{}
	for _, d := range decisions {
		f.RolloutDecisions = append(f.RolloutDecisions, fromDecision(d))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	sent := map[string]bool{}
	for name, k := range l.links {
		if s := k.current.Load(); s != nil && match(k.member) {
			sent[name] = s.enqueue(f)
		}
	}
	for r := range l.inbound {
		if !sent[r.member.Name] && match(r.member) {
			sent[r.member.Name] = r.session.enqueue(f)
		}
	}
}

// sessionWith returns a session with a node that either side has established, or nil. The
// caller holds the lock.
func (l *Linker) sessionWith(name string) *session {
	if k := l.links[name]; k != nil {
		if s := k.current.Load(); s != nil {
			return s
		}
	}
	for r := range l.inbound {
		if r.member.Name == name {
			return r.session
		}
	}
	return nil
}

// handleRollouts passes on the reports and decisions on rollouts in a frame, without those that
// are invalid.
func (l *Linker) handleRollouts(m Member, f *framer.Frame) {
	var reports []releaser.Report
	for _, message := range f.GetRolloutReports() {
		report, err := toReport(message)
		if err != nil {
			l.logger.Warnf("rollout report from node %s discarded: %v", m.Name, err)
			continue
		}
		reports = append(reports, report)
	}
	if len(reports) > 0 {
		l.handlers.ReceiveReports(m.Name, reports)
	}
	var decisions []releaser.Decision
	for _, message := range f.GetRolloutDecisions() {
		decision, err := toDecision(message)
		if err != nil {
			l.logger.Warnf("rollout decision from node %s discarded: %v", m.Name, err)
			continue
		}
		decisions = append(decisions, decision)
	}
	if len(decisions) > 0 {
		l.handlers.ReceiveDecisions(m.Name, decisions)
	}
}

// fromReports encodes reports. Of the entries without a route, the first holds the number of
// started runs and the age of the order, the second the outcomes of the cold server.
func fromReports(reports []releaser.Report) (list []*framer.RolloutReport) {
	for _, r := range reports {
		m := &framer.RolloutReport{
			Service:       r.Service,
			OrderEra:      r.Order.Era,
			OrderRevision: r.Order.Revision,
			Node:          r.Node,
			Incarnation:   r.Incarnation,
			Version:       r.Version,
			Busy:          r.Busy,
			Routes: []*framer.RouteOutcomes{
				{Requests: r.Started, TotalMicros: r.Age.Microseconds()},
				fromOutcomes("", r.Cold),
			},
		}
		for route, o := range r.Routes {
			m.Routes = append(m.Routes, fromOutcomes(route, o))
		}
		list = append(list, m)
	}
	return list
}

func fromOutcomes(route string, o promoter.RouteOutcomes) *framer.RouteOutcomes {
	return &framer.RouteOutcomes{Route: route, Requests: o.Requests, Failures: o.Failures, TotalMicros: o.TotalTime.Microseconds()}
}

func fromDecision(d releaser.Decision) *framer.RolloutDecision {
	return &framer.RolloutDecision{
		Service:       d.Service,
		OrderEra:      d.Order.Era,
		OrderRevision: d.Order.Revision,
		TargetVersion: d.TargetVersion,
		State:         string(d.State),
		Share:         d.Share,
		MaxRequests:   d.MaxRequests,
		Sequence:      d.Sequence,
		Decider:       d.Decider,
		LeftMicros:    d.ValidFor.Microseconds(),
	}
}

// toReport returns an error if a report is incomplete or a number is out of range.
func toReport(m *framer.RolloutReport) (r releaser.Report, err error) {
	if m.GetService() == "" || m.GetNode() == "" {
		return r, errors.New("service or node is missing")
	}
	if len(m.GetRoutes()) > maxReportedRoutes {
		return r, errors.Newf("number of routes is %d, expected at most %d", len(m.GetRoutes()), maxReportedRoutes)
	}
	r.Service, r.Node, r.Incarnation, r.Version, r.Busy = m.GetService(), m.GetNode(), m.GetIncarnation(), m.GetVersion(), m.GetBusy()
	r.Order = releaser.OrderID{Era: m.GetOrderEra(), Revision: m.GetOrderRevision()}
	r.Routes = map[string]promoter.RouteOutcomes{}
	unnamed := 0
	for _, o := range m.GetRoutes() {
		if o.GetFailures() > o.GetRequests() && o.GetRequests() > 0 {
			return r, errors.Newf("route %q has %d failures of %d requests", o.GetRoute(), o.GetFailures(), o.GetRequests())
		}
		outcomes := promoter.RouteOutcomes{Requests: o.GetRequests(), Failures: o.GetFailures(), TotalTime: microseconds(o.GetTotalMicros())}
		switch {
		case o.GetRoute() != "":
			r.Routes[o.GetRoute()] = outcomes
		case unnamed == 0:
			r.Started, r.Age = outcomes.Requests, outcomes.TotalTime
			unnamed++
		default:
			r.Cold = outcomes
		}
	}
	return r, nil
}

// toDecision returns an error if a decision is incomplete or a number is out of range.
func toDecision(m *framer.RolloutDecision) (d releaser.Decision, err error) {
	state := promoter.State(m.GetState())
	switch {
	case m.GetService() == "" || m.GetDecider() == "":
		return d, errors.New("service or decider is missing")
	case state != promoter.StateRunning && state != promoter.StateCompleted && state != promoter.StateRolledBack:
		return d, errors.Newf("state is %q, expected a state of a rollout", m.GetState())
	}
	if err := validator.Quantity(m.GetShare(), 1); err != nil {
		return d, errors.Wrap(err, "share")
	}
	return releaser.Decision{
		Service:       m.GetService(),
		Order:         releaser.OrderID{Era: m.GetOrderEra(), Revision: m.GetOrderRevision()},
		TargetVersion: m.GetTargetVersion(),
		State:         state,
		Share:         m.GetShare(),
		MaxRequests:   m.GetMaxRequests(),
		Sequence:      m.GetSequence(),
		Decider:       m.GetDecider(),
		ValidFor:      microseconds(m.GetLeftMicros()),
	}, nil
}

// microseconds returns a sum of durations, from 0 to the longest one.
func microseconds(count int64) time.Duration {
	return time.Duration(min(max(0, count), math.MaxInt64/int64(time.Microsecond))) * time.Microsecond
}
