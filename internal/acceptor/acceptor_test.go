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

// testServer serves handle on a free port and returns a connection to it.
func testServer(t *testing.T, handle func(context.Context, *Request) *Response) (s *Server, dial func() net.Conn) {
	t.Helper()
	return boundedServer(t, 0, handle)
}

// boundedServer is testServer with a bound on the connections.
func boundedServer(t *testing.T, connections int, handle func(context.Context, *Request) *Response) (s *Server, dial func() net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s = &Server{
		MaxConnections: connections,
		Draining:       func() bool { return false },
		Handle:         handle,
		Logger:         logger.New(io.Discard, "info", "n"),
		Limits: func() Limits {
			return Limits{MaxHeaderBytes: 8 << 10, MaxBodyBytes: 1 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second}
		},
	}
	go s.Serve(l)
	t.Cleanup(func() {
		l.Close()
		s.Close()
	})
	return s, func() net.Conn {
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

// TestPipelinedRequestsRunTogether sends requests of which the first ends only
// when the last one has been read.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	last := make(chan struct{})
	_, dial := testServer(t, func(_ context.Context, r *Request) *Response {
		if r.URL.Path == "/3" {
			close(last)
		}
		<-last
		return &Response{Status: http.StatusOK, Body: []byte(r.URL.Path)}
	})
	c := dial()
	for i := range 4 {
		fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", i)
	}
	r := bufio.NewReader(c)
	for i := range 4 {
		if _, got := readResponse(t, r, http.MethodGet); got != fmt.Sprint("/", i) {
			t.Errorf("got answer %q, want that of request %d", got, i)
		}
	}
}

// TestLeavingCallerEndsItsRequests closes connections with one and with several
// requests that run.
func TestDisconnectCancelsRequests(t *testing.T) {
	for _, count := range []int{1, 3} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			var started, ended atomic.Int64
			s, dial := testServer(t, func(ctx context.Context, _ *Request) *Response {
				started.Add(1)
				<-ctx.Done()
				ended.Add(1)
				return &Response{Status: http.StatusBadGateway}
			})
			c := dial()
			for range count {
				fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			}
			wait(t, func() bool { return int(started.Load()) == count })
			c.Close()
			wait(t, func() bool { return int(ended.Load()) == count && s.PendingRequests() == 0 })
		})
	}
}

