package acceptor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/logger"
)

// descriptorLimitedListener simulates a listener in a process with few descriptors.
type descriptorLimitedListener struct {
	net.Listener
	available atomic.Int64
}

// descriptorCountingConn returns its descriptor when it is closed.
type descriptorCountingConn struct {
	*net.TCPConn
	closed    atomic.Bool
	available *atomic.Int64
}

func (l *descriptorLimitedListener) Accept() (net.Conn, error) {
	if l.available.Load() == 0 {
		time.Sleep(time.Millisecond)
		return nil, &net.OpError{Op: "accept", Net: "tcp4", Err: syscall.EMFILE}
	}
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.available.Add(-1)
	return &descriptorCountingConn{TCPConn: c.(*net.TCPConn), available: &l.available}, nil
}

func (c *descriptorCountingConn) Close() error {
	if !c.closed.Swap(true) {
		c.available.Add(1)
	}
	return c.TCPConn.Close()
}

// TestIdleConnectionsAreDroppedForNewOnes guards against requests that are not read
// because idle connections have used up the descriptors. Callers open a new connection for
// each request and keep it, while another request is running. The descriptors are bounded
// by the server, or only by the process.
func TestIdleConnectionsAreDroppedForNewOnes(t *testing.T) {
	const maxConnections, callers = 16, 100
	tests := []struct {
		name             string
		bound, available int
	}{
		{"bounded by the server", maxConnections, 2 * callers},
		{"bounded by the process", 0, maxConnections},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tcpListener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			l := &descriptorLimitedListener{Listener: tcpListener}
			l.available.Store(int64(tt.available))
			release := make(chan struct{})
			s := &Server{
				MaxConnections: tt.bound,
				Draining:       func() bool { return false },
				Handle: func(_ context.Context, r *Request) *Response {
					if r.URL.Path == "/long" {
						<-release
					}
					return &Response{Status: http.StatusOK}
				},
				Limits: func() Limits {
					return Limits{MaxHeaderBytes: 8 << 10, MaxBodyBytes: 1 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
				},
				Logger: logger.New(io.Discard, "info", "n"),
			}
			go s.Serve(l)
			t.Cleanup(func() {
				tcpListener.Close()
				s.Close()
			})
			get := func(path string) *bufio.Reader {
				c, err := net.Dial("tcp4", tcpListener.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { c.Close() })
				_ = c.SetDeadline(time.Now().Add(10 * time.Second))
				fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path)
				return bufio.NewReader(c)
			}
			long := get("/long")
			waitFor(t, func() bool { return s.PendingRequests() == 1 })
			for i := range callers {
				if status, _ := readResponse(t, get("/short"), http.MethodGet); status != http.StatusOK {
					t.Fatalf("got status %d for caller %d, want 200", status, i)
				}
			}
			if got := s.OpenConnections(); got > maxConnections {
				t.Errorf("got %d open connections, want at most %d", got, maxConnections)
			}
			close(release)
			if status, _ := readResponse(t, long, http.MethodGet); status != http.StatusOK {
				t.Errorf("got status %d for the long request, want 200", status)
			}
		})
	}
}

// TestConnectionReceivingRequestIsNotDropped guards against a connection that is closed
// as idle while it receives a request. A body arrives in two parts, with many connections
// of other callers in between.
func TestConnectionReceivingRequestIsNotDropped(t *testing.T) {
	const maxConnections = 8
	s, dial := newBoundedServer(t, maxConnections, func(_ context.Context, r *Request) *Response {
		return &Response{Status: http.StatusOK, Body: r.Content}
	})
	slow := dial()
	fmt.Fprint(slow, "POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbo")
	waitFor(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			if _, idle := c.idleSince(); !idle {
				return true
			}
		}
		return false
	})
	for range 4 * maxConnections {
		c := dial()
		fmt.Fprint(c, "GET /short HTTP/1.1\r\nHost: a\r\n\r\n")
		readResponse(t, bufio.NewReader(c), http.MethodGet)
	}
	fmt.Fprint(slow, "at")
	if status, body := readResponse(t, bufio.NewReader(slow), http.MethodPost); status != http.StatusOK || body != "boat" {
		t.Errorf("got %d %q, want 200 \"boat\"", status, body)
	}
}
