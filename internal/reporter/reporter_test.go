package reporter

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/meter"
	"github.com/flamingotack/flamingotack/internal/parser"
	"github.com/flamingotack/flamingotack/internal/seeder"
)

func TestMain(m *testing.M) {
	seeder.Run(m)
}

func newSeries(customer string, o meter.Outcome, counts ...uint64) meter.Series {
	s := meter.Series{SeriesKey: meter.SeriesKey{Service: "slotboard", Customer: customer, Priority: exchanger.PriorityNormal, Outcome: o}}
	copy(s.Counts[:], counts)
	return s
}

func testManifest() *parser.Manifest {
	return &parser.Manifest{
		Services:  []parser.Service{{Name: "slotboard", Objective: parser.Objective{Good: 0.99}}},
		Customers: []parser.Customer{{Name: "kutch", RatePerSecond: 10, BurstRequests: 10}, {Name: "diu", RatePerSecond: 10, BurstRequests: 10}},
	}
}

func TestBuildAlerts(t *testing.T) {
	const overload = meter.Outcome(exchanger.ReasonOverload)
	tests := []struct {
		name       string
		bad        []uint64
		alert      Alert
		budgetLeft float64
	}{
		{"no bad requests", []uint64{0, 0, 0, 0, 0}, AlertNone, 1},
		{"a fifth is bad in all windows", []uint64{200, 200, 200, 200, 200}, AlertPage, -19},
		{"a fifth was bad more than 30 minutes ago", []uint64{0, 0, 200, 200, 200}, AlertTicket, -19},
		{"slow burn", []uint64{11, 11, 11, 11, 11}, AlertTicket, -0.1},
		{"half of the budget spent", []uint64{5, 5, 5, 5, 5}, AlertNone, 0.5},
		{"fast burn for six hours", []uint64{61, 61, 61, 61, 5}, AlertPage, 0.5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			good := make([]uint64, len(tt.bad))
			for i, n := range tt.bad {
				good[i] = 1000 - n
			}
			r := Build(testManifest(), []meter.Counts{
				{CountingDuration: parser.Duration(time.Hour), Series: []meter.Series{newSeries("kutch", meter.OutcomeGood, good...)}},
				{CountingDuration: parser.Duration(time.Minute), Series: []meter.Series{newSeries("diu", overload, tt.bad...)}},
			})
			s := r.Services[0]
			if s.Alert != tt.alert {
				t.Errorf("alert: got %s, want %s (burn rates %v)", s.Alert, tt.alert, s.BurnRates)
			}
			if math.Abs(s.BudgetLeftFraction-tt.budgetLeft) > 1e-9 {
				t.Errorf("budget left: got %v, want %v", s.BudgetLeftFraction, tt.budgetLeft)
			}
			if r.MinCountingDuration != parser.Duration(time.Minute) || r.MaxCountingDuration != parser.Duration(time.Hour) {
				t.Errorf("counting durations: got %s and %s, want 1m0s and 1h0m0s", r.MinCountingDuration, r.MaxCountingDuration)
			}
		})
	}
}

func TestClassesHaveTheirOwnBudgets(t *testing.T) {
	const overload = meter.Outcome(exchanger.ReasonOverload)
	m := testManifest()
	m.Services[0].Objectives = []parser.ClassObjective{{Class: "large", Good: 0.9}}
	m.Customers[0].Class = "large"
	r := Build(m, []meter.Counts{{Series: []meter.Series{
		newSeries("kutch", meter.OutcomeGood, 95, 95, 95, 95, 95),
		newSeries("kutch", overload, 5, 5, 5, 5, 5),
		newSeries("diu", meter.OutcomeGood, 4, 4, 4, 4, 4),
		newSeries("diu", overload, 1, 1, 1, 1, 1),
		newSeries("", meter.OutcomeGood, 5, 5, 5, 5, 5),
	}}})
	s := r.Services[0]
	tests := []struct {
		name  string
		got   ErrorBudget
		tally Tally
		burn  float64
		alert Alert
	}{
		{"customers of the class", s.Classes[0].ErrorBudget, Tally{Good: 95, Bad: 5}, 0.5, AlertNone},
		{"all other customers", s.ErrorBudget, Tally{Good: 9, Bad: 1}, 10, AlertPage},
	}
	for _, tt := range tests {
		for i := range meter.Windows {
			if tt.got.Tallies[i] != tt.tally || math.Abs(tt.got.BurnRates[i]-tt.burn) > 1e-9 {
				t.Errorf("%s: got %+v at burn rate %v, want %+v at burn rate %v", tt.name, tt.got.Tallies[i], tt.got.BurnRates[i], tt.tally, tt.burn)
			}
		}
		if tt.got.Alert != tt.alert {
			t.Errorf("%s: got alert %s, want %s", tt.name, tt.got.Alert, tt.alert)
		}
	}
}

