package limiter

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/flamingotack/flamingotack/internal/seeder"
)

var epoch = time.Unix(1_000_000, 0)

func TestMain(m *testing.M) {
	seeder.Run(m)
}

func TestLimiterNeverExceedsCeilings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 300).Draw(t, "slots")
		for _, p := range []Policy{&Adaptive{MaxLimit: slots}, Fixed(slots)} {
			l := &Limiter[Policy]{Policy: p, Slots: slots}
			now := epoch
			for range rapid.IntRange(1, 200).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
				bound := min(p.Limit(now), slots)
				h := Hint{Ready: true, Slots: rapid.IntRange(0, 1000).Draw(t, "hinted slots")}
				l.SetHint(now, h)
				if got := l.Limit(now); got > bound {
					t.Fatalf("got limit %d after a hint, want at most %d", got, bound)
				}
				for l.Acquire(now) {
					continue
				}
				if l.Running() > slots {
					t.Fatalf("got %d running, want at most %d", l.Running(), slots)
				}
				outcome := Outcome(rapid.IntRange(0, 2).Draw(t, "outcome"))
				for range rapid.IntRange(0, l.Running()).Draw(t, "ended") {
					l.Release(now, Sample{Latency: 10 * time.Millisecond, Outcome: outcome})
				}
				if got := l.Limit(now.Add(maxPause)); got < 1 {
					t.Fatalf("got limit %d after the longest pause, want at least 1", got)
				}
			}
		}
	})
}

// TestMisleadingHints guards against a server that is left unused, or overloaded, because
// its hints are wrong.
func TestMisleadingHints(t *testing.T) {
	tests := []struct {
		name string
		hint Hint
		want int
	}{
		{"not ready", Hint{}, 1},
		{"cold", Hint{Ready: true, Cold: true}, 5},
		{"full", Hint{Ready: true, LoadFraction: 1}, 50},
		{"few slots", Hint{Ready: true, Slots: 7}, 7},
		{"many slots", Hint{Ready: true, Slots: 7000}, 100},
		{"accurate", Hint{Ready: true, Slots: 100, LoadFraction: 0.3}, 100},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := &Limiter[Fixed]{Policy: 100, Slots: 100}
			l.SetHint(epoch, tt.hint)
			if got := l.Limit(epoch); got != tt.want {
				t.Errorf("got limit %d, want %d", got, tt.want)
			}
			now := epoch.Add(hintTrustDuration)
			for range hintRefutingSuccesses {
				l.Acquire(now)
				l.Release(now, Sample{Outcome: OutcomeSuccess})
			}
			l.SetHint(now, tt.hint)
			if got := l.Limit(now); got > tt.want+1 {
				t.Errorf("hint just refuted: got limit %d, want about %d and gradual growth", got, tt.want)
			}
			now = now.Add(hintTrustDuration)
			l.SetHint(now, tt.hint)
			if got := l.Limit(now); got != 100 {
				t.Errorf("hint refuted long ago: got limit %d, want 100", got)
			}
		})
	}
}

func TestPacer(t *testing.T) {
	p := &Pacer{Interval: time.Millisecond}
	for i, want := range []time.Duration{0, time.Millisecond, 2 * time.Millisecond} {
		if got := p.Reserve(epoch); got != want {
			t.Errorf("turn %d: got wait %s, want %s", i, got, want)
		}
	}
	if got := p.Reserve(epoch.Add(time.Second)); got != 0 {
		t.Errorf("turn after a pause: got wait %s, want 0", got)
	}
}
