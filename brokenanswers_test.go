package flamingotack

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/parser"
)

// brokenServer is a stand-in for a backend server in trouble. It answers requests whose path
// contains "odd" with odd, which gets the raw connection, and all others in order.
type brokenServer struct {
	*httptest.Server
	odd atomic.Pointer[func(c *net.TCPConn)]
}

func newBrokenServer(t *testing.T) *brokenServer {
	t.Helper()
	s := &brokenServer{}
	s.Server = httptest.NewServer(s)
	t.Cleanup(s.Close)
	return s
}

// ServeHTTP answers a request.
func (s *brokenServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.Contains(r.URL.Path, "odd") {
		_, _ = io.WriteString(w, `{"ready":true,"slots":20}`)
		return
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer c.Close()
	(*s.odd.Load())(c.(*net.TCPConn))
}

// newBrokenCluster starts two nodes, of which the first is beside a brokenServer.
func newBrokenCluster(t *testing.T) (c *testCluster, s *brokenServer) {
	t.Helper()
	s = newBrokenServer(t)
	c = newTestCluster(t, testManifest())
	c.configure = func(settings *parser.Settings) { settings.BackendURL = s.URL }
	c.add("slotboard-1", "slotboard", "ahmedabad")
	c.configure = nil
	c.add("bookdesk-1", "bookdesk", "rajkot")
	c.awaitMembership()
	return c, s
}

// awaitAnswer waits until the node has a whole answer of the broken server.
func awaitAnswer(t *testing.T, n *Node) {
	t.Helper()
	await(t, "the server answers", func() bool {
		status, _ := send(t, request(t, n, http.MethodGet, "/slotboard/slots", testKey, ""))
		return status == http.StatusOK
	})
}

// TestCutAnswerLooksCutToCaller guards against a caller that takes the part of an answer that
// broke off for the whole one. In HTTP/1.0 such an answer ends with its connection, so only a
// reset tells.
func TestCutAnswerLooksCutToCaller(t *testing.T) {
	// sendParts sends an answer but for its end, in parts that the node passes on one by one.
	sendParts := func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for range 3 {
			_, _ = io.WriteString(c, "4\r\nboat\r\n")
			time.Sleep(20 * time.Millisecond)
		}
	}
	c, s := newBrokenCluster(t)
	tests := []struct {
		name string
		odd  func(c *net.TCPConn)
		// want is the body of a whole answer; empty if the answer breaks off.
		want string
	}{
		{"cut", sendParts, ""},
		{"cut by a reset", func(c *net.TCPConn) {
			sendParts(c)
			_ = c.SetLinger(0)
		}, ""},
		{"whole", func(c *net.TCPConn) {
			sendParts(c)
			_, _ = io.WriteString(c, "0\r\n\r\n")
		}, "boatboatboat"},
	}
	for _, tt := range tests {
		for _, version := range []string{"1.0", "1.1"} {
			for _, n := range c.nodes {
				t.Run(fmt.Sprintf("%s, HTTP/%s at %s", tt.name, version, n.Settings().Name), func(t *testing.T) {
					awaitAnswer(t, n)
					s.odd.Store(&tt.odd)
					status, body, err := sendRaw(t, n, version, "/slotboard/odd")
					if tt.want == "" && status == http.StatusOK && err == nil {
						t.Errorf("got %q without an error, want one", body)
					}
					if tt.want != "" && (err != nil || status != http.StatusOK || body != tt.want) {
						t.Errorf("got %d, %q, error %v, want 200 with %q", status, body, err, tt.want)
					}
				})
			}
		}
	}
}

// TestBytesThatAreNoAnswerReachNoCaller guards against callers, beside the node of a backend
// server in trouble and across a link, that get bytes of the server which are no answer, or a part
// of an answer whose connection was reset while the request was being written. A whole answer
// that comes so early reaches the caller.
func TestBytesThatAreNoAnswerReachNoCaller(t *testing.T) {
	const (
		ok    = "HTTP/1.1 200 OK\r\n"
		whole = "Content-Length: 4\r\n\r\nboat"
	)
	reset := func(c *net.TCPConn) {
		time.Sleep(2 * time.Millisecond)
		_ = c.SetLinger(0)
	}
	endStream := func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	}
	tests := []struct {
		name, response string
		// end ends the connection behind the response.
		end func(c *net.TCPConn)
		// answered says that the response is an answer. cut says that it begins like one, so that
		// the caller may also get a connection that breaks off.
		answered, cut bool
	}{
		{"000", "HTTP/1.1 000 Odd\r\n" + whole, endStream, false, false},
		{"blank in a name", ok + "Odd name: 1\r\n" + whole, endStream, false, false},
		{"blank before the colon", ok + "Content-Length : 4\r\n" + whole, endStream, false, false},
		{"control byte in a name", ok + "Odd\x01: 1\r\n" + whole, endStream, false, false},
		{"line feed before a name", ok + "Content-Length: 2\r\n\nOdd: 1\r\n\r\nok", endStream, false, false},
		{"line feed alone behind a field", ok + "Odd: 1\nOther: 2\r\n" + whole, endStream, false, false},
		{"folded line", ok + "Odd: 1\r\n Other: 2\r\n" + whole, endStream, false, false},
		{"a length with chunks", ok + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nboat\r\n0\r\n\r\n", endStream, false, false},
		{"reset without a length", ok + "\r\nboat", reset, false, true},
		{"whole without a length", ok + "\r\nboat", endStream, true, false},
		{"whole with a length", ok + whole, endStream, true, false},
	}
	c, s := newBrokenCluster(t)
	for _, tt := range tests {
		odd := func(c *net.TCPConn) {
			_, _ = io.WriteString(c, tt.response)
			tt.end(c)
		}
		s.odd.Store(&odd)
		for _, n := range c.nodes {
			for _, size := range []int{100, 900_000} {
				t.Run(fmt.Sprintf("%s at %s, upload of %d bytes", tt.name, n.Settings().Name, size), func(t *testing.T) {
					awaitAnswer(t, n)
					r := request(t, n, http.MethodPost, "/slotboard/odd", testKey, strings.Repeat("b", size))
					response, err := http.DefaultClient.Do(r)
					if err != nil && tt.cut {
						return
					}
					if err != nil {
						t.Fatal(err)
					}
					defer response.Body.Close()
					body, err := io.ReadAll(response.Body)
					switch {
					case tt.answered && (err != nil || response.StatusCode != http.StatusOK || string(body) != "boat"):
						t.Errorf("got %d, %q, error %v, want the whole answer", response.StatusCode, body, err)
					case tt.cut && response.StatusCode == http.StatusOK && err == nil:
						t.Errorf("got %q without an error, want one", body)
					case !tt.answered && !tt.cut && response.StatusCode != http.StatusBadGateway:
						t.Errorf("got %d with body %q, want 502", response.StatusCode, body)
					}
				})
			}
		}
	}
}

// sendRaw sends a request in a version of HTTP over a new connection. The error says that the
// answer has no end.
func sendRaw(t *testing.T, n *Node, version, path string) (status int, body string, err error) {
	t.Helper()
	c, err := net.Dial("tcp", n.Settings().CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "GET %s HTTP/%s\r\nHost: a\r\nAuthorization: Bearer %s\r\n\r\n", path, version, testKey)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}
