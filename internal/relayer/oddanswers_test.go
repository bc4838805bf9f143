package relayer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
)

// brokenAnswer is what a backend server in trouble sends.
type brokenAnswer struct {
	name, response string
}

// brokenAnswers are bytes that are no answer. Otherwise they would be a good one, of a health check
// too.
func brokenAnswers() []brokenAnswer {
	const (
		ok     = "HTTP/1.1 200 OK\r\n"
		health = `{"ready":true}`
		whole  = "Content-Length: 14\r\n\r\n" + health
		chunks = "e\r\n" + health + "\r\n0\r\n\r\n"
	)
	return []brokenAnswer{
		{"000", "HTTP/1.1 000 Odd\r\n" + whole},
		{"099", "HTTP/1.1 099 Odd\r\n" + whole},
		{"101", "HTTP/1.1 101 Odd\r\n" + whole},
		{"600", "HTTP/1.1 600 Odd\r\n" + whole},
		{"999", "HTTP/1.1 999 Odd\r\n" + whole},
		{"2x0", "HTTP/1.1 2x0 Odd\r\n" + whole},
		{"HTTP/3.7", "HTTP/3.7 200 Odd\r\n" + whole},
		{"blank in a name", ok + "Odd name: 1\r\n" + whole},
		{"blank before the colon", ok + "Content-Length : 14\r\n" + whole},
		{"control byte in a name", ok + "Odd\x01: 1\r\n" + whole},
		{"blank in a name of a provisional answer", "HTTP/1.1 103 Early Hints\r\nOdd name: 1\r\n\r\n" + ok + whole},
		{"folded line", ok + "Odd: 1\r\n Other: 2\r\n" + whole},
		{"line feed before a name", ok + "Content-Length: 2\r\n\nOdd: 1\r\n\r\nok"},
		{"line feed alone behind a field", ok + "Odd: 1\nOther: 2\r\n" + whole},
		{"line feed alone behind the status line", "HTTP/1.1 200 OK\n" + whole},
		{"line feeds alone", "HTTP/1.1 200 OK\nContent-Length: 14\n\n" + health},
		{"the same length twice", ok + "Content-Length: 14\r\n" + whole},
		{"a length with chunks", ok + "Content-Length: 14\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks},
		{"204 with a length", "HTTP/1.1 204 Odd\r\n" + whole},
		{"304 with chunks", "HTTP/1.1 304 Odd\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks},
	}
}

// TestBytesThatAreNoAnswer guards against callers that get bytes of the backend server which
// are no answer, against health checks that count them, and against connections that stay in use
// after them.
func TestBytesThatAreNoAnswer(t *testing.T) {
	for _, tt := range brokenAnswers() {
		t.Run(tt.name, func(t *testing.T) {
			closed := make(chan struct{}, 2)
			server := newRawServer(t, func(c net.Conn) {
				_, _ = io.WriteString(c, tt.response)
				_, _ = io.Copy(io.Discard, c)
				closed <- struct{}{}
			})
			h := newTestBackend(t, server)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			answer, err := h.Send(ctx, newPost(nil), "token")
			if err == nil {
				answer.Body.Close()
			}
			var refusal *exchanger.Refusal
			if !errors.As(err, &refusal) || refusal.Ran != exchanger.RanUnknown || refusal.Status != http.StatusBadGateway {
				t.Errorf("got %v, %v, want a refusal of a request that may have run, with 502", answer, err)
			}
			if health, err := h.Health(ctx); err == nil {
				t.Errorf("got %v from a health check, want an error", health)
			}
			for range 2 {
				select {
				case <-closed:
				case <-ctx.Done():
					t.Error("connection was kept, want it closed")
				}
			}
		})
	}
}

// TestBytesThatAreNoAnswerOnKeptConnection guards against an idempotent request that net/http
// repeats by itself after bytes that are no answer, as it does when a kept connection ends.
func TestBytesThatAreNoAnswerOnKeptConnection(t *testing.T) {
	for _, tt := range brokenAnswers() {
		t.Run(tt.name, func(t *testing.T) {
			var requests atomic.Int64
			server := newTestServer(t, func(c net.Conn, r *http.Request) bool {
				requests.Add(1)
				if strings.HasSuffix(r.URL.Path, "odd") {
					_, _ = io.WriteString(c, tt.response)
					_, _ = io.Copy(io.Discard, c)
					return false
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nboat")
				return true
			})
			h := newTestBackend(t, server)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			get := func(path string) (body string, err error) {
				r := &exchanger.Request{Method: http.MethodGet, Path: path, Idempotent: true, Deadline: time.Now().Add(time.Minute)}
				answer, err := h.Send(ctx, r, "token")
				if err != nil {
					return "", err
				}
				defer answer.Body.Close()
				data, err := io.ReadAll(answer.Body)
				return string(data), err
			}
			for _, path := range []string{"/", "/odd", "/"} {
				body, err := get(path)
				if odd := path == "/odd"; (err != nil) != odd || !odd && body != "boat" {
					t.Errorf("%s: got %q, %v, want an error: %t", path, body, err, odd)
				}
			}
			if got := requests.Load(); got != 3 {
				t.Errorf("got %d requests at the server, want 3", got)
			}
		})
	}
}

// TestWholeAnswers guards against answers that are refused although they are in order.
func TestWholeAnswers(t *testing.T) {
	long := strings.Repeat("boat", 50_000)
	tests := []struct {
		name, response, want string
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nboat", "boat"},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nboat\r\n0\r\n\r\n", "boat"},
		{"chunks with a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nboat\r\n0\r\nSum: 1\r\n\r\n", "boat"},
		{"end of the stream", "HTTP/1.1 200 OK\r\n\r\nboat", "boat"},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nboat", "boat"},
		{"long", "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + long, long},
		{"behind provisional answers", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nboat", "boat"},
		{"without a body", "HTTP/1.1 204 No Content\r\n\r\n", ""},
		{"without a reason", "HTTP/1.1 404\r\nContent-Length: 4\r\n\r\nboat", "boat"},
	}
	for _, tt := range tests {
		for _, size := range []int{0, 8 << 20} {
			t.Run(fmt.Sprintf("%s, upload of %d bytes", tt.name, size), func(t *testing.T) {
				server := newRawServer(t, func(c net.Conn) {
					_, _ = io.WriteString(c, tt.response)
					_ = c.(*net.TCPConn).CloseWrite()
					_, _ = io.Copy(io.Discard, c)
				})
				h := newTestBackend(t, server)
				answer, err := h.Send(t.Context(), newPost(make([]byte, size)), "token")
				if err != nil {
					t.Fatal(err)
				}
				defer answer.Body.Close()
				if body, err := io.ReadAll(answer.Body); err != nil || string(body) != tt.want {
					t.Errorf("got %d bytes, error %v, want %d", len(body), err, len(tt.want))
				}
			})
		}
	}
}

// TestOddTrailer guards against an answer that ends with a trailer which is none.
func TestOddTrailer(t *testing.T) {
	server := newRawServer(t, func(c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nboat\r\n0\r\nOdd name: 1\r\n\r\n")
		_, _ = io.Copy(io.Discard, c)
	})
	answer, err := newTestBackend(t, server).Send(t.Context(), newPost(nil), "token")
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	if body, err := io.ReadAll(answer.Body); err == nil {
		t.Errorf("got %q without an error, want one", body)
	}
}

// newRawServer starts a server that reads the beginning of a request on each connection, serves
// it with serve and closes it then. It returns its URL.
func newRawServer(t *testing.T, serve func(c net.Conn)) (url string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = c.Read(make([]byte, 1))
				serve(c)
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// newTestServer starts a server that handles each request with respond. The connection stays
// open if respond returns true. It returns its URL.
func newTestServer(t *testing.T, respond func(c net.Conn, r *http.Request) bool) (url string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		for respond(c, r) {
			if r, err = http.ReadRequest(buffered.Reader); err != nil {
				return
			}
		}
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// newTestBackend returns the HTTPBackend at a URL.
func newTestBackend(t *testing.T, url string) *HTTPBackend {
	t.Helper()
	h, err := NewHTTPBackend(url)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return h
}

func newPost(body []byte) *exchanger.Request {
	return &exchanger.Request{Method: http.MethodPost, Path: "/", Body: body, Deadline: time.Now().Add(time.Minute)}
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
