package acceptor

import (
	"context"
	"time"

	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// shutdownPoll is how often a server that ends looks at its connections.
	shutdownPoll = 10 * time.Millisecond
	// firstRequest is how long a connection that was just accepted may take to send
	// its first request once the server ends.
	firstRequest = 100 * time.Millisecond
)

// Shutdown ends the connections that rest, and the others behind the answers to what
// was read on them, until none is left or ctx ends. The listener is closed before and
// Draining tells so.
func (s *Server) Shutdown(ctx context.Context) {
	for s.OpenConnections() > 0 {
		for _, r := range s.resting() {
			if time.Since(r.since) > firstRequest {
				s.end(r.conn)
			}
		}
		if !timekeeper.Sleep(ctx, shutdownPoll) {
			return
		}
	}
}
