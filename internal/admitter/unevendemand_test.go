package admitter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/linker"
	"github.com/flamingotack/flamingotack/internal/selector"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// minRateFraction is the part of its rate that a customer gets at least.
	minRateFraction = 0.98
	// warmUp is the time before requests are counted. The burst is spent in it.
	warmUp = 5 * time.Second
)

type (
	// rateNetwork holds the limiters of many nodes. Messages between them take 0.1 to
	// 3 ms by the clock of a synctest bubble.
	rateNetwork struct {
		limiters map[string]*DistributedRateLimiter
		nodes    []selector.Node
		asks     atomic.Int64

		mu     sync.Mutex
		random *rand.Rand
		// customers holds the customer as configured on each node.
		customers map[string]director.Customer
		// failed nodes neither answer nor get requests.
		failed    map[string]bool
		delegates selector.Delegates
		version   uint64
		views     map[string]*linker.DelegateView
	}

	// networkPeers implements Peers for one node.
	networkPeers struct {
		*rateNetwork
		node selector.Node
	}

	// demand is the load of one customer.
	demand struct {
		nodes, domains int
		// rate and burst are the customer's limit, load the offered requests as a
		// multiple of the rate.
		rate, burst, load float64
		duration          time.Duration
		// entry returns the node that a request enters at a time since the start, -1
		// for no request.
		entry func(n *rateNetwork, at time.Duration) int
		// events are called at their times.
		events map[time.Duration]func(n *rateNetwork)
	}

	// demandResult is what one customer got.
	demandResult struct {
		offered, admitted []time.Duration
		asks              int64
	}
)

func newRateNetwork(nodes, domains int) *rateNetwork {
	n := &rateNetwork{
		limiters: map[string]*DistributedRateLimiter{},
		random:   rand.New(rand.NewPCG(uint64(nodes), 6)),
		failed:   map[string]bool{},

		customers: map[string]director.Customer{},
	}
	for i := range nodes {
		node := selector.Node{Name: fmt.Sprint("n", i), Domain: fmt.Sprint("d", i%domains)}
		n.nodes = append(n.nodes, node)
		n.limiters[node.Name] = NewDistributedRateLimiter(timekeeper.SystemClock{}, networkPeers{n, node}, RateTolerance{Window: toleranceWindow, Fraction: 0.1, ExtraRequests: 20})
	}
	n.elect()
	return n
}

// elect determines the delegates among the nodes that have not failed.
func (n *rateNetwork) elect() {
	n.mu.Lock()
	defer n.mu.Unlock()
	alive := slices.DeleteFunc(slices.Clone(n.nodes), func(s selector.Node) bool { return n.failed[s.Name] })
	n.delegates = selector.NewRing(alive).Delegates()
	n.version++
	n.views = map[string]*linker.DelegateView{}
}

// fail stops a node. The others see the broken links at once, as peers of a killed process do.
func (n *rateNetwork) fail(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.failed[name] = true
	n.version++
	n.views = map[string]*linker.DelegateView{}
}

// configure sets the customer's limit on all nodes, on each after a random delay of at most
// maxDelay.
func (n *rateNetwork) configure(c director.Customer, maxDelay time.Duration) {
	table := director.NewTable(director.State{Revision: 1, Config: &director.Config{Customers: []director.Customer{c}}})
	for _, node := range n.nodes {
		n.mu.Lock()
		delay := time.Duration(n.random.Float64() * float64(maxDelay))
		n.mu.Unlock()
		time.AfterFunc(delay, func() {
			n.limiters[node.Name].SetLimits(table)
			n.mu.Lock()
			defer n.mu.Unlock()
			n.customers[node.Name] = c
		})
	}
	time.Sleep(maxDelay)
	synctest.Wait()
}

// customer returns the customer as configured on a node.
func (n *rateNetwork) customer(node string) *director.Customer {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.customers[node]
	return &c
}

func (n *rateNetwork) latency() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return 100*time.Microsecond + time.Duration(n.random.Int64N(int64(2900*time.Microsecond)))
}

