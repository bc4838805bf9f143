package assessor

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestFailureDetectionAndRecovery guards against sending calls to a server that refuses
// many of them at once although it has free capacity, and against leaving a recovered
// server unused. Failing must be detected within a second and last, also with few calls,
// until calls succeed again or none has failed for two seconds.
func TestFailureDetectionAndRecovery(t *testing.T) {
	const (
		idleInterval = 100 * time.Millisecond
		recoveryTime = 2 * time.Second
	)
	tests := []struct {
		name string
		// interval is the time between two calls, failureFraction the fraction of them
		// that fails.
		interval        time.Duration
		failureFraction float64
		failing         bool
	}{
		{"0.2 percent failures, the normal level", 10 * time.Millisecond, 0.002, false},
		{"5 percent failures", 10 * time.Millisecond, 0.05, false},
		{"55 percent failures of many calls", 10 * time.Millisecond, 0.55, true},
		{"55 percent failures of few calls", 50 * time.Millisecond, 0.55, true},
		{"only failures", 50 * time.Millisecond, 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			a := &Assessor{}
			now := time.Unix(1_000_000, 0)
			run := func(interval time.Duration, failureFraction float64) {
				now = now.Add(interval)
				outcome := OutcomeSuccess
				if random.Float64() < failureFraction {
					outcome = OutcomeFailure
				}
				a.Record(now, outcome)
				a.Record(now, OutcomeIgnored)
			}
			for start := now; now.Sub(start) < 3*time.Second; {
				run(tt.interval, tt.failureFraction)
				if got := a.Failing(now); now.Sub(start) > time.Second && got != tt.failing {
					t.Fatalf("got failing %t after %s, want %t", got, now.Sub(start), tt.failing)
				}
			}
			for start := now; now.Sub(start) < 10*time.Second; {
				run(idleInterval, tt.failureFraction)
				if got := a.Failing(now); tt.failing && !got {
					t.Fatalf("got failing false with few calls, want true while they fail")
				}
			}
			idle := *a
			if idle.Failing(now.Add(recoveryTime)) {
				t.Errorf("got failing true %s after the last call, want false", recoveryTime)
			}
			for range recoverySuccesses {
				run(tt.interval, 0)
			}
			if a.Failing(now) {
				t.Errorf("got failing true after %d successes, want false", recoverySuccesses)
			}
		})
	}
}
