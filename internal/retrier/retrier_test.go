package retrier

import (
	"net/http"
	"testing"

	"pgregory.net/rapid"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/seeder"
)

const maxDepth = 30

type (
	// failure is what happens to one attempt.
	failure int

	// tree runs one request through a call tree in which anything may fail.
	tree struct {
		draw     func() failure
		fanOut   int
		depth    int
		throttle *Throttle
		// executions counts those of each place, by its path.
		executions map[string]int
	}
)

const (
	answers failure = iota
	refusesLoad
	refusesLeaving
	breaks
	losesBudget
	failures
)

func TestMain(m *testing.M) {
	seeder.Run(m)
}

func (f failure) refusal(unused int) *exchanger.Refusal {
	switch f {
	case refusesLoad:
		r := exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonOverload, "")
		r.UnusedRetries = unused
		return r
	case refusesLeaving:
		r := exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonDraining, "")
		r.UnusedRetries = unused
		return r
	case breaks:
		r := exchanger.Unknown(http.StatusBadGateway, exchanger.ReasonBroken, "")
		r.UnusedRetries = unused
		return r
	default:
		return exchanger.Unknown(http.StatusBadGateway, exchanger.ReasonSilent, "")
	}
}

// call makes one call as a node does and returns what is left of its budget.
func (x *tree) call(place string, depth, budget int) (unused int) {
	a := &AttemptTracker{RetriesLeft: budget, Idempotent: true}
	x.throttle.RecordFirstAttempt()
	for {
		refusal, left := x.attempt(place, depth, a.StartAttempt())
		a.EndAttempt(left)
		if refusal == nil || a.NextStep(x.throttle, refusal) == StepStop {
			return a.RetriesLeft
		}
	}
}

// attempt runs the request on a backend server, which makes its calls two at a
// time.
func (x *tree) attempt(place string, depth, budget int) (refusal *exchanger.Refusal, unused int) {
	f := x.draw()
	if f == refusesLoad || f == refusesLeaving {
		return f.refusal(budget), budget
	}
	x.executions[place]++
	if depth < x.depth {
		for child := 0; child < x.fanOut; child += 2 {
			first := SplitRetries(budget)
			budget -= first
			second := 0
			if child+1 < x.fanOut {
				second = SplitRetries(budget)
				budget -= second
			}
			budget += x.call(place+string(rune('a'+child)), depth+1, first)
			if child+1 < x.fanOut {
				budget += x.call(place+string(rune('b'+child)), depth+1, second)
			}
		}
	}
	if f == answers {
		return nil, budget
	}
	r := f.refusal(budget)
	return r, r.UnusedRetries
}

// TestExecutionsStayInBudget checks the bound on each place of any tree.
func TestExecutionsStayInBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.IntRange(0, 8).Draw(t, "budget")
		fanOut := rapid.IntRange(1, 3).Draw(t, "fan-out")
		deepest := []int{maxDepth, 6, 4}[fanOut-1]
		failing := rapid.SliceOfN(rapid.IntRange(0, int(failures)-1), 1, 64).Draw(t, "failures")
		next := 0
		x := &tree{
			draw: func() failure {
				next++
				return failure(failing[next%len(failing)])
			},
			fanOut:     fanOut,
			depth:      rapid.IntRange(0, deepest).Draw(t, "depth"),
			throttle:   &Throttle{saved: 1e9},
			executions: map[string]int{},
		}
		unused := x.call("", 0, budget)
		if unused < 0 || unused > budget {
			t.Fatalf("got %d left over, want 0 to %d", unused, budget)
		}
		for place, got := range x.executions {
			if got > 1+budget {
				t.Fatalf("place %q: got %d executions, want at most %d", place, got, 1+budget)
			}
		}
	})
}

