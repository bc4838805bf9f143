package receiver

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"
)

// TestAbortedAnswerHasNoOrdinaryEnd guards against callers that take the part of an answer for
// the whole one, with and without TLS, where a connection that is closed announces its end.
func TestAbortedAnswerHasNoOrdinaryEnd(t *testing.T) {
	tests := []struct {
		name string
		tls  bool
		// whole lets the answer end in order.
		whole bool
	}{
		{"aborted", false, false},
		{"aborted, TLS", true, false},
		{"whole", false, true},
		{"whole, TLS", true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := echo.New()
			e.GET("/", func(c echo.Context) error {
				_, _ = io.WriteString(c.Response(), "boat")
				c.Response().Flush()
				if !tt.whole {
					abortAnswer(c)
				}
				return nil
			})
			server := httptest.NewUnstartedServer(e)
			start := server.Start
			if tt.tls {
				start = server.StartTLS
			}
			start()
			defer server.Close()
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if tt.tls {
				config := server.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
				config.ServerName = "example.com"
				c = tls.Client(c, config)
			}
			_, _ = io.WriteString(c, "GET / HTTP/1.0\r\nHost: example.com\r\n\r\n")
			answer, err := io.ReadAll(c)
			if tt.whole && !strings.HasSuffix(string(answer), "\r\n\r\nboat") {
				t.Errorf("got %q, want the whole answer", answer)
			}
			if (err == nil) != tt.whole {
				t.Errorf("got error %v, want none: %t", err, tt.whole)
			}
		})
	}
}
