// Package acceptor implements an HTTP/1.1 server. It keeps reading a connection
// while its requests run, so that pipelined requests run concurrently and a
// disconnect of the caller is detected at once. Responses are written in the order
// of the requests.
package acceptor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/flamingotack/flamingotack/internal/accountant"
	"github.com/flamingotack/flamingotack/internal/logger"
)

const (
	// maxPipelined bounds the requests of one connection that have no response
	// yet. The connection closes after the response to the last of them.
	maxPipelined = 64
	// lingerTimeout is how long a connection is still read after its write side
	// was closed. Unread bytes would reset it before the caller has the response.
	lingerTimeout = 500 * time.Millisecond
	// writeTimeout is how long a caller may take to read responses.
	writeTimeout = 10 * time.Second
	// bodyTimeout is how long a caller may take to send a request body.
	bodyTimeout = 10 * time.Second
	// acceptRetryDelay is the delay after a failed accept. noDescriptorDelay is
	// added to it if there is no free descriptor and no idle connection to close.
	acceptRetryDelay  = time.Millisecond
	noDescriptorDelay = 20 * time.Millisecond
	// roomCheckInterval is how often a server at its bound on sockets checks for room.
	roomCheckInterval = 5 * time.Millisecond
)

type (
	// Limits bounds the requests of a caller.
	Limits struct {
		// MaxHeaderBytes bounds the request line and header of a request.
		MaxHeaderBytes int
		// MaxBodyBytes bounds the body of a request.
		MaxBodyBytes int64
		// HeaderTimeout is how long a caller may take to send the request line and
		// header.
		HeaderTimeout time.Duration
		// IdleTimeout is how long a connection may be idle.
		IdleTimeout time.Duration
	}

	// Request is an HTTP request whose body has been read.
	Request struct {
		*http.Request
		// Content is the body, or its first part if MoreContent has further parts.
		Content []byte
		// MoreContent holds the parts of a large body that follow Content, in order.
		MoreContent [][]byte
		// ArrivedAt is when the header was read.
		ArrivedAt time.Time
	}

	// Response is a complete HTTP response.
	Response struct {
		// Status is the HTTP status code.
		Status int
		// Header holds the end-to-end header fields.
		Header http.Header
		// Body is the body, or its first part if MoreBody has further parts. It is not
		// sent in response to a HEAD request.
		Body []byte
		// MoreBody holds the parts that follow Body, in order.
		MoreBody [][]byte
	}

	// Server serves connections. The exported fields must be set before use and
	// must not be nil. It is safe for concurrent use.
	Server struct {
		// Account bounds the memory of requests and responses; nil means no bound.
		Account *accountant.Account
		// BaseContext is the parent of the contexts of all requests; nil means
		// context.Background(). Once it is canceled, requests that have not arrived as a
		// whole are refused.
		BaseContext context.Context
		// MaxConnections bounds the open connections; 0 means no bound. At the
		// bound, the connections that have been idle longest are closed. Those with
		// requests may exceed it up to MaxSockets.
		MaxConnections int
		// MaxSockets bounds the connections together with those that are only read until
		// they close; 0 means no bound. At the bound none is accepted, so that the process
		// keeps descriptors for its backend server and the other nodes, and with an account
		// those that have waited longest for their callers are closed.
		MaxSockets int
		// Draining reports whether connections close after their pending
		// responses.
		Draining func() bool
		// Handle returns the response to a request. The context is canceled when
		// the caller disconnects.
		Handle func(ctx context.Context, r *Request) *Response
		// Limits returns the limits for the next request.
		Limits func() Limits
		// Logger logs failed accepts and connections that are closed early.
		Logger *logger.Logger
		// AcceptFailures counts failed accepts. DroppedConnections counts idle
		// connections that were closed to make room for new ones.
		AcceptFailures, DroppedConnections atomic.Int64
		// AbandonedRequests counts the requests that were read but not started
		// because their callers had disconnected.
		AbandonedRequests atomic.Int64
		// MemoryRefusals counts the requests that were refused, and DroppedResponses the
		// responses that were replaced and the connections that were closed with responses
		// to send, because memory was short.
		MemoryRefusals, DroppedResponses atomic.Int64
		// ParseRefusals counts the requests that were refused because too many others with
		// very many header lines or long bodies in chunks were being read.
		ParseRefusals atomic.Int64

		// parseLimiter bounds the processor time for expensive requests.
		parseLimiter parseLimiter
		// closedLogs bounds the log lines about requests and connections that were refused
		// or closed for lack of memory or processor time.
		closedLogs logger.Throttle
		pending    atomic.Int64
		mu         sync.Mutex
		closed     bool
		conns      map[*conn]struct{}
		// closingConns are the connections that were closed while idle and are
		// still read for their linger timeout.
		closingConns map[*conn]struct{}
	}
)

