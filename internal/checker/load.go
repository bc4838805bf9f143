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
	// shedCount counts what became of the requests of one priority.
	shedCount struct {
		service  string
		priority exchanger.Priority
	}

	// tally counts requests by priority.
	tally struct {
		sent, served, shed [exchanger.PriorityCount]int
	}

	// moment is a window of time at a service.
	moment struct {
		service string
		window  int64
	}
)

// chainRetries finds places of a chain that ran too often, and services whose
// extra executions pass the ratio.
func chainRetries(x *index, b Bounds) (found []string) {
	places := map[string]int{}
	services := map[string]map[string]bool{}
	total := map[string]int{}
	first := map[string]int{}
	for _, e := range x.Executions {
		if e.ChainPath == "" {
			continue
		}
		if places[e.ChainPath] == 0 {
			first[e.Service]++
		}
		places[e.ChainPath]++
		total[e.Service]++
		if services[e.Service] == nil {
			services[e.Service] = map[string]bool{}
		}
		services[e.Service][e.Server] = true
	}
	for chain, n := range places {
		if n > 1+b.Budget {
			found = append(found, fmt.Sprintf("place %s of a call chain ran %d times", chain, n))
		}
	}
	for service, n := range total {
		bound := float64(first[service])*(1+b.RetryRatio) + float64(b.Budget*len(services[service]))
		if float64(n) > bound {
			found = append(found, fmt.Sprintf("service %q ran %d requests for %d first attempts", service, n, first[service]))
		}
	}
	return found
}

// cold finds executions that came to a cold server past what it bore.
func cold(x *index, b Bounds) (found []string) {
	turned := map[string][]time.Time{}
	for _, e := range x.Events {
		if e.Kind == recorder.EventServerCold {
			turned[e.Name] = append(turned[e.Name], e.At)
		}
	}
	for _, e := range x.Executions {
		if e.State != recorder.ServerStateCold || e.Concurrency <= e.CapacitySlots {
			continue
		}
		unnoticed := slices.ContainsFunc(turned[e.Server], func(at time.Time) bool {
			return e.Start.Sub(at).Abs() <= b.ColdNotice
		})
		if !unnoticed {
			found = append(found, fmt.Sprintf("cold server %q had %d requests and bore %d, %s after it turned cold",
				e.Server, e.Concurrency, e.CapacitySlots, e.Start.Sub(e.StateSince)))
		}
	}
	return found
}

// importantLast finds priorities that were shed while a lower one was served.
func importantLast(x *index, b Bounds) (found []string) {
	moments := map[moment]*tally{}
	for _, c := range x.Calls {
		if !recorder.IsRoot(c.ChainPath) {
			continue
		}
		m := moment{c.Service, c.Start.UnixNano() / int64(b.ShedWindow)}
		if moments[m] == nil {
			moments[m] = &tally{}
		}
		moments[m].count(c)
	}
	sent, shed := map[shedCount]int{}, map[shedCount]int{}
	for m, t := range moments {
		lowerServed := 0
		for p := exchanger.PriorityCount - 1; p >= 0; p-- {
			if lowerServed > 0 {
				sent[shedCount{m.service, p}] += t.sent[p]
				shed[shedCount{m.service, p}] += t.shed[p]
			}
			lowerServed += t.served[p]
		}
	}
	for c, n := range shed {
		if float64(n) > b.ShedRatio*float64(sent[c]) {
			found = append(found, fmt.Sprintf("service %q shed %d of %d requests of priority %q while it served lower ones",
				c.service, n, sent[c], c.priority))
		}
	}
	return found
}

func (t *tally) count(c recorder.Call) {
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
