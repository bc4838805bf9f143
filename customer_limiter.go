package flamingotack

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/holder"
	"github.com/flamingotack/flamingotack/internal/throttler"
	"github.com/flamingotack/flamingotack/internal/tracker"
)

const (
	// tokenRequestTimeout bounds the time that a lender takes to answer.
	tokenRequestTimeout = 100 * time.Millisecond
	// viewChangeGrace is how long after a membership change requests wait for a
	// new holder. Each of them waits for at most viewChangeMaxWait.
	viewChangeGrace   = 2 * time.Second
	viewChangeMaxWait = 500 * time.Millisecond
	// lenderAnswerLifetime is how long the node relies on a lender's answer that
	// it has no token.
	lenderAnswerLifetime = time.Second
	// shareRenewalTimeout bounds the time that the holder takes to renew a share.
	shareRenewalTimeout = 400 * time.Millisecond
)

type (
	// customerLimiter is the node's part of one customer's rate limit.
	customerLimiter struct {
		node     *Node
		customer string
		resource holder.Resource

		mu      sync.Mutex
		bucket  *throttler.Bucket
		lenders throttler.LenderList
		// isDomainLender reports whether other nodes request tokens from this one.
		isDomainLender bool
		// viewOffset and configVersion are those that the lenders were chosen for.
		viewOffset, configVersion uint64
		// periodStartOffset is the log offset at which the current or last period
		// began in which the node owned the rate limit. tenureID, which is random,
		// and tenureStartedAt belong to the current or last tenure in it. A period
		// has several tenures if the node was stale in between.
		periodStartOffset uint64
		tenureID          uint64
		tenureStartedAt   time.Time
		// handovers holds the content of the periods that are not in use.
		handovers handovers[throttler.HandoverState]

		waiters    []*waiter
		requesting bool
		// viewChangedAt is when the membership last changed.
		viewChangedAt time.Time
		// lastAnswerAt is when a lender last answered.
		lastAnswerAt time.Time
		// shortestLenderWait is the shortest time after which a lender expects a
		// token; 0 if unknown.
		shortestLenderWait time.Duration
	}

	// waiter is a request that waits for a token.
	waiter struct {
		// decided receives one value: whether the request got a token.
		decided   chan bool
		startedAt time.Time
		deadline  time.Time
	}
)

// rateUnknown reports whether the node can't tell that the customer is over its
// rate: it does not hold the rate limit, and no lender has answered within
// lenderAnswerLifetime.
func (l *customerLimiter) rateUnknown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.bucket.IsHolder() && l.node.dependencies.Clock.Now().Sub(l.lastAnswerAt) > lenderAnswerLifetime
}

// refusal returns the refusal of a request that got no token. It says that the
// customer is over its rate only if a node that knows the rate said so.
func (l *customerLimiter) refusal() *exchanger.Refusal {
	if l.rateUnknown() {
		return exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonUnreachable, "no node that knows the rate of customer %q answers", l.customer)
	}
	return exchanger.NotRun(http.StatusTooManyRequests, exchanger.ReasonRate, "customer %q is over its rate", l.customer)
}

func newCustomerLimiter(n *Node, customer string) *customerLimiter {
	return &customerLimiter{
		node:     n,
		customer: customer,
		resource: rateResource(customer),
		bucket:   throttler.NewBucket(n.dependencies.Clock.Now()),
	}
}

// admit spends a token and waits for one if necessary. If there is none,
// retryAfter is the time after which the caller should try again.
func (l *customerLimiter) admit(ctx context.Context) (retryAfter time.Duration, admitted bool) {
	w, retryAfter, admitted := l.trySpend()
	if w == nil {
		return retryAfter, admitted
	}
	timer := time.NewTimer(w.deadline.Sub(l.node.dependencies.Clock.Now()))
	defer timer.Stop()
	for {
		select {
		case admitted = <-w.decided:
			return l.retryAfter(), admitted
		case <-timer.C:
		case <-ctx.Done():
		}
		remaining := l.remainingWait(w)
		if remaining <= 0 || ctx.Err() != nil {
			return l.cancelWaiter(w)
		}
		timer.Reset(remaining)
	}
}

