// Package composer assembles a node from its components and runs it. A node
// serves callers, runs calls on the backend server beside it and coordinates
// with the other nodes.
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
	"github.com/flamingotack/flamingotack/internal/accountant"
	"github.com/flamingotack/flamingotack/internal/admitter"
	"github.com/flamingotack/flamingotack/internal/attributor"
	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/drainer"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/forwarder"
	"github.com/flamingotack/flamingotack/internal/guardian"
	"github.com/flamingotack/flamingotack/internal/invoker"
	"github.com/flamingotack/flamingotack/internal/linker"
	"github.com/flamingotack/flamingotack/internal/listener"
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/meter"
	"github.com/flamingotack/flamingotack/internal/promoter"
	"github.com/flamingotack/flamingotack/internal/publisher"
	"github.com/flamingotack/flamingotack/internal/releaser"
	"github.com/flamingotack/flamingotack/internal/suspecter"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// The default limits apply until the node has a configuration.
	defaultMaxHeaderBytes = 64 << 10
	defaultMaxBodyBytes   = 1 << 20
	defaultHeaderTimeout  = 10 * time.Second
	defaultIdleTimeout    = time.Minute
	// callerSocketShare is the share of the node's sockets that callers may use.
	// The rest is for the backend server, the other nodes and the directory.
	callerSocketShare = 0.6
)

type (
	// Directory is the shared store in which operators publish configurations
	// and nodes discover each other.
	Directory interface {
		// Reachable reports whether the last read of the state was answered.
		Reachable() bool
		// Watch passes new states to onState until ctx ends. It may skip any
		// number of states; their positions only grow.
		Watch(ctx context.Context, w Watchers, onState func(director.State)) error
		// Join registers the node and returns what is stored. onEarlyRead gets that earlier
		// if the registration takes long.
		Join(ctx context.Context, self linker.Member, onEarlyRead func(JoinResult)) (JoinResult, error)
		// Era returns the era of the directory, which rises when the directory is
		// restored from an older copy. WatchEra passes each higher era to onEra until
		// ctx ends.
		// InitialEra returns the era of its first answer; 0 if there was none yet.
		Era() uint64
		InitialEra() uint64
		WatchEra(ctx context.Context, onEra func(era uint64)) error
		// WriteMember writes the node's registration again. Members returns the
		// members.
		WriteMember(ctx context.Context, self linker.Member) error
		Members(ctx context.Context) ([]linker.Member, error)
		// Leave deregisters the node.
		Leave(ctx context.Context, self linker.Member) error
		// SaveLearnedState stores the learned state for nodes that join later.
		SaveLearnedState(ctx context.Context, state forwarder.LearnedState) error
		// SaveSuspects replaces the suspects that the named node has stored.
		SaveSuspects(ctx context.Context, node string, suspects []suspecter.Suspect) error
		releaser.Store
	}

	// JoinResult is what a directory returns to a node that joins.
	JoinResult struct {
		// Members are the nodes that have joined and not left.
		Members []linker.Member
		// LearnedState is the learned state that was saved last.
		LearnedState forwarder.LearnedState
		// OwnSuspects are the crash suspects that the node has stored before it started
		// anew, and OtherSuspects those of the other nodes.
		OwnSuspects, OtherSuspects []suspecter.Suspect
	}

	// Watchers are the nodes that watch the directory. They relay updates to the
	// other nodes.
	Watchers interface {
		// Count returns the number of watchers.
		Count() int
		// IncludesSelf reports whether this node is a watcher.
		IncludesSelf() bool
		// UpdatesRelayed reports whether this node gets updates from others.
		UpdatesRelayed() bool
		// Revision returns the revision of the state that this node acts on.
		Revision() uint64
	}

	// Node is a node of the overload control layer. Create it with New.
	Node struct {
		settings Settings
		self     linker.Member

		account  *accountant.Account
		acceptor *acceptor.Server
		// requestsCtx is the parent of the contexts of all callers' requests, endRequests
		// cancels it.
		requestsCtx   context.Context
		endRequests   context.CancelCauseFunc
		admitter      *admitter.Admitter
		fanOutCounter *admitter.FanOutCounter
		forwarder     *forwarder.Forwarder
		guardian      *guardian.Guardian
		linker        *linker.Linker
		rateLimiter   *admitter.DistributedRateLimiter
		releaser      *releaser.Releaser

		table          publisher.Value[director.Table]
		mu             sync.Mutex
		backendChanged chan struct{}
		rewriter       *rewriter
		stopping       atomic.Bool
		// left is set once the node deregisters.
		left atomic.Bool
		// schedule is the schedule of the stop.
		schedule publisher.Value[drainer.Drain]
		// suspectsChanged signals that the suspects to store may have changed.
		suspectsChanged chan struct{}
		callerListener  net.Listener
		peerListener    net.Listener
	}

	// watchers implements Watchers. The watchers are the delegates.
	watchers struct {
		linker *linker.Linker
		table  func() *director.Table
	}

	// Settings are the settings of a node.
	Settings struct {
		// Name is the node's name, unique among the nodes.
		Name string
		// Domain is the node's failure domain and Region the domain's region.
		Domain, Region string
		// Service is the service of the backend server beside the node.
		Service string
		// BackendAddress is the address of the backend server. The node listens
		// on CallerAddress for callers and on PeerAddress for other nodes.
		BackendAddress, CallerAddress, PeerAddress string
		// HeaderNames are the names of the HTTP header fields.
		HeaderNames exchanger.HeaderNames
		// Directory supplies configurations and members.
		Directory Directory
		// GracePeriod bounds the time that the node takes to stop.
		GracePeriod time.Duration
		// Logger is the node's logger.
		Logger *logger.Logger
		// Meter registers and exports the node's metrics.
		Meter *meter.Meter
		// RetryRatio is the ratio of retries to requests that all nodes together
		// may reach.
		RetryRatio float64
		// MaxSockets is the number of sockets that the node may have; 0 means no
		// limit.
		MaxSockets int
		// MemoryBytes is the memory of the instance; 0 means that it is not known.
		MemoryBytes int64
		// RateTolerance is how far customers may exceed their rates, and nodes
		// the retries that RetryRatio allows.
		RateTolerance admitter.RateTolerance
		// RolloutBounds bounds the requests that a bad version of a backend server gets.
		RolloutBounds promoter.Bounds
	}
)

