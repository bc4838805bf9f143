package director

import (
	"slices"
	"testing"
)

func newConfig(version uint64) *Config { return &Config{Version: version} }

// TestOrder guards against a state of an earlier era that replaces one of a later era because
// its revision is higher.
func TestOrder(t *testing.T) {
	ascending := []Position{{}, {0, 1, 0}, {0, 9, 0}, {1, 0, 0}, {1, 0, 9}, {1, 3, 2}, {1, 3, 9}, {1, 4, 0}, {2, 1, 0}}
	for i, p := range ascending {
		for j, other := range ascending {
			if got, want := p.NewerThan(other), i > j; got != want {
				t.Errorf("%v newer than %v: got %t, want %t", p, other, got, want)
			}
		}
	}
}

// TestMerge guards against withdrawals that end because a state of a later era lacks them.
func TestMerge(t *testing.T) {
	known := State{Revision: 10, Config: newConfig(5), EvacuatedDomains: []string{"north"}}
	kept := State{Era: 1, Revision: 7, PriorRevision: 10, WrittenFrom: 6, WrittenComplete: true, Config: newConfig(5), EvacuatedDomains: []string{"north"}}
	tests := []struct {
		name              string
		current, received State
		want              Position
		version           uint64
		evacuated         []string
	}{
		{"first state", State{}, known, Position{0, 10, 0}, 5, []string{"north"}},
		{"first state of a later era", State{}, State{Era: 1, Revision: 6, Config: newConfig(4)}, Position{1, 6, 0}, 4, nil},
		{"newer revision", known, State{Revision: 11, Config: newConfig(6)}, Position{0, 11, 0}, 6, nil},
		{"newer revision, lower version", known, State{Revision: 11, Config: newConfig(3)}, Position{0, 11, 0}, 5, nil},
		{"same revision", known, State{Revision: 10, Config: newConfig(6)}, Position{0, 10, 0}, 5, []string{"north"}},
		{"earlier era", kept, State{Revision: 99, Config: newConfig(9)}, Position{1, 7, 10}, 5, []string{"north"}},
		{"copy that lacks what is known", known, State{Era: 1, Revision: 6, PriorRevision: 6, WrittenFrom: 6, WrittenComplete: true, Config: newConfig(4)}, Position{1, 6, 10}, 5, []string{"north"}},
		{"node that knew as much", known, State{Era: 1, Revision: 6, PriorRevision: 10, WrittenFrom: 6, WrittenComplete: true, Config: newConfig(5)}, Position{1, 6, 10}, 5, nil},
		{"node that knew more", known, State{Era: 1, Revision: 6, PriorRevision: 12, WrittenFrom: 6, WrittenComplete: true, Config: newConfig(6)}, Position{1, 6, 12}, 6, nil},
		{"new node", known, State{Era: 1, Revision: 6, WrittenFrom: 6, Config: newConfig(4)}, Position{1, 6, 9}, 5, []string{"north"}},
		{"new node, new version", known, State{Era: 1, Revision: 7, WrittenFrom: 7, Config: newConfig(7)}, Position{1, 7, 9}, 7, []string{"north"}},
		{"written again", known, State{Era: 1, Revision: 8, PriorRevision: 6, WrittenFrom: 6, WrittenComplete: true, Written: map[string]uint64{DomainPart("north"): 6, ConfigPart: 7}, Config: newConfig(6), EvacuatedDomains: []string{"south"}}, Position{1, 8, 10}, 6, nil},
		{"next revision of a node that knew less", kept, State{Era: 1, Revision: 8, PriorRevision: 6, WrittenFrom: 6, WrittenComplete: true, Written: map[string]uint64{DomainPart("south"): 7}, Config: newConfig(4), EvacuatedDomains: []string{"south"}}, Position{1, 8, 10}, 5, []string{"north", "south"}},
		{"next revision of a new node", kept, State{Era: 1, Revision: 8, WrittenFrom: 7, Written: map[string]uint64{DomainPart("north"): 7}, Config: newConfig(4)}, Position{1, 8, 10}, 5, nil},
		{"new node that may lack a change", kept, State{Era: 1, Revision: 9, WrittenFrom: 9, Config: newConfig(6)}, Position{1, 9, 9}, 6, []string{"north"}},
		{"same revision, knew more", State{Era: 1, Revision: 7, PriorRevision: 6, Config: newConfig(4)}, kept, Position{1, 7, 10}, 5, []string{"north"}},
		{"same revision, knew less", kept, State{Era: 1, Revision: 7, PriorRevision: 6, Config: newConfig(4)}, Position{1, 7, 10}, 5, []string{"north"}},
		{"unknown part", known, State{Era: 1, Revision: 6, PriorRevision: 6, WrittenFrom: 5, WrittenComplete: true, Written: map[string]uint64{"later": 5}, Config: newConfig(4)}, Position{1, 6, 10}, 5, []string{"north"}},
		{"two restores, knows the one between", known, State{Era: 2, Revision: 3, PriorRevision: 4, WrittenFrom: 3, WrittenComplete: true, Config: newConfig(4)}, Position{2, 3, 4}, 5, nil},
		{"node behind that lists a record of the copy", known, State{Era: 1, Revision: 9, PriorRevision: 2, WrittenFrom: 9, Written: map[string]uint64{DomainPart("north"): 3}, Config: newConfig(4)}, Position{1, 9, 9}, 5, []string{"north"}},
		{"next revision of the node behind", State{Era: 1, Revision: 9, PriorRevision: 9, WrittenFrom: 9, Config: newConfig(5), EvacuatedDomains: []string{"north"}}, State{Era: 1, Revision: 10, PriorRevision: 2, WrittenFrom: 9, Written: map[string]uint64{DomainPart("north"): 3, DomainPart("south"): 9}, Config: newConfig(4), EvacuatedDomains: []string{"south"}}, Position{1, 10, 9}, 5, []string{"north", "south"}},
		{"node behind that lists an evacuation", known, State{Era: 1, Revision: 9, PriorRevision: 2, WrittenFrom: 9, Written: map[string]uint64{DomainPart("south"): 3}, Config: newConfig(4), EvacuatedDomains: []string{"south"}}, Position{1, 9, 9}, 5, []string{"north", "south"}},
		{"node behind that lists what nobody knows", known, State{Era: 1, Revision: 12, PriorRevision: 2, WrittenFrom: 12, Written: map[string]uint64{DomainPart("north"): 11}, Config: newConfig(4)}, Position{1, 12, 9}, 5, nil},
		{"record of the copy, end of the copy known", kept, State{Era: 1, Revision: 8, PriorRevision: 2, WrittenFrom: 8, Written: map[string]uint64{DomainPart("south"): 3}, Config: newConfig(4), EvacuatedDomains: []string{"south"}}, Position{1, 8, 9}, 5, []string{"north"}},
		{"two restores, sender joined between", kept, State{Era: 2, Revision: 7, PriorRevision: 7, WrittenFrom: 7, WrittenComplete: true, Config: newConfig(4)}, Position{2, 7, 17}, 5, []string{"north"}},
		{"two restores, sender joined between and can't compare", kept, State{Era: 2, Revision: 7, PriorRevision: 6, WrittenFrom: 7, Config: newConfig(4)}, Position{2, 7, 16}, 5, []string{"north"}},
		{"two restores, joined between", State{Era: 1, Revision: 7, Config: newConfig(4)}, State{Era: 2, Revision: 7, PriorRevision: 17, WrittenFrom: 7, WrittenComplete: true, Config: newConfig(5), EvacuatedDomains: []string{"north"}}, Position{2, 7, 17}, 5, []string{"north"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, changed := Merge(tt.current, tt.received)
			if got.Position() != tt.want || got.Version() != tt.version || !slices.Equal(got.EvacuatedDomains, tt.evacuated) {
				t.Errorf("got %v, version %d, out of service %v; want %v, %d, %v", got.Position(), got.Version(), got.EvacuatedDomains, tt.want, tt.version, tt.evacuated)
			}
			if want := tt.want != tt.current.Position(); changed != want {
				t.Errorf("got changed %t, want %t", changed, want)
			}
			if !slices.Equal(kept.EvacuatedDomains, []string{"north"}) || len(kept.Written) != 0 {
				t.Error("got a changed argument, want it unchanged")
			}
			if again, changed := Merge(got, tt.received); changed || again.Position() != got.Position() {
				t.Errorf("got %v after the state was received again, want %v", again.Position(), got.Position())
			}
		})
	}
}

