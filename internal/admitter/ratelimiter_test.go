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

const toleranceWindow = 5 * time.Second

type (
	// limiterCluster holds the limiters of many nodes, which reach each other without
	// delay.
	limiterCluster struct {
		clock     *timekeeper.ManualClock
		delegates selector.Delegates
		limiters  map[string]*DistributedRateLimiter
		names     []string
		domains   map[string]string
		// unreachable nodes grant nothing.
		unreachable map[string]bool
		// alone nodes have not received the member list and know no other node.
		alone map[string]bool
		// version is the version of the delegates.
		version uint64
		// askCount counts the token requests.
		askCount atomic.Int64
	}

	// clusterPeers implements Peers for one node.
	clusterPeers struct {
		*limiterCluster
		name string
	}
)

func (n clusterPeers) RequestTokens(ctx context.Context, peer, key string, milliTokens int64, noBorrow bool) int64 {
	n.askCount.Add(1)
	if n.unreachable[peer] {
		return 0
	}
	return n.limiters[peer].GrantTokens(ctx, key, milliTokens, noBorrow)
}

func (n clusterPeers) Delegates() *linker.DelegateView {
	d := &linker.DelegateView{
		Delegates: n.delegates,
		Version:   n.version,
		LocalNode: selector.Node{Name: n.name, Domain: n.domains[n.name]},
		Connected: map[string]bool{},
	}
	if n.alone[n.name] {
		d.Incomplete = true
		d.Delegates = selector.NewRing([]selector.Node{d.LocalNode}).Delegates()
		return d
	}
	for domain, names := range n.delegates.NamesByDomain {
		for _, name := range names {
			linked := domain == d.LocalNode.Domain || d.IsDelegate()
			d.Connected[name] = linked && name != n.name && !n.unreachable[name]
		}
	}
	return d
}

func newLimiterCluster(nodes, domains int, c director.Customer) *limiterCluster {
	f := &limiterCluster{
		clock:       timekeeper.NewManualClock(time.Unix(1_000_000, 0)),
		limiters:    map[string]*DistributedRateLimiter{},
		domains:     map[string]string{},
		unreachable: map[string]bool{},
		alone:       map[string]bool{},
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
		limiter := NewDistributedRateLimiter(f.clock, clusterPeers{f, name}, RateTolerance{Window: toleranceWindow, Fraction: 0.1, ExtraRequests: 20})
		limiter.SetLimits(table)
		f.limiters[name] = limiter
	}
	return f
}

// TestNodeWithoutMemberListHoldsNoShare guards against nodes that take themselves for the only
// one, and so for the holder of whole rates, until they receive the member list.
func TestNodeWithoutMemberListHoldsNoShare(t *testing.T) {
	customer := director.Customer{Name: "pond", RatePerSecond: 40, BurstRequests: 40}
	f := newLimiterCluster(3, 3, customer)
	f.alone["n0"] = true
	f.version++
	f.clock.Advance(toleranceWindow)
	limiter := NewDistributedRateLimiter(f.clock, clusterPeers{f, "n0"}, RateTolerance{Window: toleranceWindow, ExtraRetries: 48})
	f.limiters["n0"] = limiter
	limiter.SetLimits(director.NewTable(director.State{Revision: 1, Config: &director.Config{Customers: []director.Customer{customer}, Services: []director.Service{{Name: "desk"}}}}))
	if limiter.Ready() || limiter.Charge(t.Context(), &customer) {
		t.Error("node without the member list admitted a request, want none")
	}
	if limiter.ChargeRetry(t.Context(), map[string]float64{"desk": 1}) {
		t.Error("node without the member list took a common retry, want none")
	}
	delete(f.alone, "n0")
	f.version++
	f.clock.Advance(time.Second)
	if !limiter.Ready() || !limiter.Charge(t.Context(), &customer) {
		t.Error("node with the member list refused a request within the rate")
	}
	if !limiter.ChargeRetry(t.Context(), map[string]float64{"desk": 1}) {
		t.Error("node with the member list took no common retry, which a node that has just started may")
	}
}

