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

// run is one request inside a backend server.
type run struct {
	server *BackendServer
	// life ends when the incarnation dies.
	life    context.Context
	slots   chan struct{}
	request *http.Request
	body    []byte
	chain   string
	// serial is unique for each execution.
	serial int
	held   time.Time
}

var (
	errCanceled = errors.New("sender went away")
	errCrashed  = errors.New("server crashed")
	errFailed   = errors.New("server failed")
	errLate     = errors.New("deadline passed")
)

// execute takes a request in, works on it and answers.
func (b *BackendServer) execute(w http.ResponseWriter, r *http.Request, body []byte) {
	start := time.Now()
	b.mu.Lock()
	a := b.condition.arrive(start)
	life, slots := b.life, b.slots
	b.mu.Unlock()
	ticket := b.config.Recorder.StartExecution(b.execution(r, body, a, start))
	if a.refused {
		b.config.Recorder.FinishExecution(ticket, recorder.ExecutionRefused, time.Now(), 0)
		w.Header().Set("Retry-After", "1")
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	x := &run{
		server: b, life: life, slots: slots, request: r, body: body,
		chain: r.Header.Get(HeaderChain), serial: b.config.Recorder.NextSerial(),
	}
	err := x.do()
	x.leave(a.incarnation)
	end := x.answer(w, err)
	var work time.Duration
	if !x.held.IsZero() {
		work = time.Since(x.held)
	}
	b.config.Recorder.FinishExecution(ticket, end, time.Now(), work)
	if end == recorder.ExecutionCrashed {
		panic(http.ErrAbortHandler)
	}
}

func (b *BackendServer) execution(r *http.Request, body []byte, a admission, start time.Time) recorder.Execution {
	return recorder.Execution{
		Server:            b.config.Name,
		Service:           b.config.Service,
		Domain:            b.config.Domain,
		Incarnation:       a.incarnation,
		AttemptID:         r.Header.Get(HeaderSend),
		ChainPath:         r.Header.Get(HeaderChain),
		Customer:          r.Header.Get(headerCustomer),
		RequestID:         r.Header.Get(headerRequest),
		IdempotencyKey:    r.Header.Get(headerIdempotency),
		Idempotent:        r.Method == http.MethodGet,
		BodyDigest:        Digest(body),
		ContainsCallerKey: b.config.Recorder.ContainsSecret(r, body),
		Concurrency:       a.concurrency,
		CapacitySlots:     a.bears,
		State:             a.state,
		StateSince:        a.since,
		Start:             start,
	}
}

// answer writes the outcome and returns how the execution ended.
func (x *run) answer(w http.ResponseWriter, err error) recorder.ExecutionOutcome {
	var failed *downstreamError
	switch {
	case err == nil:
		_, _ = w.Write(EncodeAnswer(x.chain, x.body, x.server.config.Answer))
		return recorder.ExecutionAnswered
	case errors.Is(err, errCrashed):
		return recorder.ExecutionCrashed
	case errors.Is(err, errCanceled):
		return recorder.ExecutionCanceled
	case errors.Is(err, errLate):
		http.Error(w, "deadline passed", http.StatusGatewayTimeout)
		return recorder.ExecutionDeadlineExceeded
	case errors.As(err, &failed):
		http.Error(w, err.Error(), failed.answerStatus())
		return recorder.ExecutionFailed
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return recorder.ExecutionFailed
	}
}

// do waits for a slot, works and makes the calls to further services.
func (x *run) do() error {
	ctx, cancel := x.context()
	defer cancel(nil)
	select {
	case x.slots <- struct{}{}:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	defer func() { <-x.slots }()
	x.held = time.Now()
	if strings.HasPrefix(string(x.body), CrashBody) {
		x.server.Crash()
		return errCrashed
	}
	x.server.mu.Lock()
	work, fails := x.server.condition.work()
	x.server.mu.Unlock()
	if !timekeeper.Sleep(ctx, work) {
		return context.Cause(ctx)
	}
	if fails {
		return errFailed
	}
	return x.call(ctx)
}

// context ends when the server heeds that the sender went away, the deadline
// passed or the incarnation died.
func (x *run) context() (ctx context.Context, cancel context.CancelCauseFunc) {
	ctx, cancel = context.WithCancelCause(context.WithoutCancel(x.request.Context()))
	context.AfterFunc(x.life, func() { cancel(errCrashed) })
	if !x.server.config.IgnoreCancel {
		context.AfterFunc(x.request.Context(), func() { cancel(errCanceled) })
	}
	if timeout, found := timeoutOf(x.request.Header); found && !x.server.config.IgnoreDeadline {
		timer := time.AfterFunc(timeout, func() { cancel(errLate) })
		context.AfterFunc(ctx, func() { timer.Stop() })
	}
	return ctx, cancel
}

// leave frees the place, unless the incarnation that counted it is gone.
func (x *run) leave(incarnation int) {
	x.server.mu.Lock()
	defer x.server.mu.Unlock()
	if x.server.condition.incarnation == incarnation {
		x.server.condition.leave()
	}
}

// calls returns the calls that the request makes.
func (x *run) calls() []Downstream {
	hops, err := strconv.Atoi(x.request.Header.Get(HeaderHops))
	var calls []Downstream
	if err == nil && hops > 0 {
		calls = append(calls, Downstream{Service: x.server.config.Service, Method: x.request.Method, Path: x.request.URL.Path})
	}
	for _, d := range x.server.config.Calls {
		if d.On == "" || d.On == x.request.URL.Path {
			calls = append(calls, d)
		}
	}
	return calls
}
