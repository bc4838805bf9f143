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

// busyListener accepts a few connections and then no more until it is released, as on
// an instance whose processor is busy.
type busyListener struct {
	net.Listener
	few     int
	release chan struct{}
}

func (l *busyListener) Accept() (net.Conn, error) {
	if l.few == 0 {
		<-l.release
	}
	l.few--
	return l.Listener.Accept()
}

// TestShutdownCutsNoRequest guards against requests that are cut off in a planned stop
// although they had been accepted: on a connection that waited to be accepted, on one
// that was accepted and is just sending, and on one whose request runs. Connections that
// rest end without a reset.
func TestShutdownAnswersAcceptedRequests(t *testing.T) {
	plain, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	busy := &busyListener{Listener: listener.Wrap(plain.(*net.TCPListener)), few: 2, release: make(chan struct{})}
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
		c, err := net.Dial("tcp4", plain.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	send := func(c net.Conn, path string) { fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path) }
	go func() { _ = s.Serve(busy) }()
	long, resting := dial(), dial()
	send(long, "/long")
	<-running
	for s.OpenConnections() < 2 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(2 * firstRequest)

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
			t.Errorf("%s: got error %v, want an answer", name, err)
			continue
		}
		response.Body.Close()
		if response.StatusCode != http.StatusOK || !response.Close {
			t.Errorf("%s: got status %d, close %t, want 200 and the end of the connection", name, response.StatusCode, response.Close)
		}
	}
	if _, err := resting.Read(make([]byte, 1)); !errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("resting: got error %v, want the end of the connection", err)
	}
	long.Close()
	waiting.Close()
	resting.Close()
	<-ended
	if got := s.PendingRequests(); got != 0 {
		t.Errorf("got %d requests without an answer, want none", got)
	}
}
