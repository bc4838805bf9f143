package exchanger

import (
	"context"
	"net/http"
	"time"
)

type (
	// Call is a request on its way between nodes, with its whole body.
	Call struct {
		// ID is the caller's name for this attempt. Never empty.
		ID string
		// Service is the wanted service.
		Service string
		// Route is the name of the matched route.
		Route string
		// Method is the HTTP method.
		Method string
		// Target is the request target as it came: path and query.
		Target string
		// Host is the host that the caller asked for.
		Host string
		// Header holds the end-to-end header fields without any key and
		// without the fields that nodes set themselves.
		Header http.Header
		// Body is the whole body.
		Body []byte
		// Customer is the name of the customer; empty on an open route
		// without a key.
		Customer string
		// Caller is the service beside the node where the call began.
		CallerService string
		// Priority decides who is shed first.
		Priority Priority
		// Deadline is when the answer is of no more use.
		Deadline time.Time
		// Objective is when the answer is late; not after Deadline. Only the
		// node where the chain begins knows it.
		ObjectiveDeadline time.Time
		// Inner tells that a run on a backend server waits for this call.
		Nested bool
		// Moved tells that another node was full.
		RejectedByFullNode bool
		// Repeatable tells that running the call twice does no harm.
		Idempotent bool
	}

	// CallHandler takes a call one filter further. Exactly one of reply and
	// refusal is not nil.
	CallHandler interface {
		HandleCall(ctx context.Context, c *Call) (reply *Reply, refusal *Refusal)
	}

	// Dialect holds the names of the header fields that nodes read and write.
	HeaderNames struct {
		// Attempt names one attempt of a caller; backend servers return it.
		AttemptID string
		// Caller is the service where a request began.
		CallerService string
		// Customer is the customer for whom a request runs.
		Customer string
		// Deadline is the time left, in milliseconds.
		Deadline string
		// Expected is the backend server that shall run a request.
		ExpectedInstance string
		// Instance is the backend server that answers a health check.
		Instance string
		// NotRun says that a backend server has not run the request.
		NotExecuted string
		// Seal is on each whole answer of a backend server.
		ServerSeal string
		// Warmup is how long a backend server stays cold, in milliseconds.
		Warmup string
	}

	// Reply is the whole answer of a backend server.
	Reply struct {
		// Status is the HTTP status code.
		Status int
		// Header holds the end-to-end header fields.
		Header http.Header
		// Body is the whole body.
		Body []byte
		// Server is the name of the backend server's node.
		ServerNode string
	}
)