// remainingWait returns how much longer a request waits. Until a lender has
// answered after the request started to wait, no node knows that the customer
// is over its rate, so the request may wait for viewChangeMaxWait.
func (l *customerLimiter) remainingWait(w *waiter) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastAnswerAt.Before(w.startedAt) {
		w.deadline = w.startedAt.Add(viewChangeMaxWait)
	}
	return w.deadline.Sub(l.node.dependencies.Clock.Now())
}

// trySpend spends a token if there is one. Otherwise it returns a waiter, or
// nil if waiting is of no use.
func (l *customerLimiter) trySpend() (w *waiter, retryAfter time.Duration, admitted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.syncOwnership()
	l.bucket.RecordDemand(now, throttler.Token)
	if len(l.waiters) == 0 && l.bucket.Allow(now) {
		return nil, 0, true
	}
	if paused := l.lenders.PauseLeft(now); paused > throttler.MaxTokenWait {
		return nil, max(l.bucket.TimeToNextToken(now), paused, rateLimitRetryAfter), false
	}
	maxWait := throttler.MaxTokenWait
	if now.Sub(l.viewChangedAt) < viewChangeGrace {
		maxWait = viewChangeMaxWait
	}
	w = &waiter{decided: make(chan bool, 1), startedAt: now, deadline: now.Add(maxWait)}
	l.waiters = append(l.waiters, w)
	if !l.requesting {
		l.requesting = true
		go l.requestTokens()
	}
	return w, 0, false
}

// cancelWaiter removes a waiter, unless it was decided in the meantime.
func (l *customerLimiter) cancelWaiter(w *waiter) (retryAfter time.Duration, admitted bool) {
	l.mu.Lock()
	l.waiters = slices.DeleteFunc(l.waiters, func(v *waiter) bool { return v == w })
	l.mu.Unlock()
	select {
	case admitted = <-w.decided:
	default:
	}
	return l.retryAfter(), admitted
}

// retryAfter returns the time after which a caller over its rate should try
// again.
func (l *customerLimiter) retryAfter() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.node.dependencies.Clock.Now()
	return max(l.bucket.TimeToNextToken(now), l.lenders.PauseLeft(now), rateLimitRetryAfter)
}

// requestTokens requests tokens from lenders until no request waits.
func (l *customerLimiter) requestTokens() {
	var tried []string
	for {
		name, request, pause, done := l.nextLoanRequest(tried)
		switch {
		case done:
			return
		case pause > 0:
			tried = nil
			time.Sleep(pause)
			continue
		}
		tried = append(tried, name)
		if l.requestLoan(name, request, tokenRequestTimeout) {
			tried = nil
		}
	}
}

// nextLoanRequest admits the waiters for which there are tokens and returns
// the next lender and the request to it, or the time to pause when all lenders
// were tried without success.
func (l *customerLimiter) nextLoanRequest(tried []string) (name string, request throttler.LoanRequest, pause time.Duration, done bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.syncOwnership()
	l.admitWaiters(now)
	if len(l.waiters) == 0 {
		l.requesting = false
		return "", throttler.LoanRequest{}, 0, true
	}
	if paused := l.lenders.PauseLeft(now); paused > 0 {
		return "", throttler.LoanRequest{}, paused, false
	}
	name, found := l.lenders.Next(now, tried)
	if !found {
		l.pauseRequests(now)
		return "", throttler.LoanRequest{}, l.lenders.PauseLeft(now), false
	}
	return name, throttler.LoanRequest{OnDemandTokens: throttler.MilliTokens(len(l.waiters)) * throttler.Token}, 0, false
}

