// Package forwarder sends each call to a node of its service, and retries it on
// another node where that is safe and within the retry budget.
package forwarder

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/guardian"
	"github.com/flamingotack/flamingotack/internal/linker"
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/regulator"
	"github.com/flamingotack/flamingotack/internal/releaser"
	"github.com/flamingotack/flamingotack/internal/retrier"
	"github.com/flamingotack/flamingotack/internal/router"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// spilloverUtilization is the utilization of the local failure domain from
	// which calls go to other failure domains. Nodes queue calls for a short time,
	// so it is close to 1.
	spilloverUtilization = 0.95
	// maxUnavailableNodes bounds the retries after nodes refused the call for a
	// reason other than load.
	maxUnavailableNodes = 4
	// maxOverloadedNodes bounds the retries after nodes refused the call because
	// of their load.
	maxOverloadedNodes = 1
	// minClosedRetryAfter and minOverloadRetryAfter are the least times that a
	// caller should wait when no server takes requests and when all are full.
	minClosedRetryAfter   = 400 * time.Millisecond
	minOverloadRetryAfter = 800 * time.Millisecond
	// routeTimesInterval is the time after which the mean times of routes are computed
	// anew. Each takes a walk over the fan-outs of all nodes, of which one or another
	// reports changes all the time.
	routeTimesInterval = time.Second
)

type (
	// Forwarder sends calls to nodes. Create it with New. It is safe for
	// concurrent use.
	Forwarder struct {
		Settings

		// Retries counts the attempts after the first attempt of a call.
		Retries atomic.Int64

		mu          sync.Mutex
		random      *rand.Rand
		router      router.Router
		retryBudget retrier.RetryBudget
		// returnPlanner plans the returns of refused callers to cold services.
		returnPlanner retrier.ReturnPlanner
		// candidates are the connected nodes, by service, that calls may be sent
		// to.
		candidates map[string][]router.Candidate
		// members holds the known nodes, including the local one, by name.
		members map[string]linker.Member
		// nodesByService holds the nodes of each service, connected or not,
		// selected those that calls may be sent to, and nodesPerSelected the
		// number of nodes of a service for each selected one.
		nodesByService   map[string][]string
		selected         map[string]bool
		nodesPerSelected map[string]float64
		// peersVersion is the version of Links.Peers that the maps above result from.
		peersVersion uint64
		// fanOuts holds the fan-outs that nodes reported, by node and by the
		// route of the runs.
		fanOuts map[string]map[string]linker.FanOut
		// callTrees caches the trees that result from fanOuts and callTreesTable.
		callTrees      map[callEdge]map[callEdge]edgeCalls
		callTreesTable *director.Table
		// routeTimes caches the mean times of the runs of routes that result from fanOuts.
		// It was cleared last at routeTimesClearedAt.
		routeTimes          map[string]time.Duration
		routeTimesClearedAt time.Time
		// workReported holds the services any of whose servers has reported its work
		// figure.
		workReported map[string]bool
		// loads holds the newest load report, by node.
		loads map[string]loadReport
		// pressureUpdatedAt is the time of the last report of load and capacity to
		// the regulator.
		pressureUpdatedAt time.Time
		regulator         regulator.Regulator
		// serviceCallTime is the mean duration of a call by service, as nodes
		// report it.
		serviceCallTime map[string]time.Duration
		// coldServices holds the services of whose capacity most is cold.
		coldServices map[string]bool
		// offeredSlots is the mean load that all nodes offer to each service, in
		// slots.
		offeredSlots map[string]float64
		// refusedAt holds the time of the last refusal, by the digest of the
		// request.
		refusedAt map[uint64]time.Time
	}

	// Links are the connections to other nodes.
	Links interface {
		// PeersVersion returns a number that grows with each change of the result of
		// Peers.
		PeersVersion() uint64
		// Peers returns the other nodes.
		Peers() []linker.Peer
		// Send runs a call on a node.
		Send(ctx context.Context, name string, c *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal)
	}

	// Settings holds the dependencies and parameters of a Forwarder.
	Settings struct {
		// Clock is the source of the current time.
		Clock timekeeper.Clock
		// Links are the connections to the other nodes.
		Links Links
		// LocalLoad returns the load of the local backend server.
		LocalLoad func() guardian.LoadReport
		// LocalHandler runs calls on the local backend server.
		LocalHandler exchanger.CallHandler
		// Logger logs the decisions.
		Logger *logger.Logger
		// RetryRatio is the number of retries that each request adds to the retry
		// budget of the local node.
		RetryRatio float64
		// SpendSharedRetries takes what that budget lacks for a retry, in requests
		// by service, from the budget that all nodes share. It reports
		// whether that budget allows it.
		SpendSharedRetries func(ctx context.Context, cost map[string]float64) (allowed bool)
		// RolloutPlan returns which versions of a service calls may go to; nil if there
		// is no rollout. It may be nil itself.
		RolloutPlan func(service string) *releaser.Plan
		// Self is the local node.
		Self linker.Member
		// Table returns the configuration in force.
		Table func() *director.Table
	}
)

