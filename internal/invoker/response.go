package invoker

import (
	"bufio"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"

	"github.com/flamingotack/flamingotack/internal/accountant"
	"github.com/flamingotack/flamingotack/internal/exchanger"
)

const (
	// unknownLength is the length of a body that ends with the connection.
	unknownLength = -1
	// usualFields is the usual number of fields of a response.
	usualFields = 8
)

type (
	// InvalidResponseError reports that the backend server sent bytes that are no HTTP
	// response. The request may have run.
	InvalidResponseError struct {
		// Detail says what is wrong with them.
		Detail string
	}

	// responseHead is the status line and the header of a response.
	responseHead struct {
		status int
		header http.Header
		// length is the announced length of the body in bytes, or unknownLength.
		length int64
		// chunked says that the body consists of chunks.
		chunked bool
		// close says that the server closes the connection after the response.
		close bool
	}
)

// Error returns what is wrong with the response.
func (e *InvalidResponseError) Error() string {
	return "bytes that are no response: " + e.Detail
}

// readResponse reads one response and skips interim (1xx) ones. A 101 is none of them, as no
// request asks for another protocol.
func (c *conn) readResponse(method string) (response *Response, err error) {
	c.headReader.remainingBytes = maxHeadBytes
	for {
		head, err := c.readHead()
		switch {
		case err != nil:
			return nil, invalidIfMalformed(err)
		case exchanger.IsAnswerStatus(head.status):
			return c.readBody(head, method)
		case head.status < http.StatusContinue || head.status >= http.StatusOK || head.status == http.StatusSwitchingProtocols:
			return nil, &InvalidResponseError{Detail: "status " + strconv.Itoa(head.status)}
		}
	}
}

// readHead reads and checks a status line and a header. It does not use http.ReadResponse,
// which takes each version and number for one of a response and ignores a length beside
// chunks.
func (c *conn) readHead() (h *responseHead, err error) {
	line, err := readLine(c.reader)
	if err != nil {
		return nil, err
	}
	h = &responseHead{length: unknownLength}
	version, rest, _ := strings.Cut(line, " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return nil, &InvalidResponseError{Detail: "no status line of HTTP/1.1 or HTTP/1.0"}
	}
	if h.status, err = parseStatus(rest); err != nil {
		return nil, err
	}
	if h.header, err = readFields(c.reader); err != nil {
		return nil, err
	}
	h.close = hasToken(h.header, "Connection", "close") || version == "HTTP/1.0" && !hasToken(h.header, "Connection", "keep-alive")
	if h.status < http.StatusOK {
		return h, nil
	}
	return h, h.parseFraming(version)
}

// readLine reads a line of a head up to the CRLF behind it and returns it without that. A
// recipient may end a line at a line feed alone or not (RFC 9112, section 2.2), so such a line
// is an *InvalidResponseError.
func readLine(r *bufio.Reader) (line string, err error) {
	line, err = r.ReadString('\n')
	switch {
	case errors.Is(err, io.EOF) && line != "":
		return "", io.ErrUnexpectedEOF
	case err != nil:
		return "", err
	}
	line, ended := strings.CutSuffix(line, "\r\n")
	if !ended {
		return "", &InvalidResponseError{Detail: "line of the head that ends with a line feed alone"}
	}
	return line, nil
}

// readFields reads the fields of a header or a trailer up to the empty line behind them. It does
// not use net/textproto, which accepts blanks in names and joins folded lines, so that the
// server may have meant other fields.
func readFields(r *bufio.Reader) (fields http.Header, err error) {
	fields = make(http.Header, usualFields)
	for {
		line, err := readLine(r)
		if err != nil || line == "" {
			return fields, err
		}
		name, value, found := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		if !found || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
			return nil, &InvalidResponseError{Detail: "line of the head that is no field"}
		}
		fields.Add(name, value)
	}
}

// parseStatus parses the three digits of a status code, which a blank and a reason may follow.
func parseStatus(text string) (status int, err error) {
	digits, _, _ := strings.Cut(strings.TrimLeft(text, " "), " ")
	if len(digits) != 3 || strings.Trim(digits, "0123456789") != "" {
		return 0, &InvalidResponseError{Detail: "status is not a number of three digits"}
	}
	return strconv.Atoi(digits)
}

// parseFraming sets how the body ends. At most one field may say so, and only once.
func (h *responseHead) parseFraming(version string) (err error) {
	lengths, codings := h.header["Content-Length"], h.header["Transfer-Encoding"]
	switch {
	case len(lengths)+len(codings) > 1:
		return &InvalidResponseError{Detail: "more than one length or coding of the body"}
	case len(lengths) == 1:
		length, err := strconv.ParseUint(lengths[0], 10, 63)
		if err != nil {
			return &InvalidResponseError{Detail: "length of the body is not a number"}
		}
		h.length = int64(length)
	case len(codings) == 1:
		h.chunked = strings.EqualFold(codings[0], "chunked")
		if !h.chunked || version != "HTTP/1.1" {
			return &InvalidResponseError{Detail: "unknown coding of the body"}
		}
	}
	return nil
}

