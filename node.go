// Package flamingotack runs a node: the small process beside a backend server
// that admits requests, routes them and guards its backend server.
package flamingotack

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/oklog/run"

	"github.com/flamingotack/flamingotack/internal/connector"
	"github.com/flamingotack/flamingotack/internal/dispatcher"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/indexer"
	"github.com/flamingotack/flamingotack/internal/issuer"
	"github.com/flamingotack/flamingotack/internal/journaler"
	"github.com/flamingotack/flamingotack/internal/listener"
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/messenger"
	"github.com/flamingotack/flamingotack/internal/meter"
	"github.com/flamingotack/flamingotack/internal/parser"
	"github.com/flamingotack/flamingotack/internal/publisher"
	"github.com/flamingotack/flamingotack/internal/receiver"
	"github.com/flamingotack/flamingotack/internal/relayer"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
	"github.com/flamingotack/flamingotack/internal/tracker"
)

const (
	bodyTimeout    = 30 * time.Second
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

type (
	// Dependencies are the external systems that a node uses. A nil field selects
	// the default.
	Dependencies struct {
		// Backend is the backend server. Default: HTTP at Settings.BackendURL.
		Backend relayer.Backend
		// Clock returns the time. Default: the system clock.
		Clock timekeeper.Clock
		// Log is the shared log of the platform. Default: HTTP at Settings.LogURL.
		Log journaler.Log
		// Logger writes the log lines. Default: standard error.
		Logger *logger.Logger
		// WrapConn wraps each connection that the node dials to another node's
		// address, so that a test can delay or break it. Default: connections are
		// not wrapped.
		WrapConn func(address string, conn net.Conn) net.Conn
	}

	// Node is one node. Create it with New.
	Node struct {
		settings     parser.Settings
		dependencies Dependencies
		self         folder.Member
		listeners    listeners

		connector       *connector.Connector
		index           publisher.Value[indexer.Index]
		issuer          *issuer.Issuer
		receiver        *receiver.Receiver
		runningRequests *receiver.RunningRequests
		sender          *dispatcher.Sender
		guard           *guard
		routing         *routingFilter
		meter           *meter.Meter
		security        security
		lifecycle       lifecycle

		membership membership
		tracker    *tracker.Tracker
		rateLimit  *rateLimitFilter
		dedupe     *dedupeFilter
		// lastManifestAt is when the manifest was last replaced.
		lastManifestAt atomic.Pointer[time.Time]
	}

	listeners struct {
		admin  net.Listener
		caller net.Listener
		egress net.Listener
		peer   net.Listener
	}
)

// New returns a node that listens on the addresses in its settings, in which
// the defaults are already set. Port 0 takes any free port.
func New(settings parser.Settings, dependencies Dependencies) (n *Node, err error) {
	defer func() { err = errors.Wrapf(err, "set up node %q", settings.Name) }()
	if err := dependencies.setDefaults(settings); err != nil {
		return nil, err
	}
	n = &Node{
		settings:        settings,
		dependencies:    dependencies,
		connector:       connector.New(settings.PeerAddress),
		issuer:          issuer.New(),
		runningRequests: receiver.NewRunningRequests(),
	}
	n.lifecycle.requestsCtx, n.lifecycle.endRequests = context.WithCancelCause(context.Background())
	n.connector.WrapConn = dependencies.WrapConn
	if n.security, err = newSecurity(settings, dependencies.Logger.Named("securer")); err != nil {
		return nil, err
	}
	if n.security.peers != nil {
		n.connector.SecureConn = n.security.peers.ClientHandshake
	}
	if n.meter, err = meter.New(dependencies.Clock); err != nil {
		return nil, err
	}
	if err := n.listeners.open(&n.settings); err != nil {
		return nil, err
	}
	n.security.wrapListeners(&n.listeners)
	n.self = folder.Member{
		Name:          settings.Name,
		Incarnation:   uuid.Must(uuid.NewV7()).String(),
		Service:       settings.Service,
		Domain:        settings.Domain,
		Region:        settings.Region,
		PeerAddress:   cmp.Or(settings.AnnouncedPeerAddress, n.settings.PeerAddress),
		AdminAddress:  n.settings.AdminAddress,
		CallerAddress: n.settings.CallerAddress,
	}
	n.assemble()
	return n, n.registerMembershipMetrics()
}

// Run runs the node until ctx ends, then stops it gracefully: running requests
// may finish within the grace period of the settings.
func (n *Node) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "run node %q", n.self.Name) }()
	componentsCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var g run.Group
	addActor := func(f func(context.Context) error) {
		actorCtx, cancel := context.WithCancel(componentsCtx)
		g.Add(func() error { return f(actorCtx) }, func(error) { cancel() })
	}
	addActor(n.connector.Run)
	addActor(n.membership.tailer.Run)
	addActor(n.membership.beater.Run)
	addActor(n.startFromPeers)
	addActor(n.join)
	addActor(n.cancelWhenStale)
	addActor(n.cancelWithdrawnKeys)
	addActor(n.queryFormerOwners)
	addActor(n.rateLimit.maintain)
	addActor(n.dedupe.maintain)
	addActor(n.probeBackend)
	n.serve(&g)
	g.Add(func() error { return n.drain(ctx, componentsCtx) }, func(error) { stop() })
	n.dependencies.Logger.Infof("node started as incarnation %s in failure domain %s, callers at %s", n.self.Incarnation, n.self.Domain, n.settings.CallerAddress)
	err = g.Run()
	n.connector.Close()
	n.membership.connector.Close()
	if errors.Is(err, errStopped) {
		n.dependencies.Logger.Infof("node stopped")
		return nil
	}
	return err
}

