package acceptor

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/flamingotack/flamingotack/internal/accountant"
	"github.com/flamingotack/flamingotack/internal/exchanger"
)

const (
	// maxWriteBytes is how much of a response is written at once. Each write that ends is
	// progress of the caller.
	maxWriteBytes = 256 << 10
	// shortageRetryAfter is the Retry-After value, in seconds, of a request that was refused
	// because memory or processor time is short.
	shortageRetryAfter = "1.000"
	// closedLogInterval is the minimum time between two log lines about connections that
	// were refused or closed because memory is short.
	closedLogInterval = time.Second
)

// headMeter counts the lines of a head as they arrive.
type headMeter struct {
	// lineBytes is the length of the line that has not ended yet, endsInCR says whether its
	// last byte is a CR.
	lineBytes int
	endsInCR  bool
	// begun says that a line with content was seen, ended that the head is complete.
	begun, ended bool
}

// add counts the bytes and lines of the head that data contains.
func (m *headMeter) add(data []byte) (headBytes, lines int) {
	rest := data
	for !m.ended && len(rest) > 0 {
		end := bytes.IndexByte(rest, '\n')
		part := rest
		if end >= 0 {
			part = rest[:end]
		}
		if len(part) > 0 {
			m.lineBytes += len(part)
			m.endsInCR = part[len(part)-1] == '\r'
		}
		if end < 0 {
			return len(data), lines
		}
		empty := m.lineBytes == 0 || m.lineBytes == 1 && m.endsInCR
		m.begun, m.ended = m.begun || !empty, empty && m.begun
		m.lineBytes, m.endsInCR = 0, false
		rest = rest[end+1:]
		lines++
	}
	return len(data) - len(rest), lines
}

// chargeHead reserves memory for the part of a head that data contains.
func (c *conn) chargeHead(data []byte) error {
	if c.headMeter.ended || len(data) == 0 {
		return nil
	}
	headBytes, lines := c.headMeter.add(data)
	if err := c.reserve(accountant.HeadBytes(headBytes, lines)); err != nil {
		return err
	}
	return c.parseCost.addLines(lines)
}

// reserve reserves memory for the request that is being read.
func (c *conn) reserve(size int64) error {
	if accountant.ReserveWithRetry(time.Now, c.holder.Reserve, size) {
		c.requestBytes += size
		return nil
	}
	if c.holder.Evicted() {
		return errEvicted
	}
	return errMemoryShort
}

// allocate reserves and allocates a part of the request that is being read. It may have to wait,
// so others may parse meanwhile.
func (c *conn) allocate(size int64) (part []byte, err error) {
	c.parseCost.releaseSlot()
	if err := c.reserve(size); err != nil {
		return nil, err
	}
	part, allocated := c.holder.AllocatePart(size)
	if !allocated {
		return nil, errMemoryShort
	}
	return part, nil
}

// release gives back memory of the request that is being read.
func (c *conn) release(size int64) {
	c.requestBytes -= size
	c.holder.Release(size)
}

// releaseRequest gives back all memory of the request that is being read.
func (c *conn) releaseRequest() {
	c.holder.Release(c.requestBytes)
	c.requestBytes = 0
}

// reserveResponse replaces the memory of a request, which has ended, by that of its response.
// If memory is short, it returns a small one instead, which promises nothing, as the request may
// have run.
func (c *conn) reserveResponse(e *exchange, r *Response) *Response {
	if e.refused {
		return r
	}
	size := r.heldBytes()
	change := size - e.reservedBytes
	if change <= 0 {
		c.holder.Release(-change)
		e.reservedBytes = size
		return r
	}
	if accountant.ReserveWithRetry(time.Now, c.holder.ReserveAnswer, change) {
		e.reservedBytes = size
		return r
	}
	c.server.DroppedResponses.Add(1)
	c.server.logClosed(c, errMemoryShort)
	return &Response{Status: http.StatusBadGateway, Body: []byte(string(exchanger.ReasonMemory) + "\n")}
}

// evict makes the connection release its memory: a read or a write that waits for the caller
// ends with os.ErrDeadlineExceeded.
func (c *conn) evict() {
	if c.writeWaits.Load() {
		c.writeEvicted.Store(true)
		_ = c.socket.SetWriteDeadline(time.Unix(1, 0))
	}
	_ = c.socket.SetReadDeadline(time.Unix(1, 0))
}

// write writes to the connection and closes it if that fails. The caller holds the lock,
// which is released during the write, so that a disconnect of a caller that reads slowly
// is still detected.
func (c *conn) write(out net.Buffers) {
	c.mu.Unlock()
	defer c.mu.Lock()
	now := time.Now()
	c.holder.StartPeerWait(now)
	c.writeWaits.Store(true)
	defer c.holder.EndPeerWait()
	defer c.writeWaits.Store(false)
	_ = c.socket.SetWriteDeadline(now.Add(writeTimeout))
	if err := c.writeParts(out); err != nil {
		c.socket.Close()
	}
	clear(out)
}

// writeParts writes the parts in pieces of at most maxWriteBytes, so that progress of the caller
// is seen. Each piece takes one system call where the socket has room for it.
func (c *conn) writeParts(out net.Buffers) (err error) {
	for err == nil && len(out) > 0 && !c.writeEvicted.Load() {
		if len(out) == 1 && len(out[0]) <= maxWriteBytes {
			_, err = c.socket.Write(out[0])
			break
		}
		piece := takePiece(&out)
		_, err = piece.WriteTo(c.socket)
		c.holder.RecordProgress(time.Now())
	}
	if c.writeEvicted.Load() {
		c.server.DroppedResponses.Add(1)
		c.server.logClosed(c, errEvicted)
		return errEvicted
	}
	return err
}

// takePiece removes at most maxWriteBytes from the front of out and returns them.
func takePiece(out *net.Buffers) (piece net.Buffers) {
	for room := maxWriteBytes; len(*out) > 0 && room > 0; {
		part := (*out)[0]
		n := min(len(part), room)
		piece = append(piece, part[:n])
		room -= n
		if n < len(part) {
			(*out)[0] = part[n:]
			break
		}
		*out = (*out)[1:]
	}
	return piece
}

// dequeue removes the first exchanges from the queue. The caller holds the lock.
func (c *conn) dequeue(count int) {
	for _, e := range c.queue[:count] {
		c.holder.Release(e.reservedBytes)
	}
	kept := copy(c.queue, c.queue[count:])
	clear(c.queue[kept:])
	c.queue = c.queue[:kept]
	c.server.pending.Add(-int64(count))
}

// countShortage counts a request that was refused because memory or processor time is short.
func (s *Server) countShortage(reason error) {
	if errors.Is(reason, errParserBusy) {
		s.ParseRefusals.Add(1)
		return
	}
	s.MemoryRefusals.Add(1)
}

// logClosed logs that memory or processor time is short, with the caller's address, at most once in
// closedLogInterval.
func (s *Server) logClosed(c *conn, reason error) {
	if !s.closedLogs.Allow(time.Now(), closedLogInterval) {
		return
	}
	action := "request refused"
	if errors.Is(reason, errEvicted) {
		action = "connection closed"
	}
	s.Logger.Warnf("%s, caller %s: %v; %d requests refused and %d connections closed with responses to send so far, %d of %d bytes in use",
		action, c.socket.RemoteAddr(), reason, s.MemoryRefusals.Load()+s.ParseRefusals.Load(), s.DroppedResponses.Load(), s.Account.UsedBytes(), s.Account.SizeBytes())
}
