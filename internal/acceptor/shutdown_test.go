package acceptor

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/listener"
	"github.com/flamingotack/flamingotack/internal/logger"
)

// busyListener accepts a few connections and then blocks until it is released, as on an
// instance whose processor is busy.
type busyListener struct {
	net.Listener
	acceptsLeft int
	release     chan struct{}
}

func (l *busyListener) Accept() (net.Conn, error) {
	if l.acceptsLeft == 0 {
		<-l.release
	}
	l.acceptsLeft--
	return l.Listener.Accept()
}

// TestShutdownAnswersAcceptedRequests guards against requests that are cut off in a planned
// stop: on a connection that waits to be accepted, on one that was accepted and is sending,
// and on one whose request is running. It also guards against a reset of idle connections.
func TestShutdownAnswersAcceptedRequests(t *testing.T) {
	tcpListener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	busy := &busyListener{Listener: listener.Wrap(tcpListener.(*net.TCPListener)), acceptsLeft: 2, release: make(chan struct{})}
	var draining atomic.Bool
	running, release := make(chan struct{}), make(chan struct{})
	s := &Server{
		Draining: draining.Load,
		Handle: func(_ context.Context, r *Request) *Response {
			if r.URL.Path == "/long" {
				close(running)
				<-release
			}
			return &Response{Status: http.StatusOK}
		},
		Limits: func() Limits {
			return Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 4096, HeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
		},
		Logger: logger.New(t.Output(), "info", "n"),
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp4", tcpListener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	send := func(c net.Conn, path string) { fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path) }
	go func() { _ = s.Serve(busy) }()
	long, idle := dial(), dial()
	send(long, "/long")
	<-running
	for s.OpenConnections() < 2 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(2 * firstRequestTimeout)

	draining.Store(true)
	waiting := dial()
	if err := busy.Close(); err != nil {
		t.Fatal(err)
	}
	close(busy.release)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.Shutdown(t.Context())
	}()
	send(waiting, "/short")
	for name, c := range map[string]net.Conn{"waiting": waiting, "long": long} {
		if name == "long" {
			close(release)
		}
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Errorf("%s: got error %v, want a response", name, err)
			continue
		}
		response.Body.Close()
		if response.StatusCode != http.StatusOK || !response.Close {
			t.Errorf("%s: got status %d, close %t, want 200, true", name, response.StatusCode, response.Close)
		}
	}
	if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("idle: got error %v, want EOF", err)
	}
	long.Close()
	waiting.Close()
	idle.Close()
	<-ended
	if got := s.PendingRequests(); got != 0 {
		t.Errorf("got %d pending requests, want 0", got)
	}
}
