// Package receiver takes requests over HTTP, from callers and from the backend
// server beside the node, and writes their answers.
package receiver

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/flamingotack/flamingotack/internal/authenticator"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/indexer"
	"github.com/flamingotack/flamingotack/internal/issuer"
	"github.com/flamingotack/flamingotack/internal/parser"
	"github.com/flamingotack/flamingotack/internal/relayer"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// MaxDepth is the greatest depth of a call chain.
	MaxDepth = 64

	copyBytes           = 32 << 10
	maxIdempotencyBytes = 255
)

type (
	// Outcome is how a request ended.
	Outcome struct {
		// Request is nil when the request was refused before its route was
		// known.
		Request *exchanger.Request
		// Refusal is nil for a request that was answered whole.
		Refusal *exchanger.Refusal
		// Status is the HTTP status that the caller got; 0 when the
		// connection was cut.
		Status int
		// Elapsed is the time from the request's arrival to its end.
		Elapsed time.Duration
	}

	// Receiver takes requests. Its fields are set before use.
	Receiver struct {
		// Body is the largest request body, in bytes.
		Body int64
		// Clock tells the time.
		Clock timekeeper.Clock
		// Draining tells that the node stops, so that callers should not use
		// their connections again. It is never nil.
		Draining func() bool
		// Handler is the first filter for admitted requests.
		Handler exchanger.Handler
		// Index returns the state in force; nil before the first.
		Index func() *indexer.Index
		// Issuer finds the calls that the backend server's calls belong to.
		Issuer *issuer.Issuer
		// Observe is told of each end of a request. It is never nil.
		Observe func(Outcome)
		// Running keeps the requests that have a key.
		Running *Running
	}

	// admission turns an HTTP request into a request of a customer or of a
	// running call.
	admission func(h *http.Request, x *indexer.Index, r *exchanger.Request, route parser.Route) (settle settlement, err error)

	// settlement ends an admitted request. unused is what is left of its
	// budget.
	settlement func(unused int, result issuer.Result)
)

// Caller returns the handler for callers.
func (v *Receiver) Caller() http.Handler {
	return v.handler(v.admitCaller)
}

// Egress returns the handler for the backend server beside the node.
func (v *Receiver) Egress() http.Handler {
	return v.handler(v.admitCall)
}

func (v *Receiver) handler(admit admission) http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = func(err error, c echo.Context) {
		if !c.Response().Committed {
			writeProblem(c.Response(), exchanger.AsRefusal(err))
		}
	}
	// The manifest routes, not echo's router, which knows the usual methods
	// only.
	e.Pre(func(echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			v.serve(c, admit)
			return nil
		}
	})
	return e
}

func (v *Receiver) serve(c echo.Context, admit admission) {
	started := v.Clock.Now()
	if v.Draining() {
		c.Response().Header().Set("Connection", "close")
	}
	r, status, err := v.exchange(c, admit, started)
	outcome := Outcome{Request: r, Status: status, Elapsed: v.Clock.Now().Sub(started)}
	if err != nil {
		outcome.Refusal = exchanger.AsRefusal(err)
	}
	if err != nil && !c.Response().Committed {
		writeProblem(c.Response(), outcome.Refusal)
		outcome.Status = outcome.Refusal.Status
	}
	v.Observe(outcome)
	if err != nil && status != 0 {
		// The caller has part of the answer; cutting the connection is the
		// only way to tell that it is not whole.
		panic(http.ErrAbortHandler)
	}
}

// exchange runs one request. status is 0 while nothing was written.
func (v *Receiver) exchange(c echo.Context, admit admission, started time.Time) (r *exchanger.Request, status int, err error) {
	x := v.Index()
	if x == nil || x.State.Manifest == nil {
		return nil, 0, exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonNotReady, "the node has no manifest yet")
	}
	r, route, err := v.read(c, x, started)
	if err != nil {
		return nil, 0, err
	}
	settle, err := admit(c.Request(), x, r, route)
	if err != nil {
		return r, 0, err
	}
	ctx, cancel := context.WithDeadline(c.Request().Context(), r.Deadline)
	defer cancel()
	defer v.Running.Add(r, cancel)()
	answer, err := v.Handler.Handle(ctx, r)
	if err != nil {
		settle(exchanger.AsRefusal(err).UnusedRetries, issuer.ResultFailure)
		return r, 0, err
	}
	defer answer.Body.Close()
	status, err = writeAnswer(c.Response(), answer)
	settle(answer.UnusedRetries(), result(answer, err))
	return r, status, err
}

// read checks the parts of the request that do not depend on who sends it.
func (v *Receiver) read(c echo.Context, x *indexer.Index, started time.Time) (r *exchanger.Request, route parser.Route, err error) {
	h := c.Request()
	name, path := splitPath(h.URL.Path)
	service := x.Service(name)
	if service == nil {
		return nil, route, exchanger.NotRun(http.StatusNotFound, exchanger.ReasonServiceUnknown, "service %q is unknown", name)
	}
	route, found := service.MatchRoute(h.Method, path)
	if !found {
		return nil, route, exchanger.NotRun(http.StatusNotFound, exchanger.ReasonRouteUnknown, "service %q has no route for %s %s", name, h.Method, path)
	}
	timeout, err := readTimeout(h.Header, route.Deadline.Std())
	if err != nil {
		return nil, route, err
	}
	key, err := readIdempotencyKey(h.Header)
	if err != nil {
		return nil, route, err
	}
	body, err := v.readBody(c)
	if err != nil {
		return nil, route, err
	}
	id := uuid.Must(uuid.NewV7())
	r = &exchanger.Request{
		ID:             id,
		RootID:         id,
		Service:        name,
		Route:          route.Path,
		Method:         h.Method,
		Path:           path,
		Query:          h.URL.RawQuery,
		Header:         exchanger.EndToEndHeader(h.Header),
		Body:           body,
		Priority:       *route.Priority,
		Deadline:       started.Add(timeout),
		RetriesLeft:    *service.Attempts,
		IdempotencyKey: key,
		Idempotent:     route.Idempotent,
	}
	r.Header.Del("Authorization")
	r.Header.Del(exchanger.HeaderIdempotencyKey)
	return r, route, nil
}

