package recorder

import (
	"strings"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
)

// Outcomes of an execution at a backend server.
const (
	// ExecutionRunning means that the execution has not ended.
	ExecutionRunning ExecutionOutcome = ""
	// ExecutionAnswered means that the server wrote a complete answer of
	// success.
	ExecutionAnswered ExecutionOutcome = "answered"
	// ExecutionCanceled means that the sender disconnected before the answer.
	ExecutionCanceled ExecutionOutcome = "canceled"
	// ExecutionCrashed means that the server crashed during the execution.
	ExecutionCrashed ExecutionOutcome = "crashed"
	// ExecutionFailed means that the server answered with an error.
	ExecutionFailed ExecutionOutcome = "failed"
	// ExecutionDeadlineExceeded means that the deadline passed before the
	// answer.
	ExecutionDeadlineExceeded ExecutionOutcome = "late"
	// ExecutionRefused means that the server itself refused the request and
	// did not run it.
	ExecutionRefused ExecutionOutcome = "rejected"
)

// Outcomes of a call, as its caller sees them.
const (
	// CallAnswered means that the caller read an answer of a backend server to
	// its end.
	CallAnswered CallOutcome = "answered"
	// CallConnectionLost means that the connection broke after the request was
	// sent.
	CallConnectionLost CallOutcome = "cut"
	// CallRefused means that the system refused the call.
	CallRefused CallOutcome = "refused"
	// CallTimedOut means that the caller's deadline passed first.
	CallTimedOut CallOutcome = "timeout"
	// CallUnreachable means that no connection was established.
	CallUnreachable CallOutcome = "unreachable"
)

// States of a backend server.
const (
	ServerStateCold     ServerState = "cold"
	ServerStateDraining ServerState = "draining"
	ServerStateWarm     ServerState = "warm"
)

// Kinds of events.
const (
	// EventConfigAccepted means that the log accepted configuration
	// ConfigVersion.
	EventConfigAccepted EventKind = "accepted"
	// EventServerCold means that server Name became cold without notice.
	EventServerCold EventKind = "cold"
	// EventDomainInService brings failure domain Name back into service.
	EventDomainInService EventKind = "domain in"
	// EventDomainOutOfService takes failure domain Name out of service.
	EventDomainOutOfService EventKind = "domain out"
	// EventFaultStart and EventFaultEnd enclose a period in which the log or
	// some nodes are unreachable, or a node is paused.
	EventFaultStart EventKind = "fault"
	EventFaultEnd   EventKind = "fault end"
	// EventConfigInForce means that node Name reports ConfigVersion in force.
	EventConfigInForce EventKind = "in force"
	// EventKeyIssued issues key Name.
	EventKeyIssued EventKind = "key issued"
	// EventKeyWithdrawn withdraws key Name.
	EventKeyWithdrawn EventKind = "key withdrawn"
	// EventRateLimitSet sets the rate and burst of customer Name.
	EventRateLimitSet EventKind = "limit"
	// EventServerDraining means that server Name started to drain by itself.
	EventServerDraining EventKind = "server drain"
	// EventServerInService brings server Name back into service.
	EventServerInService EventKind = "server in"
	// EventServerOutOfService takes server Name out of service.
	EventServerOutOfService EventKind = "server out"
	// EventNodeStarted means that the process of node Name started.
	EventNodeStarted EventKind = "start"
	// EventNodeStopRequested requests a planned stop of node Name.
	EventNodeStopRequested EventKind = "stop"
	// EventNodeStopped means that the process of node Name ended by itself.
	EventNodeStopped EventKind = "stopped"
)

