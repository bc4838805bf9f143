package linker

import (
	"errors"
	"io"
	"net"
	"testing"

	"github.com/flamingotack/flamingotack/internal/logger"
)

// newSocketPair returns the two ends of a connection.
func newSocketPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	near, far = net.Pipe()
	t.Cleanup(func() {
		near.Close()
		far.Close()
	})
	return near, far
}

// TestHandshakesAreBounded guards against connections without bound that tell no name, and against
// bounds that stay on connections which have told it.
func TestHandshakesAreBounded(t *testing.T) {
	h := handshakes{logger: logger.New(t.Output(), "info", "a")}
	var conns []*inboundConn
	for range maxHandshakes + 1 {
		near, _ := newSocketPair(t)
		conns = append(conns, h.begin(near))
	}
	if _, err := conns[0].Read(make([]byte, 1)); !errors.Is(err, io.ErrClosedPipe) {
		t.Errorf("got error %v from the oldest connection, want it closed", err)
	}
	conns[1].completeHandshake()
	near, _ := newSocketPair(t)
	h.begin(near)
	if got := h.refused.Load(); got != 1 {
		t.Errorf("got %d connections refused, want 1", got)
	}
	for _, c := range conns {
		c.Close()
	}
	if got := len(h.conns); got != 1 {
		t.Errorf("got %d handshakes at the end, want 1", got)
	}
}

// TestHandshakeBytesAreBounded guards against memory without bound for data before the name of a
// node.
func TestHandshakeBytesAreBounded(t *testing.T) {
	tests := []struct {
		name      string
		others    int
		complete  bool
		size      int
		wantError bool
	}{
		{"message of usual size", 0, false, maxHandshakeBytes / 2, false},
		{"too much for one", 0, false, maxHandshakeBytes + 1, true},
		{"too much for all", maxAllHandshakeBytes, false, 1, true},
		{"complete handshake", maxAllHandshakeBytes, true, 2 * maxHandshakeBytes, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := handshakes{readBytes: tt.others, logger: logger.New(t.Output(), "info", "a")}
			near, far := newSocketPair(t)
			c := h.begin(near)
			if tt.complete {
				c.completeHandshake()
			}
			go func() {
				_, _ = far.Write(make([]byte, tt.size))
				far.Close()
			}()
			_, err := io.Copy(io.Discard, c)
			if got := errors.Is(err, errHandshakeTooLarge); got != tt.wantError {
				t.Errorf("got error %v, want one: %t", err, tt.wantError)
			}
			c.Close()
			if got := h.readBytes; got != tt.others {
				t.Errorf("got %d bytes counted at the end, want %d", got, tt.others)
			}
		})
	}
}
