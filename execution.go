package flamingotack

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/gatekeeper"
	"github.com/flamingotack/flamingotack/internal/issuer"
	"github.com/flamingotack/flamingotack/internal/limiter"
)

// slowRequestFactor is the multiple of the mean service time that a request
// must have run for its timeout to indicate overload rather than a short
// deadline of the caller.
const slowRequestFactor = 2

type (
	// execution is one request on its way through the guard.
	execution struct {
		guard   *guard
		request *exchanger.Request
		id      uint64

		requestContext *issuer.RequestContext
		permit         *gatekeeper.Permit
		startedAt      time.Time
		token          string
		once           sync.Once
	}

	// executionBody ends the execution when the answer is read or dropped.
	executionBody struct {
		io.ReadCloser
		execution *execution
		status    int
		// err is the first error of Read, io.EOF if the answer is complete.
		err error
	}
)

// run waits for the request's turn and sends it. If it returns a refusal, the
// execution has ended.
func (e *execution) run(ctx context.Context) (*exchanger.Answer, *exchanger.Refusal) {
	g, r := e.guard, e.request
	permit, refusal := g.admissionQueue.Acquire(ctx, gatekeeper.Request{
		LatencyClass: r.Route,
		Customer:     r.Customer,
		Priority:     r.Priority,
		Depth:        r.Depth,
		Deadline:     r.Deadline,
	})
	if refusal == nil {
		refusal = e.recheck(ctx, permit)
	}
	if refusal != nil {
		g.running.Add(-1)
		refusal.UnusedRetries = r.RetriesLeft
		return nil, refusal
	}
	e.permit = permit
	e.startedAt = g.node.dependencies.Clock.Now()
	e.token, e.requestContext = g.node.issuer.Issue(r)
	answer, err := g.node.dependencies.Backend.Send(ctx, r, e.token)
	if err != nil {
		refusal = exchanger.AsRefusal(err)
		refusal.UnusedRetries = e.requestContext.RetriesLeft()
		e.end(e.classifyRefusal(refusal), refusal)
		return nil, refusal
	}
	if answer.Status >= http.StatusInternalServerError && e.requestContext.HasFailedCalls() {
		answer.Header.Set(exchanger.HeaderRetry, exchanger.RetryNo)
	}
	answer.ServerNode = g.node.self.Name
	answer.UnusedRetries = e.requestContext.RetriesLeft
	answer.Body = &executionBody{ReadCloser: answer.Body, execution: e, status: answer.Status}
	return answer, nil
}

// recheck checks again that the request may run, because it may have waited
// for a long time.
func (e *execution) recheck(ctx context.Context, permit *gatekeeper.Permit) *exchanger.Refusal {
	g := e.guard
	err := g.check(g.node.index.Load(), e.request)
	if err == nil {
		err = g.suspects.admit(ctx, e.id, e.request)
	}
	if err == nil {
		return nil
	}
	permit.Release(limiter.OutcomeIgnored, 0)
	return exchanger.AsRefusal(err)
}

// end releases everything that the request holds, once. refusal is nil after a
// complete answer.
func (e *execution) end(outcome limiter.Outcome, refusal *exchanger.Refusal) {
	e.once.Do(func() {
		g := e.guard
		g.node.issuer.Revoke(e.token)
		e.permit.Release(outcome, e.requestContext.DownstreamWait(g.node.dependencies.Clock.Now()))
		g.suspects.finish(e.id, refusal)
		g.running.Add(-1)
	})
}

// classifyAnswer returns what a complete answer says about the server's load.
// The failure of a downstream service does not indicate overload of this one.
func (e *execution) classifyAnswer(status int) limiter.Outcome {
	switch status {
	case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if e.requestContext.HasFailedCalls() {
			return limiter.OutcomeIgnored
		}
		return limiter.OutcomeOverload
	case http.StatusInternalServerError:
		return limiter.OutcomeIgnored
	default:
		return limiter.OutcomeSuccess
	}
}

// classifyRefusal returns what a refusal says about the server's load.
func (e *execution) classifyRefusal(r *exchanger.Refusal) limiter.Outcome {
	switch r.Reason {
	case exchanger.ReasonBroken, exchanger.ReasonUnreachable, exchanger.ReasonSilent:
		return limiter.OutcomeOverload
	case exchanger.ReasonDeadline:
		now := e.guard.node.dependencies.Clock.Now()
		serviceTime := now.Sub(e.startedAt) - e.requestContext.DownstreamWait(now)
		if mean := e.guard.admissionQueue.Stats().MeanServiceTime; serviceTime >= slowRequestFactor*mean {
			return limiter.OutcomeOverload
		}
		return limiter.OutcomeIgnored
	default:
		return limiter.OutcomeIgnored
	}
}

// Close ends the execution. An answer that was not read to its end says
// nothing about the server.
func (b *executionBody) Close() error {
	err := b.ReadCloser.Close()
	b.finish()
	return err
}

// Read reads the body.
func (b *executionBody) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	if err != nil && b.err == nil {
		b.err = err
	}
	if errors.Is(err, io.EOF) {
		b.finish()
	}
	return n, err
}

func (b *executionBody) finish() {
	switch {
	case b.err == nil:
		canceled := exchanger.Unknown(http.StatusBadGateway, exchanger.ReasonCanceled, "the answer was not read")
		b.execution.end(limiter.OutcomeIgnored, canceled)
	case errors.Is(b.err, io.EOF):
		b.execution.end(b.execution.classifyAnswer(b.status), nil)
	default:
		refusal := exchanger.AsRefusal(b.err)
		b.execution.end(b.execution.classifyRefusal(refusal), refusal)
	}
}
