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

	"github.com/flamingotack/flamingotack/internal/accountant"
	"github.com/flamingotack/flamingotack/internal/exchanger"
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
	// bodyChunkBytes is how much of a body is read at once. A body whose known
	// length is at most this is not counted in the total.
	bodyChunkBytes = 64 << 10
	// maxPartBytes bounds the parts of a larger body, and partShareDivisor determines
	// their size: the bytes read so far divided by it. At most this share of a body's
	// memory is unused.
	maxPartBytes     = 1 << 20
	partShareDivisor = 8
	// requestHeadBytes is the usual size of an encoded request line and header.
	requestHeadBytes = 512
	readBufferBytes  = 4 << 10
)

var (
	errHeadTooLarge    = errors.New("head of the answer is too large")
	errBodyTooLarge    = errors.New("answer is too large")
	errTotalTooLarge   = errors.New("answers that are being read are too large together")
	errMemoryShort     = errors.New("memory of the node is short")
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

// readResponse reads one response and skips provisional (1xx) ones.
func (c *conn) readResponse(method string) (response *Response, err error) {
	c.headReader.remainingBytes = maxHeadBytes
	for {
		httpResponse, err := http.ReadResponse(c.reader, &http.Request{Method: method}) //nolint:bodyclose // Close would read to the end of the body, which may never come.
		if err != nil {
			return nil, err
		}
		if httpResponse.StatusCode < http.StatusOK {
			continue
		}
		return c.readBody(httpResponse)
	}
}

// readBody reads the body of a response and sets how long the connection may be reused.
func (c *conn) readBody(httpResponse *http.Response) (response *Response, err error) {
	c.headReader.remainingBytes = math.MaxInt64
	response = &Response{Status: httpResponse.StatusCode, Header: httpResponse.Header}
	if httpResponse.ContentLength > maxBodyBytes {
		return nil, errBodyTooLarge
	}
	if response.Body, response.MoreBody, err = c.readAll(httpResponse); err != nil {
		return nil, err
	}
	c.noReuse = c.noReuse || httpResponse.Close
	c.idleTimeout = defaultIdleTimeout
	if seconds := keepAliveSeconds(httpResponse.Header); seconds > 0 {
		c.idleTimeout = time.Duration(idleTimeoutFraction * float64(seconds) * float64(time.Second))
	}
	return response, nil
}

// readAll reads a body into parts. It allocates memory for a large body only as the data
// arrives, whatever Content-Length says, and reserves it first. The reservation ends with the
// read, as the receiver of the response reserves what it holds.
func (c *conn) readAll(httpResponse *http.Response) (first []byte, more [][]byte, err error) {
	length := httpResponse.ContentLength
	switch {
	case httpResponse.Body == http.NoBody:
		return nil, nil, nil
	case length >= 0 && length <= bodyChunkBytes:
		first = make([]byte, length)
		_, err = io.ReadFull(httpResponse.Body, first)
		return first, nil, err
	}
	readBytes, reservedBytes := int64(0), int64(0)
	defer func() {
		c.totalBodyBytes.Add(-readBytes)
		c.holder.Release(reservedBytes)
	}()
	for {
		size := max(bodyChunkBytes, min(maxPartBytes, readBytes/partShareDivisor))
		if length >= 0 {
			// One byte more than the rest finds the end.
			size = min(size, length-readBytes+1)
		}
		if c.holder.Reserve(time.Now(), size) != accountant.Granted {
			return nil, nil, errMemoryShort
		}
		reservedBytes += size
		part := make([]byte, size)
		n, err := exchanger.ReadPart(httpResponse.Body, part)
		part = part[:n]
		readBytes += int64(n)
		total := c.totalBodyBytes.Add(int64(n))
		ended := errors.Is(err, io.EOF)
		if ended && int64(cap(part)-n) > readBytes/partShareDivisor {
			part = bytes.Clone(part)
		}
		if first == nil {
			first = part
		} else if n > 0 {
			more = append(more, part)
		}
		switch {
		case ended:
			return first, more, nil
		case err != nil:
			return nil, nil, err
		case readBytes > maxBodyBytes:
			return nil, nil, errBodyTooLarge
		case total > maxTotalBodyBytes:
			return nil, nil, errTotalTooLarge
		}
	}
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
