package reporter

import (
	"cmp"
	"maps"
	"slices"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/meter"
	"github.com/flamingotack/flamingotack/internal/parser"
)

const (
	// reportWindow is the window of all figures that name no other.
	reportWindow = meter.Window1h

	// The names in the place of a class on the line of a whole service and on
	// that of the customers without an objective for their class.
	classAll    = "all"
	classOthers = "others"
)

type (
	// ErrorBudget describes how well requests meet an objective, and what is left
	// of the error budget.
	ErrorBudget struct {
		Objective parser.Objective `json:"objective"`
		// Tallies are the requests in each window of meter.Windows.
		Tallies [len(meter.Windows)]Tally `json:"tallies"`
		// BurnRates are the burn rates over each window of meter.Windows.
		BurnRates [len(meter.Windows)]float64 `json:"burn"`
		// BudgetLeftFraction is the unspent fraction of the error budget that the
		// requests in the longest window allow; below 0 when more is spent.
		BudgetLeftFraction float64 `json:"budgetleft"`
		// Alert is the most urgent alert.
		Alert Alert `json:"alert"`
	}

	// CustomerReport describes how one customer was served in the last hour.
	CustomerReport struct {
		Name string `json:"name"`
		Tally
		// GoodFraction is the fraction of good requests among the good and bad
		// ones, 0 to 1; 1 without requests.
		GoodFraction float64 `json:"goodshare"`
		// Reasons are the numbers of its refused and failed requests, by
		// outcome.
		Reasons map[meter.Outcome]uint64 `json:"reasons,omitempty"`
		// RateRefusals is the number of refusals for its rate in the last five
		// minutes.
		RateRefusals uint64 `json:"rate"`
		// WrongfulRefusals is the number of those refusals that were within the
		// rate.
		WrongfulRefusals uint64 `json:"wrongful"`
	}

	// ClassBudget describes how well a service meets its objective for the
	// customers of one class.
	ClassBudget struct {
		Class string `json:"class"`
		ErrorBudget
	}

	// PriorityTally counts the requests of one priority of a service in the last
	// hour.
	PriorityTally struct {
		Priority exchanger.Priority `json:"priority"`
		Tally
	}

	// BudgetLine is the error budget of a service, or of one class of its
	// customers, as a line of a table.
	BudgetLine struct {
		Service string
		// Class is the class of the customers. It is "all" for a service without
		// objectives for classes, and "others" for the customers without an
		// objective for their class.
		Class string
		ErrorBudget
	}

	// Report describes how well all services meet their objectives.
	Report struct {
		// Version is the version of the configuration with the objectives.
		Version uint64 `json:"version"`
		// Nodes is the number of nodes whose counts the report contains.
		Nodes int `json:"nodes"`
		// Missing are the names of the nodes that did not answer. Their requests
		// are in no figure.
		Missing []string `json:"missing"`
		// MinCountingDuration is the shortest time for which a node has counted.
		MinCountingDuration parser.Duration `json:"youngest"`
		// MaxCountingDuration is the longest time for which a node has counted.
		MaxCountingDuration parser.Duration `json:"oldest"`
		// Services are in the order of the manifest.
		Services []ServiceReport `json:"services"`
		// Customers are ordered by GoodFraction, the worst served first.
		Customers []CustomerReport `json:"customers"`
		// Reasons are the numbers of refused and failed requests in the last hour,
		// by outcome.
		Reasons map[meter.Outcome]uint64 `json:"reasons"`
	}

	// ServiceReport describes how well one service meets its objectives. Each
	// request counts for one of them.
	ServiceReport struct {
		Name string `json:"name"`
		// ErrorBudget is the budget of the customers without an objective for
		// their class.
		ErrorBudget
		// Classes are in the order of the manifest.
		Classes []ClassBudget `json:"classes,omitempty"`
		// PriorityTallies count the requests of all customers, for the priorities
		// with requests, the most important first.
		PriorityTallies []PriorityTally `json:"levels"`
	}

	// Tally counts requests for and against an objective.
	Tally struct {
		Good uint64 `json:"good"`
		Bad  uint64 `json:"bad"`
		// Excluded are requests whose outcome the caller itself caused.
		Excluded uint64 `json:"none"`
	}
)

// Build returns the report of the nodes' counts. Wrongful refusals are 0 until
// CountWrongfulRefusals is called.
func Build(m *parser.Manifest, nodes []meter.Counts) (r *Report) {
	r = &Report{Nodes: len(nodes), Missing: []string{}, Customers: []CustomerReport{}, Reasons: map[meter.Outcome]uint64{}}
	var all []meter.Series
	for i, n := range nodes {
		all = append(all, n.Series...)
		r.MaxCountingDuration = max(r.MaxCountingDuration, n.CountingDuration)
		if i == 0 || n.CountingDuration < r.MinCountingDuration {
			r.MinCountingDuration = n.CountingDuration
		}
	}
	classes := map[string]string{}
	for _, c := range m.Customers {
		classes[c.Name] = c.Class
	}
	for _, v := range m.Services {
		r.Services = append(r.Services, newServiceReport(v, all, classes))
	}
	r.addCustomers(m, all)
	for _, s := range all {
		if n := s.Counts[windowIndex(reportWindow)]; n > 0 && s.Outcome != meter.OutcomeGood {
			r.Reasons[s.Outcome] += n
		}
	}
	return r
}

