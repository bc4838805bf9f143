package relayer

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
)

// TestBytesThatAreNoAnswer guards against callers that get bytes of the backend server which
// are no answer, and against connections that stay in use after them.
func TestBytesThatAreNoAnswer(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 Odd", "HTTP/1.1 099 Odd", "HTTP/1.1 101 Odd", "HTTP/1.1 600 Odd", "HTTP/1.1 999 Odd", "HTTP/1.1 2x0 Odd", "HTTP/3.7 200 Odd",
		"HTTP/1.1 200 OK\r\nOdd name: 1", "HTTP/1.1 200 OK\r\nContent-Length : 4",
	} {
		closed := make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer close(closed)
			defer c.Close()
			_, _ = io.WriteString(c, head+"\r\nContent-Length: 0\r\n\r\n")
			_, _ = io.Copy(io.Discard, c)
		}))
		h, err := NewHTTPBackend(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		answer, err := h.Send(t.Context(), &exchanger.Request{Method: http.MethodPost, Path: "/", Deadline: time.Now().Add(time.Minute)}, "token")
		var refusal *exchanger.Refusal
		if !errors.As(err, &refusal) || refusal.Ran != exchanger.RanUnknown || refusal.Status != http.StatusBadGateway {
			t.Errorf("%q: got %v, %v, want a refusal of a request that may have run, with 502", head, answer, err)
			h.Close()
			server.CloseClientConnections()
		}
		select {
		case <-closed:
		case <-time.After(10 * time.Second):
			t.Errorf("%q: connection was kept, want it closed", head)
			server.CloseClientConnections()
		}
		h.Close()
		server.Close()
	}
}

// TestResetDuringUpload guards against an answer without a length that looks whole although the
// server reset the connection while the request was still being written.
func TestResetDuringUpload(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nboat")
		time.Sleep(time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	}))
	defer server.Close()
	h, err := NewHTTPBackend(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	for range 20 {
		answer, err := h.Send(t.Context(), &exchanger.Request{Method: http.MethodPost, Path: "/", Body: make([]byte, 8<<20), Deadline: time.Now().Add(time.Minute)}, "token")
		if err != nil {
			continue
		}
		body, err := io.ReadAll(answer.Body)
		answer.Body.Close()
		if err == nil {
			t.Errorf("got %q without an error, want one", body)
		}
	}
}

// TestLongHeadIsNoAnswer guards against a node that keeps all that a faulty server sends as the
// head of an answer.
func TestLongHeadIsNoAnswer(t *testing.T) {
	tests := []struct {
		name      string
		headBytes int
		wantErr   bool
	}{
		{"head within the limit", maxHeadBytes / 2, false},
		{"head beyond the limit", 2 * maxHeadBytes, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Long", strings.Repeat("x", tt.headBytes))
			}))
			defer server.Close()
			h, err := NewHTTPBackend(server.URL)
			if err != nil {
				t.Fatal(err)
			}
			defer h.Close()
			answer, err := h.Send(t.Context(), &exchanger.Request{Method: http.MethodPost, Path: "/", Deadline: time.Now().Add(time.Minute)}, "token")
			if err == nil {
				answer.Body.Close()
			}
			if (err != nil) != tt.wantErr {
				t.Errorf("got error %v, want one: %t", err, tt.wantErr)
			}
		})
	}
}
