package acceptor

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingotack/flamingotack/internal/accountant"
)

const readBufferBytes = 4 << 10

var (
	errBodyTooLarge = errors.New("request body too large")
	errHeadTooLarge = errors.New("request header too large")
	errEvicted      = errors.New("memory or connections are short, and the caller has made no progress for long")
	errMemoryShort  = errors.New("memory is short")
	errStopping     = errors.New("the server stops")
)

type (
	// conn is a connection from a caller.
	conn struct {
		server       *Server
		socket       net.Conn
		socketReader *socketReader
		reader       *bufio.Reader
		// holder holds the memory of the requests and responses of the connection.
		holder accountant.Holder
		// headMeter charges the head that is being read.
		headMeter headMeter
		// parseCost bounds the processor time that is spent on the request being read.
		parseCost parseCost
		// requestBytes is the memory that is reserved for the request being read.
		requestBytes int64
		// writeEvicted is set if the connection was evicted during a write.
		// writeWaits says that a write is in progress.
		writeEvicted, writeWaits atomic.Bool
		// singlePart holds what is written next if it has one part, which saves an
		// allocation.
		singlePart [1][]byte

		mu sync.Mutex
		// queue holds the exchanges whose response is not written yet, in order.
		queue []*exchange
		// receiving says that a request is being read and is not in the queue yet.
		receiving bool
		// writing says that responses are being written.
		writing bool
		// closing is set once the last response is known. Nothing follows it in
		// the queue.
		closing bool
		// lingerTimeout is how long the connection is still read after its write
		// side was closed.
		lingerTimeout time.Duration
		// writeClosedAt is when the write side was closed; zero before that.
		writeClosedAt time.Time
		// idleFrom is when the queue last became empty.
		idleFrom time.Time
	}

	// exchange is a request with its response, which is nil until it is known.
	exchange struct {
		// request is nil when it could not be read and once it has a response.
		request  *Request
		response *Response
		// head says that the request's method is HEAD.
		head bool
		// refused says that the request was refused while it was read.
		refused bool
		// reservedBytes is the memory that is reserved for the request or its response.
		reservedBytes int64
		// started says that the request is running or has run.
		started bool
		// closeAfter says that the connection closes after this exchange.
		closeAfter bool
	}
)

func newConn(s *Server, socket net.Conn) *conn {
	socketReader := newSocketReader(socket)
	c := &conn{
		server:        s,
		socket:        socket,
		socketReader:  socketReader,
		reader:        bufio.NewReaderSize(socketReader, readBufferBytes),
		parseCost:     parseCost{limiter: &s.parseLimiter},
		lingerTimeout: lingerTimeout,
		idleFrom:      time.Now(),
	}
	socketReader.onRead = c.parseCost.releaseSlot
	socketReader.onProgress = func() { c.holder.RecordProgress(time.Now()) }
	s.Account.Register(&c.holder, c.evict)
	return c
}

// serve reads requests until the caller disconnects or the connection closes.
func (c *conn) serve() {
	defer c.server.removeConn(c)
	defer c.server.Account.Unregister(&c.holder)
	defer c.socket.Close()
	defer c.discardUnstarted()
	ctx, cancel := context.WithCancel(c.server.baseContext())
	defer cancel()
	defer context.AfterFunc(ctx, c.interruptRequest)()
	c.socketReader.onBlock = func() { c.startQueued(ctx) }
	for c.awaitRequest() {
		r, err := c.readRequest(c.server.Limits())
		if err != nil {
			c.releaseRequest()
			if c.refuseRequest(err) {
				c.discardInput()
			}
			return
		}
		e := &exchange{request: r, head: r.Method == http.MethodHead, reservedBytes: c.requestBytes, closeAfter: r.Close || !r.ProtoAtLeast(1, 1)}
		queued := c.enqueue(e)
		if !queued {
			c.releaseRequest()
		}
		if !queued || e.closeAfter {
			c.discardInput()
			return
		}
	}
}

// discardUnstarted removes the requests that were not started from the queue, because
// their caller has disconnected.
func (c *conn) discardUnstarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := len(c.queue)
	c.queue = slices.DeleteFunc(c.queue, func(e *exchange) bool {
		unstarted := !e.started && e.response == nil
		if unstarted {
			c.holder.Release(e.reservedBytes)
		}
		return unstarted
	})
	count -= len(c.queue)
	c.server.pending.Add(-int64(count))
	c.server.AbandonedRequests.Add(int64(count))
	if c.writing {
		return
	}
	// Responses behind the removed requests are written by nobody.
	if _, count := c.readyResponses(false); count > 0 {
		c.dequeue(count)
	}
}

// startQueued runs the queued requests. It is called when a read would block. The end of
// the connection has not been received then, so no request of a disconnected caller is
// started.
func (c *conn) startQueued(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.queue {
		if !e.started && e.response == nil {
			e.started = true
			go func() { c.complete(e, c.server.Handle(ctx, e.request)) }()
		}
	}
}

// closeIfIdle closes the write side of an idle connection and reports whether it did. If
// a request has arrived in the meantime, the connection stays open.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle() {
		return false
	}
	c.closing, c.lingerTimeout = true, droppedLingerTimeout
	c.closeWrite()
	return true
}

// closeIfLingering closes the connection if its write side was closed at least
// droppedLingerTimeout ago, and reports whether it did.
func (c *conn) closeIfLingering() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeClosedAt.IsZero() || time.Since(c.writeClosedAt) < droppedLingerTimeout {
		return false
	}
	c.socket.Close()
	return true
}

