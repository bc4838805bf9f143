package rationer

import (
	"fmt"
	"math"
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

// TestTokensOfCustomersThatComeAndGo guards against tokens that a customer has spent and gets again
// because a configuration lacks it, and against a new customer that gets none.
func TestTokensOfCustomersThatComeAndGo(t *testing.T) {
	limit := Limit{RatePerSecond: 1, BurstRequests: 8}
	with, without := map[string]Limit{"c": limit, "other": limit}, map[string]Limit{"other": limit}
	tests := []struct {
		name string
		play func(r *Buckets, at func(seconds float64) time.Time)
		// want are the tokens of the node's half at 20 s.
		want float64
	}{
		{"in the first limits of the node", func(r *Buckets, at func(float64) time.Time) {
			r.SetLimits(at(20), with, sharedBy(2))
		}, 0},
		{"new long after the start", func(r *Buckets, at func(float64) time.Time) {
			r.SetLimits(at(0), without, sharedBy(2))
			r.SetLimits(at(20), with, sharedBy(2))
		}, 4},
		{"new at the start, as an earlier run may have spent its tokens", func(r *Buckets, at func(float64) time.Time) {
			r.SetLimits(at(18), without, sharedBy(2))
			r.SetLimits(at(20), with, sharedBy(2))
		}, 1},
		{"away for a moment", func(r *Buckets, at func(float64) time.Time) {
			r.SetLimits(at(0), with, sharedBy(2))
			r.Admit(at(19), "c", limit, 2, 4)
			r.SetLimits(at(19), without, sharedBy(2))
			r.SetLimits(at(20), with, sharedBy(2))
		}, 0.5},
		{"away several times", func(r *Buckets, at func(float64) time.Time) {
			r.SetLimits(at(0), with, sharedBy(2))
			r.Admit(at(18), "c", limit, 2, 4)
			for second := range 4 {
				r.SetLimits(at(18.1+0.4*float64(second)), without, sharedBy(2))
				r.SetLimits(at(18.3+0.4*float64(second)), with, sharedBy(2))
			}
		}, 1},
		{"away until its tokens are back", func(r *Buckets, at func(float64) time.Time) {
			r.SetLimits(at(0), with, sharedBy(2))
			r.Admit(at(9), "c", limit, 2, 4)
			r.SetLimits(at(9), without, sharedBy(2))
			r.SetLimits(at(18), without, sharedBy(2))
			r.SetLimits(at(20), with, sharedBy(2))
		}, 4},
		{"node gets a share while it is away", func(r *Buckets, at func(float64) time.Time) {
			r.SetLimits(at(0), with, sharedBy(0))
			r.SetLimits(at(19), without, sharedBy(0))
			r.SetLimits(at(20), with, sharedBy(2))
		}, 0},
		{"dropped for lack of room", func(r *Buckets, at func(float64) time.Time) {
			r.SetLimits(at(0), with, sharedBy(2))
			r.Admit(at(18), "c", limit, 2, 4)
			r.SetLimits(at(18), without, sharedBy(2))
			many := map[string]Limit{}
			for i := range maxRetired + 1 {
				many[fmt.Sprint(i)] = limit
			}
			r.SetLimits(at(18.5), many, sharedBy(2))
			r.SetLimits(at(19), without, sharedBy(2))
			r.SetLimits(at(20), with, sharedBy(2))
		}, 0.5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := &Buckets{}
			at := func(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }
			tt.play(r, at)
			b := r.refilledBucket(at(20), "c", limit, 2)
			if got := b.tokens; math.Abs(got-tt.want) > 1e-6 {
				t.Errorf("got %v tokens, want %v", got, tt.want)
			}
		})
	}
}

// TestCustomersComeAndGo draws limits that lack the customer or change it, restarts, grants and
// changes of the share count, and guards against more requests in a window than the limit allows.
// The number of buckets is bounded.
func TestCustomersComeAndGo(t *testing.T) {
	const window = 5 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{RatePerSecond: rapid.Float64Range(0.5, 40).Draw(t, "rate"), BurstRequests: rapid.Float64Range(1, 40).Draw(t, "burst")}
		listed := map[string]Limit{"c": limit, "other": limit}
		unlisted := map[string]Limit{"other": limit}
		nodes := make([]*Buckets, rapid.IntRange(1, 5).Draw(t, "nodes"))
		for i := range nodes {
			nodes[i] = &Buckets{}
			nodes[i].SetLimits(epoch, listed, sharedBy(len(nodes)))
		}
		now := epoch
		var admitted []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
			switch rapid.IntRange(0, 12).Draw(t, "event") {
			case 0:
				nodes[i].SetLimits(now, unlisted, sharedBy(len(nodes)))
			case 1, 2:
				nodes[i].SetLimits(now, listed, sharedBy(len(nodes)))
			case 3:
				nodes[i] = &Buckets{}
				nodes[i].SetLimits(now, unlisted, sharedBy(len(nodes)))
			case 4:
				given := nodes[i].GrantTokens(now, "c", 3)
				nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "receiver")].AddTokens(now, "c", given)
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
		for _, n := range nodes {
			if got := len(n.byCustomer); got > len(listed) {
				t.Fatalf("got %d buckets, want at most %d", got, len(listed))
			}
		}
	})
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
