package invoker

import (
	"bufio"
	"bytes"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxSkipped bounds the answers to former requests that come before the
	// right one.
	maxSkipped = 4
	// inlineBytes is the size up to which a body is written before the answer
	// is read.
	inlineBytes = 2 << 10
	// maxHeadBytes bounds the head of an answer with all provisional ones before
	// it.
	maxHeadBytes = 64 << 10
	// maxAnswerBytes bounds the body of an answer, and maxHeldBytes those of all
	// answers that are being read.
	maxAnswerBytes = 16 << 20
	maxHeldBytes   = 48 << 20
	// holdBytes is the part of a body that is read at once.
	holdBytes = 64 << 10
	readBytes = 4 << 10
)

var (
	errHeadTooLarge = errors.New("head of the answer is too large")
	errTooLarge     = errors.New("answer is too large")
	errTooMuch      = errors.New("answers that are being read are too large together")
	errUnnamed      = errors.New("answer names another request")
)

// conn is one connection to the backend server.
type conn struct {
	socket net.Conn
	input  *headReader
	reader *bufio.Reader
	// held is the number of bytes of all answers that are being read, on this and
	// other connections.
	held *atomic.Int64
	// used is when the last answer ended, and limit how long after that the
	// connection may be used again.
	used  time.Time
	limit time.Duration
	// spent is set when the connection must not be used again.
	spent bool
}

func newConn(socket net.Conn, held *atomic.Int64) *conn {
	input := &headReader{reader: socket}
	return &conn{socket: socket, input: input, reader: bufio.NewReaderSize(input, readBytes), held: held, limit: idleLimit}
}

// headReader fails once more of a head was read than is left, so that bytes without
// an end are not kept.
type headReader struct {
	reader io.Reader
	left   int64
}

// Read reads at most what is left.
func (r *headReader) Read(p []byte) (n int, err error) {
	if r.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err = r.reader.Read(p)
	r.left -= int64(n)
	return n, err
}

// clean reports whether the connection is open and has nothing to read: bytes
// that come between two answers belong to no request.
func (c *conn) clean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.socket.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		clean = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && clean
}

// exchange sends the request and reads its answer.
func (c *conn) exchange(r *Request, idField string) (a *Response, err error) {
	head := appendRequest(make([]byte, 0, 512+len(r.Body)), r)
	written := make(chan error, 1)
	if len(r.Body) <= inlineBytes {
		_, err := c.socket.Write(append(head, r.Body...))
		written <- err
	} else {
		go func() {
			_, err := c.socket.Write(append(head, r.Body...))
			written <- err
		}()
	}
	a, err = c.readAnswer(r, idField)
	if err != nil {
		return nil, err
	}
	select {
	case err := <-written:
		c.spent = c.spent || err != nil
	default:
		// The server answered early. The rest of the body would have to
		// follow on this connection.
		c.spent = true
	}
	return a, nil
}

// readAnswer reads answers until the one to this request.
func (c *conn) readAnswer(r *Request, idField string) (a *Response, err error) {
	for range maxSkipped {
		a, err = c.readOne(r.Method)
		if err != nil {
			return nil, err
		}
		named := a.Header.Get(idField)
		if r.AttemptID == "" || named == r.AttemptID {
			c.spent = c.spent || c.reader.Buffered() > 0
			return a, nil
		}
		if named == "" && a.Status >= http.StatusBadRequest {
			c.spent = true
			return a, nil
		}
		c.spent = true
	}
	return nil, errUnnamed
}

func (c *conn) readOne(method string) (a *Response, err error) {
	c.input.left = maxHeadBytes
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method}) //nolint:bodyclose // That would read it to its end, which may not come.
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		return c.readBody(response)
	}
}

func (c *conn) readBody(response *http.Response) (a *Response, err error) {
	c.input.left = math.MaxInt64
	a = &Response{Status: response.StatusCode, Header: response.Header}
	if response.ContentLength > maxAnswerBytes {
		return nil, errTooLarge
	}
	if a.Body, err = c.readAll(response); err != nil {
		return nil, err
	}
	c.spent = c.spent || response.Close
	c.limit = idleLimit
	if seconds := keepAlive(response.Header); seconds > 0 {
		c.limit = time.Duration(idlePart * float64(seconds) * float64(time.Second))
	}
	return a, nil
}

// readAll reads a body as it comes: a length alone is no reason to hold memory.
func (c *conn) readAll(response *http.Response) (body []byte, err error) {
	length := response.ContentLength
	switch {
	case response.Body == http.NoBody:
		return nil, nil
	case length >= 0 && length <= holdBytes:
		body = make([]byte, length)
		_, err = io.ReadFull(response.Body, body)
		return body, err
	}
	held := int64(0)
	defer func() { c.held.Add(-held) }()
	var buffer bytes.Buffer
	for {
		n, err := io.CopyN(&buffer, response.Body, holdBytes)
		held += n
		together := c.held.Add(n)
		switch {
		case errors.Is(err, io.EOF):
			return buffer.Bytes(), nil
		case err != nil:
			return nil, err
		case held > maxAnswerBytes:
			return nil, errTooLarge
		case together > maxHeldBytes:
			return nil, errTooMuch
		}
	}
}

// keepAlive returns for how many seconds the server keeps an idle connection; 0
// when it does not say.
func keepAlive(h http.Header) (seconds int) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout="); found {
			seconds, _ = strconv.Atoi(text)
		}
	}
	return seconds
}

func appendRequest(out []byte, r *Request) []byte {
	out = append(out, r.Method...)
	out = append(out, ' ')
	out = append(out, r.Target...)
	out = append(out, " HTTP/1.1\r\nHost: "...)
	out = append(out, r.Host...)
	out = append(out, "\r\n"...)
	for name, values := range r.Header {
		if replaced(r.Overrides, name) {
			continue
		}
		for _, v := range values {
			out = appendField(out, name, v)
		}
	}
	for _, f := range r.Overrides {
		if f.Value != "" {
			out = appendField(out, f.Name, f.Value)
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, int64(len(r.Body)), 10)
		out = append(out, "\r\n"...)
	}
	return append(out, "\r\n"...)
}

func appendField(out []byte, name, value string) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = append(out, value...)
	return append(out, "\r\n"...)
}

func replaced(fields []Field, name string) bool {
	for i := range fields {
		if fields[i].Name == name {
			return true
		}
	}
	return false
}
