// Package issuer issues opaque call tokens and keeps the context of each running
// request under its token.
package issuer

import (
	"crypto/rand"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/xxh3"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/retrier"
)

// The results of a downstream call.
const (
	// ResultSuccess says that the call got a good answer.
	ResultSuccess Result = iota
	// ResultFailure says that the called service failed the call itself.
	ResultFailure
	// ResultDownstreamFailure says that the call failed because a call that it
	// made itself failed.
	ResultDownstreamFailure
)

// maxFailedCalls bounds the failed calls that a request keeps to recognize
// retries of them.
const maxFailedCalls = 1000

type (
	// CallDigest identifies a call among those that one request makes.
	CallDigest = xxh3.Uint128

	// RequestContext is what downstream calls inherit from the request that
	// makes them. It is safe for concurrent use.
	RequestContext struct {
		// Customer is the name of the customer; empty without one.
		Customer string
		// KeyDigest is the digest of the key that admitted the call chain.
		KeyDigest string
		// Priority is the priority of the call chain.
		Priority exchanger.Priority
		// Deadline is the deadline of the request.
		Deadline time.Time
		// Depth is the number of calls between the start of the call chain and
		// the request; 0 for a request of a caller.
		Depth int
		// RootID is the ID of the request that started the call chain.
		RootID uuid.UUID

		mu          sync.Mutex
		retriesLeft int
		// runningCalls is the number of downstream calls in progress.
		runningCalls int
		failedCalls  map[CallDigest]Result
		// endedWait is how long at least one downstream call ran, up to the last
		// time that runningCalls fell to 0.
		endedWait time.Duration
		// waitingSince is when runningCalls last rose above 0.
		waitingSince time.Time
	}

	// Result is how a downstream call ended.
	Result int

	// Issuer issues, finds and revokes call tokens. It is safe for concurrent
	// use.
	Issuer struct {
		mu              sync.Mutex
		contextsByToken map[string]*RequestContext
	}
)

// New returns an Issuer without tokens.
func New() *Issuer {
	return &Issuer{contextsByToken: map[string]*RequestContext{}}
}

// Find returns the context of the request that holds a token; nil when no such
// request runs.
func (s *Issuer) Find(token string) *RequestContext {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contextsByToken[token]
}

// Issue returns a new token for a request and the context kept under it. The
// token is valid until it is revoked.
func (s *Issuer) Issue(r *exchanger.Request) (token string, c *RequestContext) {
	c = &RequestContext{
		Customer:    r.Customer,
		KeyDigest:   r.KeyDigest,
		Priority:    r.Priority,
		Deadline:    r.Deadline,
		Depth:       r.Depth,
		RootID:      r.RootID,
		retriesLeft: r.RetriesLeft,
	}
	token = rand.Text()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contextsByToken[token] = c
	return token, c
}

// Revoke makes a token invalid.
func (s *Issuer) Revoke(token string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.contextsByToken, token)
}

// DigestCall returns the digest of a call's target, idempotency key and body.
func DigestCall(r *exchanger.Request) CallDigest {
	h := xxh3.New()
	for _, part := range []string{r.Service, r.Method, r.Path, r.Query, r.IdempotencyKey} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return h.Sum128()
}

// RetriesLeft returns the number of retries left for downstream calls.
func (c *RequestContext) RetriesLeft() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retriesLeft
}

// HasFailedCalls reports whether a downstream call failed.
func (c *RequestContext) HasFailedCalls() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.failedCalls) > 0
}

// EndCall ends a downstream call and takes back the retries that it did not use.
func (c *RequestContext) EndCall(now time.Time, d CallDigest, unusedRetries int, r Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retriesLeft += unusedRetries
	if r != ResultSuccess && len(c.failedCalls) < maxFailedCalls {
		if c.failedCalls == nil {
			c.failedCalls = map[CallDigest]Result{}
		}
		c.failedCalls[d] = r
	}
	c.runningCalls--
	if c.runningCalls == 0 {
		c.endedWait += now.Sub(c.waitingSince)
	}
}

// StartCall begins a downstream call and splits off its share of the retries. A
// call that the backend server makes again after a failure uses a retry itself.
// allowed is false, and the call has not begun, when no retry is left for it, or
// when the failure was further downstream, where the hop above it has made its
// own retries.
func (c *RequestContext) StartCall(now time.Time, d CallDigest) (retries int, isRetry, allowed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := c.failedCalls[d]
	isRetry = result != ResultSuccess
	if result == ResultDownstreamFailure || isRetry && c.retriesLeft == 0 {
		return 0, true, false
	}
	if isRetry {
		c.retriesLeft--
	}
	if c.runningCalls == 0 {
		c.waitingSince = now
	}
	c.runningCalls++
	retries = retrier.SplitRetries(c.retriesLeft)
	c.retriesLeft -= retries
	return retries, isRetry, true
}

// DownstreamWait returns how long at least one downstream call has run until
// now.
func (c *RequestContext) DownstreamWait(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runningCalls == 0 {
		return c.endedWait
	}
	return c.endedWait + now.Sub(c.waitingSince)
}
