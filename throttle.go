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
	// keepPeriod is how often a node looks after the rates and the keys that
	// it holds or has borrowed.
	keepPeriod = 100 * time.Millisecond
	// rateRetry is what a caller over its rate is told when it is not known
	// when the next token comes.
	rateRetry = time.Second
)

// throttle is the filter that holds customers to their rate over all nodes.
type throttle struct {
	node *Node
	next exchanger.Handler

	mu       sync.Mutex
	accounts map[string]*account
}

func newThrottle(n *Node, next exchanger.Handler) *throttle {
	return &throttle{node: n, next: next, accounts: map[string]*account{}}
}

// Handle charges a request that starts a chain.
func (t *throttle) Handle(ctx context.Context, r *exchanger.Request) (*exchanger.Answer, error) {
	if r.Depth > 0 || r.Customer == "" {
		return t.next.Handle(ctx, r)
	}
	c := t.node.index.Load().Customer(r.Customer)
	if c == nil {
		return nil, exchanger.NotRun(http.StatusUnauthorized, exchanger.ReasonKeyUnknown, "customer %q is unknown", r.Customer)
	}
	a := t.account(c.Name)
	if retry, admitted := a.admit(ctx); !admitted {
		refusal := a.refusal()
		refusal.RetryAfter = retry
		return nil, refusal
	}
	return t.next.Handle(ctx, r)
}

// keep looks after all accounts until ctx ends.
func (t *throttle) keep(ctx context.Context) error {
	for ctx.Err() == nil {
		t.keepOnce()
		t.node.awaitKeep(ctx)
	}
	return nil
}

// keepOnce opens the accounts of the customers that the node holds, so that
// each tenure begins and ends in time, and renews what it has borrowed.
func (t *throttle) keepOnce() {
	x := t.node.index.Load()
	if x == nil || x.State.Manifest == nil {
		return
	}
	for i := range x.State.Manifest.Customers {
		name := x.State.Manifest.Customers[i].Name
		if len(t.node.tracker.Tenures(rateResource(name))) > 0 {
			t.account(name)
		}
	}
	for _, a := range t.list() {
		a.keep()
	}
}

// idle reports whether no books of an ended tenure wait to be passed on.
func (t *throttle) idle() bool {
	for _, a := range t.list() {
		if !a.idle() {
			return false
		}
	}
	return true
}

func (t *throttle) account(customer string) *account {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.accounts[customer]
	if a == nil {
		a = newAccount(t.node, customer)
		t.accounts[customer] = a
	}
	return a
}

func (t *throttle) list() []*account {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*account, 0, len(t.accounts))
	for _, a := range t.accounts {
		list = append(list, a)
	}
	return list
}

// limitOf returns the limit of a customer; zero for an unknown one.
func limitOf(c *parser.Customer) throttler.Limit {
	if c == nil {
		return throttler.Limit{}
	}
	return throttler.NewLimit(c.RatePerSecond, c.BurstRequests)
}

func rateResource(customer string) holder.Resource {
	return holder.Resource{Name: "rate/" + customer}
}
