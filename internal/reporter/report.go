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
	// shownSpan is the span of all that is shown without one.
	shownSpan = meter.Window1h

	// The names of the lines that stand for no class.
	lineAll    = "all"
	lineOthers = "others"
)

type (
	// Budget is how requests meet an objective.
	ErrorBudget struct {
		Objective parser.Objective `json:"objective"`
		// Tallies are the requests of each span.
		Tallies [len(meter.Windows)]Tally `json:"tallies"`
		// Burn are the burn rates over each span.
		Burn [len(meter.Windows)]float64 `json:"burn"`
		// BudgetLeft is the part of the error budget that the requests of
		// the longest span allow and that is not spent; below 0 when more is
		// spent.
		BudgetLeft float64 `json:"budgetleft"`
		// Alert is the most urgent alert.
		Alert Alert `json:"alert"`
	}

	// Customer is how one customer fares over the last hour.
	CustomerReport struct {
		Name string `json:"name"`
		Tally
		// GoodShare is the part of its requests that ended well, 0 to 1; 1
		// without requests.
		GoodShare float64 `json:"goodshare"`
		// Reasons are its refused and failed requests, by outcome.
		Reasons map[meter.Outcome]uint64 `json:"reasons,omitempty"`
		// Rate are its refusals for the rate in the last five minutes.
		Rate uint64 `json:"rate"`
		// Wrongful are those of them that were refused inside the rate.
		Wrongful uint64 `json:"wrongful"`
	}

	// CustomerClass is how a service meets the objective for the customers of
	// one class.
	ClassBudget struct {
		Class string `json:"class"`
		ErrorBudget
	}

	// Level is how one priority of a service fares over the last hour.
	PriorityTally struct {
		Priority exchanger.Priority `json:"priority"`
		Tally
	}

	// Line is the budget of a service, or of one class of its customers, as it
	// is shown to people.
	BudgetLine struct {
		Service string
		// Class is "all" for a service without objectives for classes, and
		// "others" for the customers that none of them concerns.
		Class string
		ErrorBudget
	}

	// Report is how the fleet meets its objectives.
	Report struct {
		// Version is that of the configuration with the objectives.
		Version uint64 `json:"version"`
		// Nodes is the number of nodes that the report holds.
		Nodes int `json:"nodes"`
		// Missing are the nodes that did not answer. Their requests are in
		// no figure.
		Missing []string `json:"missing"`
		// Youngest is how long the node that started last has counted.
		Youngest parser.Duration `json:"youngest"`
		// Oldest is how long the node that started first has counted.
		Oldest parser.Duration `json:"oldest"`
		// Services are in the manifest's order.
		Services []ServiceReport `json:"services"`
		// Customers are the worst served first.
		Customers []CustomerReport `json:"customers"`
		// Reasons are all refused and failed requests of the last hour.
		Reasons map[meter.Outcome]uint64 `json:"reasons"`
	}

	// Service is how one service meets its objectives. Each request counts
	// for one of them.
	ServiceReport struct {
		Name string `json:"name"`
		// Budget is that of the customers without an objective of their
		// class.
		ErrorBudget
		// Classes are in the manifest's order.
		Classes []ClassBudget `json:"classes,omitempty"`
		// Levels are the priorities with requests of all customers, the most
		// important first.
		PriorityTallies []PriorityTally `json:"levels"`
	}

	// Tally counts requests for and against an objective.
	Tally struct {
		Good uint64 `json:"good"`
		Bad  uint64 `json:"bad"`
		// None are requests whose caller itself is the cause.
		Excluded uint64 `json:"none"`
	}
)

// Build returns the report of the nodes' counts, without wrongful refusals.
func Build(m *parser.Manifest, nodes []meter.Counts) (r *Report) {
	r = &Report{Nodes: len(nodes), Missing: []string{}, Customers: []CustomerReport{}, Reasons: map[meter.Outcome]uint64{}}
	var all []meter.Series
	for i, n := range nodes {
		all = append(all, n.Series...)
		r.Oldest = max(r.Oldest, n.CountingDuration)
		if i == 0 || n.CountingDuration < r.Youngest {
			r.Youngest = n.CountingDuration
		}
	}
	classes := map[string]string{}
	for _, c := range m.Customers {
		classes[c.Name] = c.Class
	}
	for _, v := range m.Services {
		r.Services = append(r.Services, serviceOf(v, all, classes))
	}
	r.addCustomers(m, all)
	for _, s := range all {
		if n := s.Counts[column(shownSpan)]; n > 0 && s.Outcome != meter.OutcomeGood {
			r.Reasons[s.Outcome] += n
		}
	}
	return r
}

