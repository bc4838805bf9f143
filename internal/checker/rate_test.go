package checker

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/flamingotack/flamingotack/internal/seeder"
)

func TestMain(m *testing.M) {
	seeder.Run(m)
}

// TestExcessMatchesEveryInterval compares the result with a count over all
// intervals.
func TestExcessMatchesEveryInterval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		millis := rapid.IntRange(0, 5000)
		requests := make([]admittedRequest, rapid.IntRange(1, 40).Draw(t, "requests"))
		for i := range requests {
			sent := at(0).Add(time.Duration(millis.Draw(t, "sent")) * time.Millisecond)
			wait := time.Duration(rapid.IntRange(0, 300).Draw(t, "wait")) * time.Millisecond
			requests[i] = admittedRequest{sentAt: sent, ranAt: sent.Add(wait)}
		}
		rate := rapid.Float64Range(0.5, 20).Draw(t, "rate")
		want := math.Inf(-1)
		for _, first := range requests {
			for _, last := range requests {
				if n := countWithin(requests, first.sentAt, last.ranAt); n > 0 {
					want = max(want, float64(n)-rate*last.ranAt.Sub(first.sentAt).Seconds()-1)
				}
			}
		}
		if got := maxExcess(requests, rate, 1, 0); math.Abs(got-want) > 1e-6 {
			t.Errorf("got excess %v, want %v", got, want)
		}
	})
}

func countWithin(requests []admittedRequest, from, to time.Time) (n int) {
	for _, a := range requests {
		if !a.sentAt.Before(from) && !a.ranAt.After(to) {
			n++
		}
	}
	return n
}
