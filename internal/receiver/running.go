package receiver

import (
	"context"
	"sync"

	"github.com/flamingotack/flamingotack/internal/authenticator"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/indexer"
)

// Running keeps the requests that run, so that those of a withdrawn key can be
// cut. It is safe for concurrent use.
type Running struct {
	mu       sync.Mutex
	requests map[*exchanger.Request]context.CancelFunc
}

// NewRunning returns a Running without requests.
func NewRunning() *Running {
	return &Running{requests: map[*exchanger.Request]context.CancelFunc{}}
}

// Add keeps a request until the function it returns is called.
func (u *Running) Add(r *exchanger.Request, cancel context.CancelFunc) (remove func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.requests[r] = cancel
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.requests, r)
	}
}

// Count returns the number of requests that run.
func (u *Running) Count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.requests)
}

// Cut cancels the requests whose key is not valid in x.
func (u *Running) Cut(x *indexer.Index) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for r, cancel := range u.requests {
		if !authenticator.KeyStillValid(x, r) {
			cancel()
		}
	}
}

// CutKeyed cancels the requests that came with a key.
func (u *Running) CutKeyed() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for r, cancel := range u.requests {
		if r.KeyDigest != "" {
			cancel()
		}
	}
}