func (n *rateNetwork) hasFailed(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.failed[name]
}

// RequestTokens delivers the request and the answer with delays. As with the links, the node
// that is asked does not learn that the other one has stopped waiting.
func (p networkPeers) RequestTokens(ctx context.Context, peer, key string, milliTokens int64, noBorrow bool) int64 {
	p.asks.Add(1)
	granted := make(chan int64, 1)
	go func() {
		time.Sleep(p.latency())
		if p.hasFailed(peer) {
			return
		}
		milliTokens := p.limiters[peer].GrantTokens(context.Background(), key, milliTokens, noBorrow)
		time.Sleep(p.latency())
		granted <- milliTokens
	}()
	select {
	case milliTokens := <-granted:
		return milliTokens
	case <-ctx.Done():
		return 0
	}
}

func (p networkPeers) Delegates() *linker.DelegateView {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d := p.views[p.node.Name]; d != nil {
		return d
	}
	d := &linker.DelegateView{Delegates: p.delegates, Version: p.version, LocalNode: p.node, Connected: map[string]bool{}}
	for domain, names := range p.delegates.NamesByDomain {
		for _, name := range names {
			linked := domain == p.node.Domain || d.IsDelegate()
			d.Connected[name] = linked && name != p.node.Name && !p.failed[name]
		}
	}
	p.views[p.node.Name] = d
	return d
}

// holders returns the indexes of the nodes that hold the customer's limit.
func (n *rateNetwork) holders(customer string) (indexes []int) {
	for i, node := range n.nodes {
		l := n.limiters[node.Name]
		l.mu.Lock()
		if h := l.holders[customer]; h != nil && h.shareCount > 0 {
			indexes = append(indexes, i)
		}
		l.mu.Unlock()
	}
	return indexes
}

// play offers the demand and returns what was admitted.
func play(t *testing.T, d demand) (r demandResult) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := newRateNetwork(d.nodes, d.domains)
		customer := director.Customer{Name: "pond", RatePerSecond: d.rate, BurstRequests: d.burst}
		n.configure(customer, 0)
		var (
			mu      sync.Mutex
			calls   sync.WaitGroup
			started = time.Now()
			random  = rand.New(rand.NewPCG(1, 2))
		)
		for at, event := range d.events {
			calls.Go(func() {
				time.Sleep(at)
				event(n)
			})
		}
		mean := float64(time.Second) / (d.rate * d.load)
		for time.Since(started) < d.duration {
			time.Sleep(time.Duration(2 * random.Float64() * mean))
			entry := d.entry(n, time.Since(started))
			if entry < 0 || n.hasFailed(n.nodes[entry].Name) {
				continue
			}
			r.offered = append(r.offered, time.Since(started))
			calls.Go(func() {
				if n.limiters[n.nodes[entry].Name].Charge(t.Context(), n.customer(n.nodes[entry].Name)) {
					mu.Lock()
					r.admitted = append(r.admitted, time.Since(started))
					mu.Unlock()
				}
			})
		}
		calls.Wait()
		time.Sleep(time.Second)
		r.asks = n.asks.Load()
	})
	return r
}

// count returns the number of times in a span.
func count(times []time.Duration, from, to time.Duration) (total float64) {
	for _, at := range times {
		if at >= from && at < to {
			total++
		}
	}
	return total
}

// checkBound checks that no window has more requests than the rule allows.
func (r demandResult) checkBound(t *testing.T, rate, burst float64, from time.Duration) {
	t.Helper()
	admitted := slices.Sorted(slices.Values(r.admitted))
	limit, first := (rate*toleranceWindow.Seconds()+burst)*1.1+20, 0
	for i, at := range admitted {
		for admitted[first] <= at-toleranceWindow || admitted[first] < min(from, at) {
			first++
		}
		if got := i - first + 1; float64(got) > limit {
			t.Errorf("got %d requests in 5 s until %s, want at most %.0f", got, at, limit)
			return
		}
	}
}

