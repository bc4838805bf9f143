package linker

import (
	"net/http"
	"time"

	"github.com/flamingotack/flamingotack/internal/accountant"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/framer"
)

const (
	// maxAnnouncedBytes is the largest size of a body that another node may announce. A
	// larger or negative size counts as not announced.
	maxAnnouncedBytes = 1 << 32
	// memoryRetryAfter is the Retry-After value of a call that is refused because memory is
	// short.
	memoryRetryAfter = time.Second
)

type (
	// inboundCall is a call of another node, with the memory that it or its reply holds.
	inboundCall struct {
		*exchanger.Call

		body bodyReservation
	}

	// bodyReservation reserves the memory of a body whose parts arrive in several frames. The
	// parts are kept as they arrive, so nothing is copied.
	bodyReservation struct {
		holder accountant.Holder
		// receivedBytes is the size of the parts, reservedBytes what is reserved for all
		// parts. A node that announces no size gets them reserved one by one.
		receivedBytes, reservedBytes int64
	}
)

// begin reserves memory for a body of which the first part has arrived, and for the head.
func (b *bodyReservation) begin(a *accountant.Account, now time.Time, announcedBytes, firstBytes, headBytes int64) (reserved bool) {
	a.Register(&b.holder, nil)
	if announcedBytes < 0 || announcedBytes > maxAnnouncedBytes {
		announcedBytes = 0
	}
	b.receivedBytes, b.reservedBytes = firstBytes, max(announcedBytes, firstBytes)
	if b.holder.Reserve(now, b.reservedBytes+headBytes) != accountant.Granted {
		b.reservedBytes = 0
		return false
	}
	return true
}

// add accounts for a further part that has arrived.
func (b *bodyReservation) add(now time.Time, partBytes int64) (reserved bool) {
	b.receivedBytes += partBytes
	missingBytes := b.receivedBytes - b.reservedBytes
	if missingBytes <= 0 {
		return true
	}
	if b.holder.Reserve(now, missingBytes) != accountant.Granted {
		return false
	}
	b.reservedBytes += missingBytes
	return true
}

// release gives back all memory.
func (b *bodyReservation) release() {
	b.holder.Release(b.holder.HeldBytes())
}

// headBytes returns the memory that the header of a message needs.
func headBytes(fields []*framer.Field) int64 {
	size, lines := 0, 0
	for _, f := range fields {
		lines += len(f.GetValues())
		size += len(f.GetName())
		for _, v := range f.GetValues() {
			size += len(v)
		}
	}
	return accountant.HeadBytes(size, lines)
}

// appendBodyPart appends a part to a body.
func appendBodyPart(first *[]byte, more *[][]byte, part []byte) {
	switch {
	case len(part) == 0:
	case len(*first) == 0:
		*first = part
	default:
		*more = append(*more, part)
	}
}

// assembleCall collects the frames of a call. It returns nil while parts are missing, and for
// parts of a call that was refused.
func (r *inboundSession) assembleCall(f *framer.Frame) *inboundCall {
	l, number := r.server.linker, f.GetNumber()
	c := r.partialCalls[number]
	now := l.clock.Now()
	var reserved bool
	switch m := f.GetRun(); {
	case m != nil:
		if c != nil {
			c.body.release()
		}
		c = &inboundCall{Call: toCall(m, now)}
		reserved = c.body.begin(l.account, now, m.GetBodyBytes(), int64(len(m.GetBody())), accountant.RequestBytes+headBytes(m.GetHeader()))
	case c != nil:
		reserved = c.body.add(now, int64(len(f.GetData())))
		appendBodyPart(&c.Body, &c.MoreBody, f.GetData())
	default:
		return nil
	}
	if !reserved {
		r.refuseCall(number, c)
		return nil
	}
	if f.GetMore() {
		r.partialCalls[number] = c
		return nil
	}
	delete(r.partialCalls, number)
	return c
}

// refuseCall refuses a call for which memory is short. Its remaining parts are dropped as
// they arrive.
func (r *inboundSession) refuseCall(number uint64, c *inboundCall) {
	delete(r.partialCalls, number)
	c.body.release()
	l := r.server.linker
	l.RefusedForMemory.Add(1)
	refusal := exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonOverload, "the memory of node %s is short", l.self.Name)
	refusal.RetryAfter = memoryRetryAfter
	r.session.enqueue(&framer.Frame{Number: number, Refusal: fromRefusal(refusal), Load: fromLoad(l.handlers.Load())})
}

// dropPartialCalls releases the calls whose remaining parts will not arrive.
func (r *inboundSession) dropPartialCalls() {
	for number, c := range r.partialCalls {
		delete(r.partialCalls, number)
		c.body.release()
	}
}

// sendReply queues a reply, whose memory stays reserved until it is sent. It takes the place of
// the memory of the call.
func (r *inboundSession) sendReply(number uint64, c *inboundCall, reply *exchanger.Reply) {
	l := r.server.linker
	size := reply.BodyBytes()
	load := fromLoad(l.handlers.Load())
	if change := size - c.body.holder.HeldBytes(); change <= 0 {
		c.body.holder.Release(-change)
	} else if !accountant.ReserveWithRetry(l.clock.Now, c.body.holder.ReserveAnswer, change) {
		c.body.release()
		l.RefusedForMemory.Add(1)
		refusal := exchanger.Unknown(http.StatusBadGateway, exchanger.ReasonMemory, "the memory of node %s is short for the answer", l.self.Name)
		r.session.enqueue(&framer.Frame{Number: number, Refusal: fromRefusal(refusal), Load: load})
		return
	}
	reply.ServerNode = l.self.Name
	frames := replyFrames(number, reply)
	frames[0].Load = load
	if !r.session.enqueueReserved(&c.body.holder, size, frames) {
		c.body.release()
	}
}
