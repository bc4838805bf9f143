// Package rationer implements distributed token buckets that limit the rates of customers
// over all nodes without central state. A few nodes have equal shares of a limit and grant
// tokens to nodes that run short or have no share. Tokens in a lost message are lost and never
// spent twice, so all shares together stay below the rate whatever fails. A customer's name is
// only a key here: limits of another kind have keys that equal no customer's name. The package
// uses no clock and does no input or output.
package rationer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// keptFraction is the fraction of its tokens that a node keeps when others request
	// them.
	keptFraction = 0.25
	// minGrantTokens is the minimum number of tokens in a grant.
	minGrantTokens = 0.05
	// wholeGrantsPerShare is how many times the requested tokens must fit into the
	// node's share for it to grant either all of them or none. Fractions of a token that
	// a node is granted and can't use are lost.
	wholeGrantsPerShare = 2
	// surplusLifetime is how long tokens above the node's own share are kept, so that no
	// node accumulates grants.
	surplusLifetime = 500 * time.Millisecond
	// maxRetired bounds the buckets that are kept for customers whom the limits lack.
	maxRetired = 4096
)

type (
	// Limit is the limit of a customer over all nodes.
	Limit struct {
		// RatePerSecond is the number of requests per second; 0 sets no limit.
		RatePerSecond float64
		// BurstRequests is the number of requests allowed above the rate.
		BurstRequests float64
		// StartsFull reports whether a node may spend its share of a new limit at
		// once, because the limit allows for what an earlier incarnation of the
		// node has spent.
		StartsFull bool
	}

	// Buckets holds one node's shares of the customers' limits as token buckets. The
	// zero value is ready for use. It is not safe for concurrent use.
	Buckets struct {
		byCustomer map[string]*bucket
		// spentBy is the latest time at which the tokens of a customer without a bucket
		// may have been spent: when the node started, or when a bucket was dropped too
		// early for lack of room.
		spentBy time.Time
	}

	// bucket is the node's share of one customer's limit.
	bucket struct {
		limit Limit
		// shareCount is the number of nodes with a share of the limit, 0 if this
		// node has none.
		shareCount int
		tokens     float64
		filledAt   time.Time
		// surplusAddedAt is when tokens were last added beyond the refill.
		surplusAddedAt time.Time
		// retiredAt is since when the limits lack the customer; zero while they have it.
		retiredAt time.Time
	}
)

// Admit spends tokens of a customer and reports whether there were enough. shareCount is the
// number of nodes that have a share of the limit, 0 if this node has none. A customer without
// a limit is always admitted.
func (r *Buckets) Admit(now time.Time, customer string, limit Limit, shareCount int, tokens float64) bool {
	if limit.RatePerSecond <= 0 {
		return true
	}
	b := r.refilledBucket(now, customer, limit, shareCount)
	if b.tokens < tokens {
		return false
	}
	b.tokens -= tokens
	return true
}

// AddTokens adds tokens that another node granted, or that were spent without effect: the
// request did not run, or another service had too few. They raise the bucket to at most the
// whole burst of the customer's limit.
func (r *Buckets) AddTokens(now time.Time, customer string, tokens float64) {
	if b := r.byCustomer[customer]; b != nil {
		b.refill(now)
		b.tokens = max(b.tokens, min(b.tokens+tokens, b.limit.BurstRequests))
		b.surplusAddedAt = now
	}
}

// GrantTokens takes at most the given number of tokens from the bucket, for another node, and
// returns how many it took.
func (r *Buckets) GrantTokens(now time.Time, customer string, tokens float64) (granted float64) {
	b := r.byCustomer[customer]
	if b == nil || tokens <= 0 {
		return 0
	}
	b.refill(now)
	if b.capacity() >= wholeGrantsPerShare*tokens {
		if b.tokens < tokens {
			return 0
		}
		b.tokens -= tokens
		return tokens
	}
	granted = min(tokens, b.tokens*(1-keptFraction))
	if granted < minGrantTokens {
		return 0
	}
	b.tokens -= granted
	return granted
}

// SetLimits sets the limits in force, by customer. A customer that is new has a full bucket, unless
// its tokens may have been spent before: by an earlier incarnation of the node, or before
// earlier limits that had the customer were replaced. shareCount returns the number of nodes that
// have a share of a customer's limit, as for Admit.
func (r *Buckets) SetLimits(now time.Time, limits map[string]Limit, shareCount func(customer string) int) {
	for name, limit := range limits {
		b := r.refilledBucket(now, name, limit, shareCount(name))
		b.retiredAt = time.Time{}
	}
	r.retire(now, limits)
}

// retire drops the buckets of customers whom the limits lack once they would be full again. Until
// then the customers may return with the tokens that they have.
func (r *Buckets) retire(now time.Time, limits map[string]Limit) {
	var retired []string
	for name, b := range r.byCustomer {
		if _, found := limits[name]; found {
			continue
		}
		if b.retiredAt.IsZero() {
			b.retiredAt = now
		}
		if now.Sub(b.retiredAt) >= b.limit.fillTime() {
			delete(r.byCustomer, name)
			continue
		}
		retired = append(retired, name)
	}
	if len(retired) <= maxRetired {
		return
	}
	slices.SortFunc(retired, func(a, b string) int {
		return cmp.Or(r.byCustomer[a].retiredAt.Compare(r.byCustomer[b].retiredAt), cmp.Compare(a, b))
	})
	for _, name := range retired[:len(retired)-maxRetired] {
		delete(r.byCustomer, name)
	}
	r.spentBy = now
}

// refilledBucket returns the bucket of a customer, refilled up to now.
func (r *Buckets) refilledBucket(now time.Time, customer string, limit Limit, shareCount int) *bucket {
	b := r.byCustomer[customer]
	if b == nil {
		b = r.addBucket(now, customer, limit, shareCount)
	}
	b.refill(now)
	if limit != b.limit || shareCount != b.shareCount {
		b.limit, b.shareCount = limit, shareCount
		b.tokens = min(b.tokens, b.capacity())
	}
	return b
}

// addBucket adds a bucket that was empty at the time by which its tokens may have been spent.
func (r *Buckets) addBucket(now time.Time, customer string, limit Limit, shareCount int) *bucket {
	if r.byCustomer == nil {
		r.byCustomer, r.spentBy = map[string]*bucket{}, now
	}
	b := &bucket{limit: limit, shareCount: shareCount, filledAt: r.spentBy}
	if limit.StartsFull {
		b.tokens = b.capacity()
	}
	r.byCustomer[customer] = b
	return b
}

// fillTime returns the time in which an empty bucket becomes full.
func (l Limit) fillTime() time.Duration {
	return time.Duration(l.BurstRequests / l.RatePerSecond * float64(time.Second))
}

// refill adds the tokens of the rate since the last refill, up to the capacity, and drops an
// expired surplus.
func (b *bucket) refill(now time.Time) {
	elapsed := now.Sub(b.filledAt).Seconds()
	b.filledAt = now
	if b.tokens > b.capacity() && now.Sub(b.surplusAddedAt) > surplusLifetime {
		b.tokens = b.capacity()
	}
	if elapsed <= 0 || b.tokens >= b.capacity() {
		return
	}
	b.tokens = min(b.capacity(), b.tokens+elapsed*b.limit.RatePerSecond/float64(b.shareCount))
}

// capacity returns the node's share of the burst, up to which the bucket refills.
func (b *bucket) capacity() float64 {
	if b.shareCount == 0 {
		return 0
	}
	return b.limit.BurstRequests / float64(b.shareCount)
}