// Settings returns the settings with the addresses that the node listens on.
func (n *Node) Settings() parser.Settings {
	return n.settings
}

func (n *Node) assemble() {
	n.guard = newGuard(n)
	n.routing = newRoutingFilter(n)
	n.sender = &dispatcher.Sender{
		Clock:         n.dependencies.Clock,
		Connector:     n.connector,
		OnLoad:        n.routing.reportLoad,
		Self:          &messenger.Member{Name: n.self.Name, Incarnation: n.self.Incarnation},
		ConfigVersion: n.configVersion,
	}
	n.membership = newMembership(n)
	n.receiver = &receiver.Receiver{
		MaxBodyBytes: n.settings.MaxBodyBytes,
		Clock:        n.dependencies.Clock,
		Draining:     n.lifecycle.draining.Load,
		Handler:      n.newAdmissionFilters(),
		Index:        n.index.Load,
		Issuer:       n.issuer,
		OnOutcome:    n.observe,
		Running:      n.runningRequests,
	}
}

// newAdmissionFilters returns the filters between the receiver and the backend
// servers.
func (n *Node) newAdmissionFilters() exchanger.Handler {
	n.dedupe = newDedupeFilter(n, n.routing)
	n.rateLimit = newRateLimitFilter(n, n.dedupe)
	return &freshnessFilter{node: n, next: n.rateLimit}
}

// cancelWithdrawnKeys cancels the running requests whose key was withdrawn.
func (n *Node) cancelWithdrawnKeys(ctx context.Context) error {
	for {
		changed := n.index.Changed()
		if index := n.index.Load(); index != nil {
			n.runningRequests.CancelInvalidKeys(index)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (n *Node) serve(g *run.Group) {
	n.serveHTTP(g, n.listeners.caller, n.receiver.CallerHandler())
	n.serveHTTP(g, n.listeners.egress, n.receiver.EgressHandler())
	n.serveHTTP(g, n.listeners.admin, n.adminHandler())
	n.servePeers(g)
}

func (n *Node) serveHTTP(g *run.Group, ln net.Listener, handler http.Handler) {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return n.lifecycle.requestsCtx },
		ErrorLog:          nil,
	}
	n.lifecycle.httpServers = append(n.lifecycle.httpServers, server)
	interrupted := make(chan struct{})
	g.Add(func() error {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		// Serve returns when a planned stop begins to close the server. The rest of
		// the node is needed until the last request has ended.
		<-interrupted
		return nil
	}, func(error) {
		close(interrupted)
		_ = server.Close()
	})
}

func (n *Node) configVersion() uint64 {
	index := n.index.Load()
	if index == nil {
		return 0
	}
	return index.State.ConfigVersion
}

func (d *Dependencies) setDefaults(settings parser.Settings) (err error) {
	if d.Backend == nil {
		if d.Backend, err = relayer.NewHTTPBackend(settings.BackendURL); err != nil {
			return err
		}
	}
	if d.Clock == nil {
		d.Clock = timekeeper.SystemClock{}
	}
	if d.Log == nil {
		d.Log = journaler.NewHTTPLog(settings.LogURL)
	}
	if d.Logger == nil {
		d.Logger = logger.New(os.Stderr, settings.LogLevel, settings.Name)
	}
	return nil
}

// open opens the listeners and stores their addresses in the settings.
func (l *listeners) open(s *parser.Settings) (err error) {
	for _, ln := range []struct {
		address  *string
		listener *net.Listener
	}{
		{&s.AdminAddress, &l.admin},
		{&s.CallerAddress, &l.caller},
		{&s.EgressAddress, &l.egress},
		{&s.PeerAddress, &l.peer},
	} {
		if *ln.listener, err = listener.Listen(*ln.address); err != nil {
			l.close()
			return err
		}
		*ln.address = (*ln.listener).Addr().String()
	}
	return nil
}

func (l *listeners) close() {
	for _, ln := range []net.Listener{l.admin, l.caller, l.egress, l.peer} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}
