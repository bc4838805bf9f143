// Package forwarder picks the node that runs a call, and another one when that
// is allowed and helps.
package forwarder

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingotack/flamingotack/internal/averager"
	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/guardian"
	"github.com/flamingotack/flamingotack/internal/linker"
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/regulator"
	"github.com/flamingotack/flamingotack/internal/retrier"
	"github.com/flamingotack/flamingotack/internal/router"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// spill is the part of the capacity of the own failure domain in use from
	// which work leaves it. Guards queue for a short time, so it is near the
	// whole.
	spill = 0.95
	// maxClosed bounds the nodes that are asked after others said that they
	// take no work for a cause of their own.
	maxClosed = 4
	// maxFull bounds the nodes that are asked after others said that they are
	// full.
	maxFull = 1
	// closedRetry and fullRetry are how long a caller should wait, at least,
	// when no server takes requests and when all are full.
	closedRetry = 400 * time.Millisecond
	fullRetry   = 800 * time.Millisecond
)

type (
	// Forwarder sends calls to nodes. Make it by New. It is safe for
	// concurrent use.
	Forwarder struct {
		Settings

		// Repeats counts the calls that were sent to another node after the
		// first one.
		Repeats atomic.Int64

		mu        sync.Mutex
		random    *rand.Rand
		router    router.Router
		allowance retrier.Allowance
		// crowds are the nodes of each service that calls may be sent to.
		crowds  map[string][]router.Candidate
		members map[string]linker.Member
		// services are the nodes of each service, linked to or not, chosen those
		// that calls may be sent to, and samples how many nodes of a service there
		// are for each chosen one.
		services map[string][]string
		chosen   map[string]bool
		samples  map[string]float64
		changed  uint64
		// fans is what nodes told of their backend servers' calls, by node and
		// by the route of the runs.
		fans map[string]map[string]linker.Fans
		// trees are those that fans and treesOf give.
		trees   map[branch]map[branch]need
		treesOf *director.Table
		// loads are the newest loads, by node.
		loads     map[string]loadReport
		measured  time.Time
		regulator regulator.Regulator
		// held is the mean time of a call by service, as guards tell it, and
		// routes that by route, as seen here.
		held   map[string]time.Duration
		routes averager.ByKind
		// work is what services are offered by all nodes, in slots.
		work map[string]float64
		// refused are the digests of refused requests and when that was.
		refused map[uint64]time.Time
	}

	// Links are the ways to other nodes.
	Links interface {
		// Changed returns a number that grows with each change of Peers.
		Changed() uint64
		// Peers returns the other nodes.
		Peers() []linker.Peer
		// Send runs a call on a node.
		Send(ctx context.Context, name string, c *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal)
	}

	// Settings are what a Forwarder works with.
	Settings struct {
		// Clock tells the time.
		Clock timekeeper.Clock
		// Links lead to the other nodes.
		Links Links
		// Load returns the load of the own backend server.
		Load func() guardian.Load
		// Local runs calls on the own backend server.
		Local exchanger.CallHandler
		// Logger takes the decisions.
		Logger *logger.Logger
		// RepeatRatio is the number of repeats that a request earns, and Repeat
		// takes the cost of repeats, in requests by service, from what all nodes
		// may repeat besides.
		RepeatRatio float64
		Repeat      func(ctx context.Context, cost map[string]float64) (allowed bool)
		// Self is the node.
		Self linker.Member
		// Table returns the configuration in force.
		Table func() *director.Table
	}
)

// New returns a Forwarder that knows only its own node.
func New(s Settings, region string) *Forwarder {
	return &Forwarder{
		Settings:  s,
		random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		router:    router.Router{Domain: s.Self.Domain, Region: region, Spill: spill},
		allowance: retrier.Allowance{Ratio: s.RepeatRatio},
		fans:      map[string]map[string]linker.Fans{},
		trees:     map[branch]map[branch]need{},
		loads:     map[string]loadReport{},
		held:      map[string]time.Duration{},
		work:      map[string]float64{},
		refused:   map[uint64]time.Time{},
	}
}

// Forward runs a call on one of the nodes of its service.
func (f *Forwarder) Forward(ctx context.Context, c *exchanger.Call, route *director.Route) (*exchanger.Reply, *exchanger.Refusal) {
	t := &trip{forwarder: f, call: c, attempts: route.Attempts}
	return t.run(ctx)
}

// Open returns the number of nodes of a service that can be reached and say that
// their backend servers take requests.
func (f *Forwarder) Open(service string) (count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	for _, c := range f.crowds[service] {
		r, told := f.loads[c.Name]
		if told && !r.load.Closed && c.Name != f.Self.Name {
			count++
		}
	}
	return count
}

// TakeFans takes what a node tells of its backend server's calls.
func (f *Forwarder) TakeFans(m linker.Member, fans map[string]linker.Fans) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fans[m.Name] = fans
	clear(f.trees)
}

// TakeLoad takes what a node tells about its backend server.
func (f *Forwarder) TakeLoad(m linker.Member, l guardian.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.takeLoad(m, l)
}

func (f *Forwarder) end(name string, o router.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.End(f.Clock.Now(), name, o, f.random.Float64())
}

