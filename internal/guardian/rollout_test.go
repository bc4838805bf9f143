package guardian

import (
	"net/http"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/attributor"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/promoter"
	"github.com/flamingotack/flamingotack/internal/releaser"
)

// gate returns a gate of a rollout to v2 that is valid for half a second.
func (f *fixture) gate(generation, maxRequests uint64) *releaser.Gate {
	g := &releaser.Gate{Generation: generation, MaxRequests: maxRequests, ValidUntil: f.clock.Now().Add(500 * time.Millisecond)}
	g.TargetVersion = "v2"
	return g
}

func (f *fixture) announceVersion(version string, warmup time.Duration) {
	for i := range int64(minTrustedHeartbeats) {
		f.HandleHeartbeat(Heartbeat{ID: "s1", StartUnixMillis: 1, Sequence: i + 1, Slots: 8, Version: version, WarmupRemaining: warmup})
	}
}

// TestRolloutGate guards against a server of the target version that runs calls without a valid
// decision or above its part of the exposure, and against refusals after which callers' nodes do
// not try another node.
func TestRolloutGate(t *testing.T) {
	tests := []struct {
		name, version string
		prepare       func(f *fixture, g *releaser.Gate)
		want          exchanger.Reason
		wantClosed    bool
	}{
		{"valid", "v2", func(*fixture, *releaser.Gate) {}, "", false},
		{"old version", "v1", func(*fixture, *releaser.Gate) {}, "", false},
		{"old version without decision", "v1", func(_ *fixture, g *releaser.Gate) { g.ValidUntil = time.Time{} }, "", false},
		{"no decision", "v2", func(_ *fixture, g *releaser.Gate) { g.ValidUntil = time.Time{} }, exchanger.ReasonNotReady, true},
		{"used up", "v2", func(_ *fixture, g *releaser.Gate) { g.MaxRequests = 0 }, exchanger.ReasonNotReady, true},
		{"rolled back", "v2", func(_ *fixture, g *releaser.Gate) { g.RolledBack = true }, exchanger.ReasonOutOfService, true},
		{"completed without decision", "v2", func(_ *fixture, g *releaser.Gate) { g.Completed, g.ValidUntil = true, time.Time{} }, "", false},
		{"old version after completion", "v1", func(_ *fixture, g *releaser.Gate) { g.Completed = true }, exchanger.ReasonOutOfService, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, writeSealed)
			f.announceVersion(tt.version, 0)
			g := f.gate(1, 10)
			tt.prepare(f, g)
			f.ApplyRollout(g)
			report := f.LoadReport()
			if report.Closed != tt.wantClosed || report.Version != tt.version {
				t.Errorf("got closed %t and version %q, want %t and %q", report.Closed, report.Version, tt.wantClosed, tt.version)
			}
			_, refusal := f.HandleCall(t.Context(), f.newCall("1"))
			switch {
			case tt.want == "" && refusal != nil:
				t.Errorf("got refusal %v, want an answer", refusal)
			case tt.want != "" && (refusal == nil || refusal.Reason != tt.want || refusal.Ran != exchanger.RanNo):
				t.Errorf("got refusal %v, want reason %q and not run", refusal, tt.want)
			case tt.want != "" && f.runs.Load() != 0:
				t.Errorf("got %d runs, want none", f.runs.Load())
			}
		})
	}
}

// TestRolloutLeaseEnds guards against calls that run after the decision has expired, and against
// a part of the exposure that is not kept.
func TestRolloutLeaseEnds(t *testing.T) {
	f := newFixture(t, writeSealed)
	f.announceVersion("v2", 0)
	f.ApplyRollout(f.gate(1, 2))
	for i, want := range []bool{true, true, false} {
		if _, refusal := f.HandleCall(t.Context(), f.newCall("a")); (refusal == nil) != want {
			t.Errorf("call %d of 2 allowed ones: got refusal %v, want answer %t", i+1, refusal, want)
		}
	}
	f.ApplyRollout(f.gate(1, 4))
	if _, refusal := f.HandleCall(t.Context(), f.newCall("a")); refusal != nil {
		t.Errorf("got refusal %v after more calls were allowed, want an answer", refusal)
	}
	f.clock.Advance(500 * time.Millisecond)
	if _, refusal := f.HandleCall(t.Context(), f.newCall("a")); refusal == nil {
		t.Error("got an answer after the decision had expired, want a refusal")
	}
	f.ApplyRollout(nil)
	if _, refusal := f.HandleCall(t.Context(), f.newCall("a")); refusal != nil {
		t.Errorf("got refusal %v after the rollout had ended, want an answer", refusal)
	}
	if got := f.LoadReport().Version; got != "" {
		t.Errorf("got version %q in the load without a rollout, want none", got)
	}
}

