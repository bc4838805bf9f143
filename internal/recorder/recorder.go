// Package recorder records every call, execution and event of a test run, so
// that package checker can verify the guarantees of the system afterwards.
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

	// ExecutionID identifies an execution that has started.
	ExecutionID int
)

// New returns an empty Recorder.
func New() *Recorder {
	return &Recorder{}
}

// StartExecution records the start of an execution.
func (r *Recorder) StartExecution(e Execution) ExecutionID {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Executions = append(r.history.Executions, e)
	return ExecutionID(len(r.history.Executions) - 1)
}

// RecordCall records a call that has ended.
func (r *Recorder) RecordCall(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Calls = append(r.history.Calls, c)
}

// RecordEvent records an event.
func (r *Recorder) RecordEvent(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Events = append(r.history.Events, e)
}

// FinishExecution records how an execution ended. It ignores all but the first
// call for an execution.
func (r *Recorder) FinishExecution(id ExecutionID, outcome ExecutionOutcome, at time.Time, slotTime time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &r.history.Executions[id]
	if e.Outcome != ExecutionRunning {
		return
	}
	e.Outcome, e.Finish, e.SlotTime = outcome, at, slotTime
}

// History returns a copy of everything recorded so far.
func (r *Recorder) History() History {
	r.mu.Lock()
	defer r.mu.Unlock()
	return History{
		Calls:      slices.Clone(r.history.Calls),
		Events:     slices.Clone(r.history.Events),
		Executions: slices.Clone(r.history.Executions),
	}
}

// AddSecret adds a caller's key that no backend server may receive.
func (r *Recorder) AddSecret(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.secrets = append(r.secrets, key)
}

// NextSerial returns a number that is unique within the Recorder.
func (r *Recorder) NextSerial() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serial++
	return r.serial
}

// ContainsSecret reports whether the URI, the header or the body of a request
// contains a caller's key.
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
