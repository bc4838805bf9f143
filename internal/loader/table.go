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
	tablePadding     = 2
	notRecoveredText = "never"
)

type (
	// Report contains the results of all runs of a scenario.
	Report struct {
		// Scenario is the name of the scenario.
		Scenario string `json:"scenario"`
		// Results are ordered by policy and seed.
		Results []Result `json:"results"`
	}

	// measureRow is a row of the table with one measure.
	measureRow struct {
		name string
		// lowestIsWorst reports whether the smallest value is the worst.
		lowestIsWorst bool
		value         func(r Result) float64
		format        func(v float64) string
	}
)

var measureRows = []measureRow{
	{"goodput while events last, part of what servers bear", true, func(r Result) float64 { return r.Goodput.CapacityFraction }, formatPercent},
	{"goodput while events last, requests/s", true, func(r Result) float64 { return r.Goodput.DuringPerSecond }, formatNumber},
	{"recovery after an event, s", false, recoverySecondsOrMax, formatSeconds},
	{"worst-served customer, part of its fair share", true, func(r Result) float64 { return r.WorstServed.FairShareFraction }, formatPercent},
	{"refused inside the rate, any reason", false, func(r Result) float64 { return r.RefusedInsideRate.AnyReason }, formatPercent},
	{"kept from the rate, as above it", false, func(r Result) float64 { return r.RefusedInsideRate.RateShortfall }, formatPercent},
	{"refused inside the rate, as above it", false, func(r Result) float64 { return r.RefusedInsideRate.OverRate }, formatPercent},
	{"while a failure domain leaves and returns, part of what servers bear", true, func(r Result) float64 { return r.DomainOutageFraction }, formatPercent},
	{"served at the highest priority while events last", true, highestPriorityServed, formatPercent},
	{"latency of served requests, p50, ms", false, func(r Result) float64 { return r.Latency.MedianMillis }, formatNumber},
	{"latency of served requests, p99, ms", false, func(r Result) float64 { return r.Latency.P99Millis }, formatNumber},
	{"sends for each request", false, func(r Result) float64 { return r.AttemptsPerRequest }, formatFactor},
	{"work of servers that served nobody", false, func(r Result) float64 { return r.WastedFraction }, formatPercent},
}

// CountViolations returns the number of guarantee violations in all runs of a
// policy.
func (p Report) CountViolations(policy string) (n int) {
	for _, r := range p.resultsOf(policy) {
		for _, b := range r.Violations {
			n += b.Count
		}
	}
	return n
}

// Write writes a table with the median and the worst value of each measure for
// each policy.
func (p Report) Write(w io.Writer) (err error) {
	defer func() { err = errors.Wrap(err, "write table") }()
	var b strings.Builder
	b.WriteString(p.Scenario)
	for _, policy := range p.policies() {
		fmt.Fprintf(&b, "\t%s median\tworst", policy)
	}
	b.WriteString("\n")
	for _, one := range measureRows {
		p.writeRow(&b, one)
	}
	for _, guarantee := range checker.Guarantees() {
		p.writeGuarantee(&b, guarantee)
	}
	t := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
	if _, err := io.WriteString(t, b.String()); err != nil {
		return err
	}
	return t.Flush()
}

func (p Report) resultsOf(policy string) (results []Result) {
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

func (p Report) writeGuarantee(b *strings.Builder, guarantee checker.Guarantee) {
	counts := measureRow{
		name:   "broken: " + string(guarantee),
		value:  func(r Result) float64 { return float64(r.violationCount(guarantee)) },
		format: formatNumber,
	}
	if slices.ContainsFunc(p.Results, func(r Result) bool { return r.violationCount(guarantee) > 0 }) {
		p.writeRow(b, counts)
	}
}

func (p Report) writeRow(b *strings.Builder, one measureRow) {
	b.WriteString(one.name)
	for _, policy := range p.policies() {
		median, worst := one.summary(p.resultsOf(policy))
		fmt.Fprintf(b, "\t%s\t%s", one.format(median), one.format(worst))
	}
	b.WriteString("\n")
}

// summary returns the median and the worst value over the given runs.
func (w measureRow) summary(results []Result) (median, worst float64) {
	values := make([]float64, 0, len(results))
	for _, r := range results {
		values = append(values, w.value(r))
	}
	slices.Sort(values)
	median = values[len(values)/2]
	if w.lowestIsWorst {
		return median, values[0]
	}
	return median, values[len(values)-1]
}

func (r Result) violationCount(guarantee checker.Guarantee) int {
	for _, b := range r.Violations {
		if b.Guarantee == guarantee {
			return b.Count
		}
	}
	return 0
}

func formatFactor(v float64) string {
	return fmt.Sprintf("%.2f", v)
}

func highestPriorityServed(r Result) float64 {
	if len(r.Priorities) == 0 {
		return 1
	}
	return r.Priorities[0].ServedFraction
}

func formatNumber(v float64) string {
	return fmt.Sprintf("%.0f", v)
}

func formatPercent(v float64) string {
	return fmt.Sprintf("%.2f%%", 100*v)
}

// recoverySecondsOrMax returns the recovery time in seconds, or the maximum
// duration of a scenario if the run did not recover.
func recoverySecondsOrMax(r Result) float64 {
	if !r.Recovered {
		return maxScenarioDuration.Std().Seconds()
	}
	return r.RecoverySeconds
}

func formatSeconds(v float64) string {
	if v >= maxScenarioDuration.Std().Seconds() {
		return notRecoveredText
	}
	return fmt.Sprintf("%.2f", v)
}