// TestRolloutReports guards against outcomes that are counted for the wrong version, route or
// order, and against the times of a cold server that count as those of the version.
func TestRolloutReports(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/bad" {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		writeSealed(w, r)
	})
	f.announceVersion("v1", 0)
	f.ApplyRollout(f.gate(1, 10))
	f.HandleCall(t.Context(), f.newCall("a"))
	bad := f.newCall("b")
	bad.Target = "/bad"
	f.HandleCall(t.Context(), bad)
	reports := f.RolloutReports()
	if len(reports) != 1 {
		t.Fatalf("got %d reports, want 1", len(reports))
	}
	r := reports[0]
	if r.Version != "v1" || r.Started != 2 || r.Routes["r"].Requests != 2 || r.Routes["r"].Failures != 1 || !r.Busy {
		t.Errorf("got %+v, want 2 runs of v1, one of them failed, and busy as runs have started", r)
	}
	if f.RolloutReports()[0].Busy {
		t.Error("got busy without runs since the last report, want idle")
	}
	f.ApplyRollout(f.gate(2, 10))
	f.HandleHeartbeat(Heartbeat{ID: "s1", StartUnixMillis: 1, Sequence: 9, Slots: 8, Version: "v1", WarmupRemaining: time.Second})
	f.HandleCall(t.Context(), f.newCall("c"))
	if r := f.RolloutReports()[0]; r.Started != 1 || len(r.Routes) != 0 || r.Cold.Requests != 1 {
		t.Errorf("got %+v after a new order, want 1 run on a cold server", r)
	}
}

// TestTurnedAwayRunsAreReported guards against requests that a server turns away, or that crash it,
// and that count as nothing against its version.
func TestTurnedAwayRunsAreReported(t *testing.T) {
	f := newFixture(t, nil)
	f.announceVersion("v1", 0)
	f.ApplyRollout(f.gate(1, 10))
	run, _ := f.startRolloutRun()
	run.end(&attributor.Summary{Route: "r"}, nil, exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonServerFull, ""))
	run, _ = f.startRolloutRun()
	run.end(&attributor.Summary{Route: "r"}, nil, exchanger.Unknown(http.StatusBadGateway, exchanger.ReasonCrashRequest, ""))
	r := f.RolloutReports()[0]
	if got := r.Routes[promoter.TurnedAwayRoute].Requests; got != 1 || r.Routes["r"].Requests != 1 || r.Routes["r"].Failures != 1 || r.Cold.Requests != 0 {
		t.Errorf("got %+v, want one request turned away and one failure", r)
	}
	f.announceVersion("v2", 0)
	f.HandleHeartbeat(Heartbeat{ID: "s1", StartUnixMillis: 1, Sequence: 9, Slots: 8, Version: "v2", WarmupRemaining: time.Second})
	run, _ = f.startRolloutRun()
	run.end(&attributor.Summary{Route: "r"}, nil, exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonServerFull, ""))
	for _, r := range f.RolloutReports() {
		if r.Version == "v2" && (r.Cold.Requests != 1 || r.Cold.Failures != 0 || len(r.Routes) != 0) {
			t.Errorf("got %+v of a cold server, want one run that did not fail", r)
		}
	}
}

// TestUsedUpQuotaIsReported guards against calls that go to a server of the target version which
// refuses them, and against one that gets none after more were allowed.
func TestUsedUpQuotaIsReported(t *testing.T) {
	f := newFixture(t, writeSealed)
	f.announceVersion("v2", 0)
	f.ApplyRollout(f.gate(1, 2))
	changes := 0
	f.OnChange = func() { changes++ }
	check := func(closed bool, want int) {
		t.Helper()
		if got := f.LoadReport().Closed; got != closed || changes != want {
			t.Errorf("got closed %t after %d changes, want %t after %d", got, changes, closed, want)
		}
	}
	f.HandleCall(t.Context(), f.newCall("a"))
	check(false, 0)
	f.HandleCall(t.Context(), f.newCall("b"))
	check(true, 1)
	f.ApplyRollout(f.gate(1, 2))
	check(true, 1)
	f.ApplyRollout(f.gate(1, 3))
	check(false, 2)
}
