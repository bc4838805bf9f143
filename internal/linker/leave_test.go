package linker

import (
	"context"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/framer"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

// TestCallsGoOnAfterMemberHasLeft guards against calls that are answered as broken while their
// backend server is at work: the node that runs them leaves for good before they end.
func TestCallsGoOnAfterMemberHasLeft(t *testing.T) {
	a, b := startPair(t)
	running, release := make(chan struct{}), make(chan struct{})
	b.run = func(ctx context.Context, _ *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal) {
		running <- struct{}{}
		select {
		case <-release:
		case <-ctx.Done():
		}
		return &exchanger.Reply{Status: 200}, nil
	}
	refusals := make(chan *exchanger.Refusal, 2)
	for _, idempotent := range []bool{false, true} {
		go func() {
			c := newCall(20 * time.Second)
			c.Idempotent = idempotent
			_, refusal := a.Send(t.Context(), "b", c)
			refusals <- refusal
		}()
		<-running
	}
	if b.Idle() {
		t.Error("got a node with running calls idle, want it busy")
	}
	b.Leave()
	await(t, func() bool { return len(a.Members()) == 0 })
	// The links are maintained several times before the calls end.
	time.Sleep(3 * checkInterval)
	close(release)
	for range 2 {
		if got := <-refusals; got != nil {
			t.Errorf("got refusal %v, want the reply of the node that has left", got)
		}
	}
	await(t, func() bool {
		a.Linker.mu.Lock()
		defer a.Linker.mu.Unlock()
		return len(a.leavingLinks) == 0
	})
	await(t, b.Idle)
}

// TestNodeIsBusyUntilAnswersAreSent guards against answers that are lost at the end of a
// planned stop, because the node ends while they wait for a slow link.
func TestNodeIsBusyUntilAnswersAreSent(t *testing.T) {
	st := &blockingStream{sending: make(chan *framer.Batch), release: make(chan struct{})}
	s := newSession(timekeeper.SystemClock{}, st, func() {})
	r := &inboundSession{session: s}
	go s.writeFrames()
	s.enqueue(&framer.Frame{Number: 1, Reply: &framer.Reply{Status: 200}})
	<-st.sending
	if r.idle() {
		t.Error("got idle while an answer is being sent, want busy")
	}
	close(st.release)
	await(t, r.idle)
	s.close()
}
