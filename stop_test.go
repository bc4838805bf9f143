package flamingotack

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/parser"
)

// TestEndOfGraceAnswersRequests guards against requests that end without an answer, with their
// connections, when a node's grace period is over: one that runs beside the node and one whose
// body has not arrived as a whole.
func TestEndOfGraceAnswersRequests(t *testing.T) {
	c := newTestCluster(t, testManifest())
	c.serviceTime = time.Minute
	c.configure = func(s *parser.Settings) { s.GracePeriod = parser.Duration(4 * time.Second) }
	n := c.add("slotboard-1", "slotboard", "rajkot")
	c.awaitMembership()
	tests := []struct {
		name, head, body string
		want             []int
	}{
		{"running", "GET /slotboard/long HTTP/1.1\r\n", "", []int{http.StatusBadGateway, http.StatusGatewayTimeout}},
		{"body that is not whole", "POST /slotboard/whole HTTP/1.1\r\nContent-Length: 9\r\n", "part", []int{http.StatusServiceUnavailable}},
	}
	var conns []net.Conn
	for _, tt := range tests {
		conn, err := net.Dial("tcp4", n.Settings().CallerAddress)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		fmt.Fprintf(conn, "%sHost: h\r\nAuthorization: Bearer %s\r\n\r\n%s", tt.head, testKey, tt.body)
		conns = append(conns, conn)
	}
	await(t, "the request runs", func() bool { return n.guard.runningCount() == 1 })
	go c.stopNodes[0]()
	for i, tt := range tests {
		response, err := http.ReadResponse(bufio.NewReader(conns[i]), nil)
		if err != nil {
			t.Errorf("%s: got error %v, want an answer", tt.name, err)
			continue
		}
		response.Body.Close()
		if !slices.Contains(tt.want, response.StatusCode) {
			t.Errorf("%s: got status %d, want one of %v", tt.name, response.StatusCode, tt.want)
		}
	}
}