// TestRateLimitAcrossNodes sends one customer's requests to random nodes, whose shares
// are far less than one request per second. It guards against limiting a customer below
// its rate, also while a failure domain is down, against many messages per request, and
// against admitting more than the rate and its tolerance.
func TestRateLimitAcrossNodes(t *testing.T) {
	tests := []struct {
		name           string
		nodes, domains int
		rate, burst    float64
		// load is the offered load as a multiple of the rate. With singleNode, all
		// requests go to one node. With domainDown, a failure domain is down.
		load                   float64
		singleNode, domainDown bool
		// minFraction is the minimum fraction of admitted requests.
		minFraction float64
	}{
		{"302 nodes", 302, 5, 38, 20, 0.6, false, false, 0.99},
		{"302 nodes, a failure domain down", 302, 5, 38, 20, 0.6, false, true, 0.99},
		{"302 nodes, all requests to one", 302, 5, 38, 20, 0.6, true, false, 0.99},
		{"12 nodes", 12, 3, 38, 20, 0.6, false, false, 0.99},
		{"302 nodes, just below the rate", 302, 5, 38, 20, 0.95, false, false, 0.97},
		{"302 nodes, just above the rate", 302, 5, 38, 20, 1.2, false, false, 0.95 / 1.2},
		{"302 nodes, a failure domain down, just below the remaining rate", 302, 5, 38, 20, 0.75, false, true, 0.97},
		{"96 nodes, just above the rate", 96, 5, 38, 20, 1.2, false, false, 0.95 / 1.2},
		{"96 nodes, small customer just below the rate", 96, 5, 9.5, 9.5, 0.94, false, false, 0.97},
		{"302 nodes, small customer just below the rate", 302, 5, 9.5, 9.5, 0.94, false, false, 0.97},
		{"12 nodes, small customer just below the rate", 12, 3, 9.5, 9.5, 0.94, false, false, 0.97},
		{"302 nodes, three times the rate", 302, 5, 38, 20, 3, false, false, 0.3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			customer := director.Customer{Name: "pond", RatePerSecond: tt.rate, BurstRequests: tt.burst}
			f := newLimiterCluster(tt.nodes, tt.domains, customer)
			if tt.domainDown {
				for name, domain := range f.domains {
					f.unreachable[name] = domain == "d1"
				}
				f.version++
			}
			f.clock.Advance(toleranceWindow)
			total := int(20 * tt.rate * tt.load)
			var admitted []time.Time
			for range total {
				f.clock.Advance(time.Duration(2 * random.Float64() * float64(time.Second) / (tt.rate * tt.load)))
				name := f.names[0]
				if !tt.singleNode {
					name = f.names[random.IntN(len(f.names))]
				}
				if !f.unreachable[name] && f.limiters[name].Charge(t.Context(), &customer) {
					admitted = append(admitted, f.clock.Now())
				} else if f.unreachable[name] {
					total--
				}
				count := 0
				for i := len(admitted) - 1; i >= 0 && f.clock.Now().Sub(admitted[i]) < toleranceWindow; i-- {
					count++
				}
				if maxAdmitted := (tt.rate*toleranceWindow.Seconds()+tt.burst)*1.1 + 20; float64(count) > maxAdmitted {
					t.Fatalf("got %d requests admitted in %s, want at most %.0f", count, toleranceWindow, maxAdmitted)
				}
			}
			if got := float64(len(admitted)) / float64(total); got < tt.minFraction {
				t.Errorf("got fraction %.3f of %d requests admitted, want at least %.2f", got, total, tt.minFraction)
			}
			if got := float64(f.askCount.Load()) / float64(total); tt.load < 1 && got > 6 {
				t.Errorf("got %.1f messages per request, want at most 6", got)
			}
		})
	}
}