// New returns a node that listens on its addresses. Run makes it serve.
func New(s Settings) (n *Node, err error) {
	defer func() { err = errors.Wrapf(err, "set up node %q", s.Name) }()
	n = &Node{settings: s, backendChanged: make(chan struct{}, 1), suspectsChanged: make(chan struct{}, 1)}
	n.requestsCtx, n.endRequests = context.WithCancelCause(context.Background())
	n.table.Publish(director.NewTable(director.State{}))
	n.schedule.Publish(&drainer.Drain{})
	n.rewriter = newRewriter(s.Logger.Named("rewriter"), s.Directory.Era, s.Directory.InitialEra, func() int { return len(n.linker.Peers()) + 1 }, n.rereadMembers)
	n.rewriter.add("member record", n.rewriteMember)
	n.rewriter.add("learned state", n.rewriteLearnedState)
	n.rewriter.add("rollout statuses", n.rewriteRolloutStatuses)
	n.rewriter.add("crash suspects", n.rewriteSuspects)
	callers, err := listen(s.CallerAddress)
	if err != nil {
		return nil, err
	}
	n.callerListener = listener.Wrap(callers.(*net.TCPListener))
	if n.peerListener, err = listen(s.PeerAddress); err != nil {
		n.callerListener.Close()
		return nil, err
	}
	n.self = linker.Member{
		Name:        s.Name,
		Incarnation: uuid.Must(uuid.NewV7()).String(),
		Address:     n.peerListener.Addr().String(),
		Service:     s.Service,
		Domain:      s.Domain,
	}
	n.buildComponents()
	if err := n.registerMetrics(); err != nil {
		n.callerListener.Close()
		n.peerListener.Close()
		return nil, err
	}
	return n, nil
}

