package invoker

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/accountant"
	"github.com/flamingotack/flamingotack/internal/exchanger"
)

var headerNames = exchanger.HeaderNames{AttemptID: "Attempt"}

// newTestInvoker returns an Invoker for a server that handles each request with respond.
// The connection stays open if respond returns true. number counts the requests from 1.
func newTestInvoker(t *testing.T, respond func(c net.Conn, r *http.Request, number int) bool) *Invoker {
	t.Helper()
	var number atomic.Int64
	v := newRawInvoker(t, func(c *net.TCPConn) {
		for r := bufio.NewReader(c); ; {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if !respond(c, request, int(number.Add(1))) {
				return
			}
		}
	})
	t.Cleanup(v.Close)
	return v
}

func get(id string) *Request {
	return &Request{Method: http.MethodGet, Target: "/x", Host: "a", AttemptID: id, Overrides: []Field{{Name: "Attempt", Value: id}}}
}

func TestResponses(t *testing.T) {
	const good = "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 4\r\n\r\nboat"
	tests := []struct {
		name     string
		response string
		// reset closes the connection with a reset.
		reset bool
		// ok says that the response is valid. opened is the number of connections
		// that two requests need.
		ok     bool
		opened int64
	}{
		{"complete", good, false, true, 1},
		{"body cut off", "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 40\r\n\r\nboat", false, false, 2},
		{"without a length", "HTTP/1.1 200 OK\r\nAttempt: 1\r\n\r\nboat", false, true, 2},
		{"without a length and reset", "HTTP/1.1 200 OK\r\nAttempt: 1\r\n\r\nboat", true, false, 2},
		{"garbage", "\x00\x01\x02 nothing\r\n\r\n", false, false, 2},
		{"response to another request first", strings.Replace(good, "Attempt: 1", "Attempt: 0", 1) + good, false, true, 2},
		{"only a response to another request", strings.Replace(good, "Attempt: 1", "Attempt: 0", 1), false, false, 2},
		{"success without an attempt", strings.Replace(good, "Attempt: 1\r\n", "", 1), false, false, 2},
		{"second response after it", good + good, false, true, 2},
		{"connection close", strings.Replace(good, "Attempt", "Connection: close\r\nAttempt", 1), false, true, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := newTestInvoker(t, func(c net.Conn, _ *http.Request, number int) bool {
				if number > 1 {
					_, _ = io.WriteString(c, strings.Replace(good, "Attempt: 1", "Attempt: 2", 1))
					return true
				}
				_, _ = io.WriteString(c, tt.response)
				if tt.reset {
					time.Sleep(20 * time.Millisecond)
					_ = c.(*net.TCPConn).SetLinger(0)
				}
				return tt.opened == 1
			})
			response, err := v.Send(t.Context(), get("1"))
			if (err == nil) != tt.ok {
				t.Fatalf("got error %v, want valid response %t", err, tt.ok)
			}
			if tt.ok && string(response.Body) != "boat" {
				t.Errorf("got body %q, want %q", response.Body, "boat")
			}
			var brokenErr *BrokenConnectionError
			if !tt.ok && !errors.As(err, &brokenErr) {
				t.Errorf("got error %v, want a BrokenConnectionError", err)
			}
			if response, err = v.Send(t.Context(), get("2")); err != nil || string(response.Body) != "boat" {
				t.Errorf("got %v, %v for the next request, want a response", response, err)
			}
			if got := v.ConnectionsOpened(); got != tt.opened {
				t.Errorf("got %d connections, want %d", got, tt.opened)
			}
		})
	}
}

// TestUnsolicitedResponse guards against a response that is taken for the one to a later
// request. The server sends a second response to a request, which arrives while the
// connection is idle or in use again.
func TestUnsolicitedResponse(t *testing.T) {
	const unsolicited = "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 5\r\n\r\nwrong"
	responseTo := func(id string) string {
		return "HTTP/1.1 200 OK\r\nAttempt: " + id + "\r\nContent-Length: 5\r\n\r\nright"
	}
	v := newTestInvoker(t, func(c net.Conn, r *http.Request, number int) bool {
		if number == 2 {
			_, _ = io.WriteString(c, unsolicited)
		}
		_, _ = io.WriteString(c, responseTo(r.Header.Get("Attempt")))
		return true
	})
	for _, id := range []string{"1", "2", "3"} {
		response, err := v.Send(t.Context(), get(id))
		if err != nil {
			t.Fatal(err)
		}
		if got := string(response.Body); got != "right" {
			t.Errorf("request %s: got %q, want %q", id, got, "right")
		}
	}
}