// New returns a Forwarder that knows only the local node.
func New(s Settings, region string) *Forwarder {
	return &Forwarder{
		Settings:        s,
		random:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		router:          router.Router{Domain: s.Self.Domain, Region: region, SpilloverUtilization: spilloverUtilization},
		retryBudget:     retrier.RetryBudget{RetryRatio: s.RetryRatio},
		fanOuts:         map[string]map[string]linker.FanOut{},
		callTrees:       map[callEdge]map[callEdge]edgeCalls{},
		routeTimes:      map[string]time.Duration{},
		workReported:    map[string]bool{},
		loads:           map[string]loadReport{},
		serviceCallTime: map[string]time.Duration{},
		coldServices:    map[string]bool{},
		offeredSlots:    map[string]float64{},
		refusedAt:       map[uint64]time.Time{},
	}
}

// Forward runs a call on one of the nodes of its service.
func (f *Forwarder) Forward(ctx context.Context, c *exchanger.Call, route *director.Route) (*exchanger.Reply, *exchanger.Refusal) {
	a := &callAttempts{forwarder: f, call: c, attemptsLeft: route.MaxAttempts}
	return a.run(ctx)
}

// CountOpenNodes returns the number of other connected nodes of a service that report
// that their backend servers take requests.
func (f *Forwarder) CountOpenNodes(service string) (count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshPeers()
	for _, c := range f.candidates[service] {
		r, found := f.loads[c.Name]
		if found && !r.load.Closed && c.Name != f.Self.Name {
			count++
		}
	}
	return count
}

// ServiceNodes returns the names of the known nodes of a service, connected or not, this one
// included.
func (f *Forwarder) ServiceNodes(service string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshPeers()
	return slices.Clone(f.nodesByService[service])
}

// UpdateFanOuts replaces the fan-outs that a node reported for its backend server.
func (f *Forwarder) UpdateFanOuts(m linker.Member, fanOuts map[string]linker.FanOut) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fanOuts[m.Name] = fanOuts
	clear(f.callTrees)
}

// UpdateLoad records the load that a node reports for its backend server. A report
// that is older than the known one is dropped.
func (f *Forwarder) UpdateLoad(m linker.Member, l guardian.LoadReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updateLoadLocked(m, l)
}

func (f *Forwarder) recordOutcome(name string, o router.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.RecordOutcome(f.Clock.Now(), name, o, f.random.Float64())
}

