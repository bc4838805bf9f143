// Package admitter turns the HTTP requests of callers and of the backend
// server beside the node into calls: it finds route and customer, charges the
// customer's rate and picks the part of a weighted route.
package admitter

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/flamingotack/flamingotack/internal/acceptor"
	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/meter"
	"github.com/flamingotack/flamingotack/internal/retrier"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// notReadyRetry is how long a caller should wait while the node has no
	// configuration.
	notReadyRetry = 500 * time.Millisecond
	// leavingRetry is how long a caller should wait, at another node, when
	// this one is about to end.
	leavingRetry = 100 * time.Millisecond
	bearer       = "Bearer "
)

type (
	// Admitter answers requests. Make it by New. It is safe for concurrent
	// use.
	Admitter struct {
		Settings

		dealer *dealer
	}

	// Forwarder runs calls on nodes.
	Forwarder interface {
		// Admit reports whether a request may begin its chain of calls.
		Admit(c *exchanger.Call) *exchanger.Refusal
		// Retract takes back the admission of a request that does not begin it.
		Retract(c *exchanger.Call)
		// Earn counts a request of a caller for a service.
		Earn(service string)
		// Forward runs a call on one of the nodes of its service.
		Forward(ctx context.Context, c *exchanger.Call, r *director.Route) (*exchanger.Reply, *exchanger.Refusal)
	}

	// Meter counts requests.
	Meter interface {
		// Observe takes a request that has ended.
		Observe(s meter.Sample)
	}

	// Rates charge the rates of customers.
	Rates interface {
		// Charge takes a token of the customer; false when it is over its
		// rate.
		Charge(ctx context.Context, c *director.Customer) (admitted bool)
		// Refund gives back the token of a request that has not run.
		Refund(c *director.Customer)
	}

	// Settings are what an Admitter works with. No field is nil.
	Settings struct {
		// Clock tells the time.
		Clock timekeeper.Clock
		// Called is told the route of each call of the own backend server.
		Called func(route string)
		// Dialect names the header fields.
		Dialect exchanger.Dialect
		// Forwarder runs the calls.
		Forwarder Forwarder
		// Logger takes the decisions.
		Logger *logger.Logger
		// Meter counts the requests.
		Meter Meter
		// Rates charge the customers.
		Rates Rates
		// Leaving tells that the node is about to end and takes no request that
		// begins a chain.
		Leaving func() bool
		// Service is that of the own backend server.
		Service string
		// Table returns the configuration in force.
		Table func() *director.Table
	}

	// admission is a request on its way to a call.
	admission struct {
		call     *exchanger.Call
		customer *director.Customer
		route    *director.Route
	}
)

// New returns an Admitter.
func New(s Settings) *Admitter {
	return &Admitter{Settings: s, dealer: newDealer(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))}
}

// Handle answers a request.
func (a *Admitter) Handle(ctx context.Context, r *acceptor.Request) *acceptor.Response {
	n, refusal := a.admit(r)
	if refusal != nil {
		a.Meter.Observe(meter.Sample{Root: true, Refusal: refusal, Elapsed: a.Clock.Now().Sub(r.Arrived)})
		a.Logger.LogDecision(refused(logger.Decision{
			Request:       r.Header.Get(a.Dialect.Attempt),
			Outcome:       "Refuses at the door.",
			ConfigVersion: a.Table().State.Version(),
			Elapsed:       a.Clock.Now().Sub(r.Arrived),
		}, refusal))
		return a.refuse(r.Header.Get(a.Dialect.Attempt), refusal)
	}
	reply, refusal := a.run(ctx, n)
	a.observe(n, reply, refusal, a.Clock.Now().Sub(r.Arrived))
	d := logger.Decision{
		Request:       n.call.ID,
		Route:         n.route.Name,
		Service:       n.call.Service,
		Customer:      n.call.Customer,
		ConfigVersion: a.Table().State.Version(),
		Elapsed:       a.Clock.Now().Sub(r.Arrived),
		TimeLeft:      n.call.Deadline.Sub(a.Clock.Now()),
	}
	if refusal != nil {
		d.Outcome = "Refuses."
		a.Logger.LogDecision(refused(d, refusal))
		return a.refuse(n.call.ID, refusal)
	}
	d.Outcome, d.Status, d.Node = "Answers.", reply.Status, reply.Server
	a.Logger.LogDecision(d)
	return &acceptor.Response{Status: reply.Status, Header: reply.Header, Body: reply.Body}
}

// observe counts a request that has ended.
func (a *Admitter) observe(n *admission, reply *exchanger.Reply, refusal *exchanger.Refusal, elapsed time.Duration) {
	s := meter.Sample{
		Service:          n.call.Service,
		Customer:         n.call.Customer,
		Priority:         n.call.Priority,
		Root:             !n.call.Inner,
		Refusal:          refusal,
		Elapsed:          elapsed,
		LatencyObjective: n.route.Objective,
	}
	if reply != nil {
		s.Status = reply.Status
	}
	a.Meter.Observe(s)
}

// refused completes a decision by a refusal.
func refused(d logger.Decision, r *exchanger.Refusal) logger.Decision {
	d.Status, d.Reason, d.Ran, d.Detail = r.Status, string(r.Reason), string(r.Ran), r.Detail
	return d
}

