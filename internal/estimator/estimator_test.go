package estimator

import (
	"math"
	"math/rand/v2"
	"testing"
)

// TestFanOutOfMixedRunKinds guards against attributing calls to runs that make none. It
// mixes downloads, which make no calls, with index reads, which make four calls each.
func TestFanOutOfMixedRunKinds(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var e Estimator
	for range 24 {
		downloads, reads := float64(random.IntN(12)), float64(10+random.IntN(30))
		e.AddWindow(map[string]float64{"download": downloads, "read": reads}, map[string]float64{"roster": 4 * reads})
	}
	tests := []struct {
		run  string
		want float64
	}{
		{"download", 0},
		{"read", 4},
	}
	fanOuts := e.FanOuts()
	for _, tt := range tests {
		if got := fanOuts[tt.run].Calls["roster"]; math.Abs(got-tt.want) > 0.3 {
			t.Errorf("%s: got %.2f calls per run, want %.2f", tt.run, got, tt.want)
		}
	}
}

// TestFanOutOfSingleRunKind checks that a single kind of run gets the plain mean.
func TestFanOutOfSingleRunKind(t *testing.T) {
	var e Estimator
	e.AddWindow(map[string]float64{"view": 10}, map[string]float64{"ledger": 20, "index": 5})
	e.AddWindow(map[string]float64{"view": 30}, map[string]float64{"ledger": 60, "index": 15})
	callsPerRun := e.FanOuts()["view"].Calls
	if got := callsPerRun["ledger"]; math.Abs(got-2) > 0.05 {
		t.Errorf("got %.2f ledger calls per run, want 2", got)
	}
	if got := callsPerRun["index"]; math.Abs(got-0.5) > 0.05 {
		t.Errorf("got %.2f index calls per run, want 0.5", got)
	}
}
