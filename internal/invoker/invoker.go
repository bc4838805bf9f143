// Package invoker sends requests to the local backend server over pooled connections,
// one request at a time on each.
package invoker

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/accountant"
	"github.com/flamingotack/flamingotack/internal/decoder"
	"github.com/flamingotack/flamingotack/internal/dialer"
	"github.com/flamingotack/flamingotack/internal/exchanger"
)

const (
	dialTimeout = time.Second
	// defaultIdleTimeout is how long an idle connection is kept if the server
	// does not send a keep-alive timeout.
	defaultIdleTimeout = 5 * time.Second
	// idleTimeoutFraction is the fraction of the server's keep-alive timeout
	// after which a connection is not used again, so that the server does not
	// close it during a request.
	idleTimeoutFraction = 0.7
)

type (
	// Response is a complete HTTP response of the backend server.
	Response struct {
		// Status is the HTTP status code.
		Status int
		// Header holds all header fields.
		Header http.Header
		// Body is the whole body, or its first part if MoreBody has further parts.
		Body []byte
		// MoreBody holds the parts of a large body that follow Body, in order.
		MoreBody [][]byte
	}

	// BrokenConnectionError reports that no valid response was received after a
	// request was sent, for example because the connection broke. The request may
	// have run.
	BrokenConnectionError struct {
		// Cause is the first error of the connection.
		Cause error
	}

	// DialError reports that nothing was sent because no connection could be
	// established or the context was canceled first.
	DialError struct {
		// Cause is the error of the dial or the context.
		Cause error
	}

	// Invoker sends requests and pools the connections. The exported fields must
	// be set before use. It is safe for concurrent use.
	Invoker struct {
		// Address is the TCP address of the backend server.
		Address string
		// Account bounds the memory of the responses that are being read; nil means no
		// bound.
		Account *accountant.Account
		// HeaderNames are the names of the header fields.
		HeaderNames exchanger.HeaderNames
		// InvalidResponses counts the responses that were none.
		InvalidResponses atomic.Int64

		// totalBodyBytes counts the body bytes of all responses that are being
		// read.
		totalBodyBytes atomic.Int64
		mu             sync.Mutex
		idle           []*conn
		opened         int64
		// answeredAt is when the last response ended.
		answeredAt time.Time
	}

	// Request is an HTTP request to the backend server.
	Request struct {
		// Method, Target and Host are the method, request target and Host field.
		Method, Target, Host string
		// Header holds the header fields that are sent unchanged.
		Header http.Header
		// Overrides holds fields that replace those of the same name in Header.
		// A field with an empty value is removed.
		Overrides []Field
		// Body is the whole body, or its first part if MoreBody has further parts.
		Body []byte
		// MoreBody holds the parts of a large body that follow Body, in order.
		MoreBody [][]byte
		// AttemptID is the attempt that the response must name in its header. If it is
		// empty, any response is accepted, so the request is sent over a new connection,
		// where no response to an earlier request can arrive.
		AttemptID string
	}

	// Field is a header field.
	Field struct {
		// Name is the canonical field name.
		Name string
		// Value is the only value of the field.
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

// ConnectionsOpened returns the number of connections opened so far.
func (v *Invoker) ConnectionsOpened() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.opened
}

// HasLiveConn reports whether an idle connection that has carried a request is still open, so that
// the server has not started anew since that request. It drops those that are closed.
func (v *Invoker) HasLiveConn() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.prune(time.Now())
	for i := len(v.idle) - 1; i >= 0; i-- {
		c := v.idle[i]
		if !c.reusable() {
			c.socket.Close()
			v.idle = slices.Delete(v.idle, i, i+1)
			continue
		}
		if c.kept {
			return true
		}
	}
	return false
}

// SinceLastAnswer returns the time since the last response ended, or since the zero time if there
// was none.
func (v *Invoker) SinceLastAnswer() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Since(v.answeredAt)
}

// Send sends a request and returns the response. The error is a *DialError if nothing was
// sent. If it is a *BrokenConnectionError or the error of ctx, the request may have run.
func (v *Invoker) Send(ctx context.Context, r *Request) (response *Response, err error) {
	c, err := v.acquire(ctx, r.AttemptID == "")
	if err != nil {
		return nil, &DialError{Cause: err}
	}
	if ctx.Err() != nil {
		v.release(c)
		return nil, &DialError{Cause: ctx.Err()}
	}
	stop := context.AfterFunc(ctx, func() { c.socket.Close() })
	response, err = c.roundTrip(r, v.HeaderNames.AttemptID)
	if !stop() {
		return nil, ctx.Err()
	}
	if err != nil {
		c.socket.Close()
		var invalid *decoder.InvalidResponseError
		if errors.As(err, &invalid) {
			v.InvalidResponses.Add(1)
		}
		return nil, &BrokenConnectionError{Cause: err}
	}
	v.recordAnswer()
	v.release(c)
	return response, nil
}

func (v *Invoker) recordAnswer() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.answeredAt = time.Now()
}

// Probe opens a connection and keeps it for a later request. It returns a *DialError if the
// server accepts none.
func (v *Invoker) Probe(ctx context.Context) error {
	c, err := v.dial(ctx)
	if err != nil {
		return &DialError{Cause: err}
	}
	v.release(c)
	return nil
}

// acquire returns an idle connection, unless forceNew is set, or a new one.
func (v *Invoker) acquire(ctx context.Context, forceNew bool) (c *conn, err error) {
	if forceNew {
		return v.dial(ctx)
	}
	for {
		c = v.takeIdle()
		if c == nil {
			return v.dial(ctx)
		}
		if c.reusable() {
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
	c = newConn(dialer.WrapConn(socket), &v.totalBodyBytes)
	v.Account.Register(&c.holder, nil)
	return c, nil
}

// release returns a connection to the pool or closes it if it must not be used again.
func (v *Invoker) release(c *conn) {
	if c.noReuse {
		c.socket.Close()
		return
	}
	c.lastUsed = time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.idle = append(v.idle, c)
	v.prune(c.lastUsed)
}

// prune closes expired connections at the front of the idle list, which is ordered by
// last use. The caller holds the lock.
func (v *Invoker) prune(now time.Time) {
	for len(v.idle) > 0 && now.Sub(v.idle[0].lastUsed) > v.idle[0].idleTimeout {
		v.idle[0].socket.Close()
		v.idle = v.idle[1:]
	}
}

// takeIdle removes and returns the most recently used idle connection; nil if there is
// none.
func (v *Invoker) takeIdle() (c *conn) {
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

// Error returns the error text with its cause.
func (e *BrokenConnectionError) Error() string {
	return "connection to the backend server broke: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *BrokenConnectionError) Unwrap() error {
	return e.Cause
}

// Error returns the error text with its cause.
func (e *DialError) Error() string {
	return "connect to the backend server: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error {
	return e.Cause
}