// admit finds out what the request is for. It takes no time.
func (a *Admitter) admit(r *acceptor.Request) (*admission, *exchanger.Refusal) {
	table := a.Table()
	if !table.Ready() {
		refusal := exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonNotReady, "the node has no configuration yet")
		refusal.RetryAfter = notReadyRetry
		return nil, refusal
	}
	route := table.Route(r.Host, r.RequestURI)
	if route == nil {
		return nil, exchanger.NotRun(http.StatusNotFound, exchanger.ReasonRouteUnknown, "no route for %s%s", r.Host, r.RequestURI)
	}
	id := r.Header.Get(a.Dialect.Attempt)
	if id == "" {
		return nil, exchanger.NotRun(http.StatusBadRequest, exchanger.ReasonHeaders, "the request has no %s field", a.Dialect.Attempt)
	}
	customer, refusal := authenticate(table, route, r.Header)
	if refusal != nil {
		return nil, refusal
	}
	c := a.call(r, id, route, customer)
	if !c.Inner && a.Leaving() {
		refusal := exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonDraining, "the node stops")
		refusal.RetryAfter = leavingRetry
		return nil, refusal
	}
	return &admission{call: c, customer: customer, route: route}, nil
}

// authenticate finds the customer whose key the request bears; nil on an open
// route without a good key.
func authenticate(t *director.Table, route *director.Route, h http.Header) (*director.Customer, *exchanger.Refusal) {
	if !t.Keyed() {
		return nil, nil
	}
	text := h.Get("Authorization")
	key, found := strings.CutPrefix(text, bearer)
	if !found && len(text) > len(bearer) && strings.EqualFold(text[:len(bearer)], bearer) {
		key, found = text[len(bearer):], true
	}
	if found {
		if owner := t.Owner(strings.TrimSpace(key)); owner != nil {
			return owner, nil
		}
	}
	switch {
	case route.Open:
		return nil, nil
	case !found:
		return nil, exchanger.NotRun(http.StatusUnauthorized, exchanger.ReasonKeyMissing, "route %s needs a key", route.Name)
	default:
		return nil, exchanger.NotRun(http.StatusUnauthorized, exchanger.ReasonKeyUnknown, "the key belongs to no customer")
	}
}

// call returns the request as a call.
func (a *Admitter) call(r *acceptor.Request, id string, route *director.Route, customer *director.Customer) *exchanger.Call {
	c := &exchanger.Call{
		ID:         id,
		Service:    a.dealer.deal(route),
		Route:      route.Name,
		Method:     r.Method,
		Target:     target(r),
		Host:       r.Host,
		Header:     r.Header,
		Body:       r.Content,
		Caller:     a.Service,
		Priority:   director.Rank(route.Priority),
		Deadline:   r.Arrived.Add(a.patience(r.Header, route)),
		Inner:      route.Open && customer == nil,
		Repeatable: route.Kind == director.KindIdempotent,
	}
	c.Objective = r.Arrived.Add(route.Objective)
	if customer != nil {
		c.Customer = customer.Name
		if customer.Priority != nil {
			c.Priority = director.Rank(*customer.Priority)
		}
	}
	exchanger.Strip(c.Header)
	delete(c.Header, "Authorization")
	delete(c.Header, "Expect")
	delete(c.Header, "Content-Length")
	for _, name := range []string{a.Dialect.Customer, a.Dialect.Caller, a.Dialect.Expected, a.Dialect.Deadline, a.Dialect.Attempt} {
		delete(c.Header, name)
	}
	return c
}

// patience returns how long the caller may be kept waiting.
func (a *Admitter) patience(h http.Header, route *director.Route) time.Duration {
	millis, err := strconv.ParseFloat(h.Get(a.Dialect.Deadline), 64)
	if err != nil || millis <= 0 {
		return route.Timeout
	}
	return min(route.Timeout, time.Duration(millis*float64(time.Millisecond)))
}

// overRate refuses a request of a customer over its rate, which should come back
// when there is another token, yet in time if it can.
func (a *Admitter) overRate(n *admission) *exchanger.Refusal {
	refusal := exchanger.NotRun(http.StatusTooManyRequests, exchanger.ReasonRate, "customer %q is over its rate", n.customer.Name)
	token := time.Duration(float64(time.Second) / n.customer.Rate)
	comeBack := retrier.ComeBack(n.call.Objective.Sub(a.Clock.Now()), rand.Float64())
	refusal.RetryAfter = max(token, comeBack)
	return refusal
}

func (a *Admitter) refuse(id string, r *exchanger.Refusal) *acceptor.Response {
	h := http.Header{"Content-Type": {"text/plain"}}
	if id != "" {
		h[a.Dialect.Attempt] = []string{id}
	}
	if r.RetryAfter > 0 && r.Ran == exchanger.RanNo {
		h["Retry-After"] = []string{strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64)}
	}
	return &acceptor.Response{Status: r.Status, Header: h, Body: []byte(string(r.Reason) + "\n")}
}

// run charges the customer and runs the call.
func (a *Admitter) run(ctx context.Context, n *admission) (*exchanger.Reply, *exchanger.Refusal) {
	if n.call.Inner {
		a.Called(n.call.Route)
	} else {
		a.Forwarder.Earn(n.call.Service)
		// Tokens of a rate are borrowed from other nodes, so what does not begin
		// takes none.
		if refusal := a.Forwarder.Admit(n.call); refusal != nil {
			return nil, refusal
		}
	}
	if n.customer != nil && n.customer.Rate > 0 {
		if !a.Rates.Charge(ctx, n.customer) {
			if !n.call.Inner {
				a.Forwarder.Retract(n.call)
			}
			return nil, a.overRate(n)
		}
	}
	reply, refusal := a.Forwarder.Forward(ctx, n.call, n.route)
	if refusal != nil && refusal.Ran == exchanger.RanNo && n.customer != nil && n.customer.Rate > 0 {
		a.Rates.Refund(n.customer)
	}
	return reply, refusal
}

// target returns path and query as the caller sent them.
func target(r *acceptor.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") || r.RequestURI == "*" {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}
