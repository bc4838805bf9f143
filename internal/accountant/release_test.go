package accountant

import (
	"testing"
	"time"
)

// TestReleaseNeverLooksTaken guards against a reservation that is refused, while an evicted holder
// releases its bytes, because they count as used and as held by nobody.
func TestReleaseNeverLooksTaken(t *testing.T) {
	const (
		rounds = 20000
		tries  = 15
	)
	a := New(1 << 20)
	bytes := a.SizeBytes() / 2
	now := time.Now()
	var other Holder
	a.Register(&other, nil)
	for range rounds {
		now = now.Add(time.Minute)
		stalled := &Holder{}
		a.Register(stalled, func() {})
		if got := stalled.Reserve(now, bytes); got != Granted {
			t.Fatalf("got result %d, want the first half granted", got)
		}
		stalled.StartPeerWait(now.Add(-minStallTime))
		got := other.ReserveAnswer(now, bytes)
		released := make(chan struct{})
		go func() {
			defer close(released)
			stalled.Release(bytes)
		}()
		for range tries {
			if got != Pending {
				break
			}
			now = now.Add(minScanInterval)
			got = other.ReserveAnswer(now, bytes)
		}
		<-released
		if got == Pending {
			got = other.ReserveAnswer(now, bytes)
		}
		if got != Granted {
			t.Fatalf("got result %d while an evicted holder released as much, want it granted", got)
		}
		other.Release(bytes)
		a.Unregister(stalled)
	}
}
