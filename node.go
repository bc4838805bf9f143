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
	// Edges are what a node reaches outside itself. A nil field stands for
	// the real one.
	Edges struct {
		// Backend is the backend server. Default: HTTP at Settings.Backend.
		Backend relayer.Backend
		// Clock tells the time. Default: the system's clock.
		Clock timekeeper.Clock
		// Log is the platform's log. Default: HTTP at Settings.Log.
		Log journaler.Log
		// Logger takes the log lines. Default: standard error.
		Logger *logger.Logger
		// Wrap stands between the node and each connection that it dials to
		// another node's address, so that a test can delay or break it.
		// Default: nothing does.
		Wrap func(address string, conn net.Conn) net.Conn
	}

	// Node is one node. Make it by New.
	Node struct {
		settings  parser.Settings
		edges     Edges
		self      folder.Member
		listeners listeners

		connector *connector.Connector
		index     publisher.Value[indexer.Index]
		issuer    *issuer.Issuer
		receiver  *receiver.Receiver
		running   *receiver.Running
		sender    *dispatcher.Sender
		guard     *guard
		route     *route
		meter     *meter.Meter
		security  security
		lifecycle lifecycle

		membership membership
		tracker    *tracker.Tracker
		throttle   *throttle
		dedupe     *dedupe
		// manifestTime is when the manifest was last replaced.
		manifestTime atomic.Pointer[time.Time]
	}

	listeners struct {
		admin  net.Listener
		caller net.Listener
		egress net.Listener
		peer   net.Listener
	}
)

// New returns a node that listens on the addresses in its settings, whose
// defaults are filled in. Port 0 takes any free port.
func New(settings parser.Settings, edges Edges) (n *Node, err error) {
	defer func() { err = errors.Wrapf(err, "set up node %q", settings.Name) }()
	if err := edges.fill(settings); err != nil {
		return nil, err
	}
	n = &Node{
		settings:  settings,
		edges:     edges,
		connector: connector.New(settings.Peer),
		issuer:    issuer.New(),
		running:   receiver.NewRunning(),
	}
	n.connector.WrapConn = edges.Wrap
	if n.security, err = newSecurity(settings, edges.Logger.Named("securer")); err != nil {
		return nil, err
	}
	if n.security.peers != nil {
		n.connector.SecureConn = n.security.peers.Client
	}
	if n.meter, err = meter.New(edges.Clock); err != nil {
		return nil, err
	}
	if err := n.listeners.open(&n.settings); err != nil {
		return nil, err
	}
	n.security.cover(&n.listeners)
	n.self = folder.Member{
		Name:        settings.Name,
		Incarnation: uuid.Must(uuid.NewV7()).String(),
		Service:     settings.Service,
		Domain:      settings.Domain,
		Region:      settings.Region,
		Peer:        cmp.Or(settings.Announce, n.settings.Peer),
		Admin:       n.settings.Admin,
		Caller:      n.settings.Caller,
	}
	n.assemble()
	return n, n.meterMembership()
}

// Run runs the node until ctx ends, then stops it gracefully: running requests
// end, for at most the grace of the settings.
func (n *Node) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "run node %q", n.self.Name) }()
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var g run.Group
	actor := func(f func(context.Context) error) {
		c, cancel := context.WithCancel(work)
		g.Add(func() error { return f(c) }, func(error) { cancel() })
	}
	actor(n.connector.Run)
	actor(n.membership.tailer.Run)
	actor(n.membership.beater.Run)
	actor(n.startFromPeers)
	actor(n.join)
	actor(n.cutStale)
	actor(n.cutWithdrawn)
	actor(n.hasten)
	actor(n.throttle.keep)
	actor(n.dedupe.keep)
	actor(n.probe)
	n.serve(&g)
	g.Add(func() error { return n.drain(ctx, work) }, func(error) { stop() })
	n.edges.Logger.Infof("Runs as %s in failure domain %s, callers at %s.", n.self.Incarnation, n.self.Domain, n.settings.Caller)
	err = g.Run()
	n.connector.Close()
	n.membership.connector.Close()
	if errors.Is(err, errStopped) {
		n.edges.Logger.Infof("Stopped.")
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
	n.route = newRoute(n)
	n.sender = &dispatcher.Sender{
		Clock:         n.edges.Clock,
		Connector:     n.connector,
		OnLoad:        n.route.report,
		Self:          &messenger.Member{Name: n.self.Name, Incarnation: n.self.Incarnation},
		ConfigVersion: n.version,
	}
	n.membership = newMembership(n)
	n.receiver = &receiver.Receiver{
		Body:     n.settings.Body,
		Clock:    n.edges.Clock,
		Draining: n.lifecycle.draining.Load,
		Handler:  n.admit(),
		Index:    n.index.Load,
		Issuer:   n.issuer,
		Observe:  n.observe,
		Running:  n.running,
	}
}

// admit returns the filters between the receiver and the backend servers.
func (n *Node) admit() exchanger.Handler {
	n.dedupe = newDedupe(n, n.route)
	n.throttle = newThrottle(n, n.dedupe)
	return &gate{node: n, next: n.throttle}
}

// cutWithdrawn ends the requests of withdrawn keys that still run.
func (n *Node) cutWithdrawn(ctx context.Context) error {
	for {
		changed := n.index.Changed()
		if x := n.index.Load(); x != nil {
			n.running.Cut(x)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (n *Node) serve(g *run.Group) {
	n.serveHTTP(g, n.listeners.caller, n.receiver.Caller())
	n.serveHTTP(g, n.listeners.egress, n.receiver.Egress())
	n.serveHTTP(g, n.listeners.admin, n.admin())
	n.servePeers(g)
}

func (n *Node) serveHTTP(g *run.Group, l net.Listener, h http.Handler) {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          nil,
	}
	n.lifecycle.servers = append(n.lifecycle.servers, s)
	ended := make(chan struct{})
	g.Add(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		// Serve returns when a planned stop begins to close the server; the
		// rest of the node is needed until the last request has ended.
		<-ended
		return nil
	}, func(error) {
		close(ended)
		_ = s.Close()
	})
}

func (n *Node) version() uint64 {
	x := n.index.Load()
	if x == nil {
		return 0
	}
	return x.State.Version
}

func (e *Edges) fill(settings parser.Settings) (err error) {
	if e.Backend == nil {
		if e.Backend, err = relayer.NewHTTP(settings.Backend); err != nil {
			return err
		}
	}
	if e.Clock == nil {
		e.Clock = timekeeper.SystemClock{}
	}
	if e.Log == nil {
		e.Log = journaler.NewHTTP(settings.Log)
	}
	if e.Logger == nil {
		e.Logger = logger.New(os.Stderr, settings.Level, settings.Name)
	}
	return nil
}

// open opens the listeners and puts their addresses into the settings.
func (l *listeners) open(s *parser.Settings) (err error) {
	for _, one := range []struct {
		address  *string
		listener *net.Listener
	}{
		{&s.Admin, &l.admin},
		{&s.Caller, &l.caller},
		{&s.Egress, &l.egress},
		{&s.Peer, &l.peer},
	} {
		if *one.listener, err = listener.Listen(*one.address); err != nil {
			l.close()
			return err
		}
		*one.address = (*one.listener).Addr().String()
	}
	return nil
}

func (l *listeners) close() {
	for _, one := range []net.Listener{l.admin, l.caller, l.egress, l.peer} {
		if one != nil {
			_ = one.Close()
		}
	}
}
