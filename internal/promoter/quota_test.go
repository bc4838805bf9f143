package promoter

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// TestQuota guards against nodes that together run more calls than the limit, and against a
// limit that is not used.
func TestQuota(t *testing.T) {
	tests := []struct {
		limit   uint64
		started []uint64
		want    uint64
	}{
		{10, nil, 10},
		{10, []uint64{0, 0}, 5},
		{10, []uint64{8, 0}, 2},
		{10, []uint64{8, 1, 0}, 1},
		{10, []uint64{12, 0}, 0},
		{10, []uint64{10, 10}, 0},
		{math.MaxUint64, []uint64{5, 7}, math.MaxUint64},
	}
	for _, tt := range tests {
		if got := Quota(tt.limit, tt.started); got != tt.want {
			t.Errorf("limit %d, started %v: got %d, want %d", tt.limit, tt.started, got, tt.want)
		}
	}
}

// TestIdleNodesDoNotHoldBackQuota guards against calls that are refused for long because nodes of
// the target version that get no calls keep their part of the limit.
func TestIdleNodesDoNotHoldBackQuota(t *testing.T) {
	const nodes, idle = 12, 4
	for _, rate := range []float64{200, 1000, 5000} {
		orderedAt := time.Unix(1000, 0)
		p := New(orderedAt, Order{Service: "shop", TargetVersion: "v2", Duration: 12 * time.Second}, testBounds)
		report := func(version string, node int, runs float64, busy bool) NodeReport {
			return NodeReport{Node: fmt.Sprint(version, node), Version: version, Started: uint64(runs), Busy: busy, Routes: map[string]RouteOutcomes{
				"r": {Requests: uint64(runs), TotalTime: time.Duration(uint64(runs)) * 20 * time.Millisecond},
			}}
		}
		old, refused, share, quota := 0.0, 0.0, 0.0, uint64(0)
		runs := make([]float64, nodes)
		state := StateRunning
		var busyUntil time.Time
		for at := time.Duration(0); at <= 12*time.Second && state == StateRunning; at += reportInterval {
			now := orderedAt.Add(at)
			calls := rate * reportInterval.Seconds()
			old += calls * (1 - share)
			for i := range nodes - idle {
				each := calls * share / (nodes - idle)
				ran := min(each, max(0, float64(quota)-runs[i]))
				runs[i] += ran
				old, refused = old+each-ran, refused+each-ran
			}
			if share < 1 {
				busyUntil = now.Add(reportInterval)
			}
			p.Report(now, report("v1", 0, old, now.Before(busyUntil)))
			var started []uint64
			for i := range nodes {
				started = append(started, uint64(runs[i]))
				p.Report(now, report("v2", i, runs[i], false))
			}
			d := p.Decide(now)
			share, quota, state = d.Share, Quota(d.MaxRequests, started), d.State
		}
		// A step lasts for at least its time.
		most := 0.0
		for _, step := range growthSteps {
			most += rate * step.share * step.time.Seconds()
		}
		if state != StateCompleted || refused > most {
			t.Errorf("%g/s: got %s and %.0f calls refused by the target version, want %s and at most %.0f", rate, state, refused, StateCompleted, most)
		}
	}
}
