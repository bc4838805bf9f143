package demonstrator

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/recorder"
	"github.com/flamingotack/flamingotack/internal/tabulator"
)

// summary counts the calls of one customer or priority.
type summary struct {
	sent    int
	served  int
	failed  map[string]int
	refused map[exchanger.Reason]int
	took    []time.Duration
}

// byCustomer returns a table with a line for each demand.
func byCustomer(calls []recorder.Call, demands []CustomerLoad, span time.Duration) *tabulator.Table {
	sums := summarize(calls, func(c recorder.Call) string { return c.Customer })
	table := tabulator.New("CUSTOMER", "RATE/s", "SENT/s", "SERVED", "p50", "p99", "NOT SERVED", "")
	for _, d := range demands {
		s := sums[d.Customer.Name]
		if s == nil {
			s = &summary{}
		}
		perSecond := fmt.Sprintf("%.0f", float64(s.sent)/span.Seconds())
		table.Add(d.Customer.Name, d.Customer.Rate, perSecond, s.share(), s.quantile(0.5), s.quantile(0.99), s.notServed(), s.reasons())
	}
	return table
}

// byPriority returns a table with a line for each priority.
func byPriority(calls []recorder.Call) *tabulator.Table {
	sums := summarize(calls, func(c recorder.Call) string { return c.Priority.String() })
	table := tabulator.New("PRIORITY", "SENT", "SERVED", "p50", "p99", "NOT SERVED", "")
	for p := range exchanger.PriorityCount {
		if s := sums[p.String()]; s != nil {
			table.Add(p, s.sent, s.share(), s.quantile(0.5), s.quantile(0.99), s.notServed(), s.reasons())
		}
	}
	return table
}

func (s *summary) add(c recorder.Call) {
	s.sent++
	switch {
	case c.Outcome == recorder.CallRefused:
		s.refused[c.Reason]++
	case c.Outcome == recorder.CallAnswered && c.Status == http.StatusOK && c.AnswerComplete:
		s.served++
		s.took = append(s.took, c.Finish.Sub(c.Start))
	default:
		s.failed[failure(c)]++
	}
}

func (s *summary) notServed() int {
	return s.sent - s.served
}

// quantile returns how long that part of the served calls took at most.
func (s *summary) quantile(q float64) string {
	if len(s.took) == 0 {
		return "-"
	}
	slices.Sort(s.took)
	took := s.took[int(q*float64(len(s.took)-1))]
	return fmt.Sprintf("%.1f ms", float64(took)/float64(time.Millisecond))
}

// reasons returns the refusals by reason.
func (s *summary) reasons() string {
	parts := make([]string, 0, len(s.refused)+len(s.failed))
	for _, r := range slices.Sorted(maps.Keys(s.refused)) {
		parts = append(parts, fmt.Sprintf("%s %d", r, s.refused[r]))
	}
	for _, f := range slices.Sorted(maps.Keys(s.failed)) {
		parts = append(parts, fmt.Sprintf("%s %d", f, s.failed[f]))
	}
	return strings.Join(parts, ", ")
}

func (s *summary) share() string {
	if s.sent == 0 {
		return "-"
	}
	return fmt.Sprintf("%d%%", 100*s.served/s.sent)
}

// failure names how a call failed that was not refused.
func failure(c recorder.Call) string {
	if c.Outcome == recorder.CallAnswered {
		return fmt.Sprintf("status %d", c.Status)
	}
	return string(c.Outcome)
}

func summarize(calls []recorder.Call, name func(recorder.Call) string) map[string]*summary {
	sums := map[string]*summary{}
	for _, c := range calls {
		s := sums[name(c)]
		if s == nil {
			s = &summary{failed: map[string]int{}, refused: map[exchanger.Reason]int{}}
			sums[name(c)] = s
		}
		s.add(c)
	}
	return sums
}
