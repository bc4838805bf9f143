// Package admitter turns HTTP requests from callers and from the local backend
// server into calls. It resolves the route and the customer, charges the
// customer's rate limit and picks the service of a weighted route.
package admitter

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/flamingotack/flamingotack/internal/acceptor"
	"github.com/flamingotack/flamingotack/internal/attributor"
	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/drainer"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/meter"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
	"github.com/flamingotack/flamingotack/internal/validator"
)

const (
	// notReadyRetryAfter is the Retry-After value while the node has no
	// configuration, or none that is valid for the request.
	notReadyRetryAfter = 500 * time.Millisecond
	// drainingRetryAfter is the Retry-After value while the node shuts down.
	// It is short because another node can take the retry.
	drainingRetryAfter = 100 * time.Millisecond
	bearerPrefix       = "Bearer "
)

type (
	// Admitter handles requests. Create it with New. It is safe for concurrent
	// use.
	Admitter struct {
		Settings

		roundRobin  *weightedRoundRobin
		rateReturns *rateReturns
	}

	// Forwarder runs calls on nodes.
	Forwarder interface {
		// Admit reserves capacity for the call chain of a request. It returns
		// a refusal if the chain may not start.
		Admit(c *exchanger.Call) *exchanger.Refusal
		// CancelAdmission cancels the admission of a request that starts no call
		// chain.
		CancelAdmission(c *exchanger.Call)
		// RecordRequest counts a caller's request to a service towards the retry
		// budget.
		RecordRequest(service string)
		// MeanRunTime returns the mean time of a run of a route; 0 if it is not known.
		MeanRunTime(route string) time.Duration
		// Forward runs a call on one of the nodes of its service and returns
		// either a reply or a refusal.
		Forward(ctx context.Context, c *exchanger.Call, r *director.Route) (*exchanger.Reply, *exchanger.Refusal)
	}

	// Meter counts requests.
	Meter interface {
		// Observe records a finished request.
		Observe(s meter.Sample)
	}

	// RateLimiter enforces the rate limits of customers.
	RateLimiter interface {
		// Charge takes one token from the customer and returns false if the
		// customer is over its rate.
		Charge(ctx context.Context, c *director.Customer) (admitted bool)
		// Ready reports whether a customer that Charge refuses is over its rate. Before
		// that, the node does not know its share of the rate.
		Ready() bool
		// Refund returns the token of a request that did not run.
		Refund(c *director.Customer)
	}

	// Settings holds the dependencies of an Admitter. No field is nil.
	Settings struct {
		// Clock returns the current time.
		Clock timekeeper.Clock
		// CountCall counts a call to a route that the local backend server makes
		// in a run that is not known.
		CountCall func(route string)
		// Drain returns the schedule of the node's stop.
		Drain func() drainer.Drain
		// HeaderNames are the names of the header fields.
		HeaderNames exchanger.HeaderNames
		// Forwarder runs the calls.
		Forwarder Forwarder
		// Logger logs the outcome of each request.
		Logger *logger.Logger
		// Meter counts the requests.
		Meter Meter
		// RateLimiter enforces the rate limits of customers.
		RateLimiter RateLimiter
		// Runs holds the runs on the local backend server, which make calls.
		Runs *attributor.Attributor
		// LocalService is the service of the local backend server.
		LocalService string
		// Table returns the active configuration.
		Table func() *director.Table
	}

	// resolvedCall is a call with the customer and the route of its request.
	// The customer is nil for a request without a valid key.
	resolvedCall struct {
		call     *exchanger.Call
		customer *director.Customer
		route    *director.Route
	}
)

// New returns an Admitter.
func New(s Settings) *Admitter {
	return &Admitter{Settings: s, roundRobin: newWeightedRoundRobin(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))), rateReturns: newRateReturns()}
}

