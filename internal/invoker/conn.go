package invoker

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/accountant"
)

const (
	// maxResponsesRead bounds the responses that are read for one request. All but
	// the last may belong to earlier requests.
	maxResponsesRead = 4
	// maxInlineBodyBytes is the largest request body that is written before the
	// response is read. A larger body is written concurrently.
	maxInlineBodyBytes = 2 << 10
	// maxHeadBytes bounds the status line and header of a response, together with
	// all provisional (1xx) responses before it.
	maxHeadBytes = 64 << 10
	// maxBodyBytes bounds the body of a response. maxTotalBodyBytes bounds the
	// bodies of all responses that are being read, on all connections.
	maxBodyBytes      = 16 << 20
	maxTotalBodyBytes = 48 << 20
	// requestHeadBytes is the usual size of an encoded request line and header.
	requestHeadBytes = 512
	readBufferBytes  = 4 << 10
)

// ErrMemoryShort says that a response was dropped because the memory account of the node is
// short. The request has run.
var ErrMemoryShort = errors.New("memory of the node is short")

var (
	errHeadTooLarge    = errors.New("head of the answer is too large")
	errBodyTooLarge    = errors.New("answer is too large")
	errTotalTooLarge   = errors.New("answers that are being read are too large together")
	errAttemptMismatch = errors.New("answer names another request")
)

// conn is a connection to the backend server.
type conn struct {
	socket     net.Conn
	headReader *headReader
	reader     *bufio.Reader
	// totalBodyBytes counts the body bytes of all responses that are being read, on
	// all connections.
	totalBodyBytes *atomic.Int64
	// holder holds the memory of the response that is being read.
	holder accountant.Holder
	// lastUsed is when the last response ended. idleTimeout is how long after that
	// the connection may be used again.
	lastUsed    time.Time
	idleTimeout time.Duration
	// noReuse is set when the connection must not be used again.
	noReuse bool
	// kept is set once the connection has carried a request.
	kept bool
}

func newConn(socket net.Conn, totalBodyBytes *atomic.Int64) *conn {
	headReader := &headReader{reader: socket}
	return &conn{socket: socket, headReader: headReader, reader: bufio.NewReaderSize(headReader, readBufferBytes), totalBodyBytes: totalBodyBytes, idleTimeout: defaultIdleTimeout}
}

// headReader limits the bytes of a response head, so that an endless head does not use up
// memory. Read fails once remainingBytes is used up.
type headReader struct {
	reader         io.Reader
	remainingBytes int64
}

// Read reads once. It returns errHeadTooLarge if no bytes remain.
func (r *headReader) Read(p []byte) (n int, err error) {
	if r.remainingBytes <= 0 {
		return 0, errHeadTooLarge
	}
	n, err = r.reader.Read(p)
	r.remainingBytes -= int64(n)
	return n, err
}

// reusable reports whether the connection is open and has nothing to read. Bytes that
// arrive between two responses belong to no request.
func (c *conn) reusable() bool {
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
	reusable := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && reusable
}

// roundTrip sends a request and returns its response. idField is the header field that
// names the attempt in the response.
func (c *conn) roundTrip(r *Request, idField string) (response *Response, err error) {
	written := make(chan error, 1)
	if len(r.Body) <= maxInlineBodyBytes && len(r.MoreBody) == 0 {
		head := appendRequest(make([]byte, 0, requestHeadBytes+len(r.Body)), r)
		_, err := c.socket.Write(append(head, r.Body...))
		written <- err
	} else {
		parts := append(net.Buffers{appendRequest(make([]byte, 0, requestHeadBytes), r), r.Body}, r.MoreBody...)
		go func() {
			_, err := parts.WriteTo(c.socket)
			written <- err
		}()
	}
	response, err = c.readMatchingResponse(r, idField)
	c.kept = true
	if err != nil {
		return nil, err
	}
	select {
	case err := <-written:
		c.noReuse = c.noReuse || err != nil
	default:
		// The server responded before it read the whole body. The rest of the
		// body would have to follow on this connection.
		c.noReuse = true
	}
	return response, nil
}

// readMatchingResponse reads responses until the one to this request. On a new connection an
// error response that names no attempt counts as that one; on a kept connection it may belong
// to an earlier request. It returns errAttemptMismatch after maxResponsesRead other responses.
func (c *conn) readMatchingResponse(r *Request, idField string) (response *Response, err error) {
	for range maxResponsesRead {
		response, err = c.readResponse(r.Method)
		if err != nil {
			return nil, err
		}
		attemptID := response.Header.Get(idField)
		if r.AttemptID == "" || attemptID == r.AttemptID {
			c.noReuse = c.noReuse || c.reader.Buffered() > 0
			return response, nil
		}
		if attemptID == "" && response.Status >= http.StatusBadRequest && !c.kept {
			c.noReuse = true
			return response, nil
		}
		c.noReuse = true
	}
	return nil, errAttemptMismatch
}

// bodyBytes returns the size of the whole body.
func (r *Request) bodyBytes() (size int64) {
	size = int64(len(r.Body))
	for _, part := range r.MoreBody {
		size += int64(len(part))
	}
	return size
}

// keepAliveSeconds returns how long the server keeps an idle connection, in seconds,
// from the Keep-Alive header. It returns 0 if there is no timeout parameter.
func keepAliveSeconds(h http.Header) (seconds int) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout="); found {
			seconds, _ = strconv.Atoi(text)
		}
	}
	return seconds
}

// appendRequest appends the encoded request line and header to out.
func appendRequest(out []byte, r *Request) []byte {
	out = append(out, r.Method...)
	out = append(out, ' ')
	out = append(out, r.Target...)
	out = append(out, " HTTP/1.1\r\nHost: "...)
	out = append(out, r.Host...)
	out = append(out, "\r\n"...)
	for name, values := range r.Header {
		if overridden(r.Overrides, name) {
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
	if size := r.bodyBytes(); size > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, size, 10)
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

func overridden(fields []Field, name string) bool {
	for i := range fields {
		if fields[i].Name == name {
			return true
		}
	}
	return false
}