// Limited returns the customers with refusals for their rate in the last five
// minutes, whose arrivals Judge needs.
func (r *Report) RateLimitedCustomers() (names []string) {
	for _, c := range r.Customers {
		if c.Rate > 0 {
			names = append(names, c.Name)
		}
	}
	return names
}

// Judge counts a customer's wrongful refusals from the arrivals on all nodes.
func (r *Report) CountWrongfulRefusals(p parser.Customer, nodes []meter.Arrivals) {
	i := slices.IndexFunc(r.Customers, func(c CustomerReport) bool { return c.Name == p.Name })
	if i >= 0 {
		r.Customers[i].Wrongful = WrongfulRefusals(p, nodes)
	}
}

// Lines returns the budgets of the services, each followed by those of its
// classes.
func (r *Report) Lines() (lines []BudgetLine) {
	for _, s := range r.Services {
		class := lineAll
		if len(s.Classes) > 0 {
			class = lineOthers
		}
		lines = append(lines, BudgetLine{Service: s.Name, Class: class, ErrorBudget: s.ErrorBudget})
		for _, c := range s.Classes {
			lines = append(lines, BudgetLine{Service: s.Name, Class: c.Class, ErrorBudget: c.ErrorBudget})
		}
	}
	return lines
}

// Worst returns the customer with the smallest part of good requests; found is
// false when no customer sent any.
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
		c.GoodShare = c.share()
		r.Customers = append(r.Customers, *c)
	}
	slices.SortStableFunc(r.Customers, func(a, b CustomerReport) int { return cmp.Compare(a.GoodShare, b.GoodShare) })
}

func (c *CustomerReport) add(s meter.Series) {
	n := s.Counts[column(shownSpan)]
	c.Tally.add(s.Outcome, n)
	if n > 0 && s.Outcome != meter.OutcomeGood {
		c.Reasons[s.Outcome] += n
	}
	if exchanger.Reason(s.Outcome) == exchanger.ReasonRate {
		c.Rate += s.Counts[column(meter.Window5m)]
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

// share returns the part of the requests that ended well.
func (t Tally) share() float64 {
	if t.Good+t.Bad == 0 {
		return 1
	}
	return float64(t.Good) / float64(t.Good+t.Bad)
}

// settle works out what follows from the tallies.
func (b *ErrorBudget) settle() {
	for i, t := range b.Tallies {
		b.Burn[i] = BurnRate(t, b.Objective)
	}
	b.BudgetLeft = 1 - b.Burn[len(b.Burn)-1]
	b.Alert = alertOf(b.Burn)
}

func (b *ErrorBudget) add(s meter.Series) {
	for i, n := range s.Counts {
		b.Tallies[i].add(s.Outcome, n)
	}
}

// budgetFor returns the budget for which requests of that class count.
func (s *ServiceReport) budgetFor(class string) *ErrorBudget {
	for i := range s.Classes {
		if s.Classes[i].Class == class {
			return &s.Classes[i].ErrorBudget
		}
	}
	return &s.ErrorBudget
}

// serviceOf returns how a service fares. classes holds the class of each
// customer.
func serviceOf(v parser.Service, all []meter.Series, classes map[string]string) ServiceReport {
	s := ServiceReport{Name: v.Name, ErrorBudget: ErrorBudget{Objective: v.Objective}, PriorityTallies: []PriorityTally{}}
	for _, o := range v.Objectives {
		objective, _ := v.ObjectiveOf(o.Class)
		s.Classes = append(s.Classes, ClassBudget{Class: o.Class, ErrorBudget: ErrorBudget{Objective: objective}})
	}
	var levels [exchanger.PriorityCount]Tally
	for _, c := range all {
		if c.Service != v.Name {
			continue
		}
		s.budgetFor(classes[c.Customer]).add(c)
		levels[c.Priority].add(c.Outcome, c.Counts[column(shownSpan)])
	}
	for p, t := range levels {
		if t != (Tally{}) {
			s.PriorityTallies = append(s.PriorityTallies, PriorityTally{Priority: exchanger.Priority(p), Tally: t})
		}
	}
	s.settle()
	for i := range s.Classes {
		s.Classes[i].settle()
	}
	return s
}
