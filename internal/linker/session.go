package linker

import (
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"github.com/flamingotack/flamingotack/internal/framer"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// batchBytes bounds what is sent together, unless one frame has more.
	batchBytes = 512 << 10
	// frameBytes bounds the part of a body in one frame.
	frameBytes = 256 << 10
	// messageBytes bounds a message of drpc.
	messageBytes = 8 << 20
)

type (
	// session is one stream, from either side of it.
	session struct {
		clock  timekeeper.Clock
		stream stream
		abort  func()
		wake   chan struct{}
		heard  atomic.Int64
		begun  time.Time

		// retired is closed when the session gets no new exchanges because the
		// other side is silent.
		retired chan struct{}

		mu     sync.Mutex
		queue  []*framer.Frame
		closed bool
	}

	stream interface {
		Send(*framer.Batch) error
		Recv() (*framer.Batch, error)
	}
)

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: messageBytes}}
}

// newSession returns a session that abort ends at once.
func newSession(clock timekeeper.Clock, st stream, abort func()) *session {
	return &session{clock: clock, stream: st, abort: abort, begun: clock.Now(), wake: make(chan struct{}, 1), retired: make(chan struct{})}
}

// close ends the session and returns the numbers of the exchanges that were
// never sent.
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
		close(s.wake)
		s.abort()
	}
	return unsent
}

// ended reports whether the session is closed.
func (s *session) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
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

// heardAt returns when the other side last sent something.
func (s *session) heardAt() time.Time {
	return s.begun.Add(time.Duration(s.heard.Load()))
}

// put queues frames, and reports whether the session is open; a closed one takes none.
func (s *session) put(frames ...*framer.Frame) (open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.queue = append(s.queue, frames...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return true
}

// withdraw takes a call that was not sent yet off the queue, and reports whether it
// did.
func (s *session) withdraw(number uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	starts := func(f *framer.Frame) bool { return f.GetNumber() == number && f.GetRun() != nil }
	if !slices.ContainsFunc(s.queue, starts) {
		return false
	}
	// A batch that is being sent may share the array of the queue.
	s.queue = slices.DeleteFunc(slices.Clone(s.queue), func(f *framer.Frame) bool { return f.GetNumber() == number })
	return true
}

// read hands each frame to take, until the session ends.
func (s *session) read(take func(*framer.Frame)) {
	for {
		batch, err := s.stream.Recv()
		if err != nil {
			return
		}
		s.heard.Store(int64(s.clock.Now().Sub(s.begun)))
		for _, f := range batch.GetFrames() {
			if f.GetPing() {
				s.put(&framer.Frame{Pong: true})
				continue
			}
			take(f)
		}
	}
}

// write sends what is queued, until the session ends.
func (s *session) write() {
	for range s.wake {
		// Whoever is about to queue a frame gets to do so first: one message
		// for several frames saves system calls on both sides.
		runtime.Gosched()
		for frames := s.next(); len(frames) > 0; frames = s.next() {
			if err := s.stream.Send(&framer.Batch{Frames: frames}); err != nil {
				s.close()
				return
			}
		}
	}
}

// next takes the frames of one message off the queue.
func (s *session) next() (frames []*framer.Frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	size, count := 0, 0
	for count < len(s.queue) && (count == 0 || size < batchBytes) {
		f := s.queue[count]
		size += len(f.GetRun().GetBody()) + len(f.GetReply().GetBody()) + len(f.GetData()) + len(f.GetState())
		count++
	}
	frames = s.queue[:count:count]
	s.queue = s.queue[count:]
	if len(s.queue) == 0 {
		s.queue = nil
	}
	return frames
}
