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
	// flushInterval is how often buffered lines are written.
	flushInterval = 250 * time.Millisecond
	// maxBufferedBytes bounds the lines that wait until they are written.
	maxBufferedBytes = 256 << 10
	priorityCount    = 4
)

// The priorities of lines, the lowest first.
const (
	// PriorityAnswer is for requests that were answered, and for debugging.
	PriorityAnswer Priority = iota
	// PriorityRefusal is for requests that were refused or failed.
	PriorityRefusal
	// PriorityEvent is for changes of the node's state.
	PriorityEvent
	// PriorityWarning is for failures.
	PriorityWarning
)

// Priority is the priority of a log line. Each priority has a quarter of the
// lines per second that no lower priority may use.
type Priority int

// RateLimitedWriter limits the log lines per second and buffers them, so that a
// slow reader never blocks a caller. It drops and counts lines above the rate
// limit or the buffer limit. Create it with NewRateLimitedWriter. It is safe for
// concurrent use.
type RateLimitedWriter struct {
	// Dropped counts the lines that were dropped.
	Dropped atomic.Int64

	out               io.Writer
	maxLinesPerSecond int
	now               func() time.Time

	mu            sync.Mutex
	windowStart   time.Time
	linesInWindow int
	buffer        []byte
	// overRate and overBuffer count the lines dropped since the last line that
	// reported such drops.
	overRate, overBuffer int
}

// NewRateLimitedWriter returns a RateLimitedWriter that writes to out and allows
// at most maxLinesPerSecond lines per second.
func NewRateLimitedWriter(out io.Writer, maxLinesPerSecond int) *RateLimitedWriter {
	return &RateLimitedWriter{out: out, maxLinesPerSecond: maxLinesPerSecond, now: time.Now}
}

// Allow reports whether one more line of a priority is within the rate, and
// counts it if it is.
func (w *RateLimitedWriter) Allow(p Priority) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	if now.Sub(w.windowStart) >= time.Second {
		w.windowStart = now
		w.linesInWindow = 0
	}
	if w.linesInWindow >= w.maxLinesPerSecond*(int(p)+1)/priorityCount {
		w.overRate++
		w.Dropped.Add(1)
		return false
	}
	w.linesInWindow++
	return true
}

// Run writes buffered lines until ctx ends, and then the remaining ones. It
// returns the first error of the underlying writer.
func (w *RateLimitedWriter) Run(ctx context.Context) error {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return w.flush()
		case <-ticker.C:
			if err := w.flush(); err != nil {
				return err
			}
		}
	}
}

// Write buffers a line, or drops it if the buffer is full. It never returns an
// error.
func (w *RateLimitedWriter) Write(line []byte) (n int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(line) > maxBufferedBytes {
		w.overBuffer++
		w.Dropped.Add(1)
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	return len(line), nil
}

// flush writes the buffered lines. It holds no lock while it writes.
func (w *RateLimitedWriter) flush() error {
	w.mu.Lock()
	out := w.buffer
	w.buffer = nil
	if w.overRate+w.overBuffer > 0 {
		out = fmt.Appendf(out, "{\"time\":%q,\"level\":\"warn\",\"message\":\"log: dropped %d lines above the rate limit and %d above the buffer limit\"}\n",
			w.now().UTC().Format(time.RFC3339Nano), w.overRate, w.overBuffer)
		w.overRate, w.overBuffer = 0, 0
	}
	w.mu.Unlock()
	if len(out) == 0 {
		return nil
	}
	_, err := w.out.Write(out)
	return err
}
