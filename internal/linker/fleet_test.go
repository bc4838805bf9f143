package linker

import (
	"fmt"
	"net"
	"slices"
	"testing"

	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/selector"
)

// fleetNodes is more than the nodes of a service to which a node links.
const (
	fleetNodes   = 2*selector.TargetLinksPerService + 8
	fleetDomains = 8
)

// startFleet starts nodes of one service that hear of each other by news alone: each
// is told of the one before.
func startFleet(t *testing.T) (nodes []*node) {
	t.Helper()
	for i := range fleetNodes {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		n := startMember(t, Member{
			Name:        fmt.Sprintf("n%02d", i),
			Incarnation: fmt.Sprint(i),
			Address:     l.Addr().String(),
			Service:     "s",
			Domain:      fmt.Sprint("d", i%fleetDomains),
		}, l)
		if i > 0 {
			n.AddMember(nodes[i-1].member, false)
		}
		nodes = append(nodes, n)
	}
	awaitAll(t, nodes, func(n *node) bool { return len(n.Members()) == fleetNodes-1 })
	return nodes
}

func awaitAll(t *testing.T, nodes []*node, done func(n *node) bool) {
	t.Helper()
	await(t, func() bool {
		for _, n := range nodes {
			if !done(n) {
				return false
			}
		}
		return true
	})
}

// wanted returns the names of the nodes to which the last choice wanted links.
func (n *node) wanted() map[string]bool {
	n.Linker.mu.Lock()
	defer n.Linker.mu.Unlock()
	names := map[string]bool{}
	for name, k := range n.links {
		if k.wanted {
			names[name] = true
		}
	}
	return names
}

// TestLinksDoNotFollowTheFleet is a deployment with more nodes than a node links to:
// all know each other, each has enough links and not one to everybody, and a new
// configuration reaches all.
func TestLinkCountIsBounded(t *testing.T) {
	nodes := startFleet(t)
	awaitAll(t, nodes, func(n *node) bool { return n.ConnectedPeerCount() >= selector.TargetLinksPerService-1 })
	for _, n := range nodes {
		delegates := n.Delegates()
		want := selector.TargetLinksPerService + len(delegates.NamesByDomain[n.member.Domain])
		if delegates.IsDelegate() {
			want = selector.TargetLinksPerService + delegates.Count - 1
		}
		if got := len(n.wanted()); got > want {
			t.Errorf("node %s: got %d links wanted, want at most %d", n.member.Name, got, want)
		}
	}
	nodes[3].mu.Lock()
	nodes[3].state = director.State{Revision: 9, Config: &director.Config{Version: 4}}
	nodes[3].mu.Unlock()
	awaitAll(t, nodes, func(n *node) bool { return n.getState().Revision == 9 })
}

// TestLeavingIsKnownToNodesWithoutALink lets a node leave that most others have no
// link to.
func TestLeaveReachesUnlinkedNodes(t *testing.T) {
	nodes := startFleet(t)
	gone := nodes[5]
	gone.Leave()
	others := slices.Concat(nodes[:5], nodes[6:])
	awaitAll(t, others, func(n *node) bool { return len(n.Members()) == fleetNodes-2 })
	for _, n := range others {
		n.AddMember(gone.member, false)
		if got := len(n.Members()); got != fleetNodes-2 {
			t.Errorf("node %s: got %d members after it was told again of the one that left, want %d", n.member.Name, got, fleetNodes-2)
		}
	}
}

// TestOtherLinksReplaceThoseThatCannotBeUsed closes the backend servers that a node
// links to: it sets up links to others.
func TestUnusableLinksAreReplaced(t *testing.T) {
	nodes := startFleet(t)
	first := nodes[0]
	await(t, func() bool { return first.ConnectedPeerCount() >= selector.TargetLinksPerService-1 })
	wanted := first.wanted()
	for _, n := range nodes {
		if wanted[n.member.Name] {
			n.mu.Lock()
			n.load.Closed = true
			n.mu.Unlock()
			n.BroadcastLoad()
		}
	}
	await(t, func() bool {
		open := 0
		for _, p := range first.Peers() {
			if p.Connected && p.Selected && !wanted[p.Name] {
				open++
			}
		}
		return open >= selector.TargetLinksPerService/2
	})
}

// TestFewNodesFollowTheDirectory lets the directory answer all nodes, then none: the
// delegates follow it, the others leave that to them while they hear that it answers.
func TestOnlyDelegatesFollowDirectory(t *testing.T) {
	nodes := startFleet(t)
	answer := func(answers bool) {
		for _, n := range nodes {
			n.mu.Lock()
			n.follows = answers
			n.state = director.State{Revision: 1}
			n.mu.Unlock()
		}
	}
	answer(true)
	awaitAll(t, nodes, func(n *node) bool { return n.CanRelyOnDelegates() != n.Delegates().IsDelegate() })
	answer(false)
	awaitAll(t, nodes, func(n *node) bool { return !n.CanRelyOnDelegates() })
}
