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
	node           *Node
	admissionQueue *gatekeeper.AdmissionQueue
	suspects       *crashSuspects
	// running counts the requests from their admission until their answer is read
	// or dropped.
	running atomic.Int64
	// sequence is the last number given to an execution or a load report.
	sequence atomic.Uint64
	// lastRequestNanos is when the last request arrived, in nanoseconds since
	// createdAt.
	lastRequestNanos atomic.Int64
	createdAt        time.Time
	// health is the last state that the backend server reported; nil before the
	// first report.
	health atomic.Pointer[relayer.Health]
}

func newGuard(n *Node) *guard {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &guard{
		node:           n,
		admissionQueue: gatekeeper.New(n.dependencies.Clock, random),
		createdAt:      n.dependencies.Clock.Now(),
		suspects:       newCrashSuspects(n),
	}
}

// Handle runs r on the backend server when its turn comes.
func (g *guard) Handle(ctx context.Context, r *exchanger.Request) (*exchanger.Answer, error) {
	g.lastRequestNanos.Store(int64(g.node.dependencies.Clock.Now().Sub(g.createdAt)))
	index := g.node.index.Load()
	if err := g.check(index, r); err != nil {
		return nil, err
	}
	service := index.Service(r.Service)
	if service != nil {
		g.admissionQueue.Configure(admissionQueueConfig(service.Service))
	}
	g.running.Add(1)
	e := &execution{guard: g, request: r, id: g.sequence.Add(1)}
	answer, refusal := e.run(ctx)
	if refusal != nil {
		return nil, refusal
	}
	return answer, nil
}

// check refuses a request that may not start now.
func (g *guard) check(index *indexer.Index, r *exchanger.Request) error {
	switch {
	case g.node.lifecycle.draining.Load():
		return exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonDraining, "node %s stops", g.node.self.Name)
	case g.lastHealth().Draining:
		return exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonDraining, "backend server %s stops", g.node.self.Name)
	case index == nil || index.State.Manifest == nil:
		return exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonNotReady, "node %s has no manifest yet", g.node.self.Name)
	case r.Service != g.node.self.Service:
		return exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonNoServer, "node %s does not offer service %q", g.node.self.Name, r.Service)
	case index.State.IsServerOutOfService(g.node.self):
		return exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonOutOfService, "backend server %s is out of service", g.node.self.Name)
	case !authenticator.KeyStillValid(index, r):
		return exchanger.NotRun(http.StatusUnauthorized, exchanger.ReasonKeyUnknown, "the key is unknown or withdrawn")
	}
	return g.node.checkFresh()
}

func (g *guard) runningCount() int {
	return int(g.running.Load())
}

// sinceLastRequest returns the time since the last request arrived.
func (g *guard) sinceLastRequest() time.Duration {
	return g.node.dependencies.Clock.Now().Sub(g.createdAt) - time.Duration(g.lastRequestNanos.Load())
}

// loadReport returns the load of the backend server for other nodes.
func (g *guard) loadReport() *messenger.Load {
	load := g.admissionQueue.Stats()
	return &messenger.Load{
		Name:          g.node.self.Name,
		Incarnation:   g.node.self.Incarnation,
		Sequence:      g.sequence.Add(1),
		Limit:         uint32(load.ConcurrencyLimit),
		Running:       uint32(load.Running),
		Queued:        uint32(load.Queued),
		Shed:          int32(load.LowestAdmittedPriority),
		Draining:      g.node.lifecycle.draining.Load() || g.lastHealth().Draining,
		Cold:          g.lastHealth().Cold,
		ServiceMicros: uint64(load.MeanServiceTime / time.Microsecond),
	}
}

// lastHealth returns the last state that the backend server reported.
func (g *guard) lastHealth() relayer.Health {
	if h := g.health.Load(); h != nil {
		return *h
	}
	return relayer.Health{Ready: true}
}

func admissionQueueConfig(service *parser.Service) gatekeeper.Config {
	slots := service.MaxSlots
	if service.MaxConnections > 0 && (slots == 0 || service.MaxConnections < slots) {
		slots = service.MaxConnections
	}
	return gatekeeper.Config{FixedLimit: service.Policy == parser.PolicyFixed, Slots: slots}
}