func TestWorstCustomer(t *testing.T) {
	r := Build(testManifest(), []meter.Counts{{Series: []meter.Series{
		newSeries("kutch", meter.OutcomeGood, 0, 0, 90),
		newSeries("kutch", meter.OutcomeSlow, 0, 0, 10),
		newSeries("kutch", meter.Outcome(exchanger.ReasonKeyUnknown), 0, 0, 500),
		newSeries("diu", meter.OutcomeGood, 0, 0, 5),
	}}})
	worst, found := r.WorstCustomer()
	if !found || worst.Name != "kutch" || worst.GoodFraction != 0.9 {
		t.Errorf("got %+v, want kutch with 0.9", worst)
	}
	if worst.Excluded != 500 {
		t.Errorf("excluded requests: got %d, want 500", worst.Excluded)
	}
}

func TestClassify(t *testing.T) {
	tests := []struct {
		outcome meter.Outcome
		want    EventClass
	}{
		{meter.OutcomeGood, EventGood},
		{meter.OutcomeSlow, EventBad},
		{meter.OutcomeError, EventBad},
		{meter.Outcome(exchanger.ReasonOverload), EventBad},
		{meter.Outcome(exchanger.ReasonDeadline), EventBad},
		{meter.Outcome(exchanger.ReasonRate), EventExcluded},
		{meter.Outcome(exchanger.ReasonKeyUnknown), EventExcluded},
		{meter.Outcome(exchanger.ReasonCanceled), EventExcluded},
	}
	for _, tt := range tests {
		if got := Classify(tt.outcome); got != tt.want {
			t.Errorf("%s: got event class %d, want %d", tt.outcome, got, tt.want)
		}
	}
}

// drawBucketArrivals returns arrivals at random times on several nodes, admitted
// or refused by one token bucket.
func drawBucketArrivals(t *rapid.T, c parser.Customer, seconds int) []meter.Arrivals {
	nodes := make([]meter.Arrivals, 3)
	for i := range nodes {
		nodes[i] = meter.Arrivals{FirstUnixSecond: 1000 - int64(i), Requests: make([]uint32, seconds+i), Refused: make([]uint32, seconds+i)}
	}
	tokens := rapid.Float64Range(0, c.BurstRequests).Draw(t, "tokens")
	at := 0.0 // in seconds
	for {
		pause := rapid.Float64Range(0, 4/c.RatePerSecond).Draw(t, "pause")
		at += pause
		if at >= float64(seconds) {
			return nodes
		}
		tokens = min(c.BurstRequests, tokens+c.RatePerSecond*pause)
		i := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
		second := int(at) + i
		nodes[i].Requests[second]++
		if tokens < 1 {
			nodes[i].Refused[second]++
		} else {
			tokens--
		}
	}
}

func TestNoWrongfulRefusalsOfTokenBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := parser.Customer{
			RatePerSecond: rapid.Float64Range(0.5, 20).Draw(t, "rate"),
			BurstRequests: rapid.Float64Range(1, 40).Draw(t, "burst"),
		}
		nodes := drawBucketArrivals(t, c, rapid.IntRange(1, 12).Draw(t, "seconds"))
		if got := WrongfulRefusals(c, nodes); got != 0 {
			t.Errorf("got %d wrongful refusals of a token bucket, want 0", got)
		}
	})
}

func TestWrongfulRefusalsBelowRate(t *testing.T) {
	c := parser.Customer{RatePerSecond: 10, BurstRequests: 10}
	tests := []struct {
		name              string
		requests, refused uint32
		want              uint64
	}{
		{"nothing refused", 5, 0, 0},
		// The tokens in the first second are unknown, so its refusals don't count.
		{"two of five refused at half the rate", 5, 2, 2 * 99},
		{"five of ten refused at the rate", 10, 5, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := meter.Arrivals{Requests: make([]uint32, 100), Refused: make([]uint32, 100)}
			for i := range a.Requests {
				a.Requests[i], a.Refused[i] = tt.requests, tt.refused
			}
			if got := WrongfulRefusals(c, []meter.Arrivals{a}); got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
		})
	}
}
