package linker

import (
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingotack/flamingotack/internal/logger"
)

const (
	// maxHandshakes bounds the inbound connections whose other side has not told its name yet.
	// Beyond it the oldest one is closed, as a node sends its name at once.
	maxHandshakes = 256
	// handshakeTimeout is how long a connection may take to tell the name.
	handshakeTimeout = 5 * time.Second
	// maxHandshakeBytes bounds what is read of a connection before the name, and
	// maxAllHandshakeBytes what is read of all such connections.
	maxHandshakeBytes    = 1 << 20
	maxAllHandshakeBytes = 8 << 20
	// handshakeLogInterval is the minimum time between two log lines about refused handshakes.
	handshakeLogInterval = time.Second
)

var (
	errHandshakeTooLarge = errors.New("too much data before the name of the node")
	errTooManyHandshakes = errors.New("too many connections that have not told the name of a node")
)

type (
	// handshakes holds the inbound connections whose other side has not told its name yet.
	// They may come from anyone who reaches the port. The logger must be set before use.
	handshakes struct {
		// refused counts the connections that were closed to make room, or had sent too much.
		refused atomic.Int64
		// refusalLogs bounds the log lines about them.
		refusalLogs logger.Throttle
		logger      *logger.Logger

		mu sync.Mutex
		// conns holds the connections, the oldest first.
		conns []*inboundConn
		// readBytes is the sum of what was read of conns.
		readBytes int
	}

	// inboundConn is an inbound connection. Its reads are bounded until its other side has told
	// its name.
	inboundConn struct {
		net.Conn

		handshakes *handshakes
		// pending says that the connection is one of the handshakes.
		pending atomic.Bool
		// readBytes is what was read so far. The lock of the handshakes guards it.
		readBytes int
	}
)

// begin registers a connection and closes the oldest one beyond maxHandshakes.
func (h *handshakes) begin(conn net.Conn) (c *inboundConn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.conns) >= maxHandshakes {
		oldest := h.conns[0]
		h.remove(oldest)
		h.countRefusal(oldest, errTooManyHandshakes)
		oldest.Conn.Close()
	}
	_ = conn.SetReadDeadline(time.Now().Add(handshakeTimeout))
	c = &inboundConn{Conn: conn, handshakes: h}
	c.pending.Store(true)
	h.conns = append(h.conns, c)
	return c
}

// remove unregisters a connection, if it is registered. The caller holds the lock.
func (h *handshakes) remove(c *inboundConn) {
	if !c.pending.CompareAndSwap(true, false) {
		return
	}
	h.readBytes -= c.readBytes
	h.conns = slices.DeleteFunc(h.conns, func(other *inboundConn) bool { return other == c })
}

// countRefusal counts a connection that is closed before its handshake is complete, and logs it at
// most once in handshakeLogInterval.
func (h *handshakes) countRefusal(c *inboundConn, reason error) {
	refused := h.refused.Add(1)
	if h.refusalLogs.Allow(time.Now(), handshakeLogInterval) {
		h.logger.Warnf("connection of %s closed: %v; %d closed so far", c.RemoteAddr(), reason, refused)
	}
}

// completeHandshake lifts the bounds of a connection whose other side has told its name.
func (c *inboundConn) completeHandshake() {
	if !c.pending.Load() {
		return
	}
	c.endHandshake()
	_ = c.SetReadDeadline(time.Time{})
}

func (c *inboundConn) endHandshake() {
	c.handshakes.mu.Lock()
	defer c.handshakes.mu.Unlock()
	c.handshakes.remove(c)
}

// Read reads from the connection. It returns errHandshakeTooLarge once too much was read before
// the name of the node.
func (c *inboundConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if !c.pending.Load() {
		return n, err
	}
	h := c.handshakes
	h.mu.Lock()
	defer h.mu.Unlock()
	if !c.pending.Load() {
		return n, err
	}
	c.readBytes += n
	h.readBytes += n
	if c.readBytes > maxHandshakeBytes || h.readBytes > maxAllHandshakeBytes {
		h.countRefusal(c, errHandshakeTooLarge)
		return 0, errHandshakeTooLarge
	}
	return n, err
}

// Close closes the connection.
func (c *inboundConn) Close() error {
	c.endHandshake()
	return c.Conn.Close()
}
