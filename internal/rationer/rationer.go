// Package rationer keeps customers to their rates over all nodes without a
// holder of state: a few nodes have equal parts and give tokens away to those that
// run short or have no part. What a lost message carried is lost and never spent twice, so the
// parts together stay below the rate whatever fails. It knows no clock and does
// no input or output; a Rationer is not safe for concurrent use.
package rationer

import "time"

const (
	// keptPart is the part of its tokens that a node keeps when others ask.
	keptPart = 0.25
	// leastGift is the least number of tokens that is given away at once.
	leastGift = 0.05
	// wholeGifts is the number of gifts in a full bucket from which on a node gives
	// all that is asked for or nothing: parts of a token that a node gets and can't
	// use are lost.
	wholeGifts = 2
	// giftLife is for how long tokens above the own part are kept, so that no node
	// saves up what others gave.
	giftLife = 500 * time.Millisecond
)

type (
	// Limit is what a customer may use over all nodes.
	Limit struct {
		// Rate is the number of requests a second; 0 sets no limit.
		RatePerSecond float64
		// Burst is the number of requests above the rate.
		BurstRequests float64
		// StartsFull says that a node that starts may spend its part at once, as
		// the limit allows for what an earlier run of it has spent.
		StartsFull bool
	}

	// Rationer keeps the parts of one node. The zero Rationer is ready for use.
	Buckets struct {
		buckets map[string]*bucket
	}

	// bucket is the node's part of one customer's limit.
	bucket struct {
		limit  Limit
		parts  int
		tokens float64
		filled time.Time
		// added is when tokens above the own part last came.
		added time.Time
	}
)

// Admit spends tokens of a customer and reports whether there were enough. parts is
// the number of nodes that have a part of the limit; 0 when this one has none.
func (r *Buckets) Admit(now time.Time, customer string, limit Limit, parts int, tokens float64) bool {
	if limit.RatePerSecond <= 0 {
		return true
	}
	b := r.bucket(now, customer, limit, parts)
	if b.tokens < tokens {
		return false
	}
	b.tokens -= tokens
	return true
}

// Add adds tokens that another node gave away, or that were spent in vain, to
// at most a whole burst.
func (r *Buckets) AddTokens(now time.Time, customer string, tokens float64) {
	if b := r.buckets[customer]; b != nil {
		b.fill(now)
		b.tokens = max(b.tokens, min(b.tokens+tokens, b.limit.BurstRequests))
		b.added = now
	}
}

// Give gives away at most that many tokens to another node.
func (r *Buckets) GrantTokens(now time.Time, customer string, tokens float64) (given float64) {
	b := r.buckets[customer]
	if b == nil {
		return 0
	}
	b.fill(now)
	if b.most() >= wholeGifts*tokens {
		if b.tokens < tokens {
			return 0
		}
		b.tokens -= tokens
		return tokens
	}
	given = min(tokens, b.tokens*(1-keptPart))
	if given < leastGift {
		return 0
	}
	b.tokens -= given
	return given
}

// Set takes the limits in force. A customer that is new since the last ones
// starts with a full bucket. In the first ones that a node knows those start empty
// that are not to start full: an earlier run of the node may have spent what it held.
// parts returns the number of nodes that have a part of a customer's limit, as for
// Admit.
func (r *Buckets) SetLimits(now time.Time, limits map[string]Limit, parts func(customer string) int) {
	first := r.buckets == nil
	for name, limit := range limits {
		known := r.buckets[name] != nil
		b := r.bucket(now, name, limit, parts(name))
		if !known && (!first || limit.StartsFull) {
			b.tokens = b.most()
		}
	}
	for name := range r.buckets {
		if _, found := limits[name]; !found {
			delete(r.buckets, name)
		}
	}
}

// bucket returns the bucket of a customer, filled up to now. A new one is
// empty.
func (r *Buckets) bucket(now time.Time, customer string, limit Limit, parts int) *bucket {
	b := r.buckets[customer]
	if b == nil {
		if r.buckets == nil {
			r.buckets = map[string]*bucket{}
		}
		b = &bucket{limit: limit, parts: parts, filled: now}
		r.buckets[customer] = b
	}
	b.fill(now)
	if limit != b.limit || parts != b.parts {
		b.limit, b.parts = limit, parts
		b.tokens = min(b.tokens, b.most())
	}
	return b
}

func (b *bucket) fill(now time.Time) {
	elapsed := now.Sub(b.filled).Seconds()
	b.filled = now
	if b.tokens > b.most() && now.Sub(b.added) > giftLife {
		b.tokens = b.most()
	}
	if elapsed <= 0 || b.tokens >= b.most() {
		return
	}
	b.tokens = min(b.most(), b.tokens+elapsed*b.limit.RatePerSecond/float64(b.parts))
}

// most is what the bucket holds when it has filled by itself.
func (b *bucket) most() float64 {
	if b.parts == 0 {
		return 0
	}
	return b.limit.BurstRequests / float64(b.parts)
}
