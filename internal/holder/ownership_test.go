package holder

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/flamingotack/flamingotack/internal/seeder"
)

const modelSteps = 400

func TestMain(m *testing.M) {
	seeder.Run(m)
}

func TestHoldersNeverOverlap(t *testing.T) {
	held, moved := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(uniform(t), faultNone)
		for range modelSteps {
			m.step()
			if err := m.check(); err != nil {
				t.Fatal(err)
			}
		}
		held, moved = held+m.held, moved+m.moved
	})
	if moved == 0 {
		t.Errorf("got no change of holders in %d checks, want some", held)
	}
}

func TestModelDetectsBrokenRules(t *testing.T) {
	tests := []struct {
		name  string
		fault fault
	}{
		{"freshness from answer time", faultAnswerTime},
		{"acknowledged before folded", faultAckUnfolded},
		{"attested below what was acknowledged", faultAttestOld},
		{"clock rates beyond the margin", faultClockRate},
		{"age of an attestation forgotten", faultForgetAge},
		{"leave recorded before the end", faultLeaveEarly},
		{"vouched from a newer offset", faultVouchBehind},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if !overlaps(tt.fault, 5000) {
				t.Error("got no overlap, want one")
			}
		})
	}
}

// overlaps reports whether one of so many runs of a model finds two holders.
func overlaps(f fault, runs uint64) bool {
	for seed := range runs {
		m := newModel(rand.New(rand.NewPCG(seed, 1)).IntN, f)
		for range modelSteps {
			m.step()
			if m.check() != nil {
				return true
			}
		}
	}
	return false
}

// uniform draws numbers without the preference of rapid for small ones, which
// would leave the log down for most of a run.
func uniform(t *rapid.T) func(n int) int {
	generator := rapid.Uint64()
	count := uint64(0)
	return func(n int) int {
		count++
		return rand.New(rand.NewPCG(generator.Draw(t, "pick"), count)).IntN(n)
	}
}
