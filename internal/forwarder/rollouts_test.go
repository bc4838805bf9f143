package forwarder

import (
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/guardian"
	"github.com/flamingotack/flamingotack/internal/releaser"
)

// TestCallsFollowTheShare guards against calls that go to a version against the decision on a
// rollout. Of six nodes, n0 to n2 have servers of v1 and the others of v2.
func TestCallsFollowTheShare(t *testing.T) {
	valid, expired := time.Now().Add(time.Hour), time.Now().Add(-time.Second)
	plan := func(share float64, until time.Time, change func(p *releaser.Plan)) *releaser.Plan {
		p := &releaser.Plan{Share: share, ValidUntil: until}
		p.TargetVersion = "v2"
		if change != nil {
			change(p)
		}
		return p
	}
	tests := []struct {
		name string
		plan *releaser.Plan
		// limit is the number of runs that each target server can take at once, down
		// names nodes without a link.
		limit int
		down  []string
		// least and most bound the calls of 1000 that go to v2, refused those that are
		// refused.
		least, most, refused int
	}{
		{"a tenth", plan(0.1, valid, nil), 50, nil, 60, 150, 0},
		{"all", plan(1, valid, nil), 50, nil, 1000, 1000, 0},
		{"all, target servers are full", plan(1, valid, nil), 0, nil, 0, 0, 0},
		{"none", plan(0, valid, nil), 50, nil, 0, 0, 0},
		{"decision has expired", plan(0.5, expired, nil), 50, nil, 0, 0, 0},
		{"target servers are full", plan(0.5, valid, nil), 0, nil, 0, 0, 0},
		{"no target server connected", plan(1, valid, nil), 50, []string{"n3", "n4", "n5"}, 0, 0, 0},
		{"no old server connected", plan(0.1, valid, nil), 50, []string{"n0", "n1", "n2"}, 1000, 1000, 0},
		{"no old server connected, decision has expired", plan(0.1, expired, nil), 50, []string{"n0", "n1", "n2"}, 0, 0, 1000},
		{"rolled back", plan(0, expired, func(p *releaser.Plan) { p.RolledBack = true }), 50, nil, 0, 0, 0},
		{"rolled back, no old server connected", plan(0, expired, func(p *releaser.Plan) { p.RolledBack = true }), 50, []string{"n0", "n1", "n2"}, 0, 0, 1000},
		{"completed", plan(0, expired, func(p *releaser.Plan) { p.Completed = true }), 50, nil, 1000, 1000, 0},
		{"completed, no target server connected", plan(0, expired, func(p *releaser.Plan) { p.Completed = true }), 50, []string{"n3", "n4", "n5"}, 0, 0, 1000},
		{"no decision known", plan(0, expired, func(p *releaser.Plan) { p.Undecided = true }), 50, nil, 0, 0, 0},
		{"no decision known and no old server", plan(0, expired, func(p *releaser.Plan) { p.Undecided = true }), 50, []string{"n0", "n1", "n2"}, 1000, 1000, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, l := newFixture(t, 6)
			f.RolloutPlan = func(string) *releaser.Plan { return tt.plan }
			for _, name := range tt.down {
				l.down[name] = true
			}
			for i, m := range l.members {
				report := guardian.LoadReport{Sequence: 1, Limit: 50, CapacitySlots: 50, Version: "v1"}
				if i >= 3 {
					report.Version, report.Running = "v2", 50-tt.limit
				}
				f.UpdateLoad(m, report)
			}
			target, refused := 0, 0
			for range 1000 {
				l.sent = nil
				if _, refusal := f.Forward(t.Context(), newCall(true), &director.Route{MaxAttempts: 1}); refusal != nil {
					refused++
				} else if l.sent[0] >= "n3" {
					target++
				}
			}
			if target < tt.least || target > tt.most || refused != tt.refused {
				t.Errorf("got %d calls on v2 and %d refused, want %d to %d and %d", target, refused, tt.least, tt.most, tt.refused)
			}
		})
	}
}

// TestRetriesGoToTheOldVersion guards against calls that fail because servers of the target
// version have used up their part of the exposure, or turn requests away at share 1.
func TestRetriesGoToTheOldVersion(t *testing.T) {
	for _, share := range []float64{0.8, 1} {
		checkRetriesGoToTheOldVersion(t, share)
	}
}

func checkRetriesGoToTheOldVersion(t *testing.T, share float64) {
	t.Helper()
	f, l := newFixture(t, 12)
	f.RolloutPlan = func(string) *releaser.Plan {
		p := &releaser.Plan{Share: share, ValidUntil: time.Now().Add(time.Hour)}
		p.TargetVersion = "v2"
		return p
	}
	isTarget := func(name string) bool { return name != "n0" }
	for _, m := range l.members {
		version := "v1"
		if isTarget(m.Name) {
			version = "v2"
		}
		f.UpdateLoad(m, guardian.LoadReport{Sequence: 1, Limit: 50, CapacitySlots: 50, Version: version})
	}
	l.respond = func(name string, _ *exchanger.Call) *exchanger.Refusal {
		if isTarget(name) {
			return exchanger.NotRun(503, exchanger.ReasonNotReady, "")
		}
		return nil
	}
	for range 100 {
		if _, refusal := f.Forward(t.Context(), newCall(false), &director.Route{MaxAttempts: 1}); refusal != nil {
			t.Fatalf("share %g: got refusal %v, want an answer of the old version", share, refusal)
		}
	}
}
