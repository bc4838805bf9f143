package receiver

import (
	"context"
	"sync"

	"github.com/flamingotack/flamingotack/internal/authenticator"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/indexer"
)

// RunningRequests keeps the running requests, so that the requests of a
// withdrawn key can be canceled. It is safe for concurrent use.
type RunningRequests struct {
	mu       sync.Mutex
	requests map[*exchanger.Request]context.CancelFunc
}

// NewRunningRequests returns RunningRequests without requests.
func NewRunningRequests() *RunningRequests {
	return &RunningRequests{requests: map[*exchanger.Request]context.CancelFunc{}}
}

// Add keeps r until remove is called. cancel cancels r.
func (u *RunningRequests) Add(r *exchanger.Request, cancel context.CancelFunc) (remove func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.requests[r] = cancel
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.requests, r)
	}
}

// Count returns the number of running requests.
func (u *RunningRequests) Count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.requests)
}

// CancelInvalidKeys cancels the requests whose key is not valid in x.
func (u *RunningRequests) CancelInvalidKeys(x *indexer.Index) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for r, cancel := range u.requests {
		if !authenticator.KeyStillValid(x, r) {
			cancel()
		}
	}
}

// CancelAllKeyed cancels all requests that came with a key.
func (u *RunningRequests) CancelAllKeyed() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for r, cancel := range u.requests {
		if r.KeyDigest != "" {
			cancel()
		}
	}
}
