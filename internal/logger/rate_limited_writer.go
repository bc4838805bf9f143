package logger

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// flushInterval is how often lines are written.
	flushInterval = 250 * time.Millisecond
	// maxBuffered bounds the lines that wait for a reader, in bytes.
	maxBuffered = 256 << 10
	rankCount   = 4
)

// The ranks of lines, the least important first.
const (
	// RankAnswer is that of requests that were answered.
	PriorityAnswer Priority = iota
	// RankRefusal is that of requests that were refused or failed.
	PriorityRefusal
	// RankEvent is that of what changes the state of the node.
	PriorityEvent
	// RankWarning is that of failures.
	PriorityWarning
)

// Rank is the importance of a line. Each rank has a part of the lines of a second
// that no lower one may use.
type Priority int

// Bounded is a writer that bounds the lines of each second and never waits for
// who reads them: lines that come too fast, or that nobody reads, are left out and
// counted. Make it by NewBounded. It is safe for concurrent use.
type RateLimitedWriter struct {
	// LeftOut counts the lines that were left out.
	Dropped atomic.Int64

	out  io.Writer
	rate int
	now  func() time.Time

	mu     sync.Mutex
	second time.Time
	lines  int
	buffer []byte
	// tooFast and unread are the lines left out since this was last said.
	tooFast, unread int
}

// NewBounded returns a Bounded that passes on at most rate lines a second.
func NewRateLimitedWriter(out io.Writer, rate int) *RateLimitedWriter {
	return &RateLimitedWriter{out: out, rate: rate, now: time.Now}
}

// Admit reports whether there is room for one more line of a rank now, and counts
// it.
func (b *RateLimitedWriter) Allow(r Priority) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if now.Sub(b.second) >= time.Second {
		b.second = now
		b.lines = 0
	}
	if b.lines >= b.rate*(int(r)+1)/rankCount {
		b.tooFast++
		b.Dropped.Add(1)
		return false
	}
	b.lines++
	return true
}

// Run writes lines until ctx ends, and then what is left.
func (b *RateLimitedWriter) Run(ctx context.Context) error {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return b.flush()
		case <-ticker.C:
			if err := b.flush(); err != nil {
				return err
			}
		}
	}
}

// Write keeps a line until it can be written. It never fails.
func (b *RateLimitedWriter) Write(line []byte) (n int, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.buffer)+len(line) > maxBuffered {
		b.unread++
		b.Dropped.Add(1)
		return len(line), nil
	}
	b.buffer = append(b.buffer, line...)
	return len(line), nil
}

// flush writes what waits. It holds no lock while it does.
func (b *RateLimitedWriter) flush() error {
	b.mu.Lock()
	out := b.buffer
	b.buffer = nil
	if b.tooFast+b.unread > 0 {
		out = fmt.Appendf(out, "{\"time\":%q,\"level\":\"warn\",\"message\":\"log: Left out %d lines above the rate and %d that were not read.\"}\n",
			b.now().UTC().Format(time.RFC3339Nano), b.tooFast, b.unread)
		b.tooFast, b.unread = 0, 0
	}
	b.mu.Unlock()
	if len(out) == 0 {
		return nil
	}
	_, err := b.out.Write(out)
	return err
}