// TestEarlierRefusalOnKeptConnection guards against a request that is reported as not run, and
// runs again elsewhere, because the server wrote an earlier refusal once more: it counts as the
// response to no later request, whether it names its attempt or none.
func TestEarlierRefusalOnKeptConnection(t *testing.T) {
	const body = "Content-Length: 0\r\n\r\n"
	for _, earlier := range []string{
		"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nAttempt: 1\r\n" + body,
		"HTTP/1.1 503 Full\r\nNot-Run: 1\r\n" + body,
		"HTTP/1.1 421 Misdirected\r\n" + body,
		"HTTP/1.1 408 Timeout\r\n" + body,
	} {
		for _, runs := range []bool{true, false} {
			v := newTestInvoker(t, func(c net.Conn, r *http.Request, number int) bool {
				if number == 1 {
					_, _ = io.WriteString(c, "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nAttempt: 1\r\n"+body)
					return true
				}
				_, _ = io.WriteString(c, earlier)
				if runs {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt: "+r.Header.Get("Attempt")+"\r\n"+body)
				}
				return false
			})
			if response, err := v.Send(t.Context(), get("1")); err != nil || response.Status != http.StatusServiceUnavailable {
				t.Fatalf("got %v, %v for the first request, want its refusal", response, err)
			}
			response, err := v.Send(t.Context(), get("2"))
			var brokenErr *BrokenConnectionError
			if runs && (err != nil || response.Status != http.StatusOK) || !runs && !errors.As(err, &brokenErr) {
				t.Errorf("%.30q, answered %t: got %v, %v, want the request's own response or a BrokenConnectionError", earlier, runs, response, err)
			}
			if got := v.ConnectionsOpened(); got != 1 {
				t.Errorf("got %d connections, want both requests on one", got)
			}
		}
	}
}

// TestRequestWithoutAttemptUsesNewConnection guards against health checks that take a late
// response to an earlier request for theirs.
func TestRequestWithoutAttemptUsesNewConnection(t *testing.T) {
	v := newTestInvoker(t, func(c net.Conn, r *http.Request, number int) bool {
		response := "HTTP/1.1 200 OK\r\nAttempt: " + r.Header.Get("Attempt") + "\r\nContent-Length: 0\r\n\r\n"
		if number == 1 {
			time.AfterFunc(20*time.Millisecond, func() { _, _ = io.WriteString(c, response) })
		}
		_, _ = io.WriteString(c, response)
		return true
	})
	if _, err := v.Send(t.Context(), get("1")); err != nil {
		t.Fatal(err)
	}
	response, err := v.Send(t.Context(), &Request{Method: http.MethodGet, Target: "/health", Host: "a"})
	if err != nil || response.Header.Get("Attempt") != "" {
		t.Errorf("got %v, %v, want the response to the health check", response, err)
	}
	if got := v.ConnectionsOpened(); got != 2 {
		t.Errorf("got %d connections, want 2", got)
	}
}

// TestResponseCutOff guards against answers that look whole although the server closed the
// connection in the middle of them: each part of a response is an error.
func TestResponseCutOff(t *testing.T) {
	for _, whole := range []string{
		"HTTP/1.1 200 OK\r\nAttempt: 1\r\nSeal: s\r\nContent-Length: 12\r\n\r\nboat and oar",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nAttempt: 1\r\nSeal: s\r\n\r\n",
		"HTTP/1.1 200 OK\r\nAttempt: 1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nboat\r\n0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nAttempt: 1\r\nSeal: s\r\n\r\n",
	} {
		for end := range len(whole) {
			v := newTestInvoker(t, func(c net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(c, whole[:end])
				return false
			})
			var brokenErr *BrokenConnectionError
			if response, err := v.Send(t.Context(), get("1")); !errors.As(err, &brokenErr) {
				t.Errorf("%q: got %v, %v, want a BrokenConnectionError", whole[:end], response, err)
			}
		}
	}
}

// TestEarlyResponse guards against reuse of a connection on which the rest of a body would
// have to follow: the server responds before it has read the body.
func TestEarlyResponse(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = http.ReadRequest(bufio.NewReaderSize(c, 16))
		_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nAttempt: 1\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(time.Second)
	}()
	v := &Invoker{Address: l.Addr().String(), HeaderNames: headerNames}
	r := get("1")
	r.Method, r.Body = http.MethodPost, make([]byte, 32<<20)
	response, err := v.Send(t.Context(), r)
	if err != nil || response.Status != http.StatusRequestEntityTooLarge {
		t.Fatalf("got %v, %v, want status 413", response, err)
	}
	if got := len(v.idle); got != 0 {
		t.Errorf("got %d idle connections, want none", got)
	}
}