// Handle runs a request and returns its response. Errors become responses too.
func (a *Admitter) Handle(ctx context.Context, r *acceptor.Request) *acceptor.Response {
	rc, refusal := a.resolve(r)
	if refusal != nil {
		a.Meter.Observe(meter.Sample{Root: true, Refusal: refusal, Elapsed: a.Clock.Now().Sub(r.ArrivedAt)})
		a.Logger.LogDecision(withRefusal(logger.Decision{
			Request:       r.Header.Get(a.HeaderNames.AttemptID),
			Outcome:       "request refused at admission",
			ConfigVersion: a.Table().State.Version(),
			Elapsed:       a.Clock.Now().Sub(r.ArrivedAt),
		}, refusal))
		return a.refusalResponse(r.Header.Get(a.HeaderNames.AttemptID), refusal)
	}
	reply, refusal := a.run(ctx, rc)
	if refusal != nil && refusal.Ran == exchanger.RanNo && exchanger.Stopping(ctx) {
		refusal = drainingRefusal()
	}
	a.observe(rc, reply, refusal, a.Clock.Now().Sub(r.ArrivedAt))
	decision := logger.Decision{
		Request:       rc.call.ID,
		Route:         rc.route.Name,
		Service:       rc.call.Service,
		Customer:      rc.call.Customer,
		ConfigVersion: a.Table().State.Version(),
		Elapsed:       a.Clock.Now().Sub(r.ArrivedAt),
		TimeLeft:      rc.call.Deadline.Sub(a.Clock.Now()),
	}
	if refusal != nil {
		decision.Outcome = "request refused"
		a.Logger.LogDecision(withRefusal(decision, refusal))
		return a.refusalResponse(rc.call.ID, refusal)
	}
	decision.Outcome, decision.Status, decision.Node = "request answered", reply.Status, reply.ServerNode
	a.Logger.LogDecision(decision)
	return &acceptor.Response{Status: reply.Status, Header: reply.Header, Body: reply.Body, MoreBody: reply.MoreBody}
}

// observe records a finished request.
func (a *Admitter) observe(rc *resolvedCall, reply *exchanger.Reply, refusal *exchanger.Refusal, elapsed time.Duration) {
	sample := meter.Sample{
		Service:          rc.call.Service,
		Customer:         rc.call.Customer,
		Priority:         rc.call.Priority,
		Root:             !rc.call.Nested,
		Refusal:          refusal,
		Elapsed:          elapsed,
		LatencyObjective: rc.route.LatencyObjective,
	}
	if reply != nil {
		sample.Status = reply.Status
	}
	a.Meter.Observe(sample)
}

// withRefusal returns d with the fields of a refusal.
func withRefusal(d logger.Decision, r *exchanger.Refusal) logger.Decision {
	d.Status, d.Reason, d.Ran, d.Detail = r.Status, string(r.Reason), string(r.Ran), r.Detail
	return d
}

// resolve returns the call, the customer and the route of a request. It does not
// block.
func (a *Admitter) resolve(r *acceptor.Request) (*resolvedCall, *exchanger.Refusal) {
	table := a.Table()
	if !table.HasConfig() {
		return nil, notReadyRefusal("the node has no configuration yet")
	}
	route := table.MatchRoute(r.Host, r.RequestURI)
	switch {
	case route != nil && route.Unusable:
		return nil, notReadyRefusal("the configuration of the route is invalid")
	case route == nil && table.Omitted().Routes > 0:
		return nil, notReadyRefusal("the request may belong to a route whose configuration is invalid")
	case route == nil:
		return nil, exchanger.NotRun(http.StatusNotFound, exchanger.ReasonRouteUnknown, "no route for %s%s", r.Host, r.RequestURI)
	}
	id := r.Header.Get(a.HeaderNames.AttemptID)
	if id == "" {
		return nil, exchanger.NotRun(http.StatusBadRequest, exchanger.ReasonHeaders, "the request has no %s field", a.HeaderNames.AttemptID)
	}
	customer, refusal := authenticate(table, route, r.Header)
	if refusal != nil {
		return nil, refusal
	}
	call := a.newCall(r, id, route, customer)
	if !a.hasTimeFor(call) {
		return nil, drainingRefusal()
	}
	return &resolvedCall{call: call, customer: customer, route: route}, nil
}

