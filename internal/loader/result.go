package loader

import (
	"github.com/flamingotack/flamingotack/internal/checker"
	"github.com/flamingotack/flamingotack/internal/exchanger"
)

type (
	// GuaranteeViolations counts the violations of one guarantee.
	GuaranteeViolations struct {
		// Guarantee is the violated guarantee.
		Guarantee checker.Guarantee `json:"promise"`
		// Count is the number of violations.
		Count int `json:"count"`
		// FirstViolation is the detail of the first violation.
		FirstViolation string `json:"first"`
	}

	// Goodput is the number of requests per second that got a whole answer
	// within their deadline, counted from the first attempt. Requests are
	// assigned to a period by their start time.
	Goodput struct {
		// BeforePerSecond is the goodput before the first event.
		BeforePerSecond float64 `json:"before"`
		// DuringPerSecond is the goodput while events are active.
		DuringPerSecond float64 `json:"during"`
		// CapacityPerSecond is the number of offered requests that the servers
		// could serve per second while events are active.
		CapacityPerSecond float64 `json:"bears"`
		// CapacityFraction is DuringPerSecond divided by CapacityPerSecond, or
		// 1 if the capacity is 0.
		CapacityFraction float64 `json:"share"`
	}

	// Latency is the latency of served requests in milliseconds.
	Latency struct {
		// MedianMillis and P99Millis are the 50th and the 99th percentile.
		MedianMillis float64 `json:"median"`
		P99Millis    float64 `json:"high"`
	}

	// PriorityResult counts the requests of one priority while events were
	// active.
	PriorityResult struct {
		// Priority is the priority of the route.
		Priority exchanger.Priority `json:"priority"`
		// Requests is the number of requests.
		Requests int `json:"sent"`
		// ServedFraction is the fraction that got a whole answer within the
		// deadline.
		ServedFraction float64 `json:"served"`
	}

	// ReasonCount counts the attempts that ended for one reason.
	ReasonCount struct {
		// Reason is the reason of the refusal, or the outcome of an attempt
		// that was not refused.
		Reason string `json:"reason"`
		// Count is the number of attempts.
		Count int `json:"count"`
	}

	// RefusalFractions describes the refusals of requests that were within
	// their customer's rate, as fractions of all attempts within the rate.
	RefusalFractions struct {
		// AnyReason is the fraction that was refused for any reason.
		AnyReason float64 `json:"any"`
		// OverRate is the fraction that was refused as over the rate.
		OverRate float64 `json:"rate"`
		// RateShortfall is the fraction of the attempts admitted by one exact
		// bucket that the customers were denied by refusals as over the rate.
		RateShortfall float64 `json:"short"`
	}

	// Result contains the measures of one run.
	Result struct {
		// Scenario, Policy and Seed identify the run.
		Scenario string `json:"scenario"`
		Policy   string `json:"policy"`
		Seed     uint64 `json:"seed"`
		// Requests is the number of requests that callers started after the
		// warm-up. All measures exclude the warm-up; the guarantee checks
		// include it.
		Requests int `json:"requests"`
		// SkippedRequests is the number of requests that the tool did not
		// start because too many were in flight.
		SkippedRequests int `json:"skipped"`
		// Goodput counts requests that got a whole answer.
		Goodput Goodput `json:"goodput"`
		// RecoverySeconds is the longest time from the end of an event until
		// the served fraction of the requests is 0.9 of its usual value again,
		// in seconds.
		RecoverySeconds float64 `json:"recovery"`
		// Recovered is false if the system did not recover after some event.
		Recovered bool `json:"recovered"`
		// WorstServed is the customer that got the smallest fraction of its
		// fair share while events were active.
		WorstServed CustomerShare `json:"worst"`
		// RefusedInsideRate describes the refusals within the rate.
		RefusedInsideRate RefusalFractions `json:"refused"`
		// DomainOutageFraction is the fraction of the servers' capacity that
		// was served while a failure domain was out of service and for 3 s
		// after its return; 0 without such an event.
		DomainOutageFraction float64 `json:"domain"`
		// Priorities are ordered from the most to the least important.
		Priorities []PriorityResult `json:"priorities"`
		// Latency is the latency of served requests.
		Latency Latency `json:"latency"`
		// AttemptsPerRequest is the mean number of attempts of a request.
		AttemptsPerRequest float64 `json:"sends"`
		// WastedFraction is the fraction of the servers' work that served no
		// request.
		WastedFraction float64 `json:"wasted"`
		// RefusalsByReason are ordered from the most to the least frequent
		// reason.
		RefusalsByReason []ReasonCount `json:"refusals"`
		// Violations are the violated guarantees.
		Violations []GuaranteeViolations `json:"broken"`
	}

	// CustomerShare is the fraction of its fair share that a customer got.
	CustomerShare struct {
		// Customer is the name of the customer.
		Customer string `json:"customer"`
		// FairShareFraction is the served part of the customer's fair share,
		// at most 1.
		FairShareFraction float64 `json:"share"`
	}
)
