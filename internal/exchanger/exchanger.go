// Package exchanger defines the requests, answers and refusals that pass through the
// handlers of a node, and their header fields and priorities.
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

// Execution states of a refused request.
const (
	// RanNo says that no byte of the request reached a backend server.
	RanNo Ran = "no"
	// RanUnknown says that a backend server may have run the request.
	RanUnknown Ran = "unknown"
)

// Reasons of a refusal. docs/CALLERS.md explains them to callers.
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
	ReasonMemory               Reason = "memory"
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
	// Answer is the answer of a backend server, with a body that is read as a stream.
	Answer struct {
		// Status is the HTTP status code.
		Status int
		// Header holds the end-to-end header fields.
		Header http.Header
		// Body ends with io.EOF only if the answer is complete. Any other error
		// means that it broke off. The receiver must close it.
		Body io.ReadCloser
		// ServerNode is the name of the backend server's node.
		ServerNode string
		// UnusedRetries returns the number of retries that the call and its nested
		// calls left unused. The result is valid only after the end of Body. It is
		// never nil.
		UnusedRetries func() int
	}

	// Handler handles a request. The error is a *Refusal, except after a
	// programming error.
	Handler interface {
		Handle(ctx context.Context, r *Request) (*Answer, error)
	}

	// HandlerFunc adapts a function to a Handler.
	HandlerFunc func(ctx context.Context, r *Request) (*Answer, error)

	// Ran says whether a refused request may have run.
	Ran string

	// Reason is the cause of a refusal, as a short machine-readable word.
	Reason string

	// Refusal is the error of a request that ends without an answer.
	Refusal struct {
		// Status is the HTTP status code, 400 to 599.
		Status int
		// Ran is RanNo only if no byte of the request was sent to a backend
		// server.
		Ran Ran
		// Reason is the cause of the refusal.
		Reason Reason
		// Detail is a human-readable explanation of the cause. It contains no key.
		Detail string
		// RetryAfter is how long the caller should wait before it retries; 0
		// gives no advice.
		RetryAfter time.Duration
		// UnusedRetries is the number of retries left unused.
		UnusedRetries int
		// LocalShortage says that memory is short on this node, so that an attempt on
		// another node meets the same shortage. It is not sent to other nodes.
		LocalShortage bool
	}

	// Request is a call that passes to a backend server.
	Request struct {
		// ID is unique for each call and the same for all its attempts.
		ID uuid.UUID
		// RootID is the ID of the call that started the chain; equal to ID for a
		// call from outside.
		RootID uuid.UUID
		// Service is the requested service.
		Service string
		// Route is the pattern of the matched route.
		Route string
		// Method is the HTTP method.
		Method string
		// Path is the path within the service, with its leading slash.
		Path string
		// Query is the encoded query without its question mark.
		Query string
		// Header holds the end-to-end header fields without any key or
		// token.
		Header http.Header
		// Body is the complete body.
		Body []byte
		// Customer is the name of the customer; empty for anonymous requests.
		Customer string
		// KeyDigest is the SHA-256 digest of the caller's key in lower-case
		// hexadecimal; empty if Customer is empty.
		KeyDigest string
		// Priority decides which requests are shed first.
		Priority Priority
		// Deadline is the time after which the answer is of no use.
		Deadline time.Time
		// Depth is 0 for a call from outside and increases by one with each hop.
		Depth int
		// RetriesLeft is the number of retries that this call and its nested calls
		// may still make together. Never negative.
		RetriesLeft int
		// AttemptNumber is 0 for the first attempt of this call.
		AttemptNumber int
		// IdempotencyKey is the value of the caller's Idempotency-Key header;
		// empty without one.
		IdempotencyKey string
		// Idempotent reports whether running the request twice does no harm.
		Idempotent bool
	}
)

// AsRefusal returns the Refusal in the chain of err. An error of another type becomes a
// refusal of a request that may have run.
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

// LocalMemoryShort returns the refusal of a request that may have run and whose answer was
// dropped because memory is short on this node.
func LocalMemoryShort(format string, args ...any) *Refusal {
	r := Unknown(http.StatusBadGateway, ReasonMemory, format, args...)
	r.LocalShortage = true
	return r
}

// Handle calls f.
func (f HandlerFunc) Handle(ctx context.Context, r *Request) (*Answer, error) {
	return f(ctx, r)
}

// Error returns the reason, the execution state and the detail of the refusal.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (ran: %s): %s", r.Reason, r.Ran, r.Detail)
}
