// Package issuer keeps the context of running requests under opaque call
// tokens.
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

// How a call below ended.
const (
	// ResultGood says that it got a good answer.
	ResultSuccess Result = iota
	// ResultFailed says that it failed by itself.
	ResultFailure
	// ResultFailedBelow says that it failed for a call of its own.
	ResultDownstreamFailure
)

// maxFailed bounds the failed calls kept to recognise repeats.
const maxFailed = 1000

type (
	// Digest tells the calls that one request makes apart.
	CallDigest = xxh3.Uint128

	// Call is the context that calls inherit from the request they are made
	// for. It is safe for concurrent use.
	RequestContext struct {
		// Customer is the name of the customer; empty without one.
		Customer string
		// KeyDigest is the digest of the key that started the chain.
		KeyDigest string
		// Priority is that of the chain.
		Priority exchanger.Priority
		// Deadline is that of the request.
		Deadline time.Time
		// Depth is that of the request.
		Depth int
		// Root is the ID of the call that started the chain.
		RootID uuid.UUID

		mu     sync.Mutex
		budget int
		// calls is the number of calls to further services that run.
		calls  int
		failed map[CallDigest]Result
		waited time.Duration
		since  time.Time
	}

	// Result is how a call below ended.
	Result int

	// Issuer issues call tokens. It is safe for concurrent use.
	Issuer struct {
		mu    sync.Mutex
		calls map[string]*RequestContext
	}
)

// New returns an Issuer without tokens.
func New() *Issuer {
	return &Issuer{calls: map[string]*RequestContext{}}
}

// Find returns the call of a token; nil when no such request runs.
func (s *Issuer) Find(token string) *RequestContext {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[token]
}

// Issue returns a new token for a request. It holds until it is revoked.
func (s *Issuer) Issue(r *exchanger.Request) (token string, c *RequestContext) {
	c = &RequestContext{
		Customer:  r.Customer,
		KeyDigest: r.KeyDigest,
		Priority:  r.Priority,
		Deadline:  r.Deadline,
		Depth:     r.Depth,
		RootID:    r.RootID,
		budget:    r.RetriesLeft,
	}
	token = rand.Text()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[token] = c
	return token, c
}

// Revoke ends a token.
func (s *Issuer) Revoke(token string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, token)
}

// DigestOf returns the digest of a call.
func DigestCall(r *exchanger.Request) CallDigest {
	h := xxh3.New()
	for _, part := range []string{r.Service, r.Method, r.Path, r.Query, r.IdempotencyKey} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return h.Sum128()
}

// Budget returns the extra attempts that are left.
func (c *RequestContext) RetriesLeft() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget
}

// Failed reports whether a call below failed.
func (c *RequestContext) HasFailedCalls() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.failed) > 0
}

// Give ends a call below. n is the number of its extra attempts that are left.
func (c *RequestContext) EndCall(now time.Time, d CallDigest, n int, r Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget += n
	if r != ResultSuccess && len(c.failed) < maxFailed {
		if c.failed == nil {
			c.failed = map[CallDigest]Result{}
		}
		c.failed[d] = r
	}
	c.calls--
	if c.calls == 0 {
		c.waited += now.Sub(c.since)
	}
}

// Take begins a call below and splits off its part of the extra attempts. A
// call that the backend server makes again after it failed is itself an extra
// attempt; allowed is false when none is left for it, or when the failure lies
// further down, where the hop above it has made its own attempts. It has not
// begun then.
func (c *RequestContext) StartCall(now time.Time, d CallDigest) (budget int, repeated, allowed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := c.failed[d]
	repeated = result != ResultSuccess
	if result == ResultDownstreamFailure || repeated && c.budget == 0 {
		return 0, true, false
	}
	if repeated {
		c.budget--
	}
	if c.calls == 0 {
		c.since = now
	}
	c.calls++
	budget = retrier.SplitRetries(c.budget)
	c.budget -= budget
	return budget, repeated, true
}

// Waited returns how long at least one call below has run until now.
func (c *RequestContext) DownstreamWait(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls == 0 {
		return c.waited
	}
	return c.waited + now.Sub(c.since)
}
