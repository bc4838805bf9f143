package assessor

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestServerThatTurnsMostCallsAway is a server that refuses a part of its calls at
// once while it has room: it is known as failing within a second, stays so while it
// gets calls, and is tried again some seconds after the last one.
func TestServerThatTurnsMostCallsAway(t *testing.T) {
	tests := []struct {
		name string
		// every is the time between two calls, badly the part that ends badly.
		every time.Duration
		badly float64
		// sound is what the server is to be after a second and later.
		sound bool
	}{
		{"a fifth of a percent, as ever", 10 * time.Millisecond, 0.002, true},
		{"five in a hundred", 10 * time.Millisecond, 0.05, true},
		{"half of many", 10 * time.Millisecond, 0.55, false},
		{"half of a few", 50 * time.Millisecond, 0.55, false},
		{"all", 50 * time.Millisecond, 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			a := &Assessor{}
			now := time.Unix(1_000_000, 0)
			begun := now
			for now.Sub(begun) < 10*time.Second {
				now = now.Add(tt.every)
				e := EndWell
				if random.Float64() < tt.badly {
					e = EndBadly
				}
				a.Take(now, e)
				a.Take(now, EndUnclear)
				if got := Sound(a.Failing(now)); now.Sub(begun) > time.Second && got != tt.sound {
					t.Fatalf("got sound %t after %s, want %t", got, now.Sub(begun), tt.sound)
				}
			}
			if got := a.Failing(now.Add(10 * time.Second)); !Sound(got) {
				t.Errorf("got %.2f failing 10 s after the last call, want less than %.2f", got, SoundBelow)
			}
		})
	}
}
