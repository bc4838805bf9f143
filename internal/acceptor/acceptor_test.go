package acceptor

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/logger"
)

// newTestServer serves handle on a free port and returns a function that connects to it.
func newTestServer(t *testing.T, handle func(context.Context, *Request) *Response) (server *Server, dial func() net.Conn) {
	t.Helper()
	return newBoundedServer(t, 0, handle)
}

// newBoundedServer is newTestServer with a bound on the connections.
func newBoundedServer(t *testing.T, connections int, handle func(context.Context, *Request) *Response) (server *Server, dial func() net.Conn) {
	t.Helper()
	return newConfiguredServer(t, func(s *Server) { s.MaxConnections = connections }, handle)
}

// newConfiguredServer is newTestServer with further settings.
func newConfiguredServer(t *testing.T, configure func(*Server), handle func(context.Context, *Request) *Response) (server *Server, dial func() net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server = &Server{
		Draining: func() bool { return false },
		Handle:   handle,
		Logger:   logger.New(io.Discard, "info", "n"),
		Limits: func() Limits {
			return Limits{MaxHeaderBytes: 8 << 10, MaxBodyBytes: 1 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second}
		},
	}
	configure(server)
	go server.Serve(l)
	t.Cleanup(func() {
		l.Close()
		server.Close()
	})
	return server, func() net.Conn {
		c, err := net.Dial("tcp4", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		return c
	}
}

func readResponse(t *testing.T, r *bufio.Reader, method string) (status int, body string) {
	t.Helper()
	response, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(data)
}

// TestPipelinedRequestsRunConcurrently guards against requests that run one after the
// other: none of them ends before the last one has been read.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	lastRead := make(chan struct{})
	_, dial := newTestServer(t, func(_ context.Context, r *Request) *Response {
		if r.URL.Path == "/3" {
			close(lastRead)
		}
		<-lastRead
		return &Response{Status: http.StatusOK, Body: []byte(r.URL.Path)}
	})
	c := dial()
	for i := range 4 {
		fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", i)
	}
	r := bufio.NewReader(c)
	for i := range 4 {
		if _, got := readResponse(t, r, http.MethodGet); got != fmt.Sprint("/", i) {
			t.Errorf("got response %q, want that of request %d", got, i)
		}
	}
}

// TestDisconnectCancelsRequests guards against requests that go on running after their
// caller has disconnected, with one and with several requests on the connection.
func TestDisconnectCancelsRequests(t *testing.T) {
	for _, count := range []int{1, 3} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			var started, ended atomic.Int64
			s, dial := newTestServer(t, func(ctx context.Context, _ *Request) *Response {
				started.Add(1)
				<-ctx.Done()
				ended.Add(1)
				return &Response{Status: http.StatusBadGateway}
			})
			c := dial()
			for range count {
				fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			}
			waitFor(t, func() bool { return int(started.Load()) == count })
			c.Close()
			waitFor(t, func() bool { return int(ended.Load()) == count && s.PendingRequests() == 0 })
		})
	}
}

func TestRequestParsing(t *testing.T) {
	tests := []struct {
		name, request string
		status        int
		body          string
	}{
		{"body with a length", "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nboat", 200, "boat"},
		{"chunked body", "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\nat\r\n0\r\n\r\n", 200, "boat"},
		{"body too large", "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n", 413, ""},
		{"chunked body too large", "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n" + strings.Repeat("x", 2048) + "\r\n0\r\n\r\n", 413, ""},
		{"header too large", "GET /a HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 20<<10) + "\r\n\r\n", 431, ""},
		{"malformed", "GET nothing\r\n\r\n", 400, ""},
		{"blank before the colon", "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length : 4\r\n\r\nboat", 400, ""},
		{"blank in the name of a field", "POST /a HTTP/1.1\r\nHost: a\r\nOdd name: 1\r\nContent-Length: 4\r\n\r\nboat", 400, ""},
		{"control byte in the name of a field", "POST /a HTTP/1.1\r\nHost: a\r\nOdd\x01: 1\r\nContent-Length: 4\r\n\r\nboat", 400, ""},
		{"expects 100 Continue", "POST /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nboat", 200, "boat"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, dial := newTestServer(t, func(_ context.Context, r *Request) *Response {
				return &Response{Status: http.StatusOK, Body: r.Content}
			})
			c := dial()
			go io.WriteString(c, tt.request)
			r := bufio.NewReader(c)
			status, body := readResponse(t, r, http.MethodPost)
			if status == http.StatusContinue {
				status, body = readResponse(t, r, http.MethodPost)
			}
			if status != tt.status || body != tt.body {
				t.Errorf("got %d %q, want %d %q", status, body, tt.status, tt.body)
			}
		})
	}
}

