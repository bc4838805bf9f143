package invoker

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/accountant"
)

// TestBodiesInParts guards against bodies that arrive changed because they are held in parts,
// in both directions, and against memory that stays reserved.
func TestBodiesInParts(t *testing.T) {
	for _, size := range []int{1, 2 << 10, accountant.WholeBodyBytes, accountant.WholeBodyBytes + 1, 1_000_000, 5 << 20} {
		for _, chunked := range []bool{false, true} {
			body := bytes.Repeat([]byte("0123456789a"), size/11+1)[:size]
			v := newTestInvoker(t, func(c net.Conn, r *http.Request, _ int) bool {
				got, err := io.ReadAll(r.Body)
				if err != nil || !bytes.Equal(got, body) || r.ContentLength != int64(size) {
					t.Errorf("size %d: got a request body of %d bytes, length %d, error %v", size, len(got), r.ContentLength, err)
				}
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt: %s\r\n", r.Header.Get("Attempt"))
				if chunked {
					fmt.Fprintf(c, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, body)
				} else {
					fmt.Fprintf(c, "Content-Length: %d\r\n\r\n%s", size, body)
				}
				return true
			})
			v.Account = accountant.New(16 << 20)
			request := get("1")
			request.Method, request.Body = http.MethodPost, body[:size/3]
			request.MoreBody = [][]byte{body[size/3 : size/2], body[size/2:]}
			response, err := v.Send(t.Context(), request)
			if err != nil {
				t.Fatalf("size %d, chunked %t: %v", size, chunked, err)
			}
			if got := bytes.Join(append([][]byte{response.Body}, response.MoreBody...), nil); !bytes.Equal(got, body) {
				t.Errorf("size %d, chunked %t: got a body of %d bytes, want the same as sent", size, chunked, len(got))
			}
			held := cap(response.Body)
			for _, part := range response.MoreBody {
				held += cap(part)
			}
			if limit := max(1<<10, size*6/5); held > limit {
				t.Errorf("size %d, chunked %t: held in %d bytes, want at most %d", size, chunked, held, limit)
			}
			if got := v.Account.UsedBytes(); got != 0 {
				t.Errorf("size %d, chunked %t: got %d bytes reserved afterwards, want 0", size, chunked, got)
			}
		}
	}
}

// TestResponseBeyondAccount guards against responses that use more memory than the node has.
func TestResponseBeyondAccount(t *testing.T) {
	v := newTestInvoker(t, func(c net.Conn, r *http.Request, _ int) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Attempt"), 4<<20, make([]byte, 4<<20))
		return false
	})
	v.Account = accountant.New(2 << 20)
	if _, err := v.Send(t.Context(), get("1")); !errors.Is(err, ErrMemoryShort) {
		t.Errorf("got error %v, want %v", err, ErrMemoryShort)
	}
	if got := v.Account.UsedBytes(); got != 0 {
		t.Errorf("got %d bytes reserved afterwards, want 0", got)
	}
}

// TestResponseWaitsForEvictedMemory guards against a response that is dropped although an evicted
// holder is about to release its memory.
func TestResponseWaitsForEvictedMemory(t *testing.T) {
	const size = 4 << 20
	v := newTestInvoker(t, func(c net.Conn, r *http.Request, _ int) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Attempt"), size, make([]byte, size))
		return false
	})
	v.Account = accountant.New(3 * size)
	var stalled accountant.Holder
	v.Account.Register(&stalled, func() {
		time.AfterFunc(20*time.Millisecond, func() { stalled.Release(stalled.HeldBytes()) })
	})
	now := time.Now()
	stalled.StartPeerWait(now.Add(-time.Second))
	if got := stalled.Reserve(now, 2*size); got != accountant.Granted {
		t.Fatalf("got result %d, want the memory granted", got)
	}
	if _, err := v.Send(t.Context(), get("1")); err != nil {
		t.Errorf("got error %v, want the response", err)
	}
	if v.Account.Evictions() != 1 {
		t.Errorf("got %d evictions, want 1", v.Account.Evictions())
	}
}