// checkFraction checks that the customer got what a single token bucket with its rate and
// burst, without tolerance, admits of the same requests. The bucket is empty at resetAt. One
// request may be missing, as it may be admitted just outside the span.
func (r demandResult) checkFraction(t *testing.T, rate, burst float64, resetAt, from, to time.Duration) {
	t.Helper()
	tokens, filledAt, due := 0.0, resetAt, 0.0
	for _, at := range r.offered {
		if at < resetAt || at >= to {
			continue
		}
		tokens = min(burst, tokens+rate*(at-filledAt).Seconds())
		filledAt = at
		if tokens >= 1 {
			tokens--
			if at >= from {
				due++
			}
		}
	}
	offered, admitted := count(r.offered, from, to), count(r.admitted, from, to)
	t.Logf("%s to %s: offered %.0f, due %.0f, admitted %.0f, fraction %.3f, messages per request %.1f", from, to, offered, due, admitted, admitted/due, float64(r.asks)/float64(len(r.offered)))
	if due == 0 || admitted < min(minRateFraction*due, due-1) {
		t.Errorf("got fraction %.3f of %.0f requests due from %s to %s, want at least %.2f", admitted/due, due, from, to, minRateFraction)
	}
}

// firstNodes returns an entry over the first nodes, in random order.
func firstNodes(count int) func(n *rateNetwork, at time.Duration) int {
	random := rand.New(rand.NewPCG(3, 4))
	return func(*rateNetwork, time.Duration) int { return random.IntN(count) }
}

// TestCustomerGetsRateOnAnyNodes guards against a customer that gets less than its rate
// because its requests enter on few nodes or are spread thinly over all.
func TestCustomerGetsRateOnAnyNodes(t *testing.T) {
	for _, nodes := range []int{60, 300} {
		for _, entries := range []int{1, 3, nodes} {
			for _, tt := range []struct{ rate, load float64 }{{9.5, 2}, {38, 0.9}, {38, 3}, {100, 1.2}, {200, 0.9}} {
				if tt.rate == 200 && entries > 1 {
					// One node is the hardest case for a large rate.
					continue
				}
				t.Run(fmt.Sprintf("%d of %d nodes, rate %g, load %g", entries, nodes, tt.rate, tt.load), func(t *testing.T) {
					t.Parallel()
					d := demand{nodes: nodes, domains: 5, rate: tt.rate, burst: min(tt.rate, 20), load: tt.load, duration: 15 * time.Second, entry: firstNodes(entries)}
					r := play(t, d)
					r.checkBound(t, d.rate, d.burst, 0)
					r.checkFraction(t, d.rate, d.burst, 0, warmUp, d.duration)
				})
			}
		}
	}
}

// TestCustomerGetsRateWhileDemandMoves guards against a customer that gets less than its rate
// while its demand moves between failure domains.
func TestCustomerGetsRateWhileDemandMoves(t *testing.T) {
	for _, rate := range []float64{38, 100} {
		t.Run(fmt.Sprintf("demand of a failure domain swings by half in 17 s, rate %g", rate), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(5, 6))
			d := demand{nodes: 60, domains: 3, rate: rate, burst: 20, load: 1.1, duration: 34 * time.Second}
			d.entry = func(n *rateNetwork, at time.Duration) int {
				i := random.IntN(len(n.nodes))
				// The absolute value of a triangle wave with a period of 34 s.
				phase := at.Seconds()/17 - float64(2*int(at.Seconds()/34))
				if n.nodes[i].Domain == "d1" && random.Float64() < 0.5*min(phase, 2-phase) {
					return -1
				}
				return i
			}
			r := play(t, d)
			r.checkBound(t, d.rate, d.burst, 0)
			r.checkFraction(t, d.rate, d.burst, 0, warmUp, 17*time.Second)
			r.checkFraction(t, d.rate, d.burst, 0, 17*time.Second, 34*time.Second)
		})
		t.Run(fmt.Sprintf("callers shift from one failure domain to another, rate %g", rate), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(7, 8))
			d := demand{nodes: 60, domains: 3, rate: rate, burst: 20, load: 1.2, duration: 25 * time.Second}
			d.entry = func(n *rateNetwork, at time.Duration) int {
				domain := 0
				if at > 15*time.Second {
					domain = 1
				}
				return 3*random.IntN(len(n.nodes)/3) + domain
			}
			r := play(t, d)
			r.checkBound(t, d.rate, d.burst, 0)
			r.checkFraction(t, d.rate, d.burst, 0, warmUp, 15*time.Second)
			r.checkFraction(t, d.rate, d.burst, 0, 15*time.Second, 25*time.Second)
		})
	}
}

