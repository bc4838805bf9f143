// Package linker keeps one drpc stream to each other node. Calls, their
// answers, loads, configurations and tokens of customers' rates go over it as
// frames; what waits to be sent at one moment goes out together.
package linker

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/estimator"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/guardian"
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// checkInterval is how often links are looked after.
	checkInterval = 250 * time.Millisecond
	// loadInterval is how often nodes tell each other their loads when
	// nothing else does, but not more often than calmPerLink for every link,
	// which bounds what that costs in large deployments.
	loadInterval = 1500 * time.Millisecond
	calmPerLink  = 9 * time.Millisecond
	// pressed is the offered work, in parts of what a backend server bears,
	// from which on its load is told more often: each pressedPerLink for every
	// link.
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
)

type (
	// Fans are the calls that the runs of one route make, by their route.
	Fans = estimator.Fans

	// Handlers are what the frames of other nodes are for. None is nil.
	Handlers struct {
		// Fans returns what the node tells of its backend server's calls, by
		// the route of the runs that make them.
		Fans func() map[string]Fans
		// Grant gives away tokens of a customer's rate, in thousandths.
		Grant func(customer string, tokens int64) (granted int64)
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
		logger   *logger.Part
		self     Member

		// running are the goroutines of links and of connections.
		running sync.WaitGroup

		mu    sync.Mutex
		ctx   context.Context
		links map[string]*link
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
func New(self Member, clock timekeeper.Clock, l *logger.Part, h Handlers) *Linker {
	return &Linker{
		clock:    clock,
		handlers: h,
		logger:   l,
		self:     self,
		links:    map[string]*link{},
		gone:     map[string]struct{}{},
	}
}

// Announce tells all nodes at once the load and the revision of the state that
// the node acts on.
func (l *Linker) Announce() {
	l.broadcast(l.load())
}

// Ask asks a node for tokens of a customer's rate, in thousandths.
func (l *Linker) Ask(ctx context.Context, name, customer string, tokens int64) (granted int64) {
	k := l.link(name)
	if k == nil {
		return 0
	}
	return k.ask(ctx, customer, tokens)
}

// Changed returns a number that grows with each change of the members.
func (l *Linker) Changed() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Forget drops a member that is gone for good.
func (l *Linker) Forget(m Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gone[m.Incarnation] = struct{}{}
	if k := l.links[m.Name]; k != nil && k.member.Incarnation == m.Incarnation {
		l.logger.Infof("Forgets node %s, incarnation %s.", m.Name, m.Incarnation)
		l.changed++
		delete(l.links, m.Name)
		k.stop()
	}
}

// Leave tells all nodes that this one leaves for good.
func (l *Linker) Leave() {
	f := l.currentNews()
	f.News.Gone = true
	l.broadcast(f)
}

// Meet learns of a member. One that is known under another address or
// incarnation is replaced when certain is set.
func (l *Linker) Meet(m Member, certain bool) {
	if m.Name == l.self.Name || m.Name == "" || m.Address == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, gone := l.gone[m.Incarnation]; gone {
		return
	}
	known := l.links[m.Name]
	if known != nil && (known.member == m || !certain) {
		return
	}
	if known != nil {
		known.stop()
	}
	l.logger.Infof("Meets node %s, incarnation %s, service %s, failure domain %s.", m.Name, m.Incarnation, m.Service, m.Domain)
	l.changed++
	k := newLink(l, m)
	l.links[m.Name] = k
	if l.ctx != nil && l.ctx.Err() == nil {
		k.start(l.ctx)
	}
}

// Members returns the other members, in order of their names.
func (l *Linker) Members() []Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]Member, 0, len(l.links))
	for _, name := range slices.Sorted(maps.Keys(l.links)) {
		list = append(list, l.links[name].member)
	}
	return list
}

// Run keeps the links until ctx ends, and returns once all have ended.
func (l *Linker) Run(ctx context.Context) error {
	defer l.running.Wait()
	l.mu.Lock()
	l.ctx = ctx
	for _, k := range l.links {
		k.start(ctx)
	}
	l.mu.Unlock()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.end()
			return nil
		case <-ticker.C:
		}
		l.catchUp()
		l.check()
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

// Up reports whether the link to a node stands.
func (l *Linker) Up(name string) bool {
	k := l.link(name)
	return k != nil && k.current.Load() != nil
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
		k.check(now, due)
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
