package admitter

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/rationer"
	"github.com/flamingotack/flamingotack/internal/retrier"
)

type (
	// try is a try of a caller, whose answer is late after the deadline.
	try struct {
		at, deadline time.Time
		number       int
	}

	// returnResult counts callers and their tries. returned callers were served after
	// a refusal, with returnedTries tries in all.
	returnResult struct {
		callers, served, tries, returned, returnedTries float64
	}
)

// playReturns sends the callers of one customer for 100 s to a bucket with a rate of 38. Their
// rate as a multiple of it is a function of the time. A refused caller returns after the delay
// that retryAfter gives, and gives up if that is more than a third of its time left.
func playReturns(t *testing.T, objective time.Duration, load func(at time.Duration) float64, retryAfter func(r *rateReturns, now time.Time, timeLeft time.Duration, random float64) time.Duration) (res returnResult) {
	t.Helper()
	const rate = 38
	var (
		random  = rand.New(rand.NewPCG(1, 2))
		started = time.Unix(1000, 0)
		limit   = rationer.Limit{RatePerSecond: rate, BurstRequests: 48, StartsFull: true}
		buckets rationer.Buckets
		returns = newRateReturns()
		// tries are the first tries and returning the further ones, both in order.
		tries, returning []try
	)
	for at := time.Duration(0); at < 100*time.Second; at += time.Duration(random.ExpFloat64() * float64(time.Second) / rate / load(at)) {
		tries = append(tries, try{at: started.Add(at), deadline: started.Add(at + objective)})
	}
	res.callers = float64(len(tries))
	buckets.SetLimits(started, map[string]rationer.Limit{"pond": limit}, func(string) int { return 1 })
	for len(tries)+len(returning) > 0 {
		next := &tries
		if len(tries) == 0 || len(returning) > 0 && returning[0].at.Before(tries[0].at) {
			next = &returning
		}
		c := (*next)[0]
		*next = (*next)[1:]
		c.number++
		res.tries++
		admitted := buckets.Admit(c.at, "pond", limit, 1, 1)
		returns.count(c.at, "pond", !admitted)
		if admitted {
			res.served++
			if c.number > 1 {
				res.returned++
				res.returnedTries += float64(c.number)
			}
			continue
		}
		timeLeft := c.deadline.Sub(c.at)
		delay := retryAfter(returns, c.at, timeLeft, random.Float64())
		if delay < time.Second/rate {
			t.Fatalf("got Retry-After %s, want at least the time of one token, %s", delay, time.Second/rate)
		}
		if delay > timeLeft/3 {
			continue
		}
		c.at = c.at.Add(delay)
		i, _ := slices.BinarySearchFunc(returning, c, func(a, b try) int { return a.at.Compare(b.at) })
		returning = slices.Insert(returning, i, c)
	}
	t.Logf("objective %s: %.3f of %.0f callers served, %.2f tries per caller, %.2f per caller that was served after a refusal", objective, res.served/res.callers, res.callers, res.tries/res.callers, res.returnedTries/max(1, res.returned))
	return res
}

// TestRefusedCallersComeBackWithinRate guards against callers within their rate, but for short
// surges, that are told to come back so late that they give up, and against more tries of a
// customer that is far over its rate.
func TestRefusedCallersComeBackWithinRate(t *testing.T) {
	surges := func(at time.Duration) float64 {
		if at%(10*time.Second) > 8500*time.Millisecond {
			return 2.2
		}
		return 0.67
	}
	spread := func(_ *rateReturns, _ time.Time, timeLeft time.Duration, random float64) time.Duration {
		return max(time.Second/38, retrier.RetryAfter(timeLeft, random))
	}
	decided := func(r *rateReturns, now time.Time, timeLeft time.Duration, random float64) time.Duration {
		return r.retryAfter(now, "pond", 38, timeLeft, random)
	}
	for _, objective := range []time.Duration{time.Second, 3 * time.Second} {
		before, after := playReturns(t, objective, surges, spread), playReturns(t, objective, surges, decided)
		if after.served <= before.served {
			t.Errorf("objective %s: got %.0f callers served in surges, want more than the %.0f of an even spread", objective, after.served, before.served)
		}
		if got := after.served / after.callers; objective > time.Second && got < minRateFraction {
			t.Errorf("objective %s: got fraction %.3f of callers served in surges, want at least %.2f", objective, got, minRateFraction)
		}
		over := func(time.Duration) float64 { return 3 }
		before, after = playReturns(t, objective, over, spread), playReturns(t, objective, over, decided)
		if after.tries > 1.05*before.tries || after.served < minRateFraction*before.served {
			t.Errorf("objective %s: got %.0f tries, %.0f served at three times the rate, want about %.0f, %.0f", objective, after.tries, after.served, before.tries, before.served)
		}
	}
}
