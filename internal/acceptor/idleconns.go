package acceptor

import (
	"slices"
	"time"
)

const (
	// dropDivisor determines how many connections are closed at once to make room:
	// the open ones divided by it. This keeps the search for idle ones rare.
	dropDivisor = 8
	// droppedLingerTimeout is how long a connection that was closed while idle is
	// still read, so that a request already on its way does not reset it.
	droppedLingerTimeout = 50 * time.Millisecond
)

// idleConn is an idle connection.
type idleConn struct {
	conn *conn
	// since is when its last response was written, or when it was accepted.
	since time.Time
}

// dropIdleConns closes the connections that have been idle longest, and for minIdleTime at
// least, and returns their number. Their callers either use a new connection for each request or are the least
// likely to send another request soon.
func (s *Server) dropIdleConns(minIdleTime time.Duration) (dropped int) {
	idle := s.idleConns()
	count := min(len(idle), max(1, s.OpenConnections()/dropDivisor))
	for _, r := range idle[:count] {
		if time.Since(r.since) >= minIdleTime && s.closeIfIdle(r.conn) {
			dropped++
		}
	}
	if dropped == 0 {
		return 0
	}
	s.DroppedConnections.Add(int64(dropped))
	s.Logger.Infof("closed %d of %d idle connections to make room", dropped, len(idle))
	return dropped
}

// closeLingering closes the connections that are only read until their linger timeout, after
// droppedLingerTimeout, and returns their number.
func (s *Server) closeLingering() (closed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.closeIfLingering() {
			closed++
		}
	}
	return closed
}

// closeIfIdle closes a connection if it is idle and reports whether it did. A closed
// connection no longer counts as open.
func (s *Server) closeIfIdle(c *conn) bool {
	if !c.closeIfIdle() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.conns[c]; open {
		delete(s.conns, c)
		s.closingConns[c] = struct{}{}
	}
	return true
}

// idleConns returns the idle connections, the longest idle first.
func (s *Server) idleConns() (list []idleConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if since, idle := c.idleSince(); idle {
			list = append(list, idleConn{conn: c, since: since})
		}
	}
	slices.SortFunc(list, func(a, b idleConn) int { return a.since.Compare(b.since) })
	return list
}