func (v *Receiver) readBody(c echo.Context) (body []byte, err error) {
	limited := http.MaxBytesReader(c.Response(), c.Request().Body, v.Body)
	body, err = io.ReadAll(limited)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, exchanger.NotRun(http.StatusRequestEntityTooLarge, exchanger.ReasonBodyTooLarge, "the body is larger than %d bytes", v.Body)
	}
	if err != nil {
		return nil, exchanger.NotRun(http.StatusBadRequest, exchanger.ReasonBroken, "the request's body broke off")
	}
	return body, nil
}

// admitCall lets a call of the backend server through under its call token.
func (v *Receiver) admitCall(h *http.Request, x *indexer.Index, r *exchanger.Request, _ parser.Route) (settle settlement, err error) {
	call := v.Issuer.Find(h.Header.Get(relayer.HeaderToken))
	if call == nil {
		return nil, exchanger.NotRun(http.StatusUnauthorized, exchanger.ReasonTokenUnknown, "the %s header names no running request", relayer.HeaderToken)
	}
	if call.Depth+1 >= MaxDepth {
		return nil, exchanger.NotRun(http.StatusLoopDetected, exchanger.ReasonDepth, "the call chain is deeper than %d", MaxDepth)
	}
	r.Customer = call.Customer
	r.KeyDigest = call.KeyDigest
	r.Priority = call.Priority
	r.Depth = call.Depth + 1
	r.RootID = call.RootID
	digest := issuer.DigestCall(r)
	if x.Service(r.Service).Policy == parser.PolicyFixed {
		// The baseline has no budgets: no call counts as a repeat.
		digest = issuer.CallDigest{Hi: binary.BigEndian.Uint64(r.ID[:8]), Lo: binary.BigEndian.Uint64(r.ID[8:])}
	}
	budget, repeated, allowed := call.StartCall(v.Clock.Now(), digest)
	if !allowed {
		return nil, exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonRetryBudget, "this call failed before and the call chain has no extra attempt left")
	}
	r.RetriesLeft = budget
	if repeated {
		r.AttemptNumber = 1
	}
	if call.Deadline.Before(r.Deadline) {
		r.Deadline = call.Deadline
	}
	return func(unused int, result issuer.Result) { call.EndCall(v.Clock.Now(), digest, unused, result) }, nil
}

// admitCaller lets a caller's request through under its key.
func (v *Receiver) admitCaller(h *http.Request, x *indexer.Index, r *exchanger.Request, route parser.Route) (settle settlement, err error) {
	key, err := authenticator.KeyFromHeader(h.Header)
	if err != nil {
		return nil, err
	}
	if err := authenticator.Authenticate(x, route, key, r); err != nil {
		return nil, err
	}
	return func(int, issuer.Result) {}, nil
}

func readIdempotencyKey(h http.Header) (key string, err error) {
	values := h.Values(exchanger.HeaderIdempotencyKey)
	if len(values) == 0 {
		return "", nil
	}
	key = textproto.TrimString(values[0])
	if len(values) > 1 || key == "" || len(key) > maxIdempotencyBytes {
		return "", exchanger.NotRun(http.StatusBadRequest, exchanger.ReasonHeaders,
			"the %s header is not one key of 1 to %d bytes", exchanger.HeaderIdempotencyKey, maxIdempotencyBytes)
	}
	return key, nil
}

// readTimeout returns the time that the caller grants, at most that of the
// route.
func readTimeout(h http.Header, limit time.Duration) (timeout time.Duration, err error) {
	values := h.Values(relayer.HeaderTimeout)
	if len(values) == 0 {
		return limit, nil
	}
	millis, err := strconv.ParseInt(values[0], 10, 32)
	if err != nil || millis <= 0 || len(values) > 1 {
		return 0, exchanger.NotRun(http.StatusBadRequest, exchanger.ReasonHeaders,
			"the %s header is not one number of milliseconds above 0", relayer.HeaderTimeout)
	}
	return min(limit, time.Duration(millis)*time.Millisecond), nil
}

// result returns how a call of the backend server ended.
func result(a *exchanger.Answer, err error) issuer.Result {
	switch {
	case a.Header.Get(exchanger.HeaderRetry) == exchanger.RetryNo:
		return issuer.ResultDownstreamFailure
	case err != nil || a.Status >= http.StatusInternalServerError:
		return issuer.ResultFailure
	default:
		return issuer.ResultSuccess
	}
}

func splitPath(full string) (service, path string) {
	service, path, _ = strings.Cut(strings.TrimPrefix(full, "/"), "/")
	return service, "/" + path
}
