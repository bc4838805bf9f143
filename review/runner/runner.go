// Package runner stands in for a backend server. It runs the requests that its node sends,
// answers health checks and reports itself to the node beside it.
package runner

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingotack/flamingotack/review/recorder"
)

const (
	// heartbeatInterval is the time between two heartbeats.
	heartbeatInterval = 1500 * time.Millisecond
	// heartbeatTimeout is how long the answer to a heartbeat may take.
	heartbeatTimeout = time.Second
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 10 * time.Second
	// maxWaiting is the number of requests that wait for a slot.
	maxWaiting = 216
)

type (
	// Settings describe a backend server.
	Settings struct {
		// Service, Zone and Address are those that it announces.
		Service, Zone, Address string
		// HeartbeatAddress is where its node takes heartbeats.
		HeartbeatAddress string
		// Slots is the number of requests that it runs at the same time.
		Slots int
		// Warmup is how long it is cold after a start during traffic.
		Warmup time.Duration
		// WorkTime is how long it works on a request to a path.
		WorkTime func(path string) time.Duration
		// Crashes reports whether the server crashes when it begins to run a request
		// to a path.
		Crashes func(path string) bool
		// RestartDelay is the time from a crash to the next incarnation.
		RestartDelay time.Duration
		// OnRun is called when the server begins to run a request.
		OnRun func(Run)
		// Recorder records what the server does.
		Recorder *recorder.Recorder
	}

	// Run is a request that began to run.
	Run struct {
		// ID is the attempt of the request, Path its path and Tenant the customer that
		// it runs for.
		ID, Path, Tenant string
		// Instance is the backend server and At the time when the run began.
		Instance string
		At       time.Time
	}

	// Runner is a backend server whose incarnations follow each other at one address.
	// Create it with Start. It is safe for concurrent use.
	Runner struct {
		settings Settings

		mu          sync.Mutex
		incarnation *incarnation
		// count is the number of incarnations so far.
		count int
		// stopped is set once the server does not start again.
		stopped bool
	}

	// incarnation is one life of the server.
	incarnation struct {
		runner          *Runner
		id              string
		startUnixMillis int64
		coldUntil       time.Time
		server          *http.Server
		slots           chan struct{}
		waiting         atomic.Int64
		ended           chan struct{}
		endOnce         sync.Once

		mu       sync.Mutex
		draining bool
		sequence int64
	}
)

// Start starts a server. cold says that traffic runs already, so that the server has to
// warm up. It returns an error if the address is taken.
func Start(s Settings, cold bool) (r *Runner, err error) {
	r = &Runner{settings: s}
	return r, r.startIncarnation(cold)
}

// ID returns the id of the current incarnation.
func (r *Runner) ID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.incarnation.id
}

// Drain announces that the server leaves, and returns when that is acknowledged. It
// returns an error if it is not.
func (r *Runner) Drain() error {
	r.mu.Lock()
	i := r.incarnation
	r.mu.Unlock()
	i.mu.Lock()
	i.draining = true
	i.mu.Unlock()
	if err := i.sendHeartbeat(); err != nil {
		return err
	}
	r.settings.Recorder.Printf("draining of backend server %s acknowledged", i.id)
	return nil
}

// Stop ends the server at once.
func (r *Runner) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	r.incarnation.end()
}

func (r *Runner) startIncarnation(cold bool) error {
	s := &r.settings
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return nil
	}
	listener, err := net.Listen("tcp4", s.Address)
	if err != nil {
		return fmt.Errorf("start backend server: %w", err)
	}
	r.count++
	now := time.Now()
	i := &incarnation{
		runner:          r,
		id:              fmt.Sprintf("i-%s-%d", s.Address, r.count),
		startUnixMillis: now.UnixMilli(),
		slots:           make(chan struct{}, s.Slots),
		ended:           make(chan struct{}),
	}
	if cold {
		i.coldUntil = now.Add(s.Warmup)
	}
	i.server = &http.Server{Handler: i, IdleTimeout: idleTimeout}
	r.incarnation = i
	go func() { _ = i.server.Serve(listener) }()
	go i.beat()
	s.Recorder.Printf("backend server %s of service %s started", i.id, s.Service)
	return nil
}

