package checker

import (
	"fmt"
	"net/http"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/recorder"
)

// change edits the parts of a pair.
type change func(c *recorder.Call, e *recorder.Execution)

func again(send string, start time.Time) recorder.History {
	return recorder.History{Executions: []recorder.Execution{execution(send, start)}}
}

func anonymous(open bool) change {
	return func(c *recorder.Call, e *recorder.Execution) {
		c.Customer, c.AllowAnonymous, e.Customer = "", open, ""
	}
}

func at(seconds float64) time.Time {
	return zero.Add(time.Duration(seconds * float64(time.Second)))
}

func coldRun(concurrency, bears int) recorder.History {
	return join(pair("c1#0", at(0.4), func(_ *recorder.Call, e *recorder.Execution) {
		e.State, e.Concurrency, e.CapacitySlots, e.StateSince = recorder.ServerStateCold, concurrency, bears, at(0)
	}))
}

func draining(after float64) recorder.History {
	return join(pair("c1#0", at(after), func(_ *recorder.Call, e *recorder.Execution) {
		e.State, e.StateSince = recorder.ServerStateDraining, at(0)
	}))
}

func event(o recorder.EventKind, name string, when time.Time) recorder.Event {
	return recorder.Event{Kind: o, At: when, Name: name}
}

func events(e ...recorder.Event) recorder.History {
	return recorder.History{Events: e}
}

func execution(send string, start time.Time) recorder.Execution {
	return recorder.Execution{
		Server: server, Service: service, Domain: domain, Incarnation: 1,
		AttemptID: send, ChainPath: send, Customer: tenant,
		Concurrency: 1, CapacitySlots: 9, State: recorder.ServerStateWarm,
		Start: start, Finish: start.Add(time.Millisecond), Outcome: recorder.ExecutionAnswered,
	}
}

// extra returns n requests of which some idempotent ones ran twice.
func extra(n, twice int) (h recorder.History) {
	for i := range n {
		send := fmt.Sprintf("c%d#0", i)
		one := pair(send, at(float64(i)), idempotent)
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

func keyed(send, idempotencyKey string, start time.Time) recorder.History {
	return pair(send, start, func(c *recorder.Call, e *recorder.Execution) {
		c.IdempotencyKey, e.IdempotencyKey = idempotencyKey, idempotencyKey
	})
}

// paced returns 10 requests a second, after a burst, at a rate of 10.
func paced(burst int) recorder.History {
	h := events(recorder.Event{Kind: recorder.EventRateLimitSet, At: at(0), Name: tenant, RatePerSecond: 10, BurstRequests: 10})
	for i := range burst + 30 {
		h = join(h, pair(fmt.Sprintf("c%d#0", i), at(max(0, float64(i+1-burst)*0.1)), nil))
	}
	return h
}

// pair returns a call with its execution, which nothing disturbed.
func pair(send string, start time.Time, edit change) recorder.History {
	e := execution(send, start)
	c := recorder.Call{
		AttemptID: send, ChainPath: send, Customer: tenant, KeyLabel: key, Node: server, Service: service,
		Start: start, Finish: e.Finish, Outcome: recorder.CallAnswered, Status: http.StatusOK,
		AnswerComplete: true, AnswerChainPath: send,
	}
	if edit != nil {
		edit(&c, &e)
	}
	return recorder.History{Calls: []recorder.Call{c}, Executions: []recorder.Execution{e}}
}

func refused(send string, ran exchanger.Ran, executed bool) recorder.History {
	h := pair(send, at(0), func(c *recorder.Call, _ *recorder.Execution) {
		c.Outcome, c.Ran, c.Reason = recorder.CallRefused, ran, exchanger.ReasonOverload
		c.Status = http.StatusServiceUnavailable
	})
	if !executed {
		h.Executions = nil
	}
	return h
}

// repeated returns an idempotent request that ran n times.
func repeated(n int) recorder.History {
	h := pair("c1#0", at(0), idempotent)
	for range n - 1 {
		h.Executions = append(h.Executions, h.Executions[0])
	}
	return h
}

// replay answers a keyed request with what was written for another send.
func replay(answered string) change {
	return func(c *recorder.Call, e *recorder.Execution) {
		c.IdempotencyKey, e.IdempotencyKey, c.AnswerChainPath = "k", "k", answered
	}
}

// seenVersions returns a node that is seen three times, the last time long
// after version 5 was accepted.
func seenVersions(first, second, last uint64) recorder.History {
	seen := func(version uint64, when time.Time) recorder.Event {
		return recorder.Event{Kind: recorder.EventConfigInForce, Name: server, ConfigVersion: version, At: when}
	}
	accepted := recorder.Event{Kind: recorder.EventConfigAccepted, ConfigVersion: 5, At: at(2)}
	return events(seen(first, at(0)), seen(second, at(1)), accepted, seen(last, at(14)))
}

// shed returns high requests, some of them shed, beside a low one.
func shed(shedHigh, servedHigh int) (h recorder.History) {
	for i := range shedHigh {
		one := refused(fmt.Sprintf("s%d#0", i), exchanger.RanNo, false)
		one.Calls[0].Priority = exchanger.PriorityHigh
		h = join(h, one)
	}
	for i := range servedHigh {
		h = join(h, pair(fmt.Sprintf("c%d#0", i), at(0), func(c *recorder.Call, _ *recorder.Execution) {
			c.Priority = exchanger.PriorityHigh
		}))
	}
	return join(h, pair("low#0", at(0), func(c *recorder.Call, _ *recorder.Execution) {
		c.Priority = exchanger.PriorityLow
	}))
}

// stopped returns a call with that outcome while its node stops.
func stopped(o recorder.CallOutcome) recorder.History {
	h := pair("c1#0", at(0), func(c *recorder.Call, _ *recorder.Execution) { c.Outcome = o })
	return join(h, events(event(recorder.EventNodeStopRequested, server, at(0)), event(recorder.EventNodeStopped, server, at(1))))
}
