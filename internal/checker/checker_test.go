package checker

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/recorder"
)

const (
	domain  = "north"
	key     = "key 1"
	server  = "a1"
	service = "a"
	tenant  = "x"
)

var zero = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestVerify feeds one history that keeps a promise closely and one that
// breaks it and nothing else.
func TestVerify(t *testing.T) {
	tests := []struct {
		promise Promise
		kept    recorder.History
		broken  recorder.History
	}{
		{PromiseAtMostOnce, join(pair("c1#0", at(0), nil)), join(pair("c1#0", at(0), nil), again("c1#0", at(1)))},
		{PromiseAtMostOnce,
			join(keyed("c1#0", "k", at(0)), keyed("c2#0", "l", at(1))),
			join(keyed("c1#0", "k", at(0)), keyed("c1#1", "k", at(1)))},
		{PromiseChainRetries, repeated(4), repeated(5)},
		{PromiseChainRetries, extra(100, 13), extra(100, 14)},
		{PromiseCold, coldRun(2, 2), coldRun(3, 2)},
		{PromiseCold,
			join(events(event(recorder.EventServerCold, server, at(0))), coldRun(3, 2)),
			join(events(event(recorder.EventServerCold, server, at(-1))), coldRun(3, 2))},
		{PromiseDomainOut,
			join(events(event(recorder.EventDomainOutOfService, domain, at(0)), event(recorder.EventDomainInService, domain, at(9))),
				pair("c1#0", at(2.9), nil), pair("c2#0", at(9.1), nil)),
			join(events(event(recorder.EventDomainOutOfService, domain, at(0)), event(recorder.EventDomainInService, domain, at(9))),
				pair("c1#0", at(3.1), nil))},
		{PromiseDomainOut,
			join(events(event(recorder.EventFaultStart, "log", at(1)), event(recorder.EventDomainOutOfService, domain, at(2))), pair("c1#0", at(12), nil)),
			join(events(event(recorder.EventFaultStart, "log", at(1)), event(recorder.EventDomainOutOfService, domain, at(2))), pair("c1#0", at(14), nil))},
		{PromiseImportantLast, shed(1, 99), shed(2, 98)},
		{PromiseInForce, seenVersions(4, 4, 5), seenVersions(4, 3, 5)},
		{PromiseInForce, seenVersions(4, 4, 5), seenVersions(4, 4, 4)},
		{PromiseKeyHidden, join(pair("c1#0", at(0), nil)),
			join(pair("c1#0", at(0), func(_ *recorder.Call, e *recorder.Execution) { e.ContainsCallerKey = true }))},
		{PromiseKeyWithdrawn,
			join(events(event(recorder.EventKeyWithdrawn, key, at(0))), pair("c1#0", at(10.9), nil)),
			join(events(event(recorder.EventKeyWithdrawn, key, at(0))), pair("c1#0", at(11.1), nil))},
		{PromiseLeaving,
			join(events(event(recorder.EventServerOutOfService, server, at(0))), pair("c1#0", at(2.9), nil)),
			join(events(event(recorder.EventServerOutOfService, server, at(0))), pair("c1#0", at(3.1), nil))},
		{PromiseLeaving,
			join(events(event(recorder.EventNodeStopRequested, server, at(0)), event(recorder.EventNodeStarted, server, at(5))), pair("c1#0", at(6), nil)),
			join(events(event(recorder.EventNodeStopRequested, server, at(0)), event(recorder.EventNodeStarted, server, at(5))), pair("c1#0", at(4), nil))},
		{PromiseLeaving, draining(2.9), draining(3.1)},
		{PromiseNotRun, join(refused("c1#0", exchanger.RanUnknown, true)), join(refused("c1#0", exchanger.RanNo, true))},
		{PromisePlannedStop, stopped(recorder.CallAnswered), stopped(recorder.CallConnectionLost)},
		{PromiseRate, paced(10), paced(11)},
		{PromiseRightCustomer, join(pair("c1#0", at(0), nil)),
			join(pair("c1#0", at(0), func(_ *recorder.Call, e *recorder.Execution) { e.Customer = "y" }))},
		{PromiseRightCustomer, join(pair("c1#0", at(0), anonymous(true))), join(pair("c1#0", at(0), anonymous(false)))},
		{PromiseWholeAnswer, join(pair("c1#0", at(0), nil)),
			join(pair("c1#0", at(0), func(c *recorder.Call, _ *recorder.Execution) { c.AnswerComplete = false }))},
		{PromiseWholeAnswer, join(pair("c1#1", at(0), replay("c1#0"))), join(pair("c1#1", at(0), replay("c2#0")))},
	}
	covered := map[Promise]bool{}
	for i, tt := range tests {
		covered[tt.promise] = true
		t.Run(fmt.Sprintf("%s %d", tt.promise, i), func(t *testing.T) {
			if got := Verify(tt.kept, DefaultBounds()); len(got) > 0 {
				t.Errorf("got breaches %v of the kept history, want none", got)
			}
			got := Verify(tt.broken, DefaultBounds())
			if len(got) == 0 || Count(got, tt.promise) != len(got) {
				t.Errorf("got breaches %v of the broken history, want only some of %q", got, tt.promise)
			}
		})
	}
	for _, p := range Promises() {
		if !covered[p] {
			t.Errorf("promise %q has no broken history", p)
		}
	}
}

func TestExcess(t *testing.T) {
	tests := []struct {
		name     string
		requests []admitted
		want     float64
	}{
		{"none", nil, 0},
		{"burst", []admitted{{at(0), at(0)}, {at(0), at(0)}}, 0},
		{"burst and one", []admitted{{at(0), at(0)}, {at(0), at(0)}, {at(0), at(0)}}, 1},
		{"refilled", []admitted{{at(0), at(0)}, {at(0), at(0)}, {at(1), at(1)}}, 0},
		{"a late excess", []admitted{{at(0), at(0)}, {at(9), at(9)}, {at(9), at(9)}, {at(9.5), at(9.5)}}, 0.5},
		{"sent early and run together", []admitted{{at(0), at(9)}, {at(3), at(9)}, {at(6), at(9)}}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := max(0, excess(tt.requests, 1, 2, 0)); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestRateAfterChange(t *testing.T) {
	limits := events(
		recorder.Event{Kind: recorder.EventRateLimitSet, At: at(0), Name: tenant, RatePerSecond: 1, BurstRequests: 1},
		recorder.Event{Kind: recorder.EventRateLimitSet, At: at(100), Name: tenant, RatePerSecond: 1, BurstRequests: 9},
	)
	for _, tt := range []struct {
		name  string
		at    float64
		count int
		want  int
	}{
		{"old limit", 50, 2, 1},
		{"between the limits", 105, 9, 0},
		{"new limit", 120, 9, 0},
		{"above both", 105, 10, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := limits
			for i := range tt.count {
				h = join(h, pair(fmt.Sprintf("c%d#0", i), at(tt.at), nil))
			}
			if got := Count(Verify(h, DefaultBounds()), PromiseRate); got != tt.want {
				t.Errorf("got %d breaches, want %d", got, tt.want)
			}
		})
	}
}
