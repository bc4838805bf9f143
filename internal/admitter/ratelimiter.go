package admitter

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/linker"
	"github.com/flamingotack/flamingotack/internal/rationer"
	"github.com/flamingotack/flamingotack/internal/retrier"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// borrowTimeout bounds how long a request waits for tokens from other nodes.
	// onBehalfTimeout bounds how long a delegate waits for tokens that it borrows for
	// another node, so that its grant arrives before that node stops waiting: two
	// messages take up to 6 ms.
	borrowTimeout   = 15 * time.Millisecond
	onBehalfTimeout = 8 * time.Millisecond
	// roundTripTime is how long a request for tokens and its answer take at most. A
	// node without a share sends none with less time left: a token that comes late
	// expires there unless another request follows.
	roundTripTime = 6 * time.Millisecond
	// lateGrantTimeout bounds how long a node takes grants after the request has
	// stopped waiting for them. They serve later requests; dropped ones would reduce
	// the customer's rate.
	lateGrantTimeout = 500 * time.Millisecond
	// maxPeersAsked is the number of nodes that are asked for one request.
	// concurrentAsks is the number of nodes that are asked at the same time if
	// they grant fractions of a token, or by a delegate.
	maxPeersAsked  = 12
	concurrentAsks = 4
	// minBackoff is how long no node is asked after all nodes have refused
	// tokens. Each further failure doubles it, up to maxBackoff.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 160 * time.Millisecond
	// Token numbers in messages between nodes are in thousandths.
	milliPerToken = 1000
)

type (
	// Peers gives access to the other nodes.
	Peers interface {
		// RequestTokens asks the named node for tokens of a limit and returns how
		// many it granted, both in thousandths. The key is a customer's name or the
		// key of a retry limit. With noBorrow, the node must not borrow tokens from
		// other nodes.
		RequestTokens(ctx context.Context, name, key string, milliTokens int64, noBorrow bool) (grantedMilliTokens int64)
		// Delegates returns the nodes that hold the limits.
		Delegates() *linker.DelegateView
	}

	// DistributedRateLimiter enforces limits that a few nodes hold in equal shares.
	// It holds this node's shares, if any, and borrows missing tokens from the other
	// holders. Create it with NewDistributedRateLimiter. It is safe for concurrent
	// use.
	DistributedRateLimiter struct {
		clock     timekeeper.Clock
		peers     Peers
		tolerance RateTolerance

		mu      sync.Mutex
		buckets rationer.Buckets
		// limits are those of the active configuration; nil before the first one.
		limits map[string]rationer.Limit
		// sharesKnown reports whether the shares were set with a complete view of the
		// delegates. It stays true.
		sharesKnown bool
		// backoffs and holders are by the key of a limit.
		backoffs             map[string]backoff
		lastGrantMilliTokens map[grantKey]int64
		holders              map[string]*limitHolders
	}

	// RateTolerance is how far customers may exceed their limits. Counting over
	// many nodes is not exact.
	RateTolerance struct {
		// Window is the time over which requests are counted.
		Window time.Duration
		// Fraction is the number of requests in a window above the limit, as a
		// fraction of the requests that the limit allows in a window.
		Fraction float64
		// ExtraRequests is a further number of requests in a window above the
		// limit.
		ExtraRequests float64
		// ExtraRetries is the number of retries that all nodes together may make
		// to each service in a retrier.BudgetWindow, in addition to the retry
		// budget that requests earn.
		ExtraRetries float64
	}

	// charge is a number of tokens to take from a limit.
	charge struct {
		// key identifies the limit: the name of a customer, or a retryKey.
		key    string
		limit  rationer.Limit
		tokens float64
	}

	// grantKey identifies the last grant that a node made from a limit. Grants are
	// in thousandths of a token.
	grantKey struct {
		key, node string
	}

	// backoff is a period in which no other node is asked for tokens of a limit.
	backoff struct {
		delay time.Duration
		until time.Time
	}
)

// toleranceFraction is the fraction of the tolerance that is used.
const toleranceFraction = 0.7

// NewDistributedRateLimiter returns a DistributedRateLimiter without limits. Set them
// with SetLimits.
func NewDistributedRateLimiter(clock timekeeper.Clock, p Peers, tolerance RateTolerance) *DistributedRateLimiter {
	return &DistributedRateLimiter{clock: clock, peers: p, tolerance: tolerance, backoffs: map[string]backoff{}, lastGrantMilliTokens: map[grantKey]int64{}, holders: map[string]*limitHolders{}}
}

// Charge takes one token from the customer and returns false if the customer is over
// its rate.
func (l *DistributedRateLimiter) Charge(ctx context.Context, c *director.Customer) (admitted bool) {
	return l.takeTokens(ctx, charge{key: c.Name, limit: l.customerLimit(c), tokens: 1})
}

// Ready reports whether the node knows which nodes hold the limits. Before that it holds no
// share of any, so a customer that is refused need not be over its rate.
func (l *DistributedRateLimiter) Ready() bool {
	return !l.peers.Delegates().Incomplete
}

