package acceptor

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
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
		input  *boundedReader
		reader *bufio.Reader
		slots  chan struct{}

		mu sync.Mutex
		// queue holds the exchanges without an answer on the wire, in order.
		queue []*exchange
		// closing is set once the last answer has been written.
		closing bool
	}

	// exchange is a request and, once it is known, its answer.
	exchange struct {
		request  *http.Request
		response *Response
		// last says that the connection ends with this exchange.
		last bool
	}

	// boundedReader fails once more was read than is left.
	boundedReader struct {
		reader io.Reader
		left   int64
	}
)

func newConn(s *Server, socket net.Conn) *conn {
	input := &boundedReader{reader: socket}
	return &conn{
		server: s,
		socket: socket,
		input:  input,
		reader: bufio.NewReaderSize(input, readBytes),
		slots:  make(chan struct{}, maxPipelined),
	}
}

// Read reads at most what is left.
func (r *boundedReader) Read(p []byte) (n int, err error) {
	if r.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err = r.reader.Read(p)
	r.left -= int64(n)
	return n, err
}

// serve reads requests until the caller leaves or the last one came.
func (c *conn) serve() {
	defer c.server.drop(c)
	defer c.socket.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for c.await() {
		limits := c.server.Limits()
		r, err := c.read(limits)
		if err != nil {
			if !c.reject(err) {
				return
			}
			break
		}
		last := r.Close || !r.ProtoAtLeast(1, 1)
		e := &exchange{request: r.Request, last: last}
		if !c.push(e) {
			break
		}
		go c.run(ctx, e, r)
		if last {
			break
		}
	}
	c.watch()
}

// await waits for the next request and reports whether there is one.
func (c *conn) await() bool {
	for {
		c.input.left = int64(c.server.Limits().HeaderBytes) + readBytes
		c.mu.Lock()
		c.arm()
		c.mu.Unlock()
		_, err := c.reader.Peek(1)
		if err == nil {
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.running() {
			return false
		}
	}
}

// arm sets how long the connection may stay idle. The caller holds the lock.
func (c *conn) arm() {
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
	r = &Request{Request: h, Arrived: time.Now()}
	if h.ContentLength == 0 {
		return r, nil
	}
	if h.ContentLength > limits.BodyBytes {
		return nil, errBodyTooLarge
	}
	c.input.left = limits.BodyBytes*2 + readBytes
	_ = c.socket.SetReadDeadline(time.Now().Add(bodyTimeout))
	if strings.EqualFold(h.Header.Get("Expect"), "100-continue") {
		c.proceed()
	}
	r.Content, err = readBody(h, limits.BodyBytes)
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

// push puts an exchange at the end of the queue; false once the last answer has
// been written, so that no request runs whose answer could not follow.
func (c *conn) push(e *exchange) bool {
	c.slots <- struct{}{}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		<-c.slots
		return false
	}
	c.server.busy.Add(1)
	c.queue = append(c.queue, e)
	return true
}

func (c *conn) run(ctx context.Context, e *exchange, r *Request) {
	c.finish(e, c.server.Handle(ctx, r))
}

func (c *conn) running() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) > 0
}

// finish writes the answer, and those that waited behind it, once all before it
// have been written.
func (c *conn) finish(e *exchange, response *Response) {
	draining := c.server.Draining()
	c.mu.Lock()
	defer c.mu.Unlock()
	e.response = response
	var out []byte
	done, last := 0, false
	for i, next := range c.queue {
		if next.response == nil || last || c.closing {
			break
		}
		if draining && i == len(c.queue)-1 {
			// Nothing runs behind it, and nothing will.
			next.last = true
		}
		last = next.last
		out = appendResponse(out, next)
		done++
	}
	if done == 0 {
		c.dropIfClosing(e)
		return
	}
	c.release(done)
	c.closing = c.closing || last
	_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.socket.Write(out); err != nil {
		c.socket.Close()
		return
	}
	if c.closing {
		c.dropAnswered()
		c.endWrite()
		return
	}
	if len(c.queue) == 0 {
		c.arm()
	}
}

// dropAnswered takes back the exchanges behind the last answer that have
// ended. The caller holds the lock.
func (c *conn) dropAnswered() {
	waiting := c.queue[:0]
	for _, e := range c.queue {
		if e.response == nil {
			waiting = append(waiting, e)
			continue
		}
		c.server.busy.Add(-1)
		<-c.slots
	}
	c.queue = waiting
}

// dropIfClosing takes back an exchange behind the last answer. The caller holds
// the lock.
func (c *conn) dropIfClosing(e *exchange) {
	if !c.closing {
		return
	}
	for i, q := range c.queue {
		if q == e {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			c.server.busy.Add(-1)
			<-c.slots
			return
		}
	}
}

// release takes the first exchanges off the queue. The caller holds the lock.
func (c *conn) release(count int) {
	c.queue = append(c.queue[:0], c.queue[count:]...)
	c.server.busy.Add(-int64(count))
	for range count {
		<-c.slots
	}
}

// endWrite tells the caller that no answer follows, and bounds the time for
// which it is still read. The caller holds the lock.
func (c *conn) endWrite() {
	if half, ok := c.socket.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.socket.SetReadDeadline(time.Now().Add(lingerTime))
}

// watch drops what still comes, until the caller leaves.
func (c *conn) watch() {
	buffer := make([]byte, readBytes)
	for {
		c.mu.Lock()
		if !c.closing && len(c.queue) > 0 {
			_ = c.socket.SetReadDeadline(time.Time{})
		}
		c.mu.Unlock()
		if _, err := c.socket.Read(buffer); err != nil {
			return
		}
	}
}
