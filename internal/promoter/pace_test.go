package promoter

import (
	"testing"
	"time"
)

// completionTime returns when an order of a good version is completed. The target version is there
// from start on, and all servers report and decisions take effect every 100 ms.
func completionTime(duration, start time.Duration) (state State, at time.Duration) {
	orderedAt := time.Unix(1000, 0)
	p := New(orderedAt, Order{Service: "shop", TargetVersion: "v2", Duration: duration}, testBounds)
	routes := func(runs float64) map[string]RouteOutcomes {
		return map[string]RouteOutcomes{"r": {Requests: uint64(runs), TotalTime: time.Duration(runs) * 20 * time.Millisecond}}
	}
	old, target, share := 0.0, 0.0, 0.0
	var busyUntil time.Time
	for ; at <= duration; at += reportInterval {
		now := orderedAt.Add(at)
		old, target = old+20*(1-share), target+20*share
		if share < 1 {
			busyUntil = now.Add(reportInterval)
		}
		p.Report(now, NodeReport{Node: "a", Version: "v1", Started: uint64(old), Routes: routes(old), Busy: now.Before(busyUntil)})
		if at >= start {
			p.Report(now, NodeReport{Node: "b", Version: "v2", Started: uint64(target), Routes: routes(target)})
		}
		d := p.Decide(now)
		if d.State != StateRunning {
			return d.State, at
		}
		share = d.Share
	}
	return StateRunning, at
}

// TestShortOrders guards against good versions that are rolled back because the phases of a rollout
// do not fit into a short duration, or because their servers start late.
func TestShortOrders(t *testing.T) {
	for _, tt := range []struct{ duration, start time.Duration }{
		{2 * time.Second, 0},
		{3 * time.Second, 0},
		{4 * time.Second, 0},
		{4 * time.Second, 1600 * time.Millisecond},
		{5 * time.Second, 0},
		{6 * time.Second, 3600 * time.Millisecond},
		{8 * time.Second, 4800 * time.Millisecond},
		{12 * time.Second, 7200 * time.Millisecond},
	} {
		if state, at := completionTime(tt.duration, tt.start); state != StateCompleted {
			t.Errorf("order of %s, servers from %s on: got %s at %s, want %s", tt.duration, tt.start, state, at, StateCompleted)
		}
	}
}
