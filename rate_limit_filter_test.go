package flamingotack

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/authenticator"
	"github.com/flamingotack/flamingotack/internal/exchanger"
)

const (
	// floodSenders is the number of concurrent senders for each node.
	floodSenders      = 3
	testRatePerSecond = 40
	testBurstRequests = 25
)

func rateLimitManifest() string {
	return `{
  "services": [{"name": "slotboard", "slots": 20, "routes": [{"path": "/", "idempotent": true}]}],
  "customers": [{"name": "pond-a", "rate": ` + fmt.Sprint(testRatePerSecond) + `, "burst": ` + fmt.Sprint(testBurstRequests) + `, "keys": ["` + authenticator.DigestKey(testKey) + `"]}]
}`
}

// flood sends requests through nodes concurrently until each of its senders
// has sent count requests, and returns how many were answered.
func flood(t *testing.T, nodes []*Node, count int) (answered int64) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: floodSenders}}
	defer client.CloseIdleConnections()
	var total atomic.Int64
	var wg sync.WaitGroup
	for _, n := range nodes {
		for range floodSenders {
			wg.Go(func() {
				for range count {
					r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+n.Settings().CallerAddress+"/slotboard/slots", nil)
					if err != nil {
						t.Error(err)
						return
					}
					r.Header.Set("Authorization", "Bearer "+testKey)
					response, err := client.Do(r)
					if err != nil {
						return // The node has stopped.
					}
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
					if response.StatusCode == http.StatusOK {
						total.Add(1)
					}
				}
			})
		}
	}
	wg.Wait()
	return total.Load()
}

// TestRateHoldsAcrossNodes floods three nodes while the holder of the rate
// limit leaves or another node joins.
func TestRateHoldsAcrossNodes(t *testing.T) {
	tests := []struct {
		name   string
		during func(c *testCluster)
	}{
		{"steady", func(*testCluster) {}},
		{"holder stops", func(c *testCluster) {
			for i, n := range c.nodes {
				if owner, _ := n.membership.ownership.Owner(rateResource("pond-a")); owner.IsSelf {
					c.stopNodes[i]()
					return
				}
			}
		}},
		{"node joins", func(c *testCluster) { c.add("slotboard-new", "slotboard", "rajkot") }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			started := time.Now()
			c := newTestCluster(t, rateLimitManifest())
			for _, domain := range []string{"ahmedabad", "rajkot", "vadodara"} {
				c.add("slotboard-"+domain, "slotboard", domain)
			}
			c.awaitMembership()
			answered := make(chan int64)
			nodes := slices.Clone(c.nodes)
			go func() { answered <- flood(t, nodes, 200) }()
			tt.during(c)
			got := <-answered
			limit := testBurstRequests + int64(testRatePerSecond*time.Since(started).Seconds())
			if got > limit {
				t.Errorf("got %d answers, want at most %d", got, limit)
			}
			if got < testBurstRequests {
				t.Errorf("got %d answers, want at least the burst of %d", got, testBurstRequests)
			}
		})
	}
}

// TestCustomersAreServedImmediatelyAfterJoins guards against refusals after
// joins: a holder must notify the new one immediately that it has released a rate
// limit, not with its next heartbeat.
func TestCustomersAreServedImmediatelyAfterJoins(t *testing.T) {
	const customers = 8
	c := newTestCluster(t, "")
	for _, name := range []string{"slotboard-1", "slotboard-2", "slotboard-3"} {
		c.add(name, "slotboard", "rajkot")
	}
	c.awaitMembership()
	var list []string
	for i := range customers {
		list = append(list, fmt.Sprintf(`{"name": "pond-%d", "rate": 60, "burst": 60, "keys": [%q]}`, i, authenticator.DigestKey(fmt.Sprint(testKey, i))))
	}
	c.publish(`{"services": [{"name": "slotboard", "routes": [{"path": "/", "idempotent": true}]}], "customers": [` + strings.Join(list, ",") + `]}`)
	await(t, "the manifest is in force", func() bool {
		return !slices.ContainsFunc(c.nodes, func(n *Node) bool { return n.index.Load().State.Manifest == nil })
	})
	for i := range customers {
		for _, n := range c.nodes {
			status, answer := send(t, request(t, n, "GET", "/slotboard/slots", fmt.Sprint(testKey, i), ""))
			if status != http.StatusOK {
				t.Errorf("customer %d through %s: got status %d, want %d: %s", i, n.self.Name, status, http.StatusOK, answer)
			}
		}
	}
}

// TestAddedCustomerHasFullRate checks that a customer added by a later
// manifest has its full rate and burst at once.
func TestAddedCustomerHasFullRate(t *testing.T) {
	c := newTestCluster(t, testManifest())
	for _, name := range []string{"slotboard-1", "slotboard-2", "slotboard-3"} {
		c.add(name, "slotboard", "rajkot")
	}
	c.awaitMembership()
	c.publish(`{"services": [{"name": "slotboard", "routes": [{"path": "/", "idempotent": true}]}],
  "customers": [{"name": "pond-new", "rate": 1, "burst": 60, "keys": ["` + authenticator.DigestKey(testKey) + `"]}]}`)
	await(t, "the manifest is in force", func() bool {
		return !slices.ContainsFunc(c.nodes, func(n *Node) bool { return n.index.Load().Customer("pond-new") == nil })
	})
	for i := range 50 {
		n := c.nodes[i%len(c.nodes)]
		status, answer := send(t, request(t, n, "GET", "/slotboard/slots", testKey, ""))
		if status != http.StatusOK {
			t.Fatalf("request %d through %s: got status %d, want %d: %s", i, n.self.Name, status, http.StatusOK, answer)
		}
	}
}

// TestRefusalWhenRateIsUnknown checks that a refusal says that the customer is
// over its rate only if a lender answered recently, not if none answered or the
// answer is old.
func TestRefusalWhenRateIsUnknown(t *testing.T) {
	c := newTestCluster(t, rateLimitManifest())
	n := c.add("slotboard-1", "slotboard", "ahmedabad")
	c.awaitMembership()
	tests := []struct {
		name         string
		lastAnswerAt time.Time
		want         int
	}{
		{"no answer", time.Time{}, http.StatusServiceUnavailable},
		{"old answer", time.Now().Add(-time.Minute), http.StatusServiceUnavailable},
		{"recent answer", time.Now(), http.StatusTooManyRequests},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newCustomerLimiter(n, "pond-a")
			l.lastAnswerAt = tt.lastAnswerAt
			if got := l.refusal(); got.Status != tt.want || got.Ran != exchanger.RanNo {
				t.Errorf("got %v, want status %d, not run", got, tt.want)
			}
		})
	}
}
