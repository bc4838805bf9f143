package loader

import (
	"slices"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/recorder"
)

type (
	// exactBucket is a token bucket that one process would keep.
	exactBucket struct {
		rate, burst, tokens float64
		last                time.Time
	}

	// refusals counts the sends of all customers.
	refusals struct {
		// inside counts those that are not rightly refused as above the
		// rate; any and rate those of them that were refused at all and as
		// above the rate.
		inside, any, rate int
		// allowed counts the sends that an exact bucket lets through,
		// admitted those that were not refused as above the rate.
		allowed, admitted int
	}
)

// refused charges two exact buckets for each customer. One is charged with all
// sends that were not refused as above the rate; such a refusal is wrong when
// that bucket had a token. A customer that is always above its rate would be
// refused wrongly nearly each time, as soon as one token is missing. So the
// other bucket is charged with each send that it lets through, and shows how
// much the customer was kept from.
func (m *measurer) refused() Refused {
	calls := map[string][]recorder.Call{}
	for _, c := range m.history.Calls {
		if recorder.IsRoot(c.ChainPath) && c.Customer != "" {
			calls[c.Customer] = append(calls[c.Customer], c)
		}
	}
	var all refusals
	for _, c := range m.scenario.Customers {
		sends := calls[c.Name]
		slices.SortFunc(sends, func(a, b recorder.Call) int { return a.Start.Compare(b.Start) })
		all.add(c, sends, m.begin)
	}
	return Refused{
		Any:   ratio(float64(all.any), float64(all.inside)),
		Rate:  ratio(float64(all.rate), float64(all.inside)),
		Short: max(0, 1-ratio(float64(all.admitted), float64(all.allowed))),
	}
}

// add counts the sends of a customer from begin on.
func (r *refusals) add(c Customer, sends []recorder.Call, begin time.Time) {
	charged, exact := newExactBucket(c, begin), newExactBucket(c, begin)
	for _, s := range sends {
		above := s.Outcome == recorder.CallRefused && s.Reason == exchanger.ReasonRate
		charged.fill(s.Start)
		exact.fill(s.Start)
		allowed := exact.take()
		wrong := above && charged.tokens >= 1
		if !above {
			charged.tokens = max(0, charged.tokens-1)
		}
		if s.Start.Before(begin) {
			continue
		}
		r.count(s, above, wrong, allowed)
	}
}

func (r *refusals) count(s recorder.Call, above, wrong, allowed bool) {
	if allowed {
		r.allowed++
	}
	if !above {
		r.admitted++
	}
	if above && !wrong {
		return
	}
	r.inside++
	if s.Outcome == recorder.CallRefused {
		r.any++
	}
	if wrong {
		r.rate++
	}
}

func newExactBucket(c Customer, begin time.Time) *exactBucket {
	return &exactBucket{rate: c.Rate, burst: c.Burst, tokens: c.Burst, last: begin.Add(-time.Hour)}
}

func (b *exactBucket) fill(at time.Time) {
	b.tokens = min(b.burst, b.tokens+b.rate*at.Sub(b.last).Seconds())
	b.last = at
}

func (b *exactBucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
