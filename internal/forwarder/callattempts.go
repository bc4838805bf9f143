package forwarder

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/router"
)

const (
	// localDeadlineMargin is how long after a call's deadline the local backend
	// server may still answer.
	localDeadlineMargin = 20 * time.Millisecond
	// minRetryTime is the time that must remain before the deadline for a retry.
	minRetryTime = 20 * time.Millisecond
)

// callAttempts runs one call, with retries on other nodes.
type callAttempts struct {
	forwarder *Forwarder
	call      *exchanger.Call
	// attemptsLeft is the number of backend servers that may still get the call.
	attemptsLeft int
	// tried holds the names of the nodes that the call was sent to.
	tried []string
	// firstUnknown is the first refusal after which the call may have run.
	firstUnknown *exchanger.Refusal
	// unavailableNodes and overloadedNodes count the nodes that refused the call, for
	// a reason other than load and because of their load.
	unavailableNodes, overloadedNodes int
}

func (a *callAttempts) run(ctx context.Context) (*exchanger.Reply, *exchanger.Refusal) {
	for {
		reply, refusal := a.attempt(ctx)
		if refusal == nil {
			return reply, nil
		}
		if !a.shouldRetry(ctx, refusal) {
			return nil, a.finalRefusal(refusal)
		}
		a.forwarder.Logger.LogDecision(logger.Decision{
			Request:  a.call.ID,
			Route:    a.call.Route,
			Service:  a.call.Service,
			Node:     a.tried[len(a.tried)-1],
			Outcome:  "attempt failed, retrying on another node",
			Reason:   string(refusal.Reason),
			Ran:      string(refusal.Ran),
			Detail:   refusal.Detail,
			TimeLeft: a.call.Deadline.Sub(a.forwarder.Clock.Now()),
		})
	}
}

// shouldRetry reports whether to make another attempt after a refusal.
func (a *callAttempts) shouldRetry(ctx context.Context, r *exchanger.Refusal) bool {
	left := a.call.Deadline.Sub(a.forwarder.Clock.Now())
	if ctx.Err() != nil || left < minRetryTime || r.Reason == exchanger.ReasonNoServer {
		return false
	}
	if r.Ran != exchanger.RanNo {
		if a.firstUnknown == nil {
			a.firstUnknown = r
		}
		a.attemptsLeft--
		return mayAnswerElsewhere(r) && a.call.Idempotent && a.attemptsLeft > 0 && a.forwarder.spendRetry(ctx, a.call)
	}
	if nodeUnavailable(r) {
		a.unavailableNodes++
		return a.unavailableNodes <= maxUnavailableNodes
	}
	if nodeOverloaded(r) {
		a.overloadedNodes++
		a.call.RefusedByFullNode = true
		if r.Reason == exchanger.ReasonServerFull {
			a.attemptsLeft--
			return a.overloadedNodes <= maxOverloadedNodes && a.attemptsLeft > 0 && a.forwarder.spendRetry(ctx, a.call)
		}
		return a.overloadedNodes <= maxOverloadedNodes
	}
	return false
}

// mayAnswerElsewhere reports whether another node may answer a call that may have run. If this
// node's memory is short, it can't receive the answer of any node.
func mayAnswerElsewhere(r *exchanger.Refusal) bool {
	switch r.Reason {
	case exchanger.ReasonBroken, exchanger.ReasonSilent:
		return true
	case exchanger.ReasonMemory:
		return !r.LocalShortage
	default:
		return false
	}
}

// attempt sends the call to one node.
func (a *callAttempts) attempt(ctx context.Context) (*exchanger.Reply, *exchanger.Refusal) {
	if ctx.Err() != nil {
		return nil, exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonCanceled, "the caller went away")
	}
	m, found := a.forwarder.pickNode(a.call, a.tried)
	if !found {
		return nil, noServerRefusal(a.call.Service)
	}
	if len(a.tried) > 0 {
		a.forwarder.Retries.Add(1)
	}
	a.tried = append(a.tried, m.Name)
	reply, refusal := a.forwarder.send(ctx, m, a.call)
	a.forwarder.recordOutcome(m.Name, outcome(refusal))
	return reply, refusal
}

// finalRefusal returns the refusal to pass on after the last attempt. If the call may
// have run in any attempt, the refusal says so even when the last attempt did not run.
func (a *callAttempts) finalRefusal(last *exchanger.Refusal) *exchanger.Refusal {
	if last.Ran == exchanger.RanNo && a.firstUnknown != nil {
		return a.firstUnknown
	}
	final := *last
	if final.Ran == exchanger.RanNo && final.Reason != exchanger.ReasonCrashRequest {
		minDelay := minOverloadRetryAfter
		if nodeUnavailable(last) || last.Reason == exchanger.ReasonNoServer {
			minDelay = minClosedRetryAfter
		}
		a.forwarder.mu.Lock()
		defer a.forwarder.mu.Unlock()
		final.RetryAfter = a.forwarder.retryAfter(minDelay)
		if nodeOverloaded(last) {
			delay := a.forwarder.returnDelay(a.call, a.call.Service, a.forwarder.Clock.Now())
			final.RetryAfter = cmp.Or(delay, final.RetryAfter)
		}
	}
	return &final
}

// outcome returns what an attempt says about its node. r is nil if the node answered.
func outcome(r *exchanger.Refusal) router.Outcome {
	switch {
	case r == nil, r.Ran == exchanger.RanNo && r.Reason != exchanger.ReasonUnreachable:
		return router.OutcomeAnswered
	case r.Reason == exchanger.ReasonBroken:
		return router.OutcomeBroken
	case r.Reason == exchanger.ReasonSilent, r.Reason == exchanger.ReasonUnreachable:
		return router.OutcomeUnresponsive
	default:
		return router.OutcomeInconclusive
	}
}
