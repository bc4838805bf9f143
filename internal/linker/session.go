package linker

import (
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"github.com/flamingotack/flamingotack/internal/accountant"
	"github.com/flamingotack/flamingotack/internal/framer"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// maxBatchBytes is the total size of bodies and states at which a batch gets no
	// further frame. Each session keeps buffers for a message on both sides, beside the
	// memory account.
	maxBatchBytes = 128 << 10
	// maxFrameBodyBytes limits the part of a body in one frame.
	maxFrameBodyBytes = 64 << 10
	// maxMessageBytes limits the drpc messages that are read.
	maxMessageBytes = 8 << 20
)

type (
	// session queues, sends and receives the frames of one stream, on either side of it.
	session struct {
		clock  timekeeper.Clock
		stream batchStream
		// closeTransport ends the stream at once.
		closeTransport func()
		// handleUnsent, if set, is called for each frame that can't be encoded.
		handleUnsent func(f *framer.Frame, err error)
		// account, if set, counts the parts of bodies that are received.
		account *accountant.Account
		// wake signals that frames are queued. It is closed with the session.
		wake chan struct{}
		// lastReceivedNanos is the time from startedAt to the last received batch.
		lastReceivedNanos atomic.Int64
		startedAt         time.Time

		// retired is closed when the session gets no new exchanges, because the other
		// side is silent.
		retired chan struct{}

		mu sync.Mutex
		// queue holds the frames to send, except those with further parts of bodies,
		// which wait in data behind them.
		queue  []*framer.Frame
		data   dataQueue
		closed bool
		// sending is set while the frames that were taken from the queue last are being
		// sent.
		sending bool

		// outgoing holds the memory of the queued replies, replyBytes by the last frame of
		// each, and sentReplyBytes the part of it that is being sent.
		outgoing       accountant.Holder
		replyBytes     map[*framer.Frame]int64
		sentReplyBytes int64
	}

	// batchStream is the drpc stream of a client or of a server.
	batchStream interface {
		Send(*framer.Batch) error
		Recv() (*framer.Batch, error)
	}
)

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

// newSession returns a session over a stream. closeTransport ends the stream at once.
func newSession(clock timekeeper.Clock, st batchStream, closeTransport func()) *session {
	return &session{clock: clock, stream: st, closeTransport: closeTransport, startedAt: clock.Now(), wake: make(chan struct{}, 1), retired: make(chan struct{})}
}

// close ends the session and returns the numbers of the calls that are still queued and so
// were never sent.
func (s *session) close() (unsent map[uint64]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	unsent = map[uint64]bool{}
	for _, f := range s.queue {
		if f.GetRun() != nil {
			unsent[f.GetNumber()] = true
		}
	}
	if !s.closed {
		s.closed = true
		s.outgoing.Release(s.outgoing.HeldBytes())
		s.replyBytes = nil
		close(s.wake)
		s.closeTransport()
	}
	return unsent
}

// isClosed reports whether the session is closed.
func (s *session) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// allSent reports whether no frame waits or is being sent, or the session is closed.
func (s *session) allSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed || len(s.queue) == 0 && s.data.isEmpty() && !s.sending
}

// isRetired reports whether the session gets no new exchanges.
func (s *session) isRetired() bool {
	select {
	case <-s.retired:
		return true
	default:
		return false
	}
}

// lastReceivedAt returns when the last batch was received, or when the session started.
func (s *session) lastReceivedAt() time.Time {
	return s.startedAt.Add(time.Duration(s.lastReceivedNanos.Load()))
}

// enqueue queues frames and reports whether the session is open. A closed one drops them.
func (s *session) enqueue(frames ...*framer.Frame) (open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.enqueueLocked(frames)
}

// enqueueReserved queues the frames of a reply, for which the holder has reserved memory. It
// takes the reservation over until the frames are sent, unless the session is closed.
func (s *session) enqueueReserved(h *accountant.Holder, bytes int64, frames []*framer.Frame) (open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.enqueueLocked(frames) {
		return false
	}
	if bytes > 0 {
		h.Transfer(&s.outgoing, bytes)
		if s.replyBytes == nil {
			s.replyBytes = map[*framer.Frame]int64{}
		}
		s.replyBytes[frames[len(frames)-1]] = bytes
	}
	return true
}

