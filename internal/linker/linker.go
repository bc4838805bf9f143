// Package linker keeps one drpc stream to each of the other nodes that this one
// sends calls to. Calls, their answers, loads, configurations and tokens of
// customers' rates go over it as frames; what waits to be sent at one moment goes
// out together. A node tells its load to those that have set a link up to it.
package linker

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/estimator"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/guardian"
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/selector"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// checkInterval is how often links are looked after.
	checkInterval = 250 * time.Millisecond
	// loadInterval is how often a node tells its load when nothing else does,
	// but not more often than calmPerLink for every node that hears it, which
	// bounds what that costs in large deployments.
	loadInterval = 1500 * time.Millisecond
	calmPerLink  = 9 * time.Millisecond
	// pressed is the offered work, in parts of what a backend server bears,
	// from which on its load is told more often: each pressedPerLink for every
	// node that hears it.
	pressed        = 0.7
	pressedPerLink = 3 * time.Millisecond
	// pressedTime is for how long after that the load is still told more often.
	pressedTime = 2 * time.Second
	// pingAfter is how long a link on which an answer is due may carry nothing
	// before it is pinged, and silentAfter before it counts as silent.
	pingAfter   = 400 * time.Millisecond
	silentAfter = 1300 * time.Millisecond
	dialTimeout = time.Second
	firstRedial = 100 * time.Millisecond
	lastRedial  = 2 * time.Second
	// replyMargin is how long after a call's deadline its answer may come.
	replyMargin = 40 * time.Millisecond
	// linger is for how long a link is kept that is not wanted any more.
	linger = 10 * time.Second
	// chooseInterval is the least time between two choices of the links to keep.
	chooseInterval = 50 * time.Millisecond
)

type (
	// Fans are the calls that the runs of one route make, by their route.
	Fans = estimator.Fans

	// Handlers are what the frames of other nodes are for. None is nil.
	Handlers struct {
		// Fans returns what the node tells of its backend server's calls, by
		// the route of the runs that make them.
		Fans func() map[string]Fans
		// Follows reports whether the directory answers this node.
		Follows func() bool
		// Grant gives away tokens of a customer's rate, in thousandths. held says
		// that it shall borrow none.
		Grant func(ctx context.Context, customer string, tokens int64, held bool) (granted int64)
		// Load returns what the node tells about its backend server.
		Load func() guardian.Load
		// Run runs the calls of other nodes.
		Run exchanger.CallHandler
		// State returns the configuration in force.
		State func() director.State
		// TakeFans takes what another node tells of its backend server's
		// calls.
		TakeFans func(Member, map[string]Fans)
		// TakeLoad takes what another node tells about its backend server.
		TakeLoad func(Member, guardian.Load)
		// TakeState takes a configuration from another node.
		TakeState func(director.State)
	}

	// Linker keeps the links. Make it by New. It is safe for concurrent use.
	Linker struct {
		// Lost counts the links that broke or went silent.
		Lost atomic.Int64

		clock    timekeeper.Clock
		handlers Handlers
		logger   *logger.Logger
		self     Member

		// running are the goroutines of links and of connections.
		running sync.WaitGroup

		// version counts the changes of the members and of the links.
		version atomic.Uint64
		// found are the delegates that were found last.
		found atomic.Pointer[Delegates]
		// encoded is the state that was sent last.
		encoded atomic.Pointer[encodedState]
		// wake is told that the members have changed.
		wake chan struct{}

		mu  sync.Mutex
		ctx context.Context
		// links has one link for each member, kept or not.
		links map[string]*link
		// served are the sessions that other nodes have set up.
		served map[*runs]struct{}
		// orders are the members by service in the order in which links to them
		// are wanted, and delegates who acts for all, as of the change ordersOf of the
		// members.
		orders    map[string][]string
		ordersOf  uint64
		chosen    time.Time
		delegates selector.Delegates
		// rumors are the changes of the members that other nodes are still told.
		rumors []rumor
		// informed says that all members have been told to this node once.
		informed bool
		// gone are the incarnations that have left for good: others may still
		// tell of them.
		gone map[string]struct{}
		// changed counts the changes of the members.
		changed uint64
		// digest is that of the members at the time of digestOf.
		digest, digestOf uint64
		// ahead is a session with a node that acts on a newer state, if one is
		// known.
		ahead ahead
		// peersWanted is when a node was last asked for the members it knows.
		peersWanted time.Time
		// pressed is when the backend server last had more work than it bears.
		pressed time.Time
		// fans are those that are told, fansCount counts their changes, and
		// fansChanged is when they last did.
		fans        map[string]Fans
		fansCount   uint64
		fansChanged time.Time
	}

	// Member is a node.
	Member struct {
		// Name is unique among the nodes; Incarnation among the runs of all.
		Name, Incarnation string
		// Address is where the node takes links.
		Address string
		// Service and Domain are those of the node's backend server.
		Service, Domain string
	}
)

// New returns a Linker without links.
func New(self Member, clock timekeeper.Clock, l *logger.Logger, h Handlers) *Linker {
	return &Linker{
		clock:    clock,
		handlers: h,
		logger:   l,
		self:     self,
		wake:     make(chan struct{}, 1),
		links:    map[string]*link{},
		served:   map[*runs]struct{}{},
		gone:     map[string]struct{}{},
	}
}

// Announce tells at once the load and the revision of the state that the node acts
// on.
func (l *Linker) Announce() {
	f := l.load()
	l.mu.Lock()
	defer l.mu.Unlock()
	for r := range l.served {
		r.session.put(f)
	}
}

// Run keeps the links until ctx ends, and returns once all have ended.
func (l *Linker) Run(ctx context.Context) error {
	defer l.running.Wait()
	l.mu.Lock()
	l.ctx = ctx
	l.mu.Unlock()
	l.choose()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.end()
			return nil
		case <-l.wake:
			// Members mostly change together.
			timekeeper.Sleep(ctx, l.chosen.Add(chooseInterval).Sub(l.clock.Now()))
			l.choose()
			continue
		case <-ticker.C:
		}
		l.choose()
		l.catchUp()
		l.check()
		l.spread()
	}
}

// Send runs a call on a node. refusal says not run only when the call can't run
// there any more.
func (l *Linker) Send(ctx context.Context, name string, c *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal) {
	k := l.link(name)
	if k == nil {
		return nil, unreachable(name)
	}
	return k.send(ctx, c)
}

// Serve takes links until the listener is closed.
func (l *Linker) Serve(ctx context.Context, listener net.Listener) error {
	return serve(ctx, l, listener)
}

func (l *Linker) link(name string) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.links[name]
}

// check looks after the links and what is to be told over them. Who takes the fans
// may hold a lock of its own under which it asks this Linker, so that they are
// handed over without a lock.
func (l *Linker) check() {
	if fans := l.handlers.Fans(); l.watchFans(fans) {
		l.handlers.TakeFans(l.self, fans)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	due := l.dueInterval(now)
	for _, k := range l.links {
		k.check(now)
	}
	for r := range l.served {
		l.tellLoad(r, now, due)
	}
}

// end makes sure that no link starts any more.
func (l *Linker) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.links {
		k.stop()
	}
}

func unreachable(name string) *exchanger.Refusal {
	return exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonUnreachable, "node %s can't be reached", name)
}
