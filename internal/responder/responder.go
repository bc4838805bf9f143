// Package responder implements an HTTP server for the small requests of a platform, an operator
// or a backend server. It bounds connections, heads and times, so that whoever reaches its port
// can use up neither the memory nor the descriptors of the process.
package responder

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingotack/flamingotack/internal/logger"
)

const (
	// MaxConnections bounds the open connections. At the bound, the one that has been without
	// a complete request for longest is closed for a new one.
	MaxConnections = 32
	// maxHeaderBytes bounds the request line and header. The standard library reads 4 KiB
	// more.
	maxHeaderBytes = 4 << 10
	// headerTimeout and requestTimeout are how long the header and the whole request may take.
	headerTimeout  = 5 * time.Second
	requestTimeout = 10 * time.Second
	// responseTimeout is how long a response may take from the end of the request's header.
	responseTimeout = 20 * time.Second
	// idleTimeout is how long a connection may wait for its next request.
	idleTimeout = 2 * time.Minute
	// logInterval is the minimum time between two log lines about closed connections.
	logInterval = time.Second
)

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

type (
	// Server serves the connections of one listener. The exported fields must be set before
	// use. It is safe for concurrent use.
	Server struct {
		// Handler answers the requests.
		Handler http.Handler
		// Logger logs closed connections and errors of the server.
		Logger *logger.Logger
		// Closed counts the connections that were closed to make room.
		Closed *atomic.Int64

		server http.Server
		// closedLogs bounds the log lines about connections that were closed to make room.
		closedLogs logger.Throttle
		mu         sync.Mutex
		conns      map[*conn]struct{}
	}

	// conn is an open connection. The server's lock guards its fields.
	conn struct {
		net.Conn

		server *Server
		// waitsSince is when it was accepted or its last request ended; meaningless while
		// running.
		waitsSince time.Time
		// running says that a request of it is being answered.
		running bool
	}

	// boundedListener bounds the open connections that it has accepted.
	boundedListener struct {
		net.Listener

		server *Server
	}
)

// Close closes the listener and all connections at once.
func (s *Server) Close() error {
	return s.server.Close()
}

// Serve serves the connections of a listener until the server is closed. It returns nil then.
func (s *Server) Serve(l net.Listener) error {
	s.conns = map[*conn]struct{}{}
	s.server.Handler = http.HandlerFunc(s.handle)
	s.server.ErrorLog = s.Logger.Standard()
	s.server.MaxHeaderBytes = maxHeaderBytes
	s.server.ReadHeaderTimeout = headerTimeout
	s.server.ReadTimeout = requestTimeout
	s.server.WriteTimeout = responseTimeout
	s.server.IdleTimeout = idleTimeout
	s.server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	if err := s.server.Serve(&boundedListener{Listener: l, server: s}); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// handle answers a request, whose connection is not the first to be closed meanwhile.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		s.setRunning(c, true)
		defer s.setRunning(c, false)
	}
	s.Handler.ServeHTTP(w, r)
}

func (s *Server) setRunning(c *conn, running bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.running, c.waitsSince = running, time.Now()
}

// add registers a connection. Beyond MaxConnections it returns the one to close, which is no
// longer registered.
func (s *Server) add(c *conn) (surplus *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= MaxConnections {
		surplus = s.longestWaiting()
		delete(s.conns, surplus)
		s.Closed.Add(1)
		s.logClosed(surplus)
	}
	s.conns[c] = struct{}{}
	return surplus
}

// longestWaiting returns the connection that has been without a complete request for longest;
// one with a running request only if there are no others. The caller holds the lock.
func (s *Server) longestWaiting() (longest *conn) {
	for c := range s.conns {
		if longest == nil || c.waitsLongerThan(longest) {
			longest = c
		}
	}
	return longest
}

func (c *conn) waitsLongerThan(other *conn) bool {
	if c.running != other.running {
		return other.running
	}
	return c.waitsSince.Before(other.waitsSince)
}

// logClosed logs that a connection is closed to make room, at most once in logInterval.
func (s *Server) logClosed(c *conn) {
	if !s.closedLogs.Allow(time.Now(), logInterval) {
		return
	}
	s.Logger.Warnf("connection of %s closed, %d are open; %d closed so far", c.RemoteAddr(), MaxConnections, s.Closed.Load())
}

// Accept returns the next connection, and closes another one beyond MaxConnections.
func (l *boundedListener) Accept() (net.Conn, error) {
	socket, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: socket, server: l.server, waitsSince: time.Now()}
	if surplus := l.server.add(c); surplus != nil {
		surplus.Conn.Close()
	}
	return c, nil
}

// Close closes the connection.
func (c *conn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}
