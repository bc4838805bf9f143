package rationer

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/flamingotack/flamingotack/internal/seeder"
)

var epoch = time.Unix(1_000_000, 0)

func TestMain(m *testing.M) {
	seeder.Run(m)
}

// TestRateHoldsAcrossNodes simulates demand, grants that may be lost and restarts on several
// nodes: in any window they admit at most the rate plus the burst together.
func TestRateHoldsAcrossNodes(t *testing.T) {
	const window = 5 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{RatePerSecond: rapid.Float64Range(1, 40).Draw(t, "rate"), BurstRequests: rapid.Float64Range(1, 40).Draw(t, "burst")}
		nodes := make([]*Buckets, rapid.IntRange(1, 9).Draw(t, "nodes"))
		limits := map[string]Limit{"c": limit}
		for i := range nodes {
			nodes[i] = &Buckets{}
			nodes[i].SetLimits(epoch, limits, sharedBy(len(nodes)))
		}
		now := epoch
		var admitted []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				given := nodes[i].GrantTokens(now, "c", 3)
				if rapid.Bool().Draw(t, "arrives") {
					nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "receiver")].AddTokens(now, "c", given)
				}
			case 1:
				nodes[i] = &Buckets{}
				nodes[i].SetLimits(now, limits, sharedBy(len(nodes)))
			default:
				if nodes[i].Admit(now, "c", limit, len(nodes), 1) {
					admitted = append(admitted, now)
				}
			}
			count := 0
			for _, at := range admitted {
				if now.Sub(at) < window {
					count++
				}
			}
			if most := limit.RatePerSecond*window.Seconds() + limit.BurstRequests + 1e-6; float64(count) > most {
				t.Fatalf("got %d requests in %s, want at most %.1f", count, window, most)
			}
		}
	})
}

// TestNodeGathersRateFromOthers sends a customer's whole rate to one node, which obtains the
// tokens of the others by grants.
func TestNodeGathersRateFromOthers(t *testing.T) {
	limit := Limit{RatePerSecond: 12, BurstRequests: 12}
	nodes := make([]*Buckets, 12)
	for i := range nodes {
		nodes[i] = &Buckets{}
		nodes[i].SetLimits(epoch, map[string]Limit{"c": limit}, sharedBy(len(nodes)))
	}
	now := epoch.Add(5 * time.Second)
	admitted := 0
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		ok := nodes[0].Admit(now, "c", limit, len(nodes), 1)
		for i := 1; i < len(nodes) && !ok; i++ {
			nodes[0].AddTokens(now, "c", nodes[i].GrantTokens(now, "c", 1))
			ok = nodes[0].Admit(now, "c", limit, len(nodes), 1)
		}
		if ok {
			admitted++
		}
	}
	// The rate yields 120 tokens in ten seconds; each node keeps a few.
	if admitted < 110 {
		t.Errorf("got %d requests in 10 s, want at least 110", admitted)
	}
}

func TestNewCustomerStartsFull(t *testing.T) {
	var r Buckets
	limit := Limit{RatePerSecond: 1, BurstRequests: 8}
	r.SetLimits(epoch, map[string]Limit{"old": limit}, sharedBy(2))
	if r.Admit(epoch, "old", limit, 2, 1) {
		t.Error("got a token after the first limits, want none: an earlier run may have spent it")
	}
	r.SetLimits(epoch, map[string]Limit{"old": limit, "new": limit}, sharedBy(2))
	if !r.Admit(epoch, "new", limit, 2, 1) {
		t.Error("got no token for an added customer, want one")
	}
}

// sharedBy returns a function that reports the given number of shares for each limit.
func sharedBy(nodes int) func(string) int {
	return func(string) int { return nodes }
}

// TestNegativeRequestTakesNothing guards against a customer that exceeds its rate because a
// node that asks for a negative number of tokens adds them.
func TestNegativeRequestTakesNothing(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	limit := Limit{RatePerSecond: 1, BurstRequests: 10}
	r := &Buckets{}
	r.SetLimits(now, map[string]Limit{"pond": limit}, func(string) int { return 1 })
	if got := r.GrantTokens(now, "pond", -1000); got != 0 {
		t.Errorf("got %v tokens granted, want 0", got)
	}
	if r.Admit(now.Add(time.Second), "pond", limit, 1, 5) {
		t.Error("got 5 requests admitted after 1 s at 1 per second, want them refused")
	}
}
