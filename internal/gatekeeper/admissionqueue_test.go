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

func newGate(c Config) *AdmissionQueue {
	g := New(timekeeper.SystemClock{}, rand.New(rand.NewPCG(1, 2)))
	g.Configure(c)
	return g
}

func ticket(p exchanger.Priority) Request {
	return Request{Customer: "a", Priority: p, Deadline: time.Now().Add(time.Minute)}
}

// eventually waits for a condition.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !f(); {
		if time.Now().After(deadline) {
			t.Fatalf("%s did not come about", what)
		}
		time.Sleep(time.Millisecond)
	}
}

func TestConcurrencyStaysWithinSlots(t *testing.T) {
	for _, fixed := range []bool{false, true} {
		g := newGate(Config{FixedLimit: fixed, Slots: 3})
		var running, most, passed atomic.Int64
		var group sync.WaitGroup
		for range 200 {
			group.Go(func() {
				p, refusal := g.Acquire(context.Background(), ticket(exchanger.PriorityNormal))
				if refusal != nil {
					return
				}
				passed.Add(1)
				n := running.Add(1)
				for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
					continue
				}
				time.Sleep(100 * time.Microsecond)
				running.Add(-1)
				p.Release(limiter.OutcomeSuccess, 0)
				p.Release(limiter.OutcomeSuccess, 0)
			})
		}
		group.Wait()
		if got := most.Load(); got > 3 || passed.Load() == 0 {
			t.Errorf("fixed %v: got %d at once, %d in all, want at most 3 and at least 1", fixed, got, passed.Load())
		}
		if got := g.Stats(); got.Running != 0 || got.Queued != 0 {
			t.Errorf("fixed %v: got %+v after the end, want nothing left", fixed, got)
		}
	}
}

func TestCanceledRequestLeavesQueue(t *testing.T) {
	g := newGate(Config{FixedLimit: true, Slots: 1})
	first, _ := g.Acquire(context.Background(), ticket(0))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan *exchanger.Refusal)
	go func() {
		_, refusal := g.Acquire(ctx, ticket(0))
		ended <- refusal
	}()
	eventually(t, "a waiting request", func() bool { return g.Stats().Queued == 1 })
	cancel()
	if got := <-ended; got == nil || got.Ran != exchanger.RanNo || got.Reason != exchanger.ReasonCanceled {
		t.Errorf("got refusal %v, want canceled and not run", got)
	}
	if got := g.Stats().Queued; got != 0 {
		t.Errorf("got %d waiting, want 0", got)
	}
	first.Release(limiter.OutcomeSuccess, 0)
	if p, refusal := g.Acquire(context.Background(), ticket(0)); refusal != nil {
		t.Errorf("got refusal %v, want a pass", refusal)
	} else {
		p.Release(limiter.OutcomeSuccess, 0)
	}
}

// TestCanceledRequestsDoNotPass guards against work for callers that have left: a
// request that is canceled at the moment it is let through.
func TestCanceledRequestGetsNoPermit(t *testing.T) {
	g := newGate(Config{FixedLimit: true, Slots: 8})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 100 {
		if _, got := g.Acquire(ctx, ticket(0)); got == nil || got.Ran != exchanger.RanNo || got.Reason != exchanger.ReasonCanceled {
			t.Fatalf("got refusal %v, want canceled and not run", got)
		}
	}
	if got := g.Stats().Running; got != 0 {
		t.Errorf("got %d that run, want none", got)
	}
}

func TestFullQueueRefusesLowestPriority(t *testing.T) {
	g := newGate(Config{Slots: 1})
	p, _ := g.Acquire(context.Background(), ticket(0))
	low := make(chan *exchanger.Refusal, leastQueue)
	for range leastQueue {
		go func() {
			_, refusal := g.Acquire(context.Background(), ticket(exchanger.PriorityLow))
			low <- refusal
		}()
	}
	eventually(t, "a full queue", func() bool { return g.Stats().Queued == leastQueue })
	high := make(chan *exchanger.Refusal)
	go func() {
		p, refusal := g.Acquire(context.Background(), ticket(exchanger.PriorityHigh))
		if p != nil {
			p.Release(limiter.OutcomeSuccess, 0)
		}
		high <- refusal
	}()
	got := <-low
	if got == nil || got.Reason != exchanger.ReasonOverload || got.Ran != exchanger.RanNo || got.RetryAfter <= 0 {
		t.Errorf("got refusal %+v, want overload, not run, with advice when to come back", got)
	}
	p.Release(limiter.OutcomeSuccess, 0)
	if got := <-high; got != nil {
		t.Errorf("got refusal %v for the important request, want a pass", got)
	}
}

func BenchmarkAcquire(b *testing.B) {
	g := newGate(Config{Slots: 100})
	b.ReportAllocs()
	for b.Loop() {
		p, refusal := g.Acquire(context.Background(), Request{Customer: "a", Deadline: time.Now().Add(time.Second)})
		if refusal != nil {
			b.Fatal(refusal)
		}
		p.Release(limiter.OutcomeSuccess, 0)
	}
}