type (
	// Call is one request of a caller, or of a backend server that calls
	// another service, with its outcome.
	Call struct {
		// AttemptID is unique for each request sent.
		AttemptID string
		// ChainPath is the position in the call chain: the AttemptID of the
		// request at the root, then the index of each hop, separated by
		// slashes. At the root it equals AttemptID.
		ChainPath string
		// Customer is the owner of the key that was sent; empty without a valid
		// key.
		Customer string
		// KeyLabel identifies the key that was sent; empty without one.
		KeyLabel string
		// Node is the name of the node that received the request.
		Node string
		// Service is the name of the called service.
		Service string
		// AllowAnonymous means that the route requires no key.
		AllowAnonymous bool
		// Idempotent means that running the request twice does no harm.
		Idempotent bool
		// IdempotencyKey is the Idempotency-Key header; empty without one.
		IdempotencyKey string
		// Priority is the priority of the route.
		Priority exchanger.Priority
		// Deadline is the time after which the caller ignores an answer.
		Deadline time.Time
		// Start is when the request was sent.
		Start time.Time
		// Finish is when the call ended.
		Finish time.Time
		// Outcome is how the call ended.
		Outcome CallOutcome
		// Status is the HTTP status code; 0 without an answer.
		Status int
		// Ran and Reason are the fields of a refusal.
		Ran    exchanger.Ran
		Reason exchanger.Reason
		// RetryAfter is the delay that a refusal advises; 0 without one.
		RetryAfter time.Duration
		// AnswerComplete means that the answer has the expected length and
		// digest. It is valid only for an answer of success.
		AnswerComplete bool
		// AnswerChainPath is the ChainPath in the answer, of the request that it
		// is for.
		AnswerChainPath string
	}

	// ExecutionOutcome is how an execution ended.
	ExecutionOutcome string

	// Event is an operation or a change of state, and when it took effect or
	// was requested.
	Event struct {
		// Kind is what happened.
		Kind EventKind
		// At is the time of the event.
		At time.Time
		// Name is the name of the failure domain, server, node, key or customer.
		Name string
		// ConfigVersion is the version of a configuration.
		ConfigVersion uint64
		// RatePerSecond and BurstRequests are the limits of a customer.
		RatePerSecond, BurstRequests float64
	}

	// Execution is one run of a request at a backend server.
	Execution struct {
		// Server, Service and Domain name the backend server, its service and
		// its failure domain.
		Server, Service, Domain string
		// Incarnation is the number of starts of the server's process.
		Incarnation int
		// AttemptID and ChainPath are those of the call.
		AttemptID, ChainPath string
		// Customer is the customer in the request that the server received.
		Customer string
		// RequestID is the identifier in the request that the server received.
		RequestID string
		// IdempotencyKey is the key in the request that the server received.
		IdempotencyKey string
		// Idempotent means that running the request twice does no harm.
		Idempotent bool
		// BodyDigest is the SHA-256 digest of the body.
		BodyDigest string
		// ContainsCallerKey means that a caller's key was in the header, the
		// query or the body.
		ContainsCallerKey bool
		// Concurrency is the number of requests in the server on arrival,
		// including this one.
		Concurrency int
		// CapacitySlots is the number of concurrent requests that the server
		// has capacity for on arrival.
		CapacitySlots int
		// State is the server's state on arrival.
		State ServerState
		// StateSince is when the server entered that state.
		StateSince time.Time
		// Start is when the request arrived.
		Start time.Time
		// Finish is when the execution ended; zero while it runs.
		Finish time.Time
		// Outcome is how the execution ended.
		Outcome ExecutionOutcome
		// SlotTime is how long the execution occupied a slot.
		SlotTime time.Duration
	}

	// History contains all recorded calls, events and executions.
	History struct {
		// Calls are in the order in which they ended.
		Calls []Call
		// Events are in the order in which they were recorded.
		Events []Event
		// Executions are in the order in which they started.
		Executions []Execution
	}

	// EventKind is the kind of an event.
	EventKind string

	// CallOutcome is how a call ended.
	CallOutcome string

	// ServerState is the state of a backend server.
	ServerState string
)

// RootAttemptID returns the AttemptID of the request at the root of a chain.
func RootAttemptID(chainPath string) string {
	root, _, _ := strings.Cut(chainPath, "/")
	return root
}

// LogicalRequest returns the name that all attempts of one request at the root
// of a chain share.
func LogicalRequest(chainPath string) string {
	request, _, _ := strings.Cut(RootAttemptID(chainPath), "#")
	return request
}

// IsRoot reports whether a position in a chain is its root.
func IsRoot(chainPath string) bool {
	return !strings.Contains(chainPath, "/")
}
