package guardian

import (
	"net/http"
	"testing"

	"github.com/flamingotack/flamingotack/internal/accountant"
	"github.com/flamingotack/flamingotack/internal/assessor"
	"github.com/flamingotack/flamingotack/internal/attributor"
	"github.com/flamingotack/flamingotack/internal/exchanger"
)

// TestMemoryShortageIsNoFailure guards against a healthy backend server that counts as failing
// or crashed because the node has no memory for its answers.
func TestMemoryShortageIsNoFailure(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt", r.Header.Get("Attempt"))
		w.Header().Set("Seal", "s")
		_, _ = w.Write(make([]byte, 4<<20))
	})
	f.announce(8, 0)
	f.Backend.Account = accountant.New(1 << 20)
	_, refusal := f.HandleCall(t.Context(), f.newCall("1"))
	if refusal == nil || refusal.Status != http.StatusBadGateway || refusal.Ran != exchanger.RanUnknown || refusal.Reason != exchanger.ReasonMemory || !refusal.LocalShortage {
		t.Fatalf("got refusal %+v, want 502 for a shortage of this node, unknown whether run", refusal)
	}
	if got := f.runOutcome(&attributor.Summary{}, nil, refusal); got != assessor.OutcomeIgnored {
		t.Errorf("got outcome %v, want the run ignored", got)
	}
	if !f.suspects.probedAt.IsZero() {
		t.Error("got a probe for a crash, want none")
	}
}
