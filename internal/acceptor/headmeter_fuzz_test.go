package acceptor

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"
)

// FuzzHeadMeter guards against heads of which the meter finds another end than the parser, so
// that lines behind it are not charged.
func FuzzHeadMeter(f *testing.F) {
	for _, head := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\nbody\n\n",
		"GET / HTTP/1.1\nHost: a\n\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nX:\r\r\n b\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\n\r\r\n\r\n",
		"\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
	} {
		f.Add([]byte(head), 7)
	}
	f.Fuzz(func(t *testing.T, data []byte, split int) {
		source := bytes.NewReader(data)
		reader := bufio.NewReaderSize(source, readBufferBytes)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		consumed := len(data) - source.Len() - reader.Buffered()
		split = min(max(split, 0), len(data))
		var m headMeter
		first, _ := m.add(data[:split])
		second, _ := m.add(data[split:])
		if got := first + second; got != consumed || !m.ended {
			t.Errorf("got a head of %d bytes, ended %t, want %d", got, m.ended, consumed)
		}
	})
}
