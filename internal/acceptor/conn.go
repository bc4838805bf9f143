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

const readBytes = 4 << 10

var (
	errBodyTooLarge = errors.New("body too large")
	errHeadTooLarge = errors.New("head too large")
)

type (
	// conn is one connection of a caller.
	conn struct {
		server *Server
		socket net.Conn
		input  *input
		reader *bufio.Reader

		mu sync.Mutex
		// queue holds the exchanges without an answer on the wire, in order.
		queue []*exchange
		// reading says that a request has begun to come and is not in the queue yet.
		reading bool
		// writing says that answers are being written.
		writing bool
		// closing is set once the last answer is known. Nothing is behind it in
		// the queue.
		closing bool
		// linger is how long the connection is still read after its end.
		linger time.Duration
		// rested is when the queue was last empty.
		rested time.Time
	}

	// exchange is a request and, once it is known, its answer.
	exchange struct {
		// request is nil when it could not be read.
		request  *Request
		response *Response
		// begun says that the request runs or has run.
		begun bool
		// last says that the connection ends with this exchange.
		last bool
	}
)

func newConn(s *Server, socket net.Conn) *conn {
	input := newInput(socket)
	return &conn{
		server: s,
		socket: socket,
		input:  input,
		reader: bufio.NewReaderSize(input, readBytes),
		linger: lingerTime,
		rested: time.Now(),
	}
}

// serve reads requests until the caller leaves or the last one came.
func (c *conn) serve() {
	defer c.server.drop(c)
	defer c.socket.Close()
	defer c.abandon()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.input.blocked = func() { c.begin(ctx) }
	for c.await() {
		r, err := c.read(c.server.Limits())
		if err != nil {
			if c.reject(err) {
				c.watch()
			}
			return
		}
		e := &exchange{request: r, last: r.Close || !r.ProtoAtLeast(1, 1)}
		if !c.push(e) || e.last {
			c.watch()
			return
		}
	}
}

// abandon takes back the requests that were not begun, as their caller has left.
func (c *conn) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := len(c.queue)
	c.queue = slices.DeleteFunc(c.queue, func(e *exchange) bool { return !e.begun && e.response == nil })
	count -= len(c.queue)
	c.server.busy.Add(-int64(count))
	c.server.AbandonedRequests.Add(int64(count))
}

// begin runs the requests that were read. It is called when there is nothing more
// to read, not even the end of the connection, so that no request of a caller that
// has left is begun.
func (c *conn) begin(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.queue {
		if !e.begun && e.response == nil {
			e.begun = true
			go func() { c.finish(e, c.server.Handle(ctx, e.request)) }()
		}
	}
}

// end ends a connection that rests, and reports whether it did: a request that came
// in the meantime is answered first.
func (c *conn) end() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.rests() {
		return false
	}
	c.closing, c.linger = true, roomLinger
	c.endWrite()
	return true
}

// restsSince returns since when the connection has rested, if it does.
func (c *conn) restsSince() (since time.Time, rests bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rested, c.rests()
}

// rests reports whether no request comes or runs. The caller holds the lock.
func (c *conn) rests() bool {
	return len(c.queue) == 0 && !c.reading && !c.closing
}

// await waits for the next request and reports whether there is one.
func (c *conn) await() bool {
	for {
		c.input.left = int64(c.server.Limits().MaxHeaderBytes) + readBytes
		c.mu.Lock()
		c.arm()
		c.mu.Unlock()
		_, err := c.reader.Peek(1)
		if err == nil {
			c.mu.Lock()
			c.reading = true
			c.mu.Unlock()
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.running() {
			return false
		}
	}
}

// arm sets how long the connection may stay idle. The caller holds the lock.
func (c *conn) arm() {
	if c.closing {
		return
	}
	if len(c.queue) > 0 {
		_ = c.socket.SetReadDeadline(time.Time{})
		return
	}
	_ = c.socket.SetReadDeadline(time.Now().Add(c.server.Limits().IdleTimeout))
}

// read reads one request with its body.
func (c *conn) read(limits Limits) (r *Request, err error) {
	_ = c.socket.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	h, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, err
	}
	r = &Request{Request: h, ArrivedAt: time.Now()}
	if h.ContentLength == 0 {
		return r, nil
	}
	if h.ContentLength > limits.MaxBodyBytes {
		return nil, errBodyTooLarge
	}
	c.input.left = limits.MaxBodyBytes*2 + readBytes
	_ = c.socket.SetReadDeadline(time.Now().Add(bodyTimeout))
	if strings.EqualFold(h.Header.Get("Expect"), "100-continue") {
		c.proceed()
	}
	r.Content, err = readBody(h, limits.MaxBodyBytes)
	return r, err
}

