package exchanger

import (
	"context"
	"net/http"
	"time"
)

type (
	// Call is a request that passes between nodes, with its complete body.
	Call struct {
		// ID is the ID that the caller gave to this attempt. Never empty.
		ID string
		// Service is the requested service.
		Service string
		// Route is the name of the matched route.
		Route string
		// Method is the HTTP method.
		Method string
		// Target is the request target as received: path and query.
		Target string
		// Host is the host that the caller requested.
		Host string
		// Header holds the end-to-end header fields without any key and
		// without the fields that nodes set themselves.
		Header http.Header
		// Body is the complete body.
		Body []byte
		// Customer is the name of the customer; empty for anonymous requests.
		Customer string
		// ChainCustomer is the customer of the chain's first call; empty if that call is
		// anonymous or not known.
		ChainCustomer string
		// ChainKnown reports whether the chain's first call is known, so that Priority,
		// RoutePriority and ChainCustomer are those of that call.
		ChainKnown bool
		// CallerService is the service of the node where the call started.
		CallerService string
		// Priority decides which calls are shed first.
		Priority Priority
		// RoutePriority is the priority of the route. It decides between calls of equal
		// Priority, which may be that of the customer.
		RoutePriority Priority
		// Deadline is the time after which the answer is of no use.
		Deadline time.Time
		// CallerDeadline is the time until which the caller waits for an answer, also to
		// an attempt that it makes after a refusal; not before Deadline. Only the node
		// where the chain starts knows it.
		CallerDeadline time.Time
		// ObjectiveDeadline is the time after which the answer is late; not after
		// Deadline. Only the node where the chain starts knows it.
		ObjectiveDeadline time.Time
		// Nested reports whether a run on a backend server waits for this call.
		Nested bool
		// RefusedByFullNode reports whether another node refused the call because
		// of its load.
		RefusedByFullNode bool
		// Idempotent reports whether running the call twice does no harm.
		Idempotent bool
	}

	// CallHandler handles a call. Exactly one of reply and refusal is not nil.
	CallHandler interface {
		HandleCall(ctx context.Context, c *Call) (reply *Reply, refusal *Refusal)
	}

	// HeaderNames holds the names of the header fields that nodes read and write.
	HeaderNames struct {
		// AttemptID carries the ID of a caller's attempt; backend servers return it.
		AttemptID string
		// CallerService carries the service where a request started.
		CallerService string
		// Customer carries the customer that a request runs for.
		Customer string
		// Deadline carries the time left until the deadline, in milliseconds.
		Deadline string
		// ExpectedInstance carries the instance that must run a request.
		ExpectedInstance string
		// Instance carries the instance that answers a health check.
		Instance string
		// NotExecuted marks an answer of a backend server that has not run the
		// request.
		NotExecuted string
		// ServerLoad carries the load of a backend server: the numbers of its running and
		// waiting requests and of its slots, and where it knows that the time that work
		// takes at the moment, in percent of the usual time.
		ServerLoad string
		// ServerSeal marks each complete answer of a backend server.
		ServerSeal string
		// Warmup carries the time for which a backend server stays cold, in
		// milliseconds.
		Warmup string
	}

	// Reply is the complete answer of a backend server.
	Reply struct {
		// Status is the HTTP status code.
		Status int
		// Header holds the end-to-end header fields.
		Header http.Header
		// Body is the complete body.
		Body []byte
		// ServerNode is the name of the backend server's node.
		ServerNode string
	}
)
