package assessor

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestServerThatTurnsMostCallsAway is a server that refuses a part of its calls at
// once while it has room: it is known as failing within a second and stays so, also
// when it gets few calls from then on, until calls end well again or none has ended
// badly for two seconds: a server that has recovered must not be left unused for longer.
func TestFailureDetectionAndRecovery(t *testing.T) {
	const (
		seldom    = 100 * time.Millisecond
		recovered = 2 * time.Second
	)
	tests := []struct {
		name string
		// every is the time between two calls, badly the part that ends badly.
		every   time.Duration
		badly   float64
		failing bool
	}{
		{"a fifth of a percent, as ever", 10 * time.Millisecond, 0.002, false},
		{"five in a hundred", 10 * time.Millisecond, 0.05, false},
		{"half of many", 10 * time.Millisecond, 0.55, true},
		{"half of a few", 50 * time.Millisecond, 0.55, true},
		{"all", 50 * time.Millisecond, 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			a := &Assessor{}
			now := time.Unix(1_000_000, 0)
			run := func(every time.Duration, badly float64) {
				now = now.Add(every)
				e := OutcomeSuccess
				if random.Float64() < badly {
					e = OutcomeFailure
				}
				a.Record(now, e)
				a.Record(now, OutcomeIgnored)
			}
			for begun := now; now.Sub(begun) < 3*time.Second; {
				run(tt.every, tt.badly)
				if got := a.Failing(now); now.Sub(begun) > time.Second && got != tt.failing {
					t.Fatalf("got failing %t after %s, want %t", got, now.Sub(begun), tt.failing)
				}
			}
			for begun := now; now.Sub(begun) < 10*time.Second; {
				run(seldom, tt.badly)
				if got := a.Failing(now); tt.failing && !got {
					t.Fatalf("got sound with few calls, want failing as long as they end badly")
				}
			}
			forgotten := *a
			if forgotten.Failing(now.Add(recovered)) {
				t.Errorf("got failing %s after the last call, want sound", recovered)
			}
			for range proof {
				run(tt.every, 0)
			}
			if a.Failing(now) {
				t.Errorf("got failing after %d calls that ended well, want sound", proof)
			}
		})
	}
}
