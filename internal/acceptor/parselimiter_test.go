package acceptor

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// occupy acquires all slots and returns a function that releases them.
func (l *parseLimiter) occupy() (release func()) {
	l.acquire()
	for range cap(l.slots) - 1 {
		l.acquire()
	}
	return func() {
		for range cap(l.slots) {
			l.release()
		}
	}
}

// TestExpensiveInputTakesTurns guards against expensive requests that are processed while others
// have all slots, against ordinary ones that wait for them, and against slots that are not given
// back.
func TestExpensiveInputTakesTurns(t *testing.T) {
	lines := func(count int) string { return strings.Repeat("a: b\r\n", count) }
	chunks := func(count int) string { return strings.Repeat("1\r\nx\r\n", count) + "0\r\n\r\n" }
	tests := []struct {
		name, head, body string
		want             int
	}{
		{"head of few lines", "GET / HTTP/1.1\r\n" + lines(maxOrdinaryLines/2), "", http.StatusOK},
		{"head of many lines", "GET / HTTP/1.1\r\n" + lines(2*maxOrdinaryLines), "", http.StatusServiceUnavailable},
		{"few chunks", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n", chunks(100), http.StatusOK},
		{"many chunks", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n", chunks(maxOrdinaryChunkedBytes), http.StatusServiceUnavailable},
		{"large body of known length", fmt.Sprintf("POST / HTTP/1.1\r\nContent-Length: %d\r\n", 2*maxOrdinaryChunkedBytes), strings.Repeat("x", 2*maxOrdinaryChunkedBytes), http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, dial := newAccountServer(t, 64<<20, answerOK)
			send := func() (status int, retryAfter string) {
				c := dial()
				go fmt.Fprint(c, tt.head+"Host: a\r\n\r\n"+tt.body)
				response, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					t.Fatal(err)
				}
				defer response.Body.Close()
				return response.StatusCode, response.Header.Get("Retry-After")
			}
			release := s.parseLimiter.occupy()
			status, retryAfter := send()
			release()
			if status != tt.want {
				t.Errorf("got status %d while others have all slots, want %d", status, tt.want)
			}
			refused := tt.want == http.StatusServiceUnavailable
			if got := retryAfter != ""; got != refused {
				t.Errorf("got a Retry-After: %t, want %t", got, refused)
			}
			if got := s.ParseRefusals.Load() > 0; got != refused {
				t.Errorf("got a counted refusal: %t, want %t", got, refused)
			}
			if status, _ := send(); status != http.StatusOK {
				t.Errorf("got status %d in calm, want 200", status)
			}
			waitFor(t, func() bool { return len(s.parseLimiter.slots) == 0 })
		})
	}
}
