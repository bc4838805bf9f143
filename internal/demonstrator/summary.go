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
	sent      int
	served    int
	failed    map[string]int
	refused   map[exchanger.Reason]int
	latencies []time.Duration
}

// tabulateByCustomer returns a table with a row for each load. duration is the
// time in which the calls were sent.
func tabulateByCustomer(calls []recorder.Call, loads []CustomerLoad, duration time.Duration) *tabulator.Table {
	summaries := summarize(calls, func(c recorder.Call) string { return c.Customer })
	table := tabulator.New("CUSTOMER", "RATE/s", "SENT/s", "SERVED", "p50", "p99", "NOT SERVED", "")
	for _, l := range loads {
		s := summaries[l.Customer.Name]
		if s == nil {
			s = &summary{}
		}
		perSecond := fmt.Sprintf("%.0f", float64(s.sent)/duration.Seconds())
		table.AddRow(l.Customer.Name, l.Customer.RatePerSecond, perSecond, s.servedPercent(), s.latencyQuantile(0.5), s.latencyQuantile(0.99), s.notServed(), s.reasons())
	}
	return table
}

// tabulateByPriority returns a table with a row for each priority that has calls.
func tabulateByPriority(calls []recorder.Call) *tabulator.Table {
	summaries := summarize(calls, func(c recorder.Call) string { return c.Priority.String() })
	table := tabulator.New("PRIORITY", "SENT", "SERVED", "p50", "p99", "NOT SERVED", "")
	for p := range exchanger.PriorityCount {
		if s := summaries[p.String()]; s != nil {
			table.AddRow(p, s.sent, s.servedPercent(), s.latencyQuantile(0.5), s.latencyQuantile(0.99), s.notServed(), s.reasons())
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
		s.latencies = append(s.latencies, c.Finish.Sub(c.Start))
	default:
		s.failed[failureName(c)]++
	}
}

func (s *summary) notServed() int {
	return s.sent - s.served
}

// latencyQuantile returns the q-quantile of the latencies of served calls, in
// milliseconds with the unit, or "-" without served calls.
func (s *summary) latencyQuantile(q float64) string {
	if len(s.latencies) == 0 {
		return "-"
	}
	slices.Sort(s.latencies)
	latency := s.latencies[int(q*float64(len(s.latencies)-1))]
	return fmt.Sprintf("%.1f ms", float64(latency)/float64(time.Millisecond))
}

// reasons returns the numbers of refusals by reason and of other failures by
// name.
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

func (s *summary) servedPercent() string {
	if s.sent == 0 {
		return "-"
	}
	return fmt.Sprintf("%d%%", 100*s.served/s.sent)
}

// failureName names the failure of a call that was not refused: its status, or
// its outcome if it got no complete answer.
func failureName(c recorder.Call) string {
	if c.Outcome == recorder.CallAnswered {
		return fmt.Sprintf("status %d", c.Status)
	}
	return string(c.Outcome)
}

func summarize(calls []recorder.Call, group func(recorder.Call) string) map[string]*summary {
	summaries := map[string]*summary{}
	for _, c := range calls {
		s := summaries[group(c)]
		if s == nil {
			s = &summary{failed: map[string]int{}, refused: map[exchanger.Reason]int{}}
			summaries[group(c)] = s
		}
		s.add(c)
	}
	return summaries
}
