package retrier

import (
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/rationer"
)

// pool is the slack that a few nodes hold for all.
type pool struct {
	lenders []*rationer.Rationer
	limits  map[string]rationer.Limit
}

func newPool(now time.Time, lenders int, slack float64, services ...string) *pool {
	most, perSecond := SharedBucket(slack)
	p := &pool{limits: map[string]rationer.Limit{}}
	for _, s := range services {
		p.limits[s] = rationer.Limit{Rate: perSecond, Burst: most}
	}
	for range lenders {
		r := &rationer.Rationer{}
		r.Set(now, p.limits, func(string) int { return lenders })
		p.lenders = append(p.lenders, r)
	}
	return p
}

// spend takes from all lenders what they give.
func (p *pool) spend(now time.Time, service string, tokens float64) bool {
	first := p.lenders[0]
	for _, l := range p.lenders[1:] {
		first.Add(now, service, l.Give(now, service, tokens))
	}
	return first.Admit(now, service, p.limits[service], len(p.lenders), tokens)
}

// TestAllowanceHoldsInEveryWindow repeats whatever it may at all nodes at once,
// after a calm, during a storm of failures.
func TestRetryBudgetHoldsInEveryWindow(t *testing.T) {
	tests := []struct {
		name           string
		nodes, lenders int
	}{
		{"a few nodes", 12, 12},
		{"hundreds of nodes", 300, 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const ratio, slack = 0.2, 48.0
			all := make([]*RetryBudget, tt.nodes)
			for i := range all {
				all[i] = &RetryBudget{RetryRatio: ratio}
			}
			now := time.Unix(1_000_000, 0)
			shared := newPool(now, tt.lenders, slack, "desk", "deep")
			cost := map[string]float64{"desk": 1, "deep": 0.5}
			repeat := func(a *RetryBudget) bool {
				lacking := a.Withdraw(now, cost)
				for service, n := range lacking {
					if !shared.spend(now, service, n) {
						a.Refund(now, cost, lacking)
						return false
					}
				}
				return true
			}
			type event struct {
				at                     time.Time
				repeats, deep, request float64
			}
			var events []event
			for step := range 4000 {
				now = now.Add(10 * time.Millisecond)
				a := all[step%tt.nodes]
				a.Deposit(now, "desk")
				e := event{at: now, request: 1}
				for step > 2000 && repeat(a) {
					e.repeats += cost["desk"]
					e.deep += cost["deep"]
				}
				events = append(events, e)
				var repeats, deep, requests float64
				for i := len(events) - 1; i >= 0 && now.Sub(events[i].at) < BudgetWindow; i-- {
					repeats += events[i].repeats
					deep += events[i].deep
					requests += events[i].request
				}
				if most := ratio*requests + slack; repeats > most {
					t.Fatalf("got %v repeats at the desk in 10 s, want at most %v", repeats, most)
				}
				if deep > slack {
					t.Fatalf("got %v repeats at the deep service, which callers don't ask, want at most %v", deep, slack)
				}
			}
			total := 0.0
			for _, e := range events {
				total += e.repeats
			}
			if least := slack / slackParts / 2; total < least {
				t.Errorf("got %v repeats, want at least %v", total, least)
			}
		})
	}
}
