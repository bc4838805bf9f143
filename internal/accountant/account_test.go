package accountant

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/flamingotack/flamingotack/internal/seeder"
)

func TestMain(m *testing.M) {
	seeder.Run(m)
}

// start is the time at which the tests begin.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newHolder returns a holder of which evictions are appended to evicted, by its name.
func newHolder(a *Account, name string, evicted *[]string) *Holder {
	h := &Holder{}
	a.Register(h, func() { *evicted = append(*evicted, name) })
	return h
}

// TestAccountNeverExceedsSize guards against bytes beyond the size, against evictions of
// holders that make progress or do not wait for their peer, and against bytes that stay
// reserved after all were released.
func TestAccountNeverExceedsSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.Int64Range(1, 4<<20).Draw(t, "size")
		a := New(size)
		now := start
		type state struct {
			holder     Holder
			held       int64
			waits      bool
			progressAt time.Time
			evicted    bool
		}
		holders := make([]*state, rapid.IntRange(1, 6).Draw(t, "holders"))
		for i := range holders {
			s := &state{}
			a.Register(&s.holder, func() {
				if !s.waits || now.Sub(s.progressAt) < minStallTime || s.held == 0 {
					t.Errorf("evicted a holder of %d bytes that waits: %t, progress %s ago", s.held, s.waits, now.Sub(s.progressAt))
				}
				s.evicted = true
			})
			holders[i] = s
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			s := rapid.SampledFrom(holders).Draw(t, "holder")
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "millis")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				bytes := rapid.Int64Range(0, size+10).Draw(t, "bytes")
				result := s.holder.Reserve(now, bytes)
				if result == Granted {
					s.held += bytes
				}
				if s.evicted && result == Granted && bytes > 0 {
					t.Errorf("got %d bytes for an evicted holder, want a refusal", bytes)
				}
			case 1:
				bytes := rapid.Int64Range(0, s.held).Draw(t, "released")
				s.holder.Release(bytes)
				s.held -= bytes
			case 2:
				if s.waits = !s.waits; s.waits {
					s.holder.StartPeerWait(now)
					s.progressAt = now
				} else {
					s.holder.EndPeerWait()
				}
			case 3:
				s.holder.RecordProgress(now)
				s.progressAt = now
			}
			held := int64(0)
			for _, s := range holders {
				held += s.held
			}
			if got := a.UsedBytes(); got != held || got > size {
				t.Fatalf("got %d bytes in use, want the %d that are held, of at most %d", got, held, size)
			}
		}
		for _, s := range holders {
			s.holder.Release(s.held)
			a.Unregister(&s.holder)
		}
		if got := a.UsedBytes(); got != 0 || len(a.holders) != 0 {
			t.Errorf("got %d bytes of %d holders at the end, want none", got, len(a.holders))
		}
	})
}

// TestLongestStalledIsEvictedFirst guards against evictions of callers that send, while others
// hold memory and have stopped sending.
func TestLongestStalledIsEvictedFirst(t *testing.T) {
	var evicted []string
	a := New(8 << 20)
	for i, name := range []string{"oldest", "second", "third"} {
		h := newHolder(a, name, &evicted)
		h.StartPeerWait(start.Add(time.Duration(i) * time.Second))
		if got := h.Reserve(start, 2<<20); got != Granted {
			t.Fatalf("got %d for %s, want the bytes", got, name)
		}
	}
	active := newHolder(a, "active", &evicted)
	active.StartPeerWait(start)
	active.Reserve(start, 1<<20)
	now := start.Add(10 * time.Second)
	active.RecordProgress(now)
	h := newHolder(a, "new", &evicted)
	if got := h.Reserve(now, 1<<20); got != Pending {
		t.Errorf("got %d, want %d while the evicted holder has not released its bytes", got, Pending)
	}
	if want := []string{"oldest"}; !slices.Equal(evicted, want) {
		t.Errorf("got %v evicted, want %v", evicted, want)
	}
}

// TestSmallRequestsDoNotWaitForLargeOnes guards against large bodies that use up the memory of
// small requests while none of them can be evicted.
func TestSmallRequestsDoNotWaitForLargeOnes(t *testing.T) {
	a := New(8 << 20)
	var large, small Holder
	a.Register(&large, nil)
	a.Register(&small, nil)
	for large.Reserve(start, 64<<10) == Granted {
	}
	if got := small.Reserve(start, SmallBytes); got != Granted {
		t.Errorf("got %d for a small request beside large ones of %d bytes, want the bytes", got, large.HeldBytes())
	}
}

