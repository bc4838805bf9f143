package checker

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/recorder"
)

var shedReasons = []exchanger.Reason{
	exchanger.ReasonRetryBudget,
	exchanger.ReasonCold,
	exchanger.ReasonDeadline,
	exchanger.ReasonOverload,
}

type (
	// servicePriority identifies a priority at a service.
	servicePriority struct {
		service  string
		priority exchanger.Priority
	}

	// outcomeCounts counts requests by outcome and priority.
	outcomeCounts struct {
		sent, served, shed [exchanger.PriorityCount]int
	}

	// serviceWindow identifies a time window at a service.
	serviceWindow struct {
		service      string
		windowNumber int64
	}
)

// checkChainRetries finds chain paths that ran too often, and services whose
// retries exceed RetryRatio.
func checkChainRetries(x *historyIndex, b Bounds) (found []string) {
	executionsByChainPath := map[string]int{}
	serversByService := map[string]map[string]bool{}
	executionsByService := map[string]int{}
	firstAttemptsByService := map[string]int{}
	for _, e := range x.Executions {
		if e.ChainPath == "" {
			continue
		}
		if executionsByChainPath[e.ChainPath] == 0 {
			firstAttemptsByService[e.Service]++
		}
		executionsByChainPath[e.ChainPath]++
		executionsByService[e.Service]++
		if serversByService[e.Service] == nil {
			serversByService[e.Service] = map[string]bool{}
		}
		serversByService[e.Service][e.Server] = true
	}
	for chain, n := range executionsByChainPath {
		if n > 1+b.MaxChainRetries {
			found = append(found, fmt.Sprintf("chain path %s ran %d times", chain, n))
		}
	}
	for service, n := range executionsByService {
		bound := float64(firstAttemptsByService[service])*(1+b.RetryRatio) + float64(b.MaxChainRetries*len(serversByService[service]))
		if float64(n) > bound {
			found = append(found, fmt.Sprintf("service %q ran %d requests for %d first attempts", service, n, firstAttemptsByService[service]))
		}
	}
	return found
}

// checkColdServer finds executions that exceeded the capacity of a cold
// server.
func checkColdServer(x *historyIndex, b Bounds) (found []string) {
	turnedColdAt := map[string][]time.Time{}
	for _, e := range x.Events {
		if e.Kind == recorder.EventServerCold {
			turnedColdAt[e.Name] = append(turnedColdAt[e.Name], e.At)
		}
	}
	for _, e := range x.Executions {
		if e.State != recorder.ServerStateCold || e.Concurrency <= e.CapacitySlots {
			continue
		}
		unnoticed := slices.ContainsFunc(turnedColdAt[e.Server], func(at time.Time) bool {
			return e.Start.Sub(at).Abs() <= b.MaxColdDetection
		})
		if !unnoticed {
			found = append(found, fmt.Sprintf("cold server %q had %d requests and a capacity of %d, %s after it turned cold",
				e.Server, e.Concurrency, e.CapacitySlots, e.Start.Sub(e.StateSince)))
		}
	}
	return found
}

// checkPriorityOrder finds priorities that were shed while a lower priority
// was served.
func checkPriorityOrder(x *historyIndex, b Bounds) (found []string) {
	countsByWindow := map[serviceWindow]*outcomeCounts{}
	for _, c := range x.Calls {
		if !recorder.IsRoot(c.ChainPath) {
			continue
		}
		w := serviceWindow{c.Service, c.Start.UnixNano() / int64(b.ShedWindow)}
		if countsByWindow[w] == nil {
			countsByWindow[w] = &outcomeCounts{}
		}
		countsByWindow[w].count(c)
	}
	sent, shed := map[servicePriority]int{}, map[servicePriority]int{}
	for w, counts := range countsByWindow {
		lowerServed := 0
		for p := exchanger.PriorityCount - 1; p >= 0; p-- {
			if lowerServed > 0 {
				sent[servicePriority{w.service, p}] += counts.sent[p]
				shed[servicePriority{w.service, p}] += counts.shed[p]
			}
			lowerServed += counts.served[p]
		}
	}
	for c, n := range shed {
		if float64(n) > b.MaxShedFraction*float64(sent[c]) {
			found = append(found, fmt.Sprintf("service %q shed %d of %d requests of priority %q while it served lower ones",
				c.service, n, sent[c], c.priority))
		}
	}
	return found
}

func (t *outcomeCounts) count(c recorder.Call) {
	if c.Priority < 0 || c.Priority >= exchanger.PriorityCount {
		return
	}
	t.sent[c.Priority]++
	switch {
	case c.Outcome == recorder.CallAnswered && c.Status < http.StatusBadRequest:
		t.served[c.Priority]++
	case c.Outcome == recorder.CallRefused && slices.Contains(shedReasons, c.Reason):
		t.shed[c.Priority]++
	}
}
