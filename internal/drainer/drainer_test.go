package drainer

import (
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
)

// TestAccepts guards against requests that a stopping node accepts and can't answer any more.
func TestAccepts(t *testing.T) {
	startedAt := time.Unix(1000, 0)
	drain := New(startedAt, startedAt.Add(5500*time.Millisecond))
	tests := []struct {
		name        string
		drain       Drain
		after       time.Duration
		inRun       bool
		deadline    time.Duration
		meanRunTime time.Duration
		want        bool
	}{
		{"node that does not stop", Drain{}, 9 * time.Second, false, 20 * time.Second, 0, true},
		{"new chain early in the stop", drain, 2 * time.Second, false, 20 * time.Second, 0, true},
		{"new chain late in the stop", drain, 2400 * time.Millisecond, false, 3 * time.Second, time.Millisecond, false},
		{"call that ends in time by its deadline", drain, 4 * time.Second, true, 5500 * time.Millisecond, 0, true},
		{"short call of a run", drain, 4 * time.Second, true, 20 * time.Second, 200 * time.Millisecond, true},
		{"short call without time left", drain, 5200 * time.Millisecond, true, 20 * time.Second, 200 * time.Millisecond, false},
		{"long call of a run", drain, 4 * time.Second, true, 20 * time.Second, 400 * time.Millisecond, false},
		{"call of unknown length", drain, 3 * time.Second, true, 20 * time.Second, 0, false},
		{"short grace period", New(startedAt, startedAt.Add(time.Second)), 600 * time.Millisecond, false, 20 * time.Second, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := Request{Call: &exchanger.Call{Deadline: startedAt.Add(tt.deadline)}, InRun: tt.inRun, MeanRunTime: tt.meanRunTime}
			if got := tt.drain.Accepts(startedAt.Add(tt.after), r); got != tt.want {
				t.Errorf("got %t, want %t", got, tt.want)
			}
		})
	}
}
