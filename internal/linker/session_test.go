package linker

import (
	"io"
	"testing"

	"github.com/flamingotack/flamingotack/internal/framer"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

// heldStream holds what is sent until it is released.
type heldStream struct {
	sending chan *framer.Batch
	release chan struct{}
}

func (s *heldStream) Send(b *framer.Batch) error {
	s.sending <- b
	<-s.release
	return nil
}

func (s *heldStream) Recv() (*framer.Batch, error) {
	<-s.release
	return nil, io.EOF
}

// TestWithdrawnCallsAreNotSent guards against work for callers that have left: a
// call that waits behind others on a slow link is not sent once it is canceled.
func TestWithdrawnCallsAreNotSent(t *testing.T) {
	st := &heldStream{sending: make(chan *framer.Batch), release: make(chan struct{})}
	s := newSession(timekeeper.SystemClock{}, st, func() {})
	go s.write()
	s.put(&framer.Frame{Number: 1, Run: &framer.Run{Id: "1"}})
	<-st.sending
	s.put(&framer.Frame{Number: 2, More: true, Run: &framer.Run{Id: "2"}}, &framer.Frame{Number: 2, Data: []byte("rest")})
	s.put(&framer.Frame{Number: 3, Run: &framer.Run{Id: "3"}})
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
