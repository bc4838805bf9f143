// Package guardian is the only path from the node to its backend server. It alone
// decides on the server's limits and availability, so these decisions need no
// agreement between nodes.
package guardian

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingotack/flamingotack/internal/assessor"
	"github.com/flamingotack/flamingotack/internal/attributor"
	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/invoker"
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/suspecter"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

type (
	// Guardian queues calls for the backend server, sends them and tracks the
	// server's state. Its exported fields are set before use and are never nil.
	// Create it with New. It is safe for concurrent use.
	Guardian struct {
		Settings
		// CallsSent counts the calls that were sent to the backend server.
		CallsSent atomic.Int64
		// RestartSuspicions counts the times at which the backend server may have started
		// anew without a heartbeat that told it.
		RestartSuspicions atomic.Int64

		queue             *callQueue
		speed             speedMonitor
		suspects          *crashSuspects
		healthCheckNeeded chan struct{}

		mu     sync.Mutex
		server ServerState
		// evacuated reports whether the failure domain is out of service.
		evacuated bool
		stopping  bool
		// warmupRatePerSecond is the highest request rate of the server while it is cold,
		// from the newest configuration that has the service; 0 sets no limit.
		warmupRatePerSecond float64
		// state is stateOpen, or the reason for which the server is closed.
		state        string
		lastSequence uint64

		// rollout limits and counts the runs while a rollout of the service is known; nil
		// otherwise.
		rollout atomic.Pointer[rolloutLedger]
	}

	// LoadReport describes the load and the availability of a node's backend
	// server.
	LoadReport struct {
		// Sequence increases with each report of an incarnation of the node.
		Sequence uint64
		// Limit is the number of calls that may run concurrently.
		Limit int
		// Running and Queued are the numbers of calls that run and wait.
		Running, Queued int
		// OfferedSlots is the offered work as the number of slots that it would
		// occupy. CapacitySlots is the work that the server can handle in the same
		// unit; it can be below 1 for a cold server.
		OfferedSlots, CapacitySlots float64
		// WarmupRemaining is how long the server stays cold; 0 for a warm server.
		WarmupRemaining time.Duration
		// WarmSlots is CapacitySlots of the server once it is warm.
		WarmSlots float64
		// Failing reports whether many runs fail for a cause within the server.
		Failing bool
		// Closed reports whether the node accepts no new calls for its server.
		Closed bool
		// MeanServiceTime is the mean duration of a run.
		MeanServiceTime time.Duration
		// Version is the version of the server while a rollout of its service is known.
		Version string
		// WorkPercent is the time that work takes on the server's instance, in percent of
		// the usual time; 0 if the server does not report it. WorkAge is the age of that
		// figure.
		WorkPercent int
		WorkAge     time.Duration
		// OwnTime is the mean duration of a run without its calls at the usual speed of
		// the instance; 0 if it is not known.
		OwnTime time.Duration
	}

	// Settings holds the dependencies of a Guardian.
	Settings struct {
		// Backend sends calls to the backend server.
		Backend *invoker.Invoker
		// IsLeafRoute reports whether runs of a route are known to call no other
		// backend servers.
		IsLeafRoute func(route string) bool
		// OnChange is called when the server opens or closes and when it starts or
		// stops failing. It must not block.
		OnChange func()
		// OnSuspects is called with requests that other nodes must know to crash backend
		// servers, or to be harmless. It must not block.
		OnSuspects func([]suspecter.Suspect)
		// Clock supplies the current time.
		Clock timekeeper.Clock
		// HeaderNames holds the names of the header fields.
		HeaderNames exchanger.HeaderNames
		// Domain is the failure domain and Service the service of the
		// backend server. Node is the name of the node.
		Domain, Service, Node string
		// ServiceNodes returns the names of the nodes of the service, this one included.
		ServiceNodes func() []string
		// Logger receives state changes and failed calls.
		Logger *logger.Logger
		// OnRunEnd is called after each run on the server.
		OnRunEnd func(attributor.Summary)
		// Runs keeps the runs in progress.
		Runs *attributor.Attributor
		// Table returns the configuration in force.
		Table func() *director.Table
	}
)

