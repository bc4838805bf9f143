package releaser

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/promoter"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

type (
	// cluster is a deployment without a network: a caller's node and nodes of the service
	// shop. Messages are delivered after each tick. Calls run at once.
	cluster struct {
		t      *testing.T
		clock  *timekeeper.ManualClock
		start  time.Time
		nodes  map[string]*clusterNode
		orders []director.Rollout
		// ranked holds the names of the delegates. All other nodes reach only the delegates.
		ranked   []string
		messages []func()
		// cut reports whether the link between two nodes is cut.
		cut    func(a, b string) bool
		store  clusterStore
		random *rand.Rand
		// bad reports whether a run on a version fails.
		bad         func(version string) bool
		runs, calls map[string]int
	}

	// clusterNode is a node with its server.
	clusterNode struct {
		cluster *cluster
		*Releaser
		name, version string
		gate          *Gate
		report        promoter.NodeReport
		// paused stops the node's ticks and keeps its messages, down loses them.
		paused, down bool
		kept         []func()
	}

	// clusterStore holds the status of the rollout and the states that were written.
	clusterStore struct {
		away    bool
		state   promoter.State
		target  string
		written []string
	}
)

var errAway = errors.New("store is away")

// newCluster returns a cluster with two servers of v1, of which d0 and d1 are delegates, a
// caller and a further delegate without a server of the service.
func newCluster(t *testing.T) *cluster {
	start := time.Unix(1e6, 0)
	c := &cluster{
		t: t, clock: timekeeper.NewManualClock(start), start: start, nodes: map[string]*clusterNode{},
		ranked: []string{"d0", "d1", "d2"}, cut: func(string, string) bool { return false },
		random: rand.New(rand.NewPCG(1, 2)), bad: func(string) bool { return false },
		runs: map[string]int{}, calls: map[string]int{},
	}
	c.add("d0", "v1")
	c.add("d1", "v1")
	c.add("d2", "v1")
	c.add("caller", "")
	return c
}

// add starts a node. One without a version has a server of another service.
func (c *cluster) add(name, version string) *clusterNode {
	n := &clusterNode{cluster: c, name: name, version: version}
	n.report = promoter.NodeReport{Version: version, Routes: map[string]promoter.RouteOutcomes{}}
	service := "shop"
	if version == "" {
		service = "other"
	}
	n.Releaser = New(Settings{
		Bounds: promoter.Bounds{ExposureShare: 0.1, ExposureRequests: 50, RollbackTime: 5 * time.Second},
		Clock:  c.clock, Links: n, Logger: logger.New(c.t.Output(), "info", name), Node: name, Incarnation: name, Service: service, Server: n, Store: n,
	})
	c.nodes[name] = n
	n.Apply(c.orders)
	return n
}

// order puts an order of v in force at all nodes.
func (c *cluster) order(version string, duration time.Duration) {
	c.setOrders([]director.Rollout{{Revision: uint64(len(c.store.written) + int(c.elapsed().Milliseconds()) + 1), Service: "shop", TargetVersion: version, Duration: duration}})
}

func (c *cluster) setOrders(orders []director.Rollout) {
	c.orders = orders
	for _, n := range c.nodes {
		n.Apply(orders)
	}
}

func (c *cluster) elapsed() time.Duration {
	return c.clock.Now().Sub(c.start)
}

// runUntil advances the time to a time since the start, with 300 calls per second.
func (c *cluster) runUntil(end time.Duration) {
	for c.elapsed() < end {
		for range 10 {
			c.clock.Advance(tickInterval / 10)
			for range 3 {
				c.call()
			}
		}
		for _, name := range slices.Sorted(maps.Keys(c.nodes)) {
			n := c.nodes[name]
			if !n.paused && !n.down {
				n.Tick(context.Background())
				// Calls to the store end in a fixed order, so that each run is the same.
				n.statusCalls.Wait()
			}
		}
		// Replies and relayed messages are delivered at once.
		for len(c.messages) > 0 {
			messages := c.messages
			c.messages = nil
			for _, deliver := range messages {
				deliver()
			}
		}
	}
}

