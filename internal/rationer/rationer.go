// Package rationer keeps customers to their rates over all nodes without a
// holder: each node spends an equal part, and gives tokens away to those that
// run short. What a lost message carried is lost and never spent twice, so the
// parts together stay below the rate whatever fails. It knows no clock and does
// no input or output; a Rationer is not safe for concurrent use.
package rationer

import "time"

const (
	// keptPart is the part of its tokens that a node keeps when others ask.
	keptPart = 0.25
	// leastGift is the least number of tokens that is given away at once.
	leastGift = 0.05
)

type (
	// Limit is what a customer may use over all nodes.
	Limit struct {
		// Rate is the number of requests a second; 0 sets no limit.
		Rate float64
		// Burst is the number of requests above the rate.
		Burst float64
	}

	// Rationer keeps the parts of one node. The zero Rationer is ready for use.
	Rationer struct {
		buckets map[string]*bucket
	}

	// bucket is the node's part of one customer's limit.
	bucket struct {
		limit  Limit
		nodes  int
		tokens float64
		filled time.Time
	}
)

// Admit spends a token of a customer and reports whether there was one. nodes
// is the number of nodes that share the limit, at least 1.
func (r *Rationer) Admit(now time.Time, customer string, limit Limit, nodes int) bool {
	if limit.Rate <= 0 {
		return true
	}
	b := r.bucket(now, customer, limit, nodes)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Add adds tokens that another node gave away, or that were spent in vain, to
// at most a whole burst.
func (r *Rationer) Add(now time.Time, customer string, tokens float64) {
	if b := r.buckets[customer]; b != nil {
		b.fill(now)
		b.tokens = max(b.tokens, min(b.tokens+tokens, b.limit.Burst))
	}
}

// Give gives away at most that many tokens to another node.
func (r *Rationer) Give(now time.Time, customer string, tokens float64) (given float64) {
	b := r.buckets[customer]
	if b == nil {
		return 0
	}
	b.fill(now)
	given = min(tokens, b.tokens*(1-keptPart))
	if given < leastGift {
		return 0
	}
	b.tokens -= given
	return given
}

// Set takes the limits in force. A customer that is new since the last ones
// starts with a full bucket. In the first ones that a node knows all start
// empty: an earlier run of the node may have spent what it held.
func (r *Rationer) Set(now time.Time, limits map[string]Limit, nodes int) {
	first := r.buckets == nil
	for name, limit := range limits {
		known := r.buckets[name] != nil
		b := r.bucket(now, name, limit, nodes)
		if !known && !first {
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
func (r *Rationer) bucket(now time.Time, customer string, limit Limit, nodes int) *bucket {
	b := r.buckets[customer]
	if b == nil {
		if r.buckets == nil {
			r.buckets = map[string]*bucket{}
		}
		b = &bucket{limit: limit, nodes: nodes, filled: now}
		r.buckets[customer] = b
	}
	b.fill(now)
	if limit != b.limit || nodes != b.nodes {
		b.limit, b.nodes = limit, nodes
		b.tokens = min(b.tokens, b.most())
	}
	return b
}

func (b *bucket) fill(now time.Time) {
	elapsed := now.Sub(b.filled).Seconds()
	b.filled = now
	if elapsed <= 0 || b.tokens >= b.most() {
		return
	}
	b.tokens = min(b.most(), b.tokens+elapsed*b.limit.Rate/float64(b.nodes))
}

// most is what the bucket holds when it has filled by itself.
func (b *bucket) most() float64 {
	return b.limit.Burst / float64(b.nodes)
}
