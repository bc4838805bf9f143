package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	healthPath = "/health"
	// heartbeatInterval is the time between two heartbeats, and heartbeatTimeout how long a
	// server waits for the acknowledgement of one.
	heartbeatInterval = 1500 * time.Millisecond
	heartbeatTimeout  = time.Second
	// queueFactor is the ratio of the waiting requests that a server holds to its slots.
	queueFactor = 3
)

// Header fields of the users' pages.
const (
	headerAttempt      = "X-Flamingotack-Attempt-Id"
	headerDeadline     = "X-Flamingotack-Deadline-Ms"
	headerExpected     = "X-Flamingotack-Expect-Instance"
	headerInstance     = "X-Flamingotack-Instance-Id"
	headerLoad         = "X-Flamingotack-Server-Load"
	headerNotExecuted  = "X-Flamingotack-Not-Executed"
	headerSeal         = "X-Flamingotack-Server-Seal"
	headerTenant       = "X-Flamingotack-Tenant"
	headerWarmupMillis = "X-Flamingotack-Warmup-Ms"
)

type (
	// server is a stand-in for a backend server. It is safe for concurrent use.
	server struct {
		id, service, zone string
		slots             int
		work              time.Duration
		// bodyBytes is the size of an answer.
		bodyBytes int
		bornAt    time.Time
		// controlAddress is the address of the node beside the server.
		controlAddress string
		address        string
		recorder       *recorder
		// onRun is called when the server begins to run a request.
		onRun func(s *server, r *http.Request)
		// heartbeatDelay returns how late the heartbeat that is sent at a time arrives.
		heartbeatDelay func() time.Duration
		// handler, if set, answers the requests in place of the server.
		handler http.Handler

		httpServer *http.Server
		coldUntil  atomic.Pointer[time.Time]
		running    atomic.Int64
		waiting    atomic.Int64
		slot       chan struct{}
		stop       context.CancelFunc
		ended      sync.WaitGroup
		sequence   int64
	}
)

// start makes the server listen and send heartbeats.
func (s *server) start() error {
	listener, err := net.Listen("tcp4", s.address)
	if err != nil {
		return err
	}
	s.bornAt = time.Now()
	s.slot = make(chan struct{}, s.slots)
	if s.handler == nil {
		s.handler = s
	}
	s.httpServer = &http.Server{Handler: s.handler, IdleTimeout: 10 * time.Second}
	go func() { _ = s.httpServer.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.ended.Go(func() { s.sendHeartbeats(ctx) })
	return nil
}

// close ends the server.
func (s *server) close() {
	if s.stop == nil {
		return
	}
	s.stop()
	_ = s.httpServer.Close()
	s.ended.Wait()
}

// makeCold makes the server cold for d.
func (s *server) makeCold(d time.Duration) {
	until := time.Now().Add(d)
	s.coldUntil.Store(&until)
}

// warmupLeft returns how long the server stays cold.
func (s *server) warmupLeft() time.Duration {
	until := s.coldUntil.Load()
	if until == nil {
		return 0
	}
	return max(0, time.Until(*until))
}

// ServeHTTP runs a request, or rejects it if it expects another instance or the server is
// full.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set(headerLoad, fmt.Sprintf("%d,%d,%d", s.running.Load(), s.waiting.Load(), s.slots))
	h.Set("Keep-Alive", "timeout=10")
	if r.URL.Path == healthPath {
		h.Set(headerInstance, s.id)
		h.Set(headerWarmupMillis, strconv.FormatInt(s.warmupLeft().Milliseconds(), 10))
		s.recorder.notef("server %s answers a health check, cold for %s", s.id, s.warmupLeft().Round(time.Millisecond))
		return
	}
	id := r.Header.Get(headerAttempt)
	h.Set(headerAttempt, id)
	if expected := r.Header.Get(headerExpected); expected != "" && expected != s.id {
		h.Set(headerInstance, s.id)
		h.Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.waiting.Add(1) > int64(s.slots*(1+queueFactor)) {
		s.waiting.Add(-1)
		h.Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case s.slot <- struct{}{}:
		s.waiting.Add(-1)
	case <-r.Context().Done():
		s.waiting.Add(-1)
		return
	}
	s.running.Add(1)
	defer func() {
		s.running.Add(-1)
		<-s.slot
	}()
	if s.onRun != nil {
		s.onRun(s, r)
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	h.Set(headerSeal, s.id+"."+id)
	body := bytes.Repeat([]byte("x"), s.bodyBytes)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// sendHeartbeats sends a heartbeat at once and then in each interval until ctx ends. Each
// tells what holds when it is sent, and may arrive late.
func (s *server) sendHeartbeats(ctx context.Context) {
	var pending sync.WaitGroup
	defer pending.Wait()
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		s.sequence++
		sequence, warmup, delay := s.sequence, s.warmupLeft(), time.Duration(0)
		if s.heartbeatDelay != nil {
			delay = s.heartbeatDelay()
		}
		pending.Go(func() {
			select {
			case <-time.After(delay):
				s.sendHeartbeat(ctx, sequence, warmup, delay)
			case <-ctx.Done():
			}
		})
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// sendHeartbeat sends one heartbeat.
func (s *server) sendHeartbeat(ctx context.Context, sequence int64, warmup, delay time.Duration) {
	body, err := json.Marshal(map[string]any{
		"address": s.address, "born": s.bornAt.UnixMilli(),
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "capacity": s.slots},
		"status": map[string]any{"state": "ready", "callSeq": sequence, "warmupLeft": fmt.Sprintf("%dms", warmup.Milliseconds())},
	})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+s.controlAddress+"/instances/"+s.id, bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	response.Body.Close()
	if delay > 0 || warmup > 0 {
		s.recorder.notef("heartbeat %d of server %s, sent %s before, arrives: cold for %s, status %d", sequence, s.id, delay, warmup.Round(time.Millisecond), response.StatusCode)
	}
}
