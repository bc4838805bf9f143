package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

type (
	// recorder writes what was sent, answered and run to record.txt, with the time since the
	// start of the trial. It is safe for concurrent use.
	recorder struct {
		startedAt time.Time

		mu     sync.Mutex
		file   *os.File
		writer *bufio.Writer
	}
)

// newRecorder returns a recorder that replaces the file at path.
func newRecorder(path string) (r *recorder, err error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{startedAt: time.Now(), file: file, writer: bufio.NewWriter(file)}, nil
}

// since returns the time since the start of the trial.
func (r *recorder) since() time.Duration {
	return time.Since(r.startedAt)
}

// notef records an event.
func (r *recorder) notef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.writer, "%9.3f s  %s\n", r.since().Seconds(), fmt.Sprintf(format, args...))
}

// sayf records an event and prints it.
func (r *recorder) sayf(format string, args ...any) {
	r.notef(format, args...)
	fmt.Printf("%9.3f s  %s\n", r.since().Seconds(), fmt.Sprintf(format, args...))
}

// close writes what is buffered and closes the file.
func (r *recorder) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.writer.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
