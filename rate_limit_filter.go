package flamingotack

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/holder"
	"github.com/flamingotack/flamingotack/internal/parser"
	"github.com/flamingotack/flamingotack/internal/throttler"
)

const (
	// maintenanceInterval is how often a node maintains the rate limits and the
	// keys that it holds or has borrowed.
	maintenanceInterval = 100 * time.Millisecond
	// rateLimitRetryAfter is the retry delay for a caller over its rate when the
	// time of the next token is unknown, and the minimum otherwise.
	rateLimitRetryAfter = time.Second
)

// rateLimitFilter is the filter that limits the rate of each customer across
// all nodes.
type rateLimitFilter struct {
	node *Node
	next exchanger.Handler

	mu       sync.Mutex
	limiters map[string]*customerLimiter
}

func newRateLimitFilter(n *Node, next exchanger.Handler) *rateLimitFilter {
	return &rateLimitFilter{node: n, next: next, limiters: map[string]*customerLimiter{}}
}

// Handle spends a token of the customer for a request that starts a call chain.
func (f *rateLimitFilter) Handle(ctx context.Context, r *exchanger.Request) (*exchanger.Answer, error) {
	if r.Depth > 0 || r.Customer == "" {
		return f.next.Handle(ctx, r)
	}
	customer := f.node.index.Load().Customer(r.Customer)
	if customer == nil {
		return nil, exchanger.NotRun(http.StatusUnauthorized, exchanger.ReasonKeyUnknown, "customer %q is unknown", r.Customer)
	}
	limiter := f.limiter(customer.Name)
	if retryAfter, admitted := limiter.admit(ctx); !admitted {
		refusal := limiter.refusal()
		refusal.RetryAfter = retryAfter
		return nil, refusal
	}
	return f.next.Handle(ctx, r)
}

// maintain maintains all limiters until ctx ends.
func (f *rateLimitFilter) maintain(ctx context.Context) error {
	for ctx.Err() == nil {
		f.maintainOnce()
		f.node.awaitMaintenance(ctx)
	}
	return nil
}

// maintainOnce creates the limiters of the customers whose rate limit the node
// owns, so that each tenure starts and ends in time, and renews borrowed shares.
func (f *rateLimitFilter) maintainOnce() {
	index := f.node.index.Load()
	if index == nil || index.State.Manifest == nil {
		return
	}
	for i := range index.State.Manifest.Customers {
		name := index.State.Manifest.Customers[i].Name
		if len(f.node.tracker.OwnershipPeriods(rateResource(name))) > 0 {
			f.limiter(name)
		}
	}
	for _, limiter := range f.allLimiters() {
		limiter.maintain()
	}
}

// handoversDone reports whether no limiter has anything left to hand over.
func (f *rateLimitFilter) handoversDone() bool {
	for _, limiter := range f.allLimiters() {
		if !limiter.handoversDone() {
			return false
		}
	}
	return true
}

func (f *rateLimitFilter) limiter(customer string) *customerLimiter {
	f.mu.Lock()
	defer f.mu.Unlock()
	limiter := f.limiters[customer]
	if limiter == nil {
		limiter = newCustomerLimiter(f.node, customer)
		f.limiters[customer] = limiter
	}
	return limiter
}

func (f *rateLimitFilter) allLimiters() []*customerLimiter {
	f.mu.Lock()
	defer f.mu.Unlock()
	limiters := make([]*customerLimiter, 0, len(f.limiters))
	for _, limiter := range f.limiters {
		limiters = append(limiters, limiter)
	}
	return limiters
}

// limitOf returns the limit of a customer; zero if the customer is unknown.
func limitOf(c *parser.Customer) throttler.Limit {
	if c == nil {
		return throttler.Limit{}
	}
	return throttler.NewLimit(c.RatePerSecond, c.BurstRequests)
}

func rateResource(customer string) holder.Resource {
	return holder.Resource{Name: "rate/" + customer}
}
