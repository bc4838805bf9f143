package admitter

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/acceptor"
	"github.com/flamingotack/flamingotack/internal/attributor"
	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/drainer"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/meter"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

var headerNames = exchanger.HeaderNames{
	AttemptID: "Attempt", CallerService: "Caller", Customer: "Customer", Deadline: "Deadline", ExpectedInstance: "Expected",
}

type (
	// recordingForwarder records the calls and answers each with a reply or the
	// refusal.
	recordingForwarder struct {
		calls []*exchanger.Call
		// services holds the services that RecordRequest was called with.
		services []string
		refusal  *exchanger.Refusal
		// admitRefusal is the result of Admit. activeAdmissions counts the
		// admissions that were not canceled.
		admitRefusal     *exchanger.Refusal
		activeAdmissions int
	}

	// countingLimiter admits requests while tokens are left.
	countingLimiter struct {
		tokens, refunds int
		unready         bool
	}

	// recordedSamples holds the observed samples.
	recordedSamples []meter.Sample

	fixture struct {
		*Admitter
		samples      recordedSamples
		forwarder    *recordingForwarder
		rateLimiter  *countingLimiter
		drain        drainer.Drain
		table        *director.Table
		countedCalls []string
		// run is a run on the local backend server, once the node stops.
		run *attributor.Run
	}
)

func (f *recordingForwarder) Admit(*exchanger.Call) *exchanger.Refusal {
	f.activeAdmissions++
	return f.admitRefusal
}

func (f *recordingForwarder) CancelAdmission(*exchanger.Call) { f.activeAdmissions-- }

func (f *recordingForwarder) MeanRunTime(string) time.Duration { return 0 }

func (f *recordingForwarder) RecordRequest(service string) { f.services = append(f.services, service) }

func (f *recordingForwarder) Forward(_ context.Context, c *exchanger.Call, _ *director.Route) (*exchanger.Reply, *exchanger.Refusal) {
	f.calls = append(f.calls, c)
	if f.refusal != nil {
		return nil, f.refusal
	}
	return &exchanger.Reply{Status: 200, Body: []byte("whole")}, nil
}

func (r *countingLimiter) Ready() bool { return !r.unready }

func (r *countingLimiter) Charge(context.Context, *director.Customer) bool {
	r.tokens--
	return r.tokens >= 0
}

func (s *recordedSamples) Observe(one meter.Sample) { *s = append(*s, one) }

func (r *countingLimiter) Refund(*director.Customer) { r.refunds++ }

func newFixture(t *testing.T) *fixture {
	one := 1
	f := &fixture{
		forwarder:   &recordingForwarder{},
		rateLimiter: &countingLimiter{tokens: 1000},
		table: director.NewTable(director.State{Revision: 1, Config: &director.Config{
			Customers: []director.Customer{{Name: "pond", Keys: []string{"k1"}, RatePerSecond: 5}, {Name: "club", Keys: []string{"k2"}, Priority: &one}},
			Routes: []director.Route{
				{Name: "view", Host: "a", Prefix: "/view/", Kind: director.RouteKindIdempotent, Priority: 2, Timeout: 2 * time.Second, LatencyObjective: time.Second, MaxAttempts: 2, WeightedServices: []director.WeightedService{{Service: "board", Weight: 90}, {Service: "desk", Weight: 10}}},
				{Name: "book", Host: "a", Prefix: "/book/", Kind: director.RouteKindOnce, Timeout: time.Second, MaxAttempts: 1, WeightedServices: []director.WeightedService{{Service: "desk", Weight: 1}}},
				{Name: "ledger", Host: "a", Prefix: "/ledger/", Kind: director.RouteKindIdempotent, AllowAnonymous: true, Timeout: time.Second, MaxAttempts: 1, WeightedServices: []director.WeightedService{{Service: "desk", Weight: 1}}},
			},
			Services: []director.Service{{Name: "board"}, {Name: "desk"}},
		}}),
	}
	f.Admitter = New(Settings{
		Clock:        timekeeper.SystemClock{},
		Runs:         &attributor.Attributor{},
		CountCall:    func(route string) { f.countedCalls = append(f.countedCalls, route) },
		HeaderNames:  headerNames,
		Forwarder:    f.forwarder,
		Drain:        func() drainer.Drain { return f.drain },
		Logger:       logger.New(t.Output(), "info", "n"),
		Meter:        &f.samples,
		RateLimiter:  f.rateLimiter,
		LocalService: "board",
		Table:        func() *director.Table { return f.table },
	})
	return f
}