// CallerAddress returns the address on which the node listens for callers.
func (n *Node) CallerAddress() string {
	return n.callerListener.Addr().String()
}

// HandleHeartbeat handles a heartbeat of the backend server.
func (n *Node) HandleHeartbeat(h guardian.Heartbeat) guardian.HeartbeatOutcome {
	return n.guardian.HandleHeartbeat(h)
}

// HandleLeave handles the message that the backend server has left.
// startUnixMillis is the server's start in milliseconds since 1970, or 0 if it
// is unknown.
func (n *Node) HandleLeave(id string, startUnixMillis int64) guardian.HeartbeatOutcome {
	return n.guardian.HandleLeave(id, startUnixMillis)
}

// AvailablePeers returns the number of other nodes of a service that, as far as
// this node knows, accept requests.
func (n *Node) AvailablePeers(service string) int {
	return n.forwarder.CountOpenNodes(service)
}

// Ready reports whether callers should use the node.
func (n *Node) Ready() bool {
	return !n.stopping.Load() && n.table.Load().HasConfig()
}

// Run runs the node until ctx ends, then stops it gracefully.
func (n *Node) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "run node %q", n.settings.Name) }()
	n.settings.Logger.Infof("incarnation %s started for service %s in failure domain %s", n.self.Incarnation, n.self.Service, n.self.Domain)
	workCtx, cancelWork := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelWork()
	var g run.Group
	addActor := func(f func(context.Context) error) {
		actorCtx, cancel := context.WithCancel(workCtx)
		g.Add(func() error { return f(actorCtx) }, func(error) { cancel() })
	}
	addActor(n.guardian.Run)
	addActor(n.linker.Run)
	addActor(n.releaser.Run)
	addActor(func(c context.Context) error {
		return n.settings.Directory.Watch(c, watchers{n.linker, n.table.Load}, n.applyState)
	})
	addActor(n.joinDirectory)
	addActor(n.broadcastChanges)
	addActor(n.saveLearnedState)
	addActor(func(c context.Context) error { return n.settings.Directory.WatchEra(c, n.rewriter.noteEra) })
	addActor(n.rewriter.run)
	addActor(func(actorCtx context.Context) error {
		defer n.acceptor.Close()
		defer context.AfterFunc(actorCtx, func() { n.callerListener.Close() })()
		err := n.acceptor.Serve(n.callerListener)
		// Other actors continue after the listener is closed to stop the node.
		<-actorCtx.Done()
		return err
	})
	g.Add(func() error { return n.linker.Serve(workCtx, n.peerListener) }, func(error) { n.peerListener.Close() })
	g.Add(func() error { return n.drain(ctx, workCtx) }, func(error) { cancelWork() })
	err = g.Run()
	n.settings.Logger.Infof("node stopped")
	return err
}

