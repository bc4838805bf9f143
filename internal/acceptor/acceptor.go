// Package acceptor takes HTTP/1.1 requests from connections and writes their
// answers. It reads on while requests run, so that pipelined requests run at
// the same time and a caller that leaves is noticed at once; answers go out in
// the order of the requests.
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

	"github.com/flamingotack/flamingotack/internal/logger"
)

const (
	// maxPipelined bounds the requests of one connection that wait for their
	// answers. The connection ends with the answer to the last of them.
	maxPipelined = 64
	// lingerTime is how long a closed connection is still read, so that
	// unread bytes don't reset it before the caller has its answer.
	lingerTime = 500 * time.Millisecond
	// writeTimeout is how long a caller may take to read an answer.
	writeTimeout = 10 * time.Second
	// bodyTimeout is how long a request's body may take.
	bodyTimeout = 10 * time.Second
	// acceptPause is how long after a failure the next connection is accepted, and
	// fullPause the same when there is no descriptor for it.
	acceptPause = time.Millisecond
	fullPause   = 20 * time.Millisecond
)

type (
	// Limits bound what a caller may send.
	Limits struct {
		// HeaderBytes bounds the head of a request.
		HeaderBytes int
		// BodyBytes bounds its body.
		BodyBytes int64
		// HeaderTimeout is how long the head may take.
		HeaderTimeout time.Duration
		// IdleTimeout is how long a connection may be idle.
		IdleTimeout time.Duration
	}

	// Request is a request with its whole body.
	Request struct {
		*http.Request
		// Content is the body.
		Content []byte
		// Arrived is when the head was read.
		Arrived time.Time
	}

	// Response is a whole answer.
	Response struct {
		// Status is the HTTP status code.
		Status int
		// Header holds the end-to-end header fields.
		Header http.Header
		// Body is the body. An answer to a HEAD request has none.
		Body []byte
	}

	// Server serves connections. Its exported fields are set before use and
	// are never nil. It is safe for concurrent use.
	Server struct {
		// Connections bounds the connections; 0 sets no bound. Those that have
		// rested longest make room for new ones.
		Connections int
		// Draining tells that callers should not use their connections
		// again.
		Draining func() bool
		// Handle answers a request. The context ends when the caller leaves.
		Handle func(ctx context.Context, r *Request) *Response
		// Limits returns what bounds the next request.
		Limits func() Limits
		// Logger takes what connections lack.
		Logger *logger.Logger
		// Failed counts the connections that could not be accepted, and Dropped
		// those that were closed to make room.
		Failed, Dropped atomic.Int64
		// Unbegun counts the requests that were read and not begun, as their
		// callers had left.
		Unbegun atomic.Int64

		busy   atomic.Int64
		mu     sync.Mutex
		closed bool
		conns  map[*conn]struct{}
		// ending are the connections that were told to make room.
		ending map[*conn]struct{}
	}
)

// Busy returns the number of requests that have no complete answer yet.
func (s *Server) Busy() int {
	return int(s.busy.Load())
}

// Close closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		c.socket.Close()
	}
	for c := range s.ending {
		c.socket.Close()
	}
}

// Open returns the number of connections that callers may use.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		socket, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.fail(err)
			continue
		}
		c := newConn(s, socket)
		if !s.keep(c) {
			socket.Close()
			return nil
		}
		go c.serve()
		if s.Connections > 0 && s.Open() >= s.Connections {
			s.makeRoom()
		}
	}
}

// fail notes that a connection could not be accepted. Without descriptors there
// must be room before the next one; a caller that has left already needs none.
func (s *Server) fail(err error) {
	s.Failed.Add(1)
	s.Logger.Warnf("Can't accept a connection beside %d others: %v.", s.Open(), err)
	full := errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
	if full && s.makeRoom() == 0 {
		time.Sleep(fullPause)
	}
	time.Sleep(acceptPause)
}

func (s *Server) drop(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	delete(s.ending, c)
}

func (s *Server) keep(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if s.conns == nil {
		s.conns, s.ending = map[*conn]struct{}{}, map[*conn]struct{}{}
	}
	s.conns[c] = struct{}{}
	return true
}
