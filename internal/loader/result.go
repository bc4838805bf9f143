package loader

import (
	"github.com/flamingotack/flamingotack/internal/checker"
	"github.com/flamingotack/flamingotack/internal/exchanger"
)

type (
	// Broken counts the breaches of a promise.
	GuaranteeViolations struct {
		// Promise is the broken one.
		Guarantee checker.Guarantee `json:"promise"`
		// Count is the number of breaches.
		Count int `json:"count"`
		// First names what broke it first.
		FirstViolation string `json:"first"`
	}

	// Goodput is the number of requests a second that got a whole answer
	// within their deadline, counted from the first send, by when they began.
	Goodput struct {
		// Before is that before the first event.
		BeforePerSecond float64 `json:"before"`
		// During is that while events last.
		DuringPerSecond float64 `json:"during"`
		// Bears is what the servers bear of what is asked while events last.
		CapacityPerSecond float64 `json:"bears"`
		// Share is During as a part of Bears; 1 when they bear nothing.
		CapacityFraction float64 `json:"share"`
	}

	// Latency is how long served requests took, in milliseconds.
	Latency struct {
		// Median and High are the 50th and the 99th percentile.
		MedianMillis float64 `json:"median"`
		P99Millis    float64 `json:"high"`
	}

	// PriorityShare is how the requests of one priority fared while events
	// lasted.
	PriorityResult struct {
		// Priority is that of the route.
		Priority exchanger.Priority `json:"priority"`
		// Sent is the number of requests.
		Requests int `json:"sent"`
		// Served is the part that got a whole answer in time.
		ServedFraction float64 `json:"served"`
	}

	// ReasonCount counts refusals.
	ReasonCount struct {
		// Reason is that of the refusal, or how the call ended otherwise.
		Reason string `json:"reason"`
		// Count is the number of sends.
		Count int `json:"count"`
	}

	// Refused counts refusals of requests that were inside their customer's
	// rate, as a part of all such sends.
	RefusalFractions struct {
		// Any is the part that was refused for any reason.
		AnyReason float64 `json:"any"`
		// Rate is the part that was refused as above the rate.
		OverRate float64 `json:"rate"`
		// Short is the part of what one exact bucket would have let through
		// from which the refusals as above the rate kept the customers.
		RateShortfall float64 `json:"short"`
	}

	// Result is what one run measured.
	Result struct {
		// Scenario, Policy and Seed tell which run it was.
		Scenario string `json:"scenario"`
		Policy   string `json:"policy"`
		Seed     uint64 `json:"seed"`
		// Requests is the number of requests that callers began after the
		// warm-up. All measures leave the warm-up out; the promises count it.
		Requests int `json:"requests"`
		// Skipped is the number that the tool did not begin, because too
		// many were under way.
		SkippedRequests int `json:"skipped"`
		// Goodput is that of whole requests.
		Goodput Goodput `json:"goodput"`
		// Recovery is the time after an event's end until 0.9 of the usual
		// part of the requests is served again, in seconds; the longest one.
		RecoverySeconds float64 `json:"recovery"`
		// Recovered is false when that did not come about.
		Recovered bool `json:"recovered"`
		// Worst is the customer that got least of its fair share while
		// events lasted.
		WorstServed CustomerShare `json:"worst"`
		// Refused counts refusals inside the rate.
		RefusedInsideRate RefusalFractions `json:"refused"`
		// Domain is the part of what the servers bear that was served while
		// a failure domain was out and for 3 s after its return; 0 without.
		DomainOutageFraction float64 `json:"domain"`
		// Priorities are in order, the most important first.
		Priorities []PriorityResult `json:"priorities"`
		// Latency is that of served requests.
		Latency Latency `json:"latency"`
		// Sends is the number of sends for each request.
		AttemptsPerRequest float64 `json:"sends"`
		// Wasted is the part of the servers' work that served no request.
		WastedFraction float64 `json:"wasted"`
		// Refusals are by reason, the most frequent first.
		RefusalsByReason []ReasonCount `json:"refusals"`
		// Broken are the promises with breaches.
		Violations []GuaranteeViolations `json:"broken"`
	}

	// Share is what a customer got.
	CustomerShare struct {
		// Customer is its name.
		Customer string `json:"customer"`
		// Share is what it got as a part of its fair share, at most 1.
		FairShareFraction float64 `json:"share"`
	}
)
