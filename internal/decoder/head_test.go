package decoder

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"golang.org/x/net/http/httpguts"

	"github.com/flamingotack/flamingotack/internal/exchanger"
)

func readHead(text string) (*Head, error) {
	return ReadHead(bufio.NewReader(strings.NewReader(text)))
}

// TestNamesOfFields guards against heads in which the name of a field holds a byte that RFC 9110
// allows in none: each byte as the first, in the middle and as the last of a name.
func TestNamesOfFields(t *testing.T) {
	for value := range 256 {
		char := string([]byte{byte(value)})
		for _, name := range []string{char + "dd", "O" + char + "d", "Od" + char} {
			h, err := readHead("HTTP/1.1 200 OK\r\n" + name + ": 1\r\nContent-Length: 4\r\n\r\n")
			// A colon ends the name, so only as the first byte it makes it invalid.
			want := httpguts.ValidHeaderFieldName(name) || char == ":" && name[0] != ':'
			if (err == nil) != want {
				t.Errorf("name %q: got %v, error %v, want it accepted: %t", name, h, err, want)
			}
		}
	}
}

// TestStatuses guards against statuses of no answer that count as those of one.
func TestStatuses(t *testing.T) {
	for status := range 1000 {
		h, err := readHead(fmt.Sprintf("HTTP/1.1 %03d Odd\r\nContent-Length: 0\r\n\r\n", status))
		interim := status >= 100 && status < 200 && status != 101
		var invalid *InvalidResponseError
		switch {
		case exchanger.IsAnswerStatus(status):
			if err != nil || h.Status != status {
				t.Errorf("status %03d: got %v, error %v, want it", status, h, err)
			}
		case interim:
			if !errors.Is(err, io.EOF) {
				t.Errorf("status %03d: got %v, error %v, want %v behind an interim head", status, h, err, io.EOF)
			}
		case !errors.As(err, &invalid):
			t.Errorf("status %03d: got %v, error %v, want an InvalidResponseError", status, h, err)
		}
	}
}

// TestHeads checks what is read of heads that every recipient reads alike.
func TestHeads(t *testing.T) {
	tests := []struct {
		name string
		head string
		want Head
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", Head{Status: 200, Length: 4}},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n", Head{Status: 200, Length: UnknownLength, Chunked: true}},
		{"neither", "HTTP/1.1 200 OK\r\n\r\n", Head{Status: 200, Length: UnknownLength}},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\n", Head{Status: 200, Length: 4, Close: true}},
		{"HTTP/1.0 that stays open", "HTTP/1.0 200 OK\r\nConnection: Keep-Alive\r\nContent-Length: 4\r\n\r\n", Head{Status: 200, Length: 4}},
		{"closes", "HTTP/1.1 503 Full\r\nConnection: a, close\r\nContent-Length: 0\r\n\r\n", Head{Status: 503, Close: true}},
		{"blanks around a value", "HTTP/1.1 200 OK\r\nContent-Length: \t4 \r\n\r\n", Head{Status: 200, Length: 4}},
		{"behind interim heads", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: a\r\n\r\nHTTP/1.1 204 OK\r\n\r\n", Head{Status: 204, Length: UnknownLength}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h, err := readHead(tt.head)
			if err != nil {
				t.Fatal(err)
			}
			h.Header = nil
			if got, want := fmt.Sprint(*h), fmt.Sprint(tt.want); got != want {
				t.Errorf("got %s, want %s", got, want)
			}
		})
	}
}

// FuzzReadHead checks that a head that is accepted is read alike when its fields are written
// again.
func FuzzReadHead(f *testing.F) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nOdd:1\r\n\r\n",
		"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.0 200 OK\r\n\nOdd: 1\r\n\r\n",
		"HTTP/1.1 000 Odd\r\nOdd name: 1\r\n\r\n",
	} {
		f.Add(head)
	}
	f.Fuzz(func(t *testing.T, text string) {
		first, err := readHead(text)
		if err != nil {
			return
		}
		var again strings.Builder
		fmt.Fprintf(&again, "HTTP/1.1 %d\r\n", first.Status)
		_ = first.Header.Write(&again)
		second, err := readHead(again.String() + "\r\n")
		if err != nil {
			t.Fatalf("got error %v for %q, want none", err, again.String())
		}
		first.Close, second.Close = false, false
		if got, want := fmt.Sprint(*second), fmt.Sprint(*first); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	})
}
