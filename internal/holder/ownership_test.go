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
	checksWithHolder, holderChanges := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(uniformPick(t), faultNone)
		for range modelSteps {
			m.step()
			if err := m.check(); err != nil {
				t.Fatal(err)
			}
		}
		checksWithHolder, holderChanges = checksWithHolder+m.checksWithHolder, holderChanges+m.holderChanges
	})
	if holderChanges == 0 {
		t.Errorf("changes of holders in %d checks with a holder: got 0, want at least 1", checksWithHolder)
	}
}

func TestModelDetectsBrokenRules(t *testing.T) {
	tests := []struct {
		name  string
		fault fault
	}{
		{"freshness from answer time", faultProofFromAnswerTime},
		{"acknowledged before fold", faultAckBeforeFold},
		{"attested offset below the acknowledged one", faultAttestPreviousOffset},
		{"clock drift beyond the margin", faultClockDriftBeyondMargin},
		{"age of an attestation ignored", faultIgnoreAttestationAge},
		{"leave recorded before stop", faultLeaveBeforeStop},
		{"proof from a newer offset accepted", faultAcceptNewerProof},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if !findsOverlap(tt.fault, 5000) {
				t.Error("overlap of holders: got none, want one")
			}
		})
	}
}

// findsOverlap reports whether any of that many runs of a model finds two holders
// of one resource.
func findsOverlap(f fault, runs uint64) bool {
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

// uniformPick returns a function that draws uniform numbers. rapid itself prefers
// small ones, which would leave the log down for most of a run.
func uniformPick(t *rapid.T) func(n int) int {
	generator := rapid.Uint64()
	count := uint64(0)
	return func(n int) int {
		count++
		return rand.New(rand.NewPCG(generator.Draw(t, "pick"), count)).IntN(n)
	}
}