// stop begins the stop of the node, which ends after timeLeft, while run is in progress.
func (f *fixture) stop(timeLeft time.Duration) {
	now := time.Now()
	f.drain = drainer.Drain{LingerUntil: now.Add(-time.Second), End: now.Add(timeLeft)}
	f.run = f.Runs.StartRun(now, &exchanger.Call{ID: "0"})
}

func (f *fixture) request(t *testing.T, head string) *acceptor.Response {
	t.Helper()
	h, err := http.ReadRequest(bufio.NewReader(strings.NewReader(strings.ReplaceAll(head, "\n", "\r\n") + "\r\n\r\n")))
	if err != nil {
		t.Fatal(err)
	}
	return f.Handle(t.Context(), &acceptor.Request{Request: h, ArrivedAt: time.Now()})
}

func TestAdmission(t *testing.T) {
	tests := []struct {
		name, head string
		prepare    func(f *fixture)
		status     int
		service    string
	}{
		{"key", "GET /book/1 HTTP/1.1\nHost: a\nAttempt: 1\nAuthorization: Bearer k1", nil, 200, "desk"},
		{"lower-case authorization scheme", "GET /book/1 HTTP/1.1\nHost: a\nAttempt: 1\nAuthorization: bearer k1", nil, 200, "desk"},
		{"open route without key", "GET /ledger/1 HTTP/1.1\nHost: a\nAttempt: 1", nil, 200, "desk"},
		{"open route with unknown key", "GET /ledger/1 HTTP/1.1\nHost: a\nAttempt: 1\nAuthorization: Bearer x", nil, 200, "desk"},
		{"no key", "GET /book/1 HTTP/1.1\nHost: a\nAttempt: 1", nil, 401, ""},
		{"unknown key", "GET /book/1 HTTP/1.1\nHost: a\nAttempt: 1\nAuthorization: Bearer x", nil, 401, ""},
		{"no route", "GET /nothing/1 HTTP/1.1\nHost: a\nAttempt: 1\nAuthorization: Bearer k1", nil, 404, ""},
		{"no attempt", "GET /book/1 HTTP/1.1\nHost: a\nAuthorization: Bearer k1", nil, 400, ""},
		{"no configuration", "GET /book/1 HTTP/1.1\nHost: a\nAttempt: 1", func(f *fixture) { f.table = director.NewTable(director.State{}) }, 503, ""},
		{"left-out route", "GET /book/1 HTTP/1.1\nHost: a\nAttempt: 1\nAuthorization: Bearer k1", func(f *fixture) { f.table.State.Config.Routes[1].Unusable = true }, 503, ""},
		{"no route, one left out", "GET /nothing/1 HTTP/1.1\nHost: a\nAttempt: 1\nAuthorization: Bearer k1", func(f *fixture) { f.table.State.Config.Omitted.Routes = 1 }, 503, ""},
		{"unknown key, a customer left out", "GET /book/1 HTTP/1.1\nHost: a\nAttempt: 1\nAuthorization: Bearer x", func(f *fixture) { f.table.State.Config.Omitted.Customers = 1 }, 503, ""},
		{"over the rate", "GET /book/1 HTTP/1.1\nHost: a\nAttempt: 1\nAuthorization: Bearer k1", func(f *fixture) { f.rateLimiter.tokens = 0 }, 429, ""},
		{"rate is not known yet", "GET /book/1 HTTP/1.1\nHost: a\nAttempt: 1\nAuthorization: Bearer k1", func(f *fixture) { f.rateLimiter.tokens, f.rateLimiter.unready = 0, true }, 503, ""},
		{"customer without a rate", "GET /book/1 HTTP/1.1\nHost: a\nAttempt: 1\nAuthorization: Bearer k2", func(f *fixture) { f.rateLimiter.tokens = 0 }, 200, "desk"},
		{"node about to exit", "GET /book/1 HTTP/1.1\nHost: a\nAttempt: 1\nAuthorization: Bearer k1", func(f *fixture) { f.stop(time.Minute) }, 503, ""},
		{"node about to exit, call of the backend server", "GET /ledger/1 HTTP/1.1\nHost: a\nAttempt: 0.1", func(f *fixture) { f.stop(time.Minute) }, 200, "desk"},
		{"node about to exit, call of the backend server without time left", "GET /ledger/1 HTTP/1.1\nHost: a\nAttempt: 0.1", func(f *fixture) { f.stop(time.Millisecond) }, 503, ""},
		{"node about to exit, caller without a key", "GET /ledger/1 HTTP/1.1\nHost: a\nAttempt: 1", func(f *fixture) { f.stop(time.Minute); f.Runs.EndRun(time.Now(), f.run) }, 503, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			if tt.prepare != nil {
				tt.prepare(f)
			}
			r := f.request(t, tt.head)
			if r.Status != tt.status {
				t.Errorf("got status %d, want %d", r.Status, tt.status)
			}
			got := ""
			if len(f.forwarder.calls) > 0 {
				got = f.forwarder.calls[0].Service
			}
			if got != tt.service {
				t.Errorf("got a call to service %q, want %q", got, tt.service)
			}
			if len(f.samples) != 1 || (f.samples[0].Refusal == nil) != (r.Status == 200) {
				t.Errorf("got %d samples, %+v, want one with the outcome of the request", len(f.samples), f.samples)
			}
			if retry := r.Header.Get("Retry-After"); (r.Status == 429 || r.Status == 503) != (retry != "") {
				t.Errorf("got Retry-After %q with status %d, want one with 429 and 503 only", retry, r.Status)
			}
		})
	}
}

