package linker

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/selector"
	"github.com/flamingotack/flamingotack/internal/suspecter"
)

// deploymentNodes exceeds the number of nodes of a service to which a node links.
const (
	deploymentNodes   = 2*selector.TargetLinksPerService + 8
	deploymentDomains = 8
)

// startDeployment starts nodes of one service. Each knows only the node started before it
// and learns of the others by news.
func startDeployment(t *testing.T) (nodes []*node) {
	t.Helper()
	for i := range deploymentNodes {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		n := startMember(t, Member{
			Name:        fmt.Sprintf("n%02d", i),
			Incarnation: fmt.Sprint(i),
			Address:     l.Addr().String(),
			Service:     "s",
			Domain:      fmt.Sprint("d", i%deploymentDomains),
		}, l)
		if i > 0 {
			n.AddMember(nodes[i-1].member, false)
		}
		nodes = append(nodes, n)
	}
	awaitAll(t, nodes, func(n *node) bool { return len(n.Members()) == deploymentNodes-1 })
	return nodes
}

// awaitAll waits until done holds for all nodes.
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

// wantedLinks returns the names of the nodes to which the last choice wanted links.
func (n *node) wantedLinks() map[string]bool {
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

// TestLinkCountIsBounded guards against links that grow with the deployment. With more nodes
// than a node links to, all nodes know each other, each has enough links but not one to every
// node, and a new configuration reaches all.
func TestLinkCountIsBounded(t *testing.T) {
	nodes := startDeployment(t)
	awaitAll(t, nodes, func(n *node) bool { return n.ConnectedPeerCount() >= selector.TargetLinksPerService-1 })
	for _, n := range nodes {
		delegates := n.Delegates()
		want := selector.TargetLinksPerService + len(delegates.NamesByDomain[n.member.Domain])
		if delegates.IsDelegate() {
			want = selector.TargetLinksPerService + delegates.Count - 1
		}
		if got := len(n.wantedLinks()); got > want {
			t.Errorf("node %s: got %d links wanted, want at most %d", n.member.Name, got, want)
		}
	}
	nodes[3].mu.Lock()
	nodes[3].state = director.State{Revision: 9, Config: &director.Config{Version: 4}}
	nodes[3].mu.Unlock()
	awaitAll(t, nodes, func(n *node) bool { return n.getState().Revision == 9 })
}

// TestLeaveReachesUnlinkedNodes guards against departed members that stay known: a node
// leaves to which most other nodes have no link.
func TestLeaveReachesUnlinkedNodes(t *testing.T) {
	nodes := startDeployment(t)
	gone := nodes[5]
	gone.Leave()
	others := slices.Concat(nodes[:5], nodes[6:])
	awaitAll(t, others, func(n *node) bool { return len(n.Members()) == deploymentNodes-2 })
	for _, n := range others {
		n.AddMember(gone.member, false)
		if got := len(n.Members()); got != deploymentNodes-2 {
			t.Errorf("node %s: got %d members after the departed one was added again, want %d", n.member.Name, got, deploymentNodes-2)
		}
	}
}

// TestSuspectsReachAllNodes guards against requests that crash the backend servers of one node
// after the other: each node learns of a suspect, also one that starts later.
func TestSuspectsReachAllNodes(t *testing.T) {
	nodes := startDeployment(t)
	suspect := suspecter.Suspect{Digest: suspecter.Digest{1}, CrashedIncarnations: []string{"s1", "s2"}, ExpiresAt: time.Now().Add(time.Minute)}
	nodes[0].SpreadSuspects(nodes[0].mergeSuspects([]suspecter.Suspect{suspect}))
	knowsSuspect := func(n *node) bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.suspects.SuspectCount() == 1
	}
	awaitAll(t, nodes, knowsSuspect)
	late := startNode(t, "late")
	late.AddMember(nodes[3].member, false)
	await(t, func() bool { return knowsSuspect(late) })
	retraction := suspecter.Suspect{Digest: suspect.Digest, CrashedIncarnations: suspect.CrashedIncarnations}
	nodes[7].SpreadSuspects(nodes[7].mergeSuspects([]suspecter.Suspect{retraction}))
	awaitAll(t, nodes, func(n *node) bool { return !knowsSuspect(n) })
}

// TestUnusableLinksAreReplaced checks that a node links to other nodes once the backend
// servers of those that it links to take no work.
func TestUnusableLinksAreReplaced(t *testing.T) {
	nodes := startDeployment(t)
	first := nodes[0]
	await(t, func() bool { return first.ConnectedPeerCount() >= selector.TargetLinksPerService-1 })
	wanted := first.wantedLinks()
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

// TestOnlyDelegatesWatchDirectory makes the directory reachable for all nodes, then for none.
// Nodes that are no delegates rely on the delegates only while those report it as reachable.
func TestOnlyDelegatesWatchDirectory(t *testing.T) {
	nodes := startDeployment(t)
	setDirectoryReachable := func(reachable bool) {
		for _, n := range nodes {
			n.mu.Lock()
			n.directoryReachable = reachable
			n.state = director.State{Revision: 1}
			n.mu.Unlock()
		}
	}
	setDirectoryReachable(true)
	awaitAll(t, nodes, func(n *node) bool { return n.CanRelyOnDelegates() != n.Delegates().IsDelegate() })
	setDirectoryReachable(false)
	awaitAll(t, nodes, func(n *node) bool { return !n.CanRelyOnDelegates() })
}
