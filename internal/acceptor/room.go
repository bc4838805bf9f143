package acceptor

import (
	"slices"
	"time"
)

const (
	// droppedPart is the part of the connections that are closed at once to make
	// room, so that looking for them is rare.
	droppedPart = 8
	// roomLinger is how long a connection that makes room is still read, so that a
	// request that crosses its end does not reset it.
	roomLinger = 50 * time.Millisecond
)

// restingConn is a connection that rests.
type restingConn struct {
	conn *conn
	// since is when its last request was answered, or when it was accepted.
	since time.Time
}

// makeRoom ends the connections that have rested longest, and returns their number.
// Their callers either come with a new connection each time or are the least likely
// to come back soon.
func (s *Server) makeRoom() (dropped int) {
	resting := s.resting()
	count := min(len(resting), max(1, s.OpenConnections()/droppedPart))
	for _, r := range resting[:count] {
		if s.end(r.conn) {
			dropped++
		}
	}
	s.DroppedConnections.Add(int64(dropped))
	s.Logger.Infof("Ends %d of %d connections that rest, to make room.", dropped, len(resting))
	return dropped
}

// end ends a connection if it rests, takes it off those that callers may use, and
// reports whether it did.
func (s *Server) end(c *conn) bool {
	if !c.end() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.conns[c]; open {
		delete(s.conns, c)
		s.ending[c] = struct{}{}
	}
	return true
}

// resting returns the connections that rest, the longest first.
func (s *Server) resting() (list []restingConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if since, rests := c.restsSince(); rests {
			list = append(list, restingConn{conn: c, since: since})
		}
	}
	slices.SortFunc(list, func(a, b restingConn) int { return a.since.Compare(b.since) })
	return list
}