// TestResetDuringUpload guards against an answer without a length that looks whole although the
// server reset the connection while the request was still being written: the write then gets
// the error of the reset, and the read an end of the stream.
func TestResetDuringUpload(t *testing.T) {
	tests := []struct {
		name string
		// end ends the connection behind the body of the answer.
		end  func(c *net.TCPConn)
		want bool
	}{
		{"reset", func(c *net.TCPConn) { _ = c.SetLinger(0) }, false},
		{"reset a little later", func(c *net.TCPConn) {
			time.Sleep(2 * time.Millisecond)
			_ = c.SetLinger(0)
		}, false},
		{"end of the stream", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := newRawInvoker(t, func(c *net.TCPConn) {
				_, _ = c.Read(make([]byte, 16))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt: 1\r\nSeal: s\r\n\r\nboat")
				tt.end(c)
			})
			for range 20 {
				r := get("1")
				r.Method, r.Body = http.MethodPost, make([]byte, 8<<20)
				response, err := v.Send(t.Context(), r)
				var brokenErr *BrokenConnectionError
				switch {
				case tt.want && (err != nil || string(response.Body) != "boat"):
					t.Fatalf("got %v, %v, want the whole answer", response, err)
				case !tt.want && !errors.As(err, &brokenErr):
					t.Fatalf("got %v, %v, want a BrokenConnectionError", response, err)
				}
			}
		})
	}
}

// newRawInvoker returns an Invoker whose backend server serves each connection with serve and
// closes it then.
func newRawInvoker(t *testing.T, serve func(c *net.TCPConn)) *Invoker {
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
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	return &Invoker{Address: l.Addr().String(), HeaderNames: headerNames}
}

func TestErrors(t *testing.T) {
	t.Run("refused", func(t *testing.T) {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l.Close()
		v := &Invoker{Address: l.Addr().String(), HeaderNames: headerNames}
		var dialErr *DialError
		if _, err := v.Send(t.Context(), get("1")); !errors.As(err, &dialErr) {
			t.Errorf("got error %v, want a DialError", err)
		}
	})
	t.Run("canceled", func(t *testing.T) {
		closed := make(chan struct{})
		v := newTestInvoker(t, func(c net.Conn, _ *http.Request, _ int) bool {
			_, _ = c.Read(make([]byte, 1))
			close(closed)
			return false
		})
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		if _, err := v.Send(ctx, get("1")); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got error %v, want context.DeadlineExceeded", err)
		}
		<-closed
	})
}

// TestEndlessResponse guards against a node that runs out of memory because the server
// sends an endless head or body until the connection is closed.
func TestEndlessResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt: 1\r\n"
	tests := []struct {
		name string
		// first is sent once, and more repeatedly.
		first, more string
	}{
		{"status line", "", "x"},
		{"header field", head + "X: ", "x"},
		{"many header fields", head, "X: y\r\n"},
		{"provisional responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"body without a length", head + "\r\n", "x"},
		{"body with a length", head + "Content-Length: 9000000000\r\n\r\n", "x"},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
		{"chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		{"trailer", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
		{"responses to other requests", "", "HTTP/1.1 200 OK\r\nAttempt: 0\r\nContent-Length: 0\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			closed := make(chan struct{})
			v := newTestInvoker(t, func(c net.Conn, _ *http.Request, _ int) bool {
				defer close(closed)
				io.WriteString(c, tt.first)
				for more := []byte(strings.Repeat(tt.more, 1+(32<<10)/len(tt.more))); ; {
					if _, err := c.Write(more); err != nil {
						return false
					}
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			_, err := v.Send(ctx, get("1"))
			var brokenErr *BrokenConnectionError
			if !errors.As(err, &brokenErr) {
				t.Errorf("got error %v, want a BrokenConnectionError", err)
			}
			<-closed
			if got := v.totalBodyBytes.Load(); got != 0 {
				t.Errorf("got %d body bytes counted after the end, want 0", got)
			}
		})
	}
}

// TestEndlessResponsesShareMemoryLimit guards against concurrent responses that together
// use up the memory of the node.
func TestEndlessResponsesShareMemoryLimit(t *testing.T) {
	v := newTestInvoker(t, func(c net.Conn, _ *http.Request, _ int) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt: 1\r\n\r\n")
		for more := make([]byte, 32<<10); ; {
			if _, err := c.Write(more); err != nil {
				return false
			}
		}
	})
	var maxTotal atomic.Int64
	var sending sync.WaitGroup
	for range 16 {
		sending.Go(func() {
			if _, err := v.Send(t.Context(), get("1")); err == nil {
				t.Error("got an endless response, want an error")
			}
		})
	}
	ended := make(chan struct{})
	go func() {
		sending.Wait()
		close(ended)
	}()
	for running := true; running; {
		select {
		case <-ended:
			running = false
		default:
			maxTotal.Store(max(maxTotal.Load(), v.totalBodyBytes.Load()))
		}
	}
	if got, want := maxTotal.Load(), int64(maxTotalBodyBytes+16*accountant.WholeBodyBytes); got > want {
		t.Errorf("got %d body bytes held, want at most %d", got, want)
	}
}