// ChargeRetry takes the cost of a retry, in requests by service, from the retries that
// all nodes may make in addition to the retry budget that requests earn. It reports
// whether every service had enough. If not, it takes nothing.
func (l *DistributedRateLimiter) ChargeRetry(ctx context.Context, cost map[string]float64) (allowed bool) {
	taken := map[string]float64{}
	for service, tokens := range cost {
		key := retryKey(service)
		if !l.takeTokens(ctx, charge{key: key, limit: l.retryLimit(), tokens: tokens}) {
			l.refundTokens(taken)
			return false
		}
		taken[key] = tokens
	}
	return true
}

// GrantTokens gives tokens of a limit to another node and returns how many, both in
// thousandths. Unless noBorrow is set, it borrows missing tokens from other holders.
func (l *DistributedRateLimiter) GrantTokens(ctx context.Context, key string, milliTokens int64, noBorrow bool) (grantedMilliTokens int64) {
	h := l.updateShare(key)
	grantedMilliTokens = l.grantLocal(key, milliTokens)
	if noBorrow || grantedMilliTokens >= milliTokens || h == nil {
		return grantedMilliTokens
	}
	l.borrow(ctx, charge{key: key, limit: h.limit, tokens: float64(milliTokens-grantedMilliTokens) / milliPerToken}, h, true, func() bool {
		grantedMilliTokens += l.grantLocal(key, milliTokens-grantedMilliTokens)
		return grantedMilliTokens >= milliTokens
	})
	return grantedMilliTokens
}

// Refund returns the token of a request that did not run.
func (l *DistributedRateLimiter) Refund(c *director.Customer) {
	l.refundTokens(map[string]float64{c.Name: 1})
}

// SetLimits sets the limits of the active configuration.
func (l *DistributedRateLimiter) SetLimits(t *director.Table) {
	if !t.HasConfig() {
		return
	}
	limits := map[string]rationer.Limit{}
	for i := range t.State.Config.Customers {
		if c := &t.State.Config.Customers[i]; c.RatePerSecond > 0 {
			limits[c.Name] = l.customerLimit(c)
		}
	}
	for i := range t.State.Config.Services {
		limits[retryKey(t.State.Config.Services[i].Name)] = l.retryLimit()
	}
	d := l.peers.Delegates()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = limits
	l.setShares(d)
	l.prune()
}

// prune drops what is kept of limits that are not in force any more and does not limit anything.
// The caller holds the lock.
func (l *DistributedRateLimiter) prune() {
	now := l.clock.Now()
	known := func(key string) bool { _, found := l.limits[key]; return found }
	maps.DeleteFunc(l.holders, func(key string, _ *limitHolders) bool { return !known(key) })
	maps.DeleteFunc(l.backoffs, func(key string, b backoff) bool { return !known(key) && now.After(b.until) })
	maps.DeleteFunc(l.lastGrantMilliTokens, func(k grantKey, _ int64) bool { return !known(k.key) })
}

// setShares sets this node's shares of all limits. With the first complete view of the delegates
// the shares start as those of a node that has just started. The caller holds the lock.
func (l *DistributedRateLimiter) setShares(d *linker.DelegateView) {
	if !l.sharesKnown && !d.Incomplete {
		l.sharesKnown = true
		l.buckets = rationer.Buckets{}
	}
	l.buckets.SetLimits(l.clock.Now(), l.limits, func(name string) int { return l.holdersOf(name, l.limits[name], d).shareCount })
}

// learnShares sets the shares if the view of the delegates has become complete. The caller holds
// the lock.
func (l *DistributedRateLimiter) learnShares(d *linker.DelegateView) {
	if !l.sharesKnown && !d.Incomplete && l.limits != nil {
		l.setShares(d)
	}
}

