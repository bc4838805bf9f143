package emulator

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/recorder"
	"github.com/flamingotack/flamingotack/internal/relayer"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	maxBodyBytes  = 64 << 20
	relistenPause = 5 * time.Millisecond
	relistenTries = 1000
)

// BackendServer stands in for a backend server. It is safe for concurrent
// use. Its life begins with StartBackendServer and ends with Close.
type BackendServer struct {
	config  BackendConfig
	address string
	client  *http.Client
	ctx     context.Context
	stop    context.CancelFunc
	group   sync.WaitGroup

	mu        sync.Mutex
	condition *condition
	egress    string
	health    []sample
	lag       time.Duration
	kill      context.CancelFunc
	lie       func(relayer.Health) relayer.Health
	life      context.Context
	server    *http.Server
	slots     chan struct{}
}

// sample is what the server was at a time.
type sample struct {
	at     time.Time
	health relayer.Health
}

// StartBackendServer returns a BackendServer that listens.
func StartBackendServer(c BackendConfig) (b *BackendServer, err error) {
	defer func() { err = errors.Wrapf(err, "start backend server %q", c.Name) }()
	if c.Slots < 1 {
		return nil, errors.Newf("%d slots are too few", c.Slots)
	}
	c.fill()
	listener, err := net.Listen("tcp", c.Address)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	b = &BackendServer{
		config:    c,
		address:   listener.Addr().String(),
		client:    newClient(),
		condition: newCondition(c),
		ctx:       ctx,
		egress:    c.Egress,
		stop:      stop,
	}
	b.serve(listener, !c.StartWarm)
	return b, nil
}

// Address returns the IP number and port.
func (b *BackendServer) Address() string {
	return b.address
}

// Close ends the server and all its connections.
func (b *BackendServer) Close() error {
	b.stop()
	b.mu.Lock()
	server := b.server
	b.mu.Unlock()
	err := server.Close()
	b.group.Wait()
	b.client.CloseIdleConnections()
	return err
}

// Crash closes the listener and all connections as a dying process does. The
// server returns cold, as a new incarnation, after its Restart time.
func (b *BackendServer) Crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.life.Err() != nil {
		return
	}
	b.kill()
	server := b.server
	b.group.Go(func() {
		_ = server.Close()
		if timekeeper.Sleep(b.ctx, b.config.Restart) {
			b.relisten()
		}
	})
}

// Drain makes the server say that it wants no new work. It goes on to answer
// what comes.
func (b *BackendServer) Drain() {
	b.mu.Lock()
	b.condition.draining = true
	b.condition.since = time.Now()
	b.mu.Unlock()
	b.event(recorder.EventServerDraining)
}

// Incarnation counts the starts of the server's process, from 1.
func (b *BackendServer) Incarnation() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.condition.incarnation
}

// SetEgress sets the address at which the node takes the server's calls.
func (b *BackendServer) SetEgress(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.egress = address
}

// SetFailing makes that part of the requests, 0 to 1, end in an error after
// their work.
func (b *BackendServer) SetFailing(part float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.condition.failing = part
}

// SetLag makes the health endpoint tell what was true so long ago.
func (b *BackendServer) SetLag(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lag = d
}

// SetLie changes what the health endpoint tells; nil tells the truth.
func (b *BackendServer) SetLie(lie func(relayer.Health) relayer.Health) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lie = lie
}

// SetSlow multiplies the work on each request; 1 ends that.
func (b *BackendServer) SetSlow(factor float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.condition.slow = factor
}

// TurnCold makes the server cold without a word.
func (b *BackendServer) TurnCold() {
	b.mu.Lock()
	b.condition.turn(time.Now(), true)
	b.mu.Unlock()
	b.event(recorder.EventServerCold)
}

// URL returns the address as a URL without a trailing slash.
func (b *BackendServer) URL() string {
	return "http://" + b.address
}

// ServeHTTP answers requests of the node and health checks.
func (b *BackendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == HealthPath {
		writeJSON(w, http.StatusOK, b.said(time.Now()))
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	b.execute(w, r, body)
}

func (b *BackendServer) event(o recorder.EventKind) {
	b.config.Recorder.RecordEvent(recorder.Event{Kind: o, At: time.Now(), Name: b.config.Name})
}

func (b *BackendServer) relisten() {
	for range relistenTries {
		listener, err := net.Listen("tcp", b.address)
		if err == nil {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.serve(listener, true)
			return
		}
		if !timekeeper.Sleep(b.ctx, relistenPause) {
			return
		}
	}
}

// said returns what the health endpoint tells, which may lag or lie.
func (b *BackendServer) said(now time.Time) relayer.Health {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.health = append(b.health, sample{now, b.condition.health(now)})
	for len(b.health) > 1 && !b.health[1].at.After(now.Add(-b.lag)) {
		b.health = b.health[1:]
	}
	health := b.health[0].health
	if b.lie != nil {
		health = b.lie(health)
	}
	return health
}

// serve begins an incarnation. The caller holds the lock or owns b alone.
func (b *BackendServer) serve(listener net.Listener, cold bool) {
	if b.ctx.Err() != nil {
		_ = listener.Close()
		return
	}
	b.condition.restart(time.Now(), cold)
	b.life, b.kill = context.WithCancel(b.ctx)
	b.slots = make(chan struct{}, b.config.Slots)
	b.server = newServer(b)
	server := b.server
	limited := &limitedListener{Listener: listener, limit: b.config.Connections}
	b.group.Go(func() { _ = server.Serve(limited) })
}

func newClient() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = 1000
	return &http.Client{Transport: transport}
}

func timeoutOf(h http.Header) (timeout time.Duration, found bool) {
	milliseconds, err := strconv.ParseInt(h.Get(headerTimeout), 10, 64)
	return time.Duration(milliseconds) * time.Millisecond, err == nil
}
