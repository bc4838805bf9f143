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
		clock     *timekeeper.ManualClock
		delegates selector.Delegates
		shares    map[string]*Shares
		names     []string
		domains   map[string]string
		// down are nodes that don't answer, and asked counts the questions.
		down map[string]bool
		// version is that of the delegates.
		version uint64
		asked   atomic.Int64
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

func (n fleetNode) Delegates() *linker.Delegates {
	d := &linker.Delegates{
		Delegates: n.delegates,
		Version:   n.version,
		Node:      selector.Node{Name: n.name, Domain: n.domains[n.name]},
		Up:        map[string]bool{},
	}
	for domain, names := range n.delegates.Names {
		for _, name := range names {
			linked := domain == d.Node.Domain || d.Self()
			d.Up[name] = linked && name != n.name && !n.down[name]
		}
	}
	return d
}

func newRateFleet(nodes, domains int, c director.Customer) *rateFleet {
	f := &rateFleet{
		clock:   timekeeper.NewManualClock(time.Unix(1_000_000, 0)),
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
	f.delegates = selector.NewRing(all).Delegates()
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
	tests := []struct {
		name           string
		nodes, domains int
		rate, burst    float64
		// load is what is asked for, in parts of the rate; everything at one node
		// when single is set; with a failure domain down when lost is.
		load         float64
		single, lost bool
		// least is the part that is admitted at least.
		least float64
	}{
		{"302 nodes", 302, 5, 38, 20, 0.6, false, false, 0.99},
		{"302 nodes, a domain lost", 302, 5, 38, 20, 0.6, false, true, 0.99},
		{"302 nodes, all at one", 302, 5, 38, 20, 0.6, true, false, 0.99},
		{"12 nodes", 12, 3, 38, 20, 0.6, false, false, 0.99},
		{"302 nodes, just below the rate", 302, 5, 38, 20, 0.95, false, false, 0.97},
		{"302 nodes, just above the rate", 302, 5, 38, 20, 1.2, false, false, 0.95 / 1.2},
		{"302 nodes, just below what is left of the rate", 302, 5, 38, 20, 0.75, false, true, 0.97},
		{"96 nodes, just above the rate", 96, 5, 38, 20, 1.2, false, false, 0.95 / 1.2},
		{"96 nodes, small customer just below the rate", 96, 5, 9.5, 9.5, 0.94, false, false, 0.97},
		{"302 nodes, small customer just below the rate", 302, 5, 9.5, 9.5, 0.94, false, false, 0.97},
		{"12 nodes, small customer just below the rate", 12, 3, 9.5, 9.5, 0.94, false, false, 0.97},
		{"302 nodes, three times the rate", 302, 5, 38, 20, 3, false, false, 0.3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			customer := director.Customer{Name: "pond", Rate: tt.rate, Burst: tt.burst}
			f := newRateFleet(tt.nodes, tt.domains, customer)
			if tt.lost {
				for name, domain := range f.domains {
					f.down[name] = domain == "d1"
				}
				f.version++
			}
			f.clock.Advance(fleetWindow)
			total := int(20 * tt.rate * tt.load)
			var admitted []time.Time
			for range total {
				f.clock.Advance(time.Duration(2 * random.Float64() * float64(time.Second) / (tt.rate * tt.load)))
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
				if most := (tt.rate*fleetWindow.Seconds()+tt.burst)*1.1 + 20; float64(count) > most {
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

// TestPausesEndWhileRequestsCome guards against a customer that is refused for as long as
// it sends: its tokens are used up at a node without a part, and then there are some.
func TestPausesEndWhileRequestsCome(t *testing.T) {
	const every = 50 * time.Millisecond
	customer := director.Customer{Name: "pond", Rate: 10, Burst: 10}
	f := newRateFleet(302, 5, customer)
	outsider := ""
	for _, name := range f.names {
		if !f.delegates.Has(name, f.domains[name]) {
			outsider = name
		}
	}
	for f.shares[outsider].Charge(t.Context(), &customer) {
	}
	admitted, refused := 0, 0
	for range int(10 * time.Second / every) {
		f.clock.Advance(every)
		if f.shares[outsider].Charge(t.Context(), &customer) {
			admitted++
			refused = 0
			continue
		}
		if refused++; refused > int(time.Second/every) {
			t.Fatalf("got no request admitted for %s, want some of 10 a second", time.Duration(refused)*every)
		}
	}
	if admitted < 80 {
		t.Errorf("got %d requests admitted in 10 s, want at least 80 of 100", admitted)
	}
}
