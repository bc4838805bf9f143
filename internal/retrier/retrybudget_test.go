package retrier

import (
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/rationer"
)

// sharedPool models the token buckets of retries that a few nodes hold for all nodes.
type sharedPool struct {
	lenders []*rationer.Buckets
	limits  map[string]rationer.Limit
}

func newSharedPool(now time.Time, lenders int, retriesPerWindow float64, services ...string) *sharedPool {
	burst, perSecond := SharedBucket(retriesPerWindow)
	p := &sharedPool{limits: map[string]rationer.Limit{}}
	for _, s := range services {
		p.limits[s] = rationer.Limit{RatePerSecond: perSecond, BurstRequests: burst}
	}
	for range lenders {
		r := &rationer.Buckets{}
		r.SetLimits(now, p.limits, func(string) int { return lenders })
		p.lenders = append(p.lenders, r)
	}
	return p
}

// spend moves the tokens that all lenders grant to the first one and spends them there.
func (p *sharedPool) spend(now time.Time, service string, tokens float64) bool {
	first := p.lenders[0]
	for _, l := range p.lenders[1:] {
		first.AddTokens(now, service, l.GrantTokens(now, service, tokens))
	}
	return first.Admit(now, service, p.limits[service], len(p.lenders), tokens)
}

// TestRetryBudgetHoldsInEveryWindow guards against a retry storm after a calm period: all
// nodes make as many retries as they may at once while every call fails.
func TestRetryBudgetHoldsInEveryWindow(t *testing.T) {
	tests := []struct {
		name           string
		nodes, lenders int
	}{
		{"few nodes", 12, 12},
		{"hundreds of nodes", 300, 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const ratio, sharedRetries = 0.2, 48.0
			all := make([]*RetryBudget, tt.nodes)
			for i := range all {
				all[i] = &RetryBudget{RetryRatio: ratio}
			}
			now := time.Unix(1_000_000, 0)
			shared := newSharedPool(now, tt.lenders, sharedRetries, "desk", "deep")
			cost := map[string]float64{"desk": 1, "deep": 0.5}
			retry := func(b *RetryBudget) bool {
				lacking := b.Withdraw(now, cost)
				for service, n := range lacking {
					if !shared.spend(now, service, n) {
						b.Refund(now, cost, lacking)
						return false
					}
				}
				return true
			}
			type event struct {
				at                     time.Time
				retries, deep, request float64
			}
			var events []event
			for step := range 4000 {
				now = now.Add(10 * time.Millisecond)
				b := all[step%tt.nodes]
				b.Deposit(now, "desk")
				e := event{at: now, request: 1}
				for step > 2000 && retry(b) {
					e.retries += cost["desk"]
					e.deep += cost["deep"]
				}
				events = append(events, e)
				var retries, deep, requests float64
				for i := len(events) - 1; i >= 0 && now.Sub(events[i].at) < BudgetWindow; i-- {
					retries += events[i].retries
					deep += events[i].deep
					requests += events[i].request
				}
				if most := ratio*requests + sharedRetries; retries > most {
					t.Fatalf("got %v retries to service desk in 10 s, want at most %v", retries, most)
				}
				if deep > sharedRetries {
					t.Fatalf("got %v retries to service deep, which callers do not request, want at most %v", deep, sharedRetries)
				}
			}
			total := 0.0
			for _, e := range events {
				total += e.retries
			}
			if least := sharedRetries / burstDivisor / 2; total < least {
				t.Errorf("got %v retries in total, want at least %v", total, least)
			}
		})
	}
}