// hasTimeFor reports whether the node, if it stops, can still have the call answered.
func (a *Admitter) hasTimeFor(call *exchanger.Call) bool {
	drain, now := a.Drain(), a.Clock.Now()
	if drain.Lingers(now) {
		return true
	}
	return drain.Accepts(now, drainer.Request{
		Call:        call,
		InRun:       call.Nested && a.Runs.MayBeInRun(call.ID),
		MeanRunTime: a.Forwarder.MeanRunTime(call.Route),
	})
}

// authenticate returns the customer whose key is in the Authorization header. It
// returns nil if keys are not in use, and on an open route without a valid key.
func authenticate(t *director.Table, route *director.Route, h http.Header) (*director.Customer, *exchanger.Refusal) {
	if !t.RequiresKeys() {
		return nil, nil
	}
	text := h.Get("Authorization")
	key, found := strings.CutPrefix(text, bearerPrefix)
	if !found && len(text) > len(bearerPrefix) && strings.EqualFold(text[:len(bearerPrefix)], bearerPrefix) {
		key, found = text[len(bearerPrefix):], true
	}
	if found {
		if owner := t.CustomerByKey(strings.TrimSpace(key)); owner != nil {
			return owner, nil
		}
	}
	switch {
	case route.AllowAnonymous:
		return nil, nil
	case !found:
		return nil, exchanger.NotRun(http.StatusUnauthorized, exchanger.ReasonKeyMissing, "route %s needs a key", route.Name)
	case t.Omitted().Customers > 0:
		return nil, notReadyRefusal("the key may belong to a customer whose configuration is invalid")
	default:
		return nil, exchanger.NotRun(http.StatusUnauthorized, exchanger.ReasonKeyUnknown, "the key belongs to no customer")
	}
}

// notReadyRefusal returns the refusal of a request that a later configuration may allow.
func notReadyRefusal(detail string) *exchanger.Refusal {
	refusal := exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonNotReady, "%s", detail)
	refusal.RetryAfter = notReadyRetryAfter
	return refusal
}

// drainingRefusal returns the refusal of a request that did not run because the node stops.
func drainingRefusal() *exchanger.Refusal {
	refusal := exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonDraining, "the node stops")
	refusal.RetryAfter = drainingRetryAfter
	return refusal
}

// newCall converts a request to a call.
func (a *Admitter) newCall(r *acceptor.Request, id string, route *director.Route, customer *director.Customer) *exchanger.Call {
	callerTimeout := a.callerTimeout(r.Header, route)
	call := &exchanger.Call{
		ID:            id,
		Service:       a.roundRobin.next(route),
		Route:         route.Name,
		Method:        r.Method,
		Target:        requestTarget(r),
		Host:          r.Host,
		Header:        r.Header,
		Body:          r.Content,
		MoreBody:      r.MoreContent,
		CallerService: a.LocalService,
		Priority:      director.ClampPriority(route.Priority),
		RoutePriority: director.ClampPriority(route.Priority),
		Deadline:      r.ArrivedAt.Add(min(route.Timeout, callerTimeout)),
		Nested:        route.AllowAnonymous && customer == nil,
		Idempotent:    route.Kind == director.RouteKindIdempotent,
	}
	call.CallerDeadline = r.ArrivedAt.Add(callerTimeout)
	call.ChainKnown = !call.Nested
	call.ObjectiveDeadline = r.ArrivedAt.Add(route.LatencyObjective)
	if customer != nil {
		call.Customer, call.ChainCustomer = customer.Name, customer.Name
		if customer.Priority != nil {
			call.Priority = director.ClampPriority(*customer.Priority)
		}
	}
	exchanger.StripHopByHop(call.Header)
	delete(call.Header, "Authorization")
	delete(call.Header, "Expect")
	delete(call.Header, "Content-Length")
	for _, name := range []string{a.HeaderNames.Customer, a.HeaderNames.CallerService, a.HeaderNames.ExpectedInstance, a.HeaderNames.Deadline, a.HeaderNames.AttemptID} {
		delete(call.Header, name)
	}
	return call
}