func (n *Node) buildComponents() {
	s, clock := n.settings, timekeeper.SystemClock{}
	n.account = accountant.NewForInstance(s.MemoryBytes)
	backend := &invoker.Invoker{Address: s.BackendAddress, Account: n.account, HeaderNames: s.HeaderNames}
	n.fanOutCounter = admitter.NewFanOutCounter(clock)
	runs := &attributor.Attributor{}
	n.guardian = guardian.New(guardian.Settings{
		Backend:      backend,
		IsLeafRoute:  func(route string) bool { return n.forwarder.IsLeafRoute(route) },
		OnChange:     n.notifyBackendChanged,
		Clock:        clock,
		HeaderNames:  s.HeaderNames,
		Domain:       s.Domain,
		Service:      s.Service,
		Node:         s.Name,
		ServiceNodes: func() []string { return n.forwarder.ServiceNodes(s.Service) },
		Logger:       s.Logger.Named("guardian"),
		OnRunEnd:     n.fanOutCounter.CountRun,
		OnSuspects:   n.spreadSuspects,
		Runs:         runs,
		Table:        n.table.Load,
	})
	n.linker = linker.New(n.self, clock, s.Logger.Named("linker"), linker.Handlers{
		Account:            n.account,
		FanOuts:            n.fanOutCounter.FanOuts,
		DirectoryReachable: s.Directory.Reachable,
		GrantTokens: func(ctx context.Context, key string, milliTokens int64, noBorrow bool) int64 {
			return n.rateLimiter.GrantTokens(ctx, key, milliTokens, noBorrow)
		},
		Load:             n.guardian.LoadReport,
		CallHandler:      n.guardian,
		MovesCalls:       func(service string) bool { return n.releaser.MovesCalls(service) },
		State:            func() director.State { return n.table.Load().State },
		ReceiveFanOuts:   func(m linker.Member, f map[string]linker.FanOut) { n.forwarder.UpdateFanOuts(m, f) },
		ReceiveLoad:      func(m linker.Member, l guardian.LoadReport) { n.forwarder.UpdateLoad(m, l) },
		ReceiveState:     n.applyState,
		IsolatedSuspects: n.guardian.IsolatedSuspects,
		ReceiveSuspects:  n.guardian.MergeSuspects,
		ReceiveReports:   func(from string, reports []releaser.Report) { n.releaser.HandleReports(from, reports) },
		ReceiveDecisions: func(from string, decisions []releaser.Decision) { n.releaser.HandleDecisions(from, decisions) },
	})
	n.releaser = releaser.New(releaser.Settings{
		Bounds:      s.RolloutBounds,
		Clock:       clock,
		Links:       n.linker,
		Logger:      s.Logger.Named("releaser"),
		Node:        n.self.Name,
		Incarnation: n.self.Incarnation,
		Service:     s.Service,
		Server:      n.guardian,
		Store:       s.Directory,
	})
	n.forwarder = forwarder.New(forwarder.Settings{
		Clock:              clock,
		Links:              n.linker,
		LocalLoad:          n.guardian.LoadReport,
		LocalHandler:       n.guardian,
		Logger:             s.Logger.Named("forwarder"),
		RetryRatio:         s.RetryRatio,
		RolloutPlan:        n.releaser.Plan,
		SpendSharedRetries: func(ctx context.Context, cost map[string]float64) bool { return n.rateLimiter.ChargeRetry(ctx, cost) },
		Self:               n.self,
		Table:              n.table.Load,
	}, s.Region)
	n.rateLimiter = admitter.NewDistributedRateLimiter(clock, n.linker, s.RateTolerance)
	n.admitter = admitter.New(admitter.Settings{
		Clock:        clock,
		CountCall:    n.fanOutCounter.CountCall,
		Drain:        func() drainer.Drain { return *n.schedule.Load() },
		HeaderNames:  s.HeaderNames,
		Forwarder:    n.forwarder,
		Logger:       s.Logger.Named("admitter"),
		Meter:        s.Meter,
		RateLimiter:  n.rateLimiter,
		Runs:         runs,
		LocalService: s.Service,
		Table:        n.table.Load,
	})
	n.acceptor = &acceptor.Server{
		Account:        n.account,
		BaseContext:    n.requestsCtx,
		MaxConnections: int(callerSocketShare * float64(s.MaxSockets)),
		MaxSockets:     n.maxCallerSockets(),
		Draining:       n.stopping.Load,
		Handle:         n.admitter.Handle,
		Limits:         n.limits,
		Logger:         s.Logger.Named("acceptor"),
	}
}