// TestBorrowingResumesUnderLoad guards against a customer that is refused for as long as
// it sends: it uses up its tokens at a node without a share, and the node must notice when
// tokens are available again.
func TestBorrowingResumesUnderLoad(t *testing.T) {
	const interval = 50 * time.Millisecond
	customer := director.Customer{Name: "pond", RatePerSecond: 10, BurstRequests: 10}
	f := newLimiterCluster(302, 5, customer)
	nonDelegate := ""
	for _, name := range f.names {
		if !f.delegates.Contains(name, f.domains[name]) {
			nonDelegate = name
		}
	}
	for f.limiters[nonDelegate].Charge(t.Context(), &customer) {
	}
	admitted, refused := 0, 0
	for range int(10 * time.Second / interval) {
		f.clock.Advance(interval)
		if f.limiters[nonDelegate].Charge(t.Context(), &customer) {
			admitted++
			refused = 0
			continue
		}
		if refused++; refused > int(time.Second/interval) {
			t.Fatalf("got no request admitted for %s, want some of 10 per second", time.Duration(refused)*interval)
		}
	}
	if admitted < 80 {
		t.Errorf("got %d requests admitted in 10 s, want at least 80 of 100", admitted)
	}
}

// TestLimitsOutliveConfigurationsThatLackThem guards against customers and services that get their
// whole burst anew because a configuration lacks them and the next one has them again.
func TestLimitsOutliveConfigurationsThatLackThem(t *testing.T) {
	customer := director.Customer{Name: "pond", RatePerSecond: 40, BurstRequests: 40}
	config := func(revision uint64, listed bool) *director.Table {
		c := &director.Config{Services: []director.Service{{Name: "other"}}}
		if listed {
			c.Customers, c.Services = []director.Customer{customer}, append(c.Services, director.Service{Name: "desk"})
		}
		return director.NewTable(director.State{Revision: revision, Config: c})
	}
	tests := []struct {
		name string
		take func(l *DistributedRateLimiter) bool
		// most is the limit in 5 s.
		most int
	}{
		{"customer", func(l *DistributedRateLimiter) bool { return l.Charge(t.Context(), &customer) }, 40*5 + 40 + 44},
		{"retries of a service", func(l *DistributedRateLimiter) bool {
			return l.ChargeRetry(t.Context(), map[string]float64{"desk": 1})
		}, 48},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newLimiterCluster(4, 2, customer)
			for _, name := range f.names {
				f.limiters[name].tolerance.ExtraRetries = 48
				f.limiters[name].SetLimits(config(1, true))
			}
			f.clock.Advance(20 * time.Second)
			taken := 0
			for step := range 50 {
				f.clock.Advance(100 * time.Millisecond)
				for i, name := range f.names {
					l := f.limiters[name]
					listed := (step+i)%4 < 2
					l.SetLimits(config(uint64(2+step), listed))
					for range 20 {
						// Requests of a customer that the configuration lacks are
						// refused before.
						if listed && tt.take(l) {
							taken++
						}
					}
				}
			}
			if taken > tt.most {
				t.Errorf("got %d in 5 s, want at most %d", taken, tt.most)
			}
		})
	}
}

// TestStateOfFormerCustomersIsDropped guards against memory that grows with the customers that
// come and go.
func TestStateOfFormerCustomersIsDropped(t *testing.T) {
	f := newLimiterCluster(3, 3, director.Customer{Name: "pond", RatePerSecond: 1, BurstRequests: 1})
	l := f.limiters["n0"]
	for i := range 2000 {
		f.clock.Advance(10 * time.Second)
		c := director.Customer{Name: fmt.Sprint("pond-", i), RatePerSecond: 1, BurstRequests: 1}
		l.SetLimits(director.NewTable(director.State{Revision: uint64(2 + i), Config: &director.Config{Customers: []director.Customer{c}}}))
		for range 40 {
			l.Charge(t.Context(), &c)
		}
	}
	for name, got := range map[string]int{"holders": len(l.holders), "backoffs": len(l.backoffs), "last grants": len(l.lastGrantMilliTokens)} {
		if got > 10 {
			t.Errorf("got %d %s, want at most 10", got, name)
		}
	}
}
