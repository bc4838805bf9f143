package promoter

import (
	"testing"
	"time"
)

// TestTurnedAwayRequests guards against a version that turns most requests away and is completed,
// as nobody counts them, and against a good one that is rolled back because the whole service or
// the old version is full.
func TestTurnedAwayRequests(t *testing.T) {
	none := func(time.Duration) float64 { return 0 }
	most := func(time.Duration) float64 { return 0.7 }
	some := func(time.Duration) float64 { return 0.1 }
	surge := func(at time.Duration) float64 {
		if at > 4*time.Second && at < 8*time.Second {
			return 0.6
		}
		return 0
	}
	for _, tt := range []struct {
		name        string
		old, target func(at time.Duration) float64
		want        State
	}{
		{"none", none, none, StateCompleted},
		{"target version", none, most, StateRolledBack},
		{"target version, few", none, some, StateCompleted},
		{"old version", most, none, StateCompleted},
		{"both", most, most, StateCompleted},
		{"both for a time", surge, surge, StateCompleted},
		{"target version for a time", none, surge, StateRolledBack},
	} {
		orderedAt := time.Unix(1000, 0)
		duration := 12 * time.Second
		p := New(orderedAt, Order{Service: "shop", TargetVersion: "v2", Duration: duration}, testBounds)
		counts := func(version string, runs, turnedAway float64) NodeReport {
			return NodeReport{Node: version, Version: version, Started: uint64(runs), Routes: map[string]RouteOutcomes{
				"r":             {Requests: uint64(runs) - uint64(turnedAway), TotalTime: time.Duration(runs-turnedAway) * 20 * time.Millisecond},
				TurnedAwayRoute: {Requests: uint64(turnedAway)},
			}}
		}
		var old, oldTurned, target, targetTurned float64
		d := Decision{State: StateRunning}
		var busyUntil time.Time
		for at := time.Duration(0); at <= duration && d.State == StateRunning; at += reportInterval {
			now := orderedAt.Add(at)
			toTarget := min(50*d.Share, max(0, float64(d.MaxRequests)-target))
			old, oldTurned = old+50-toTarget, oldTurned+(50-toTarget)*tt.old(at)
			target, targetTurned = target+toTarget, targetTurned+toTarget*tt.target(at)
			if d.Share < 1 {
				busyUntil = now.Add(reportInterval)
			}
			report := counts("v1", old, oldTurned)
			report.Busy = now.Before(busyUntil)
			p.Report(now, report)
			p.Report(now, counts("v2", target, targetTurned))
			d = p.Decide(now)
		}
		if d.State != tt.want {
			t.Errorf("%s: got %s (%s), want %s", tt.name, d.State, p.Reason(), tt.want)
		}
	}
}
