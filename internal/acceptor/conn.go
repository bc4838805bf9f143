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
	"strings"
	"sync"
	"time"
)

const readBufferBytes = 4 << 10

var (
	errBodyTooLarge = errors.New("request body too large")
	errHeadTooLarge = errors.New("request header too large")
)

type (
	// conn is a connection from a caller.
	conn struct {
		server       *Server
		socket       net.Conn
		socketReader *socketReader
		reader       *bufio.Reader

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
		// idleFrom is when the queue last became empty.
		idleFrom time.Time
	}

	// exchange is a request with its response, which is nil until it is known.
	exchange struct {
		// request is nil when it could not be read.
		request  *Request
		response *Response
		// started says that the request is running or has run.
		started bool
		// closeAfter says that the connection closes after this exchange.
		closeAfter bool
	}
)

func newConn(s *Server, socket net.Conn) *conn {
	socketReader := newSocketReader(socket)
	return &conn{
		server:        s,
		socket:        socket,
		socketReader:  socketReader,
		reader:        bufio.NewReaderSize(socketReader, readBufferBytes),
		lingerTimeout: lingerTimeout,
		idleFrom:      time.Now(),
	}
}

// serve reads requests until the caller disconnects or the connection closes.
func (c *conn) serve() {
	defer c.server.removeConn(c)
	defer c.socket.Close()
	defer c.discardUnstarted()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.socketReader.onBlock = func() { c.startQueued(ctx) }
	for c.awaitRequest() {
		r, err := c.readRequest(c.server.Limits())
		if err != nil {
			if c.refuseRequest(err) {
				c.discardInput()
			}
			return
		}
		e := &exchange{request: r, closeAfter: r.Close || !r.ProtoAtLeast(1, 1)}
		if !c.enqueue(e) || e.closeAfter {
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
	c.queue = slices.DeleteFunc(c.queue, func(e *exchange) bool { return !e.started && e.response == nil })
	count -= len(c.queue)
	c.server.pending.Add(-int64(count))
	c.server.AbandonedRequests.Add(int64(count))
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

// readRequest reads one request with its body.
func (c *conn) readRequest(limits Limits) (r *Request, err error) {
	_ = c.socket.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	httpRequest, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, err
	}
	r = &Request{Request: httpRequest, ArrivedAt: time.Now()}
	if httpRequest.ContentLength == 0 {
		return r, nil
	}
	if httpRequest.ContentLength > limits.MaxBodyBytes {
		return nil, errBodyTooLarge
	}
	c.socketReader.remainingBytes = limits.MaxBodyBytes*2 + readBufferBytes
	_ = c.socket.SetReadDeadline(time.Now().Add(bodyTimeout))
	if strings.EqualFold(httpRequest.Header.Get("Expect"), "100-continue") {
		c.sendContinue()
	}
	r.Content, err = readBody(httpRequest, limits.MaxBodyBytes)
	return r, err
}

func readBody(httpRequest *http.Request, limit int64) (content []byte, err error) {
	if httpRequest.ContentLength > 0 {
		content = make([]byte, httpRequest.ContentLength)
		_, err = io.ReadFull(httpRequest.Body, content)
		return content, err
	}
	content, err = io.ReadAll(io.LimitReader(httpRequest.Body, limit+1))
	if err == nil && int64(len(content)) > limit {
		return nil, errBodyTooLarge
	}
	return content, err
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
	var netErr net.Error
	switch {
	case errors.Is(err, errBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, errHeadTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
		return false
	}
	e := &exchange{closeAfter: true}
	if c.enqueue(e) {
		c.complete(e, &Response{Status: status})
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
	c.mu.Lock()
	defer c.mu.Unlock()
	e.response = response
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
func (c *conn) readyResponses(draining bool) (out []byte, count int) {
	for i, e := range c.queue {
		if e.response == nil {
			break
		}
		// While the server drains, a connection closes after its last queued
		// request.
		e.closeAfter = e.closeAfter || draining && i == len(c.queue)-1
		c.closing = c.closing || e.closeAfter
		out = appendResponse(out, e)
		count++
	}
	return out, count
}

// write writes to the connection and closes it if that fails. The caller holds the lock,
// which is released during the write, so that a disconnect of a caller that reads slowly
// is still detected.
func (c *conn) write(out []byte) {
	c.mu.Unlock()
	defer c.mu.Lock()
	_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.socket.Write(out); err != nil {
		c.socket.Close()
	}
}

// dequeue removes the first exchanges from the queue. The caller holds the lock.
func (c *conn) dequeue(count int) {
	c.queue = append(c.queue[:0], c.queue[count:]...)
	c.server.pending.Add(-int64(count))
}

// closeWrite closes the write side and sets the deadline until which the connection is
// still read. The caller holds the lock.
func (c *conn) closeWrite() {
	if halfCloser, ok := c.socket.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite()
	}
	_ = c.socket.SetReadDeadline(time.Now().Add(c.lingerTimeout))
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
	buffer := make([]byte, readBufferBytes)
	for {
		c.socketReader.remainingBytes = readBufferBytes
		if _, err := c.socketReader.Read(buffer); err != nil {
			return
		}
	}
}
