package invoker

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/accountant"
)

// TestWhatCountsAsAnswer guards against bytes of a backend server in trouble that pass for
// its answer: for a request on a new and on a kept connection and for a health check, which
// names no attempt. If they are no answer, the attempt ends at once as one that may have run,
// nothing behind them on the connection counts either, and the connection is closed.
func TestWhatCountsAsAnswer(t *testing.T) {
	const (
		fields = "Attempt: 2\r\nSeal: s\r\n"
		whole  = fields + "Content-Length: 4\r\n\r\nboat"
		good   = "HTTP/1.1 200 OK\r\n" + whole
	)
	tests := []struct {
		name     string
		response string
		// want is the status of the answer; 0 if there is none.
		want int
	}{
		{"200", good, 200},
		{"200 without a reason", "HTTP/1.1 200\r\n" + whole, 200},
		{"299", "HTTP/1.1 299 Odd\r\n" + whole, 299},
		{"599", "HTTP/1.1 599 Odd\r\n" + whole, 599},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n" + whole, 200},
		{"000", "HTTP/1.1 000 Oops\r\n" + whole + good, 0},
		{"000 without a body", "HTTP/1.1 000 Oops\r\n" + fields + "\r\n" + good, 0},
		{"000 and silence", "HTTP/1.1 000 Oops\r\n" + fields + "\r\n", 0},
		{"099", "HTTP/1.1 099 Oops\r\n" + whole + good, 0},
		{"099 without a body", "HTTP/1.1 099 Oops\r\n" + fields + "\r\n" + good, 0},
		{"600", "HTTP/1.1 600 Oops\r\n" + whole, 0},
		{"999", "HTTP/1.1 999 Oops\r\n" + whole, 0},
		{"2x0", "HTTP/1.1 2x0 Oops\r\n" + whole, 0},
		{"0200", "HTTP/1.1 0200 OK\r\n" + whole, 0},
		{"2000", "HTTP/1.1 2000 OK\r\n" + whole, 0},
		{"20", "HTTP/1.1 20 OK\r\n" + whole, 0},
		{"-200", "HTTP/1.1 -200 OK\r\n" + whole, 0},
		{"+20", "HTTP/1.1 +20 OK\r\n" + fields + "\r\n" + good, 0},
		{"no status", "HTTP/1.1\r\n" + whole, 0},
		{"blank status", "HTTP/1.1  \r\n" + whole, 0},
		{"no version", "200 OK\r\n" + whole, 0},
		{"HTTP/3.7", "HTTP/3.7 200 OK\r\n" + whole, 0},
		{"HTTP/0.9", "HTTP/0.9 200 OK\r\n" + whole, 0},
		{"two status lines", "HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK\r\n" + whole, 0},
		{"000 and a status line", "HTTP/1.1 000 Oops\r\n" + good, 0},
		{"unsolicited 101", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n" + good, 0},
		{"100", "HTTP/1.1 100 Continue\r\n\r\n" + good, 200},
		{"103", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + good, 200},
		{"1xx without end", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", maxHeadBytes/20), 0},
		{"204", "HTTP/1.1 204 No Content\r\n" + fields + "\r\n", 204},
		{"204 with a length", "HTTP/1.1 204 No Content\r\n" + whole, 0},
		{"204 with bytes behind it", "HTTP/1.1 204 No Content\r\n" + fields + "\r\nboat", 0},
		{"204 with chunks", "HTTP/1.1 204 No Content\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\nboat\r\n0\r\n\r\n", 0},
		{"304", "HTTP/1.1 304 Not Modified\r\n" + fields + "\r\n", 304},
		{"304 with the length of what is not sent", "HTTP/1.1 304 Not Modified\r\n" + fields + "Content-Length: 4\r\n\r\n", 304},
		{"304 with a body", "HTTP/1.1 304 Not Modified\r\n" + whole, 0},
		{"304 with chunks", "HTTP/1.1 304 Not Modified\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\nboat\r\n0\r\n\r\n", 0},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + whole, 0},
		{"the same length twice", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + whole, 0},
		{"two lengths in a line", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 4, 4\r\n\r\nboat", 0},
		{"negative length", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: -4\r\n\r\nboat", 0},
		{"signed length", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: +4\r\n\r\nboat", 0},
		{"empty length", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: \r\n\r\n", 0},
		{"chunks", "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\nboat\r\n0\r\n\r\n", 200},
		{"chunks with a trailer", "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n4;a=b\r\nboat\r\n0\r\nSum: 1\r\n\r\n", 200},
		{"a length with chunks", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nboat\r\n0\r\n\r\n", 0},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\nboat\r\n0\r\n\r\n", 0},
		{"another coding", "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: gzip\r\n\r\nboat", 0},
		{"folded line", "HTTP/1.1 200 OK\r\nAttempt: 2\r\nSeal: s\r\n Content-Length: 4\r\n\r\nboat", 0},
		{"line without a colon", "HTTP/1.1 200 OK\r\nOdd\r\n" + whole, 0},
		{"blank before the colon", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length : 4\r\n\r\nboat", 0},
		{"blank in the name of a field", "HTTP/1.1 200 OK\r\nOdd name: 1\r\n" + whole, 0},
		{"tab before the colon", "HTTP/1.1 200 OK\r\nOdd\t: 1\r\n" + whole, 0},
		{"control byte in the name of a field", "HTTP/1.1 200 OK\r\nOdd\x01: 1\r\n" + whole, 0},
		{"control byte in the value of a field", "HTTP/1.1 200 OK\r\nOdd: \x01\r\n" + whole, 0},
		{"carriage return in the name of a field", "HTTP/1.1 200 OK\r\nOdd\r: 1\r\n" + whole, 0},
		{"blank in the name of the first field", "HTTP/1.1 200 OK\r\n : 1\r\n" + whole, 0},
		{"field without a name", "HTTP/1.1 200 OK\r\n: 1\r\n" + whole, 0},
		{"blank in a name of a provisional answer", "HTTP/1.1 103 Early Hints\r\nOdd name: 1\r\n\r\n" + good, 0},
		{"blank in a name of a trailer", "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\nboat\r\n0\r\nOdd name: 1\r\n\r\n", 0},
		{"line feed before the name of a field", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 2\r\n\nOdd: 1\r\n\r\nok", 0},
		{"line feed before the name of a field, without a length", "HTTP/1.1 200 OK\r\n" + fields + "\nOdd: 1\r\n\r\nboat", 0},
		{"line feed alone behind a field", "HTTP/1.1 200 OK\r\nOdd: 1\nOther: 2\r\n" + whole, 0},
		{"line feed alone behind the status line", "HTTP/1.1 200 OK\n" + whole, 0},
		{"line feed alone behind the last field", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 4\n\r\nboat", 0},
		{"line feed alone behind the head", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 4\r\n\nboat", 0},
		{"line feed alone in a provisional answer", "HTTP/1.1 103 Early Hints\nLink: </a>\r\n\r\n" + good, 0},
		{"line feed alone in a trailer", "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\nboat\r\n0\r\nSum: 1\n\r\n", 0},
		{"line feed alone behind the last chunk", "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\nboat\r\n0\r\n\n", 0},
		{"line feed alone behind the size of a chunk", "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n4\nboat\r\n0\r\n\r\n", 0},
		{"a chunk without a size", "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\nx\r\nboat\r\n0\r\n\r\n", 0},
	}
	for _, tt := range tests {
		for _, mode := range []string{"new connection", "kept connection", "health check"} {
			t.Run(tt.name+" on "+mode, func(t *testing.T) {
				closed := make(chan struct{})
				v := newTestInvoker(t, func(c net.Conn, r *http.Request, number int) bool {
					switch attempt := r.Header.Get("Attempt"); attempt {
					case "1", "3":
						_, _ = io.WriteString(c, strings.Replace(good, "Attempt: 2", "Attempt: "+attempt, 1))
						return true
					default:
						_, _ = io.WriteString(c, tt.response)
						_, _ = io.Copy(io.Discard, c)
						close(closed)
						return false
					}
				})
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				request := get("2")
				switch mode {
				case "kept connection":
					if _, err := v.Send(ctx, get("1")); err != nil {
						t.Fatal(err)
					}
				case "health check":
					request = &Request{Method: http.MethodGet, Target: "/health", Host: "a"}
				}
				caseCtx, cancelCase := context.WithTimeout(ctx, time.Second)
				defer cancelCase()
				response, err := v.Send(caseCtx, request)
				if tt.want != 0 {
					if err != nil || response.Status != tt.want {
						t.Fatalf("got %v, %v, want status %d", response, err, tt.want)
					}
					return
				}
				var brokenErr *BrokenConnectionError
				if !errors.As(err, &brokenErr) {
					t.Fatalf("got %v, %v, want a BrokenConnectionError", response, err)
				}
				select {
				case <-closed:
				case <-ctx.Done():
					t.Error("connection was kept, want it closed")
				}
				if response, err := v.Send(ctx, get("3")); err != nil || string(response.Body) != "boat" {
					t.Errorf("got %v, %v for the next request, want its answer", response, err)
				}
			})
		}
	}
}

// TestLargePartsStayWithinTotal guards against bodies that exceed the bound of all of them
// because each counts a large part after it was read.
func TestLargePartsStayWithinTotal(t *testing.T) {
	total := &atomic.Int64{}
	total.Store(maxTotalBodyBytes - 1)
	c := &conn{totalBodyBytes: total}
	if got := c.countPart(1 << 20); got != accountant.WholeBodyBytes {
		t.Errorf("got a part of %d bytes near the bound, want %d", got, accountant.WholeBodyBytes)
	}
	if got := c.countPart(1 << 20); got != 0 {
		t.Errorf("got a part of %d bytes beyond the bound, want none", got)
	}
	if got, want := total.Load(), int64(maxTotalBodyBytes-1+accountant.WholeBodyBytes); got != want {
		t.Errorf("got %d bytes counted, want %d", got, want)
	}
}
