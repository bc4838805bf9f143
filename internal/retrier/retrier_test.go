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
	// failure is the outcome of one attempt.
	failure int

	// callTree runs one request through a call tree in which any attempt may fail.
	callTree struct {
		nextFailure func() failure
		fanOut      int
		depth       int
		throttle    *Throttle
		// executions counts the executions of each place, by its path.
		executions map[string]int
	}
)

const (
	failureNone failure = iota
	failureOverload
	failureDraining
	failureBroken
	failureSilent
	failureCount
)

func TestMain(m *testing.M) {
	seeder.Run(m)
}

func (f failure) refusal(unused int) *exchanger.Refusal {
	switch f {
	case failureOverload:
		r := exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonOverload, "")
		r.UnusedRetries = unused
		return r
	case failureDraining:
		r := exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonDraining, "")
		r.UnusedRetries = unused
		return r
	case failureBroken:
		r := exchanger.Unknown(http.StatusBadGateway, exchanger.ReasonBroken, "")
		r.UnusedRetries = unused
		return r
	default:
		return exchanger.Unknown(http.StatusBadGateway, exchanger.ReasonSilent, "")
	}
}

// call makes one call as a node does and returns its unused retries.
func (c *callTree) call(place string, depth, retries int) (unused int) {
	a := &AttemptTracker{RetriesLeft: retries, Idempotent: true}
	c.throttle.RecordFirstAttempt()
	for {
		refusal, left := c.attempt(place, depth, a.StartAttempt())
		a.EndAttempt(left)
		if refusal == nil || a.NextStep(c.throttle, refusal) == StepStop {
			return a.RetriesLeft
		}
	}
}

// attempt runs the request on a backend server, which makes its nested calls in pairs.
func (c *callTree) attempt(place string, depth, retries int) (refusal *exchanger.Refusal, unused int) {
	f := c.nextFailure()
	if f == failureOverload || f == failureDraining {
		return f.refusal(retries), retries
	}
	c.executions[place]++
	if depth < c.depth {
		for child := 0; child < c.fanOut; child += 2 {
			first := SplitRetries(retries)
			retries -= first
			second := 0
			if child+1 < c.fanOut {
				second = SplitRetries(retries)
				retries -= second
			}
			retries += c.call(place+string(rune('a'+child)), depth+1, first)
			if child+1 < c.fanOut {
				retries += c.call(place+string(rune('b'+child)), depth+1, second)
			}
		}
	}
	if f == failureNone {
		return nil, retries
	}
	r := f.refusal(retries)
	return r, r.UnusedRetries
}

// TestExecutionsStayInBudget checks that no place of any call tree is executed more than
// once plus the retry budget.
func TestExecutionsStayInBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.IntRange(0, 8).Draw(t, "budget")
		fanOut := rapid.IntRange(1, 3).Draw(t, "fan-out")
		deepest := []int{maxDepth, 6, 4}[fanOut-1]
		failing := rapid.SliceOfN(rapid.IntRange(0, int(failureCount)-1), 1, 64).Draw(t, "failures")
		next := 0
		c := &callTree{
			nextFailure: func() failure {
				next++
				return failure(failing[next%len(failing)])
			},
			fanOut:     fanOut,
			depth:      rapid.IntRange(0, deepest).Draw(t, "depth"),
			throttle:   &Throttle{savedRetries: 1e9},
			executions: map[string]int{},
		}
		unused := c.call("", 0, budget)
		if unused < 0 || unused > budget {
			t.Fatalf("got %d unused retries, want 0 to %d", unused, budget)
		}
		for place, got := range c.executions {
			if got > 1+budget {
				t.Fatalf("place %q: got %d executions, want at most %d", place, got, 1+budget)
			}
		}
	})
}

// TestFullyFailingLeaf checks that the throttle bounds the executions of a last hop that
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
				lent := a.StartAttempt()
				if at < depth {
					// The server of this hop answers, with an error of its own.
					share := SplitRetries(lent)
					_, left := hop(at+1, share)
					a.EndAttempt(lent - share + left)
					return true, a.RetriesLeft
				}
				leaf++
				a.EndAttempt(lent)
				if a.NextStep(&throttles[at], failureBroken.refusal(lent)) == StepStop {
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
		retries    int
		want       Step
	}{
		{"overloaded", failureOverload.refusal(0), false, 1, StepRetry},
		{"overloaded, no retries left", failureOverload.refusal(0), false, 0, StepStop},
		{"draining, no retries left", failureDraining.refusal(0), false, 0, StepReroute},
		{"broken", failureBroken.refusal(0), false, 1, StepStop},
		{"broken, idempotent", failureBroken.refusal(0), true, 1, StepRetry},
		{"deadline passed", exchanger.NotRun(504, exchanger.ReasonDeadline, ""), true, 1, StepStop},
		{"crash request", exchanger.NotRun(503, exchanger.ReasonCrashRequest, ""), true, 1, StepStop},
		{"unknown key", exchanger.NotRun(401, exchanger.ReasonKeyUnknown, ""), true, 1, StepStop},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := &AttemptTracker{RetriesLeft: tt.retries, Idempotent: tt.idempotent}
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
			f := failure(rapid.IntRange(int(failureOverload), int(failureCount)-1).Draw(t, "failure"))
			last = f.refusal(0)
			mayHaveRun = mayHaveRun || last.Ran != exchanger.RanNo
			if a.NextStep(&Throttle{savedRetries: 9}, last) == StepStop {
				break
			}
		}
		if got := a.FinalRefusal(last).Ran; (got == exchanger.RanNo) == mayHaveRun {
			t.Fatalf("got ran %q, want it to report that the request may have run: %v", got, mayHaveRun)
		}
	})
}

func TestSilentAttemptLeavesRetries(t *testing.T) {
	a := &AttemptTracker{RetriesLeft: 3, Idempotent: true}
	a.StartAttempt()
	a.EndAttempt(0)
	if got := a.NextStep(&Throttle{}, failureSilent.refusal(0)); got != StepRetry {
		t.Errorf("got step %d after a silent attempt, want %d", got, StepRetry)
	}
}

func TestReroutesAreBounded(t *testing.T) {
	a := &AttemptTracker{}
	got := 0
	for a.NextStep(&Throttle{}, failureDraining.refusal(0)) == StepReroute {
		got++
	}
	if got != maxReroutes {
		t.Errorf("got %d reroutes, want %d", got, maxReroutes)
	}
}
