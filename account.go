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
	// lendTimeout is how long a lender may take to answer.
	lendTimeout = 100 * time.Millisecond
	// moveTime is how long after a change of the membership requests wait for
	// a new holder, each for at most moveWait.
	moveTime = 2 * time.Second
	moveWait = 500 * time.Millisecond
	// toldLife is how long the word of a lender that has no token counts.
	toldLife = time.Second
	// renewTimeout is how long the holder may take to renew a share.
	renewTimeout = 400 * time.Millisecond
)

type (
	// account is what the node has of one customer's rate.
	account struct {
		node     *Node
		customer string
		resource holder.Resource

		mu      sync.Mutex
		bucket  *throttler.Bucket
		lenders throttler.LenderList
		// deputy says that other nodes ask this one for tokens.
		deputy bool
		// view and version are those that the lenders were found for.
		view, version uint64
		// since and tenure name the present or last tenure.
		since  uint64
		tenure uint64
		begun  time.Time
		// books are those of tenures that are not in use.
		books succession[throttler.HandoverState]

		waiting []*waiter
		asking  bool
		// moved is when the membership last changed.
		moved time.Time
		// heard is when a lender last answered.
		heard time.Time
		// wait is when a lender expects a token, at the earliest.
		wait time.Duration
	}

	// waiter is a request that waits for a token.
	waiter struct {
		// decided takes one value: whether there was a token.
		decided chan bool
		since   time.Time
		until   time.Time
	}
)

// unheard reports whether nobody who knows the customer's rate has said lately
// that it is used up.
func (a *account) unheard() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.bucket.IsHolder() && a.node.edges.Clock.Now().Sub(a.heard) > toldLife
}

// refusal returns the refusal of a request that got no token: the customer is
// over its rate only if somebody who knows says so.
func (a *account) refusal() *exchanger.Refusal {
	if a.unheard() {
		return exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonUnreachable, "no node that knows the rate of customer %q answers", a.customer)
	}
	return exchanger.NotRun(http.StatusTooManyRequests, exchanger.ReasonRate, "customer %q is over its rate", a.customer)
}

func newAccount(n *Node, customer string) *account {
	return &account{
		node:     n,
		customer: customer,
		resource: rateResource(customer),
		bucket:   throttler.NewBucket(n.edges.Clock.Now()),
	}
}

// admit spends a token, and waits for one if need be. retry is when the caller
// should come back when there is none.
func (a *account) admit(ctx context.Context) (retry time.Duration, admitted bool) {
	w, retry, admitted := a.spend()
	if w == nil {
		return retry, admitted
	}
	timer := time.NewTimer(w.until.Sub(a.node.edges.Clock.Now()))
	defer timer.Stop()
	for {
		select {
		case admitted = <-w.decided:
			return a.retry(), admitted
		case <-timer.C:
		case <-ctx.Done():
		}
		left := a.patience(w)
		if left <= 0 || ctx.Err() != nil {
			return a.giveUp(w)
		}
		timer.Reset(left)
	}
}

// patience returns how long a request goes on waiting. While no lender has
// answered it, nobody knows that the customer is over its rate.
func (a *account) patience(w *waiter) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.heard.Before(w.since) {
		w.until = w.since.Add(moveWait)
	}
	return w.until.Sub(a.node.edges.Clock.Now())
}

// spend spends a token if there is one; otherwise it returns a waiter, or none
// when waiting is of no use.
func (a *account) spend() (w *waiter, retry time.Duration, admitted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.sync()
	a.bucket.RecordDemand(now, throttler.Token)
	if len(a.waiting) == 0 && a.bucket.Allow(now) {
		return nil, 0, true
	}
	if paused := a.lenders.PauseLeft(now); paused > throttler.MaxTokenWait {
		return nil, max(a.bucket.TimeToNextToken(now), paused, rateRetry), false
	}
	patience := throttler.MaxTokenWait
	if now.Sub(a.moved) < moveTime {
		patience = moveWait
	}
	w = &waiter{decided: make(chan bool, 1), since: now, until: now.Add(patience)}
	a.waiting = append(a.waiting, w)
	if !a.asking {
		a.asking = true
		go a.ask()
	}
	return w, 0, false
}

