// Package recorder keeps every call, execution and operation of a run, so that
// a checker can verify it afterwards.
package recorder

import (
	"bytes"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

type (
	// Recorder collects a History. It is safe for concurrent use.
	Recorder struct {
		mu      sync.Mutex
		history History
		secrets []string
		serial  int
	}

	// Ticket names an execution that has begun.
	ExecutionID int
)

// New returns an empty Recorder.
func New() *Recorder {
	return &Recorder{}
}

// Begin records that an execution has begun.
func (r *Recorder) StartExecution(e Execution) ExecutionID {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Executions = append(r.history.Executions, e)
	return ExecutionID(len(r.history.Executions) - 1)
}

// Call records a call that has ended.
func (r *Recorder) RecordCall(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Calls = append(r.history.Calls, c)
}

// Event records an operation.
func (r *Recorder) RecordEvent(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Events = append(r.history.Events, e)
}

// Finish records how an execution ended. Only the first end counts.
func (r *Recorder) FinishExecution(t ExecutionID, end ExecutionOutcome, at time.Time, work time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &r.history.Executions[t]
	if e.Outcome != ExecutionRunning {
		return
	}
	e.Outcome, e.Finish, e.SlotTime = end, at, work
}

// History returns a copy of what was recorded so far.
func (r *Recorder) History() History {
	r.mu.Lock()
	defer r.mu.Unlock()
	return History{
		Calls:      slices.Clone(r.history.Calls),
		Events:     slices.Clone(r.history.Events),
		Executions: slices.Clone(r.history.Executions),
	}
}

// Secret adds a caller's key that no backend server may see.
func (r *Recorder) AddSecret(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.secrets = append(r.secrets, key)
}

// Serial returns a number that is unique in the Recorder.
func (r *Recorder) NextSerial() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serial++
	return r.serial
}

// ShowsSecret reports whether a caller's key stands in a request.
func (r *Recorder) ContainsSecret(request *http.Request, body []byte) bool {
	r.mu.Lock()
	secrets := r.secrets
	r.mu.Unlock()
	return slices.ContainsFunc(secrets, func(secret string) bool {
		return strings.Contains(request.RequestURI, secret) ||
			headerContains(request.Header, secret) ||
			bytes.Contains(body, []byte(secret))
	})
}

func headerContains(h http.Header, text string) bool {
	for name, values := range h {
		if strings.Contains(name, text) {
			return true
		}
		for _, v := range values {
			if strings.Contains(v, text) {
				return true
			}
		}
	}
	return false
}
