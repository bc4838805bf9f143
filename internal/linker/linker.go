// Package linker keeps one drpc stream to each of the other nodes that this node sends
// calls to. Calls, their replies, loads, configurations and tokens of rate limits are sent
// over it as frames. Frames that are queued at the same time are sent as one batch. A node
// sends its load to the nodes that have established a link to it.
package linker

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/accountant"
	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/estimator"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/guardian"
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/releaser"
	"github.com/flamingotack/flamingotack/internal/selector"
	"github.com/flamingotack/flamingotack/internal/suspecter"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
	"github.com/flamingotack/flamingotack/internal/validator"
)

const (
	// checkInterval is the period of link maintenance.
	checkInterval = 250 * time.Millisecond
	// loadInterval is the minimum time between two loads that a node sends by
	// themselves. If loadIntervalPerLink times the number of inbound links is longer,
	// that applies instead, which bounds the cost in large deployments.
	loadInterval        = 1500 * time.Millisecond
	loadIntervalPerLink = 9 * time.Millisecond
	// highLoadFraction is the offered work, as a fraction of the backend server's
	// capacity, from which on its load is sent more often: at an interval of
	// highLoadIntervalPerLink times the number of inbound links, but at least
	// checkInterval.
	highLoadFraction        = 0.7
	highLoadIntervalPerLink = 3 * time.Millisecond
	// highLoadHold is how long the load is still sent more often after it was last
	// high.
	highLoadHold = 2 * time.Second
	// pingAfter is how long a link with pending exchanges may be quiet before it is
	// pinged, silentAfter how long before it counts as silent.
	pingAfter      = 400 * time.Millisecond
	silentAfter    = 1300 * time.Millisecond
	dialTimeout    = time.Second
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 2 * time.Second
	// replyMargin is how long after a call's deadline its reply is still awaited.
	replyMargin = 40 * time.Millisecond
	// cancelTimeout is how long a node that stops waits for the answer to a call that it
	// has canceled.
	cancelTimeout = 100 * time.Millisecond
	// unwantedLinkTime is how long an unwanted link is kept.
	unwantedLinkTime = 10 * time.Second
	// minChoiceInterval is the minimum time between a choice of links and the next one
	// that a change of the members causes.
	minChoiceInterval = 50 * time.Millisecond
)