// RateLimitedCustomers returns the names of the customers with refusals for their
// rate in the last five minutes. CountWrongfulRefusals needs their arrivals.
func (r *Report) RateLimitedCustomers() (names []string) {
	for _, c := range r.Customers {
		if c.RateRefusals > 0 {
			names = append(names, c.Name)
		}
	}
	return names
}

// CountWrongfulRefusals sets the number of a customer's wrongful refusals from the
// arrivals on all nodes. It ignores a customer that is not in the report.
func (r *Report) CountWrongfulRefusals(customer parser.Customer, nodes []meter.Arrivals) {
	i := slices.IndexFunc(r.Customers, func(c CustomerReport) bool { return c.Name == customer.Name })
	if i >= 0 {
		r.Customers[i].WrongfulRefusals = WrongfulRefusals(customer, nodes)
	}
}

// Lines returns the error budgets of the services, each followed by those of its
// classes.
func (r *Report) Lines() (lines []BudgetLine) {
	for _, s := range r.Services {
		class := classAll
		if len(s.Classes) > 0 {
			class = classOthers
		}
		lines = append(lines, BudgetLine{Service: s.Name, Class: class, ErrorBudget: s.ErrorBudget})
		for _, c := range s.Classes {
			lines = append(lines, BudgetLine{Service: s.Name, Class: c.Class, ErrorBudget: c.ErrorBudget})
		}
	}
	return lines
}

// WorstCustomer returns the customer with the smallest GoodFraction among those
// with good or bad requests; found is false when there is none.
func (r *Report) WorstCustomer() (c CustomerReport, found bool) {
	for _, c := range r.Customers {
		if c.Good+c.Bad > 0 {
			return c, true
		}
	}
	return CustomerReport{}, false
}

func (r *Report) addCustomers(m *parser.Manifest, all []meter.Series) {
	byName := map[string]*CustomerReport{}
	for _, c := range m.Customers {
		byName[c.Name] = &CustomerReport{Name: c.Name, Reasons: map[meter.Outcome]uint64{}}
	}
	for _, s := range all {
		c := byName[s.Customer]
		if c == nil {
			continue
		}
		c.add(s)
	}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		c := byName[name]
		c.GoodFraction = c.goodFraction()
		r.Customers = append(r.Customers, *c)
	}
	slices.SortStableFunc(r.Customers, func(a, b CustomerReport) int { return cmp.Compare(a.GoodFraction, b.GoodFraction) })
}

func (c *CustomerReport) add(s meter.Series) {
	n := s.Counts[windowIndex(reportWindow)]
	c.Tally.add(s.Outcome, n)
	if n > 0 && s.Outcome != meter.OutcomeGood {
		c.Reasons[s.Outcome] += n
	}
	if exchanger.Reason(s.Outcome) == exchanger.ReasonRate {
		c.RateRefusals += s.Counts[windowIndex(meter.Window5m)]
	}
}

func (t *Tally) add(o meter.Outcome, n uint64) {
	switch Classify(o) {
	case EventGood:
		t.Good += n
	case EventBad:
		t.Bad += n
	default:
		t.Excluded += n
	}
}

// goodFraction returns the fraction of good requests among the good and bad ones,
// 0 to 1; 1 without requests.
func (t Tally) goodFraction() float64 {
	if t.Good+t.Bad == 0 {
		return 1
	}
	return float64(t.Good) / float64(t.Good+t.Bad)
}

// updateBurnRates computes burn rates, budget left and alert from the tallies.
func (b *ErrorBudget) updateBurnRates() {
	for i, t := range b.Tallies {
		b.BurnRates[i] = BurnRate(t, b.Objective)
	}
	b.BudgetLeftFraction = 1 - b.BurnRates[len(b.BurnRates)-1]
	b.Alert = mostUrgentAlert(b.BurnRates)
}

func (b *ErrorBudget) add(s meter.Series) {
	for i, n := range s.Counts {
		b.Tallies[i].add(s.Outcome, n)
	}
}

// budgetForClass returns the error budget for which the requests of customers of
// that class count.
func (s *ServiceReport) budgetForClass(class string) *ErrorBudget {
	for i := range s.Classes {
		if s.Classes[i].Class == class {
			return &s.Classes[i].ErrorBudget
		}
	}
	return &s.ErrorBudget
}

// newServiceReport returns the report of a service. classes maps the names of
// customers to their classes.
func newServiceReport(v parser.Service, all []meter.Series, classes map[string]string) ServiceReport {
	r := ServiceReport{Name: v.Name, ErrorBudget: ErrorBudget{Objective: v.Objective}, PriorityTallies: []PriorityTally{}}
	for _, o := range v.Objectives {
		objective, _ := v.ObjectiveForClass(o.Class)
		r.Classes = append(r.Classes, ClassBudget{Class: o.Class, ErrorBudget: ErrorBudget{Objective: objective}})
	}
	var tallies [exchanger.PriorityCount]Tally
	for _, s := range all {
		if s.Service != v.Name {
			continue
		}
		r.budgetForClass(classes[s.Customer]).add(s)
		tallies[s.Priority].add(s.Outcome, s.Counts[windowIndex(reportWindow)])
	}
	for p, t := range tallies {
		if t != (Tally{}) {
			r.PriorityTallies = append(r.PriorityTallies, PriorityTally{Priority: exchanger.Priority(p), Tally: t})
		}
	}
	r.updateBurnRates()
	for i := range r.Classes {
		r.Classes[i].updateBurnRates()
	}
	return r
}