// readBody reads the body of a response and sets how long the connection may be reused.
func (c *conn) readBody(h *responseHead, method string) (response *Response, err error) {
	c.headReader.remainingBytes = math.MaxInt64
	response = &Response{Status: h.status, Header: h.header}
	switch {
	case method == http.MethodHead:
	case h.status == http.StatusNoContent || h.status == http.StatusNotModified:
		if err := c.checkWithoutBody(h); err != nil {
			return nil, err
		}
	case h.length > maxBodyBytes:
		return nil, errBodyTooLarge
	default:
		c.noReuse = c.noReuse || !h.chunked && h.length == unknownLength
		if response.Body, response.MoreBody, err = c.readAll(h); err != nil {
			return nil, invalidIfMalformed(err)
		}
	}
	c.noReuse = c.noReuse || h.close
	c.idleTimeout = defaultIdleTimeout
	if seconds := keepAliveSeconds(h.header); seconds > 0 {
		c.idleTimeout = time.Duration(idleTimeoutFraction * float64(seconds) * float64(time.Second))
	}
	return response, nil
}

// checkWithoutBody returns an error if a response that has no body comes with one. A 304 may
// give the length of what it does not send; its connection is not used again, as a faulty
// server may still send it.
func (c *conn) checkWithoutBody(h *responseHead) error {
	switch {
	case h.chunked, h.length > 0 && h.status == http.StatusNoContent, c.reader.Buffered() > 0:
		return &InvalidResponseError{Detail: "body of a response with status " + strconv.Itoa(h.status)}
	}
	c.noReuse = c.noReuse || h.length > 0
	return nil
}

// readAll reads a body into parts. It allocates memory for a large body only as the data
// arrives, whatever Content-Length says.
func (c *conn) readAll(h *responseHead) (first []byte, more [][]byte, err error) {
	switch {
	case h.chunked:
		if first, more, err = c.readUntilEOF(httputil.NewChunkedReader(c.reader)); err != nil {
			return nil, nil, err
		}
		c.headReader.remainingBytes = maxHeadBytes
		_, err = readFields(c.reader)
		return first, more, err
	case h.length == unknownLength:
		return c.readUntilEOF(c.reader)
	case h.length == 0:
		return nil, nil, nil
	case h.length <= accountant.WholeBodyBytes:
		first = make([]byte, h.length)
		_, err = io.ReadFull(c.reader, first)
		return first, nil, err
	}
	rest := &io.LimitedReader{R: c.reader, N: h.length}
	first, more, err = c.readUntilEOF(rest)
	if err == nil && rest.N > 0 {
		return nil, nil, io.ErrUnexpectedEOF
	}
	return first, more, err
}

// readUntilEOF reads until r ends. The bytes count towards the limit of one body and of all.
// It reserves the memory first. The reservation ends with the read, as the receiver of the
// response reserves what it holds.
func (c *conn) readUntilEOF(r io.Reader) (first []byte, more [][]byte, err error) {
	readBytes, countedBytes, reservedBytes := int64(0), int64(0), int64(0)
	defer func() {
		c.totalBodyBytes.Add(-countedBytes)
		c.holder.Release(reservedBytes)
	}()
	for {
		size := accountant.NextPartBytes(readBytes)
		if limited, ok := r.(*io.LimitedReader); ok {
			// One byte more than the rest finds the end.
			size = min(size, limited.N+1)
		}
		if size = c.countPart(size); size == 0 {
			return nil, nil, errTotalTooLarge
		}
		countedBytes += size
		if !accountant.ReserveWithRetry(time.Now, c.holder.ReserveAnswer, size) {
			return nil, nil, ErrMemoryShort
		}
		reservedBytes += size
		part, allocated := c.holder.AllocatePart(size)
		if !allocated {
			return nil, nil, ErrMemoryShort
		}
		n, err := exchanger.ReadPart(r, part)
		part = part[:n]
		readBytes += int64(n)
		c.totalBodyBytes.Add(int64(n) - size)
		countedBytes += int64(n) - size
		ended := errors.Is(err, io.EOF)
		if ended {
			part, _ = c.holder.TrimPart(part, readBytes)
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
		}
	}
}

// countPart adds a part that is about to be read to the bytes of all bodies and returns its
// size: at most accountant.WholeBodyBytes near the bound, so that concurrent large parts do not
// exceed it, and 0 beyond it.
func (c *conn) countPart(size int64) int64 {
	for {
		total := c.totalBodyBytes.Load()
		if total > maxTotalBodyBytes {
			return 0
		}
		if total+size > maxTotalBodyBytes {
			size = min(size, accountant.WholeBodyBytes)
		}
		if c.totalBodyBytes.CompareAndSwap(total, total+size) {
			return size
		}
	}
}

// invalidIfMalformed returns an InvalidResponseError for an error in what was read, and err
// itself if the connection ended or a limit of the node was reached.
func invalidIfMalformed(err error) error {
	var (
		netErr  net.Error
		invalid *InvalidResponseError
	)
	if errors.As(err, &invalid) || errors.As(err, &netErr) || errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, errBodyTooLarge, errTotalTooLarge, ErrMemoryShort) {
		return err
	}
	return &InvalidResponseError{Detail: err.Error()}
}

// hasToken reports whether the fields of that name list the token.
func hasToken(h http.Header, name, token string) bool {
	for _, value := range h[name] {
		for part := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}