// TestFullyFailingLeaf checks the bound of the ratio: chains whose last hop
// always fails.
func TestFullyFailingLeaf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.IntRange(0, 10).Draw(t, "budget")
		depth := rapid.IntRange(1, maxDepth).Draw(t, "depth")
		requests := rapid.IntRange(1, 300).Draw(t, "requests")
		throttles := make([]Throttle, depth+1)
		leaf, first := 0, 0
		var hop func(at, budget int) (bool, int)
		hop = func(at, budget int) (ran bool, unused int) {
			a := &AttemptTracker{RetriesLeft: budget, Idempotent: true}
			throttles[at].RecordFirstAttempt()
			if at == depth {
				first++
			}
			for {
				given := a.StartAttempt()
				if at < depth {
					// The server of this hop answers, with an error of its own.
					part := SplitRetries(given)
					_, left := hop(at+1, part)
					a.EndAttempt(given - part + left)
					return true, a.RetriesLeft
				}
				leaf++
				a.EndAttempt(given)
				if a.NextStep(&throttles[at], breaks.refusal(given)) == StepStop {
					return true, a.RetriesLeft
				}
			}
		}
		for range requests {
			hop(0, budget)
		}
		if got, want := float64(leaf), 1.1*float64(first)+1; got > want+1e-6 {
			t.Fatalf("got %v executions for %d first attempts, want at most %v", got, first, want)
		}
	})
}

func TestNextStep(t *testing.T) {
	tests := []struct {
		name       string
		refusal    *exchanger.Refusal
		idempotent bool
		budget     int
		want       Step
	}{
		{"shed", refusesLoad.refusal(0), false, 1, StepRetry},
		{"shed, no budget", refusesLoad.refusal(0), false, 0, StepStop},
		{"leaving, no budget", refusesLeaving.refusal(0), false, 0, StepReroute},
		{"broken", breaks.refusal(0), false, 1, StepStop},
		{"broken, idempotent", breaks.refusal(0), true, 1, StepRetry},
		{"late", exchanger.NotRun(504, exchanger.ReasonDeadline, ""), true, 1, StepStop},
		{"crash request", exchanger.NotRun(503, exchanger.ReasonCrashRequest, ""), true, 1, StepStop},
		{"key", exchanger.NotRun(401, exchanger.ReasonKeyUnknown, ""), true, 1, StepStop},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := &AttemptTracker{RetriesLeft: tt.budget, Idempotent: tt.idempotent}
			if got := a.NextStep(&Throttle{}, tt.refusal); got != tt.want {
				t.Errorf("got step %d, want %d", got, tt.want)
			}
		})
	}
}

func TestNotRunHoldsForAllAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &AttemptTracker{RetriesLeft: 9, Idempotent: true}
		mayHaveRun := false
		var last *exchanger.Refusal
		for range rapid.IntRange(1, 9).Draw(t, "attempts") {
			f := failure(rapid.IntRange(int(refusesLoad), int(failures)-1).Draw(t, "failure"))
			last = f.refusal(0)
			mayHaveRun = mayHaveRun || last.Ran != exchanger.RanNo
			if a.NextStep(&Throttle{saved: 9}, last) == StepStop {
				break
			}
		}
		if got := a.FinalRefusal(last).Ran; (got == exchanger.RanNo) == mayHaveRun {
			t.Fatalf("got ran %q, want it to tell that the request may have run: %v", got, mayHaveRun)
		}
	})
}

func TestSilentAttemptLeavesRetries(t *testing.T) {
	a := &AttemptTracker{RetriesLeft: 3, Idempotent: true}
	a.StartAttempt()
	a.EndAttempt(0)
	if got := a.NextStep(&Throttle{}, losesBudget.refusal(0)); got != StepRetry {
		t.Errorf("got step %d after silence, want %d", got, StepRetry)
	}
}

func TestReroutesAreBounded(t *testing.T) {
	a := &AttemptTracker{}
	got := 0
	for a.NextStep(&Throttle{}, refusesLeaving.refusal(0)) == StepReroute {
		got++
	}
	if got != maxReroutes {
		t.Errorf("got %d reroutes, want %d", got, maxReroutes)
	}
}
