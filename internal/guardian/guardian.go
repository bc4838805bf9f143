// Package guardian is the only way to the backend server beside the node. It
// alone decides what the server bears and whether it may be used at all, so
// that this needs no agreement between nodes.
package guardian

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingotack/flamingotack/internal/assessor"
	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/invoker"
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

type (
	// Guardian keeps the backend server. Its exported fields are set before
	// use and are never nil. Make it by New.
	Guardian struct {
		Settings
		// Runs counts the calls that were sent to the backend server.
		Runs atomic.Int64

		gate   *gate
		doubts chan struct{}

		mu        sync.Mutex
		server    Server
		evacuated bool
		stopping  bool
		state     string
		sequence  uint64
	}

	// Load is what a node tells about its backend server.
	Load struct {
		// Sequence grows with each load of an incarnation of the node.
		Sequence uint64
		// Limit is the number of calls that may run at once.
		Limit int
		// Running and Queued are calls at the guard.
		Running, Queued int
		// Offered is the work that the guard is offered, in slots that it
		// would occupy, and Bears the work that its server bears; for a cold
		// one that can be less than one slot.
		Offered, Bears float64
		// Failing says that many runs end badly for a cause of the server.
		Failing bool
		// Closed says that the node takes no new work for its server.
		Closed bool
		// Service is the mean time that a call takes.
		Service time.Duration
	}

	// Settings are what a Guardian works with.
	Settings struct {
		// Backend runs the calls.
		Backend *invoker.Invoker
		// Leaf reports whether runs of a route are known to call no other backend
		// servers.
		Leaf func(route string) bool
		// Changed is told that the server is opened or closed, or is or is not
		// sound any more. It must not block.
		Changed func()
		// Clock tells the time.
		Clock timekeeper.Clock
		// Dialect names the header fields.
		Dialect exchanger.Dialect
		// Domain is the failure domain and Service the service of the
		// backend server.
		Domain, Service string
		// Logger takes the decisions.
		Logger *logger.Logger
		// Ran is told of each run on the server.
		Ran func(route string, started, ended time.Time)
		// Table returns the configuration in force.
		Table func() *director.Table
	}
)

// New returns a Guardian that knows nothing of its server yet.
func New(s Settings) *Guardian {
	g := &Guardian{
		Settings: s,
		gate:     newGate(s.Clock),
		doubts:   make(chan struct{}, 1),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply()
	return g
}

// HandleCall runs a call on the backend server.
func (g *Guardian) HandleCall(ctx context.Context, c *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal) {
	if c.Service != g.Service {
		return nil, exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonUnreachable, "the node runs service %q, not %q", g.Service, c.Service)
	}
	p, refusal := g.gate.enter(ctx, c)
	if refusal != nil {
		return nil, refusal
	}
	reply, refusal := g.send(ctx, c)
	if p.leave(refusal == nil && reply.Status < http.StatusInternalServerError, g.end(c, reply, refusal)) {
		g.turned()
	}
	return reply, refusal
}

// Heartbeat takes what the backend server tells about itself.
func (g *Guardian) HandleHeartbeat(h Heartbeat) Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.server.Take(g.Clock.Now(), h)
	if v != VerdictTaken {
		g.Logger.Infof("Heartbeat %d of backend server %s, born %d: %s (draining %t, warmup %s).", h.Sequence, h.ID, h.Born, v, h.Draining, h.Warmup)
	}
	g.apply()
	return v
}

// Leave takes the backend server's word that it has left. born is 0 when it does
// not say which incarnation.
func (g *Guardian) HandleLeave(id string, born int64) Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.server.Leave(id, born)
	g.Logger.Infof("Backend server %s, born %d, says that it leaves: %s.", id, born, v)
	g.apply()
	return v
}

// Left reports whether the backend server is about to leave or has left.
func (g *Guardian) Left() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.server.Phase == PhaseDraining || g.server.Phase == PhaseLeft
}

// Load returns what the node tells about its backend server.
func (g *Guardian) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sequence++
	l := Load{Sequence: g.sequence, Closed: g.state != stateOpen}
	g.gate.load(&l)
	return l
}

// Refresh takes a new configuration.
func (g *Guardian) Refresh() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply()
}

// Stop lets no further call through.
func (g *Guardian) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = true
	g.apply()
}

// send runs a call whose turn it is.
func (g *Guardian) send(ctx context.Context, c *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal) {
	id := g.instance()
	started := g.Clock.Now()
	answer, err := g.Backend.Send(ctx, g.request(c, id))
	g.Runs.Add(1)
	g.Ran(c.Route, started, g.Clock.Now())
	if err != nil {
		refusal := g.failed(ctx, err)
		g.log(c, id, started, refusal)
		return nil, refusal
	}
	reply, refusal := g.judge(answer, id)
	if refusal != nil {
		g.log(c, id, started, refusal)
	}
	return reply, refusal
}

// end returns what the end of a run tells about the server. What fails in a run that
// makes calls may be the fault of those.
func (g *Guardian) end(c *exchanger.Call, reply *exchanger.Reply, r *exchanger.Refusal) assessor.End {
	switch {
	case r == nil && reply.Status < http.StatusInternalServerError:
		return assessor.EndWell
	case r != nil && (r.Reason == exchanger.ReasonServerFull || r.Reason == exchanger.ReasonBroken):
		return assessor.EndBadly
	case r != nil && r.Reason != exchanger.ReasonDeadline, !g.Leaf(c.Route):
		return assessor.EndUnclear
	case (r != nil || reply.Status == http.StatusGatewayTimeout) && g.gate.isCold():
		// A cold server is slow, which its load tells.
		return assessor.EndUnclear
	default:
		return assessor.EndBadly
	}
}

// turned tells that the server is failing, or is not any more.
func (g *Guardian) turned() {
	id, failing := g.instance(), g.Failing()
	if failing {
		g.Logger.Warnf("Backend server %s is failing: many runs end badly.", id)
	} else {
		g.Logger.Infof("Backend server %s is sound again.", id)
	}
	g.Changed()
}

// Failing reports whether many runs on the backend server end badly.
func (g *Guardian) Failing() bool {
	return g.gate.failing()
}

// log tells what became of a call that was sent to the server.
func (g *Guardian) log(c *exchanger.Call, id string, started time.Time, r *exchanger.Refusal) {
	g.Logger.LogDecision(logger.Decision{
		Request:  c.ID,
		Route:    c.Route,
		Customer: c.Customer,
		Instance: id,
		Outcome:  "Gets no answer from the backend server.",
		Reason:   string(r.Reason),
		Ran:      string(r.Ran),
		Detail:   r.Detail,
		Elapsed:  g.Clock.Now().Sub(started),
		TimeLeft: c.Deadline.Sub(g.Clock.Now()),
	})
}
