// Package composer puts the parts of a node together: it serves callers, runs
// calls on the backend server beside it and acts with the other nodes.
package composer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/oklog/run"

	"github.com/flamingotack/flamingotack/internal/acceptor"
	"github.com/flamingotack/flamingotack/internal/admitter"
	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/forwarder"
	"github.com/flamingotack/flamingotack/internal/guardian"
	"github.com/flamingotack/flamingotack/internal/invoker"
	"github.com/flamingotack/flamingotack/internal/linker"
	"github.com/flamingotack/flamingotack/internal/listener"
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/meter"
	"github.com/flamingotack/flamingotack/internal/publisher"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// defaultLimits hold until there is a configuration.
	defaultHeaderBytes   = 64 << 10
	defaultBodyBytes     = 1 << 20
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = time.Minute
	// callersPart is the part of the sockets that callers may use. The rest is for
	// the backend server, the other nodes and the directory.
	callersPart = 0.6
)

type (
	// Directory is where operators publish configurations and nodes find each
	// other.
	Directory interface {
		// Answers reports whether the last read of the states was answered.
		Reachable() bool
		// Follow hands each new state to take, until ctx ends. Any number of
		// states may be missed; revisions only grow.
		Watch(ctx context.Context, f Watchers, take func(director.State)) error
		// Join makes the node known and returns what the directory knows.
		Join(ctx context.Context, self linker.Member) (JoinResult, error)
		// Leave says that the node leaves for good.
		Leave(ctx context.Context, self linker.Member) error
		// Remember keeps a memory for nodes that join.
		SaveLearnedState(ctx context.Context, m forwarder.Memory) error
	}

	// Known is what a directory knows.
	JoinResult struct {
		// Members are the nodes that have joined and not left.
		Members []linker.Member
		// Memory is the one that was kept last.
		LearnedState forwarder.Memory
	}

	// Followers are the nodes that follow the directory.
	Watchers interface {
		// Count returns their number.
		Count() int
		// Self reports whether this node is one of them.
		IncludesSelf() bool
		// Suffice reports whether this node hears what is new from others.
		UpdatesRelayed() bool
	}

	// Node is one node. Make it by New.
	Node struct {
		settings Settings
		self     linker.Member

		acceptor  *acceptor.Server
		admitter  *admitter.Admitter
		fans      *admitter.FanCounter
		forwarder *forwarder.Forwarder
		guardian  *guardian.Guardian
		linker    *linker.Linker
		shares    *admitter.Shares

		table    publisher.Value[director.Table]
		mu       sync.Mutex
		announce chan struct{}
		stopping atomic.Bool
		// leaving is set once callers have had time to see that the node is
		// not ready.
		leaving  atomic.Bool
		listener net.Listener
		peers    net.Listener
	}

	// followers are the delegates among the nodes.
	followers struct {
		linker *linker.Linker
	}

	// Settings are those of a node.
	Settings struct {
		// Name is unique among the nodes.
		Name string
		// Domain is the failure domain and Region that domain's region.
		Domain, Region string
		// Service is that of the backend server beside the node.
		Service string
		// Backend, Caller and Peer are the addresses of the backend server,
		// for callers and for other nodes.
		BackendAddress, CallerAddress, PeerAddress string
		// Dialect names the header fields.
		Dialect exchanger.Dialect
		// Directory is where configurations and members come from.
		Directory Directory
		// Grace is how long the node may take to stop.
		GracePeriod time.Duration
		// Logger takes the log lines.
		Logger *logger.Logger
		// Meter counts what the node does.
		Meter *meter.Meter
		// RepeatRatio is the part of the requests that all nodes may repeat.
		RetryRatio float64
		// Sockets is the number of sockets that the node may have; 0 sets no bound.
		MaxSockets int
		// Slack is how far customers may go above their rates, and nodes above the
		// repeats that requests earn.
		Slack admitter.Slack
	}
)

