// Package receiver receives requests over HTTP from callers and from the node's
// local backend server, and writes the answers.
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
	// MaxCallDepth is the maximum number of requests in a call chain,
	// including the caller's.
	MaxCallDepth = 64

	copyBufferBytes = 32 << 10
	// stoppingRetryAfter is the Retry-After value of requests that end because the node stops.
	stoppingRetryAfter     = time.Second
	maxIdempotencyKeyBytes = 255
)

type (
	// Outcome describes how a request ended.
	Outcome struct {
		// Request is nil when the request was refused before its route was
		// known.
		Request *exchanger.Request
		// Refusal is nil when the request was answered completely.
		Refusal *exchanger.Refusal
		// Status is the HTTP status that was sent to the caller; 0 when none
		// was sent.
		Status int
		// Elapsed is the time from the request's arrival to its end.
		Elapsed time.Duration
	}

	// Receiver handles incoming HTTP requests. Set its fields before use.
	Receiver struct {
		// MaxBodyBytes is the maximum size of a request body.
		MaxBodyBytes int64
		// Clock provides the time.
		Clock timekeeper.Clock
		// Draining reports whether the node is stopping, so that callers
		// should not reuse their connections. It must not be nil.
		Draining func() bool
		// Handler is the first filter for admitted requests.
		Handler exchanger.Handler
		// Index returns the state in force, or nil before the first one.
		Index func() *indexer.Index
		// Issuer finds the running request to which a call of the backend
		// server belongs.
		Issuer *issuer.Issuer
		// OnOutcome is called when a request ends. It must not be nil.
		OnOutcome func(Outcome)
		// Running keeps the running requests.
		Running *RunningRequests
	}

	// admitFunc authorizes a request and sets its customer, from the
	// caller's key or from the running request that it belongs to.
	admitFunc func(h *http.Request, x *indexer.Index, r *exchanger.Request, route parser.Route) (settle settleFunc, err error)

	// settleFunc ends an admitted request. unusedRetries is the number of
	// retries left that neither the request nor its calls used.
	settleFunc func(unusedRetries int, result issuer.Result)
)

// CallerHandler returns the handler for requests from callers.
func (v *Receiver) CallerHandler() http.Handler {
	return v.handler(v.admitCaller)
}

// EgressHandler returns the handler for calls from the local backend server.
func (v *Receiver) EgressHandler() http.Handler {
	return v.handler(v.admitBackendCall)
}

func (v *Receiver) handler(admit admitFunc) http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = func(err error, c echo.Context) {
		if !c.Response().Committed {
			writeProblem(c.Response(), exchanger.AsRefusal(err))
		}
	}
	// The manifest defines the routes. Echo's router only supports standard
	// HTTP methods, so it is bypassed.
	e.Pre(func(echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			v.serve(c, admit)
			return nil
		}
	})
	return e
}

func (v *Receiver) serve(c echo.Context, admit admitFunc) {
	started := v.Clock.Now()
	if v.Draining() {
		c.Response().Header().Set("Connection", "close")
	}
	r, status, err := v.handle(c, admit, started)
	err = stopRefusal(c.Request().Context(), err)
	outcome := Outcome{Request: r, Status: status, Elapsed: v.Clock.Now().Sub(started)}
	if err != nil {
		outcome.Refusal = exchanger.AsRefusal(err)
	}
	if err != nil && !c.Response().Committed {
		writeProblem(c.Response(), outcome.Refusal)
		outcome.Status = outcome.Refusal.Status
	}
	v.OnOutcome(outcome)
	if err != nil && status != 0 {
		abortAnswer(c)
	}
}

// stopRefusal returns err, or the refusal of a request that did not run because the node stops.
func stopRefusal(ctx context.Context, err error) error {
	if err == nil || !exchanger.Stopping(ctx) || exchanger.AsRefusal(err).Ran != exchanger.RanNo {
		return err
	}
	refusal := exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonDraining, "the node stops")
	refusal.RetryAfter = stoppingRetryAfter
	return refusal
}

// handle runs one request. status is the HTTP status sent to the caller, or 0
// when nothing was written.
func (v *Receiver) handle(c echo.Context, admit admitFunc, started time.Time) (r *exchanger.Request, status int, err error) {
	x := v.Index()
	if x == nil || x.State.Manifest == nil {
		return nil, 0, exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonNotReady, "the node has no manifest yet")
	}
	r, route, err := v.parseRequest(c, x, started)
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
	settle(answer.UnusedRetries(), callResult(answer, err))
	return r, status, err
}

// parseRequest checks the parts of the request that do not depend on its
// sender.
func (v *Receiver) parseRequest(c echo.Context, x *indexer.Index, started time.Time) (r *exchanger.Request, route parser.Route, err error) {
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
	timeout, err := readTimeout(h.Header, route.Timeout.Std())
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
		RetriesLeft:    *service.MaxChainRetries,
		IdempotencyKey: key,
		Idempotent:     route.Idempotent,
	}
	r.Header.Del("Authorization")
	r.Header.Del(exchanger.HeaderIdempotencyKey)
	return r, route, nil
}