// enqueueLocked queues frames and reports whether the session is open. The caller holds the
// lock.
func (s *session) enqueueLocked(frames []*framer.Frame) (open bool) {
	if s.closed {
		return false
	}
	for _, f := range frames {
		if f.GetData() != nil {
			s.data.add(f)
			continue
		}
		s.queue = append(s.queue, f)
		if f.GetMore() {
			s.data.hold(f.GetNumber())
		}
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return true
}

// dropData removes the queued parts of a call that has ended.
func (s *session) dropData(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data.remove(number)
}

// isQueued reports whether a call waits in the queue, so that no part of it has been sent.
func (s *session) isQueued(number uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isQueuedLocked(number)
}

// isQueuedLocked is isQueued for callers that hold the lock.
func (s *session) isQueuedLocked(number uint64) bool {
	return slices.ContainsFunc(s.queue, func(f *framer.Frame) bool { return f.GetNumber() == number && f.GetRun() != nil })
}

// withdraw removes a call from the queue if it has not been sent yet, and reports whether
// it did.
func (s *session) withdraw(number uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isQueuedLocked(number) {
		return false
	}
	// A batch that is being sent may share the queue's array, so that is not changed.
	s.queue = slices.DeleteFunc(slices.Clone(s.queue), func(f *framer.Frame) bool { return f.GetNumber() == number })
	s.data.remove(number)
	return true
}

// readFrames passes each received frame to handle until the session ends. It answers pings.
func (s *session) readFrames(handle func(*framer.Frame)) {
	for {
		batch, err := s.stream.Recv()
		if err != nil {
			return
		}
		s.lastReceivedNanos.Store(int64(s.clock.Now().Sub(s.startedAt)))
		for _, f := range batch.GetFrames() {
			if f.GetPing() {
				s.enqueue(&framer.Frame{Pong: true})
				continue
			}
			s.countPart(f)
			handle(f)
		}
	}
}

// countPart counts the part of a body in a received frame, also if nothing waits for it. While
// parts occupy too much memory, it delays the read of further frames.
func (s *session) countPart(f *framer.Frame) {
	for _, part := range [][]byte{f.GetRun().GetBody(), f.GetReply().GetBody(), f.GetData()} {
		s.account.AddPart(part)
	}
}

// writeFrames sends queued frames until the session ends.
func (s *session) writeFrames() {
	for range s.wake {
		// Yield to goroutines that are about to queue a frame: one message for
		// several frames saves system calls on both sides.
		runtime.Gosched()
		for frames := s.nextBatch(); len(frames) > 0; frames = s.nextBatch() {
			if !s.send(frames) {
				s.close()
				return
			}
		}
	}
}

// send sends frames and reports whether the session still works. Frames that can't be encoded
// are left out, so that the others do not fail with them. Their encoding fails before any byte
// is sent.
func (s *session) send(frames []*framer.Frame) bool {
	if s.stream.Send(&framer.Batch{Frames: frames}) == nil {
		return true
	}
	encodable := make([]*framer.Frame, 0, len(frames))
	for _, f := range frames {
		if _, err := proto.Marshal(f); err == nil {
			encodable = append(encodable, f)
		} else if s.handleUnsent != nil {
			s.handleUnsent(f, err)
		}
	}
	if len(encodable) == len(frames) {
		return false
	}
	return len(encodable) == 0 || s.stream.Send(&framer.Batch{Frames: encodable}) == nil
}

// nextBatch removes the frames of the next message from the queues and returns them. Frames with
// further parts of large bodies come last, so that small calls do not wait for them. Each batch
// has room for at least one of them, so that they are sent under any load.
func (s *session) nextBatch() (frames []*framer.Frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sending = false
	if s.closed {
		return nil
	}
	s.outgoing.Release(s.sentReplyBytes)
	s.sentReplyBytes = 0
	maxBytes := maxBatchBytes
	if !s.data.isEmpty() {
		maxBytes -= maxFrameBodyBytes
	}
	size, count := 0, 0
	for count < len(s.queue) && (count == 0 || size < maxBytes) {
		size += s.takeFrame(s.queue[count])
		count++
	}
	frames = s.queue[:count:count]
	s.queue = s.queue[count:]
	if len(s.queue) == 0 {
		s.queue = nil
	}
	for !s.data.isEmpty() && size < maxBatchBytes {
		f := s.data.take()
		size += s.takeFrame(f)
		frames = append(frames, f)
	}
	s.sending = len(frames) > 0
	return frames
}

// takeFrame records that a frame is part of the next message, and returns its size. The caller
// holds the lock.
func (s *session) takeFrame(f *framer.Frame) (size int) {
	if replyBytes := s.replyBytes[f]; replyBytes > 0 {
		s.sentReplyBytes += replyBytes
		delete(s.replyBytes, f)
	}
	if f.GetMore() && f.GetData() == nil {
		s.data.unhold(f.GetNumber())
	}
	return len(f.GetRun().GetBody()) + len(f.GetReply().GetBody()) + len(f.GetData()) + len(f.GetState())
}
