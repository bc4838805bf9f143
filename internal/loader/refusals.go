package loader

import (
	"slices"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/recorder"
)

type (
	// exactBucket is a token bucket as a single process would keep it.
	exactBucket struct {
		ratePerSecond, burstRequests, tokens float64
		lastFill                             time.Time
	}

	// refusalCounts counts the attempts of all customers.
	refusalCounts struct {
		// insideRate counts the attempts that were not rightfully refused as
		// over the rate. any counts those of them that were refused for any
		// reason, and refusedOverRate those that were refused as over the
		// rate.
		insideRate, any, refusedOverRate int
		// allowed counts the attempts that an exact bucket admits, admitted
		// those that were not refused as over the rate.
		allowed, admitted int
	}
)

// refusedInsideRate charges two exact buckets for each customer. The first is
// charged for all attempts that were not refused as over the rate; such a
// refusal is wrongful if the bucket had a token. For a customer that is always
// over its rate, nearly every refusal would count as wrongful as soon as one
// token is missing. The second bucket is therefore charged for each attempt
// that it admits, and shows how many requests within the rate the customer was
// denied.
func (m *measurer) refusedInsideRate() RefusalFractions {
	calls := map[string][]recorder.Call{}
	for _, c := range m.history.Calls {
		if recorder.IsRoot(c.ChainPath) && c.Customer != "" {
			calls[c.Customer] = append(calls[c.Customer], c)
		}
	}
	var all refusalCounts
	for _, c := range m.scenario.Customers {
		attempts := calls[c.Name]
		slices.SortFunc(attempts, func(a, b recorder.Call) int { return a.Start.Compare(b.Start) })
		all.add(c, attempts, m.measureStart)
	}
	return RefusalFractions{
		AnyReason:     ratio(float64(all.any), float64(all.insideRate)),
		OverRate:      ratio(float64(all.refusedOverRate), float64(all.insideRate)),
		RateShortfall: max(0, 1-ratio(float64(all.admitted), float64(all.allowed))),
	}
}

// add counts the attempts of a customer that started at measureStart or later.
func (r *refusalCounts) add(c Customer, attempts []recorder.Call, measureStart time.Time) {
	charged, exact := newExactBucket(c, measureStart), newExactBucket(c, measureStart)
	for _, s := range attempts {
		overRate := s.Outcome == recorder.CallRefused && s.Reason == exchanger.ReasonRate
		charged.fill(s.Start)
		exact.fill(s.Start)
		allowed := exact.take()
		wrongful := overRate && charged.tokens >= 1
		if !overRate {
			charged.tokens = max(0, charged.tokens-1)
		}
		if s.Start.Before(measureStart) {
			continue
		}
		r.count(s, overRate, wrongful, allowed)
	}
}

func (r *refusalCounts) count(s recorder.Call, overRate, wrongful, allowed bool) {
	if allowed {
		r.allowed++
	}
	if !overRate {
		r.admitted++
	}
	if overRate && !wrongful {
		return
	}
	r.insideRate++
	if s.Outcome == recorder.CallRefused {
		r.any++
	}
	if wrongful {
		r.refusedOverRate++
	}
}

func newExactBucket(c Customer, measureStart time.Time) *exactBucket {
	return &exactBucket{ratePerSecond: c.RatePerSecond, burstRequests: c.BurstRequests, tokens: c.BurstRequests, lastFill: measureStart.Add(-time.Hour)}
}

func (b *exactBucket) fill(at time.Time) {
	b.tokens = min(b.burstRequests, b.tokens+b.ratePerSecond*at.Sub(b.lastFill).Seconds())
	b.lastFill = at
}

func (b *exactBucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