type (
	// FanOut is the mean number of calls that one run of a route makes, by the route of
	// the calls.
	FanOut = estimator.FanOut

	// Handlers supplies what is sent to other nodes and receives their frames. No field
	// but Account may be nil.
	Handlers struct {
		// Account bounds the memory of calls and answers in transit; nil means no bound.
		Account *accountant.Account
		// FanOuts returns the fan-outs of the node's backend server by the route of
		// the runs.
		FanOuts func() map[string]FanOut
		// DirectoryReachable reports whether the directory answers this node.
		DirectoryReachable func() bool
		// GrantTokens grants tokens of the limit with the given key to another node,
		// in thousandths of a token. noBorrow restricts it to tokens that this node
		// holds.
		GrantTokens func(ctx context.Context, key string, milliTokens int64, noBorrow bool) (grantedMilliTokens int64)
		// Load returns the load of the node's backend server.
		Load func() guardian.LoadReport
		// CallHandler runs the calls of other nodes.
		CallHandler exchanger.CallHandler
		// State returns the configuration in force.
		State func() director.State
		// MovesCalls reports whether calls of a service move between versions; nil if none
		// ever do. It must not call the Linker.
		MovesCalls func(service string) bool
		// IsolatedSuspects returns the suspects that every node must know.
		IsolatedSuspects func() []suspecter.Suspect
		// ReceiveFanOuts receives the fan-outs of a node, by the route of the runs;
		// also those of this node.
		ReceiveFanOuts func(Member, map[string]FanOut)
		// ReceiveLoad receives the load of another node's backend server.
		ReceiveLoad func(Member, guardian.LoadReport)
		// ReceiveState receives a configuration from another node.
		ReceiveState func(director.State)
		// ReceiveReports and ReceiveDecisions receive the reports and decisions on
		// rollouts that the node from has sent.
		ReceiveReports   func(from string, reports []releaser.Report)
		ReceiveDecisions func(from string, decisions []releaser.Decision)
		// ReceiveSuspects receives suspects from another node and returns those that
		// were news.
		ReceiveSuspects func([]suspecter.Suspect) (news []suspecter.Suspect)
	}

	// Linker manages the links to the other nodes. Create it with New. It is safe for
	// concurrent use.
	Linker struct {
		// LostLinks counts the links that broke or went silent.
		LostLinks atomic.Int64
		// RefusedForMemory counts the calls and answers that ended because memory was
		// short.
		RefusedForMemory atomic.Int64

		account *accountant.Account
		// handshakes bounds the inbound connections whose other side is not known yet.
		handshakes handshakes
		clock      timekeeper.Clock
		handlers   Handlers
		logger     *logger.Logger
		self       Member

		// goroutines tracks the goroutines of links and of their sessions.
		goroutines sync.WaitGroup

		// peersVersion counts the changes of the members and of the links.
		peersVersion atomic.Uint64
		// delegateView is the view that was computed last.
		delegateView atomic.Pointer[DelegateView]
		// encodedState caches the encoding of the state that was sent last.
		encodedState atomic.Pointer[encodedState]
		// membersChanged signals that the members have changed.
		membersChanged chan struct{}
		// newSuspects holds the suspects whose spreading has not begun.
		newSuspects suspectList

		mu  sync.Mutex
		ctx context.Context
		// links holds one link for each other member by name, started or not.
		links map[string]*link
		// leavingLinks holds the links to members that have left, until no exchange is
		// pending on them.
		leavingLinks map[*link]struct{}
		// inbound holds the sessions that other nodes have established.
		inbound map[*inboundSession]struct{}
		// linkOrders holds the names of the members by service, in the order in which
		// links to them are wanted. It and delegates belong to the membersVersion
		// linkOrdersVersion.
		linkOrders        map[string][]string
		linkOrdersVersion uint64
		linksChosenAt     time.Time
		delegates         selector.Delegates
		// rumors holds the changes of the members that are still being spread.
		rumors []rumor
		// membersReceived reports whether this node has received the whole member list
		// once.
		membersReceived bool
		// departed holds the incarnations that have left for good. Other nodes may
		// still name them as members.
		departed map[string]struct{}
		// membersVersion counts the changes of the members.
		membersVersion uint64
		// digest is the digest of the members at the membersVersion digestVersion.
		digest, digestVersion uint64
		// newerState identifies a node that acts on a newer state, if one is known.
		newerState newerState
		// peersRequestedAt is when this node last requested the members that another
		// node knows.
		peersRequestedAt time.Time
		// highLoadAt is when the backend server was last offered at least
		// highLoadFraction of its capacity.
		highLoadAt time.Time
		// fanOuts holds the fan-outs that are sent, fanOutsVersion counts their changes
		// and fanOutsChangedAt is when they last changed.
		fanOuts          map[string]FanOut
		fanOutsVersion   uint64
		fanOutsChangedAt time.Time
	}

	// Member identifies an incarnation of a node and its backend server.
	Member struct {
		// Name is unique among the nodes, Incarnation among all starts of all nodes.
		Name, Incarnation string
		// Address is the address on which the node accepts links.
		Address string
		// Service and Domain are the service and the failure domain of the node's
		// backend server.
		Service, Domain string
	}
)

// Validate returns an error that names the first property that is missing or invalid.
func (m *Member) Validate() (err error) {
	defer func() { err = errors.Wrapf(err, "member %q", m.Name) }()
	for _, property := range []struct{ name, value string }{
		{"name", m.Name},
		{"incarnation", m.Incarnation},
		{"service", m.Service},
		{"failure domain", m.Domain},
	} {
		if property.value == "" {
			return errors.Newf("%s is missing", property.name)
		}
	}
	return validator.Address(m.Address)
}

