package admitter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/linker"
	"github.com/flamingotack/flamingotack/internal/selector"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const fleetWindow = 5 * time.Second

type (
	// rateFleet is the Shares of many nodes, which reach each other at once.
	rateFleet struct {
		clock     *timekeeper.Manual
		delegates selector.Delegates
		shares    map[string]*Shares
		names     []string
		domains   map[string]string
		// down are nodes that don't answer, and asked counts the questions.
		down  map[string]bool
		asked atomic.Int64
	}

	// fleetNode is the Peers of one node.
	fleetNode struct {
		*rateFleet
		name string
	}
)

func (n fleetNode) Ask(ctx context.Context, name, customer string, tokens int64, held bool) int64 {
	n.asked.Add(1)
	if n.down[name] {
		return 0
	}
	return n.shares[name].Give(ctx, customer, tokens, held)
}

func (n fleetNode) Delegates() linker.Delegates {
	l := linker.Delegates{Count: n.delegates.Count, Self: n.delegates.Has(n.name, n.domains[n.name])}
	for domain, names := range n.delegates.Names {
		for _, name := range names {
			switch {
			case name == n.name || n.down[name]:
			case domain == n.domains[n.name]:
				l.Near = append(l.Near, name)
			case l.Self:
				l.Far = append(l.Far, name)
			}
		}
	}
	return l
}

func newRateFleet(nodes, domains int, c director.Customer) *rateFleet {
	f := &rateFleet{
		clock:   timekeeper.NewManual(time.Unix(1_000_000, 0)),
		shares:  map[string]*Shares{},
		domains: map[string]string{},
		down:    map[string]bool{},
	}
	var all []selector.Node
	for i := range nodes {
		n := selector.Node{Name: fmt.Sprint("n", i), Domain: fmt.Sprint("d", i%domains)}
		all = append(all, n)
		f.names = append(f.names, n.Name)
		f.domains[n.Name] = n.Domain
	}
	f.delegates = selector.NewDelegates(all[0], all)
	table := director.NewTable(director.State{Revision: 1, Config: &director.Config{Customers: []director.Customer{c}}})
	for _, name := range f.names {
		s := NewShares(f.clock, fleetNode{f, name}, Slack{Window: fleetWindow, Part: 0.1, Requests: 20})
		s.Set(table)
		f.shares[name] = s
	}
	return f
}

// TestRatesOfManyCustomersOverHundredsOfNodes sends a customer's requests, fewer than
// its rate, to nodes at random: each node has a part of far less than a request a
// second. Nearly all are admitted, for a few questions each, also while a failure
// domain is lost; far above the rate they are not.
func TestRatesOfManyCustomersOverHundredsOfNodes(t *testing.T) {
	const rate, burst = 38.0, 20.0
	tests := []struct {
		name           string
		nodes, domains int
		// load is what is asked for, in parts of the rate; everything at one node
		// when single is set; with a failure domain down when lost is.
		load         float64
		single, lost bool
		// least is the part that is admitted at least.
		least float64
	}{
		{"302 nodes", 302, 5, 0.6, false, false, 0.99},
		{"302 nodes, a domain lost", 302, 5, 0.6, false, true, 0.99},
		{"302 nodes, all at one", 302, 5, 0.6, true, false, 0.99},
		{"12 nodes", 12, 3, 0.6, false, false, 0.99},
		{"302 nodes, just below the rate", 302, 5, 0.95, false, false, 0.97},
		{"302 nodes, just above the rate", 302, 5, 1.2, false, false, 0.95 / 1.2},
		{"302 nodes, just below what is left of the rate", 302, 5, 0.75, false, true, 0.97},
		{"96 nodes, just above the rate", 96, 5, 1.2, false, false, 0.95 / 1.2},
		{"302 nodes, three times the rate", 302, 5, 3, false, false, 0.3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			customer := director.Customer{Name: "pond", Rate: rate, Burst: burst}
			f := newRateFleet(tt.nodes, tt.domains, customer)
			if tt.lost {
				for name, domain := range f.domains {
					f.down[name] = domain == "d1"
				}
			}
			f.clock.Advance(fleetWindow)
			total := int(20 * rate * tt.load)
			var admitted []time.Time
			for range total {
				f.clock.Advance(time.Duration(2 * random.Float64() * float64(time.Second) / (rate * tt.load)))
				name := f.names[0]
				if !tt.single {
					name = f.names[random.IntN(len(f.names))]
				}
				if !f.down[name] && f.shares[name].Charge(t.Context(), &customer) {
					admitted = append(admitted, f.clock.Now())
				} else if f.down[name] {
					total--
				}
				count := 0
				for i := len(admitted) - 1; i >= 0 && f.clock.Now().Sub(admitted[i]) < fleetWindow; i-- {
					count++
				}
				if most := (rate*fleetWindow.Seconds()+burst)*1.1 + 20; float64(count) > most {
					t.Fatalf("got %d requests in %s, want at most %.0f", count, fleetWindow, most)
				}
			}
			if got := float64(len(admitted)) / float64(total); got < tt.least {
				t.Errorf("got %.3f of %d requests admitted, want at least %.2f", got, total, tt.least)
			}
			if got := float64(f.asked.Load()) / float64(total); tt.load < 1 && got > 6 {
				t.Errorf("got %.1f questions for each request, want at most 6", got)
			}
		})
	}
}
