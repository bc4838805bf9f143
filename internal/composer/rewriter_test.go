package composer

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/logger"
)

// maxWritesPerSecond is what the directory accepts.
const maxWritesPerSecond = 400

// startRewriter runs a rewriter whose directory is in the given era.
func startRewriter(t *testing.T, directoryEra *atomic.Uint64) *rewriter {
	t.Helper()
	r := newRewriter(logger.New(t.Output(), "info", "n"), directoryEra.Load, func() int { return 1 }, func(context.Context) error { return nil })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return r
}

func await(t *testing.T, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !done(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not met within 30 s")
		}
	}
}

// TestRewriteDelay guards against more writes per second than the directory accepts when all
// nodes write their records again at once, and against members that are not complete in time.
func TestRewriteDelay(t *testing.T) {
	for _, nodes := range []int{1, 16, 300, 420, 800} {
		longest := rewriteDelay(nodes, 1)
		if longest > maxRewriteDelay || rewriteDelay(nodes, 0) != 0 {
			t.Errorf("%d nodes: got delays from %s to %s, want 0 s to at most %s", nodes, rewriteDelay(nodes, 0), longest, maxRewriteDelay)
		}
		// Random delays are spread evenly over the longest one.
		if got := float64(nodes) / longest.Seconds(); got > maxWritesPerSecond {
			t.Errorf("%d nodes: got %.0f writes per second, want at most %d", nodes, got, maxWritesPerSecond)
		}
	}
}

// TestRecordsAreWrittenAgainInEachEra guards against records that stay lost after a restore:
// one of them fails at first, and the directory acknowledges another before it is restored.
func TestRecordsAreWrittenAgainInEachEra(t *testing.T) {
	var directoryEra atomic.Uint64
	var first, second, other atomic.Int64
	r := startRewriter(t, &directoryEra)
	r.add("first record", func(context.Context) error {
		if first.Add(1)%2 == 1 {
			return errors.New("not reachable")
		}
		return nil
	})
	r.add("second record", func(context.Context) error {
		second.Add(1)
		return nil
	})
	r.add("record of another node", func(context.Context) error {
		other.Add(1)
		return errNothingToRewrite
	})
	r.noteEra(0)
	if got := r.restores.Load(); got != 0 {
		t.Errorf("got %d restores in the first era, want 0", got)
	}
	// Another node has told of the era; the directory's answers are still of the former one.
	r.noteEra(1)
	await(t, func() bool { return first.Load() > 2 && second.Load() > 1 })
	if got := r.rewrites.Load(); got != 0 {
		t.Errorf("got %d records written again by answers of the former era, want 0", got)
	}
	directoryEra.Store(1)
	await(t, func() bool { return r.rewrites.Load() == 2 })
	r.noteEra(1)
	directoryEra.Store(3)
	r.noteEra(3)
	await(t, func() bool { return r.rewrites.Load() == 4 })
	if got := other.Load(); got != 2 {
		t.Errorf("got %d writes of the other node's record, want one for each of 2 restores", got)
	}
	if got := r.restores.Load(); got != 2 {
		t.Errorf("got %d restores, want 2", got)
	}
}
