package emulator

import (
	"time"

	"github.com/flamingotack/flamingotack/internal/recorder"
)

const (
	// HealthPath is where a backend server tells its health and load.
	HealthPath = "/-/health"
	// CrashBody is the start of a request body that crashes the server.
	CrashBodyPrefix = "crash"

	// HeaderChain names the request's place in the call chain.
	HeaderChain = "Emulator-Chain"
	// HeaderHops asks the server to call its own service so many times deep.
	HeaderSelfCallDepth = "Emulator-Hops"
	// HeaderSend names one send of a request.
	HeaderAttempt = "Emulator-Send"

	// The header fields that a node sets.
	headerCustomer    = "Flamingotack-Customer"
	headerIdempotency = "Idempotency-Key"
	headerRequest     = "Flamingotack-Request"
	headerTimeout     = "Flamingotack-Timeout"
	headerToken       = "Flamingotack-Token"

	coldServicesToWarm = 20
	connectTime        = time.Millisecond
	defaultAnswer      = 256
	defaultFall        = time.Second
	defaultWarmUp      = 2 * time.Second
	fallOver           = 1.5
)

type (
	// BackendConfig describes a backend server.
	BackendConfig struct {
		// Name, Service and Domain tell which server it is.
		Name, Service, Domain string
		// Address is where it listens, an IP number with a port; port 0
		// takes a free one. Default: 127.0.0.1:0.
		Address string
		// Egress is the address at which its node takes its calls to further
		// services. Default: none, so it calls none.
		EgressAddress string
		// Slots is the number of requests that it works on at once, at least
		// 1.
		Slots int
		// Connections is the number of connections that it accepts at once;
		// it closes further ones. Default: no limit.
		MaxConnections int
		// Queue is the number of requests that may wait for a slot; it
		// answers 503 to further ones. Default: as many as Slots.
		QueueCapacity int
		// Time is the median of its own work on a request.
		MedianServiceTime time.Duration
		// Spread is the standard deviation of the logarithm of that work.
		// Default: 0, always the same.
		ServiceTimeLogStdDev float64
		// ColdSlots is the number of requests that it bears at once while
		// cold. Default: a tenth of Slots, at least 1.
		ColdSlots int
		// ColdFactor multiplies the work while it is cold. Default: 1.
		ColdSlowdown float64
		// WarmUp is how long it stays cold once it works. Default: 2 s.
		WarmupTime time.Duration
		// Fall is how long it answers only errors after it was pushed past
		// what it bears while cold. Default: 1 s.
		CollapseTime time.Duration
		// StartWarm makes the first incarnation start warm.
		StartWarm bool
		// Restart is how long it stays away after a crash. Default: 0.
		RestartDelay time.Duration
		// Answer is the length of its answers, in bytes. Default: 256.
		AnswerBytes int
		// Calls are the further services that each request calls after its
		// own work, one after the other.
		DownstreamCalls []DownstreamCall
		// Retries is how often the server itself repeats a failed call.
		MaxRetries int
		// IgnoreDeadline makes it work on when the deadline has passed.
		IgnoreDeadline bool
		// IgnoreCancel makes it work on when the sender has gone.
		IgnoreCancellation bool
		// Seed makes its work times repeatable.
		Seed uint64
		// Recorder keeps what it runs. It is never nil.
		Recorder *recorder.Recorder
	}

	// Downstream is a call to a further service.
	DownstreamCall struct {
		// Service is the called service.
		Service string
		// Method is the HTTP method. GET is idempotent, all else is not.
		Method string
		// Path is the path below the service, with its leading slash.
		Path string
		// On is the path of the requests that make the call. Default: all.
		OnPath string
	}
)

func (c *BackendConfig) fill() {
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
		c.WarmupTime = defaultWarmUp
	}
	if c.CollapseTime == 0 {
		c.CollapseTime = defaultFall
	}
	if c.AnswerBytes == 0 {
		c.AnswerBytes = defaultAnswer
	}
}
