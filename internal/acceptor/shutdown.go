package acceptor

import (
	"context"
	"time"

	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// shutdownPollInterval is how often Shutdown checks the connections.
	shutdownPollInterval = 10 * time.Millisecond
	// firstRequestTimeout is how long a new connection may take to send its first
	// request during a shutdown.
	firstRequestTimeout = 100 * time.Millisecond
	// stoppingRetryAfter is the Retry-After value, in seconds, of a request that has not
	// arrived as a whole when the server stops. It is short, as another server can take it.
	stoppingRetryAfter = "0.100"
)

// Shutdown closes idle connections at once and the others after the responses to their
// requests. It returns when no connection is open or ctx is canceled. The caller must
// close the listener first, and Draining must return true.
func (s *Server) Shutdown(ctx context.Context) {
	for s.OpenConnections() > 0 {
		for _, r := range s.idleConns() {
			if time.Since(r.since) > firstRequestTimeout {
				s.closeIfIdle(r.conn)
			}
		}
		if !timekeeper.Sleep(ctx, shutdownPollInterval) {
			return
		}
	}
}

// interruptRequest ends the read of a request that has not arrived as a whole.
func (c *conn) interruptRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receiving {
		_ = c.socket.SetReadDeadline(time.Unix(1, 0))
	}
}