// TestCustomerGetsRateAfterDelegateFails guards against a customer that loses the share of a
// holder that fails for longer than the other nodes need to replace it.
func TestCustomerGetsRateAfterDelegateFails(t *testing.T) {
	for _, rate := range []float64{9.5, 38, 100} {
		t.Run(fmt.Sprintf("rate %g", rate), func(t *testing.T) {
			t.Parallel()
			d := demand{nodes: 60, domains: 5, rate: rate, burst: min(rate, 20), load: 1.5, duration: 33 * time.Second, entry: firstNodes(60)}
			d.events = map[time.Duration]func(n *rateNetwork){
				8 * time.Second: func(n *rateNetwork) { n.fail(n.nodes[n.holders("pond")[0]].Name) },
				9 * time.Second: func(n *rateNetwork) { n.elect() },
			}
			r := play(t, d)
			r.checkBound(t, d.rate, d.burst, 0)
			r.checkFraction(t, d.rate, d.burst, 0, 8*time.Second, 33*time.Second)
		})
	}
}

// TestCustomerGetsRateAfterChange guards against a customer that gets less than its rate after
// the rate was lowered below the demand, or after it was raised again.
func TestCustomerGetsRateAfterChange(t *testing.T) {
	checkChange(t, 60)
}

// TestCustomerGetsFewPerSecondAfterChange guards against a customer that gets less than its
// rate after the rate was lowered far below the demand, to a few requests per second. The
// holders then start with less than one token each, which takes up to seconds to become whole.
func TestCustomerGetsFewPerSecondAfterChange(t *testing.T) {
	for _, lowered := range []float64{5, 20} {
		t.Run(fmt.Sprintf("lowered from 100 to %g", lowered), func(t *testing.T) {
			t.Parallel()
			checkChange(t, lowered)
		})
	}
}

// checkChange lowers a rate of 100 and raises it again. The nodes learn of each change within
// 500 ms.
func checkChange(t *testing.T, lowered float64) {
	t.Helper()
	const (
		maxDelay   = 500 * time.Millisecond
		loweredAt  = 8 * time.Second
		raisedAt   = 16 * time.Second
		isLowered  = loweredAt + maxDelay
		isRaised   = raisedAt + maxDelay
		firstCheck = isLowered + 4500*time.Millisecond
	)
	d := demand{nodes: 60, domains: 5, rate: 100, burst: 20, load: 1.2, duration: 24 * time.Second, entry: firstNodes(60)}
	setRate := func(rate float64) func(n *rateNetwork) {
		return func(n *rateNetwork) {
			n.configure(director.Customer{Name: "pond", RatePerSecond: rate, BurstRequests: d.burst}, maxDelay)
		}
	}
	d.events = map[time.Duration]func(n *rateNetwork){loweredAt: setRate(lowered), raisedAt: setRate(d.rate)}
	r := play(t, d)
	r.checkBound(t, d.rate, d.burst, 0)
	low := r
	low.admitted = slices.DeleteFunc(slices.Clone(r.admitted), func(at time.Duration) bool { return at > raisedAt })
	low.checkBound(t, lowered, d.burst, isLowered)
	r.checkFraction(t, lowered, d.burst, isLowered, isLowered, firstCheck)
	r.checkFraction(t, lowered, d.burst, isLowered, isLowered, raisedAt)
	r.checkFraction(t, d.rate, d.burst, isRaised, isRaised, d.duration)
}