// requestLoan sends a loan request to a member and applies its answer. It
// returns false if the answer brought no tokens.
func (l *customerLimiter) requestLoan(name string, request throttler.LoanRequest, timeout time.Duration) (granted bool) {
	sentAt := l.node.dependencies.Clock.Now()
	grant, err := l.node.sendLoanRequest(name, l.customer, request, timeout)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.syncOwnership()
	if err != nil {
		l.lenders.MarkUnresponsive(now, name)
		return false
	}
	l.lastAnswerAt = now
	l.lenders.RecordTokens(name, grant.LenderTokens)
	if l.shortestLenderWait == 0 || grant.TimeToNextToken > 0 && grant.TimeToNextToken < l.shortestLenderWait {
		l.shortestLenderWait = grant.TimeToNextToken
	}
	l.bucket.ApplyGrant(now, sentAt, request, grant)
	l.admitWaiters(now)
	return grant.OnDemandTokens > 0
}

// admitWaiters admits the waiting requests for which there are tokens.
func (l *customerLimiter) admitWaiters(now time.Time) {
	for len(l.waiters) > 0 && l.bucket.Allow(now) {
		l.waiters[0].decided <- true
		l.waiters = l.waiters[1:]
	}
}

// pauseRequests pauses token requests until a lender expects a token. Waiters
// whose deadline is earlier are refused at once.
func (l *customerLimiter) pauseRequests(now time.Time) {
	wait := l.bucket.TimeToNextToken(now)
	if wait == 0 || l.shortestLenderWait > 0 && l.shortestLenderWait < wait {
		wait = l.shortestLenderWait
	}
	l.shortestLenderWait = 0
	if now.Sub(l.viewChangedAt) < viewChangeGrace {
		wait = throttler.MaxTokenWait
	}
	l.lenders.Pause(now, wait)
	resumeAt := now.Add(l.lenders.PauseLeft(now))
	l.waiters = slices.DeleteFunc(l.waiters, func(w *waiter) bool {
		if w.deadline.Before(resumeAt) {
			w.decided <- false
			return true
		}
		return false
	})
}

// maintain starts and ends tenures in time and renews a borrowed share.
func (l *customerLimiter) maintain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.syncOwnership()
	l.startHandovers()
	request, due := l.bucket.NextLoanRequest(now, l.isDomainLender)
	if !due {
		return
	}
	owner, found := l.node.membership.ownership.Owner(l.resource)
	if !found || owner.IsSelf {
		return
	}
	go l.requestLoan(owner.Member.Name, request, shareRenewalTimeout)
}

// lend answers a node that requests a share or tokens.
func (l *customerLimiter) lend(request throttler.LoanRequest) throttler.Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bucket.Lend(l.syncOwnership(), request)
}

// syncOwnership starts or ends the node's tenure according to the current
// ownership and returns the time of this check. It must be called before each use
// of the bucket.
func (l *customerLimiter) syncOwnership() (now time.Time) {
	now = l.node.dependencies.Clock.Now()
	l.updateLenders()
	current, owned := l.node.tracker.CurrentPeriod(l.resource)
	limit := limitOf(l.node.index.Load().Customer(l.customer))
	if !owned || limit == (throttler.Limit{}) || !l.node.membership.ownership.MayUse(now, l.resource) {
		l.endTenure(now)
		return now
	}
	if !l.bucket.IsHolder() || l.periodStartOffset != current.StartOffset {
		l.beginTenure(now, limit, current)
		return now
	}
	l.bucket.UpdateTenure(now, limit, l.tenureStartedAt, l.tenureID, throttler.TenureStart{})
	return now
}