func readBody(h *http.Request, limit int64) (content []byte, err error) {
	if h.ContentLength > 0 {
		content = make([]byte, h.ContentLength)
		_, err = io.ReadFull(h.Body, content)
		return content, err
	}
	content, err = io.ReadAll(io.LimitReader(h.Body, limit+1))
	if err == nil && int64(len(content)) > limit {
		return nil, errBodyTooLarge
	}
	return content, err
}

// proceed tells the caller to send its body.
func (c *conn) proceed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 {
		_, _ = io.WriteString(c.socket, "HTTP/1.1 100 Continue\r\n\r\n")
	}
}

// reject answers a request that can't be read; false when nobody is there to
// read the answer.
func (c *conn) reject(err error) bool {
	status := http.StatusBadRequest
	var network net.Error
	switch {
	case errors.Is(err, errBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, errHeadTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &network):
		return false
	}
	e := &exchange{last: true}
	if c.push(e) {
		c.finish(e, &Response{Status: status})
	}
	return true
}

// push puts an exchange at the end of the queue; false once the last answer is
// known, so that no request runs whose answer could not follow. A connection with
// too many requests ends with the last one of them: it is read on, so that its
// caller is seen to leave, and what comes behind is not begun.
func (c *conn) push(e *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.closing {
		return false
	}
	c.server.busy.Add(1)
	c.queue = append(c.queue, e)
	e.last = e.last || len(c.queue) >= maxPipelined
	return true
}

func (c *conn) running() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) > 0
}

// finish takes the answer of an exchange and writes all answers whose turn it is,
// unless somebody else does already.
func (c *conn) finish(e *exchange, response *Response) {
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
		out, count := c.answers(draining)
		if count == 0 {
			break
		}
		c.write(out)
		c.release(count)
	}
	if c.closing {
		c.endWrite()
		return
	}
	if c.rests() {
		c.rested = time.Now()
		c.arm()
	}
}

// answers returns the answers whose turn it is, as they go over the wire, and their
// number. The caller holds the lock.
func (c *conn) answers(draining bool) (out []byte, count int) {
	for i, e := range c.queue {
		if e.response == nil {
			break
		}
		// While the server drains, a connection ends when nothing runs on it.
		e.last = e.last || draining && i == len(c.queue)-1
		c.closing = c.closing || e.last
		out = appendResponse(out, e)
		count++
	}
	return out, count
}

// write writes without the lock, which the caller holds: a caller that takes its
// time to read its answers must still be seen to leave. A connection that can't be
// written to is closed.
func (c *conn) write(out []byte) {
	c.mu.Unlock()
	defer c.mu.Lock()
	_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.socket.Write(out); err != nil {
		c.socket.Close()
	}
}

// release takes the first exchanges off the queue. The caller holds the lock.
func (c *conn) release(count int) {
	c.queue = append(c.queue[:0], c.queue[count:]...)
	c.server.busy.Add(-int64(count))
}

// endWrite tells the caller that no answer follows, and bounds the time for
// which it is still read. The caller holds the lock.
func (c *conn) endWrite() {
	if half, ok := c.socket.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.socket.SetReadDeadline(time.Now().Add(c.linger))
}

// watch drops what still comes, until the caller leaves.
func (c *conn) watch() {
	c.mu.Lock()
	if c.closing {
		_ = c.socket.SetReadDeadline(time.Now().Add(c.linger))
	} else {
		c.arm()
	}
	c.mu.Unlock()
	buffer := make([]byte, readBytes)
	for {
		c.input.left = readBytes
		if _, err := c.input.Read(buffer); err != nil {
			return
		}
	}
}
