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
	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/meter"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

var dialect = exchanger.Dialect{
	Attempt: "Attempt", Caller: "Caller", Customer: "Customer", Deadline: "Deadline", Expected: "Expected",
}

type (
	// recordingForwarder keeps the calls and answers each with reply or
	// refusal.
	recordingForwarder struct {
		calls   []*exchanger.Call
		earned  []string
		refusal *exchanger.Refusal
		// unadmitted is the answer to Admit, and admitted counts those that were
		// not retracted.
		unadmitted *exchanger.Refusal
		admitted   int
	}

	// countingRates admits while tokens are left.
	countingRates struct {
		tokens, refunds int
	}

	// samples are the requests that were counted.
	samples []meter.Sample

	fixture struct {
		*Admitter
		samples   samples
		forwarder *recordingForwarder
		rates     *countingRates
		leaving   bool
		table     *director.Table
		called    []string
	}
)

func (f *recordingForwarder) Admit(*exchanger.Call) *exchanger.Refusal {
	f.admitted++
	return f.unadmitted
}

func (f *recordingForwarder) Retract(*exchanger.Call) { f.admitted-- }

func (f *recordingForwarder) Earn(service string) { f.earned = append(f.earned, service) }

func (f *recordingForwarder) Forward(_ context.Context, c *exchanger.Call, _ *director.Route) (*exchanger.Reply, *exchanger.Refusal) {
	f.calls = append(f.calls, c)
	if f.refusal != nil {
		return nil, f.refusal
	}
	return &exchanger.Reply{Status: 200, Body: []byte("whole")}, nil
}

func (r *countingRates) Charge(context.Context, *director.Customer) bool {
	r.tokens--
	return r.tokens >= 0
}

func (s *samples) Observe(one meter.Sample) { *s = append(*s, one) }

func (r *countingRates) Refund(*director.Customer) { r.refunds++ }

func newFixture(t *testing.T) *fixture {
	one := 1
	f := &fixture{
		forwarder: &recordingForwarder{},
		rates:     &countingRates{tokens: 1000},
		table: director.NewTable(director.State{Revision: 1, Config: &director.Config{
			Customers: []director.Customer{{Name: "pond", Keys: []string{"k1"}, Rate: 5}, {Name: "club", Keys: []string{"k2"}, Priority: &one}},
			Routes: []director.Route{
				{Name: "view", Host: "a", Prefix: "/view/", Kind: director.KindIdempotent, Priority: 2, Timeout: 2 * time.Second, Objective: time.Second, Attempts: 2, Parts: []director.Part{{Service: "board", Weight: 90}, {Service: "desk", Weight: 10}}},
				{Name: "book", Host: "a", Prefix: "/book/", Kind: director.KindOnce, Timeout: time.Second, Attempts: 1, Parts: []director.Part{{Service: "desk", Weight: 1}}},
				{Name: "ledger", Host: "a", Prefix: "/ledger/", Kind: director.KindIdempotent, Open: true, Timeout: time.Second, Attempts: 1, Parts: []director.Part{{Service: "desk", Weight: 1}}},
			},
			Services: []director.Service{{Name: "board"}, {Name: "desk"}},
		}}),
	}
	f.Admitter = New(Settings{
		Clock:     timekeeper.SystemClock{},
		Called:    func(route string) { f.called = append(f.called, route) },
		Dialect:   dialect,
		Forwarder: f.forwarder,
		Leaving:   func() bool { return f.leaving },
		Logger:    logger.New(t.Output(), "info", "n"),
		Meter:     &f.samples,
		Rates:     f.rates,
		Service:   "board",
		Table:     func() *director.Table { return f.table },
	})
	return f
}

func (f *fixture) request(t *testing.T, head string) *acceptor.Response {
	t.Helper()
	h, err := http.ReadRequest(bufio.NewReader(strings.NewReader(strings.ReplaceAll(head, "\n", "\r\n") + "\r\n\r\n")))
	if err != nil {
		t.Fatal(err)
	}
	return f.Handle(t.Context(), &acceptor.Request{Request: h, Arrived: time.Now()})
}

