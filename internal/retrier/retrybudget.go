package retrier

import (
	"time"

	"github.com/flamingotack/flamingotack/internal/averager"
)

const (
	// BudgetWindow is the time over which retries are counted against requests.
	BudgetWindow = 10 * time.Second
	// usableFraction is the fraction of the allowed retries that is used. The rest is
	// a reserve for what a node cannot see, such as retries by its callers.
	usableFraction = 0.8
	// earnedDecayTime is the time constant with which earned retries decay, so that
	// savings from before a window add little to the retries within it.
	earnedDecayTime = BudgetWindow / 4
	// burstDivisor is the ratio of the usable retries per window to the burst of the
	// shared bucket. A window may use one burst saved before it, one refilled during it and,
	// if all nodes restart, one more.
	burstDivisor = 3
)

// RetryBudget limits the retries of all nodes together to a ratio of the requests for each
// service. Each node earns retries from the requests that it receives itself, so nodes
// exchange no messages. The zero value allows no retries.
type RetryBudget struct {
	// RetryRatio is the number of retries that a request earns.
	RetryRatio float64

	earnedByService map[string]*averager.DecayingSum
}

// SharedBucket returns the parameters of the token bucket that all nodes share besides the
// retries that requests earn: its burst in retries, and its refill in retries per second.
// retriesPerWindow is the number of such retries allowed in a BudgetWindow.
func SharedBucket(retriesPerWindow float64) (burst, perSecond float64) {
	burst = retriesPerWindow * usableFraction / burstDivisor
	return burst, burst / BudgetWindow.Seconds()
}

// Deposit adds the retries that a caller's request for a service earns.
func (b *RetryBudget) Deposit(now time.Time, service string) {
	b.earned(service).Add(now, earnedDecayTime, b.RetryRatio*usableFraction)
}

// Withdraw takes the cost of a retry from the earned retries and returns the part that they
// lack. Both are in requests by service; cost is the number of requests that the retry
// causes.
func (b *RetryBudget) Withdraw(now time.Time, cost map[string]float64) (lacking map[string]float64) {
	lacking = map[string]float64{}
	for service, n := range cost {
		s := b.earned(service)
		taken := min(n, s.Value(now, earnedDecayTime))
		s.Add(now, earnedDecayTime, -taken)
		if taken < n {
			lacking[service] = n - taken
		}
	}
	return lacking
}

// Refund returns what Withdraw took for a cost, which is the cost less lacking.
func (b *RetryBudget) Refund(now time.Time, cost, lacking map[string]float64) {
	for service, n := range cost {
		b.earned(service).Add(now, earnedDecayTime, n-lacking[service])
	}
}

func (b *RetryBudget) earned(service string) *averager.DecayingSum {
	if b.earnedByService == nil {
		b.earnedByService = map[string]*averager.DecayingSum{}
	}
	s := b.earnedByService[service]
	if s == nil {
		s = &averager.DecayingSum{}
		b.earnedByService[service] = s
	}
	return s
}
