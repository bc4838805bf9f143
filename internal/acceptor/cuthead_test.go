package acceptor

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/accountant"
)

// TestLimitWithinLine guards against heads that the server cuts off within a line and then
// refuses as malformed, so that callers do not send them again.
func TestLimitWithinLine(t *testing.T) {
	const start = "GET / HTTP/1.1\r\nHost: a\r\nX-Tra"
	tests := []struct {
		name   string
		limits Limits
		// act runs once the first part of the head has arrived, and returns the next part.
		act  func(t *testing.T, s *Server) string
		want int
	}{
		{"memory is short", Limits{MaxHeaderBytes: 16 << 10, HeaderTimeout: time.Minute}, func(t *testing.T, s *Server) string {
			for size := int64(1 << 10); size > 0; size /= 2 {
				var h accountant.Holder
				s.Account.Register(&h, nil)
				for h.Reserve(time.Now(), size) == accountant.Granted {
				}
			}
			return "x"
		}, http.StatusServiceUnavailable},
		{"evicted", Limits{MaxHeaderBytes: 16 << 10, HeaderTimeout: time.Minute}, func(t *testing.T, s *Server) string {
			waitFor(t, func() bool { return s.Account.EvictStalled(time.Now(), 1) == 1 })
			return ""
		}, http.StatusServiceUnavailable},
		{"header timeout", Limits{MaxHeaderBytes: 16 << 10, HeaderTimeout: 50 * time.Millisecond}, func(*testing.T, *Server) string { return "" }, http.StatusRequestTimeout},
		{"head too large", Limits{MaxHeaderBytes: 1 << 10, HeaderTimeout: time.Minute}, func(*testing.T, *Server) string { return strings.Repeat("x", 16<<10) }, http.StatusRequestHeaderFieldsTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, dial := newConfiguredServer(t, func(s *Server) {
				s.Account = accountant.New(64 << 10)
				s.Limits = func() Limits {
					l := tt.limits
					l.MaxBodyBytes, l.IdleTimeout = 1<<20, time.Minute
					return l
				}
			}, answerOK)
			c := dial()
			fmt.Fprint(c, start)
			waitFor(t, func() bool { return s.Account.UsedBytes() > 0 })
			fmt.Fprint(c, tt.act(t, s))
			if got, _ := readResponse(t, bufio.NewReader(c), http.MethodGet); got != tt.want {
				t.Errorf("got status %d, want %d", got, tt.want)
			}
		})
	}
}
