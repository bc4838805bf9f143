package linker

import (
	"slices"
	"testing"

	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/framer"
)

// receive makes a node act on a state as if its directory had passed it on.
func (n *node) receive(s director.State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state, _ = director.Merge(n.state, s)
}

// TestStatesOfBothErasMeet has a deployment in which some nodes have read the restored
// directory and others have not. It guards against nodes of the earlier era that override
// the others because their revisions are higher, and against lost withdrawals: the nodes knew
// different revisions of the earlier era.
func TestStatesOfBothErasMeet(t *testing.T) {
	old := func(revision, version uint64, evacuated ...string) director.State {
		return director.State{Revision: revision, Config: &director.Config{Version: version}, EvacuatedDomains: evacuated}
	}
	restored := func(prior, version uint64, evacuated ...string) director.State {
		s := old(6, version, evacuated...)
		s.Era, s.PriorRevision, s.WrittenFrom, s.Exact = 1, prior, 6, true
		return s
	}
	tests := []struct {
		name string
		// states are assigned to the nodes in turn.
		states    []director.State
		want      director.Position
		version   uint64
		evacuated []string
	}{
		{"era is news to most", []director.State{old(10, 5, "d1"), old(10, 5, "d1"), old(10, 5, "d1"), restored(10, 5, "d1")}, director.Position{Era: 1, Revision: 6, PriorRevision: 10}, 5, []string{"d1"}},
		{"those of the new era knew less", []director.State{old(10, 5, "d1"), restored(6, 4), old(9, 5), restored(9, 5)}, director.Position{Era: 1, Revision: 6, PriorRevision: 10}, 5, []string{"d1"}},
		{"empty copy", []director.State{old(10, 5, "d1"), {Era: 1, PriorRevision: 10, Exact: true, Config: &director.Config{Version: 5}, EvacuatedDomains: []string{"d1"}}}, director.Position{Era: 1, PriorRevision: 10}, 5, []string{"d1"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			nodes := startDeployment(t)
			for i, n := range nodes {
				n.receive(tt.states[i%len(tt.states)])
			}
			awaitAll(t, nodes, func(n *node) bool { return n.getState().Position() == tt.want })
			for _, n := range nodes {
				if s := n.getState(); s.Version() != tt.version || !slices.Equal(s.EvacuatedDomains, tt.evacuated) {
					t.Errorf("node %s: got version %d, out of service %v, want %d, %v", n.member.Name, s.Version(), s.EvacuatedDomains, tt.version, tt.evacuated)
				}
			}
			// One node reads that d1 is back in service and d2 is not.
			change := director.State{Era: 1, Revision: 8, WrittenFrom: 6, Exact: true, PriorRevision: 6, Config: &director.Config{Version: 4}, EvacuatedDomains: []string{"d2"}}
			change.Written = map[string]uint64{director.DomainPart("d1"): 6, director.DomainPart("d2"): 7}
			nodes[3].receive(change)
			awaitAll(t, nodes, func(n *node) bool { return n.getState().Revision == 8 })
			for _, n := range nodes {
				if s := n.getState(); s.Version() != tt.version || !slices.Equal(s.EvacuatedDomains, []string{"d2"}) {
					t.Errorf("node %s: got version %d, out of service %v after the change, want %d, [d2]", n.member.Name, s.Version(), s.EvacuatedDomains, tt.version)
				}
			}
		})
	}
}

// TestStateOfSameRevisionIsSentAnew guards against a state that is sent as it was before the
// restore, because the two have the same revision.
func TestStateOfSameRevisionIsSentAnew(t *testing.T) {
	a, b := startPair(t)
	state := director.State{Revision: 6, Config: &director.Config{Version: 1}}
	a.receive(state)
	await(t, func() bool { return b.getState().Position() == state.Position() })
	for _, p := range []director.Position{{Era: 1, Revision: 6, PriorRevision: 6}, {Era: 1, Revision: 6, PriorRevision: 9}, {Era: 2, Revision: 6, PriorRevision: 6}} {
		state.Era, state.PriorRevision = p.Era, p.PriorRevision
		state.Config = &director.Config{Version: state.Version() + 1}
		a.receive(state)
		await(t, func() bool { return b.getState().Position() == p && b.getState().Version() == state.Version() })
	}
}

// TestFramesNameWholePosition guards against frames from which other nodes can't tell the
// order of states.
func TestFramesNameWholePosition(t *testing.T) {
	n := startNode(t, "a")
	want := director.Position{Era: 2, Revision: 3, PriorRevision: 4}
	n.receive(director.State{Era: 2, Revision: 3, PriorRevision: 4})
	for name, f := range map[string]*framer.Frame{"load": n.loadFrame(), "news": n.currentNewsFrame()} {
		if got := toPosition(f); got != want {
			t.Errorf("%s: got position %v, want %v", name, got, want)
		}
	}
}
