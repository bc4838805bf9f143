package recorder

import (
	"strings"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
)

// How an execution at a backend server ended.
const (
	// EndRunning says that it has not ended yet.
	ExecutionRunning ExecutionOutcome = ""
	// EndAnswered says that the server wrote a whole answer of success.
	ExecutionAnswered ExecutionOutcome = "answered"
	// EndCanceled says that the sender went away first.
	ExecutionCanceled ExecutionOutcome = "canceled"
	// EndCrashed says that the server died meanwhile.
	ExecutionCrashed ExecutionOutcome = "crashed"
	// EndFailed says that the server answered with an error.
	ExecutionFailed ExecutionOutcome = "failed"
	// EndLate says that the deadline passed first.
	ExecutionDeadlineExceeded ExecutionOutcome = "late"
	// EndRejected says that the server itself shed the request unexecuted.
	ExecutionRefused ExecutionOutcome = "rejected"
)

// How a call ended for its caller.
const (
	// OutcomeAnswered says that an answer of a backend server came to its
	// end.
	CallAnswered CallOutcome = "answered"
	// OutcomeCut says that the connection broke after the request was sent.
	CallConnectionLost CallOutcome = "cut"
	// OutcomeRefused says that the system refused.
	CallRefused CallOutcome = "refused"
	// OutcomeTimeout says that the caller gave up.
	CallTimedOut CallOutcome = "timeout"
	// OutcomeUnreachable says that no connection came about.
	CallUnreachable CallOutcome = "unreachable"
)

// The states of a backend server.
const (
	ServerStateCold     ServerState = "cold"
	ServerStateDraining ServerState = "draining"
	ServerStateWarm     ServerState = "warm"
)

// The operations.
const (
	// OperationAccepted says that the log accepted configuration Version.
	EventConfigAccepted EventKind = "accepted"
	// OperationCold says that server Name turned cold without warning.
	EventServerCold EventKind = "cold"
	// OperationDomainIn brings failure domain Name back.
	EventDomainInService EventKind = "domain in"
	// OperationDomainOut takes failure domain Name out.
	EventDomainOutOfService EventKind = "domain out"
	// OperationFault and OperationFaultEnd bound a time in which the log or
	// some nodes could not be reached, or a node was paused.
	EventFaultStart EventKind = "fault"
	EventFaultEnd   EventKind = "fault end"
	// OperationInForce says that node Name was seen with Version in force.
	EventConfigInForce EventKind = "in force"
	// OperationKeyIssued issues key Name.
	EventKeyIssued EventKind = "key issued"
	// OperationKeyWithdrawn withdraws key Name.
	EventKeyWithdrawn EventKind = "key withdrawn"
	// OperationLimit sets the Rate and Burst of customer Name.
	EventRateLimitSet EventKind = "limit"
	// OperationServerDrain says that server Name began to drain by itself.
	EventServerDraining EventKind = "server drain"
	// OperationServerIn brings server Name back.
	EventServerInService EventKind = "server in"
	// OperationServerOut takes server Name out.
	EventServerOutOfService EventKind = "server out"
	// OperationStart says that node Name's process started.
	EventNodeStarted EventKind = "start"
	// OperationStop asks node Name for a planned stop.
	EventNodeStopRequested EventKind = "stop"
	// OperationStopped says that node Name's process ended by itself.
	EventNodeStopped EventKind = "stopped"
)

type (
	// Call is one request of a caller, or of a backend server that calls a
	// further service, and what came back.
	Call struct {
		// Send is unique for each request sent.
		AttemptID string
		// Chain is the place in the call chain: the Send of the request at
		// its root, then the index of each hop. It is Send at the root.
		ChainPath string
		// Customer owns the key that was sent; empty without a valid key.
		Customer string
		// Key labels the key that was sent; empty without one.
		KeyLabel string
		// Node is the name of the node that took the request.
		Node string
		// Service is the called service.
		Service string
		// Open tells that the route asks for no key.
		AllowAnonymous bool
		// Idempotent tells that running the request twice does no harm.
		Idempotent bool
		// IdempotencyKey is the Idempotency-Key; empty without one.
		IdempotencyKey string
		// Priority is that of the route.
		Priority exchanger.Priority
		// Deadline is when the answer is of no more use.
		Deadline time.Time
		// Start is when the request was sent.
		Start time.Time
		// Finish is when the call ended.
		Finish time.Time
		// Outcome tells how it ended.
		Outcome CallOutcome
		// Status is the HTTP status code; 0 without an answer.
		Status int
		// Ran and Reason are those of a refusal.
		Ran    exchanger.Ran
		Reason exchanger.Reason
		// RetryAfter is the advice of a refusal; 0 without one.
		RetryAfter time.Duration
		// Whole tells that the answer passed its check of length and digest.
		// It counts only for an answer of success.
		AnswerComplete bool
		// Answered is the Chain that the answer says it is for.
		AnswerChainPath string
	}

	// End tells how an execution ended.
	ExecutionOutcome string

	// Event is an operation and when it took effect or was asked for.
	Event struct {
		// Operation tells what was done.
		Kind EventKind
		// At is when.
		At time.Time
		// Name is the failure domain, server, node, key or customer.
		Name string
		// Version is that of a configuration.
		ConfigVersion uint64
		// Rate is in requests a second and Burst in requests.
		RatePerSecond, BurstRequests float64
	}

	// Execution is one run of a request at a backend server.
	Execution struct {
		// Server, Service and Domain tell where it ran.
		Server, Service, Domain string
		// Incarnation counts the starts of the server's process.
		Incarnation int
		// Send and Chain are those of the call.
		AttemptID, ChainPath string
		// Customer is the one that the server was told.
		Customer string
		// Request is the identifier that the server was told.
		RequestID string
		// IdempotencyKey is the one that the server was told.
		IdempotencyKey string
		// Idempotent tells that running the request twice does no harm.
		Idempotent bool
		// Digest is the SHA-256 digest of the body.
		BodyDigest string
		// KeySeen tells that a caller's key was in the header, the query or
		// the body.
		ContainsCallerKey bool
		// Concurrency is the number of requests in the server, this one
		// included, when it came.
		Concurrency int
		// Bears is the number of requests that the server bore then.
		CapacitySlots int
		// State is the server's state then.
		State ServerState
		// Since is when the server took on that state.
		StateSince time.Time
		// Start is when the request came.
		Start time.Time
		// Finish is when it left; zero while it runs.
		Finish time.Time
		// End tells how it ended.
		Outcome ExecutionOutcome
		// Work is the time for which it held a slot.
		SlotTime time.Duration
	}

	// History is what was recorded.
	History struct {
		// Calls are in the order in which they ended.
		Calls []Call
		// Events are in the order in which they were recorded.
		Events []Event
		// Executions are in the order in which they began.
		Executions []Execution
	}

	// Operation names what was done to the system.
	EventKind string

	// Outcome tells how a call ended.
	CallOutcome string

	// State is the condition of a backend server.
	ServerState string
)

// Root returns the Send of the request at the root of a chain.
func RootAttemptID(chain string) string {
	root, _, _ := strings.Cut(chain, "/")
	return root
}

// Logical returns the name that all the sends of one request at the root
// share.
func LogicalRequest(chain string) string {
	logical, _, _ := strings.Cut(RootAttemptID(chain), "#")
	return logical
}

// IsRoot tells whether the place in a chain is its root.
func IsRoot(chain string) bool {
	return !strings.Contains(chain, "/")
}