func TestAdmission(t *testing.T) {
	tests := []struct {
		name, head string
		prepare    func(f *fixture)
		status     int
		service    string
	}{
		{"key", "GET /book/1 HTTP/1.1\nHost: a\nAttempt: 1\nAuthorization: Bearer k1", nil, 200, "desk"},
		{"key of another case of scheme", "GET /book/1 HTTP/1.1\nHost: a\nAttempt: 1\nAuthorization: bearer k1", nil, 200, "desk"},
		{"open route without key", "GET /ledger/1 HTTP/1.1\nHost: a\nAttempt: 1", nil, 200, "desk"},
		{"open route with unknown key", "GET /ledger/1 HTTP/1.1\nHost: a\nAttempt: 1\nAuthorization: Bearer x", nil, 200, "desk"},
		{"no key", "GET /book/1 HTTP/1.1\nHost: a\nAttempt: 1", nil, 401, ""},
		{"unknown key", "GET /book/1 HTTP/1.1\nHost: a\nAttempt: 1\nAuthorization: Bearer x", nil, 401, ""},
		{"no route", "GET /nothing/1 HTTP/1.1\nHost: a\nAttempt: 1\nAuthorization: Bearer k1", nil, 404, ""},
		{"no attempt", "GET /book/1 HTTP/1.1\nHost: a\nAuthorization: Bearer k1", nil, 400, ""},
		{"no configuration", "GET /book/1 HTTP/1.1\nHost: a\nAttempt: 1", func(f *fixture) { f.table = director.NewTable(director.State{}) }, 503, ""},
		{"over the rate", "GET /book/1 HTTP/1.1\nHost: a\nAttempt: 1\nAuthorization: Bearer k1", func(f *fixture) { f.rates.tokens = 0 }, 429, ""},
		{"customer without a rate", "GET /book/1 HTTP/1.1\nHost: a\nAttempt: 1\nAuthorization: Bearer k2", func(f *fixture) { f.rates.tokens = 0 }, 200, "desk"},
		{"node is about to end", "GET /book/1 HTTP/1.1\nHost: a\nAttempt: 1\nAuthorization: Bearer k1", func(f *fixture) { f.leaving = true }, 503, ""},
		{"call of the backend server then", "GET /ledger/1 HTTP/1.1\nHost: a\nAttempt: 1", func(f *fixture) { f.leaving = true }, 200, "desk"},
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
				t.Errorf("got a call of %q, want %q", got, tt.service)
			}
			if len(f.samples) != 1 || (f.samples[0].Refusal == nil) != (r.Status == 200) {
				t.Errorf("got %d samples, %+v, want one that tells how the request ended", len(f.samples), f.samples)
			}
			if retry := r.Header.Get("Retry-After"); (r.Status == 429 || r.Status == 503) != (retry != "") {
				t.Errorf("got Retry-After %q with status %d", retry, r.Status)
			}
		})
	}
}

// TestOverRateComesBackInTime lets customers of small and large rates go over
// them: they come back when there may be a token, and while the answer can be in
// time if the rate allows that.
func TestOverRateComesBackInTime(t *testing.T) {
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
			f.rates.tokens = 0
			f.table.State.Config.Customers[0].Rate = tt.rate
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

// TestWhatACallCarries checks the call of a request that tries to pass for
// somebody else.
func TestWhatACallCarries(t *testing.T) {
	f := newFixture(t)
	f.request(t, "GET /book/1?x=%2F HTTP/1.1\nHost: a\nAttempt: 7\nDeadline: 400\nAuthorization: Bearer k2\nCustomer: pond\nCaller: desk\nExpected: z\nConnection: X-Hop\nX-Hop: 1\nX-End: 2")
	c := f.forwarder.calls[0]
	if c.ID != "7" || c.Customer != "club" || c.Caller != "board" || c.Target != "/book/1?x=%2F" || c.Priority != exchanger.PriorityHigh || c.Inner || c.Repeatable {
		t.Errorf("got call %+v", c)
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

// TestWeightedPartsKeepTheirShare looks at any twenty requests in a row.
func TestWeightedPartsKeepTheirShare(t *testing.T) {
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
			t.Fatalf("got %d of 20 for the part of 10, want 2", count)
		}
	}
}

// TestNotRunGivesTheTokenBack checks that only what has not run is refunded.
func TestNotRunGivesTheTokenBack(t *testing.T) {
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
		if f.rates.refunds != tt.want {
			t.Errorf("%s: got %d refunds, want %d", tt.name, f.rates.refunds, tt.want)
		}
	}
}

// TestRefusedChainsTakeNoTokens refuses a request because of the services below: its
// customer's rate is left to those that run. One above the rate gives its place in the
// services below back.
func TestRefusedChainsTakeNoTokens(t *testing.T) {
	const request = "GET /view/1 HTTP/1.1\nHost: a\nAttempt: 1\nAuthorization: Bearer k1"
	f := newFixture(t)
	f.forwarder.unadmitted = exchanger.NotRun(503, exchanger.ReasonOverload, "")
	before := f.rates.tokens
	if got := f.request(t, request).Status; got != 503 {
		t.Errorf("got status %d, want 503", got)
	}
	if f.rates.tokens != before {
		t.Errorf("got %d tokens left, want all %d", f.rates.tokens, before)
	}
	f.forwarder.unadmitted, f.forwarder.admitted, f.rates.tokens = nil, 0, 0
	if got := f.request(t, request).Status; got != 429 {
		t.Errorf("got status %d, want 429", got)
	}
	if f.forwarder.admitted != 0 {
		t.Errorf("got %d admissions that hold, want none", f.forwarder.admitted)
	}
}
