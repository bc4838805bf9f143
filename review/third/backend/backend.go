// Package backend is a stand-in for an application backend beside a node: it runs requests,
// answers health checks and sends heartbeats.
package backend

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The faults of an answer.
const (
	// FaultNone is a sound answer.
	FaultNone Fault = iota
	// FaultReset resets the connection in place of the answer.
	FaultReset
	// FaultCut breaks the answer off in its middle.
	FaultCut
	// FaultExtra sends a second answer, to another request, behind the answer.
	FaultExtra
	// FaultGarbage sends bytes that are no answer.
	FaultGarbage
	// FaultUnframedReset sends an answer without a length and resets the connection before
	// its end.
	FaultUnframedReset
	// FaultHang sends no answer.
	FaultHang
	// FaultMutated changes, drops or repeats a few bytes of the answer.
	FaultMutated
	// FaultChunked sends a sound answer in chunks, FaultUnframed one that ends with its connection.
	FaultChunked
	FaultUnframed
)

const (
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval = 1500 * time.Millisecond
	// heartbeatTimeout is how long the backend waits for an acknowledgement.
	heartbeatTimeout = time.Second
	capacity         = 64

	attemptHeader = "X-Flamingotack-Attempt-Id"
	sealHeader    = "X-Flamingotack-Server-Seal"
)

type (
	// Fault is what is wrong with an answer.
	Fault int

	// Reaction is what the backend does with a request.
	Reaction struct {
		// Work is how long the request runs.
		Work time.Duration
		// AnswerBytes is the size of the body of the answer.
		AnswerBytes int
		// Status is the status of the answer; 0 means 200.
		Status int
		Fault  Fault
		// Early answers before the body of the request is read.
		Early bool
	}

	// Run is a request that the backend began to run.
	Run struct {
		// At is when the request was read, or its head with an early answer.
		At time.Time
		// Instance is the id of the backend, Service its service.
		Instance, Service string
		// Attempt is the id of the attempt, Method and Target are those of the request.
		Attempt, Method, Target string
		// Tenant and CallerService are the fields that the node sets.
		Tenant, CallerService string
		// Header holds all fields.
		Header http.Header
		// BodyHash is the hash of the body; empty with an early answer.
		BodyHash string
		// BodyBytes is the size of the body.
		BodyBytes int
	}

	// Backend is one backend server, which may be started again with another id. The exported
	// fields are set before Start. It is safe for concurrent use.
	Backend struct {
		// Service and Zone are the backend's service and zone.
		Service, Zone string
		// HeartbeatAddress is where heartbeats go.
		HeartbeatAddress string
		// React returns the reaction to a request.
		React func(r *http.Request) Reaction
		// OnRun is called when a request begins to run.
		OnRun func(Run)
		// OnCancel, if set, is called when the connection of a running request closes.
		OnCancel func(attempt string)
		// Warmup is how long an incarnation that starts from now on is cold.
		Warmup time.Duration

		address string

		mu       sync.Mutex
		current  *incarnation
		sequence int64
	}

	// incarnation is one start of the backend.
	incarnation struct {
		backend  *Backend
		id       string
		born     int64
		listener net.Listener
		state    atomic.Value
		stopped  chan struct{}
		// warmAt is when the incarnation is warm.
		warmAt time.Time

		mu    sync.Mutex
		conns map[net.Conn]struct{}
	}
)

// New reserves a free port of ip, a loopback address.
func New(ip string) (b *Backend, err error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	defer listener.Close()
	return &Backend{address: listener.Addr().String()}, nil
}

// Address returns the host and the port of the backend.
func (b *Backend) Address() string {
	return b.address
}

// Start starts an incarnation with an id. Without beats it sends no heartbeats by itself.
func (b *Backend) Start(id string, beats bool) error {
	listener, err := net.Listen("tcp4", b.address)
	if err != nil {
		return fmt.Errorf("start backend %s: %w", id, err)
	}
	i := &incarnation{backend: b, id: id, born: time.Now().UnixMilli(), listener: listener, stopped: make(chan struct{}), warmAt: time.Now().Add(b.Warmup), conns: map[net.Conn]struct{}{}}
	i.state.Store("ready")
	b.mu.Lock()
	b.current, b.sequence = i, 0
	b.mu.Unlock()
	go i.accept()
	if beats {
		go i.sendHeartbeats()
	}
	return nil
}