// idleSince returns whether the connection is idle, and since when.
func (c *conn) idleSince() (since time.Time, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleFrom, c.idle()
}

// idle reports whether no request is being received or running. The caller holds the
// lock.
func (c *conn) idle() bool {
	return len(c.queue) == 0 && !c.receiving && !c.closing
}

// awaitRequest waits for the next request and reports whether there is one.
func (c *conn) awaitRequest() bool {
	for {
		c.socketReader.remainingBytes = int64(c.server.Limits().MaxHeaderBytes) + readBufferBytes
		c.mu.Lock()
		c.setIdleDeadline()
		c.mu.Unlock()
		_, err := c.reader.Peek(1)
		if err == nil {
			c.mu.Lock()
			c.receiving = true
			c.mu.Unlock()
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.hasPending() {
			return false
		}
	}
}

// setIdleDeadline sets the read deadline of a connection that waits for a request. There
// is none while requests are pending. The caller holds the lock.
func (c *conn) setIdleDeadline() {
	if c.closing {
		return
	}
	if len(c.queue) > 0 {
		_ = c.socket.SetReadDeadline(time.Time{})
		return
	}
	_ = c.socket.SetReadDeadline(time.Now().Add(c.server.Limits().IdleTimeout))
}

// sendContinue sends 100 Continue, unless other responses are pending.
func (c *conn) sendContinue() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 {
		_, _ = io.WriteString(c.socket, "HTTP/1.1 100 Continue\r\n\r\n")
	}
}

// refuseRequest responds to a request that can't be read. It returns false if the caller
// has disconnected.
func (c *conn) refuseRequest(err error) bool {
	status := http.StatusBadRequest
	var header http.Header
	var netErr net.Error
	switch {
	case errors.Is(err, errEvicted), errors.Is(err, errMemoryShort), errors.Is(err, errParserBusy):
		status = http.StatusServiceUnavailable
		header = http.Header{"Retry-After": {shortageRetryAfter}}
		c.server.countShortage(err)
		c.server.logClosed(c, err)
	case errors.Is(err, errStopping):
		status = http.StatusServiceUnavailable
		header = http.Header{"Retry-After": {stoppingRetryAfter}}
	case errors.Is(err, errBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, errHeadTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
		return false
	}
	e := &exchange{closeAfter: true, refused: true}
	if c.enqueue(e) {
		c.complete(e, &Response{Status: status, Header: header})
	}
	return true
}

// enqueue appends an exchange to the queue. It returns false once the last response is
// known, so that no request runs whose response can't be sent. A connection with
// maxPipelined requests closes after the last of them. It is still read to detect a
// disconnect, but later requests are not started.
func (c *conn) enqueue(e *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = false
	if c.closing {
		return false
	}
	c.server.pending.Add(1)
	c.queue = append(c.queue, e)
	e.closeAfter = e.closeAfter || len(c.queue) >= maxPipelined
	return true
}

func (c *conn) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) > 0
}

// complete sets the response of an exchange and writes all responses that are ready in
// order, unless another goroutine is already writing.
func (c *conn) complete(e *exchange, response *Response) {
	draining := c.server.Draining()
	response = c.reserveResponse(e, response)
	c.mu.Lock()
	defer c.mu.Unlock()
	e.response, e.request = response, nil
	if c.writing {
		return
	}
	c.writing = true
	defer func() { c.writing = false }()
	for {
		out, count := c.readyResponses(draining)
		if count == 0 {
			break
		}
		c.write(out)
		c.dequeue(count)
	}
	if c.closing {
		c.closeWrite()
		return
	}
	if c.idle() {
		c.idleFrom = time.Now()
		c.setIdleDeadline()
	}
}

// readyResponses returns the encoded responses at the head of the queue, up to the first
// one that is not known, and their number. The caller holds the lock.
func (c *conn) readyResponses(draining bool) (out net.Buffers, count int) {
	var small []byte
	for i, e := range c.queue {
		if e.response == nil {
			break
		}
		// While the server drains, a connection closes after its last queued
		// request.
		e.closeAfter = e.closeAfter || draining && i == len(c.queue)-1
		c.closing = c.closing || e.closeAfter
		body := e.response.bodyParts(e.head)
		small = appendHead(small, e)
		if len(body) == 1 && len(body[0]) <= maxCopiedBodyBytes {
			small = append(small, body[0]...)
		} else if len(body) > 0 {
			out = append(append(out, small), body...)
			small = nil
		}
		count++
	}
	switch {
	case out == nil:
		c.singlePart[0] = small
		out = c.singlePart[:]
	case len(small) > 0:
		out = append(out, small)
	}
	return out, count
}

// closeWrite closes the write side and sets the deadline until which the connection is
// still read. The caller holds the lock.
func (c *conn) closeWrite() {
	if halfCloser, ok := c.socket.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite()
	}
	c.writeClosedAt = time.Now()
	_ = c.socket.SetReadDeadline(c.writeClosedAt.Add(c.lingerTimeout))
}

// discardInput reads and discards data until the caller disconnects or the read deadline
// passes.
func (c *conn) discardInput() {
	c.mu.Lock()
	if c.closing {
		_ = c.socket.SetReadDeadline(time.Now().Add(c.lingerTimeout))
	} else {
		c.setIdleDeadline()
	}
	c.mu.Unlock()
	c.socketReader.resume()
	buffer := make([]byte, readBufferBytes)
	for {
		c.socketReader.remainingBytes = readBufferBytes
		if _, err := c.socketReader.Read(buffer); err != nil {
			return
		}
	}
}
