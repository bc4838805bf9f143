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

// slowFactor is how many times the usual time a request must have run for its
// timeout to tell of an overload rather than of a hasty caller.
const slowFactor = 2

type (
	// visit is the way of one request through the guard.
	visit struct {
		guard   *guard
		request *exchanger.Request
		number  uint64

		call    *issuer.Call
		pass    *gatekeeper.Permit
		started time.Time
		token   string
		once    sync.Once
	}

	// visitBody ends the visit when the answer is read or dropped.
	visitBody struct {
		io.ReadCloser
		visit  *visit
		status int
		// err is the first error of a read, io.EOF when the answer is whole.
		err error
	}
)

// run waits for the request's turn and sends it. On a refusal the visit has
// ended.
func (v *visit) run(ctx context.Context) (*exchanger.Answer, *exchanger.Refusal) {
	g, r := v.guard, v.request
	pass, refusal := g.gate.Acquire(ctx, gatekeeper.Request{
		LatencyClass: r.Route,
		Customer:     r.Customer,
		Priority:     r.Priority,
		Depth:        r.Depth,
		Deadline:     r.Deadline,
	})
	if refusal == nil {
		refusal = v.admit(ctx, pass)
	}
	if refusal != nil {
		g.running.Add(-1)
		refusal.UnusedRetries = r.RetriesLeft
		return nil, refusal
	}
	v.pass = pass
	v.started = g.node.edges.Clock.Now()
	v.token, v.call = g.node.issuer.Issue(r)
	answer, err := g.node.edges.Backend.Send(ctx, r, v.token)
	if err != nil {
		refusal = exchanger.AsRefusal(err)
		refusal.UnusedRetries = v.call.Budget()
		v.end(v.judgeRefusal(refusal), refusal)
		return nil, refusal
	}
	if answer.Status >= http.StatusInternalServerError && v.call.Failed() {
		answer.Header.Set(exchanger.HeaderRetry, exchanger.RetryNo)
	}
	answer.ServerNode = g.node.self.Name
	answer.UnusedRetries = v.call.Budget
	answer.Body = &visitBody{ReadCloser: answer.Body, visit: v, status: answer.Status}
	return answer, nil
}

// admit checks, now that the request could run, that it is still allowed to:
// it may have waited for long.
func (v *visit) admit(ctx context.Context, pass *gatekeeper.Permit) *exchanger.Refusal {
	g := v.guard
	err := g.check(g.node.index.Load(), v.request)
	if err == nil {
		err = g.suspects.start(ctx, v.number, v.request)
	}
	if err == nil {
		return nil
	}
	pass.Release(limiter.OutcomeIgnored, 0)
	return exchanger.AsRefusal(err)
}

// end gives everything back, once. refusal is nil after a whole answer.
func (v *visit) end(o limiter.Outcome, refusal *exchanger.Refusal) {
	v.once.Do(func() {
		g := v.guard
		g.node.issuer.Revoke(v.token)
		v.pass.Release(o, v.call.Waited(g.node.edges.Clock.Now()))
		g.suspects.end(v.number, refusal)
		g.running.Add(-1)
	})
}

// judgeAnswer returns what a whole answer says about the server's load. A
// failure of a further service is no sign of this one's.
func (v *visit) judgeAnswer(status int) limiter.Outcome {
	switch status {
	case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if v.call.Failed() {
			return limiter.OutcomeIgnored
		}
		return limiter.OutcomeOverload
	case http.StatusInternalServerError:
		return limiter.OutcomeIgnored
	default:
		return limiter.OutcomeSuccess
	}
}

// judgeRefusal returns what a refusal says about the server's load.
func (v *visit) judgeRefusal(r *exchanger.Refusal) limiter.Outcome {
	switch r.Reason {
	case exchanger.ReasonBroken, exchanger.ReasonUnreachable, exchanger.ReasonSilent:
		return limiter.OutcomeOverload
	case exchanger.ReasonDeadline:
		now := v.guard.node.edges.Clock.Now()
		own := now.Sub(v.started) - v.call.Waited(now)
		if usual := v.guard.gate.Stats().MeanServiceTime; own >= slowFactor*usual {
			return limiter.OutcomeOverload
		}
		return limiter.OutcomeIgnored
	default:
		return limiter.OutcomeIgnored
	}
}

// Close ends the visit. An answer that was not read to its end tells nothing
// about the server.
func (b *visitBody) Close() error {
	err := b.ReadCloser.Close()
	b.finish()
	return err
}

// Read reads the body.
func (b *visitBody) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	if err != nil && b.err == nil {
		b.err = err
	}
	if errors.Is(err, io.EOF) {
		b.finish()
	}
	return n, err
}

func (b *visitBody) finish() {
	switch {
	case b.err == nil:
		canceled := exchanger.Unknown(http.StatusBadGateway, exchanger.ReasonCanceled, "the answer was not read")
		b.visit.end(limiter.OutcomeIgnored, canceled)
	case errors.Is(b.err, io.EOF):
		b.visit.end(b.visit.judgeAnswer(b.status), nil)
	default:
		refusal := exchanger.AsRefusal(b.err)
		b.visit.end(b.visit.judgeRefusal(refusal), refusal)
	}
}