// borrow asks holders for tokens until enough returns true or the timeout ends. It reports
// whether enough returned true. Holders with the largest last grants are asked first, as in
// work stealing, where idle workers ask the busiest.
//
// A node without a share lets only the first holder borrow on its behalf, because the next
// ones would ask the same holders again. A node that borrows on behalf of another one, and a
// holder, ask several holders at once: they keep what they do not need at the moment in their
// buckets.
func (l *DistributedRateLimiter) borrow(ctx context.Context, c charge, h *limitHolders, onBehalf bool, enough func() bool) bool {
	names, backingOff := l.peersToAsk(c.key, h)
	if backingOff {
		return false
	}
	timeout := borrowTimeout
	if onBehalf {
		timeout = onBehalfTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	noBorrow := onBehalf || h.shareCount > 0
	parallelism := 1
	if !h.wholeTokens || noBorrow {
		parallelism = concurrentAsks
	}
	lastAskAt := l.clock.Now().Add(timeout)
	if !noBorrow {
		lastAskAt = lastAskAt.Add(-roundTripTime)
	}
	for len(names) > 0 && ctx.Err() == nil && !l.clock.Now().After(lastAskAt) {
		count := min(parallelism, len(names))
		l.askPeers(ctx, c.key, int64(c.tokens*milliPerToken), names[:count], noBorrow)
		names = names[count:]
		noBorrow = true
		if enough() {
			l.mu.Lock()
			defer l.mu.Unlock()
			delete(l.backoffs, c.key)
			return true
		}
	}
	l.extendBackoff(c)
	return false
}

// peersToAsk returns the holders to ask now, in order. During a backoff it returns
// backingOff true and no holders.
func (l *DistributedRateLimiter) peersToAsk(key string, h *limitHolders) (names []string, backingOff bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clock.Now().Before(l.backoffs[key].until) {
		return nil, true
	}
	names = l.rankHolders(key, h)
	return names[:min(maxPeersAsked, len(names))], false
}

// askPeers asks nodes concurrently for tokens, in thousandths, and adds the granted
// tokens to this node's bucket. It returns when all have answered or ctx ends; grants that
// come later are added too.
func (l *DistributedRateLimiter) askPeers(ctx context.Context, key string, milliTokens int64, names []string, noBorrow bool) {
	askCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lateGrantTimeout)
	var asks sync.WaitGroup
	for _, name := range names {
		asks.Go(func() {
			grantedMilliTokens := l.peers.RequestTokens(askCtx, name, key, milliTokens, noBorrow)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.lastGrantMilliTokens[grantKey{key, name}] = grantedMilliTokens
			if grantedMilliTokens > 0 {
				l.buckets.AddTokens(l.clock.Now(), key, float64(grantedMilliTokens)/milliPerToken)
			}
		})
	}
	answered := make(chan struct{})
	go func() {
		defer cancel()
		asks.Wait()
		close(answered)
	}()
	select {
	case <-answered:
	case <-ctx.Done():
	}
}

// grantLocal gives away tokens that this node has, in thousandths, without borrowing.
func (l *DistributedRateLimiter) grantLocal(key string, milliTokens int64) (grantedMilliTokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(l.buckets.GrantTokens(l.clock.Now(), key, float64(milliTokens)/milliPerToken) * milliPerToken)
}

// customerLimit returns the customer's limit over all nodes.
func (l *DistributedRateLimiter) customerLimit(c *director.Customer) rationer.Limit {
	allowed := c.RatePerSecond*l.tolerance.Window.Seconds() + c.BurstRequests
	return rationer.Limit{RatePerSecond: c.RatePerSecond, BurstRequests: c.BurstRequests + toleranceFraction*(allowed*l.tolerance.Fraction+l.tolerance.ExtraRequests)}
}

// extendBackoff starts a backoff after all nodes have refused tokens. The first one is at most
// the time in which one token becomes due.
func (l *DistributedRateLimiter) extendBackoff(c charge) {
	l.mu.Lock()
	defer l.mu.Unlock()
	firstSeconds := min(minBackoff.Seconds(), 1/c.limit.RatePerSecond)
	b := l.backoffs[c.key]
	b.delay = min(maxBackoff, max(time.Duration(firstSeconds*float64(time.Second)), 2*b.delay))
	b.until = l.clock.Now().Add(b.delay)
	l.backoffs[c.key] = b
}

func (l *DistributedRateLimiter) refundTokens(tokensByKey map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, tokens := range tokensByKey {
		l.buckets.AddTokens(l.clock.Now(), key, tokens)
	}
}

// retryLimit returns the limit on the retries that all nodes make to one service in addition
// to the retry budget that requests earn.
func (l *DistributedRateLimiter) retryLimit() rationer.Limit {
	burst, perSecond := retrier.SharedBucket(l.tolerance.ExtraRetries)
	return rationer.Limit{RatePerSecond: perSecond, BurstRequests: burst, StartsFull: true}
}

// takeTokens takes tokens, borrowing if necessary, and reports whether there were enough.
func (l *DistributedRateLimiter) takeTokens(ctx context.Context, c charge) bool {
	d := l.peers.Delegates()
	l.mu.Lock()
	l.learnShares(d)
	h := l.holdersOf(c.key, c.limit, d)
	taken := l.takeLocal(c, h)
	l.mu.Unlock()
	if taken {
		return true
	}
	return l.borrow(ctx, c, h, false, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.takeLocal(c, h)
	})
}

// takeLocal takes tokens that this node has and reports whether there were enough. The
// caller holds the lock.
func (l *DistributedRateLimiter) takeLocal(c charge, h *limitHolders) bool {
	return l.buckets.Admit(l.clock.Now(), c.key, c.limit, h.shareCount, c.tokens)
}

// updateShare adapts this node's share of a limit to the present delegates and returns the
// holders, or nil for an unknown limit. A node that becomes a holder may be asked for tokens
// long before a request of its own adapts the share.
func (l *DistributedRateLimiter) updateShare(key string) *limitHolders {
	d := l.peers.Delegates()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.learnShares(d)
	h := l.holders[key]
	if h == nil || h.delegatesVersion == d.Version {
		return h
	}
	h = l.holdersOf(key, h.limit, d)
	l.takeLocal(charge{key: key, limit: h.limit}, h)
	return h
}

// retryKey returns the key of a service's retry limit. It can't equal a customer's name.
func retryKey(service string) string {
	return "\x00repeats " + service
}
