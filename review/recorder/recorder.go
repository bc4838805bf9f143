// Package recorder writes down what clients, backend servers and the platform see.
package recorder

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Recorder writes events with their time since the start to a file. It is safe for
// concurrent use.
type Recorder struct {
	startedAt time.Time

	mu     sync.Mutex
	file   *os.File
	writer *bufio.Writer
}

// New creates the file at path. It returns an error if that fails.
func New(path string) (r *Recorder, err error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &Recorder{startedAt: time.Now(), file: file, writer: bufio.NewWriter(file)}, nil
}

// Printf writes one event. The time is in seconds since the start.
func (r *Recorder) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The writer keeps its first error, which Close returns.
	_, _ = fmt.Fprintf(r.writer, "%8.3f ", time.Since(r.startedAt).Seconds())
	_, _ = fmt.Fprintf(r.writer, format+"\n", args...)
}

// Since returns the time from the start to t.
func (r *Recorder) Since(t time.Time) time.Duration {
	return t.Sub(r.startedAt)
}

// Close writes what is buffered and closes the file.
func (r *Recorder) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.writer.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
