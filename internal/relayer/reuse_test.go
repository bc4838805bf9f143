package relayer

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
)

// TestConnectionsAreReused checks that sequential requests, with and without a
// body, share connections.
func TestConnectionsAreReused(t *testing.T) {
	var opened atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(make([]byte, 256))
	}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	h, err := NewHTTPBackend(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	for _, body := range []string{"", "two boats"} {
		for range 20 {
			r := &exchanger.Request{Method: http.MethodPost, Path: "/", Body: []byte(body), Deadline: time.Now().Add(time.Minute)}
			a, err := h.Send(t.Context(), r, "token")
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, a.Body); err != nil {
				t.Fatal(err)
			}
			a.Body.Close()
		}
	}
	if got := opened.Load(); got > 2 {
		t.Errorf("got %d connections for 40 requests in a row, want at most 2", got)
	}
}
