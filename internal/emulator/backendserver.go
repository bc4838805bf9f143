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
	maxBodyBytes        = 64 << 20
	relistenInterval    = 5 * time.Millisecond
	maxRelistenAttempts = 1000
)

// BackendServer emulates a backend server. It is safe for concurrent use. It
// runs from StartBackendServer until Close.
type BackendServer struct {
	config  BackendConfig
	address string
	client  *http.Client
	ctx     context.Context
	stop    context.CancelFunc
	group   sync.WaitGroup

	mu                 sync.Mutex
	model              *serverModel
	egressAddress      string
	healthSamples      []healthSample
	healthDelay        time.Duration
	endIncarnation     context.CancelFunc
	overrideHealth     func(relayer.Health) relayer.Health
	incarnationContext context.Context
	server             *http.Server
	slots              chan struct{}
}

// healthSample is the health of the server at a point in time.
type healthSample struct {
	at     time.Time
	health relayer.Health
}

// StartBackendServer starts a BackendServer. It returns an error if the config
// has less than 1 slot or the address can't be listened on.
func StartBackendServer(c BackendConfig) (b *BackendServer, err error) {
	defer func() { err = errors.Wrapf(err, "start backend server %q", c.Name) }()
	if c.Slots < 1 {
		return nil, errors.Newf("%d slots are too few, want at least 1", c.Slots)
	}
	c.setDefaults()
	listener, err := net.Listen("tcp", c.Address)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	b = &BackendServer{
		config:        c,
		address:       listener.Addr().String(),
		client:        newClient(),
		model:         newServerModel(c),
		ctx:           ctx,
		egressAddress: c.EgressAddress,
		stop:          stop,
	}
	b.startIncarnation(listener, !c.StartWarm)
	return b, nil
}

// Address returns the IP address and port.
func (b *BackendServer) Address() string {
	return b.address
}

// Close stops the server and closes all its connections.
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

// Crash closes the listener and all connections like a crashing process. The
// server restarts cold, as a new incarnation, after its RestartDelay.
func (b *BackendServer) Crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.incarnationContext.Err() != nil {
		return
	}
	b.endIncarnation()
	server := b.server
	b.group.Go(func() {
		_ = server.Close()
		if timekeeper.Sleep(b.ctx, b.config.RestartDelay) {
			b.relisten()
		}
	})
}

// Drain makes the server report that it accepts no new work. It still answers
// all requests that arrive.
func (b *BackendServer) Drain() {
	b.mu.Lock()
	b.model.draining = true
	b.model.stateSince = time.Now()
	b.mu.Unlock()
	b.recordEvent(recorder.EventServerDraining)
}

// Incarnation returns the number of starts of the server's process, beginning
// with 1.
func (b *BackendServer) Incarnation() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.model.incarnation
}

// SetEgressAddress sets the address at which the node accepts the server's
// calls.
func (b *BackendServer) SetEgressAddress(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.egressAddress = address
}

// SetFailureFraction sets the fraction of the requests, 0 to 1, that end in an
// error after their work.
func (b *BackendServer) SetFailureFraction(fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.model.failureFraction = fraction
}

// SetHealthDelay makes the health endpoint report the health as it was d ago.
func (b *BackendServer) SetHealthDelay(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.healthDelay = d
}

// SetHealthOverride replaces the health that the endpoint reports with the
// result of override; nil restores the true health.
func (b *BackendServer) SetHealthOverride(override func(relayer.Health) relayer.Health) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.overrideHealth = override
}

// SetSlowdown sets the factor on the service time of each request; 1 restores
// the normal speed.
func (b *BackendServer) SetSlowdown(factor float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.model.slowdown = factor
}

// SetCold makes the running server cold without an announcement, so that its
// node has to detect it.
func (b *BackendServer) SetCold() {
	b.mu.Lock()
	b.model.setCold(time.Now(), true)
	b.mu.Unlock()
	b.recordEvent(recorder.EventServerCold)
}

// URL returns the address as a URL without a trailing slash.
func (b *BackendServer) URL() string {
	return "http://" + b.address
}

// ServeHTTP answers health checks and requests of the node.
func (b *BackendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == HealthPath {
		writeJSON(w, http.StatusOK, b.reportedHealth(time.Now()))
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	b.execute(w, r, body)
}

func (b *BackendServer) recordEvent(o recorder.EventKind) {
	b.config.Recorder.RecordEvent(recorder.Event{Kind: o, At: time.Now(), Name: b.config.Name})
}

func (b *BackendServer) relisten() {
	for range maxRelistenAttempts {
		listener, err := net.Listen("tcp", b.address)
		if err == nil {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.startIncarnation(listener, true)
			return
		}
		if !timekeeper.Sleep(b.ctx, relistenInterval) {
			return
		}
	}
}

// reportedHealth returns the health that the endpoint reports, which may be
// delayed or overridden.
func (b *BackendServer) reportedHealth(now time.Time) relayer.Health {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.healthSamples = append(b.healthSamples, healthSample{now, b.model.health(now)})
	for len(b.healthSamples) > 1 && !b.healthSamples[1].at.After(now.Add(-b.healthDelay)) {
		b.healthSamples = b.healthSamples[1:]
	}
	health := b.healthSamples[0].health
	if b.overrideHealth != nil {
		health = b.overrideHealth(health)
	}
	return health
}

// startIncarnation starts an incarnation. The caller must hold the lock or
// have the only reference to b.
func (b *BackendServer) startIncarnation(listener net.Listener, cold bool) {
	if b.ctx.Err() != nil {
		_ = listener.Close()
		return
	}
	b.model.startIncarnation(time.Now(), cold)
	b.incarnationContext, b.endIncarnation = context.WithCancel(b.ctx)
	b.slots = make(chan struct{}, b.config.Slots)
	b.server = newServer(b)
	server := b.server
	limited := &limitedListener{Listener: listener, maxConnections: b.config.MaxConnections}
	b.group.Go(func() { _ = server.Serve(limited) })
}

func newClient() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = 1000
	return &http.Client{Transport: transport}
}

func timeoutFromHeader(h http.Header) (timeout time.Duration, found bool) {
	milliseconds, err := strconv.ParseInt(h.Get(headerTimeout), 10, 64)
	return time.Duration(milliseconds) * time.Millisecond, err == nil
}