// New returns a Guardian whose server has not announced itself yet.
func New(s Settings) *Guardian {
	g := &Guardian{
		Settings:          s,
		queue:             newCallQueue(s.Clock),
		suspects:          newCrashSuspects(s.Clock),
		healthCheckNeeded: make(chan struct{}, 1),
		server:            ServerState{HeartbeatsTrustedFrom: s.Clock.Now().Add(maxHeartbeatDelay)},
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyState()
	return g
}

// HandleCall waits for the call's turn, runs it on the backend server and returns the
// reply, or a refusal if there is none.
func (g *Guardian) HandleCall(ctx context.Context, c *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal) {
	if c.Service != g.Service {
		return nil, exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonUnreachable, "the node runs service %q, not %q", g.Service, c.Service)
	}
	g.verifyContinuity()
	permit, refusal := g.queue.acquire(ctx, c)
	if refusal != nil {
		return nil, refusal
	}
	rolloutRun, refusal := g.startRolloutRun()
	if refusal != nil {
		permit.cancel()
		return nil, refusal
	}
	suspectID, refusal := g.startSuspect(c)
	if refusal != nil {
		permit.cancel()
		rolloutRun.cancel()
		return nil, refusal
	}
	run := g.Runs.StartRun(g.Clock.Now(), c)
	reply, refusal := g.send(ctx, run)
	refusal = g.finishSuspect(suspectID, c, refusal)
	summary := g.Runs.EndRun(g.Clock.Now(), run)
	summary.Completed = refusal == nil && reply.Status < http.StatusInternalServerError
	g.OnRunEnd(summary)
	rolloutRun.end(&summary, reply, refusal)
	g.recordSpeed(&summary)
	if permit.release(summary.Completed, g.runOutcome(&summary, reply, refusal)) {
		g.reportFailingChange()
	}
	return reply, refusal
}

// HandleHeartbeat applies a heartbeat of the backend server and returns its outcome.
func (g *Guardian) HandleHeartbeat(h Heartbeat) HeartbeatOutcome {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.server
	outcome := g.server.ApplyHeartbeat(g.Clock.Now(), h)
	if outcome == HeartbeatNewIncarnation && before.LastHeartbeat.ID != "" {
		g.recordCrash(before, "a new incarnation has started")
		g.suspects.startIncarnation()
		g.restartSpeed()
	}
	if outcome != HeartbeatAccepted {
		g.Logger.Infof("heartbeat %d of backend server %s, started at %d ms: %s (draining %t, warmup %s)", h.Sequence, h.ID, h.StartUnixMillis, outcome, h.Draining, h.WarmupRemaining)
	}
	g.applyState()
	return outcome
}

// HandleLeave records that the backend server has announced its departure. startUnixMillis
// identifies the incarnation; 0 means that the server did not name it.
func (g *Guardian) HandleLeave(id string, startUnixMillis int64) HeartbeatOutcome {
	g.mu.Lock()
	defer g.mu.Unlock()
	outcome := g.server.MarkLeft(g.Clock.Now(), id, startUnixMillis)
	g.Logger.Infof("departure of backend server %s, started at %d ms, received: %s", id, startUnixMillis, outcome)
	g.applyState()
	return outcome
}

// Leaving reports whether the backend server is draining or has left.
func (g *Guardian) Leaving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.server.Leaving()
}

// QueuedCalls returns the number of calls that wait for a slot of the backend server.
func (g *Guardian) QueuedCalls() int {
	return g.queue.length()
}

// LoadReport returns a new report on the backend server.
func (g *Guardian) LoadReport() LoadReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastSequence++
	report := LoadReport{Sequence: g.lastSequence, Closed: g.state != stateOpen}
	if ledger := g.rollout.Load(); ledger != nil {
		report.Version = g.server.LastHeartbeat.Version
		report.Closed = report.Closed || ledger.usedUp(report.Version)
	}
	g.queue.fillReport(&report)
	g.fillSpeed(&report)
	return report
}