// call makes a call by the caller's plan, and again on other servers while it is refused.
func (c *cluster) call() {
	caller := c.nodes["caller"]
	plan := caller.Plan("shop")
	now := c.clock.Now()
	c.calls["all"]++
	var target, others []*clusterNode
	for _, name := range slices.Sorted(maps.Keys(c.nodes)) {
		n := c.nodes[name]
		switch {
		case n.version == "" || n.down || n.paused || c.cut("caller", name):
		case plan != nil && !plan.Allows(n.version):
		case plan != nil && n.version == plan.TargetVersion:
			target = append(target, n)
		default:
			others = append(others, n)
		}
	}
	for _, group := range [][]*clusterNode{target, others} {
		c.random.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
	}
	groups := others
	if plan != nil && c.random.Float64() < plan.ShareAt(now) {
		groups = slices.Concat(target, others)
	}
	for _, n := range groups {
		if n.run(now) {
			return
		}
	}
	c.calls["refused"]++
}

// run runs a call as the guardian does, and reports whether it was not refused.
func (n *clusterNode) run(now time.Time) bool {
	if n.gate != nil {
		allowed := n.gate.Unlimited(n.version) || now.Before(n.gate.ValidUntil) && n.report.Started < n.gate.MaxRequests
		if !n.gate.Allows(n.version) || !allowed {
			return false
		}
	}
	n.cluster.runs[n.version]++
	n.report.Started++
	o := promoter.RouteOutcomes{Requests: 1, TotalTime: 20 * time.Millisecond}
	if n.cluster.bad(n.version) {
		o.Failures++
	}
	n.report.Routes["r"] = n.report.Routes["r"].Add(o)
	return true
}

func (n *clusterNode) ApplyRollout(gate *Gate) {
	if n.gate == nil || gate == nil || n.gate.Generation != gate.Generation {
		n.report = promoter.NodeReport{Version: n.version, Routes: map[string]promoter.RouteOutcomes{}}
	}
	n.gate = gate
}

func (n *clusterNode) RolloutReports() []promoter.NodeReport {
	report := n.report
	report.Routes = maps.Clone(n.report.Routes)
	return []promoter.NodeReport{report}
}

func (n *clusterNode) DeciderNames(string) []string { return n.cluster.ranked }
func (n *clusterNode) IsDelegate() bool             { return slices.Contains(n.cluster.ranked, n.name) }

func (n *clusterNode) CountNodes(string) (count int, known bool) {
	for _, other := range n.cluster.nodes {
		if other.version != "" {
			count++
		}
	}
	return count, true
}

// send delivers a message after the ticks of all nodes, if there is a session.
func (n *clusterNode) send(name string, deliver func(to *clusterNode)) bool {
	to := n.cluster.nodes[name]
	if to == nil || to.down || n.cluster.cut(n.name, name) || !n.IsDelegate() && !to.IsDelegate() {
		return false
	}
	n.cluster.messages = append(n.cluster.messages, func() {
		switch {
		case to.down:
		case to.paused:
			to.kept = append(to.kept, func() { deliver(to) })
		default:
			deliver(to)
		}
	})
	return true
}

func (n *clusterNode) resume() {
	n.paused = false
	for _, deliver := range n.kept {
		deliver()
	}
	n.kept = nil
}

func (n *clusterNode) SendReports(name string, reports []Report) bool {
	return n.send(name, func(to *clusterNode) { to.HandleReports(n.name, reports) })
}

func (n *clusterNode) SendReportsToDelegates(reports []Report) {
	for _, name := range n.cluster.ranked {
		if name != n.name {
			n.SendReports(name, reports)
		}
	}
}

func (n *clusterNode) SendDecision(name string, d Decision) {
	n.send(name, func(to *clusterNode) { to.HandleDecisions(n.name, []Decision{d}) })
}

func (n *clusterNode) BroadcastDecisions(decisions []Decision) {
	for _, name := range slices.Sorted(maps.Keys(n.cluster.nodes)) {
		if name != n.name {
			n.send(name, func(to *clusterNode) { to.HandleDecisions(n.name, decisions) })
		}
	}
}

func (n *clusterNode) RelayDecisions(decisions []Decision, from string) {
	for _, name := range slices.Sorted(maps.Keys(n.cluster.nodes)) {
		if name != n.name && name != from && !slices.Contains(n.cluster.ranked, name) {
			n.send(name, func(to *clusterNode) { to.HandleDecisions(n.name, decisions) })
		}
	}
}

func (n *clusterNode) RolloutStatus(context.Context, string) (promoter.State, string, error) {
	s := &n.cluster.store
	if s.away {
		return "", "", errAway
	}
	return s.state, s.target, nil
}

func (n *clusterNode) SaveRolloutStatus(_ context.Context, _ string, state promoter.State, target string) error {
	s := &n.cluster.store
	if s.away {
		return errAway
	}
	s.state, s.target = state, target
	s.written = append(s.written, fmt.Sprint(state, " ", target))
	return nil
}