// beat sends heartbeats until the incarnation ends.
func (i *incarnation) beat() {
	for {
		_ = i.sendHeartbeat()
		select {
		case <-i.ended:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (i *incarnation) sendHeartbeat() error {
	i.mu.Lock()
	i.sequence++
	state, sequence := "ready", i.sequence
	if i.draining {
		state = "draining"
	}
	i.mu.Unlock()
	return i.send(map[string]any{"state": state, "callSeq": sequence, "warmupLeft": fmt.Sprintf("%dms", i.warmupLeft().Milliseconds())})
}

// SendPartialHeartbeat sends a heartbeat for the server as another writer may: with the next
// sequence number and without the time for which the server stays cold.
func (r *Runner) SendPartialHeartbeat() error {
	r.mu.Lock()
	i := r.incarnation
	r.mu.Unlock()
	i.mu.Lock()
	sequence := i.sequence + 1
	i.mu.Unlock()
	r.settings.Recorder.Printf("another writer sends a heartbeat of %s with callSeq %d and without warmupLeft", i.id, sequence)
	return i.send(map[string]any{"state": "ready", "callSeq": sequence})
}

// ColdUntil returns when the current incarnation is warm.
func (r *Runner) ColdUntil() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.incarnation.coldUntil
}

// send sends a heartbeat with the given status and returns an error if it isn't
// acknowledged.
func (i *incarnation) send(status map[string]any) error {
	s := &i.runner.settings
	message := map[string]any{
		"address": s.Address,
		"born":    i.startUnixMillis,
		"info":    map[string]any{"service": s.Service, "version": "v1", "zone": s.Zone, "capacity": s.Slots},
		"status":  status,
	}
	data, err := json.Marshal(message)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+s.HeartbeatAddress+"/instances/"+i.id, bytes.NewReader(data))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: heartbeatTimeout}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("heartbeat of %s: status %d", i.id, response.StatusCode)
	}
	return nil
}

func (i *incarnation) warmupLeft() time.Duration {
	return max(0, time.Until(i.coldUntil))
}

// end closes all connections and stops the heartbeats. It reports whether the incarnation
// had not ended before.
func (i *incarnation) end() (ended bool) {
	i.endOnce.Do(func() {
		ended = true
		close(i.ended)
		i.server.Close()
	})
	return ended
}

// crash ends the incarnation and starts the next one after RestartDelay.
func (i *incarnation) crash() {
	if !i.end() {
		return
	}
	s := &i.runner.settings
	time.AfterFunc(s.RestartDelay, func() {
		if err := i.runner.startIncarnation(true); err != nil {
			s.Recorder.Printf("restart of backend server %s failed: %v", i.id, err)
		}
	})
}

// ServeHTTP answers health checks and runs requests.
func (i *incarnation) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(idleTimeout.Seconds())))
	w.Header().Set("X-Flamingotack-Server-Load", fmt.Sprintf("%d,%d,%d", len(i.slots), i.waiting.Load(), cap(i.slots)))
	if r.URL.Path == "/health" {
		i.serveHealth(w)
		return
	}
	id := r.Header.Get("X-Flamingotack-Attempt-Id")
	w.Header().Set("X-Flamingotack-Attempt-Id", id)
	body, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	if expected := r.Header.Get("X-Flamingotack-Expect-Instance"); expected != "" && expected != i.id {
		w.Header().Set("X-Flamingotack-Instance-Id", i.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if i.waiting.Add(1) > maxWaiting {
		i.waiting.Add(-1)
		w.Header().Set("X-Flamingotack-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case i.slots <- struct{}{}:
		i.waiting.Add(-1)
	case <-r.Context().Done():
		i.waiting.Add(-1)
		return
	}
	defer func() { <-i.slots }()
	i.run(w, r, id, body)
}

func (i *incarnation) run(w http.ResponseWriter, r *http.Request, id string, bodyBytes int64) {
	s := &i.runner.settings
	s.Recorder.Printf("run of %s %s on %s, body of %d bytes, customer %s", id, r.URL.Path, i.id, bodyBytes, r.Header.Get("X-Flamingotack-Tenant"))
	if s.OnRun != nil {
		s.OnRun(Run{ID: id, Path: r.URL.Path, Tenant: r.Header.Get("X-Flamingotack-Tenant"), Instance: i.id, At: time.Now()})
	}
	if s.Crashes != nil && s.Crashes(r.URL.Path) {
		s.Recorder.Printf("backend server %s crashes on %s", i.id, id)
		i.crash()
		return
	}
	workTime := s.WorkTime(r.URL.Path)
	if millis, err := strconv.ParseFloat(r.Header.Get("X-Flamingotack-Deadline-Ms"), 64); err == nil {
		if left := time.Duration(millis * float64(time.Millisecond)); left < workTime {
			workTime = left
		}
	}
	select {
	case <-time.After(workTime):
	case <-r.Context().Done():
		s.Recorder.Printf("run of %s on %s ended early, its connection was closed", id, i.id)
		return
	}
	w.Header().Set("X-Flamingotack-Server-Seal", "seal."+id)
	_, _ = fmt.Fprintf(w, "answer to %s", id)
	s.Recorder.Printf("run of %s on %s ended", id, i.id)
}

func (i *incarnation) serveHealth(w http.ResponseWriter) {
	w.Header().Set("X-Flamingotack-Instance-Id", i.id)
	w.Header().Set("X-Flamingotack-Warmup-Ms", strconv.FormatInt(i.warmupLeft().Milliseconds(), 10))
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