// TestRetryAfterOfCustomerOverRate guards against a Retry-After before the next token,
// or so late that a retry misses the objective although the rate would allow it.
func TestRetryAfterOfCustomerOverRate(t *testing.T) {
	tests := []struct {
		name     string
		rate     float64
		from, to time.Duration
	}{
		{"large rate", 500, 240 * time.Millisecond, 500 * time.Millisecond},
		{"small rate", 0.5, 2 * time.Second, 2 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			f.rateLimiter.tokens = 0
			f.table.State.Config.Customers[0].RatePerSecond = tt.rate
			r := f.request(t, "GET /view/1 HTTP/1.1\nHost: a\nAttempt: 1\nAuthorization: Bearer k1")
			seconds, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
			if err != nil {
				t.Fatal(err)
			}
			if got := time.Duration(seconds * float64(time.Second)); got < tt.from || got > tt.to {
				t.Errorf("got Retry-After %s, want %s to %s", got, tt.from, tt.to)
			}
		})
	}
}

// TestCallFields guards against spoofing: a request carries header fields that claim
// another customer and caller.
func TestCallFields(t *testing.T) {
	f := newFixture(t)
	f.request(t, "GET /book/1?x=%2F HTTP/1.1\nHost: a\nAttempt: 7\nDeadline: 400\nAuthorization: Bearer k2\nCustomer: pond\nCaller: desk\nExpected: z\nConnection: X-Hop\nX-Hop: 1\nX-End: 2")
	c := f.forwarder.calls[0]
	if c.ID != "7" || c.Customer != "club" || c.CallerService != "board" || c.Target != "/book/1?x=%2F" || c.Priority != exchanger.PriorityHigh || c.Nested || c.Idempotent {
		t.Errorf("got call %+v, want id 7, customer club, caller board, the target as sent, high priority, neither nested nor idempotent", c)
	}
	if left := time.Until(c.Deadline); left > 400*time.Millisecond {
		t.Errorf("got %s until the deadline, want at most 400ms", left)
	}
	for _, name := range []string{"Authorization", "Customer", "Caller", "Expected", "Connection", "X-Hop", "Deadline"} {
		if got := c.Header.Get(name); got != "" {
			t.Errorf("got field %s %q, want none", name, got)
		}
	}
	if got := c.Header.Get("X-End"); got != "2" {
		t.Errorf("got X-End %q, want 2", got)
	}
}

