// Package checker verifies the guarantees of the system against the recorded
// history of a run. It performs no I/O and has no clock.
package checker

import (
	"fmt"
	"slices"
	"time"

	"github.com/flamingotack/flamingotack/internal/recorder"
)

// The guarantees.
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
	// Bounds are the parameters of the guarantees.
	Bounds struct {
		// MaxChainRetries is the retry budget of a whole call chain.
		MaxChainRetries int
		// MaxColdDetection is the time after a running server turned cold
		// without an announcement in which it may still get more requests than
		// its capacity.
		MaxColdDetection time.Duration
		// MaxLeaveDuringFault replaces MaxLeave while the log or a node was
		// unreachable, or a node was paused.
		MaxLeaveDuringFault time.Duration
		// MaxClockSkew is the maximum difference between the clocks of the
		// run.
		MaxClockSkew time.Duration
		// MaxConfigDelay is the time in which a configuration must be in force
		// on every node.
		MaxConfigDelay time.Duration
		// MaxLeave is the time after which a server or failure domain that
		// leaves service must get no new work.
		MaxLeave time.Duration
		// RetryRatio is the number of retries allowed for each first attempt,
		// in addition to MaxChainRetries for each backend server.
		RetryRatio float64
		// MaxShedFraction is the fraction of a priority's requests that may be
		// shed while a lower priority is served.
		MaxShedFraction float64
		// ShedWindow is the length of the time windows in which the requests
		// for MaxShedFraction are compared.
		ShedWindow time.Duration
		// MaxKeyWithdrawal is the time after which a withdrawn key must be
		// refused.
		MaxKeyWithdrawal time.Duration
	}

	// Violation is one violation of a guarantee.
	Violation struct {
		// Guarantee is the violated guarantee.
		Guarantee Guarantee `json:"promise"`
		// Detail describes the violation.
		Detail string `json:"detail"`
	}

	// Guarantee is the name of a property that must always hold.
	Guarantee string

	// checkFunc returns one detail for each violation.
	checkFunc func(x *historyIndex, b Bounds) []string
)

var checks = []struct {
	guarantee Guarantee
	check     checkFunc
}{
	{GuaranteeChainRetries, checkChainRetries},
	{GuaranteePriorityOrder, checkPriorityOrder},
	{GuaranteeRightCustomer, checkRightCustomer},
	{GuaranteeKeyHidden, checkKeyHidden},
	{GuaranteeKeyWithdrawn, checkKeyWithdrawn},
	{GuaranteeRateLimit, checkRateLimit},
	{GuaranteeColdServer, checkColdServer},
	{GuaranteeDomainOutOfService, checkDomainOutOfService},
	{GuaranteeWholeAnswer, checkWholeAnswer},
	{GuaranteeNotRun, checkNotRun},
	{GuaranteeAtMostOnce, checkAtMostOnce},
	{GuaranteeLeavingServer, checkLeavingServer},
	{GuaranteePlannedStop, checkPlannedStop},
	{GuaranteeConfigInForce, checkConfigInForce},
}

// CountViolations returns the number of violations of a guarantee.
func CountViolations(violations []Violation, g Guarantee) (n int) {
	for _, v := range violations {
		if v.Guarantee == g {
			n++
		}
	}
	return n
}

// DefaultBounds returns the bounds specified by the users and the design.
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

// Guarantees returns all guarantees in the order of the users' list.
func Guarantees() (all []Guarantee) {
	for _, c := range checks {
		all = append(all, c.guarantee)
	}
	return all
}

// Verify returns all violations of guarantees in a run.
func Verify(h recorder.History, b Bounds) (found []Violation) {
	x := newHistoryIndex(h)
	for _, c := range checks {
		details := c.check(x, b)
		slices.Sort(details)
		for _, detail := range details {
			found = append(found, Violation{Guarantee: c.guarantee, Detail: detail})
		}
	}
	return found
}

// String returns the guarantee and the detail on one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s", v.Guarantee, v.Detail)
}