// Crash ends the incarnation: its sockets close and it sends nothing more.
func (b *Backend) Crash() {
	i := b.incarnation()
	close(i.stopped)
	i.listener.Close()
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// SetState sets the state that health checks and heartbeats tell: ready, draining or leaving.
func (b *Backend) SetState(state string) {
	b.incarnation().state.Store(state)
}

// ID returns the id of the incarnation.
func (b *Backend) ID() string {
	return b.incarnation().id
}

func (b *Backend) incarnation() *incarnation {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current
}

// Heartbeat returns the next heartbeat of the incarnation, which Send sends.
func (b *Backend) Heartbeat() (id string, body []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	i := b.current
	state := i.state.Load().(string)
	if state != "draining" {
		state = "ready"
	}
	body, _ = json.Marshal(map[string]any{
		"address": b.address, "born": i.born,
		"info":   map[string]any{"service": b.Service, "version": "v1", "zone": b.Zone, "capacity": capacity},
		"status": map[string]any{"state": state, "callSeq": b.sequence, "warmupLeft": strconv.FormatInt(i.warmupLeft().Milliseconds(), 10) + "ms"},
	})
	return i.id, body
}

// Send sends a heartbeat and returns the status of the answer; 0 if there is none in time.
func (b *Backend) Send(id string, body []byte) (status int) {
	return b.call(http.MethodPut, id, body)
}

// Leave sends the message that the incarnation leaves, and returns the status of the answer.
func (b *Backend) Leave() (status int) {
	i := b.incarnation()
	body, _ := json.Marshal(map[string]any{"born": i.born})
	return b.call(http.MethodDelete, i.id, body)
}

func (b *Backend) call(method, id string, body []byte) (status int) {
	request, err := http.NewRequest(method, "http://"+b.HeartbeatAddress+"/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: heartbeatTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

func (i *incarnation) sendHeartbeats() {
	for {
		id, body := i.backend.Heartbeat()
		if id != i.id {
			return
		}
		if i.state.Load() != "leaving" {
			i.backend.Send(id, body)
		}
		select {
		case <-i.stopped:
			return
		case <-time.After(HeartbeatInterval):
		}
	}
}

func (i *incarnation) accept() {
	for {
		c, err := i.listener.Accept()
		if err != nil {
			return
		}
		i.mu.Lock()
		i.conns[c] = struct{}{}
		i.mu.Unlock()
		go i.serve(c)
	}
}

// serve answers the requests of a connection, one at a time.
func (i *incarnation) serve(c net.Conn) {
	defer func() {
		c.Close()
		i.mu.Lock()
		defer i.mu.Unlock()
		delete(i.conns, c)
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !i.answer(c, reader, r) {
			return
		}
	}
}

// answer runs a request and reports whether the connection may be used further.
func (i *incarnation) answer(c net.Conn, reader *bufio.Reader, r *http.Request) bool {
	b := i.backend
	attempt := r.Header.Get(attemptHeader)
	if r.URL.Path == "/health" && attempt == "" {
		return i.answerHealth(c)
	}
	if expected := r.Header.Get("X-Flamingotack-Expect-Instance"); expected != "" && expected != i.id {
		_, _ = io.Copy(io.Discard, r.Body)
		return writeAnswer(c, 421, map[string]string{"X-Flamingotack-Instance-Id": i.id, attemptHeader: attempt}, nil)
	}
	reaction := b.React(r)
	run := Run{At: time.Now(), Instance: i.id, Service: b.Service, Attempt: attempt, Method: r.Method, Target: r.RequestURI, Tenant: r.Header.Get("X-Flamingotack-Tenant"), CallerService: r.Header.Get("X-Flamingotack-Caller-Service"), Header: r.Header}
	if !reaction.Early {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return false
		}
		run.BodyHash, run.BodyBytes, run.At = Hash(body), len(body), time.Now()
	}
	b.OnRun(run)
	if !i.work(c, reader, reaction.Work) {
		if b.OnCancel != nil {
			b.OnCancel(attempt)
		}
		return false
	}
	body := Body(attempt, reaction.AnswerBytes)
	status := reaction.Status
	if status == 0 {
		status = http.StatusOK
	}
	fields := map[string]string{attemptHeader: attempt, sealHeader: "s." + i.id + "." + attempt, "X-Flamingotack-Server-Load": "1,0," + strconv.Itoa(capacity)}
	switch reaction.Fault {
	case FaultReset:
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	case FaultCut:
		whole := encodeAnswer(status, fields, body, true)
		_, _ = c.Write(whole[:len(whole)-1-len(body)/2])
		return false
	case FaultExtra:
		if !writeAnswer(c, status, fields, body) {
			return false
		}
		other := "x" + attempt
		return writeAnswer(c, status, map[string]string{attemptHeader: other, sealHeader: "s." + i.id + "." + other}, Body(other, 100))
	case FaultGarbage:
		_, _ = c.Write([]byte("\x00\x01 nothing\r\n\r\n"))
		return false
	case FaultUnframedReset:
		whole := encodeAnswer(status, fields, body, false)
		_, _ = c.Write(whole[:len(whole)-len(body)/2])
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	case FaultHang:
		<-i.stopped
		return false
	case FaultMutated:
		_, err := c.Write(mutate(encodeAnswer(status, fields, body, true)))
		return err == nil
	case FaultChunked:
		_, err := c.Write(encodeChunked(status, fields, body))
		return err == nil
	case FaultUnframed:
		_, _ = c.Write(encodeAnswer(status, fields, body, false))
		return false
	}
	if !writeAnswer(c, status, fields, body) {
		return false
	}
	if reaction.Early {
		content, err := io.ReadAll(r.Body)
		if err == nil && Hash(content) != r.Header.Get("X-Body-Hash") {
			run.BodyHash, run.BodyBytes = Hash(content), len(content)
			b.OnRun(run)
		}
		return err == nil
	}
	return true
}

func (i *incarnation) answerHealth(c net.Conn) bool {
	status := http.StatusOK
	if i.state.Load() != "ready" {
		status = http.StatusServiceUnavailable
	}
	return writeAnswer(c, status, map[string]string{"X-Flamingotack-Instance-Id": i.id, "X-Flamingotack-Warmup-Ms": strconv.FormatInt(i.warmupLeft().Milliseconds(), 10), "X-Flamingotack-Server-Load": "1,0," + strconv.Itoa(capacity)}, nil)
}

// warmupLeft returns how much longer the incarnation is cold.
func (i *incarnation) warmupLeft() time.Duration {
	return max(0, time.Until(i.warmAt))
}

// work waits, and returns false at once if the connection closes meanwhile.
func (i *incarnation) work(c net.Conn, reader *bufio.Reader, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	deadline := time.Now().Add(d)
	_ = c.SetReadDeadline(deadline)
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	_, err := reader.Peek(1)
	if err != nil && !isTimeout(err) {
		return false
	}
	select {
	case <-time.After(time.Until(deadline)):
		return true
	case <-i.stopped:
		return false
	}
}

// mutate changes, drops or repeats up to four bytes, most of them in the head.
func mutate(data []byte) []byte {
	for range 1 + rand.IntN(4) {
		at := rand.IntN(len(data))
		if rand.IntN(4) > 0 {
			at = rand.IntN(min(len(data), 250))
		}
		switch rand.IntN(3) {
		case 0:
			data[at] ^= byte(1 << rand.IntN(8))
		case 1:
			data = slices.Delete(data, at, at+1)
		default:
			data = slices.Insert(data, at, data[at])
		}
	}
	return data
}

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

// Hash returns a short hash of data.
func Hash(data []byte) string {
	h := fnv.New64a()
	_, _ = h.Write(data)
	return strconv.FormatUint(h.Sum64(), 16)
}

// Body returns the body of the answer to an attempt, which no other attempt has.
func Body(attempt string, size int) []byte {
	unit := "<" + attempt + ">"
	return []byte(strings.Repeat(unit, size/len(unit)+1)[:size])
}

func writeAnswer(c net.Conn, status int, fields map[string]string, body []byte) bool {
	_, err := c.Write(encodeAnswer(status, fields, body, true))
	return err == nil
}

func encodeChunked(status int, fields map[string]string, body []byte) []byte {
	out := bytes.TrimSuffix(encodeAnswer(status, fields, nil, false), []byte("\r\n"))
	out = append(out, "Transfer-Encoding: chunked\r\n\r\n"...)
	for len(body) > 0 {
		n := min(len(body), 1+rand.IntN(8<<10))
		out = fmt.Appendf(out, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return append(out, "0\r\n\r\n"...)
}

func encodeAnswer(status int, fields map[string]string, body []byte, framed bool) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, value := range fields {
		fmt.Fprintf(&out, "%s: %s\r\n", name, value)
	}
	if framed {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(body))
	}
	out.WriteString("\r\n")
	out.Write(body)
	return out.Bytes()
}
