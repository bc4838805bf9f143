package checker

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/recorder"
)

const (
	domain   = "north"
	key      = "key 1"
	server   = "a1"
	service  = "a"
	customer = "x"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestVerify checks, for each guarantee, one history that just satisfies it
// and one that violates it and no other guarantee.
func TestVerify(t *testing.T) {
	tests := []struct {
		guarantee Guarantee
		valid     recorder.History
		invalid   recorder.History
	}{
		{GuaranteeAtMostOnce, join(callWithExecution("c1#0", at(0), nil)), join(callWithExecution("c1#0", at(0), nil), extraExecution("c1#0", at(1)))},
		{GuaranteeAtMostOnce,
			join(callWithIdempotencyKey("c1#0", "k", at(0)), callWithIdempotencyKey("c2#0", "l", at(1))),
			join(callWithIdempotencyKey("c1#0", "k", at(0)), callWithIdempotencyKey("c1#1", "k", at(1)))},
		{GuaranteeChainRetries, requestRunTimes(4), requestRunTimes(5)},
		{GuaranteeChainRetries, someRunTwice(100, 13), someRunTwice(100, 14)},
		{GuaranteeColdServer, executionOnColdServer(2, 2), executionOnColdServer(3, 2)},
		{GuaranteeColdServer,
			join(events(event(recorder.EventServerCold, server, at(0))), executionOnColdServer(3, 2)),
			join(events(event(recorder.EventServerCold, server, at(-1))), executionOnColdServer(3, 2))},
		{GuaranteeDomainOutOfService,
			join(events(event(recorder.EventDomainOutOfService, domain, at(0)), event(recorder.EventDomainInService, domain, at(9))),
				callWithExecution("c1#0", at(2.9), nil), callWithExecution("c2#0", at(9.1), nil)),
			join(events(event(recorder.EventDomainOutOfService, domain, at(0)), event(recorder.EventDomainInService, domain, at(9))),
				callWithExecution("c1#0", at(3.1), nil))},
		{GuaranteeDomainOutOfService,
			join(events(event(recorder.EventFaultStart, "log", at(1)), event(recorder.EventDomainOutOfService, domain, at(2))), callWithExecution("c1#0", at(12), nil)),
			join(events(event(recorder.EventFaultStart, "log", at(1)), event(recorder.EventDomainOutOfService, domain, at(2))), callWithExecution("c1#0", at(14), nil))},
		{GuaranteePriorityOrder, shedHighPriority(1, 99), shedHighPriority(2, 98)},
		{GuaranteeConfigInForce, seenVersions(4, 4, 5), seenVersions(4, 3, 5)},
		{GuaranteeConfigInForce, seenVersions(4, 4, 5), seenVersions(4, 4, 4)},
		{GuaranteeKeyHidden, join(callWithExecution("c1#0", at(0), nil)),
			join(callWithExecution("c1#0", at(0), func(_ *recorder.Call, e *recorder.Execution) { e.ContainsCallerKey = true }))},
		{GuaranteeKeyWithdrawn,
			join(events(event(recorder.EventKeyWithdrawn, key, at(0))), callWithExecution("c1#0", at(10.9), nil)),
			join(events(event(recorder.EventKeyWithdrawn, key, at(0))), callWithExecution("c1#0", at(11.1), nil))},
		{GuaranteeLeavingServer,
			join(events(event(recorder.EventServerOutOfService, server, at(0))), callWithExecution("c1#0", at(2.9), nil)),
			join(events(event(recorder.EventServerOutOfService, server, at(0))), callWithExecution("c1#0", at(3.1), nil))},
		{GuaranteeLeavingServer,
			join(events(event(recorder.EventNodeStopRequested, server, at(0)), event(recorder.EventNodeStarted, server, at(5))), callWithExecution("c1#0", at(6), nil)),
			join(events(event(recorder.EventNodeStopRequested, server, at(0)), event(recorder.EventNodeStarted, server, at(5))), callWithExecution("c1#0", at(4), nil))},
		{GuaranteeLeavingServer, executionOnDrainingServer(2.9), executionOnDrainingServer(3.1)},
		{GuaranteeNotRun, join(refusedCall("c1#0", exchanger.RanUnknown, true)), join(refusedCall("c1#0", exchanger.RanNo, true))},
		{GuaranteePlannedStop, callDuringStop(recorder.CallAnswered), callDuringStop(recorder.CallConnectionLost)},
		{GuaranteeRateLimit, requestsAfterBurst(10), requestsAfterBurst(11)},
		{GuaranteeRightCustomer, join(callWithExecution("c1#0", at(0), nil)),
			join(callWithExecution("c1#0", at(0), func(_ *recorder.Call, e *recorder.Execution) { e.Customer = "y" }))},
		{GuaranteeRightCustomer, join(callWithExecution("c1#0", at(0), withoutCustomer(true))), join(callWithExecution("c1#0", at(0), withoutCustomer(false)))},
		{GuaranteeWholeAnswer, join(callWithExecution("c1#0", at(0), nil)),
			join(callWithExecution("c1#0", at(0), func(c *recorder.Call, _ *recorder.Execution) { c.AnswerComplete = false }))},
		{GuaranteeWholeAnswer, join(callWithExecution("c1#1", at(0), replayedAnswer("c1#0"))), join(callWithExecution("c1#1", at(0), replayedAnswer("c2#0")))},
	}
	covered := map[Guarantee]bool{}
	for i, tt := range tests {
		covered[tt.guarantee] = true
		t.Run(fmt.Sprintf("%s %d", tt.guarantee, i), func(t *testing.T) {
			if got := Verify(tt.valid, DefaultBounds()); len(got) > 0 {
				t.Errorf("got violations %v of the valid history, want none", got)
			}
			got := Verify(tt.invalid, DefaultBounds())
			if len(got) == 0 || CountViolations(got, tt.guarantee) != len(got) {
				t.Errorf("got violations %v of the invalid history, want only violations of %q", got, tt.guarantee)
			}
		})
	}
	for _, g := range Guarantees() {
		if !covered[g] {
			t.Errorf("guarantee %q has no invalid history", g)
		}
	}
}

func TestExcess(t *testing.T) {
	tests := []struct {
		name     string
		requests []admittedRequest
		want     float64
	}{
		{"none", nil, 0},
		{"burst", []admittedRequest{{at(0), at(0)}, {at(0), at(0)}}, 0},
		{"burst and one", []admittedRequest{{at(0), at(0)}, {at(0), at(0)}, {at(0), at(0)}}, 1},
		{"refilled", []admittedRequest{{at(0), at(0)}, {at(0), at(0)}, {at(1), at(1)}}, 0},
		{"a late excess", []admittedRequest{{at(0), at(0)}, {at(9), at(9)}, {at(9), at(9)}, {at(9.5), at(9.5)}}, 0.5},
		{"sent early and run together", []admittedRequest{{at(0), at(9)}, {at(3), at(9)}, {at(6), at(9)}}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := max(0, maxExcess(tt.requests, 1, 2, 0)); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestRateAfterChange(t *testing.T) {
	limits := events(
		recorder.Event{Kind: recorder.EventRateLimitSet, At: at(0), Name: customer, RatePerSecond: 1, BurstRequests: 1},
		recorder.Event{Kind: recorder.EventRateLimitSet, At: at(100), Name: customer, RatePerSecond: 1, BurstRequests: 9},
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
				h = join(h, callWithExecution(fmt.Sprintf("c%d#0", i), at(tt.at), nil))
			}
			if got := CountViolations(Verify(h, DefaultBounds()), GuaranteeRateLimit); got != tt.want {
				t.Errorf("got %d violations, want %d", got, tt.want)
			}
		})
	}
}
