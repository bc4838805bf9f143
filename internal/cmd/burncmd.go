package cmd

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/illustrator"
	"github.com/flamingotack/flamingotack/internal/meter"
	"github.com/flamingotack/flamingotack/internal/operator"
	"github.com/flamingotack/flamingotack/internal/parser"
	"github.com/flamingotack/flamingotack/internal/reporter"
	"github.com/flamingotack/flamingotack/internal/tabulator"
)

const (
	burnDescription = `Gathers the counts of all nodes and shows how fast each service spends the error
budget of its objective. Only requests of callers count, not those between
backend servers. A complete answer in time is good. A late, failed or
incomplete answer and a refusal are bad, unless the caller itself is the cause:
a wrong key or request, an exceeded rate, a caller that disconnected.

A burn rate of 1 spends exactly the budget. A page needs 14.4 over 1h and 5m, or
6 over 6h and 30m; a ticket needs 1 over 3d and 6h (Google SRE Workbook, chapter
"Alerting on SLOs"). A node counts from its start, over three days at most; the
counts of a replaced node are lost.

WRONGFUL counts the refusals for the rate in the last 5m that one token bucket
shared by all nodes would not have made. It is a lower bound that is computed
from the arrivals per second.

Ends with exit code 5 when a node does not answer.

Examples:
  flamingotack burn
  flamingotack burn --json
  flamingotack burn --html burn.html`

	htmlFlag = "html"

	percent = 100
)

// nodeCounts is the answer of one node to a request for its counts.
type nodeCounts struct {
	member folder.Member
	counts meter.Counts
	err    error
}

func newBurnCmd() *cli.Command {
	return &cli.Command{
		Name:        "burn",
		Usage:       "report how fast services spend their error budgets",
		Description: burnDescription,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: htmlFlag, Usage: "also write a web page with charts to `FILE`"},
		},
		Action: runBurn,
	}
}

func runBurn(ctx context.Context, c *cli.Command) (err error) {
	if err := noArguments(c); err != nil {
		return err
	}
	return withView(ctx, c, func(ctx context.Context, s *session, v *operator.ConfigView) error {
		return s.reportBurn(ctx, v.State, c.String(htmlFlag))
	})
}

// reportBurn prints the report and, unless file is empty, also writes it there as
// a web page. When nodes did not answer, it returns an error that names them.
func (s *session) reportBurn(ctx context.Context, state *folder.State, file string) error {
	if state.Manifest == nil {
		return usageErrorf("no manifest has been published, so there are no objectives")
	}
	report, unanswered := s.gatherReport(ctx, state)
	if file != "" {
		if err := writePage(file, report); err != nil {
			return err
		}
	}
	if err := s.print(burnText(report), report); err != nil {
		return err
	}
	if len(unanswered) > 0 {
		return &operator.LaggingNodesError{Nodes: unanswered}
	}
	return nil
}

// gatherReport asks all nodes for their counts and builds the report of those that
// answer. unanswered are the others.
func (s *session) gatherReport(ctx context.Context, state *folder.State) (r *reporter.Report, unanswered []operator.LaggingNode) {
	answers := operator.QueryMembers(state.Members, func(m folder.Member) nodeCounts {
		counts, err := s.system.Counts(ctx, m)
		return nodeCounts{member: m, counts: counts, err: err}
	})
	var (
		nodes    []meter.Counts
		answered []folder.Member
	)
	for _, a := range answers {
		if a.err != nil {
			unanswered = append(unanswered, operator.LaggingNode{Name: a.member.Name, AdminAddress: a.member.AdminAddress, Problem: "unreachable"})
			continue
		}
		nodes = append(nodes, a.counts)
		answered = append(answered, a.member)
	}
	r = reporter.Build(state.Manifest, nodes)
	r.Version = state.ConfigVersion
	for _, n := range unanswered {
		r.Missing = append(r.Missing, n.Name)
	}
	s.countWrongfulRefusals(ctx, r, state, answered)
	return r, unanswered
}

// countWrongfulRefusals counts the wrongful refusals of customers that were
// refused for their rate. Without the arrivals on one node rightful refusals would
// look wrongful, so the count stays 0 when a node does not answer.
func (s *session) countWrongfulRefusals(ctx context.Context, r *reporter.Report, state *folder.State, members []folder.Member) {
	if len(r.Missing) > 0 {
		return
	}
	for _, name := range r.RateLimitedCustomers() {
		customer, found := state.Manifest.Customer(name)
		if arrivals, complete := s.gatherArrivals(ctx, members, name); found && complete {
			r.CountWrongfulRefusals(customer, arrivals)
		}
	}
}

