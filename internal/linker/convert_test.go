package linker

import (
	"reflect"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
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