// pickNode returns the node for the next attempt.
func (f *Forwarder) pickNode(c *exchanger.Call, tried []string) (m linker.Member, found bool) {
	local := f.LocalLoad()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshPeers()
	now := f.Clock.Now()
	if c.Service == f.Self.Service {
		f.updateLoadLocked(f.Self, local)
	}
	if plan := f.rolloutPlan(c.Service); plan != nil {
		picked, verdict := f.pickVersion(now, plan, c, tried)
		return f.members[picked.Name], verdict == router.VerdictPicked
	}
	picked, verdict := f.router.Pick(now, f.random, f.candidates[c.Service], f.routerRequest(now, c), tried)
	return f.members[picked.Name], verdict == router.VerdictPicked
}

// routerRequest returns the router's form of a call. The caller must hold f.mu.
func (f *Forwarder) routerRequest(now time.Time, c *exchanger.Call) router.Request {
	request := router.Request{Priority: c.Priority}
	if f.workReported[c.Service] {
		request.RunTime = f.routeTime(now, c.Route)
		request.ObjectiveIn = c.ObjectiveDeadline.Sub(now)
		request.Unrepeatable = !c.Idempotent
	}
	return request
}

// MeanRunTime returns the mean time of a run of a route over the runs of all nodes; 0 if it
// is not known.
func (f *Forwarder) MeanRunTime(route string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.meanServiceTime(route)
}

// routeTime returns the mean time of a run of a route, as known within the last
// routeTimesInterval; 0 if it is not known. The caller must hold f.mu.
func (f *Forwarder) routeTime(now time.Time, route string) time.Duration {
	if now.Sub(f.routeTimesClearedAt) >= routeTimesInterval {
		f.routeTimesClearedAt = now
		clear(f.routeTimes)
	}
	known, found := f.routeTimes[route]
	if !found {
		known = f.meanServiceTime(route)
		f.routeTimes[route] = known
	}
	return known
}

// updateLoadLocked is UpdateLoad for callers that hold f.mu.
func (f *Forwarder) updateLoadLocked(m linker.Member, l guardian.LoadReport) {
	now := f.Clock.Now()
	f.router.Report(now, m.Name, routerReport(m, l))
	if l.WorkPercent > 0 {
		f.workReported[m.Service] = true
	}
	if known, found := f.loads[m.Name]; !found || known.incarnation != m.Incarnation || l.Sequence > known.load.Sequence {
		f.loads[m.Name] = loadReport{service: m.Service, incarnation: m.Incarnation, load: l, receivedAt: now}
	}
}

// refreshPeers updates the members and candidates if the peers have changed, and drops the
// cached call trees if the configuration has. The caller must hold f.mu.
func (f *Forwarder) refreshPeers() {
	if table := f.Table(); table != f.callTreesTable {
		f.callTreesTable = table
		clear(f.callTrees)
	}
	version := f.Links.PeersVersion()
	if f.members != nil && version == f.peersVersion {
		return
	}
	f.peersVersion = version
	f.members = map[string]linker.Member{}
	f.candidates = map[string][]router.Candidate{}
	f.nodesByService = map[string][]string{}
	f.selected = map[string]bool{}
	counts := map[string]int{}
	for _, p := range append(f.Links.Peers(), linker.Peer{Member: f.Self, Selected: true, Connected: true}) {
		f.members[p.Name] = p.Member
		f.nodesByService[p.Service] = append(f.nodesByService[p.Service], p.Name)
		if !p.Selected {
			continue
		}
		f.selected[p.Name] = true
		counts[p.Service]++
		if p.Connected {
			f.candidates[p.Service] = append(f.candidates[p.Service], f.candidate(p.Member))
		}
	}
	f.nodesPerSelected = map[string]float64{}
	for service, count := range counts {
		f.nodesPerSelected[service] = float64(len(f.nodesByService[service])) / float64(count)
	}
	isMember := func(name string) bool {
		_, found := f.members[name]
		return found
	}
	f.router.Prune(isMember)
	maps.DeleteFunc(f.fanOuts, func(name string, _ map[string]linker.FanOut) bool { return name != restoredNode && !isMember(name) })
	maps.DeleteFunc(f.loads, func(name string, _ loadReport) bool { return !isMember(name) })
}