// beginTenure starts a tenure in an ownership period. An earlier tenure in the
// same period is resumed, because no other node held the customer's rate limit in
// between.
func (l *customerLimiter) beginTenure(now time.Time, limit throttler.Limit, current tracker.OwnershipPeriod) {
	l.endTenure(now)
	l.updateHandovers()
	resumed := l.periodStartOffset == current.StartOffset
	l.tenureID = rand.Uint64() | 1
	l.tenureStartedAt = now
	l.periodStartOffset = current.StartOffset
	start := throttler.TenureStart{LimitUnchanged: now.Sub(l.node.manifestReceivedAt()) > limitSettleTime}
	period := l.handovers.find(current.StartOffset)
	if period == nil || period.content == nil {
		start.FirstTenure = current.IsNewResource && !resumed
		l.bucket.UpdateTenure(now, limit, now, l.tenureID, start)
		return
	}
	start.FirstTenure = period.content.Unused
	l.bucket.UpdateTenure(now, limit, now, l.tenureID, start)
	if !start.FirstTenure {
		l.bucket.ApplyHandover(now, *period.content)
	}
	period.content = nil
	period.received = true
}

// endTenure ends the tenure, if there is one, and keeps the content of the bucket
// for the next tenure or the next holder.
func (l *customerLimiter) endTenure(now time.Time) {
	content, held := l.bucket.HandOver(now)
	if !held {
		return
	}
	l.updateHandovers()
	if period := l.handovers.find(l.periodStartOffset); period != nil {
		period.content = &content
		period.received = true
	}
}

func (l *customerLimiter) updateHandovers() {
	l.handovers.update(l.node.tracker.OwnershipPeriods(l.resource), throttler.HandoverState{Unused: true})
}

// receiveHandover accepts the content from the holder before the period that
// began at startOffset in the log. It returns false while the node does not
// know that it is that holder's successor.
func (l *customerLimiter) receiveHandover(startOffset uint64, sender holder.Identity, content throttler.HandoverState) (accepted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.syncOwnership()
	l.updateHandovers()
	period := l.handovers.findFrom(startOffset, sender)
	if period == nil {
		return false
	}
	if period.received {
		return true
	}
	period.received = true
	if l.bucket.IsHolder() && l.periodStartOffset == startOffset {
		l.bucket.ApplyHandover(now, content)
		return true
	}
	period.content = &content
	return true
}

// handoversDone reports whether the node does not hold the rate limit and has
// no content left to hand over.
func (l *customerLimiter) handoversDone() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.syncOwnership()
	l.startHandovers()
	return !l.bucket.IsHolder() && !l.handovers.pending()
}

// startHandovers sends the content of ended periods to the next holders.
func (l *customerLimiter) startHandovers() {
	l.updateHandovers()
	for _, period := range l.handovers.startDue() {
		endedPeriod, content := period.OwnershipPeriod, *period.content
		go func() {
			accepted := l.node.sendLimitHandover(endedPeriod, l.customer, content)
			l.mu.Lock()
			defer l.mu.Unlock()
			period.sending = false
			period.sent = accepted
		}()
	}
}

// updateLenders chooses the nodes to request tokens from in the current view:
// the domain lender in the node's failure domain first, the holder last.
func (l *customerLimiter) updateLenders() {
	index := l.node.index.Load()
	if l.viewOffset == index.State.ViewOffset && l.configVersion == index.State.ConfigVersion {
		return
	}
	if l.viewOffset != index.State.ViewOffset {
		l.viewChangedAt = l.node.dependencies.Clock.Now()
	}
	l.viewOffset, l.configVersion = index.State.ViewOffset, index.State.ConfigVersion
	order := holder.ViewOf(index.State).OwnerCandidates(l.resource)
	if len(order) == 0 {
		return
	}
	domainLenders := domainLendersOf(order, throttler.DomainLenderCount(limitOf(index.Customer(l.customer)), len(order)))
	rand.Shuffle(len(domainLenders), func(i, j int) { domainLenders[i], domainLenders[j] = domainLenders[j], domainLenders[i] })
	l.isDomainLender = false
	var names []string
	for _, m := range domainLenders {
		switch {
		case m.Name == l.node.self.Name:
			l.isDomainLender = true
		case m.Domain == l.node.self.Domain:
			names = slices.Insert(names, 0, m.Name)
		default:
			names = append(names, m.Name)
		}
	}
	if order[0].Name != l.node.self.Name {
		names = append(names, order[0].Name)
	}
	l.lenders.Names = names
}