// New returns a node that listens on its addresses.
func New(s Settings) (n *Node, err error) {
	defer func() { err = errors.Wrapf(err, "set up node %q", s.Name) }()
	n = &Node{settings: s, announce: make(chan struct{}, 1)}
	n.table.Publish(director.NewTable(director.State{}))
	callers, err := listen(s.CallerAddress)
	if err != nil {
		return nil, err
	}
	n.listener = listener.Wrap(callers.(*net.TCPListener))
	if n.peers, err = listen(s.PeerAddress); err != nil {
		n.listener.Close()
		return nil, err
	}
	n.self = linker.Member{
		Name:        s.Name,
		Incarnation: uuid.Must(uuid.NewV7()).String(),
		Address:     n.peers.Addr().String(),
		Service:     s.Service,
		Domain:      s.Domain,
	}
	n.assemble()
	if err := n.watch(); err != nil {
		n.listener.Close()
		n.peers.Close()
		return nil, err
	}
	return n, nil
}

// Address returns where callers reach the node.
func (n *Node) CallerAddress() string {
	return n.listener.Addr().String()
}

// Heartbeat takes what the backend server tells about itself.
func (n *Node) HandleHeartbeat(h guardian.Heartbeat) guardian.Verdict {
	return n.guardian.HandleHeartbeat(h)
}

// Leave takes the backend server's word that it has left.
func (n *Node) HandleLeave(id string, born int64) guardian.Verdict {
	return n.guardian.HandleLeave(id, born)
}

// Open returns the number of other nodes of a service that take requests, as this
// one knows.
func (n *Node) AvailablePeers(service string) int {
	return n.forwarder.Open(service)
}

// Ready reports whether callers should use the node.
func (n *Node) Ready() bool {
	return !n.stopping.Load() && n.table.Load().Ready()
}

// Run runs the node until ctx ends, then stops it gracefully.
func (n *Node) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "run node %q", n.settings.Name) }()
	n.settings.Logger.Infof("Starts as incarnation %s for service %s in failure domain %s.", n.self.Incarnation, n.self.Service, n.self.Domain)
	work, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	var g run.Group
	actor := func(f func(context.Context) error) {
		c, cancel := context.WithCancel(work)
		g.Add(func() error { return f(c) }, func(error) { cancel() })
	}
	actor(n.guardian.Run)
	actor(n.linker.Run)
	actor(func(c context.Context) error { return n.settings.Directory.Watch(c, followers{n.linker}, n.take) })
	actor(n.join)
	actor(n.announcements)
	actor(n.remember)
	actor(func(c context.Context) error {
		defer n.acceptor.Close()
		defer context.AfterFunc(c, func() { n.listener.Close() })()
		err := n.acceptor.Serve(n.listener)
		// The node goes on after its listener was closed to stop it.
		<-c.Done()
		return err
	})
	g.Add(func() error { return n.linker.Serve(work, n.peers) }, func(error) { n.peers.Close() })
	g.Add(func() error { return n.drain(ctx, work) }, func(error) { end() })
	err = g.Run()
	n.settings.Logger.Infof("Stopped.")
	return err
}

