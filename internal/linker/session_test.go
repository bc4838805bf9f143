package linker

import (
	"io"
	"testing"

	"github.com/flamingotack/flamingotack/internal/framer"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

// blockingStream blocks in Send and Recv until release is closed.
type blockingStream struct {
	sending chan *framer.Batch
	release chan struct{}
}

func (s *blockingStream) Send(b *framer.Batch) error {
	s.sending <- b
	<-s.release
	return nil
}

func (s *blockingStream) Recv() (*framer.Batch, error) {
	<-s.release
	return nil, io.EOF
}

// TestWithdrawnCallsAreNotSent guards against work for callers that have canceled their
// calls: a call that is queued behind others on a slow link is not sent after that.
func TestWithdrawnCallsAreNotSent(t *testing.T) {
	st := &blockingStream{sending: make(chan *framer.Batch), release: make(chan struct{})}
	s := newSession(timekeeper.SystemClock{}, st, func() {})
	go s.writeFrames()
	s.enqueue(&framer.Frame{Number: 1, Run: &framer.Run{Id: "1"}})
	<-st.sending
	s.enqueue(&framer.Frame{Number: 2, More: true, Run: &framer.Run{Id: "2"}}, &framer.Frame{Number: 2, Data: []byte("rest")})
	s.enqueue(&framer.Frame{Number: 3, Run: &framer.Run{Id: "3"}})
	if s.withdraw(1) {
		t.Error("got call 1 withdrawn while it is being sent, want it sent")
	}
	if !s.withdraw(2) {
		t.Error("got call 2 sent, want it withdrawn")
	}
	close(st.release)
	frames := (<-st.sending).GetFrames()
	if len(frames) != 1 || frames[0].GetNumber() != 3 {
		t.Errorf("got frames %v, want that of call 3 alone", frames)
	}
	s.close()
}

// TestDropDataKeepsQueue guards against a copy of the whole queue at the end of each call with a
// large body, none of which is queued any more.
func TestDropDataKeepsQueue(t *testing.T) {
	s := newSession(timekeeper.SystemClock{}, nil, func() {})
	for i := range uint64(100) {
		s.enqueue(&framer.Frame{Number: i, Cancel: true})
	}
	if got := testing.AllocsPerRun(100, func() { s.dropData(1000) }); got != 0 {
		t.Errorf("got %v allocations, want none", got)
	}
}