// TestOddDeadlineMeansTimeoutOfRoute guards against requests that end at once, or that wait
// longer than their route allows, because their deadline is no duration.
func TestOddDeadlineMeansTimeoutOfRoute(t *testing.T) {
	for _, deadline := range []string{"NaN", "Inf", "1e300", "9e18", "-1", "0", "x", ""} {
		f := newFixture(t)
		started := time.Now()
		f.request(t, "GET /book/1 HTTP/1.1\nHost: a\nAttempt: 7\nDeadline: "+deadline+"\nAuthorization: Bearer k2")
		c := f.forwarder.calls[0]
		timeout := f.table.MatchRoute("a", "/book/1").Timeout
		if got := c.Deadline.Sub(started); got < timeout-100*time.Millisecond || got > timeout+time.Second {
			t.Errorf("deadline %q: got %s, want the timeout of the route, %s", deadline, got, timeout)
		}
	}
}

// TestWeightedRouteDistribution checks the shares in every run of twenty requests.
// TestNestedCallHasPrioritiesOfItsChain checks what a call takes over from the run that makes
// it, and that a call without a known run keeps the priority of its own route.
func TestNestedCallHasPrioritiesOfItsChain(t *testing.T) {
	tests := []struct {
		name, id      string
		priority      exchanger.Priority
		routePriority exchanger.Priority
		customer      string
		known         bool
	}{
		{"call of a chain", "root.1", exchanger.PriorityHigh, exchanger.PriorityNormal, "club", true},
		{"call of a run of an unknown chain", "stray.1", exchanger.PriorityCritical, exchanger.PriorityCritical, "", false},
		{"call without a run", "other", exchanger.PriorityCritical, exchanger.PriorityCritical, "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			now := time.Now()
			f.Runs.StartRun(now, &exchanger.Call{ID: "root", Customer: "club", ChainCustomer: "club", ChainKnown: true, Priority: exchanger.PriorityHigh, RoutePriority: exchanger.PriorityNormal})
			f.Runs.StartRun(now, &exchanger.Call{ID: "stray", Nested: true, Priority: exchanger.PriorityLow})
			f.request(t, "GET /ledger/1 HTTP/1.1\nHost: a\nAttempt: "+tt.id)
			c := f.forwarder.calls[0]
			if c.Priority != tt.priority || c.RoutePriority != tt.routePriority || c.ChainCustomer != tt.customer || c.ChainKnown != tt.known {
				t.Errorf("got priority %d, route priority %d, chain customer %q, known %t, want %d, %d, %q, %t",
					c.Priority, c.RoutePriority, c.ChainCustomer, c.ChainKnown, tt.priority, tt.routePriority, tt.customer, tt.known)
			}
			if c.Customer != "" {
				t.Errorf("got customer %q, want none: the call has no key", c.Customer)
			}
		})
	}
}

func TestWeightedRouteDistribution(t *testing.T) {
	f := newFixture(t)
	for range 100 {
		f.request(t, "GET /view/1 HTTP/1.1\nHost: a\nAttempt: 1\nAuthorization: Bearer k2")
	}
	for from := 0; from+20 <= 100; from++ {
		count := 0
		for _, c := range f.forwarder.calls[from : from+20] {
			if c.Service == "desk" {
				count++
			}
		}
		if count != 2 {
			t.Fatalf("got %d of 20 requests for the service with weight 10, want 2", count)
		}
	}
}

