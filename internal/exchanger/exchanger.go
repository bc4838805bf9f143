// Package exchanger defines the request, the answer and the refusal that pass
// through the filters of a node.
package exchanger

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
)

// What a refusal says about the request's execution.
const (
	// RanNo says that no byte of the request reached a backend server.
	RanNo Ran = "no"
	// RanUnknown says that a backend server may have run the request.
	RanUnknown Ran = "unknown"
)

// The reasons for which a request is refused.
const (
	ReasonBodyTooLarge         Reason = "body-too-large"
	ReasonBroken               Reason = "broken"
	ReasonRetryBudget          Reason = "retry-budget"
	ReasonCanceled             Reason = "canceled"
	ReasonCold                 Reason = "cold"
	ReasonConflict             Reason = "conflict"
	ReasonCrashRequest         Reason = "crash-request"
	ReasonDeadline             Reason = "deadline"
	ReasonDepth                Reason = "depth"
	ReasonDraining             Reason = "draining"
	ReasonHeaders              Reason = "headers"
	ReasonKeyMissing           Reason = "key-missing"
	ReasonKeyUnknown           Reason = "key-unknown"
	ReasonIdempotencyKeyReused Reason = "idempotency-key-reused"
	ReasonNoServer             Reason = "no-server"
	ReasonNotReady             Reason = "not-ready"
	ReasonOutOfService         Reason = "out-of-service"
	ReasonOverload             Reason = "overload"
	ReasonRate                 Reason = "rate"
	ReasonReplayUnknown        Reason = "replay-unknown"
	ReasonRouteUnknown         Reason = "route-unknown"
	ReasonServerFull           Reason = "server-full"
	ReasonServiceUnknown       Reason = "service-unknown"
	ReasonSilent               Reason = "silent"
	ReasonStale                Reason = "stale"
	ReasonTokenUnknown         Reason = "token-unknown"
	ReasonUnreachable          Reason = "unreachable"
	ReasonVersionMismatch      Reason = "version"
)

type (
	// Answer is the reply of a backend server.
	Answer struct {
		// Status is the HTTP status code.
		Status int
		// Header holds the end-to-end header fields.
		Header http.Header
		// Body ends with io.EOF only when the answer is whole. Any other
		// error says that it broke off. The receiver closes it.
		Body io.ReadCloser
		// Server is the name of the backend server's node.
		ServerNode string
		// Unused returns the extra attempts that the subtree left over. It
		// holds only once Body has ended. It is never nil.
		UnusedRetries func() int
	}

	// Handler takes a request one filter further. The error is a *Refusal,
	// unless a programming error made it something else.
	Handler interface {
		Handle(ctx context.Context, r *Request) (*Answer, error)
	}

	// HandlerFunc is a function that serves as a Handler.
	HandlerFunc func(ctx context.Context, r *Request) (*Answer, error)

	// Ran says whether a refused request may have run.
	Ran string

	// Reason names the cause of a refusal in one word.
	Reason string

	// Refusal is the error that ends a request without an answer.
	Refusal struct {
		// Status is the HTTP status code, 400 to 599.
		Status int
		// Ran is RanNo only while no byte of the request has gone to a
		// backend server.
		Ran Ran
		// Reason is the cause.
		Reason Reason
		// Detail explains the cause to a person. It holds no key.
		Detail string
		// RetryAfter is how long the caller should wait before it sends the
		// request again; zero gives no advice.
		RetryAfter time.Duration
		// Unused is the number of extra attempts that were left over.
		UnusedRetries int
	}

	// Request is one call on its way to a backend server.
	Request struct {
		// ID is unique for each call and kept over its attempts.
		ID uuid.UUID
		// Root is the ID of the call that started the chain; the ID itself
		// for a call from outside.
		RootID uuid.UUID
		// Service is the wanted service.
		Service string
		// Route is the pattern of the matched route.
		Route string
		// Method is the HTTP method.
		Method string
		// Path is the path below the service, with its leading slash.
		Path string
		// Query is the encoded query without its question mark.
		Query string
		// Header holds the end-to-end header fields without any key or
		// token.
		Header http.Header
		// Body is the whole body.
		Body []byte
		// Customer is the name of the customer; empty on an open route
		// without a key.
		Customer string
		// KeyDigest is the SHA-256 digest of the caller's key in lower-case
		// hexadecimal; empty when Customer is.
		KeyDigest string
		// Priority decides who is shed first.
		Priority Priority
		// Deadline is when the answer is of no more use.
		Deadline time.Time
		// Depth is 0 for a call from outside and grows by one with each hop.
		Depth int
		// Budget is the number of extra attempts that this call and all
		// below it may still make together. Never negative.
		RetriesLeft int
		// Attempt is 0 for the first attempt of this call.
		AttemptNumber int
		// IdempotencyKey is the caller's Idempotency-Key; empty without one.
		IdempotencyKey string
		// Idempotent tells that running the request twice does no harm.
		Idempotent bool
	}
)

// AsRefusal returns err as a Refusal. An error of another type becomes one
// that promises nothing.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return &Refusal{
		Status: http.StatusBadGateway,
		Ran:    RanUnknown,
		Reason: ReasonBroken,
		Detail: "internal error",
	}
}

// NotRun returns a refusal of a request that has not run.
func NotRun(status int, reason Reason, format string, args ...any) *Refusal {
	return &Refusal{
		Status: status,
		Ran:    RanNo,
		Reason: reason,
		Detail: fmt.Sprintf(format, args...),
	}
}

// Unknown returns a refusal of a request that may have run.
func Unknown(status int, reason Reason, format string, args ...any) *Refusal {
	return &Refusal{
		Status: status,
		Ran:    RanUnknown,
		Reason: reason,
		Detail: fmt.Sprintf(format, args...),
	}
}

// Handle calls f.
func (f HandlerFunc) Handle(ctx context.Context, r *Request) (*Answer, error) {
	return f(ctx, r)
}

// Error describes the refusal.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (ran: %s): %s", r.Reason, r.Ran, r.Detail)
}
