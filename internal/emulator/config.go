package emulator

import (
	"time"

	"github.com/flamingotack/flamingotack/internal/recorder"
)

const (
	// HealthPath is the path at which a backend server reports its health and
	// load.
	HealthPath = "/-/health"
	// CrashBodyPrefix is the start of a request body that crashes the server.
	CrashBodyPrefix = "crash"

	// HeaderChainPath is the request's path in the call chain.
	HeaderChainPath = "Emulator-Chain"
	// HeaderSelfCallDepth is the number of nested calls that the server makes
	// to its own service.
	HeaderSelfCallDepth = "Emulator-Hops"
	// HeaderAttempt identifies one attempt of a request.
	HeaderAttempt = "Emulator-Send"

	// Header fields that a node sets.
	headerCustomer    = "Flamingotack-Customer"
	headerIdempotency = "Idempotency-Key"
	headerRequest     = "Flamingotack-Request"
	headerTimeout     = "Flamingotack-Timeout"
	headerToken       = "Flamingotack-Token"

	warmupRequestCount  = 20
	acceptInterval      = time.Millisecond
	defaultAnswerBytes  = 256
	defaultCollapseTime = time.Second
	defaultWarmupTime   = 2 * time.Second
	collapseFactor      = 1.5
)

type (
	// BackendConfig describes a backend server.
	BackendConfig struct {
		// Name, Service and Domain identify the server.
		Name, Service, Domain string
		// Address is the IP address and port to listen on. Port 0 selects a
		// free port. Default: 127.0.0.1:0.
		Address string
		// EgressAddress is the address at which the node accepts the server's
		// calls to other services. Default: none, the server makes no calls.
		EgressAddress string
		// Slots is the maximum number of requests that the server runs at once,
		// at least 1.
		Slots int
		// MaxConnections is the maximum number of open connections. The server
		// closes those above the limit. Default: 0, no limit.
		MaxConnections int
		// QueueCapacity is the maximum number of requests that wait for a slot.
		// The server answers 503 to those above the limit. Default: the number
		// of Slots.
		QueueCapacity int
		// MedianServiceTime is the median of a request's own service time.
		MedianServiceTime time.Duration
		// ServiceTimeLogStdDev is the standard deviation of the logarithm of
		// the service time. Default: 0, a constant service time.
		ServiceTimeLogStdDev float64
		// ColdSlots is the number of requests that the server can serve at
		// once when its cold start begins. Default: a tenth of Slots, at least
		// 1.
		ColdSlots int
		// ColdSlowdown is the factor on the service time while the server is
		// cold. Default: 1.
		ColdSlowdown float64
		// WarmupTime is the minimum duration of a cold start. Default: 2 s.
		WarmupTime time.Duration
		// CollapseTime is how long a cold server answers only errors after it
		// was overloaded. Default: 1 s.
		CollapseTime time.Duration
		// StartWarm makes the first incarnation start warm.
		StartWarm bool
		// RestartDelay is the delay between a crash and the restart. Default:
		// 0.
		RestartDelay time.Duration
		// AnswerBytes is the length of an answer in bytes. Default: 256.
		AnswerBytes int
		// DownstreamCalls are the calls that each request makes sequentially
		// after its own work.
		DownstreamCalls []DownstreamCall
		// MaxRetries is the number of retries that the server makes of a
		// failed call.
		MaxRetries int
		// IgnoreDeadline makes the server continue work after the deadline.
		IgnoreDeadline bool
		// IgnoreCancellation makes the server continue work after the caller
		// has canceled the request.
		IgnoreCancellation bool
		// Seed makes the service times reproducible.
		Seed uint64
		// Recorder records the executions and calls of the server. It must not
		// be nil.
		Recorder *recorder.Recorder
	}

	// DownstreamCall is a call to another service.
	DownstreamCall struct {
		// Service is the name of the called service.
		Service string
		// Method is the HTTP method. GET is idempotent, all others are not.
		Method string
		// Path is the path below the service, with a leading slash.
		Path string
		// OnPath is the path of the requests that make the call. Default: all
		// paths.
		OnPath string
	}
)

func (c *BackendConfig) setDefaults() {
	if c.Address == "" {
		c.Address = "127.0.0.1:0"
	}
	if c.QueueCapacity == 0 {
		c.QueueCapacity = c.Slots
	}
	if c.ColdSlots == 0 {
		c.ColdSlots = max(1, c.Slots/10)
	}
	if c.ColdSlowdown == 0 {
		c.ColdSlowdown = 1
	}
	if c.WarmupTime == 0 {
		c.WarmupTime = defaultWarmupTime
	}
	if c.CollapseTime == 0 {
		c.CollapseTime = defaultCollapseTime
	}
	if c.AnswerBytes == 0 {
		c.AnswerBytes = defaultAnswerBytes
	}
}
