package acceptor

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/accountant"
)

// TestSlowBodyIsProgress guards against callers with a slow uplink that are evicted although
// their bodies arrive steadily.
func TestSlowBodyIsProgress(t *testing.T) {
	for _, size := range []int{60 << 10, 120 << 10} {
		s, dial := newAccountServer(t, 64<<20, answerOK)
		c := dial()
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", size)
		part := bytes.Repeat([]byte("x"), size/20)
		// The body takes longer than a holder may go without progress, which is measured
		// from the start of the request if no part of the body counts.
		for range 20 {
			if _, err := c.Write(part); err != nil {
				t.Fatal(err)
			}
			time.Sleep(40 * time.Millisecond)
			if got := s.Account.EvictStalled(time.Now(), 1); got != 0 {
				t.Fatalf("%d bytes: got an eviction of a caller that sends, want none", size)
			}
		}
		if got, _ := readResponse(t, bufio.NewReader(c), http.MethodGet); got != http.StatusOK {
			t.Errorf("%d bytes: got status %d, want 200", size, got)
		}
	}
}

// TestStalledCallersKeepConnections guards against evictions at MaxConnections, where sockets
// are still free.
func TestStalledCallersKeepConnections(t *testing.T) {
	const connections = 10
	s, dial := newConfiguredServer(t, func(s *Server) {
		s.MaxConnections, s.MaxSockets, s.Account = connections, 10*connections, accountant.New(64<<20)
	}, answerOK)
	for range 2 * connections {
		fmt.Fprint(dial(), "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nx")
	}
	waitFor(t, func() bool { return s.OpenConnections() == 2*connections })
	time.Sleep(600 * time.Millisecond)
	c := dial()
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	if got, _ := readResponse(t, bufio.NewReader(c), http.MethodGet); got != http.StatusOK {
		t.Errorf("got status %d, want 200", got)
	}
	if got := s.Account.Evictions(); got != 0 {
		t.Errorf("got %d evictions, want none", got)
	}
}

// TestAnswerBeforeStalledRequest guards against the answer to a request that has run and is
// dropped because a later request of the connection stalls.
func TestAnswerBeforeStalledRequest(t *testing.T) {
	evicted := make(chan struct{})
	s, dial := newAccountServer(t, 64<<20, func(context.Context, *Request) *Response {
		<-evicted
		return &Response{Status: http.StatusOK, Body: make([]byte, 5000)}
	})
	c := dial()
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\nPOST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\nx")
	waitFor(t, func() bool { return s.Account.EvictStalled(time.Now(), 1) == 1 })
	close(evicted)
	r := bufio.NewReader(c)
	if got, body := readResponse(t, r, http.MethodGet); got != http.StatusOK || len(body) != 5000 {
		t.Errorf("got status %d with %d bytes, want the answer", got, len(body))
	}
	if got, _ := readResponse(t, r, http.MethodPost); got != http.StatusServiceUnavailable {
		t.Errorf("got status %d for the request that stalls, want 503", got)
	}
}

// TestRefusedConnectionsMakeRoom guards against refused callers that keep their connections open
// and so keep others out for the whole linger timeout each.
func TestRefusedConnectionsMakeRoom(t *testing.T) {
	_, dial := newConfiguredServer(t, func(s *Server) { s.MaxSockets = 1 }, answerOK)
	// Together their linger timeouts are longer than the deadline of the last caller.
	for range 60 {
		fmt.Fprint(dial(), "x\r\n\r\n")
	}
	c := dial()
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	if got, _ := readResponse(t, bufio.NewReader(c), http.MethodGet); got != http.StatusOK {
		t.Errorf("got status %d behind refused callers, want 200", got)
	}
}

// TestNoEvictionWhileDraining guards against slow callers that are evicted for new connections
// while the server drains.
func TestNoEvictionWhileDraining(t *testing.T) {
	var draining atomic.Bool
	s, dial := newConfiguredServer(t, func(s *Server) {
		s.MaxSockets, s.Account, s.Draining = 1, accountant.New(64<<20), draining.Load
	}, answerOK)
	draining.Store(true)
	c := dial()
	fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nx")
	waitFor(t, func() bool { return s.Account.UsedBytes() > 0 })
	time.Sleep(700 * time.Millisecond)
	fmt.Fprint(c, "x")
	if got, _ := readResponse(t, bufio.NewReader(c), http.MethodPost); got != http.StatusOK || s.Account.Evictions() != 0 {
		t.Errorf("got status %d and %d evictions, want 200 and none", got, s.Account.Evictions())
	}
}