// readBody reads the body of a request. The read ends early when the node stops.
func (v *Receiver) readBody(c echo.Context) (body []byte, err error) {
	ctx := c.Request().Context()
	defer context.AfterFunc(ctx, func() {
		if exchanger.Stopping(ctx) {
			_ = http.NewResponseController(c.Response()).SetReadDeadline(time.Unix(1, 0))
		}
	})()
	limited := http.MaxBytesReader(c.Response(), c.Request().Body, v.MaxBodyBytes)
	body, err = io.ReadAll(limited)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, exchanger.NotRun(http.StatusRequestEntityTooLarge, exchanger.ReasonBodyTooLarge, "the body is larger than %d bytes", v.MaxBodyBytes)
	}
	if err != nil {
		return nil, exchanger.NotRun(http.StatusBadRequest, exchanger.ReasonBroken, "the request's body broke off")
	}
	return body, nil
}

// admitBackendCall admits a call of the backend server by its call token.
func (v *Receiver) admitBackendCall(h *http.Request, x *indexer.Index, r *exchanger.Request, _ parser.Route) (settle settleFunc, err error) {
	call := v.Issuer.Find(h.Header.Get(relayer.HeaderToken))
	if call == nil {
		return nil, exchanger.NotRun(http.StatusUnauthorized, exchanger.ReasonTokenUnknown, "the %s header names no running request", relayer.HeaderToken)
	}
	if call.Depth+1 >= MaxCallDepth {
		return nil, exchanger.NotRun(http.StatusLoopDetected, exchanger.ReasonDepth, "the call chain is deeper than %d", MaxCallDepth)
	}
	r.Customer = call.Customer
	r.KeyDigest = call.KeyDigest
	r.Priority = call.Priority
	r.Depth = call.Depth + 1
	r.RootID = call.RootID
	digest := issuer.DigestCall(r)
	if x.Service(r.Service).Policy == parser.PolicyFixed {
		// The fixed policy has no retry budgets, so a unique digest keeps
		// calls from counting as retries.
		digest = issuer.CallDigest{Hi: binary.BigEndian.Uint64(r.ID[:8]), Lo: binary.BigEndian.Uint64(r.ID[8:])}
	}
	retries, isRetry, allowed := call.StartCall(v.Clock.Now(), digest)
	if !allowed {
		return nil, exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonRetryBudget, "this call failed before and the call chain has no extra attempt left")
	}
	r.RetriesLeft = retries
	if isRetry {
		r.AttemptNumber = 1
	}
	if call.Deadline.Before(r.Deadline) {
		r.Deadline = call.Deadline
	}
	return func(unused int, result issuer.Result) { call.EndCall(v.Clock.Now(), digest, unused, result) }, nil
}

// admitCaller admits a caller's request by its API key.
func (v *Receiver) admitCaller(h *http.Request, x *indexer.Index, r *exchanger.Request, route parser.Route) (settle settleFunc, err error) {
	key, err := authenticator.KeyFromHeader(h.Header)
	if err != nil {
		return nil, err
	}
	if err := authenticator.Authenticate(x, route, key, r); err != nil {
		return nil, err
	}
	return func(int, issuer.Result) {}, nil
}

// readIdempotencyKey returns the idempotency key, or "" without one.
func readIdempotencyKey(h http.Header) (key string, err error) {
	values := h.Values(exchanger.HeaderIdempotencyKey)
	if len(values) == 0 {
		return "", nil
	}
	key = textproto.TrimString(values[0])
	if len(values) > 1 || key == "" || len(key) > maxIdempotencyKeyBytes {
		return "", exchanger.NotRun(http.StatusBadRequest, exchanger.ReasonHeaders,
			"the %s header is not one key of 1 to %d bytes", exchanger.HeaderIdempotencyKey, maxIdempotencyKeyBytes)
	}
	return key, nil
}

// readTimeout returns the timeout that the caller asks for, at most limit.
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

// callResult returns how a call of the backend server ended.
func callResult(a *exchanger.Answer, err error) issuer.Result {
	switch {
	case a.Header.Get(exchanger.HeaderRetry) == exchanger.RetryNo:
		return issuer.ResultDownstreamFailure
	case err != nil || a.Status >= http.StatusInternalServerError:
		return issuer.ResultFailure
	default:
		return issuer.ResultSuccess
	}
}

// splitPath splits a URL path into the service's name and the path below it.
func splitPath(full string) (service, path string) {
	service, path, _ = strings.Cut(strings.TrimPrefix(full, "/"), "/")
	return service, "/" + path
}