// TestLargestBodyFits guards against an account that refuses the largest body that callers
// may send, 64 MiB, on the smallest instance, or leaves too little memory for the process.
func TestLargestBodyFits(t *testing.T) {
	const smallestInstanceBytes, largestBodyBytes, processBytes = 184_000_000, 64 << 20, 60_000_000
	a := New(SizeBytes(smallestInstanceBytes))
	var h Holder
	a.Register(&h, nil)
	if got := h.Reserve(start, largestBodyBytes+HeadBytes(16<<10, 4000)); got != Granted {
		t.Errorf("got %d for the largest body, want the bytes", got)
	}
	if got := RuntimeLimitBytes(smallestInstanceBytes) - a.SizeBytes(); got < processBytes {
		t.Errorf("got %d bytes for the process beside the account, want %d", got, processBytes)
	}
}

// BenchmarkReserve measures what a small request costs, on all processors at once.
func BenchmarkReserve(b *testing.B) {
	a := New(1 << 30)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		var h Holder
		a.Register(&h, func() {})
		for pb.Next() {
			h.Reserve(start, 4<<10)
			h.Release(4 << 10)
		}
	})
}

// TestNoAccountWithoutInstanceMemory guards against refusals on an instance whose memory is not
// in the settings, where the size of an account would be a guess.
func TestNoAccountWithoutInstanceMemory(t *testing.T) {
	a := NewForInstance(0)
	var h Holder
	a.Register(&h, func() {})
	for i := range 32 {
		if got := h.Reserve(time.Now(), 64<<20); got != Granted {
			t.Fatalf("body %d of 64 MiB: got result %d, want %d", i, got, Granted)
		}
	}
	if a.EvictStalled(time.Now().Add(time.Minute), 1) != 0 || h.Evicted() {
		t.Error("got an eviction, want none")
	}
	for name, got := range map[string]int64{"size": a.SizeBytes(), "bytes in use": a.UsedBytes(), "evictions": a.Evictions(), "refusals": a.Refusals()} {
		if got != 0 {
			t.Errorf("%s: got %d, want 0", name, got)
		}
	}
	if got, want := NewForInstance(184e6).SizeBytes(), SizeBytes(184e6); got != want {
		t.Errorf("184 MB: got size %d, want %d", got, want)
	}
}

// TestEvictedHolderThatKeepsBytes guards against an evicted holder that keeps the bytes of a
// running request, and so keeps all others from being evicted.
func TestEvictedHolderThatKeepsBytes(t *testing.T) {
	const size = 100 << 20
	a := New(size)
	now := time.Now()
	evictions := map[string]int{}
	var running, stalled, wanting Holder
	a.Register(&running, func() { evictions["running"]++ })
	a.Register(&stalled, func() { evictions["stalled"]++ })
	a.Register(&wanting, nil)
	running.Reserve(now, 40<<20)
	running.StartPeerWait(now)
	stalled.StartPeerWait(now.Add(10 * time.Millisecond))
	stalled.Reserve(now, 47<<20)
	now = now.Add(time.Second)
	if got := wanting.Reserve(now, 10<<20); got != Pending || evictions["running"] != 1 {
		t.Fatalf("got result %d and evictions %v, want the holder that waits longest evicted", got, evictions)
	}
	// The request that is received ends, the one that runs does not.
	running.EndPeerWait()
	now = now.Add(maxReleaseTime / 2)
	if got := wanting.Reserve(now, 10<<20); got != Pending || evictions["stalled"] != 0 {
		t.Errorf("got result %d and evictions %v, want no other eviction yet", got, evictions)
	}
	now = now.Add(maxReleaseTime)
	if got := wanting.Reserve(now, 10<<20); got != Pending || evictions["stalled"] != 1 {
		t.Errorf("got result %d and evictions %v, want the next holder evicted", got, evictions)
	}
	stalled.EndPeerWait()
	now = now.Add(2 * maxReleaseTime)
	if got := wanting.Reserve(now, 10<<20); got != Refused {
		t.Errorf("got result %d, want %d while none can be evicted", got, Refused)
	}
	// The answer to the request is not read.
	running.StartPeerWait(now)
	now = now.Add(minStallTime)
	if got := wanting.Reserve(now, 10<<20); got != Pending || evictions["running"] != 2 {
		t.Errorf("got result %d and evictions %v, want the holder evicted again", got, evictions)
	}
}