// gatherArrivals asks all members for a customer's arrivals. complete is false
// when one of them does not answer.
func (s *session) gatherArrivals(ctx context.Context, members []folder.Member, customer string) (all []meter.Arrivals, complete bool) {
	answers := operator.QueryMembers(members, func(m folder.Member) *meter.Arrivals {
		a, err := s.system.Arrivals(ctx, m, customer)
		if err != nil {
			return nil
		}
		return &a
	})
	for _, a := range answers {
		if a == nil {
			return nil, false
		}
		all = append(all, *a)
	}
	return all, true
}

// writePage writes the report to a file as a web page. It writes nothing when the
// page can't be rendered.
func writePage(file string, r *reporter.Report) (err error) {
	var page bytes.Buffer
	if err := illustrator.WritePage(&page, r, time.Now()); err != nil {
		return err
	}
	return os.WriteFile(file, page.Bytes(), 0o644)
}

func burnText(r *reporter.Report) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Version %d, %d nodes that have counted for %s to %s\n", r.Version, r.Nodes, roundToSeconds(r.MinCountingDuration), roundToSeconds(r.MaxCountingDuration))
	if len(r.Missing) > 0 {
		fmt.Fprintf(&b, "NOT in these figures, because unreachable: %s\n", strings.Join(r.Missing, ", "))
		fmt.Fprintf(&b, "Wrongful refusals are not counted without them.\n")
	}
	fmt.Fprintf(&b, "\nError budgets (burn rate over each span)\n%s", serviceTable(r))
	fmt.Fprintf(&b, "\nPriorities, last hour\n%s", priorityTable(r))
	fmt.Fprintf(&b, "\nCustomers, last hour, the worst served first\n%s", customerTable(r))
	if worst, found := r.WorstCustomer(); found {
		fmt.Fprintf(&b, "\nWorst served: %s, %s of %d requests well\n", worst.Name, goodPercent(worst.Tally), worst.Good+worst.Bad)
	}
	if len(r.Reasons) > 0 {
		fmt.Fprintf(&b, "Not answered well, last hour: %s\n", reasonList(r.Reasons))
	}
	return b.String()
}

func customerTable(r *reporter.Report) *tabulator.Table {
	table := tabulator.New("CUSTOMER", "GOOD", "BAD", "WELL", "RATE, 5m", "WRONGFUL", "NOT ANSWERED WELL")
	for _, c := range r.Customers {
		table.AddRow(c.Name, c.Good, c.Bad, goodPercent(c.Tally), c.RateRefusals, c.WrongfulRefusals, reasonList(c.Reasons))
	}
	return table
}

func priorityTable(r *reporter.Report) *tabulator.Table {
	table := tabulator.New("SERVICE", "PRIORITY", "GOOD", "BAD", "WELL")
	for _, v := range r.Services {
		for _, l := range v.PriorityTallies {
			table.AddRow(v.Name, l.Priority, l.Good, l.Bad, goodPercent(l.Tally))
		}
	}
	return table
}

func reasonList(reasons map[meter.Outcome]uint64) string {
	parts := make([]string, 0, len(reasons))
	for _, o := range slices.Sorted(maps.Keys(reasons)) {
		parts = append(parts, fmt.Sprintf("%s %d", o, reasons[o]))
	}
	return strings.Join(parts, ", ")
}

func formatBurnRate(rate float64) string {
	return fmt.Sprintf("%.1f", rate)
}

func roundToSeconds(d parser.Duration) time.Duration {
	return d.Std().Round(time.Second)
}

func serviceTable(r *reporter.Report) *tabulator.Table {
	table := tabulator.New("SERVICE", "CLASS", "OBJECTIVE", "5m", "30m", "1h", "6h", "3d", "BUDGET LEFT", "ALERT")
	for _, l := range r.Lines() {
		objective := fmt.Sprintf("%g%%", percent*l.Objective.Good)
		if l.Objective.Latency > 0 {
			objective += fmt.Sprintf(" in %s", l.Objective.Latency)
		}
		burn := l.BurnRates
		table.AddRow(l.Service, l.Class, objective, formatBurnRate(burn[0]), formatBurnRate(burn[1]), formatBurnRate(burn[2]), formatBurnRate(burn[3]), formatBurnRate(burn[4]),
			fmt.Sprintf("%.0f%%", percent*l.BudgetLeftFraction), l.Alert)
	}
	return table
}

func goodPercent(t reporter.Tally) string {
	if t.Good+t.Bad == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", percent*float64(t.Good)/float64(t.Good+t.Bad))
}
