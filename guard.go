package flamingotack

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/flamingotack/flamingotack/internal/authenticator"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/gatekeeper"
	"github.com/flamingotack/flamingotack/internal/indexer"
	"github.com/flamingotack/flamingotack/internal/messenger"
	"github.com/flamingotack/flamingotack/internal/parser"
	"github.com/flamingotack/flamingotack/internal/relayer"
)

// guard is the only way to the backend server beside the node.
type guard struct {
	node     *Node
	gate     *gatekeeper.AdmissionQueue
	suspects *suspects
	// running counts the requests from when they are let in until their
	// answer is read or dropped.
	running  atomic.Int64
	sequence atomic.Uint64
	// touched is when the last request came, in nanoseconds since started.
	touched atomic.Int64
	started time.Time
	// health is the backend server's own last word; nil before the first.
	health atomic.Pointer[relayer.Health]
}

func newGuard(n *Node) *guard {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &guard{
		node:     n,
		gate:     gatekeeper.New(n.edges.Clock, random),
		started:  n.edges.Clock.Now(),
		suspects: newSuspects(n),
	}
}

// Handle runs r on the backend server once it may.
func (g *guard) Handle(ctx context.Context, r *exchanger.Request) (*exchanger.Answer, error) {
	g.touched.Store(int64(g.node.edges.Clock.Now().Sub(g.started)))
	x := g.node.index.Load()
	if err := g.check(x, r); err != nil {
		return nil, err
	}
	service := x.Service(r.Service)
	if service != nil {
		g.gate.Configure(gateConfig(service.Service))
	}
	g.running.Add(1)
	v := &visit{guard: g, request: r, number: g.sequence.Add(1)}
	answer, refusal := v.run(ctx)
	if refusal != nil {
		return nil, refusal
	}
	return answer, nil
}

// check refuses what may not start now.
func (g *guard) check(x *indexer.Index, r *exchanger.Request) error {
	switch {
	case g.node.lifecycle.draining.Load():
		return exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonDraining, "node %s stops", g.node.self.Name)
	case g.said().Draining:
		return exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonDraining, "backend server %s stops", g.node.self.Name)
	case x == nil || x.State.Manifest == nil:
		return exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonNotReady, "node %s has no manifest yet", g.node.self.Name)
	case r.Service != g.node.self.Service:
		return exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonNoServer, "node %s does not offer service %q", g.node.self.Name, r.Service)
	case x.State.ServerOut(g.node.self):
		return exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonOutOfService, "backend server %s is out of service", g.node.self.Name)
	case !authenticator.Valid(x, r):
		return exchanger.NotRun(http.StatusUnauthorized, exchanger.ReasonKeyUnknown, "the key is unknown or withdrawn")
	}
	return g.node.checkFresh()
}

func (g *guard) count() int {
	return int(g.running.Load())
}

// idle returns the time since the last request came.
func (g *guard) idle() time.Duration {
	return g.node.edges.Clock.Now().Sub(g.started) - time.Duration(g.touched.Load())
}

// load returns what the node tells other nodes about its backend server.
func (g *guard) load() *messenger.Load {
	l := g.gate.Stats()
	return &messenger.Load{
		Name:          g.node.self.Name,
		Incarnation:   g.node.self.Incarnation,
		Sequence:      g.sequence.Add(1),
		Limit:         uint32(l.ConcurrencyLimit),
		Running:       uint32(l.Running),
		Queued:        uint32(l.Queued),
		Shed:          int32(l.LowestAdmittedPriority),
		Draining:      g.node.lifecycle.draining.Load() || g.said().Draining,
		Cold:          g.said().Cold,
		ServiceMicros: uint64(l.MeanServiceTime / time.Microsecond),
	}
}

// said returns the backend server's own last word.
func (g *guard) said() relayer.Health {
	if h := g.health.Load(); h != nil {
		return *h
	}
	return relayer.Health{Ready: true}
}

func gateConfig(v *parser.Service) gatekeeper.Config {
	slots := v.Slots
	if v.Connections > 0 && (slots == 0 || v.Connections < slots) {
		slots = v.Connections
	}
	return gatekeeper.Config{FixedLimit: v.Policy == parser.PolicyFixed, Slots: slots}
}
