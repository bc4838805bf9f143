package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/router"
)

const (
	// localMargin is how long after a call's deadline the answer of the own
	// backend server may come.
	localMargin = 20 * time.Millisecond
	// leastLeft is the time that must be left for a repeat to be of use.
	leastLeft = 20 * time.Millisecond
)

// trip is the way of one call through its attempts.
type trip struct {
	forwarder *Forwarder
	call      *exchanger.Call
	// attempts is the number of backend servers that may still get the call.
	attempts int
	tried    []string
	// unknown is the first refusal after which the call may have run.
	unknown      *exchanger.Refusal
	closed, full int
}

func (t *trip) run(ctx context.Context) (*exchanger.Reply, *exchanger.Refusal) {
	for {
		reply, refusal := t.attempt(ctx)
		if refusal == nil {
			return reply, nil
		}
		if !t.again(ctx, refusal) {
			return nil, t.final(refusal)
		}
		t.forwarder.Logger.LogDecision(logger.Decision{
			Request:  t.call.ID,
			Route:    t.call.Route,
			Service:  t.call.Service,
			Node:     t.tried[len(t.tried)-1],
			Outcome:  "Tries another node.",
			Reason:   string(refusal.Reason),
			Ran:      string(refusal.Ran),
			Detail:   refusal.Detail,
			TimeLeft: t.call.Deadline.Sub(t.forwarder.Clock.Now()),
		})
	}
}

// again reports whether to make another attempt after a refusal.
func (t *trip) again(ctx context.Context, r *exchanger.Refusal) bool {
	left := t.call.Deadline.Sub(t.forwarder.Clock.Now())
	if ctx.Err() != nil || left < leastLeft || r.Reason == exchanger.ReasonNoServer {
		return false
	}
	if r.Ran != exchanger.RanNo {
		if t.unknown == nil {
			t.unknown = r
		}
		t.attempts--
		broken := r.Reason == exchanger.ReasonBroken || r.Reason == exchanger.ReasonSilent
		return broken && t.call.Repeatable && t.attempts > 0 && t.forwarder.spend(ctx, t.call)
	}
	if turnedAway(r) {
		t.closed++
		return t.closed <= maxClosed
	}
	if full(r) {
		t.full++
		t.call.Moved = true
		if r.Reason == exchanger.ReasonServerFull {
			t.attempts--
			return t.full <= maxFull && t.attempts > 0 && t.forwarder.spend(ctx, t.call)
		}
		return t.full <= maxFull
	}
	return false
}

// attempt sends the call to one node.
func (t *trip) attempt(ctx context.Context) (*exchanger.Reply, *exchanger.Refusal) {
	if ctx.Err() != nil {
		return nil, exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonCanceled, "the caller went away")
	}
	m, found := t.forwarder.pick(t.call, t.tried)
	if !found {
		return nil, noServer(t.call.Service)
	}
	if len(t.tried) > 0 {
		t.forwarder.Repeats.Add(1)
	}
	t.tried = append(t.tried, m.Name)
	started := t.forwarder.Clock.Now()
	reply, refusal := t.forwarder.send(ctx, m, t.call)
	if refusal == nil && !t.call.Inner && reply.Status < http.StatusInternalServerError {
		t.forwarder.learn(t.call.Route, t.forwarder.Clock.Now().Sub(started))
	}
	t.forwarder.end(m.Name, outcome(refusal))
	return reply, refusal
}

// final returns the refusal to pass on after the last one: what may have run in
// any attempt is not called not run because another attempt did not.
func (t *trip) final(last *exchanger.Refusal) *exchanger.Refusal {
	if last.Ran == exchanger.RanNo && t.unknown != nil {
		return t.unknown
	}
	final := *last
	if final.Ran == exchanger.RanNo {
		least := fullRetry
		if turnedAway(last) || last.Reason == exchanger.ReasonNoServer {
			least = closedRetry
		}
		t.forwarder.mu.Lock()
		defer t.forwarder.mu.Unlock()
		final.RetryAfter = t.forwarder.spread(least)
	}
	return &final
}

func outcome(r *exchanger.Refusal) router.Outcome {
	switch {
	case r == nil, r.Ran == exchanger.RanNo && r.Reason != exchanger.ReasonUnreachable:
		return router.OutcomeAnswered
	case r.Reason == exchanger.ReasonBroken:
		return router.OutcomeBroken
	case r.Reason == exchanger.ReasonSilent, r.Reason == exchanger.ReasonUnreachable:
		return router.OutcomeSilent
	default:
		return router.OutcomeUnclear
	}
}
