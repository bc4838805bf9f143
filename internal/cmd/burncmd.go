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
backend servers. A whole answer in time is good. An answer that was late,
failed or broke off and a refusal are bad, unless the caller itself is the
cause: a wrong key or request, a rate that was exceeded, a caller that left.

A burn rate of 1 spends exactly the budget. A page needs 14.4 over 1h and 5m, or
6 over 6h and 30m; a ticket needs 1 over 3d and 6h (Google SRE Workbook, chapter
"Alerting on SLOs"). A node counts since it started, for three days at most; what
a replaced node had counted is lost.

WRONGFUL are refusals for the rate in the last 5m that one token bucket for all
nodes would not have made. It is a lower bound from arrivals by the second.

Ends with exit code 5 when a node does not answer.

Examples:
  flamingotack burn
  flamingotack burn --json
  flamingotack burn --html burn.html`

	htmlFlag = "html"

	percent = 100
)

// counted is what one node answered.
type counted struct {
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
	return withView(ctx, c, func(ctx context.Context, s *session, v *operator.View) error {
		return s.burn(ctx, v.State, c.String(htmlFlag))
	})
}

// burn prints the report and, unless file is empty, also writes it there as a
// web page.
func (s *session) burn(ctx context.Context, state *folder.State, file string) error {
	if state.Manifest == nil {
		return usageErrorf("no manifest has been published, so there are no objectives")
	}
	report, late := s.gather(ctx, state)
	if file != "" {
		if err := writePage(file, report); err != nil {
			return err
		}
	}
	if err := s.print(burnText(report), report); err != nil {
		return err
	}
	if len(late) > 0 {
		return &operator.LateError{Late: late}
	}
	return nil
}

// gather asks all nodes and builds the report of those that answer.
func (s *session) gather(ctx context.Context, state *folder.State) (r *reporter.Report, late []operator.LateNode) {
	answers := operator.Gather(state.Members, func(m folder.Member) counted {
		counts, err := s.system.Counts(ctx, m)
		return counted{member: m, counts: counts, err: err}
	})
	var (
		nodes    []meter.Counts
		answered []folder.Member
	)
	for _, a := range answers {
		if a.err != nil {
			late = append(late, operator.LateNode{Name: a.member.Name, Admin: a.member.Admin, Problem: "unreachable"})
			continue
		}
		nodes = append(nodes, a.counts)
		answered = append(answered, a.member)
	}
	r = reporter.Build(state.Manifest, nodes)
	r.Version = state.Version
	for _, n := range late {
		r.Missing = append(r.Missing, n.Name)
	}
	s.judge(ctx, r, state, answered)
	return r, late
}

// judge counts the wrongful refusals of customers that were refused for their
// rate. The arrivals of a node that does not answer are missing, which makes
// refusals look wrongful, so that customer's count is left at 0.
func (s *session) judge(ctx context.Context, r *reporter.Report, state *folder.State, members []folder.Member) {
	if len(r.Missing) > 0 {
		return
	}
	for _, name := range r.RateLimitedCustomers() {
		p, found := state.Manifest.Customer(name)
		if arrivals, whole := s.arrivals(ctx, members, name); found && whole {
			r.CountWrongfulRefusals(p, arrivals)
		}
	}
}

// arrivals asks all members for a customer's arrivals. whole is false when one
// does not answer.
func (s *session) arrivals(ctx context.Context, members []folder.Member, customer string) (all []meter.Arrivals, whole bool) {
	answers := operator.Gather(members, func(m folder.Member) *meter.Arrivals {
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

// writePage writes the web page. Nothing is written when the page fails.
func writePage(file string, r *reporter.Report) (err error) {
	var page bytes.Buffer
	if err := illustrator.WritePage(&page, r, time.Now()); err != nil {
		return err
	}
	return os.WriteFile(file, page.Bytes(), 0o644)
}

func burnText(r *reporter.Report) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Version %d, %d nodes that have counted for %s to %s\n", r.Version, r.Nodes, seconds(r.Youngest), seconds(r.Oldest))
	if len(r.Missing) > 0 {
		fmt.Fprintf(&b, "NOT in these figures, because unreachable: %s\n", strings.Join(r.Missing, ", "))
		fmt.Fprintf(&b, "Wrongful refusals are not counted without them.\n")
	}
	fmt.Fprintf(&b, "\nError budgets (burn rate over each span)\n%s", serviceTable(r))
	fmt.Fprintf(&b, "\nPriorities, last hour\n%s", levelTable(r))
	fmt.Fprintf(&b, "\nCustomers, last hour, the worst served first\n%s", customerTable(r))
	if worst, found := r.WorstCustomer(); found {
		fmt.Fprintf(&b, "\nWorst served: %s, %s of %d requests well\n", worst.Name, share(worst.Tally), worst.Good+worst.Bad)
	}
	if len(r.Reasons) > 0 {
		fmt.Fprintf(&b, "Not answered well, last hour: %s\n", reasonList(r.Reasons))
	}
	return b.String()
}

func customerTable(r *reporter.Report) *tabulator.Table {
	table := tabulator.New("CUSTOMER", "GOOD", "BAD", "WELL", "RATE, 5m", "WRONGFUL", "NOT ANSWERED WELL")
	for _, c := range r.Customers {
		table.AddRow(c.Name, c.Good, c.Bad, share(c.Tally), c.Rate, c.Wrongful, reasonList(c.Reasons))
	}
	return table
}

func levelTable(r *reporter.Report) *tabulator.Table {
	table := tabulator.New("SERVICE", "PRIORITY", "GOOD", "BAD", "WELL")
	for _, v := range r.Services {
		for _, l := range v.PriorityTallies {
			table.AddRow(v.Name, l.Priority, l.Good, l.Bad, share(l.Tally))
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

func oneDigit(rate float64) string {
	return fmt.Sprintf("%.1f", rate)
}

func seconds(d parser.Duration) time.Duration {
	return d.Std().Round(time.Second)
}

func serviceTable(r *reporter.Report) *tabulator.Table {
	table := tabulator.New("SERVICE", "CLASS", "OBJECTIVE", "5m", "30m", "1h", "6h", "3d", "BUDGET LEFT", "ALERT")
	for _, l := range r.Lines() {
		objective := fmt.Sprintf("%g%%", percent*l.Objective.Good)
		if l.Objective.Latency > 0 {
			objective += fmt.Sprintf(" in %s", l.Objective.Latency)
		}
		burn := l.Burn
		table.AddRow(l.Service, l.Class, objective, oneDigit(burn[0]), oneDigit(burn[1]), oneDigit(burn[2]), oneDigit(burn[3]), oneDigit(burn[4]),
			fmt.Sprintf("%.0f%%", percent*l.BudgetLeft), l.Alert)
	}
	return table
}

func share(t reporter.Tally) string {
	if t.Good+t.Bad == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", percent*float64(t.Good)/float64(t.Good+t.Bad))
}