// baseContext returns the parent of the contexts of all requests.
func (s *Server) baseContext() context.Context {
	if s.BaseContext == nil {
		return context.Background()
	}
	return s.BaseContext
}

// PendingRequests returns the number of requests without a complete response.
func (s *Server) PendingRequests() int {
	return int(s.pending.Load())
}

// Close closes all connections at once.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		c.socket.Close()
	}
	for c := range s.closingConns {
		c.socket.Close()
	}
}

// OpenConnections returns the number of connections that callers may use.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Serve accepts connections until the listener or the server is closed. It always
// returns nil.
func (s *Server) Serve(l net.Listener) error {
	for {
		s.awaitRoom()
		socket, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.handleAcceptError(err)
			continue
		}
		c := newConn(s, socket)
		if !s.addConn(c) {
			socket.Close()
			return nil
		}
		go c.serve()
		if s.MaxConnections > 0 && s.OpenConnections() >= s.MaxConnections {
			s.dropIdleConns(s.minIdleTime())
		}
	}
}

// awaitRoom waits until the server has fewer than MaxSockets connections.
func (s *Server) awaitRoom() {
	for s.MaxSockets > 0 && s.atMaxSockets() {
		s.makeRoom()
		time.Sleep(roomCheckInterval)
	}
}

// atMaxSockets reports whether the server is open and has as many connections as it may have.
func (s *Server) atMaxSockets() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.closed && len(s.conns)+len(s.closingConns) >= s.MaxSockets
}

// makeRoom closes connections whose last response was written or, if there are none, idle ones.
// If there are none either and the server does not drain, it closes those that have waited
// longest for their callers without progress.
func (s *Server) makeRoom() {
	if s.closeLingering() == 0 && s.dropIdleConns(s.minIdleTime()) == 0 && !s.Draining() {
		s.Account.EvictStalled(time.Now(), max(1, s.OpenConnections()/dropDivisor))
	}
}

// minIdleTime returns how long a connection must be idle before it is closed to make room.
// With a bound on sockets, new connections get the time to send their first request.
func (s *Server) minIdleTime() time.Duration {
	if s.MaxSockets > 0 {
		return firstRequestTimeout
	}
	return 0
}

// handleAcceptError counts and logs a failed accept and waits before the next one. If
// the process has no free descriptor, it closes idle connections first. Other failures,
// such as a caller that has already disconnected, need no descriptor.
func (s *Server) handleAcceptError(err error) {
	s.AcceptFailures.Add(1)
	s.Logger.Warnf("accept failed with %d connections open: %v", s.OpenConnections(), err)
	noDescriptor := errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
	if noDescriptor && s.dropIdleConns(0) == 0 {
		s.Account.EvictStalled(time.Now(), max(1, s.OpenConnections()/dropDivisor))
		time.Sleep(noDescriptorDelay)
	}
	time.Sleep(acceptRetryDelay)
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	delete(s.closingConns, c)
}

func (s *Server) addConn(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if s.conns == nil {
		s.conns, s.closingConns = map[*conn]struct{}{}, map[*conn]struct{}{}
	}
	s.conns[c] = struct{}{}
	return true
}
