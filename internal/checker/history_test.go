package checker

import (
	"fmt"
	"net/http"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/recorder"
)

// pairEdit modifies a call and its execution.
type pairEdit func(c *recorder.Call, e *recorder.Execution)

func extraExecution(attemptID string, start time.Time) recorder.History {
	return recorder.History{Executions: []recorder.Execution{newExecution(attemptID, start)}}
}

func withoutCustomer(open bool) pairEdit {
	return func(c *recorder.Call, e *recorder.Execution) {
		c.Customer, c.AllowAnonymous, e.Customer = "", open, ""
	}
}

func at(seconds float64) time.Time {
	return testStart.Add(time.Duration(seconds * float64(time.Second)))
}

func executionOnColdServer(concurrency, capacity int) recorder.History {
	return join(callWithExecution("c1#0", at(0.4), func(_ *recorder.Call, e *recorder.Execution) {
		e.State, e.Concurrency, e.CapacitySlots, e.StateSince = recorder.ServerStateCold, concurrency, capacity, at(0)
	}))
}

func executionOnDrainingServer(after float64) recorder.History {
	return join(callWithExecution("c1#0", at(after), func(_ *recorder.Call, e *recorder.Execution) {
		e.State, e.StateSince = recorder.ServerStateDraining, at(0)
	}))
}

func event(o recorder.EventKind, name string, when time.Time) recorder.Event {
	return recorder.Event{Kind: o, At: when, Name: name}
}

func events(e ...recorder.Event) recorder.History {
	return recorder.History{Events: e}
}

func newExecution(attemptID string, start time.Time) recorder.Execution {
	return recorder.Execution{
		Server: server, Service: service, Domain: domain, Incarnation: 1,
		AttemptID: attemptID, ChainPath: attemptID, Customer: customer,
		Concurrency: 1, CapacitySlots: 9, State: recorder.ServerStateWarm,
		Start: start, Finish: start.Add(time.Millisecond), Outcome: recorder.ExecutionAnswered,
	}
}

// someRunTwice returns n idempotent requests, some of which ran twice.
func someRunTwice(n, twice int) (h recorder.History) {
	for i := range n {
		send := fmt.Sprintf("c%d#0", i)
		one := callWithExecution(send, at(float64(i)), idempotent)
		if i < twice {
			one.Executions = append(one.Executions, one.Executions[0])
		}
		h = join(h, one)
	}
	return h
}

func idempotent(c *recorder.Call, e *recorder.Execution) {
	c.Idempotent, e.Idempotent = true, true
}

func join(parts ...recorder.History) (h recorder.History) {
	for _, p := range parts {
		h.Calls = append(h.Calls, p.Calls...)
		h.Events = append(h.Events, p.Events...)
		h.Executions = append(h.Executions, p.Executions...)
	}
	return h
}

func callWithIdempotencyKey(attemptID, idempotencyKey string, start time.Time) recorder.History {
	return callWithExecution(attemptID, start, func(c *recorder.Call, e *recorder.Execution) {
		c.IdempotencyKey, e.IdempotencyKey = idempotencyKey, idempotencyKey
	})
}

// requestsAfterBurst returns a burst followed by 10 requests per second, at a
// rate limit of 10 per second.
func requestsAfterBurst(burst int) recorder.History {
	h := events(recorder.Event{Kind: recorder.EventRateLimitSet, At: at(0), Name: customer, RatePerSecond: 10, BurstRequests: 10})
	for i := range burst + 30 {
		h = join(h, callWithExecution(fmt.Sprintf("c%d#0", i), at(max(0, float64(i+1-burst)*0.1)), nil))
	}
	return h
}

// callWithExecution returns an undisturbed call with its execution.
func callWithExecution(attemptID string, start time.Time, edit pairEdit) recorder.History {
	e := newExecution(attemptID, start)
	c := recorder.Call{
		AttemptID: attemptID, ChainPath: attemptID, Customer: customer, KeyLabel: key, Node: server, Service: service,
		Start: start, Finish: e.Finish, Outcome: recorder.CallAnswered, Status: http.StatusOK,
		AnswerComplete: true, AnswerChainPath: attemptID,
	}
	if edit != nil {
		edit(&c, &e)
	}
	return recorder.History{Calls: []recorder.Call{c}, Executions: []recorder.Execution{e}}
}

func refusedCall(attemptID string, ran exchanger.Ran, executed bool) recorder.History {
	h := callWithExecution(attemptID, at(0), func(c *recorder.Call, _ *recorder.Execution) {
		c.Outcome, c.Ran, c.Reason = recorder.CallRefused, ran, exchanger.ReasonOverload
		c.Status = http.StatusServiceUnavailable
	})
	if !executed {
		h.Executions = nil
	}
	return h
}

// requestRunTimes returns an idempotent request that ran n times.
func requestRunTimes(n int) recorder.History {
	h := callWithExecution("c1#0", at(0), idempotent)
	for range n - 1 {
		h.Executions = append(h.Executions, h.Executions[0])
	}
	return h
}

// replayedAnswer gives a request with an idempotency key the answer that was
// written for another attempt.
func replayedAnswer(answered string) pairEdit {
	return func(c *recorder.Call, e *recorder.Execution) {
		c.IdempotencyKey, e.IdempotencyKey, c.AnswerChainPath = "k", "k", answered
	}
}

// seenVersions returns three reports of a node's version, the last one long
// after version 5 was accepted.
func seenVersions(first, second, last uint64) recorder.History {
	seen := func(version uint64, when time.Time) recorder.Event {
		return recorder.Event{Kind: recorder.EventConfigInForce, Name: server, ConfigVersion: version, At: when}
	}
	accepted := recorder.Event{Kind: recorder.EventConfigAccepted, ConfigVersion: 5, At: at(2)}
	return events(seen(first, at(0)), seen(second, at(1)), accepted, seen(last, at(14)))
}

// shedHighPriority returns requests with high priority, some of them shed, and
// a served one with low priority.
func shedHighPriority(shedHigh, servedHigh int) (h recorder.History) {
	for i := range shedHigh {
		one := refusedCall(fmt.Sprintf("s%d#0", i), exchanger.RanNo, false)
		one.Calls[0].Priority = exchanger.PriorityHigh
		h = join(h, one)
	}
	for i := range servedHigh {
		h = join(h, callWithExecution(fmt.Sprintf("c%d#0", i), at(0), func(c *recorder.Call, _ *recorder.Execution) {
			c.Priority = exchanger.PriorityHigh
		}))
	}
	return join(h, callWithExecution("low#0", at(0), func(c *recorder.Call, _ *recorder.Execution) {
		c.Priority = exchanger.PriorityLow
	}))
}

// callDuringStop returns a call with the given outcome while its node stops.
func callDuringStop(o recorder.CallOutcome) recorder.History {
	h := callWithExecution("c1#0", at(0), func(c *recorder.Call, _ *recorder.Execution) { c.Outcome = o })
	return join(h, events(event(recorder.EventNodeStopRequested, server, at(0)), event(recorder.EventNodeStopped, server, at(1))))
}
