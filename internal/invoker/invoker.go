// Package invoker runs calls on the backend server beside the node, over
// connections that carry one call at a time.
package invoker

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingotack/flamingotack/internal/dialer"
	"github.com/flamingotack/flamingotack/internal/exchanger"
)

const (
	dialTimeout = time.Second
	// idleLimit is how long a connection is kept whose server does not say
	// how long it keeps it.
	idleLimit = 5 * time.Second
	// idlePart is the part of the server's idle timeout after which a
	// connection is not used again, so that the server does not close it
	// under a request.
	idlePart = 0.7
)

type (
	// Answer is what a backend server said.
	Response struct {
		// Status is the HTTP status code.
		Status int
		// Header holds all header fields.
		Header http.Header
		// Body is the whole body.
		Body []byte
	}

	// BrokenError says that a connection broke after a request was sent, so
	// that the request may have run.
	BrokenConnectionError struct {
		// Cause is the first error of the connection.
		Cause error
	}

	// DialError says that nothing was sent: no connection came about, or the
	// context ended before.
	DialError struct {
		// Cause is the error of the dial or the context.
		Cause error
	}

	// Invoker keeps the connections. Its exported fields are set before use.
	// It is safe for concurrent use.
	Invoker struct {
		// Address is the backend server's.
		Address string
		// Dialect names the header fields.
		Dialect exchanger.Dialect

		// held is the number of bytes of the answers that are being read.
		held   atomic.Int64
		mu     sync.Mutex
		idle   []*conn
		opened int64
	}

	// Request is what is sent to a backend server.
	Request struct {
		// Method, Target and Host are those of the HTTP request.
		Method, Target, Host string
		// Header holds the fields that are sent as they are.
		Header http.Header
		// Extra holds fields that replace those of the same name in Header.
		// An empty value only removes the field.
		Overrides []Field
		// Body is the whole body.
		Body []byte
		// ID is the attempt that the answer must name; empty when it names
		// none.
		AttemptID string
	}

	// Field is a header field.
	Field struct {
		// Name is in canonical form.
		Name string
		// Value is the only value.
		Value string
	}
)

// Close closes the idle connections.
func (v *Invoker) Close() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, c := range v.idle {
		c.socket.Close()
	}
	v.idle = nil
}

// Opened returns the number of connections that were opened.
func (v *Invoker) ConnectionsOpened() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.opened
}

// Send sends a request and reads the answer. The error is a *DialError, a
// *BrokenError or that of ctx; the last two don't tell whether the request ran.
func (v *Invoker) Send(ctx context.Context, r *Request) (a *Response, err error) {
	c, err := v.connect(ctx)
	if err != nil {
		return nil, &DialError{Cause: err}
	}
	if ctx.Err() != nil {
		v.release(c)
		return nil, &DialError{Cause: ctx.Err()}
	}
	stop := context.AfterFunc(ctx, func() { c.socket.Close() })
	a, err = c.exchange(r, v.Dialect.Attempt)
	if !stop() {
		return nil, ctx.Err()
	}
	if err != nil {
		c.socket.Close()
		return nil, &BrokenConnectionError{Cause: err}
	}
	v.release(c)
	return a, nil
}

// connect returns an idle connection or a new one.
func (v *Invoker) connect(ctx context.Context) (c *conn, err error) {
	for {
		c = v.take()
		if c == nil {
			return v.dial(ctx)
		}
		if c.clean() {
			return c, nil
		}
		c.socket.Close()
	}
}

func (v *Invoker) dial(ctx context.Context) (c *conn, err error) {
	socket, err := dialer.New(dialTimeout).DialContext(ctx, "tcp4", v.Address)
	if err != nil {
		return nil, err
	}
	v.mu.Lock()
	v.opened++
	v.mu.Unlock()
	return newConn(socket, &v.held), nil
}

func (v *Invoker) release(c *conn) {
	if c.spent {
		c.socket.Close()
		return
	}
	c.used = time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.idle = append(v.idle, c)
	v.prune(c.used)
}

// prune closes the connections that have been idle for too long; they are at
// the front. The caller holds the lock.
func (v *Invoker) prune(now time.Time) {
	for len(v.idle) > 0 && now.Sub(v.idle[0].used) > v.idle[0].limit {
		v.idle[0].socket.Close()
		v.idle = v.idle[1:]
	}
}

// take returns the connection that was used last; nil without one.
func (v *Invoker) take() (c *conn) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.prune(time.Now())
	if len(v.idle) == 0 {
		return nil
	}
	c = v.idle[len(v.idle)-1]
	v.idle = v.idle[:len(v.idle)-1]
	return c
}

// Error describes what broke.
func (e *BrokenConnectionError) Error() string {
	return "connection to the backend server broke: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *BrokenConnectionError) Unwrap() error {
	return e.Cause
}

// Error describes what failed.
func (e *DialError) Error() string {
	return "connect to the backend server: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error {
	return e.Cause
}
