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

// fewDescriptors is a listener in a process that has few descriptors.
type fewDescriptors struct {
	net.Listener
	left atomic.Int64
}

// countedConn gives its descriptor back.
type countedConn struct {
	*net.TCPConn
	closed atomic.Bool
	left   *atomic.Int64
}

func (l *fewDescriptors) Accept() (net.Conn, error) {
	if l.left.Load() == 0 {
		time.Sleep(time.Millisecond)
		return nil, &net.OpError{Op: "accept", Net: "tcp4", Err: syscall.EMFILE}
	}
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.left.Add(-1)
	return &countedConn{TCPConn: c.(*net.TCPConn), left: &l.left}, nil
}

func (c *countedConn) Close() error {
	if !c.closed.Swap(true) {
		c.left.Add(1)
	}
	return c.TCPConn.Close()
}

// TestRestingConnectionsMakeRoom guards against requests that are not read because
// the connections of callers that rest have used up the descriptors: callers that
// come with a new connection each time, and keep it, while others have requests that
// run. The descriptors are bounded by the server, or only by the process.
func TestIdleConnectionsAreDroppedForNewOnes(t *testing.T) {
	const room, callers = 16, 100
	tests := []struct {
		name             string
		bound, available int
	}{
		{"bounded by the server", room, 2 * callers},
		{"bounded by the process", 0, room},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			plain, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			l := &fewDescriptors{Listener: plain}
			l.left.Store(int64(tt.available))
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
				plain.Close()
				s.Close()
			})
			get := func(path string) *bufio.Reader {
				c, err := net.Dial("tcp4", plain.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { c.Close() })
				_ = c.SetDeadline(time.Now().Add(10 * time.Second))
				fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path)
				return bufio.NewReader(c)
			}
			long := get("/long")
			wait(t, func() bool { return s.PendingRequests() == 1 })
			for i := range callers {
				if status, _ := readResponse(t, get("/short"), http.MethodGet); status != http.StatusOK {
					t.Fatalf("got status %d for caller %d, want 200", status, i)
				}
			}
			if got := s.OpenConnections(); got > room {
				t.Errorf("got %d connections, want at most %d", got, room)
			}
			close(release)
			if status, _ := readResponse(t, long, http.MethodGet); status != http.StatusOK {
				t.Errorf("got status %d for the request that ran all the time, want 200", status)
			}
		})
	}
}

// TestRequestsThatComeSlowlyDoNotMakeRoom lets a body come in two parts, with many
// connections of others in between.
func TestConnectionReceivingRequestIsNotDropped(t *testing.T) {
	const room = 8
	s, dial := boundedServer(t, room, func(_ context.Context, r *Request) *Response {
		return &Response{Status: http.StatusOK, Body: r.Content}
	})
	slow := dial()
	fmt.Fprint(slow, "POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbo")
	wait(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			if _, rests := c.restsSince(); !rests {
				return true
			}
		}
		return false
	})
	for range 4 * room {
		c := dial()
		fmt.Fprint(c, "GET /short HTTP/1.1\r\nHost: a\r\n\r\n")
		readResponse(t, bufio.NewReader(c), http.MethodGet)
	}
	fmt.Fprint(slow, "at")
	if status, body := readResponse(t, bufio.NewReader(slow), http.MethodPost); status != http.StatusOK || body != "boat" {
		t.Errorf("got %d %q, want 200 with the body", status, body)
	}
}