// TestResponseWithConnectionClose checks that nothing follows a response that closes the
// connection, and that later requests do not stay pending.
func TestResponseWithConnectionClose(t *testing.T) {
	s, dial := newTestServer(t, func(_ context.Context, r *Request) *Response {
		return &Response{Status: http.StatusOK, Body: []byte(r.URL.Path)}
	})
	c := dial()
	fmt.Fprint(c, "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n")
	data, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	if got := string(data); !strings.Contains(got, "Connection: close\r\n") || !strings.HasSuffix(got, "\r\n\r\n/a") {
		t.Errorf("got %q, want one response that closes the connection", got)
	}
	waitFor(t, func() bool { return s.PendingRequests() == 0 })
}

// TestDrainAnswersRunningRequests starts to drain with pipelined requests. It guards
// against lost responses, a connection that stays open after the last response, and a
// later request that runs.
func TestDrainAnswersRunningRequests(t *testing.T) {
	var draining atomic.Bool
	var ran atomic.Int64
	release := make(chan struct{})
	s, dial := newTestServer(t, func(_ context.Context, r *Request) *Response {
		ran.Add(1)
		<-release
		return &Response{Status: http.StatusOK, Body: []byte(r.URL.Path)}
	})
	s.Draining = draining.Load
	c := dial()
	r := bufio.NewReader(c)
	draining.Store(true)
	fmt.Fprint(c, "GET /0 HTTP/1.1\r\nHost: a\r\n\r\nGET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	waitFor(t, func() bool { return ran.Load() == 3 })
	close(release)
	for i := range 3 {
		if _, got := readResponse(t, r, http.MethodGet); got != fmt.Sprint("/", i) {
			t.Errorf("got response %q, want that of request %d", got, i)
		}
	}
	fmt.Fprint(c, "GET /3 HTTP/1.1\r\nHost: a\r\n\r\n")
	if data, _ := io.ReadAll(r); len(data) > 0 {
		t.Errorf("got %q after the last response, want nothing", data)
	}
	if got := ran.Load(); got != 3 {
		t.Errorf("got %d requests that ran, want 3", got)
	}
}

func TestHeadResponseHasNoBody(t *testing.T) {
	_, dial := newTestServer(t, func(_ context.Context, _ *Request) *Response {
		return &Response{Status: http.StatusOK, Header: http.Header{"Content-Length": {"4"}}}
	})
	c := dial()
	fmt.Fprint(c, "HEAD / HTTP/1.1\r\nHost: a\r\n\r\nHEAD / HTTP/1.1\r\nHost: a\r\n\r\n")
	r := bufio.NewReader(c)
	for range 2 {
		if status, body := readResponse(t, r, http.MethodHead); status != 200 || body != "" {
			t.Errorf("got %d %q, want 200 without a body", status, body)
		}
	}
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !done(); {
		if time.Now().After(deadline) {
			t.Fatal("condition was not met within 20s")
		}
		time.Sleep(time.Millisecond)
	}
}

// closeNotifyingListener reports when the server has closed its accepted connection.
type closeNotifyingListener struct {
	net.Listener
	closed chan struct{}
}

type closeNotifyingConn struct {
	*net.TCPConn
	once   sync.Once
	closed chan struct{}
}

func (l *closeNotifyingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &closeNotifyingConn{TCPConn: c.(*net.TCPConn), closed: l.closed}, nil
}

func (c *closeNotifyingConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.TCPConn.Close()
}

// TestRequestsOfDisconnectedCallersDoNotRun guards against work for callers that had
// disconnected before the node read their requests.
func TestRequestsOfDisconnectedCallersDoNotRun(t *testing.T) {
	for _, count := range []int{1, 3} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			c, err := net.Dial("tcp4", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			for i := range count {
				fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", i)
			}
			c.Close()
			var started atomic.Int64
			s := &Server{
				Draining: func() bool { return false },
				Logger:   logger.New(io.Discard, "info", "n"),
				Handle: func(context.Context, *Request) *Response {
					started.Add(1)
					return &Response{Status: http.StatusOK}
				},
				Limits: func() Limits {
					return Limits{MaxHeaderBytes: 8 << 10, MaxBodyBytes: 1 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second}
				},
			}
			ended := make(chan struct{})
			go s.Serve(&closeNotifyingListener{Listener: l, closed: ended})
			<-ended
			l.Close()
			for s.PendingRequests() > 0 {
				time.Sleep(time.Millisecond)
			}
			if got := started.Load(); got != 0 {
				t.Errorf("got %d requests started, want 0", got)
			}
			if got, want := s.AbandonedRequests.Load(), int64(count); got != want {
				t.Errorf("got %d abandoned requests, want %d", got, want)
			}
		})
	}
}

