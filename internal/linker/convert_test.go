package linker

import (
	"reflect"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/framer"
	"github.com/flamingotack/flamingotack/internal/guardian"
)

// TestCallSurvivesFrames checks that a call is the same after its way to another node, except
// for the objective, which only the first node knows.
func TestCallSurvivesFrames(t *testing.T) {
	now := time.Unix(1000, 0)
	want := &exchanger.Call{
		ID: "1.2", Service: "desk", Route: "book", Method: "POST", Target: "/x", Host: "a",
		Header: map[string][]string{"A": {"b"}}, Body: []byte("body"),
		Customer: "pond", ChainCustomer: "club", ChainKnown: true, CallerService: "board",
		Priority: exchanger.PriorityHigh, RoutePriority: exchanger.PriorityLow,
		Deadline: now.Add(time.Second), Nested: true, RefusedByFullNode: true, Idempotent: true,
	}
	frames := callFrames(7, want, now)
	if got := toCall(frames[0].GetRun(), now); len(frames) != 1 || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v in %d frames, want %+v in one", got, len(frames), want)
	}
}

// TestLoadSurvivesFrames checks that a load report is the same after its way to another node.
func TestLoadSurvivesFrames(t *testing.T) {
	want := guardian.LoadReport{
		Sequence: 3, Limit: 8, Running: 4, Queued: 2, OfferedSlots: 5.5, CapacitySlots: 8, WarmSlots: 8,
		WarmupRemaining: time.Second, Failing: true, Closed: true, MeanServiceTime: 60 * time.Millisecond,
		WorkPercent: 170, WorkAge: 30 * time.Millisecond, OwnTime: 40 * time.Millisecond, ServerWaiting: 7,
	}
	if got, err := toLoad(fromLoad(want)); got != want || err != nil {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
}

// TestLoadOutOfRangeIsRejected guards against figures of another node that would make a server
// look infinitely fast.
func TestLoadOutOfRangeIsRejected(t *testing.T) {
	for _, m := range []*framer.Load{{WorkPercent: -1}, {ServerWaiting: -1}, {Limit: -1}} {
		if got, err := toLoad(m); err == nil {
			t.Errorf("%v: got %+v, want an error", m, got)
		}
	}
}
