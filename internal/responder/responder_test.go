package responder

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/logger"
)

// start starts a server with a handler and returns its address.
func start(t *testing.T, h http.HandlerFunc) (s *Server, address string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s = &Server{Handler: h, Logger: logger.New(t.Output(), "info", "n"), Closed: &atomic.Int64{}}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Errorf("got %v from Close, want nil", err)
		}
		if err := <-served; err != nil {
			t.Errorf("got %v from Serve, want nil", err)
		}
	})
	return s, l.Addr().String()
}

// dial opens a connection and sends text over it.
func dial(t *testing.T, address, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c
}

func (s *Server) openConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func await(t *testing.T, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not met within 30 s")
		}
	}
}

// TestCrowdDoesNotKeepOthersOut guards against connections without bound, and against callers
// that get no answer because others hold all connections.
func TestCrowdDoesNotKeepOthersOut(t *testing.T) {
	tests := []struct{ name, text string }{
		{"nothing sent", ""},
		{"head without end", "GET / HTTP/1.1\r\nHost: h\r\n"},
		{"body without end", "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n{"},
		{"kept connections", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, address := start(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.ReadAll(r.Body) })
			for range 2 * MaxConnections {
				dial(t, address, tt.text)
			}
			await(t, func() bool { return s.Closed.Load() >= MaxConnections })
			response, err := http.Get("http://" + address)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			if response.StatusCode != http.StatusOK {
				t.Errorf("got status %d, want 200", response.StatusCode)
			}
			if got := s.openConnections(); got > MaxConnections {
				t.Errorf("got %d connections, want at most %d", got, MaxConnections)
			}
		})
	}
}

// TestRunningRequestIsNotClosed guards against a request that loses its connection while others
// have sent nothing.
func TestRunningRequestIsNotClosed(t *testing.T) {
	running, proceed := make(chan struct{}), make(chan struct{})
	s, address := start(t, func(w http.ResponseWriter, _ *http.Request) {
		close(running)
		<-proceed
		_, _ = io.WriteString(w, "whole")
	})
	c := dial(t, address, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	<-running
	for range 3 * MaxConnections {
		dial(t, address, "")
	}
	await(t, func() bool { return s.Closed.Load() > MaxConnections })
	close(proceed)
	answer, err := io.ReadAll(c)
	if err != nil || !strings.HasSuffix(string(answer), "whole") {
		t.Errorf("got %q and %v, want the whole answer", answer, err)
	}
}

// TestHeadWithoutEndIsRefused guards against heads that grow without bound.
func TestHeadWithoutEndIsRefused(t *testing.T) {
	_, address := start(t, func(http.ResponseWriter, *http.Request) {})
	c := dial(t, address, "GET / HTTP/1.1\r\nHost: h\r\nx: "+strings.Repeat("v", 2*maxHeaderBytes+readAheadBytes))
	answer, _ := io.ReadAll(c)
	if !strings.Contains(string(answer), "431") {
		t.Errorf("got %q, want a status of 431", answer)
	}
}

// readAheadBytes is what the standard library reads beyond its bound on heads.
const readAheadBytes = 4 << 10
