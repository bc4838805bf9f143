package retrier

import (
	"testing"
	"time"
)

// TestCallersReturnAfterWarmUp refuses callers while servers are cold, as after a loss of
// power. None may be told to return before the servers are warm, and those that return
// within their time must come no faster than the servers can serve them, in the order in
// which they were refused.
func TestCallersReturnAfterWarmUp(t *testing.T) {
	const (
		slots       = 7
		slotSeconds = 0.12
		maxDelay    = 1600 * time.Millisecond
		step        = 5 * time.Millisecond
	)
	now := time.Unix(1000, 0)
	warm := Recovery{At: now.Add(3 * time.Second), Slots: slots}
	var p ReturnPlanner
	var planned []time.Time
	for ; now.Before(warm.At); now = now.Add(step) {
		delay := p.Plan(now, "halls", warm, slotSeconds, maxDelay)
		at := now.Add(delay)
		if at.Before(warm.At) {
			t.Errorf("got a return %s before the servers are warm", warm.At.Sub(at))
		}
		if delay <= maxDelay {
			planned = append(planned, at)
		}
	}
	if len(planned) == 0 {
		t.Fatal("got no return within the callers' time, want some")
	}
	interval := time.Duration(slotSeconds / warm.Slots * float64(time.Second))
	for i := 1; i < len(planned); i++ {
		if got := planned[i].Sub(planned[i-1]); got < interval {
			t.Errorf("got returns %s apart, want at least %s", got, interval)
		}
	}
	if got, want := planned[0], warm.At.Add(4*interval+recoveryMargin); got.After(want) {
		t.Errorf("got the first return %s after the servers are warm, want at most %s", got.Sub(warm.At), want.Sub(warm.At))
	}
}

// TestPlansOfServicesAreSeparate checks that returns to one service do not delay those to
// another.
func TestPlansOfServicesAreSeparate(t *testing.T) {
	now := time.Unix(1000, 0)
	r := Recovery{At: now.Add(time.Second), Slots: 1}
	var p ReturnPlanner
	first := p.Plan(now, "halls", r, 0.1, time.Minute)
	for range 10 {
		p.Plan(now, "halls", r, 0.1, time.Minute)
	}
	if got := p.Plan(now, "plans", r, 0.1, time.Minute); got != first {
		t.Errorf("got a delay of %s, want %s", got, first)
	}
}
