package emulator

import (
	"net"
	"sync"
	"time"
)

type (
	// countedConn is a connection that is counted as open until it is closed.
	countedConn struct {
		net.Conn
		releaseOnce sync.Once
		release     func()
	}

	// limitedListener accepts at most one connection per acceptInterval and
	// closes those above the limit.
	limitedListener struct {
		net.Listener
		// maxConnections is the maximum number of open connections; 0 means no
		// limit.
		maxConnections  int
		mu              sync.Mutex
		openConnections int
	}
)

// Accept returns the next connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		time.Sleep(acceptInterval)
		if l.acquire() {
			return &countedConn{Conn: conn, release: l.release}, nil
		}
		_ = conn.Close()
	}
}

func (l *limitedListener) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openConnections--
}

func (l *limitedListener) acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.maxConnections > 0 && l.openConnections >= l.maxConnections {
		return false
	}
	l.openConnections++
	return true
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.releaseOnce.Do(c.release)
	return c.Conn.Close()
}
