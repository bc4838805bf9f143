package linker

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/accountant"
	"github.com/flamingotack/flamingotack/internal/exchanger"
)

// TestReplyWaitsForEvictedMemory guards against answers of calls that have run and are dropped
// although an evicted holder is about to release its memory.
func TestReplyWaitsForEvictedMemory(t *testing.T) {
	a, b := startPair(t)
	var stalled accountant.Holder
	b.account.Register(&stalled, func() {
		time.AfterFunc(20*time.Millisecond, func() { stalled.Release(stalled.HeldBytes()) })
	})
	b.run = func(context.Context, *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal) {
		now := time.Now()
		stalled.StartPeerWait(now.Add(-time.Second))
		if got := stalled.Reserve(now, accountBytes/2); got != accountant.Granted {
			t.Errorf("got result %d, want the memory granted", got)
		}
		return &exchanger.Reply{Status: http.StatusOK, Body: make([]byte, accountBytes/2)}, nil
	}
	reply, refusal := a.Send(t.Context(), "b", newCall(10*time.Second))
	if refusal != nil || reply.BodyBytes() != accountBytes/2 {
		t.Errorf("got refusal %v, want the whole answer", refusal)
	}
	if got := b.RefusedForMemory.Load(); got != 0 {
		t.Errorf("got %d refusals, want none", got)
	}
	awaitReleased(t, a, b)
}

// TestReplyTakesPlaceOfCall guards against an answer that is dropped after its call has released
// its memory to others, although the answer is no larger than the call.
func TestReplyTakesPlaceOfCall(t *testing.T) {
	a, b := startPair(t)
	var other accountant.Holder
	b.account.Register(&other, nil)
	b.run = func(context.Context, *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal) {
		for other.Reserve(time.Now(), 64<<10) == accountant.Granted {
		}
		return &exchanger.Reply{Status: http.StatusOK, Body: make([]byte, accountBytes/2)}, nil
	}
	c := newCall(10 * time.Second)
	c.Body = make([]byte, accountBytes/2)
	reply, refusal := a.Send(t.Context(), "b", c)
	if refusal != nil || reply.BodyBytes() != accountBytes/2 {
		t.Errorf("got refusal %v, want the whole answer", refusal)
	}
}