// ReloadConfig applies the configuration in force.
func (g *Guardian) ReloadConfig() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyState()
}

// Stop refuses queued calls and all later ones. Running calls continue.
func (g *Guardian) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = true
	g.applyState()
}

// send sends the call of the run to the backend server and turns the result into a reply or
// a refusal.
func (g *Guardian) send(ctx context.Context, run *attributor.Run) (*exchanger.Reply, *exchanger.Refusal) {
	id, c, started := g.instanceID(), run.Call, run.StartedAt
	response, err := g.Backend.Send(ctx, g.buildRequest(c, id))
	g.CallsSent.Add(1)
	if err != nil {
		refusal := g.classifyError(ctx, err)
		g.logFailure(c, id, started, refusal)
		return nil, refusal
	}
	g.observeServerLoad(response)
	reply, refusal := g.classifyResponse(response, id)
	if refusal != nil {
		g.logFailure(c, id, started, refusal)
	}
	return reply, refusal
}

// runOutcome classifies the end of a run for failure detection.
func (g *Guardian) runOutcome(s *attributor.Summary, reply *exchanger.Reply, r *exchanger.Refusal) assessor.Outcome {
	timedOut := r != nil && r.Reason == exchanger.ReasonDeadline || reply != nil && reply.Status == http.StatusGatewayTimeout
	switch {
	case r == nil && reply.Status < http.StatusInternalServerError:
		return assessor.OutcomeSuccess
	case r != nil && (r.Reason == exchanger.ReasonServerFull || r.Reason == exchanger.ReasonBroken || r.Reason == exchanger.ReasonCrashRequest):
		return assessor.OutcomeFailure
	case r != nil && r.Reason != exchanger.ReasonDeadline, !g.failedByItself(s, timedOut):
		return assessor.OutcomeIgnored
	case timedOut && g.queue.isCold():
		// A cold server is slow, which its load report already shows.
		return assessor.OutcomeIgnored
	default:
		return assessor.OutcomeFailure
	}
}

// failedByItself reports whether the cause of a failed run surely lies in the backend server
// and not in the calls that the run made: the route makes none, or none of them has failed
// and the run has not spent most of its time waiting for them.
func (g *Guardian) failedByItself(s *attributor.Summary, timedOut bool) bool {
	switch {
	case g.IsLeafRoute(s.Route):
		return true
	case !s.CallsKnown || s.FailedCalls > 0:
		return false
	case timedOut:
		return s.OwnTime > s.EndedAt.Sub(s.StartedAt)/2
	default:
		return true
	}
}

// reportFailingChange logs that the server has started or stopped failing and calls
// OnChange.
func (g *Guardian) reportFailingChange() {
	id, failing := g.instanceID(), g.Failing()
	if failing {
		g.Logger.Warnf("backend server %s started failing: too many of its runs fail", id)
	} else {
		g.Logger.Infof("backend server %s recovered", id)
	}
	g.OnChange()
}

// Failing reports whether a high fraction of the latest runs on the backend server has
// failed.
func (g *Guardian) Failing() bool {
	return g.queue.failing()
}

// logFailure logs the refusal of a call that was sent to the server.
func (g *Guardian) logFailure(c *exchanger.Call, instanceID string, started time.Time, r *exchanger.Refusal) {
	g.Logger.LogDecision(logger.Decision{
		Request:  c.ID,
		Route:    c.Route,
		Customer: c.Customer,
		Instance: instanceID,
		Outcome:  "backend server gave no usable response",
		Reason:   string(r.Reason),
		Ran:      string(r.Ran),
		Detail:   r.Detail,
		Elapsed:  g.Clock.Now().Sub(started),
		TimeLeft: c.Deadline.Sub(g.Clock.Now()),
	})
}
