package linker

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/accountant"
	"github.com/flamingotack/flamingotack/internal/exchanger"
)

// accountBytes is the size of the memory account of each node.
const accountBytes = 4 << 20

// awaitReleased waits until no memory of the nodes is reserved.
func awaitReleased(t *testing.T, nodes ...*node) {
	t.Helper()
	for _, n := range nodes {
		await(t, func() bool { return n.account.UsedBytes() == 0 })
	}
}

// TestLargeCallsAreRefusedAsNotRun guards against nodes that take more calls with large bodies
// than their memory holds, and that refuse small calls meanwhile. All memory is released.
func TestLargeCallsAreRefusedAsNotRun(t *testing.T) {
	a, b := startPair(t)
	release := make(chan struct{})
	var large atomic.Int64
	b.run = func(_ context.Context, c *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal) {
		if c.BodyBytes() > accountant.SmallBytes {
			large.Add(1)
			<-release
		}
		return &exchanger.Reply{Status: http.StatusOK, Body: c.Body, MoreBody: c.MoreBody}, nil
	}
	const calls, size = 8, 1 << 20
	var sent sync.WaitGroup
	var answered, refused atomic.Int64
	for range calls {
		sent.Go(func() {
			c := newCall(20 * time.Second)
			c.Body = make([]byte, size)
			reply, refusal := a.Send(t.Context(), "b", c)
			switch {
			case refusal == nil && reply.BodyBytes() == size:
				answered.Add(1)
			case refusal != nil && refusal.Ran == exchanger.RanNo && refusal.RetryAfter > 0:
				refused.Add(1)
			case refusal == nil || refusal.Ran != exchanger.RanUnknown:
				// An answer may find no memory.
				t.Errorf("got reply %v, refusal %v", reply != nil, refusal)
			}
		})
	}
	await(t, func() bool { return large.Load() > 0 && large.Load()+refused.Load() == calls })
	c := newCall(20 * time.Second)
	c.Body = make([]byte, 1000)
	if _, refusal := a.Send(t.Context(), "b", c); refusal != nil {
		t.Errorf("got refusal %v for a small call meanwhile, want an answer", refusal)
	}
	if got := b.account.UsedBytes(); got > accountBytes || got < large.Load()*size {
		t.Errorf("got %d bytes reserved for %d calls that run, want at most %d", got, large.Load(), accountBytes)
	}
	close(release)
	sent.Wait()
	if refused.Load() == 0 || answered.Load() == 0 {
		t.Errorf("got %d calls answered and %d refused, want some of each", answered.Load(), refused.Load())
	}
	awaitReleased(t, a, b)
}

// TestAnswerBeyondMemoryMayHaveRun guards against answers that use more memory than the node
// has, and against a refusal of them that says that the call has not run.
func TestAnswerBeyondMemoryMayHaveRun(t *testing.T) {
	a, b := startPair(t)
	b.run = func(_ context.Context, c *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal) {
		return &exchanger.Reply{Status: http.StatusOK, Body: make([]byte, 2*accountBytes)}, nil
	}
	if reply, refusal := a.Send(t.Context(), "b", newCall(20*time.Second)); refusal == nil || refusal.Ran != exchanger.RanUnknown {
		t.Errorf("got reply %v, refusal %v, want a refusal of a call that may have run", reply != nil, refusal)
	}
	awaitReleased(t, a, b)
}

// TestCanceledLargeCallReleasesMemory guards against memory that stays reserved for calls that
// are canceled while their parts are sent.
func TestCanceledLargeCallReleasesMemory(t *testing.T) {
	a, b := startPair(t)
	b.run = func(ctx context.Context, _ *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal) {
		<-ctx.Done()
		return nil, exchanger.Unknown(http.StatusBadGateway, exchanger.ReasonCanceled, "canceled")
	}
	for i := range 20 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i)*100*time.Microsecond)
		c := newCall(20 * time.Second)
		c.Body = make([]byte, 2<<20)
		if _, refusal := a.Send(ctx, "b", c); refusal == nil {
			t.Error("got no refusal of a canceled call")
		}
		cancel()
	}
	awaitReleased(t, a, b)
}

// TestAnnouncedSizes guards against bodies of which the announced size is missing, odd, or not
// that of their parts.
func TestAnnouncedSizes(t *testing.T) {
	for _, announced := range []int64{-1, 0, 1, 100 << 10, 300 << 10, 1 << 50} {
		account := accountant.New(accountBytes)
		var b bodyReservation
		now := time.Now()
		if !b.begin(account, now, announced, 64<<10, 1000) {
			t.Fatalf("announced %d: got a refusal, want the first part reserved", announced)
		}
		for range 2 {
			if !b.add(now, 64<<10) {
				t.Errorf("announced %d: got a refusal, want the part reserved", announced)
			}
		}
		if got := account.UsedBytes(); got < 192<<10 {
			t.Errorf("announced %d: got %d bytes reserved, want those that arrived", announced, got)
		}
		for b.add(now, 64<<10) {
		}
		if got := account.UsedBytes(); got > accountBytes {
			t.Errorf("announced %d: got %d bytes reserved, want at most %d", announced, got, accountBytes)
		}
		b.release()
		if got := account.UsedBytes(); got != 0 {
			t.Errorf("announced %d: got %d bytes reserved after the release, want 0", announced, got)
		}
	}
}
