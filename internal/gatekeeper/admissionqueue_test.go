package gatekeeper

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/limiter"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

func newQueue(c Config) *AdmissionQueue {
	q := New(timekeeper.SystemClock{}, rand.New(rand.NewPCG(1, 2)))
	q.Configure(c)
	return q
}

func newRequest(p exchanger.Priority) Request {
	return Request{Customer: "a", Priority: p, Deadline: time.Now().Add(time.Minute)}
}

// eventually waits for a condition and fails the test after 10 s.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !f(); {
		if time.Now().After(deadline) {
			t.Fatalf("%s not reached", what)
		}
		time.Sleep(time.Millisecond)
	}
}

func TestConcurrencyStaysWithinSlots(t *testing.T) {
	for _, fixed := range []bool{false, true} {
		q := newQueue(Config{FixedLimit: fixed, Slots: 3})
		var running, maxRunning, admitted atomic.Int64
		var group sync.WaitGroup
		for range 200 {
			group.Go(func() {
				p, refusal := q.Acquire(context.Background(), newRequest(exchanger.PriorityNormal))
				if refusal != nil {
					return
				}
				admitted.Add(1)
				n := running.Add(1)
				for m := maxRunning.Load(); n > m && !maxRunning.CompareAndSwap(m, n); m = maxRunning.Load() {
					continue
				}
				time.Sleep(100 * time.Microsecond)
				running.Add(-1)
				p.Release(limiter.OutcomeSuccess, 0)
				p.Release(limiter.OutcomeSuccess, 0)
			})
		}
		group.Wait()
		if got := maxRunning.Load(); got > 3 || admitted.Load() == 0 {
			t.Errorf("fixed limit %v: got %d concurrent, %d admitted, want at most 3 and at least 1", fixed, got, admitted.Load())
		}
		if got := q.Stats(); got.Running != 0 || got.Queued != 0 {
			t.Errorf("fixed limit %v: got %+v after the end, want no running or queued request", fixed, got)
		}
	}
}

func TestCanceledRequestLeavesQueue(t *testing.T) {
	q := newQueue(Config{FixedLimit: true, Slots: 1})
	first, _ := q.Acquire(context.Background(), newRequest(0))
	ctx, cancel := context.WithCancel(context.Background())
	refusals := make(chan *exchanger.Refusal)
	go func() {
		_, refusal := q.Acquire(ctx, newRequest(0))
		refusals <- refusal
	}()
	eventually(t, "a waiting request", func() bool { return q.Stats().Queued == 1 })
	cancel()
	if got := <-refusals; got == nil || got.Ran != exchanger.RanNo || got.Reason != exchanger.ReasonCanceled {
		t.Errorf("got refusal %v, want canceled and not run", got)
	}
	if got := q.Stats().Queued; got != 0 {
		t.Errorf("got %d waiting requests, want 0", got)
	}
	first.Release(limiter.OutcomeSuccess, 0)
	if p, refusal := q.Acquire(context.Background(), newRequest(0)); refusal != nil {
		t.Errorf("got refusal %v, want a permit", refusal)
	} else {
		p.Release(limiter.OutcomeSuccess, 0)
	}
}

// TestCanceledRequestGetsNoPermit guards against work for disconnected callers: a
// request that is canceled at the moment it is admitted must not run.
func TestCanceledRequestGetsNoPermit(t *testing.T) {
	q := newQueue(Config{FixedLimit: true, Slots: 8})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 100 {
		if _, got := q.Acquire(ctx, newRequest(0)); got == nil || got.Ran != exchanger.RanNo || got.Reason != exchanger.ReasonCanceled {
			t.Fatalf("got refusal %v, want canceled and not run", got)
		}
	}
	if got := q.Stats().Running; got != 0 {
		t.Errorf("got %d running requests, want 0", got)
	}
}

func TestFullQueueRefusesLowestPriority(t *testing.T) {
	q := newQueue(Config{Slots: 1})
	p, _ := q.Acquire(context.Background(), newRequest(0))
	lowRefusals := make(chan *exchanger.Refusal, minQueueCapacity)
	for range minQueueCapacity {
		go func() {
			_, refusal := q.Acquire(context.Background(), newRequest(exchanger.PriorityLow))
			lowRefusals <- refusal
		}()
	}
	eventually(t, "a full queue", func() bool { return q.Stats().Queued == minQueueCapacity })
	highRefusal := make(chan *exchanger.Refusal)
	go func() {
		p, refusal := q.Acquire(context.Background(), newRequest(exchanger.PriorityHigh))
		if p != nil {
			p.Release(limiter.OutcomeSuccess, 0)
		}
		highRefusal <- refusal
	}()
	got := <-lowRefusals
	if got == nil || got.Reason != exchanger.ReasonOverload || got.Ran != exchanger.RanNo || got.RetryAfter <= 0 {
		t.Errorf("got refusal %+v, want overload, not run, with a retry-after time", got)
	}
	p.Release(limiter.OutcomeSuccess, 0)
	if got := <-highRefusal; got != nil {
		t.Errorf("got refusal %v for the request with high priority, want a permit", got)
	}
}

func BenchmarkAcquire(b *testing.B) {
	q := newQueue(Config{Slots: 100})
	b.ReportAllocs()
	for b.Loop() {
		p, refusal := q.Acquire(context.Background(), Request{Customer: "a", Deadline: time.Now().Add(time.Second)})
		if refusal != nil {
			b.Fatal(refusal)
		}
		p.Release(limiter.OutcomeSuccess, 0)
	}
}
