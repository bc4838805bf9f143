package invoker

import (
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/accountant"
	"github.com/flamingotack/flamingotack/internal/decoder"
	"github.com/flamingotack/flamingotack/internal/exchanger"
)

// readResponse reads one response and skips interim (1xx) ones.
func (c *conn) readResponse(method string) (response *Response, err error) {
	c.headReader.remainingBytes = maxHeadBytes
	head, err := decoder.ReadHead(c.reader)
	if err != nil {
		return nil, invalidIfMalformed(err)
	}
	return c.readBody(head, method)
}

// readBody reads the body of a response and sets how long the connection may be reused.
func (c *conn) readBody(h *decoder.Head, method string) (response *Response, err error) {
	c.headReader.remainingBytes = math.MaxInt64
	response = &Response{Status: h.Status, Header: h.Header}
	switch {
	case method == http.MethodHead:
	case h.Status == http.StatusNoContent || h.Status == http.StatusNotModified:
		if err := c.checkWithoutBody(h); err != nil {
			return nil, err
		}
	case h.Length > maxBodyBytes:
		return nil, errBodyTooLarge
	default:
		c.noReuse = c.noReuse || !h.Chunked && h.Length == decoder.UnknownLength
		if response.Body, response.MoreBody, err = c.readAll(h); err != nil {
			return nil, invalidIfMalformed(err)
		}
	}
	c.noReuse = c.noReuse || h.Close
	c.idleTimeout = defaultIdleTimeout
	if seconds := keepAliveSeconds(h.Header); seconds > 0 {
		c.idleTimeout = time.Duration(idleTimeoutFraction * float64(seconds) * float64(time.Second))
	}
	return response, nil
}

// checkWithoutBody returns an error if a response that has no body comes with one. A 304 may
// give the length of what it does not send; its connection is not used again, as a faulty
// server may still send it.
func (c *conn) checkWithoutBody(h *decoder.Head) error {
	if err := h.CheckBody(); err != nil {
		return err
	}
	if c.reader.Buffered() > 0 {
		return &decoder.InvalidResponseError{Detail: "body of a response with status " + strconv.Itoa(h.Status)}
	}
	c.noReuse = c.noReuse || h.Length > 0
	return nil
}

// readAll reads a body into parts. It allocates memory for a large body only as the data
// arrives, whatever Content-Length says.
func (c *conn) readAll(h *decoder.Head) (first []byte, more [][]byte, err error) {
	switch {
	case h.Chunked:
		if first, more, err = c.readUntilEOF(httputil.NewChunkedReader(c.reader)); err != nil {
			return nil, nil, err
		}
		c.headReader.remainingBytes = maxHeadBytes
		_, err = decoder.ReadFields(c.reader)
		return first, more, err
	case h.Length == decoder.UnknownLength:
		return c.readUntilEOF(c.reader)
	case h.Length == 0:
		return nil, nil, nil
	case h.Length <= accountant.WholeBodyBytes:
		first = make([]byte, h.Length)
		_, err = io.ReadFull(c.reader, first)
		return first, nil, err
	}
	rest := &io.LimitedReader{R: c.reader, N: h.Length}
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

// invalidIfMalformed returns an *decoder.InvalidResponseError for an error in what was read, and err
// itself if the connection ended or a limit of the node was reached.
func invalidIfMalformed(err error) error {
	var (
		netErr  net.Error
		invalid *decoder.InvalidResponseError
	)
	if errors.As(err, &invalid) || errors.As(err, &netErr) || errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, errBodyTooLarge, errTotalTooLarge, ErrMemoryShort) {
		return err
	}
	return &decoder.InvalidResponseError{Detail: err.Error()}
}
