package admitter

import (
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/attributor"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

// TestFanOutsAfterStart guards against wrong fan-outs on a node that has just started
// while downstream services are slow. Each run makes its only call at once and then waits
// long for the answer, so the first windows hold calls of runs that have not ended. A
// wrong fan-out must rest on few runs, so that those of other nodes outweigh it, and must
// soon become right.
func TestFanOutsAfterStart(t *testing.T) {
	const (
		step    = 20 * time.Millisecond
		runTime = 1500 * time.Millisecond
		// maxRunsOff is the number of runs in one second.
		maxRunsOff = 50
	)
	clock := timekeeper.NewManualClock(time.Unix(1000, 0))
	started := clock.Now()
	c := NewFanOutCounter(clock)
	var startTimes []time.Time
	for range 600 {
		clock.Advance(step)
		now := clock.Now()
		startTimes = append(startTimes, now)
		c.CountCall("ledger")
		if now.Sub(startTimes[0]) >= runTime {
			c.CountRun(attributor.Summary{Route: "view", StartedAt: startTimes[0], EndedAt: now})
			startTimes = startTimes[1:]
		}
		fanOut, known := c.FanOuts()["view"]
		if got := fanOut.Calls["ledger"]; known && fanOut.Runs > maxRunsOff && (got < 0.6 || got > 1.7) {
			t.Errorf("after %s: got %.2f calls per run over %.0f runs, want 0.6 to 1.7", now.Sub(started), got, fanOut.Runs)
		}
	}
	if got := c.FanOuts()["view"].Calls["ledger"]; got < 0.9 || got > 1.1 {
		t.Errorf("got %.2f calls per run at the end, want 0.9 to 1.1", got)
	}
}

// TestFanOutsOfRoutesThatRunTogether guards against calls that are attributed to the wrong
// route: two routes run on the same server in a steady proportion, and only one of them
// makes calls. Routes that make none must not be charged for a service they do not call.
func TestFanOutsOfRoutesThatRunTogether(t *testing.T) {
	clock := timekeeper.NewManualClock(time.Unix(1000, 0))
	c := NewFanOutCounter(clock)
	for range 1000 {
		clock.Advance(10 * time.Millisecond)
		now := clock.Now()
		c.CountRun(attributor.Summary{Route: "needs", StartedAt: now.Add(-200 * time.Millisecond), EndedAt: now, Calls: map[string]int{"slots": 4}})
		c.CountRun(attributor.Summary{Route: "list", StartedAt: now.Add(-300 * time.Millisecond), EndedAt: now})
	}
	fanOuts := c.FanOuts()
	if got := fanOuts["needs"].Calls["slots"]; got < 3.9 || got > 4.1 {
		t.Errorf("got %.2f calls per run of the route that makes calls, want 3.9 to 4.1", got)
	}
	if got := fanOuts["list"].Calls["slots"]; got != 0 {
		t.Errorf("got %.2f calls per run of the route that makes none, want 0", got)
	}
}