func (n *Node) assemble() {
	s, clock := n.settings, timekeeper.SystemClock{}
	backend := &invoker.Invoker{Address: s.BackendAddress, Dialect: s.Dialect}
	n.fans = admitter.NewFanCounter(clock)
	n.guardian = guardian.New(guardian.Settings{
		Backend: backend,
		Leaf:    func(route string) bool { return n.forwarder.Leaf(route) },
		Changed: n.wake,
		Clock:   clock,
		Dialect: s.Dialect,
		Domain:  s.Domain,
		Service: s.Service,
		Logger:  s.Logger.Named("guardian"),
		Ran:     n.fans.Ran,
		Table:   n.table.Load,
	})
	n.linker = linker.New(n.self, clock, s.Logger.Named("linker"), linker.Handlers{
		Fans:    n.fans.Fans,
		Follows: s.Directory.Reachable,
		Grant: func(ctx context.Context, customer string, tokens int64, held bool) int64 {
			return n.shares.Give(ctx, customer, tokens, held)
		},
		Load:      n.guardian.Load,
		Run:       n.guardian,
		State:     func() director.State { return n.table.Load().State },
		TakeFans:  func(m linker.Member, f map[string]linker.Fans) { n.forwarder.TakeFans(m, f) },
		TakeLoad:  func(m linker.Member, l guardian.Load) { n.forwarder.TakeLoad(m, l) },
		TakeState: n.take,
	})
	n.forwarder = forwarder.New(forwarder.Settings{
		Clock:       clock,
		Links:       n.linker,
		Load:        n.guardian.Load,
		Local:       n.guardian,
		Logger:      s.Logger.Named("forwarder"),
		RepeatRatio: s.RetryRatio,
		Repeat:      func(ctx context.Context, cost map[string]float64) bool { return n.shares.Repeat(ctx, cost) },
		Self:        n.self,
		Table:       n.table.Load,
	}, s.Region)
	n.shares = admitter.NewShares(clock, n.linker, s.Slack)
	n.admitter = admitter.New(admitter.Settings{
		Clock:     clock,
		Called:    n.fans.Called,
		Dialect:   s.Dialect,
		Forwarder: n.forwarder,
		Leaving:   n.leaving.Load,
		Logger:    s.Logger.Named("admitter"),
		Meter:     s.Meter,
		Rates:     n.shares,
		Service:   s.Service,
		Table:     n.table.Load,
	})
	n.acceptor = &acceptor.Server{
		Connections: int(callersPart * float64(s.MaxSockets)),
		Draining:    n.stopping.Load,
		Handle:      n.admitter.Handle,
		Limits:      n.limits,
		Logger:      s.Logger.Named("acceptor"),
	}
}

// announcements tells the other nodes of changes of the backend server.
func (n *Node) announcements(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.announce:
			n.linker.Announce()
		}
	}
}

// join makes the node known.
func (n *Node) join(ctx context.Context) error {
	known, err := n.settings.Directory.Join(ctx, n.self)
	if err == nil {
		n.linker.Introduce(known.Members)
		n.forwarder.Recall(known.LearnedState)
		n.shares.Set(n.table.Load())
	}
	<-ctx.Done()
	return nil
}

func (n *Node) limits() acceptor.Limits {
	t := n.table.Load()
	if !t.Ready() {
		return acceptor.Limits{
			HeaderBytes:   defaultHeaderBytes,
			BodyBytes:     defaultBodyBytes,
			HeaderTimeout: defaultHeaderTimeout,
			IdleTimeout:   defaultIdleTimeout,
		}
	}
	l := t.State.Config.Limits
	return acceptor.Limits{
		HeaderBytes:   l.HeaderBytes,
		BodyBytes:     l.BodyBytes,
		HeaderTimeout: l.HeaderTimeout,
		IdleTimeout:   l.IdleTimeout,
	}
}

// take puts a state in force unless a newer one is. The version of the
// configuration never falls.
func (n *Node) take(s director.State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	current := n.table.Load()
	if s.Revision <= current.State.Revision {
		return
	}
	if current.Ready() && (s.Config == nil || s.Config.Version < current.State.Config.Version) {
		s.Config = current.State.Config
	}
	n.table.Publish(director.NewTable(s))
	n.settings.Logger.Infof("Revision %d is in force: configuration %d, out of service %v.", s.Revision, s.Version(), s.Evacuated)
	n.guardian.Refresh()
	n.shares.Set(n.table.Load())
	if n.linker.Delegates().Self() {
		n.wake()
	}
}

func (n *Node) wake() {
	select {
	case n.announce <- struct{}{}:
	default:
	}
}

// Count returns the number of nodes that follow the directory.
func (f followers) Count() int {
	return f.linker.Delegates().Count
}

// Self reports whether this node is one of them.
func (f followers) IncludesSelf() bool {
	return f.linker.Delegates().Self()
}

// Suffice reports whether this node hears what is new from other nodes.
func (f followers) UpdatesRelayed() bool {
	return f.linker.Followed()
}

// listen listens without the keepalive options that each accepted connection
// would get: callers that are gone are found by their silence.
func listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	return config.Listen(context.Background(), "tcp4", address)
}
