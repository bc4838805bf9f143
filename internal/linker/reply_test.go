package linker

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/accountant"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/framer"
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
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

// TestEndedExchangeReleasesPartialReply guards against memory that stays reserved, and parts of
// a request that stay queued, after an exchange has ended with part of its reply, in any way.
func TestEndedExchangeReleasesPartialReply(t *testing.T) {
	tests := []struct {
		name string
		end  func(k *link, number uint64, s *session)
	}{
		{"answered", func(k *link, number uint64, _ *session) {
			k.completeExchange(&framer.Frame{Number: number, Data: make([]byte, 1)})
		}},
		{"refused", func(k *link, number uint64, _ *session) {
			k.completeExchange(&framer.Frame{Number: number, Refusal: &framer.Refusal{Status: http.StatusBadGateway}})
		}},
		{"abandoned", func(k *link, number uint64, _ *session) { k.abandonExchange(number) }},
		{"link lost", func(k *link, _ uint64, s *session) { k.handleSessionEnd(s) }},
		{"link silent", func(k *link, _ uint64, s *session) {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.retire(s)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := New(Member{Name: "a"}, timekeeper.SystemClock{}, logger.New(t.Output(), "info", "a"), Handlers{Account: accountant.New(accountBytes)})
			k := newLink(l, Member{Name: "b"})
			s := newSession(timekeeper.SystemClock{}, nil, func() {})
			k.current.Store(s)
			number, _ := k.beginExchange(&exchange{idempotent: true, hasDataFrames: true})
			s.enqueue(&framer.Frame{Number: number, Data: make([]byte, 1)})
			k.completeExchange(&framer.Frame{Number: number, Reply: &framer.Reply{Status: http.StatusOK, BodyBytes: accountBytes / 2}, More: true})
			if got, want := l.account.UsedBytes(), int64(accountBytes/2); got != want {
				t.Fatalf("got %d bytes reserved for the partial reply, want %d", got, want)
			}
			tt.end(k, number, s)
			if got := l.account.UsedBytes(); got != 0 {
				t.Errorf("got %d bytes reserved, want 0", got)
			}
			if !s.data.isEmpty() {
				t.Error("got queued parts of the request, want none")
			}
		})
	}
}

// TestStoppingNodeLearnsWhetherCallsRan guards against a node that stops and can't tell its callers
// whether their calls have run elsewhere.
func TestStoppingNodeLearnsWhetherCallsRan(t *testing.T) {
	tests := []struct {
		name    string
		refusal *exchanger.Refusal
		// silent says that the other node does not answer while the test runs.
		silent bool
		want   exchanger.Ran
	}{
		{"waits in the queue of the other node", exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonCanceled, "left"), false, exchanger.RanNo},
		{"runs on the other node", exchanger.Unknown(http.StatusBadGateway, exchanger.ReasonCanceled, "left"), false, exchanger.RanUnknown},
		{"no answer", exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonCanceled, "left"), true, exchanger.RanUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a, b := startPair(t)
			running := make(chan struct{})
			b.run = func(ctx context.Context, _ *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal) {
				close(running)
				<-ctx.Done()
				if tt.silent {
					<-t.Context().Done()
				}
				return nil, tt.refusal
			}
			ctx, stop := context.WithCancelCause(t.Context())
			go func() {
				<-running
				stop(exchanger.ErrStopping)
			}()
			_, refusal := a.Send(ctx, "b", newCall(10*time.Second))
			if refusal == nil || refusal.Ran != tt.want {
				t.Errorf("got refusal %v, want ran %s", refusal, tt.want)
			}
		})
	}
}

// TestCanceledPartOfCallIsAnswered guards against a call that is canceled before all of its parts
// have arrived, and whose caller does not learn that it has not run.
func TestCanceledPartOfCallIsAnswered(t *testing.T) {
	a, _ := startPair(t)
	k := a.link("b")
	number, e := k.beginExchange(&exchange{hasDataFrames: true})
	c := newCall(10 * time.Second)
	c.Body = make([]byte, 2*maxFrameBodyBytes)
	e.session.enqueue(callFrames(number, c, time.Now())[0], &framer.Frame{Number: number, Cancel: true})
	if r, ended := e.await(nil, 10*time.Second); !ended || r.refusal == nil || r.refusal.Ran != exchanger.RanNo {
		t.Errorf("got ended %t, refusal %v, want a refusal of a call that has not run", ended, r.refusal)
	}
}
