// Package checker verifies the promises of the system over a recorded run. It
// has no input, output or clock.
package checker

import (
	"fmt"
	"slices"
	"time"

	"github.com/flamingotack/flamingotack/internal/recorder"
)

// The promises.
const (
	GuaranteeAtMostOnce         Guarantee = "at most once"
	GuaranteeChainRetries       Guarantee = "chain retries"
	GuaranteeColdServer         Guarantee = "cold server"
	GuaranteeDomainOutOfService Guarantee = "domain out"
	GuaranteePriorityOrder      Guarantee = "important shed last"
	GuaranteeConfigInForce      Guarantee = "in force"
	GuaranteeKeyHidden          Guarantee = "key hidden"
	GuaranteeKeyWithdrawn       Guarantee = "key withdrawn"
	GuaranteeLeavingServer      Guarantee = "leaving server"
	GuaranteeNotRun             Guarantee = "not run is true"
	GuaranteePlannedStop        Guarantee = "planned stop"
	GuaranteeRateLimit          Guarantee = "rate and burst"
	GuaranteeRightCustomer      Guarantee = "right customer"
	GuaranteeWholeAnswer        Guarantee = "whole answer"
)

type (
	// Bounds are the limits that the promises leave open.
	Bounds struct {
		// Budget is the number of extra attempts of a whole call chain.
		MaxChainRetries int
		// ColdNotice is the time in which a server that turned cold without
		// a word may still get more than it bears.
		MaxColdDetection time.Duration
		// Disturbed stands in for Leave while the log or a node could not be
		// reached, or a node was paused.
		MaxLeaveDuringFault time.Duration
		// Drift is the time by which the clocks of the run may differ.
		MaxClockSkew time.Duration
		// InForce is the time in which a configuration reaches every node.
		MaxConfigDelay time.Duration
		// Leave is the time in which new work ends at what is taken out.
		MaxLeave time.Duration
		// RetryRatio is the number of extra executions for each first one,
		// above the Budget of each backend server.
		RetryRatio float64
		// ShedRatio is the part of a priority's requests that may be shed
		// while a lower priority is served.
		MaxShedFraction float64
		// ShedWindow is the time that counts as a while for ShedRatio.
		ShedWindow time.Duration
		// Withdrawal is the time in which a withdrawn key stops working.
		MaxKeyWithdrawal time.Duration
	}

	// Breach is one promise broken once.
	Violation struct {
		// Promise is the broken one.
		Guarantee Guarantee `json:"promise"`
		// Detail names what broke it.
		Detail string `json:"detail"`
	}

	// Promise names what must always hold.
	Guarantee string

	// check returns one text for each breach.
	check func(x *index, b Bounds) []string
)

var checks = []struct {
	promise Guarantee
	check   check
}{
	{GuaranteeChainRetries, chainRetries},
	{GuaranteePriorityOrder, importantLast},
	{GuaranteeRightCustomer, rightCustomer},
	{GuaranteeKeyHidden, keyHidden},
	{GuaranteeKeyWithdrawn, keyWithdrawn},
	{GuaranteeRateLimit, rate},
	{GuaranteeColdServer, cold},
	{GuaranteeDomainOutOfService, domainOut},
	{GuaranteeWholeAnswer, wholeAnswer},
	{GuaranteeNotRun, notRun},
	{GuaranteeAtMostOnce, atMostOnce},
	{GuaranteeLeavingServer, leaving},
	{GuaranteePlannedStop, plannedStop},
	{GuaranteeConfigInForce, inForce},
}

// Count returns the number of breaches of a promise.
func CountViolations(breaches []Violation, p Guarantee) (n int) {
	for _, b := range breaches {
		if b.Guarantee == p {
			n++
		}
	}
	return n
}

// DefaultBounds returns the bounds that the users and the design state.
func DefaultBounds() Bounds {
	return Bounds{
		MaxChainRetries:     3,
		MaxColdDetection:    500 * time.Millisecond,
		MaxLeaveDuringFault: 11 * time.Second,
		MaxClockSkew:        10 * time.Millisecond,
		MaxConfigDelay:      11 * time.Second,
		MaxLeave:            3 * time.Second,
		RetryRatio:          0.1,
		MaxShedFraction:     0.01,
		ShedWindow:          100 * time.Millisecond,
		MaxKeyWithdrawal:    11 * time.Second,
	}
}

// Promises returns all promises in the order of the users' list.
func Guarantees() (all []Guarantee) {
	for _, c := range checks {
		all = append(all, c.promise)
	}
	return all
}

// Verify returns every breach of a promise in a run.
func Verify(h recorder.History, b Bounds) (found []Violation) {
	x := newIndex(h)
	for _, c := range checks {
		details := c.check(x, b)
		slices.Sort(details)
		for _, detail := range details {
			found = append(found, Violation{Guarantee: c.promise, Detail: detail})
		}
	}
	return found
}

// String returns the promise and the detail on one line.
func (b Violation) String() string {
	return fmt.Sprintf("%s: %s", b.Guarantee, b.Detail)
}