// maxCallerSockets returns the bound on the sockets of callers; 0 without a memory account, as
// only an account evicts callers that hold their sockets for long.
func (n *Node) maxCallerSockets() int {
	if n.account == nil {
		return 0
	}
	return n.settings.MaxSockets
}

// broadcastChanges sends changes of the backend server to the other nodes.
func (n *Node) broadcastChanges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.backendChanged:
			n.linker.BroadcastLoad()
		}
	}
}

// joinDirectory registers the node in the directory, takes over what is stored there, and
// stores the node's crash suspects from then on.
func (n *Node) joinDirectory(ctx context.Context) error {
	result, err := n.settings.Directory.Join(ctx, n.self, n.restore)
	if err == nil {
		n.restore(result)
		n.saveSuspects(ctx, result.OwnSuspects)
	}
	<-ctx.Done()
	return nil
}

// restore takes over what the directory holds.
func (n *Node) restore(r JoinResult) {
	n.linker.AddDirectoryMembers(r.Members)
	n.rateLimiter.SetLimits(n.table.Load())
	n.guardian.RestoreSuspects(r.OwnSuspects, r.OtherSuspects)
	n.forwarder.Restore(r.LearnedState)
}

func (n *Node) limits() acceptor.Limits {
	t := n.table.Load()
	if !t.HasConfig() {
		return acceptor.Limits{
			MaxHeaderBytes: defaultMaxHeaderBytes,
			MaxBodyBytes:   defaultMaxBodyBytes,
			HeaderTimeout:  defaultHeaderTimeout,
			IdleTimeout:    defaultIdleTimeout,
		}
	}
	l := t.State.Config.Limits
	return acceptor.Limits{
		MaxHeaderBytes: l.MaxHeaderBytes,
		MaxBodyBytes:   l.MaxBodyBytes,
		HeaderTimeout:  l.HeaderTimeout,
		IdleTimeout:    l.IdleTimeout,
	}
}

// applyState puts a state in force unless a newer one already is. What the state lacks
// because its directory lost it stays in force.
func (n *Node) applyState(s director.State) {
	n.rewriter.noteEra(s.Era)
	n.mu.Lock()
	defer n.mu.Unlock()
	current := n.table.Load()
	merged, changed := director.Merge(current.State, s)
	if !changed {
		return
	}
	n.releaser.Apply(merged.Rollouts)
	n.table.Publish(director.NewTable(merged))
	n.settings.Logger.Infof("revision %d put in force: configuration version %d, failure domains out of service %v", merged.Revision, merged.Version(), merged.EvacuatedDomains)
	if merged.Era > current.State.Era {
		n.settings.Logger.Warnf("directory was restored, revision %d of era %d is followed by revision %d of era %d, which keeps revision %d", current.State.Revision, current.State.Era, merged.Revision, merged.Era, merged.PriorRevision)
	}
	n.guardian.ReloadConfig()
	n.rateLimiter.SetLimits(n.table.Load())
	if n.linker.Delegates().IsDelegate() || merged.Position() != s.Position() {
		n.notifyBackendChanged()
	}
}

func (n *Node) notifyBackendChanged() {
	select {
	case n.backendChanged <- struct{}{}:
	default:
	}
}

// Count returns the number of nodes that watch the directory.
func (w watchers) Count() int {
	return w.linker.Delegates().Count
}

// IncludesSelf reports whether this node watches the directory.
func (w watchers) IncludesSelf() bool {
	return w.linker.Delegates().IsDelegate()
}

// UpdatesRelayed reports whether this node gets updates from other nodes.
func (w watchers) UpdatesRelayed() bool {
	return w.linker.CanRelyOnDelegates()
}

// Revision returns the revision of the state in force.
func (w watchers) Revision() uint64 {
	return w.table().State.Revision
}

// listen opens a TCP listener without TCP keepalive, which would set options on
// each accepted connection. Idle timeouts detect callers that are gone.
func listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	return config.Listen(context.Background(), "tcp4", address)
}
