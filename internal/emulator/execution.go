package emulator

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/recorder"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

// requestExecution is the execution of one request by a backend server.
type requestExecution struct {
	server *BackendServer
	// incarnationContext ends when the incarnation crashes or closes.
	incarnationContext context.Context
	slots              chan struct{}
	request            *http.Request
	body               []byte
	chainPath          string
	// serial is unique for each execution.
	serial      int
	slotTakenAt time.Time
}

var (
	errCanceled = errors.New("caller canceled the request")
	errCrashed  = errors.New("server crashed")
	errFailed   = errors.New("server failed")
	errLate     = errors.New("deadline passed")
)

// execute accepts or refuses a request, runs it and writes the answer.
func (b *BackendServer) execute(w http.ResponseWriter, r *http.Request, body []byte) {
	start := time.Now()
	b.mu.Lock()
	a := b.model.arrive(start)
	incarnationContext, slots := b.incarnationContext, b.slots
	b.mu.Unlock()
	ticket := b.config.Recorder.StartExecution(b.newExecution(r, body, a, start))
	if a.refused {
		b.config.Recorder.FinishExecution(ticket, recorder.ExecutionRefused, time.Now(), 0)
		w.Header().Set("Retry-After", "1")
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	x := &requestExecution{
		server: b, incarnationContext: incarnationContext, slots: slots, request: r, body: body,
		chainPath: r.Header.Get(HeaderChainPath), serial: b.config.Recorder.NextSerial(),
	}
	err := x.execute()
	x.finish(a.incarnation)
	end := x.answer(w, err)
	var work time.Duration
	if !x.slotTakenAt.IsZero() {
		work = time.Since(x.slotTakenAt)
	}
	b.config.Recorder.FinishExecution(ticket, end, time.Now(), work)
	if end == recorder.ExecutionCrashed {
		panic(http.ErrAbortHandler)
	}
}

func (b *BackendServer) newExecution(r *http.Request, body []byte, a admission, start time.Time) recorder.Execution {
	return recorder.Execution{
		Server:            b.config.Name,
		Service:           b.config.Service,
		Domain:            b.config.Domain,
		Incarnation:       a.incarnation,
		AttemptID:         r.Header.Get(HeaderAttempt),
		ChainPath:         r.Header.Get(HeaderChainPath),
		Customer:          r.Header.Get(headerCustomer),
		RequestID:         r.Header.Get(headerRequest),
		IdempotencyKey:    r.Header.Get(headerIdempotency),
		Idempotent:        r.Method == http.MethodGet,
		BodyDigest:        Digest(body),
		ContainsCallerKey: b.config.Recorder.ContainsSecret(r, body),
		Concurrency:       a.concurrency,
		CapacitySlots:     a.capacity,
		State:             a.state,
		StateSince:        a.stateSince,
		Start:             start,
	}
}

// answer writes the answer and returns how the execution ended.
func (x *requestExecution) answer(w http.ResponseWriter, err error) recorder.ExecutionOutcome {
	var failed *downstreamError
	switch {
	case err == nil:
		_, _ = w.Write(EncodeAnswer(x.chainPath, x.body, x.server.config.AnswerBytes))
		return recorder.ExecutionAnswered
	case errors.Is(err, errCrashed):
		return recorder.ExecutionCrashed
	case errors.Is(err, errCanceled):
		return recorder.ExecutionCanceled
	case errors.Is(err, errLate):
		http.Error(w, "deadline passed", http.StatusGatewayTimeout)
		return recorder.ExecutionDeadlineExceeded
	case errors.As(err, &failed):
		http.Error(w, err.Error(), failed.statusForCaller())
		return recorder.ExecutionFailed
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return recorder.ExecutionFailed
	}
}

// execute waits for a slot, works for the service time and makes the calls to
// other services.
func (x *requestExecution) execute() error {
	ctx, cancel := x.newContext()
	defer cancel(nil)
	select {
	case x.slots <- struct{}{}:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	defer func() { <-x.slots }()
	x.slotTakenAt = time.Now()
	if strings.HasPrefix(string(x.body), CrashBodyPrefix) {
		x.server.Crash()
		return errCrashed
	}
	x.server.mu.Lock()
	serviceTime, fails := x.server.model.nextServiceTime()
	x.server.mu.Unlock()
	if !timekeeper.Sleep(ctx, serviceTime) {
		return context.Cause(ctx)
	}
	if fails {
		return errFailed
	}
	return x.callDownstreams(ctx)
}

// newContext returns a context that ends when the incarnation ends. Unless the
// config ignores them, it also ends when the caller cancels the request or the
// deadline passes.
func (x *requestExecution) newContext() (ctx context.Context, cancel context.CancelCauseFunc) {
	ctx, cancel = context.WithCancelCause(context.WithoutCancel(x.request.Context()))
	context.AfterFunc(x.incarnationContext, func() { cancel(errCrashed) })
	if !x.server.config.IgnoreCancellation {
		context.AfterFunc(x.request.Context(), func() { cancel(errCanceled) })
	}
	if timeout, found := timeoutFromHeader(x.request.Header); found && !x.server.config.IgnoreDeadline {
		timer := time.AfterFunc(timeout, func() { cancel(errLate) })
		context.AfterFunc(ctx, func() { timer.Stop() })
	}
	return ctx, cancel
}

// finish removes the request from the requests in flight, unless the
// incarnation that counted it has ended.
func (x *requestExecution) finish(incarnation int) {
	x.server.mu.Lock()
	defer x.server.mu.Unlock()
	if x.server.model.incarnation == incarnation {
		x.server.model.finishRequest()
	}
}

// downstreamCalls returns the calls that the request makes.
func (x *requestExecution) downstreamCalls() []DownstreamCall {
	depth, err := strconv.Atoi(x.request.Header.Get(HeaderSelfCallDepth))
	var calls []DownstreamCall
	if err == nil && depth > 0 {
		calls = append(calls, DownstreamCall{Service: x.server.config.Service, Method: x.request.Method, Path: x.request.URL.Path})
	}
	for _, d := range x.server.config.DownstreamCalls {
		if d.OnPath == "" || d.OnPath == x.request.URL.Path {
			calls = append(calls, d)
		}
	}
	return calls
}