func TestRequestParsing(t *testing.T) {
	tests := []struct {
		name, request string
		status        int
		body          string
	}{
		{"with a length", "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nboat", 200, "boat"},
		{"in chunks", "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\nat\r\n0\r\n\r\n", 200, "boat"},
		{"body too large", "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n", 413, ""},
		{"chunks too large", "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n" + strings.Repeat("x", 2048) + "\r\n0\r\n\r\n", 413, ""},
		{"head too large", "GET /a HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 20<<10) + "\r\n\r\n", 431, ""},
		{"malformed", "GET nothing\r\n\r\n", 400, ""},
		{"expects to be asked for the body", "POST /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nboat", 200, "boat"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, dial := testServer(t, func(_ context.Context, r *Request) *Response {
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

// TestAnswerWithConnectionClose checks that nothing follows an answer that ends
// the connection, and that the requests behind it are not counted for ever.
func TestResponseWithConnectionClose(t *testing.T) {
	s, dial := testServer(t, func(_ context.Context, r *Request) *Response {
		return &Response{Status: http.StatusOK, Body: []byte(r.URL.Path)}
	})
	c := dial()
	fmt.Fprint(c, "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n")
	data, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	if got := string(data); !strings.Contains(got, "Connection: close\r\n") || !strings.HasSuffix(got, "\r\n\r\n/a") {
		t.Errorf("got %q, want one answer that closes the connection", got)
	}
	wait(t, func() bool { return s.PendingRequests() == 0 })
}

// TestDrainingAnswersWhatRuns lets the server drain while pipelined requests run:
// all get their answers, the connection ends with the last one, and what comes
// behind does not run.
func TestDrainAnswersRunningRequests(t *testing.T) {
	var draining atomic.Bool
	var ran atomic.Int64
	release := make(chan struct{})
	s, dial := testServer(t, func(_ context.Context, r *Request) *Response {
		ran.Add(1)
		<-release
		return &Response{Status: http.StatusOK, Body: []byte(r.URL.Path)}
	})
	s.Draining = draining.Load
	c := dial()
	r := bufio.NewReader(c)
	draining.Store(true)
	fmt.Fprint(c, "GET /0 HTTP/1.1\r\nHost: a\r\n\r\nGET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	wait(t, func() bool { return ran.Load() == 3 })
	close(release)
	for i := range 3 {
		if _, got := readResponse(t, r, http.MethodGet); got != fmt.Sprint("/", i) {
			t.Errorf("got answer %q, want that of request %d", got, i)
		}
	}
	fmt.Fprint(c, "GET /3 HTTP/1.1\r\nHost: a\r\n\r\n")
	if data, _ := io.ReadAll(r); len(data) > 0 {
		t.Errorf("got %q behind the last answer, want nothing", data)
	}
	if got := ran.Load(); got != 3 {
		t.Errorf("got %d requests that ran, want 3", got)
	}
}

func TestHeadResponseHasNoBody(t *testing.T) {
	_, dial := testServer(t, func(_ context.Context, _ *Request) *Response {
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

func wait(t *testing.T, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !done(); {
		if time.Now().After(deadline) {
			t.Fatal("got no end of the wait, want one")
		}
		time.Sleep(time.Millisecond)
	}
}

// endedListener tells when the server has closed the connections that it accepts.
type endedListener struct {
	net.Listener
	ended chan struct{}
}

type endedConn struct {
	*net.TCPConn
	once  sync.Once
	ended chan struct{}
}

func (l *endedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &endedConn{TCPConn: c.(*net.TCPConn), ended: l.ended}, nil
}

func (c *endedConn) Close() error {
	c.once.Do(func() { close(c.ended) })
	return c.TCPConn.Close()
}

// TestRequestsOfCallersThatHaveLeftAreNotBegun guards against work for callers that
// had left before the node came to read their requests.
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
			var begun atomic.Int64
			s := &Server{
				Draining: func() bool { return false },
				Logger:   logger.New(io.Discard, "info", "n"),
				Handle: func(context.Context, *Request) *Response {
					begun.Add(1)
					return &Response{Status: http.StatusOK}
				},
				Limits: func() Limits {
					return Limits{MaxHeaderBytes: 8 << 10, MaxBodyBytes: 1 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second}
				},
			}
			ended := make(chan struct{})
			go s.Serve(&endedListener{Listener: l, ended: ended})
			<-ended
			l.Close()
			for s.PendingRequests() > 0 {
				time.Sleep(time.Millisecond)
			}
			if got := begun.Load(); got != 0 {
				t.Errorf("got %d requests begun, want none", got)
			}
			if got, want := s.AbandonedRequests.Load(), int64(count); got != want {
				t.Errorf("got %d requests counted as not begun, want %d", got, want)
			}
		})
	}
}

// TestLeavingIsSeenBehindManyRequests guards against a connection that is not read
// while many of its requests have no answer, so that nobody sees its caller leave.
func TestDisconnectDetectedWithFullPipeline(t *testing.T) {
	var started, ended atomic.Int64
	_, dial := testServer(t, func(ctx context.Context, _ *Request) *Response {
		started.Add(1)
		<-ctx.Done()
		ended.Add(1)
		return &Response{Status: http.StatusServiceUnavailable}
	})
	c := dial()
	for i := range 2 * maxPipelined {
		fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", i)
	}
	wait(t, func() bool { return started.Load() >= maxPipelined })
	c.Close()
	wait(t, func() bool { return ended.Load() == started.Load() })
}

// TestManyRequestsEndTheirConnection sends more requests than one connection may
// have without an answer: those behind the last answer were not begun, and the
// answer says that it is the last.
func TestPipelineLimitClosesConnection(t *testing.T) {
	var begun atomic.Int64
	all := make(chan struct{})
	_, dial := testServer(t, func(context.Context, *Request) *Response {
		if begun.Add(1) == maxPipelined {
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
			t.Errorf("got last %t for answer %d, want %t", got, i, want)
		}
	}
	if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("got error %v behind the last answer, want EOF", err)
	}
	if got := begun.Load(); got != maxPipelined {
		t.Errorf("got %d requests begun, want %d", got, maxPipelined)
	}
}

// TestCallersThatReadSlowlyAreRead guards against a connection that is not read
// while its caller takes its time to read an answer.
func TestReadsRequestsWhileCallerReadsSlowly(t *testing.T) {
	second := make(chan struct{})
	_, dial := testServer(t, func(_ context.Context, r *Request) *Response {
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
		t.Error("got no second request while the first answer is being read, want it")
	}
}

// TestConnectionsThatRestTooLongEnd guards against requests that are read and dropped:
// a connection that has rested for the limit is closed then, and not read on.
func TestIdleTimeout(t *testing.T) {
	const limit = time.Second
	s := &Server{
		Draining: func() bool { return false },
		Handle:   func(context.Context, *Request) *Response { return &Response{Status: http.StatusOK} },
		Limits: func() Limits {
			return Limits{MaxHeaderBytes: 8 << 10, MaxBodyBytes: 1 << 10, HeaderTimeout: time.Minute, IdleTimeout: limit}
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
	_ = c.SetReadDeadline(time.Now().Add(limit * 9 / 5))
	if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("got error %v on a connection that rests, want EOF soon after %s", err, limit)
	}
}
