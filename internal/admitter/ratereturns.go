package admitter

import (
	"maps"
	"sync"
	"time"

	"github.com/flamingotack/flamingotack/internal/averager"
	"github.com/flamingotack/flamingotack/internal/retrier"
)

const (
	// rateTriesDecayTime is the time constant of the numbers of tries of a customer, the
	// window in which its rate is counted.
	rateTriesDecayTime = 5 * time.Second
	// sustainedRefusedFraction is the fraction of refused tries above which a customer
	// counts as over its rate for longer, so that early returns only add refusals.
	sustainedRefusedFraction = 0.3
	// earlyReturnFraction is the most of its time left that a caller waits when a token
	// becomes due soon. Callers who give up wait for a third of it.
	earlyReturnFraction = 1. / 3
	// minRateTries is the decayed number of tries below which a customer is forgotten.
	minRateTries = 0.01
)

type (
	// rateReturns decides when refused callers of a customer that is over its rate should
	// come back. Create it with newRateReturns. It is safe for concurrent use.
	rateReturns struct {
		mu         sync.Mutex
		byCustomer map[string]*rateTries
	}

	// rateTries holds the decayed numbers of a customer's tries and refused tries.
	rateTries struct {
		all, refused averager.DecayingSum
	}
)

func newRateReturns() *rateReturns {
	return &rateReturns{byCustomer: map[string]*rateTries{}}
}

// count counts a try of a customer with a rate.
func (r *rateReturns) count(now time.Time, customer string, refused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tries := r.byCustomer[customer]
	if tries == nil {
		maps.DeleteFunc(r.byCustomer, func(_ string, t *rateTries) bool {
			return t.all.Value(now, rateTriesDecayTime) < minRateTries
		})
		tries = &rateTries{}
		r.byCustomer[customer] = tries
	}
	tries.all.Add(now, rateTriesDecayTime, 1)
	if refused {
		tries.refused.Add(now, rateTriesDecayTime, 1)
	}
}

// retryAfter returns the delay after which a refused caller should retry: at least the time
// until the next token. In a short surge, tokens become due soon, and callers that wait for a
// third of their time left still come back. timeLeft is the time until the caller's objective
// and random a random number from 0 to below 1.
func (r *rateReturns) retryAfter(now time.Time, customer string, ratePerSecond float64, timeLeft time.Duration, random float64) time.Duration {
	tokenInterval := time.Duration(float64(time.Second) / ratePerSecond)
	if r.isOverForLong(now, customer) {
		return max(tokenInterval, retrier.RetryAfter(timeLeft, random))
	}
	return max(tokenInterval, retrier.RetryAfterWithin(timeLeft, earlyReturnFraction, random))
}

// isOverForLong reports whether more than sustainedRefusedFraction of the customer's latest
// tries were refused.
func (r *rateReturns) isOverForLong(now time.Time, customer string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	tries := r.byCustomer[customer]
	return tries != nil && tries.refused.Value(now, rateTriesDecayTime) > sustainedRefusedFraction*tries.all.Value(now, rateTriesDecayTime)
}