// TestRefundOnlyIfNotRun checks that only requests that did not run are refunded.
func TestRefundOnlyIfNotRun(t *testing.T) {
	tests := []struct {
		name    string
		refusal *exchanger.Refusal
		want    int
	}{
		{"not run", exchanger.NotRun(503, exchanger.ReasonOverload, ""), 1},
		{"may have run", exchanger.Unknown(502, exchanger.ReasonBroken, ""), 0},
		{"answered", nil, 0},
	}
	for _, tt := range tests {
		f := newFixture(t)
		f.forwarder.refusal = tt.refusal
		f.request(t, "GET /book/1 HTTP/1.1\nHost: a\nAttempt: 1\nAuthorization: Bearer k1")
		if f.rateLimiter.refunds != tt.want {
			t.Errorf("%s: got %d refunds, want %d", tt.name, f.rateLimiter.refunds, tt.want)
		}
	}
}

// TestRefusedChainIsNotCharged guards against two leaks: a request that is refused
// because of downstream services uses up its customer's rate, and a request over the rate
// keeps the capacity that was reserved for its call chain.
func TestRefusedChainIsNotCharged(t *testing.T) {
	const request = "GET /view/1 HTTP/1.1\nHost: a\nAttempt: 1\nAuthorization: Bearer k1"
	f := newFixture(t)
	f.forwarder.admitRefusal = exchanger.NotRun(503, exchanger.ReasonOverload, "")
	before := f.rateLimiter.tokens
	if got := f.request(t, request).Status; got != 503 {
		t.Errorf("got status %d, want 503", got)
	}
	if f.rateLimiter.tokens != before {
		t.Errorf("got %d tokens left, want %d", f.rateLimiter.tokens, before)
	}
	f.forwarder.admitRefusal, f.forwarder.activeAdmissions, f.rateLimiter.tokens = nil, 0, 0
	if got := f.request(t, request).Status; got != 429 {
		t.Errorf("got status %d, want 429", got)
	}
	if f.forwarder.activeAdmissions != 0 {
		t.Errorf("got %d active admissions, want 0", f.forwarder.activeAdmissions)
	}
}

// TestRequestsThatEndWithTheNode guards against an answer that names another reason than the stop of
// the node for a request that did not run because of it, such as a rate that the customer has not
// exceeded, and against a promise for one that may have run.
func TestRequestsThatEndWithTheNode(t *testing.T) {
	tests := []struct {
		name    string
		tokens  int
		refusal *exchanger.Refusal
		want    int
	}{
		{"waited for a token", 0, nil, http.StatusServiceUnavailable},
		{"waited in a queue", 1, exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonCanceled, "the caller went away"), http.StatusServiceUnavailable},
		{"may have run", 1, exchanger.Unknown(http.StatusBadGateway, exchanger.ReasonCanceled, "the request was canceled while it ran"), http.StatusBadGateway},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			f.rateLimiter.tokens, f.forwarder.refusal = tt.tokens, tt.refusal
			ctx, stop := context.WithCancelCause(t.Context())
			stop(exchanger.ErrStopping)
			httpRequest, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET /view/x HTTP/1.1\r\nHost: a\r\nAttempt: 1\r\nAuthorization: Bearer k1\r\n\r\n")))
			if err != nil {
				t.Fatal(err)
			}
			response := f.Handle(ctx, &acceptor.Request{Request: httpRequest, ArrivedAt: time.Now()})
			if response.Status != tt.want {
				t.Errorf("got status %d, want %d", response.Status, tt.want)
			}
			if got := response.Header.Get("Retry-After") != ""; got != (tt.want == http.StatusServiceUnavailable) {
				t.Errorf("got Retry-After %t with status %d", got, response.Status)
			}
		})
	}
}