// candidate returns a node as a candidate for the router. All nodes count as nodes of the
// local region.
func (f *Forwarder) candidate(m linker.Member) router.Candidate {
	return router.Candidate{Name: m.Name, Incarnation: m.Incarnation, Domain: m.Domain, Region: f.router.Region}
}

// send runs the call on the local backend server or sends it to another node.
func (f *Forwarder) send(ctx context.Context, m linker.Member, c *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal) {
	if m.Name == f.Self.Name {
		ctx, cancel := context.WithDeadline(ctx, c.Deadline.Add(localDeadlineMargin))
		defer cancel()
		reply, refusal := f.LocalHandler.HandleCall(ctx, c)
		if reply != nil {
			reply.ServerNode = m.Name
		}
		return reply, refusal
	}
	return f.Links.Send(ctx, m.Name, c)
}

// spendRetry takes the cost of a retry, including the nested calls that it causes, from
// the retry budgets, and reports whether they allow it.
func (f *Forwarder) spendRetry(ctx context.Context, c *exchanger.Call) bool {
	cost, lacking := f.withdrawEarned(c)
	if len(lacking) == 0 || f.SpendSharedRetries(ctx, lacking) {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retryBudget.Refund(f.Clock.Now(), cost, lacking)
	return false
}

// withdrawEarned takes the cost of a retry from the budget that requests at this node
// have earned. It returns the cost and the part that the budget lacks, both in requests
// by service.
func (f *Forwarder) withdrawEarned(c *exchanger.Call) (cost, lacking map[string]float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	cost = map[string]float64{}
	for edge, calls := range f.callTree(c.Route, c.Service) {
		cost[edge.service] += calls.mean
	}
	return cost, f.retryBudget.Withdraw(f.Clock.Now(), cost)
}

// RecordRequest adds the retries that a caller's request for a service earns to the retry
// budget.
func (f *Forwarder) RecordRequest(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retryBudget.Deposit(f.Clock.Now(), service)
}

// retryAfter returns a random time from minDelay to twice that, so that callers do not
// retry at the same time. The caller must hold f.mu.
func (f *Forwarder) retryAfter(minDelay time.Duration) time.Duration {
	return time.Duration(float64(minDelay) * (1 + f.random.Float64()))
}

// routerReport returns the router's form of a load report. Load reports do not say which
// priorities a node sheds, so none counts as shed.
func routerReport(m linker.Member, l guardian.LoadReport) router.Report {
	return router.Report{
		Incarnation:            m.Incarnation,
		Sequence:               l.Sequence,
		Limit:                  l.Limit,
		Running:                l.Running,
		Queued:                 l.Queued,
		LowestAdmittedPriority: exchanger.PriorityLow,
		Draining:               l.Closed,
		Failing:                l.Failing,
		WorkPercent:            l.WorkPercent,
		WorkAge:                l.WorkAge,
		OwnTime:                l.OwnTime,
		RunTime:                l.MeanServiceTime,
	}
}

// nodeUnavailable reports whether a node refused a call, without running it, for a
// reason other than load.
func nodeUnavailable(r *exchanger.Refusal) bool {
	switch r.Reason {
	case exchanger.ReasonDraining, exchanger.ReasonNotReady, exchanger.ReasonOutOfService, exchanger.ReasonUnreachable:
		return r.Ran == exchanger.RanNo
	default:
		return false
	}
}

// nodeOverloaded reports whether a node refused a call, without running it, because of
// its load.
func nodeOverloaded(r *exchanger.Refusal) bool {
	return r.Ran == exchanger.RanNo && (r.Reason == exchanger.ReasonOverload || r.Reason == exchanger.ReasonServerFull)
}

func noServerRefusal(service string) *exchanger.Refusal {
	return exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonNoServer, "service %q has no backend server that takes requests", service)
}