// New returns a Linker without links.
func New(self Member, clock timekeeper.Clock, l *logger.Logger, h Handlers) *Linker {
	return &Linker{
		account:        h.Account,
		handshakes:     handshakes{logger: l},
		clock:          clock,
		handlers:       h,
		logger:         l,
		self:           self,
		membersChanged: make(chan struct{}, 1),
		newSuspects:    suspectList{changed: make(chan struct{}, 1)},
		links:          map[string]*link{},
		leavingLinks:   map[*link]struct{}{},
		inbound:        map[*inboundSession]struct{}{},
		departed:       map[string]struct{}{},
	}
}

// BroadcastLoad sends the load and the revision of the state that the node acts on over all
// inbound links at once.
func (l *Linker) BroadcastLoad() {
	f := l.loadFrame()
	l.mu.Lock()
	defer l.mu.Unlock()
	for r := range l.inbound {
		r.session.enqueue(f)
	}
}

// Run maintains the links until ctx ends and returns nil once all have ended.
func (l *Linker) Run(ctx context.Context) error {
	defer l.goroutines.Wait()
	l.mu.Lock()
	l.ctx = ctx
	l.mu.Unlock()
	l.chooseLinks()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.stopLinks()
			return nil
		case <-l.membersChanged:
			// Members mostly change together, so a short wait saves choices.
			timekeeper.Sleep(ctx, l.linksChosenAt.Add(minChoiceInterval).Sub(l.clock.Now()))
			l.chooseLinks()
			continue
		case <-l.newSuspects.changed:
			l.spreadRumors()
			continue
		case <-ticker.C:
		}
		l.chooseLinks()
		l.requestNewerState()
		l.maintainLinks()
		l.spreadRumors()
	}
}

// Send runs a call on a node. It returns a reply or a refusal. The refusal reports the call
// as not run only if the call can't run there any more.
func (l *Linker) Send(ctx context.Context, name string, c *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal) {
	k := l.link(name)
	if k == nil {
		return nil, unreachableRefusal(name)
	}
	return k.send(ctx, c)
}

// Serve accepts links until the listener is closed, and then returns nil.
func (l *Linker) Serve(ctx context.Context, listener net.Listener) error {
	return acceptConns(ctx, l, listener)
}

// RefusedHandshakes returns the number of inbound connections that were closed to make room, or
// because they sent too much, before they told the name of a node.
func (l *Linker) RefusedHandshakes() int64 {
	return l.handshakes.refused.Load()
}

// Idle reports whether this node runs no call for another node and has sent all answers.
func (l *Linker) Idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for r := range l.inbound {
		if !r.idle() {
			return false
		}
	}
	return true
}

// link returns the link to a member, or nil.
func (l *Linker) link(name string) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.links[name]
}

// maintainLinks maintains all links and sends due updates over the inbound ones.
// ReceiveFanOuts is called without the lock, because its implementation may hold a lock of
// its own under which it calls this Linker.
func (l *Linker) maintainLinks() {
	if fanOuts := l.handlers.FanOuts(); l.updateFanOuts(fanOuts) {
		l.handlers.ReceiveFanOuts(l.self, fanOuts)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	loadSendInterval := l.loadSendInterval(now)
	for _, k := range l.links {
		k.maintain(now)
	}
	for k := range l.leavingLinks {
		k.maintain(now)
		if k.stopIfIdle() {
			delete(l.leavingLinks, k)
		}
	}
	for r := range l.inbound {
		l.sendDueUpdates(r, now, loadSendInterval)
	}
}

// stopLinks stops all links.
func (l *Linker) stopLinks() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.links {
		k.stop()
	}
	for k := range l.leavingLinks {
		k.stop()
	}
}

func unreachableRefusal(name string) *exchanger.Refusal {
	return exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonUnreachable, "node %s can't be reached", name)
}