// pick returns the node for the next attempt.
func (f *Forwarder) pick(c *exchanger.Call, tried []string) (m linker.Member, found bool) {
	local := f.Load()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	now := f.Clock.Now()
	if c.Service == f.Self.Service {
		f.takeLoad(f.Self, local)
	}
	picked, verdict := f.router.Pick(now, f.random, f.crowds[c.Service], c.Priority, tried)
	return f.members[picked.Name], verdict == router.VerdictPicked
}

// takeLoad is TakeLoad. The caller holds the lock.
func (f *Forwarder) takeLoad(m linker.Member, l guardian.Load) {
	now := f.Clock.Now()
	f.router.Report(now, m.Name, report(m, l))
	if known, found := f.loads[m.Name]; !found || known.incarnation != m.Incarnation || l.Sequence > known.load.Sequence {
		f.loads[m.Name] = loadReport{service: m.Service, incarnation: m.Incarnation, load: l, taken: now}
	}
}

// refresh takes the present members. The caller holds the lock.
func (f *Forwarder) refresh() {
	if table := f.Table(); table != f.treesOf {
		f.treesOf = table
		clear(f.trees)
	}
	changed := f.Links.Changed()
	if f.members != nil && changed == f.changed {
		return
	}
	f.changed = changed
	f.members = map[string]linker.Member{}
	f.crowds = map[string][]router.Candidate{}
	f.services = map[string][]string{}
	f.chosen = map[string]bool{}
	counts := map[string]int{}
	for _, p := range append(f.Links.Peers(), linker.Peer{Member: f.Self, Chosen: true, Up: true}) {
		f.members[p.Name] = p.Member
		f.services[p.Service] = append(f.services[p.Service], p.Name)
		if !p.Chosen {
			continue
		}
		f.chosen[p.Name] = true
		counts[p.Service]++
		if p.Up {
			f.crowds[p.Service] = append(f.crowds[p.Service], f.candidate(p.Member))
		}
	}
	f.samples = map[string]float64{}
	for service, count := range counts {
		f.samples[service] = float64(len(f.services[service])) / float64(count)
	}
	known := func(name string) bool {
		_, found := f.members[name]
		return found
	}
	f.router.Prune(known)
	maps.DeleteFunc(f.fans, func(name string, _ map[string]linker.Fans) bool { return name != recalled && !known(name) })
	maps.DeleteFunc(f.loads, func(name string, _ loadReport) bool { return !known(name) })
}

func (f *Forwarder) candidate(m linker.Member) router.Candidate {
	return router.Candidate{Name: m.Name, Incarnation: m.Incarnation, Domain: m.Domain, Region: f.router.Region}
}

func (f *Forwarder) send(ctx context.Context, m linker.Member, c *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal) {
	if m.Name == f.Self.Name {
		ctx, cancel := context.WithDeadline(ctx, c.Deadline.Add(localMargin))
		defer cancel()
		reply, refusal := f.Local.HandleCall(ctx, c)
		if reply != nil {
			reply.Server = m.Name
		}
		return reply, refusal
	}
	return f.Links.Send(ctx, m.Name, c)
}

// spend takes the cost of a repeat of the call, and of the calls that it makes
// in turn, from what is allowed.
func (f *Forwarder) spend(ctx context.Context, c *exchanger.Call) bool {
	cost, lacking := f.spendEarned(c)
	if len(lacking) == 0 || f.Repeat(ctx, lacking) {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.allowance.Refund(f.Clock.Now(), cost, lacking)
	return false
}

// spendEarned takes the cost of a repeat from what requests at this node have earned,
// and returns what that lacks.
func (f *Forwarder) spendEarned(c *exchanger.Call) (cost, lacking map[string]float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	cost = map[string]float64{}
	for b, n := range f.tree(c.Route, c.Service) {
		cost[b.service] += n.calls
	}
	return cost, f.allowance.Spend(f.Clock.Now(), cost)
}

// Earn counts a request of a caller for a service.
func (f *Forwarder) Earn(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.allowance.Earn(f.Clock.Now(), service)
}

// spread returns a random time from least to twice that, so that callers do not
// come back together. The caller holds the lock.
func (f *Forwarder) spread(least time.Duration) time.Duration {
	return time.Duration(float64(least) * (1 + f.random.Float64()))
}

func report(m linker.Member, l guardian.Load) router.Report {
	return router.Report{
		Incarnation: m.Incarnation,
		Sequence:    l.Sequence,
		Limit:       l.Limit,
		Running:     l.Running,
		Queued:      l.Queued,
		Shed:        exchanger.PriorityLow,
		Draining:    l.Closed,
		Failing:     l.Failing,
	}
}

// turnedAway reports whether a node turned a call away for a cause of its own that
// has nothing to do with load.
func turnedAway(r *exchanger.Refusal) bool {
	switch r.Reason {
	case exchanger.ReasonDraining, exchanger.ReasonNotReady, exchanger.ReasonOutOfService, exchanger.ReasonUnreachable:
		return r.Ran == exchanger.RanNo
	default:
		return false
	}
}

// full reports whether a node turned a call away because of its load.
func full(r *exchanger.Refusal) bool {
	return r.Ran == exchanger.RanNo && (r.Reason == exchanger.ReasonOverload || r.Reason == exchanger.ReasonServerFull)
}

func noServer(service string) *exchanger.Refusal {
	return exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonNoServer, "service %q has no backend server that takes requests", service)
}
