package forwarder

import (
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/guardian"
)

// TestWorkFigureDecidesOnNode guards against reports whose work figure does not reach the
// router: of nodes that are alike otherwise, a slow one gets few calls, and none that can't be
// retried is sent there while others have room.
func TestWorkFigureDecidesOnNode(t *testing.T) {
	tests := []struct {
		name        string
		workPercent int
		idempotent  bool
		// least and most bound the fraction of calls at the slow node.
		least, most float64
	}{
		{"not reported", 0, true, 0.2, 0.47},
		{"slow", 250, true, 0, 0.1},
		{"slow, can't be retried", 250, false, 0, 0.1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, l := newFixture(t, 3)
			for i, m := range l.members {
				l.members[i].Domain = "d0"
				load := guardian.LoadReport{Sequence: 1, Limit: 20, MeanServiceTime: 60 * time.Millisecond, OwnTime: 60 * time.Millisecond}
				if tt.workPercent > 0 {
					load.WorkPercent = 100
					if m.Name == "n0" {
						load.WorkPercent = tt.workPercent
					}
				}
				f.UpdateLoad(m, load)
			}
			const calls = 300
			slow := 0
			for range calls {
				c := newCall(tt.idempotent)
				if _, refusal := f.Forward(t.Context(), c, &director.Route{MaxAttempts: 1}); refusal != nil {
					t.Fatalf("got refusal %v, want an answer", refusal)
				}
				if l.sent[len(l.sent)-1] == "n0" {
					slow++
				}
			}
			if got := float64(slow) / calls; got < tt.least || got > tt.most {
				t.Errorf("got fraction %.2f of the calls at the slow node, want %.2f to %.2f", got, tt.least, tt.most)
			}
		})
	}
}

// TestRouterRequest checks what the router is told of a call.
func TestRouterRequest(t *testing.T) {
	f, l := newFixture(t, 1)
	now := time.Now()
	c := newCall(false)
	c.Priority, c.ObjectiveDeadline = exchanger.PriorityHigh, now.Add(time.Second)
	if got := f.routerRequest(now, c); got.ObjectiveIn != 0 || got.Unrepeatable || got.Priority != exchanger.PriorityHigh {
		t.Errorf("got %+v for a service without work figures, want only the priority", got)
	}
	f.UpdateLoad(l.members[0], guardian.LoadReport{Sequence: 1, Limit: 8, WorkPercent: 100})
	if got := f.routerRequest(now, c); got.ObjectiveIn != time.Second || !got.Unrepeatable {
		t.Errorf("got %+v, want an objective in 1s and no retries", got)
	}
}
