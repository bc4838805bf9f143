package guardian

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/logger"
)

// TestBytesThatAreNoAnswer guards against a call that ends well, or counts as not run, because
// of bytes that are no answer, and against a health check that succeeds because of them.
func TestBytesThatAreNoAnswer(t *testing.T) {
	const rest = " OK\r\nAttempt: 1\r\nSeal: s\r\nNot-Run: 1\r\nInstance: s1\r\nContent-Length: 0\r\n"
	for _, response := range []string{
		"HTTP/1.1 000" + rest + "\r\n",
		"HTTP/1.1 099" + rest + "\r\n",
		"HTTP/1.1 600" + rest + "\r\n",
		"HTTP/1.1 999" + rest + "\r\n",
		"HTTP/1.1 +20" + rest + "\r\n",
		"HTTP/3.7 200" + rest + "\r\n",
		"HTTP/1.1 101" + rest + "\r\nHTTP/1.1 200" + rest + "\r\n",
		"HTTP/1.1 000" + rest + "\r\nHTTP/1.1 200" + rest + "\r\n",
		"HTTP/1.1 200" + rest + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			_, _ = io.WriteString(c, response)
			_, _ = io.Copy(io.Discard, c)
		})
		f.announce(8, 0)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		reply, refusal := f.HandleCall(ctx, f.newCall("1"))
		cancel()
		if reply != nil || refusal == nil || refusal.Ran != exchanger.RanUnknown || refusal.Status != http.StatusBadGateway {
			t.Errorf("%.12q: got %v, %v, want a refusal of a call that may have run, with 502", response, reply, refusal)
		}
		if got := f.Backend.InvalidResponses.Load(); got != 1 {
			t.Errorf("%.12q: got %d invalid responses, want 1", response, got)
		}
		if f.checkHealth(t.Context()) {
			t.Errorf("%.12q: health check succeeded, want it to fail", response)
		}
	}
}

// TestInvalidAnswerIsLogged guards against bytes that are no answer without a line for
// operators that names the backend server and what was wrong.
func TestInvalidAnswerIsLogged(t *testing.T) {
	var out strings.Builder
	f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(999)
	})
	f.Logger = logger.New(&out, "info", "n")
	f.announce(8, 0)
	f.HandleCall(t.Context(), f.newCall("1"))
	if got, want := out.String(), "backend server s1 sent bytes that are no answer"; !strings.Contains(got, want) || !strings.Contains(got, "999") {
		t.Errorf("got log %s, want a line with %q and the status", got, want)
	}
}