// TestMergeRollouts guards against an order that is lost, or that returns after it was withdrawn,
// when a state of a later era arrives whose sender knew less.
func TestMergeRollouts(t *testing.T) {
	kept, lost := Rollout{Revision: 9, Service: "desk", TargetVersion: "v2"}, Rollout{Revision: 3, Service: "cart", TargetVersion: "v5"}
	again := Rollout{Era: 1, Revision: 7, Service: "desk", TargetVersion: "v2"}
	known := State{Revision: 10, Rollouts: []Rollout{kept}}
	received := State{Era: 1, Revision: 6, PriorRevision: 6, WrittenFrom: 6, WrittenComplete: true, Rollouts: []Rollout{lost}}
	merged, _ := Merge(known, received)
	if !slices.Equal(merged.Rollouts, []Rollout{kept}) {
		t.Errorf("got %v, want only the known order", merged.Rollouts)
	}
	received.Revision, received.Rollouts = 7, []Rollout{lost, again}
	received.Written = map[string]uint64{RolloutPart("desk"): 6}
	if merged, _ = Merge(merged, received); !slices.Equal(merged.Rollouts, []Rollout{again}) {
		t.Errorf("got %v, want the order that was written again", merged.Rollouts)
	}
	received.Revision, received.Rollouts = 8, []Rollout{lost}
	received.Written = map[string]uint64{RolloutPart("desk"): 7}
	if merged, _ = Merge(merged, received); len(merged.Rollouts) != 0 {
		t.Errorf("got %v after the deletion, want none", merged.Rollouts)
	}
}