// TestDisconnectDetectedWithFullPipeline guards against a disconnect that goes undetected
// because the connection is not read while many of its requests have no response.
func TestDisconnectDetectedWithFullPipeline(t *testing.T) {
	var started, ended atomic.Int64
	_, dial := newTestServer(t, func(ctx context.Context, _ *Request) *Response {
		started.Add(1)
		<-ctx.Done()
		ended.Add(1)
		return &Response{Status: http.StatusServiceUnavailable}
	})
	c := dial()
	for i := range 2 * maxPipelined {
		fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", i)
	}
	waitFor(t, func() bool { return started.Load() >= maxPipelined })
	c.Close()
	waitFor(t, func() bool { return ended.Load() == started.Load() })
}

// TestPipelineLimitClosesConnection sends more requests than one connection may have
// pending. It guards against requests that run although their response can't be sent, and
// against a last response that does not announce the close.
func TestPipelineLimitClosesConnection(t *testing.T) {
	var started atomic.Int64
	all := make(chan struct{})
	_, dial := newTestServer(t, func(context.Context, *Request) *Response {
		if started.Add(1) == maxPipelined {
			close(all)
		}
		<-all
		return &Response{Status: http.StatusOK}
	})
	c := dial()
	for i := range 2 * maxPipelined {
		fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", i)
	}
	r := bufio.NewReader(c)
	for i := range maxPipelined {
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if got, want := response.Close, i == maxPipelined-1; got != want {
			t.Errorf("got close %t for response %d, want %t", got, i, want)
		}
	}
	if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("got error %v after the last response, want EOF", err)
	}
	if got := started.Load(); got != maxPipelined {
		t.Errorf("got %d requests started, want %d", got, maxPipelined)
	}
}

// TestReadsRequestsWhileCallerReadsSlowly guards against a connection that is not read
// while its caller is slow to read a response.
func TestReadsRequestsWhileCallerReadsSlowly(t *testing.T) {
	second := make(chan struct{})
	_, dial := newTestServer(t, func(_ context.Context, r *Request) *Response {
		if r.URL.Path == "/2" {
			close(second)
			return &Response{Status: http.StatusOK}
		}
		return &Response{Status: http.StatusOK, Body: make([]byte, 64<<20)}
	})
	c := dial()
	fmt.Fprint(c, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	r := bufio.NewReader(c)
	if _, err := r.Peek(1); err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(c, "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	select {
	case <-second:
	case <-time.After(5 * time.Second):
		t.Error("got no second request while the first response is being read, want one")
	}
}

// TestIdleTimeout guards against requests that are read and dropped: a connection must be
// closed at the idle timeout and not read any longer.
func TestIdleTimeout(t *testing.T) {
	const idleTimeout = time.Second
	s := &Server{
		Draining: func() bool { return false },
		Handle:   func(context.Context, *Request) *Response { return &Response{Status: http.StatusOK} },
		Limits: func() Limits {
			return Limits{MaxHeaderBytes: 8 << 10, MaxBodyBytes: 1 << 10, HeaderTimeout: time.Minute, IdleTimeout: idleTimeout}
		},
		Logger: logger.New(io.Discard, "info", "n"),
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	t.Cleanup(func() {
		l.Close()
		s.Close()
	})
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	r := bufio.NewReader(c)
	readResponse(t, r, http.MethodGet)
	_ = c.SetReadDeadline(time.Now().Add(idleTimeout * 9 / 5))
	if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("got error %v on an idle connection, want EOF soon after %s", err, idleTimeout)
	}
}

// TestRequestCutOffDoesNotRun guards against requests that look whole although their caller
// closed the connection in the middle of them.
func TestRequestCutOffDoesNotRun(t *testing.T) {
	for _, whole := range []string{
		"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nboat",
		"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nboat\r\n0\r\n\r\n",
		"GET /x HTTP/1.1\r\nHost: a\r\n\r\n",
	} {
		var runs atomic.Int64
		_, dial := newTestServer(t, func(context.Context, *Request) *Response {
			runs.Add(1)
			return &Response{Status: http.StatusOK}
		})
		for end := range len(whole) {
			c := dial()
			_, _ = io.WriteString(c, whole[:end])
			_ = c.(*net.TCPConn).CloseWrite()
			if answer, _ := io.ReadAll(c); strings.Contains(string(answer), " 200 ") {
				t.Errorf("%q: got answer %q, want none of a run", whole[:end], answer)
			}
		}
		if got := runs.Load(); got != 0 {
			t.Errorf("%.20q: got %d runs, want none", whole, got)
		}
	}
}
