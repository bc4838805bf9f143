package loader

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/checker"
)

const (
	tablePadding = 2
	unrecovered  = "never"
)

type (
	// Report is the outcome of all runs of a scenario.
	Report struct {
		// Scenario is its name.
		Scenario string `json:"scenario"`
		// Results are those of all runs, by policy and seed.
		Results []Result `json:"results"`
	}

	// row is one measure.
	row struct {
		name string
		// lowIsBad tells that the smallest value is the worst.
		lowIsBad bool
		value    func(r Result) float64
		format   func(v float64) string
	}
)

var rows = []row{
	{"goodput while events last, part of what servers bear", true, func(r Result) float64 { return r.Goodput.CapacityFraction }, percent},
	{"goodput while events last, requests/s", true, func(r Result) float64 { return r.Goodput.DuringPerSecond }, number},
	{"recovery after an event, s", false, recoverySeconds, seconds},
	{"worst-served customer, part of its fair share", true, func(r Result) float64 { return r.WorstServed.FairShareFraction }, percent},
	{"refused inside the rate, any reason", false, func(r Result) float64 { return r.RefusedInsideRate.AnyReason }, percent},
	{"kept from the rate, as above it", false, func(r Result) float64 { return r.RefusedInsideRate.RateShortfall }, percent},
	{"refused inside the rate, as above it", false, func(r Result) float64 { return r.RefusedInsideRate.OverRate }, percent},
	{"while a failure domain leaves and returns, part of what servers bear", true, func(r Result) float64 { return r.DomainOutageFraction }, percent},
	{"served at the highest priority while events last", true, highestServed, percent},
	{"latency of served requests, p50, ms", false, func(r Result) float64 { return r.Latency.MedianMillis }, number},
	{"latency of served requests, p99, ms", false, func(r Result) float64 { return r.Latency.P99Millis }, number},
	{"sends for each request", false, func(r Result) float64 { return r.AttemptsPerRequest }, factor},
	{"work of servers that served nobody", false, func(r Result) float64 { return r.WastedFraction }, percent},
}

// Broken returns the number of breaches over all runs of a policy.
func (p Report) CountViolations(policy string) (n int) {
	for _, r := range p.of(policy) {
		for _, b := range r.Violations {
			n += b.Count
		}
	}
	return n
}

// Write prints a table with the median and the worst run of each policy.
func (p Report) Write(w io.Writer) (err error) {
	defer func() { err = errors.Wrap(err, "write table") }()
	var b strings.Builder
	b.WriteString(p.Scenario)
	for _, policy := range p.policies() {
		fmt.Fprintf(&b, "\t%s median\tworst", policy)
	}
	b.WriteString("\n")
	for _, one := range rows {
		p.writeRow(&b, one)
	}
	for _, promise := range checker.Guarantees() {
		p.writePromise(&b, promise)
	}
	t := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
	if _, err := io.WriteString(t, b.String()); err != nil {
		return err
	}
	return t.Flush()
}

func (p Report) of(policy string) (results []Result) {
	for _, r := range p.Results {
		if r.Policy == policy {
			results = append(results, r)
		}
	}
	return results
}

func (p Report) policies() (names []string) {
	for _, r := range p.Results {
		if !slices.Contains(names, r.Policy) {
			names = append(names, r.Policy)
		}
	}
	return names
}

func (p Report) writePromise(b *strings.Builder, promise checker.Guarantee) {
	counts := row{
		name:   "broken: " + string(promise),
		value:  func(r Result) float64 { return float64(r.count(promise)) },
		format: number,
	}
	if slices.ContainsFunc(p.Results, func(r Result) bool { return r.count(promise) > 0 }) {
		p.writeRow(b, counts)
	}
}

func (p Report) writeRow(b *strings.Builder, one row) {
	b.WriteString(one.name)
	for _, policy := range p.policies() {
		median, worst := one.summary(p.of(policy))
		fmt.Fprintf(b, "\t%s\t%s", one.format(median), one.format(worst))
	}
	b.WriteString("\n")
}

// summary returns the median and the worst value of some runs.
func (w row) summary(results []Result) (median, worst float64) {
	values := make([]float64, 0, len(results))
	for _, r := range results {
		values = append(values, w.value(r))
	}
	slices.Sort(values)
	median = values[len(values)/2]
	if w.lowIsBad {
		return median, values[0]
	}
	return median, values[len(values)-1]
}

func (r Result) count(promise checker.Guarantee) int {
	for _, b := range r.Violations {
		if b.Guarantee == promise {
			return b.Count
		}
	}
	return 0
}

func factor(v float64) string {
	return fmt.Sprintf("%.2f", v)
}

func highestServed(r Result) float64 {
	if len(r.Priorities) == 0 {
		return 1
	}
	return r.Priorities[0].ServedFraction
}

func number(v float64) string {
	return fmt.Sprintf("%.0f", v)
}

func percent(v float64) string {
	return fmt.Sprintf("%.2f%%", 100*v)
}

// recoverySeconds is longer than any run for one that did not recover.
func recoverySeconds(r Result) float64 {
	if !r.Recovered {
		return maxScenarioTime.Std().Seconds()
	}
	return r.RecoverySeconds
}

func seconds(v float64) string {
	if v >= maxScenarioTime.Std().Seconds() {
		return unrecovered
	}
	return fmt.Sprintf("%.2f", v)
}