// giveUp takes a waiter back, unless it was decided at the last moment.
func (a *account) giveUp(w *waiter) (retry time.Duration, admitted bool) {
	a.mu.Lock()
	a.waiting = slices.DeleteFunc(a.waiting, func(v *waiter) bool { return v == w })
	a.mu.Unlock()
	select {
	case admitted = <-w.decided:
	default:
	}
	return a.retry(), admitted
}

// retry returns when a caller over its rate should come back.
func (a *account) retry() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.node.edges.Clock.Now()
	return max(a.bucket.TimeToNextToken(now), a.lenders.PauseLeft(now), rateRetry)
}

// ask asks lenders for tokens until nobody waits any more.
func (a *account) ask() {
	var tried []string
	for {
		name, request, rest, ended := a.nextAsk(tried)
		switch {
		case ended:
			return
		case rest > 0:
			tried = nil
			time.Sleep(rest)
			continue
		}
		tried = append(tried, name)
		if a.askOne(name, request, lendTimeout) {
			tried = nil
		}
	}
}

// nextAsk admits who can be, and returns whom to ask next, or how long to rest
// when all were asked in vain.
func (a *account) nextAsk(tried []string) (name string, request throttler.LoanRequest, rest time.Duration, ended bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.sync()
	a.serve(now)
	if len(a.waiting) == 0 {
		a.asking = false
		return "", throttler.LoanRequest{}, 0, true
	}
	if paused := a.lenders.PauseLeft(now); paused > 0 {
		return "", throttler.LoanRequest{}, paused, false
	}
	name, found := a.lenders.Next(now, tried)
	if !found {
		a.pause(now)
		return "", throttler.LoanRequest{}, a.lenders.PauseLeft(now), false
	}
	return name, throttler.LoanRequest{OnDemandTokens: throttler.MilliTokens(len(a.waiting)) * throttler.Token}, 0, false
}

// askOne sends an ask to a member and takes its answer; false when it brought
// no tokens.
func (a *account) askOne(name string, request throttler.LoanRequest, timeout time.Duration) (lent bool) {
	sent := a.node.edges.Clock.Now()
	grant, err := a.node.lease(name, a.customer, request, timeout)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.sync()
	if err != nil {
		a.lenders.MarkUnresponsive(now, name)
		return false
	}
	a.heard = now
	a.lenders.RecordTokens(name, grant.LenderTokens)
	if a.wait == 0 || grant.TimeToNextToken > 0 && grant.TimeToNextToken < a.wait {
		a.wait = grant.TimeToNextToken
	}
	a.bucket.ApplyGrant(now, sent, request, grant)
	a.serve(now)
	return grant.OnDemandTokens > 0
}

// serve admits the waiting requests for which there are tokens.
func (a *account) serve(now time.Time) {
	for len(a.waiting) > 0 && a.bucket.Allow(now) {
		a.waiting[0].decided <- true
		a.waiting = a.waiting[1:]
	}
}

// pause waits until a lender expects a token. Who can't wait for that long is
// refused at once.
func (a *account) pause(now time.Time) {
	next := a.bucket.TimeToNextToken(now)
	if next == 0 || a.wait > 0 && a.wait < next {
		next = a.wait
	}
	a.wait = 0
	if now.Sub(a.moved) < moveTime {
		next = throttler.MaxTokenWait
	}
	a.lenders.Pause(now, next)
	again := now.Add(a.lenders.PauseLeft(now))
	a.waiting = slices.DeleteFunc(a.waiting, func(w *waiter) bool {
		if w.until.Before(again) {
			w.decided <- false
			return true
		}
		return false
	})
}

// keep begins and ends tenures in time and renews a borrowed share.
func (a *account) keep() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.sync()
	a.pass()
	request, due := a.bucket.NextLoanRequest(now, a.deputy)
	if !due {
		return
	}
	owner, found := a.node.membership.tenure.Owner(a.resource)
	if !found || owner.Self {
		return
	}
	go a.askOne(owner.Member.Name, request, renewTimeout)
}

// lend answers a node that asks for a share or tokens.
func (a *account) lend(request throttler.LoanRequest) throttler.Grant {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bucket.Lend(a.sync(), request)
}