// callerTimeout returns how long the caller waits; the route's timeout if it does not say or
// says what is no duration.
func (a *Admitter) callerTimeout(h http.Header, route *director.Route) time.Duration {
	millis, err := strconv.ParseFloat(h.Get(a.HeaderNames.Deadline), 64)
	if err != nil || millis <= 0 {
		return route.Timeout
	}
	timeout, err := validator.Duration(millis, time.Millisecond)
	if err != nil {
		return route.Timeout
	}
	return timeout
}

// rateRefusal returns the refusal for a customer that is over its rate. Retry-After
// is at least the time until the next token. If the rate allows it, a retry can still
// meet the latency objective.
func (a *Admitter) rateRefusal(rc *resolvedCall) *exchanger.Refusal {
	refusal := exchanger.NotRun(http.StatusTooManyRequests, exchanger.ReasonRate, "customer %q is over its rate", rc.customer.Name)
	now := a.Clock.Now()
	refusal.RetryAfter = a.rateReturns.retryAfter(now, rc.customer.Name, rc.customer.RatePerSecond, rc.call.ObjectiveDeadline.Sub(now), rand.Float64())
	return refusal
}

// refusalResponse converts a refusal to a response. Retry-After is set only if the
// request did not run.
func (a *Admitter) refusalResponse(id string, r *exchanger.Refusal) *acceptor.Response {
	h := http.Header{"Content-Type": {"text/plain"}}
	if id != "" {
		h[a.HeaderNames.AttemptID] = []string{id}
	}
	if r.RetryAfter > 0 && r.Ran == exchanger.RanNo {
		h["Retry-After"] = []string{strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64)}
	}
	return &acceptor.Response{Status: r.Status, Header: h, Body: []byte(string(r.Reason) + "\n")}
}

// run charges the customer and runs the call. It refunds the token if the call did
// not run.
func (a *Admitter) run(ctx context.Context, rc *resolvedCall) (reply *exchanger.Reply, refusal *exchanger.Refusal) {
	if rc.call.Nested {
		run := a.Runs.StartCall(a.Clock.Now(), rc.call.ID, rc.call.Route)
		if run != nil {
			inheritChain(rc.call, run.Call)
		} else {
			a.CountCall(rc.call.Route)
		}
		defer func() {
			failed := reply == nil || reply.Status >= http.StatusInternalServerError
			a.Runs.EndCall(a.Clock.Now(), run, failed)
		}()
	} else {
		a.Forwarder.RecordRequest(rc.call.Service)
		// Admit before charging: tokens may be borrowed from other nodes, so a
		// refused chain must not take any.
		if refusal := a.Forwarder.Admit(rc.call); refusal != nil {
			return nil, refusal
		}
	}
	if rc.customer != nil && rc.customer.RatePerSecond > 0 {
		if refusal := a.charge(ctx, rc); refusal != nil {
			if !rc.call.Nested {
				a.Forwarder.CancelAdmission(rc.call)
			}
			return nil, refusal
		}
	}
	reply, refusal = a.Forwarder.Forward(ctx, rc.call, rc.route)
	if refusal != nil && refusal.Ran == exchanger.RanNo && rc.customer != nil && rc.customer.RatePerSecond > 0 {
		a.RateLimiter.Refund(rc.customer)
	}
	return reply, refusal
}

// charge charges the customer of a request and returns the refusal if that fails.
func (a *Admitter) charge(ctx context.Context, rc *resolvedCall) *exchanger.Refusal {
	ready := a.RateLimiter.Ready()
	charged := a.RateLimiter.Charge(ctx, rc.customer)
	if !charged && !ready {
		return notReadyRefusal("the node does not know the other nodes that hold the rate")
	}
	a.rateReturns.count(a.Clock.Now(), rc.customer.Name, !charged)
	if !charged {
		return a.rateRefusal(rc)
	}
	return nil
}

// inheritChain gives a nested call what the run that makes it knows of the chain.
func inheritChain(c, caller *exchanger.Call) {
	if !caller.ChainKnown {
		return
	}
	c.Priority, c.RoutePriority = caller.Priority, caller.RoutePriority
	c.ChainCustomer, c.ChainKnown = caller.ChainCustomer, true
}

// requestTarget returns the path and query as the caller sent them.
func requestTarget(r *acceptor.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") || r.RequestURI == "*" {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}
