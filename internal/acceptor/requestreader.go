package acceptor

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/flamingotack/flamingotack/internal/accountant"
	"github.com/flamingotack/flamingotack/internal/exchanger"
)

const (
	// firstChunkedBytes is the size of the first array for a body of unknown length. It
	// grows by chunkedGrowth until it has accountant.WholeBodyBytes.
	firstChunkedBytes = 1 << 10
	chunkedGrowth     = 4
	// maxChunkedOverhead is how many bytes a caller may send for each byte of a body of
	// chunks, which may have one byte each.
	maxChunkedOverhead = 8
)

// bodyReader reads the body of a request into parts.
type bodyReader struct {
	conn  *conn
	body  io.Reader
	first []byte
	more  [][]byte
	// readBytes is the size of the complete parts.
	readBytes int64
}

// readRequest reads one request with its body. It reserves the memory for it first, as
// requestBytes.
func (c *conn) readRequest(limits Limits) (r *Request, err error) {
	now := time.Now()
	c.holder.StartPeerWait(now)
	defer c.holder.EndPeerWait()
	c.socketReader.resume()
	defer c.parseCost.reset()
	defer func() {
		// A reader of lines returns what it has of a line instead of the error, and the
		// parser takes that for a malformed head.
		if err != nil && c.socketReader.limitErr != nil {
			err = c.socketReader.limitErr
		}
		if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
			err = c.interruption(err)
		}
	}()
	c.requestBytes = 0
	httpRequest, err := c.readHead(now, limits)
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
	c.socketReader.remainingBytes = limits.MaxBodyBytes*maxChunkedOverhead + readBufferBytes
	if err := c.setReadTimeout(bodyTimeout); err != nil {
		return nil, err
	}
	if strings.EqualFold(httpRequest.Header.Get("Expect"), "100-continue") {
		c.sendContinue()
	}
	b := bodyReader{conn: c, body: httpRequest.Body}
	if httpRequest.ContentLength > 0 {
		err = b.readKnown(httpRequest.ContentLength)
	} else {
		c.socketReader.onData = c.parseCost.addChunked
		err = b.readChunked(limits.MaxBodyBytes)
		c.socketReader.onData = nil
	}
	r.Content, r.MoreContent = b.first, b.more
	// A trailer is not passed on.
	r.Trailer = nil
	return r, err
}

// setReadTimeout bounds the time until the caller has sent the next part of a request. It returns
// an error if the connection was evicted or the server stops, and so does the read if that happens
// later.
func (c *conn) setReadTimeout(timeout time.Duration) error {
	_ = c.socket.SetReadDeadline(time.Now().Add(timeout))
	return c.interruption(nil)
}

// interruption returns why the read of a request ends early, or err if nothing interrupts it.
func (c *conn) interruption(err error) error {
	switch {
	case c.holder.Evicted():
		return errEvicted
	case c.server.baseContext().Err() != nil:
		return errStopping
	default:
		return err
	}
}

// readHead reads the request line and header, and charges them as they arrive.
func (c *conn) readHead(now time.Time, limits Limits) (r *http.Request, err error) {
	if err := c.setReadTimeout(limits.HeaderTimeout); err != nil {
		return nil, err
	}
	if err := c.reserve(accountant.RequestBytes); err != nil {
		return nil, err
	}
	c.headMeter = headMeter{}
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	if err := c.chargeHead(buffered); err != nil {
		return nil, err
	}
	if !c.headMeter.ended {
		c.socketReader.onData = c.chargeHead
		defer func() { c.socketReader.onData = nil }()
	}
	if r, err = http.ReadRequest(c.reader); err != nil {
		return nil, err
	}
	return r, exchanger.CheckFieldNames(r.Header)
}

// readKnown reads a body of known length.
func (b *bodyReader) readKnown(length int64) (err error) {
	if length <= accountant.WholeBodyBytes {
		b.first, err = b.readPart(length)
		return err
	}
	for b.readBytes < length {
		if _, err := b.appendPart(min(length-b.readBytes, accountant.NextPartBytes(b.readBytes))); err != nil {
			return err
		}
	}
	return nil
}

// readChunked reads a body of unknown length, of at most limit bytes.
func (b *bodyReader) readChunked(limit int64) (err error) {
	ended, err := b.readFirst()
	for err == nil && !ended && b.readBytes <= limit {
		ended, err = b.appendPart(accountant.NextPartBytes(b.readBytes))
	}
	if err == nil && b.readBytes > limit {
		return errBodyTooLarge
	}
	return err
}

// readFirst reads up to accountant.WholeBodyBytes of a body of unknown length into one array that grows.
func (b *bodyReader) readFirst() (ended bool, err error) {
	size := int64(firstChunkedBytes)
	if b.first, err = b.conn.allocate(size); err != nil {
		return false, err
	}
	b.first = b.first[:0]
	for {
		n, err := exchanger.ReadPart(b.body, b.first[len(b.first):cap(b.first)])
		b.first = b.first[:len(b.first)+n]
		b.readBytes = int64(len(b.first))
		if errors.Is(err, io.EOF) {
			b.first = b.trim(b.first)
			return true, nil
		}
		if err != nil || size >= accountant.WholeBodyBytes {
			return false, err
		}
		// The array takes the place of the one before, which is a fraction of it.
		b.conn.release(size)
		size *= chunkedGrowth
		grown, err := b.conn.allocate(size)
		if err != nil {
			return false, err
		}
		b.first = append(grown[:0], b.first...)
	}
}

// appendPart reads one more part and reports whether the body has ended in it.
func (b *bodyReader) appendPart(size int64) (ended bool, err error) {
	part, err := b.readPart(size)
	b.readBytes += int64(len(part))
	if ended = errors.Is(err, io.EOF); ended {
		part, err = b.trim(part), nil
	}
	switch {
	case len(part) == 0:
	case b.first == nil:
		b.first = part
	default:
		b.more = append(b.more, part)
	}
	return ended, err
}

// trim copies a last part of which much is unused.
func (b *bodyReader) trim(part []byte) []byte {
	trimmed, savedBytes := b.conn.holder.TrimPart(part, b.readBytes)
	b.conn.release(savedBytes)
	return trimmed
}

// readPart reserves, allocates and reads one part.
func (b *bodyReader) readPart(size int64) (part []byte, err error) {
	if part, err = b.conn.allocate(size); err != nil {
		return nil, err
	}
	n, err := exchanger.ReadPart(b.body, part)
	return part[:n], err
}