// sync brings the bucket in line with the tenure and returns the time for
// which that holds. It comes before each use of the bucket.
func (a *account) sync() (now time.Time) {
	now = a.node.edges.Clock.Now()
	a.findLenders()
	present, owned := a.node.tracker.Owned(a.resource)
	limit := limitOf(a.node.index.Load().Customer(a.customer))
	if !owned || limit == (throttler.Limit{}) || !a.node.membership.tenure.MayUse(now, a.resource) {
		a.end(now)
		return now
	}
	if !a.bucket.IsHolder() || a.since != present.Since {
		a.begin(now, limit, present)
		return now
	}
	a.bucket.UpdateTenure(now, limit, a.begun, a.tenure, throttler.TenureStart{})
	return now
}

// begin starts a tenure, or goes on with one in which nobody else held the
// customer's rate.
func (a *account) begin(now time.Time, limit throttler.Limit, present tracker.Tenure) {
	a.end(now)
	a.follow()
	again := a.since == present.Since
	a.tenure = rand.Uint64() | 1
	a.begun = now
	a.since = present.Since
	start := throttler.TenureStart{LimitUnchanged: now.Sub(a.node.manifestAt()) > settleTime}
	r := a.books.find(present.Since)
	if r == nil || r.content == nil {
		start.FirstTenure = present.New && !again
		a.bucket.UpdateTenure(now, limit, now, a.tenure, start)
		return
	}
	start.FirstTenure = r.content.Unused
	a.bucket.UpdateTenure(now, limit, now, a.tenure, start)
	if !start.FirstTenure {
		a.bucket.ApplyHandover(now, *r.content)
	}
	r.content = nil
	r.given = true
}

// end closes the books of a tenure.
func (a *account) end(now time.Time) {
	books, held := a.bucket.HandOver(now)
	if !held {
		return
	}
	a.follow()
	if r := a.books.find(a.since); r != nil {
		r.content = &books
		r.given = true
	}
}

func (a *account) follow() {
	a.books.follow(a.node.tracker.Tenures(a.resource), throttler.HandoverState{Unused: true})
}

// inherit takes the books of the holder before the tenure that began at since;
// false while the node does not know that it is its successor.
func (a *account) inherit(since uint64, sender holder.Identity, books throttler.HandoverState) (taken bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.sync()
	a.follow()
	r := a.books.accept(since, sender)
	if r == nil {
		return false
	}
	if r.given {
		return true
	}
	r.given = true
	if a.bucket.IsHolder() && a.since == since {
		a.bucket.ApplyHandover(now, books)
		return true
	}
	r.content = &books
	return true
}

// idle reports whether no books wait to be passed on.
func (a *account) idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sync()
	a.pass()
	return !a.bucket.IsHolder() && !a.books.waiting()
}

// pass hands the books of ended tenures to the next holders.
func (a *account) pass() {
	a.follow()
	for _, r := range a.books.due() {
		tenure, books := r.Tenure, *r.content
		go func() {
			taken := a.node.inherit(tenure, a.customer, books)
			a.mu.Lock()
			defer a.mu.Unlock()
			r.passing = false
			r.passed = taken
		}()
	}
}

// findLenders finds whom to ask for tokens in the present view: the deputy in
// the node's failure domain first, the holder last.
func (a *account) findLenders() {
	x := a.node.index.Load()
	if a.view == x.State.View && a.version == x.State.Version {
		return
	}
	if a.view != x.State.View {
		a.moved = a.node.edges.Clock.Now()
	}
	a.view, a.version = x.State.View, x.State.Version
	order := holder.ViewOf(x.State).Order(a.resource)
	if len(order) == 0 {
		return
	}
	deputies := deputiesOf(order, throttler.DomainLenderCount(limitOf(x.Customer(a.customer)), len(order)))
	rand.Shuffle(len(deputies), func(i, j int) { deputies[i], deputies[j] = deputies[j], deputies[i] })
	a.deputy = false
	var names []string
	for _, m := range deputies {
		switch {
		case m.Name == a.node.self.Name:
			a.deputy = true
		case m.Domain == a.node.self.Domain:
			names = slices.Insert(names, 0, m.Name)
		default:
			names = append(names, m.Name)
		}
	}
	if order[0].Name != a.node.self.Name {
		names = append(names, order[0].Name)
	}
	a.lenders.Names = names
}
