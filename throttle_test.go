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
	// floodSenders is the number of concurrent senders to each node.
	floodSenders = 3
	smallRate    = 40
	smallBurst   = 25
)

func rateManifest() string {
	return `{
  "services": [{"name": "slotboard", "slots": 20, "routes": [{"path": "/", "idempotent": true}]}],
  "customers": [{"name": "pond-a", "rate": ` + fmt.Sprint(smallRate) + `, "burst": ` + fmt.Sprint(smallBurst) + `, "keys": ["` + authenticator.DigestKey(testKey) + `"]}]
}`
}

// flood sends requests through nodes at once, until each of its senders has
// sent that many, and returns how many were answered.
func flood(t *testing.T, nodes []*Node, count int) (answered int64) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: floodSenders}}
	defer client.CloseIdleConnections()
	var total atomic.Int64
	var wg sync.WaitGroup
	for _, n := range nodes {
		for range floodSenders {
			wg.Go(func() {
				for range count {
					r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+n.Settings().Caller+"/slotboard/slots", nil)
					if err != nil {
						t.Error(err)
						return
					}
					r.Header.Set("Authorization", "Bearer "+testKey)
					response, err := client.Do(r)
					if err != nil {
						return // the node has stopped
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

// TestRateHoldsOverAllNodes floods three nodes and lets the holder of the rate
// leave and another node join meanwhile.
func TestRateHoldsOverAllNodes(t *testing.T) {
	tests := []struct {
		name   string
		during func(f *testFleet)
	}{
		{"steady", func(*testFleet) {}},
		{"holder stops", func(f *testFleet) {
			for i, n := range f.nodes {
				if owner, _ := n.membership.tenure.Owner(rateResource("pond-a")); owner.Self {
					f.stops[i]()
					return
				}
			}
		}},
		{"node joins", func(f *testFleet) { f.add("slotboard-new", "slotboard", "rajkot") }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			started := time.Now()
			f := newTestFleet(t, rateManifest())
			for _, domain := range []string{"ahmedabad", "rajkot", "vadodara"} {
				f.add("slotboard-"+domain, "slotboard", domain)
			}
			f.ready()
			answered := make(chan int64)
			nodes := slices.Clone(f.nodes)
			go func() { answered <- flood(t, nodes, 200) }()
			tt.during(f)
			got := <-answered
			limit := smallBurst + int64(smallRate*time.Since(started).Seconds())
			if got > limit {
				t.Errorf("got %d answers, want at most %d", got, limit)
			}
			if got < smallBurst {
				t.Errorf("got %d answers, want at least the burst of %d", got, smallBurst)
			}
		})
	}
}

// Holders let each other know at once that they have let go, so that nobody
// waits for the next heartbeat after nodes have joined.
func TestCustomersAreServedAtOnceAfterJoins(t *testing.T) {
	const customers = 8
	f := newTestFleet(t, "")
	for _, name := range []string{"slotboard-1", "slotboard-2", "slotboard-3"} {
		f.add(name, "slotboard", "rajkot")
	}
	f.ready()
	var list []string
	for i := range customers {
		list = append(list, fmt.Sprintf(`{"name": "pond-%d", "rate": 60, "burst": 60, "keys": [%q]}`, i, authenticator.DigestKey(fmt.Sprint(testKey, i))))
	}
	f.publish(`{"services": [{"name": "slotboard", "routes": [{"path": "/", "idempotent": true}]}], "customers": [` + strings.Join(list, ",") + `]}`)
	await(t, "the manifest is in force", func() bool {
		return !slices.ContainsFunc(f.nodes, func(n *Node) bool { return n.index.Load().State.Manifest == nil })
	})
	for i := range customers {
		for _, n := range f.nodes {
			status, answer := send(t, request(t, n, "GET", "/slotboard/slots", fmt.Sprint(testKey, i), ""))
			if status != http.StatusOK {
				t.Errorf("customer %d through %s: got status %d, want %d: %s", i, n.self.Name, status, http.StatusOK, answer)
			}
		}
	}
}

// A customer that a later manifest adds has its whole rate and burst at once.
func TestAddedCustomerHasItsWholeRate(t *testing.T) {
	f := newTestFleet(t, testManifest())
	for _, name := range []string{"slotboard-1", "slotboard-2", "slotboard-3"} {
		f.add(name, "slotboard", "rajkot")
	}
	f.ready()
	f.publish(`{"services": [{"name": "slotboard", "routes": [{"path": "/", "idempotent": true}]}],
  "customers": [{"name": "pond-new", "rate": 1, "burst": 60, "keys": ["` + authenticator.DigestKey(testKey) + `"]}]}`)
	await(t, "the manifest is in force", func() bool {
		return !slices.ContainsFunc(f.nodes, func(n *Node) bool { return n.index.Load().Customer("pond-new") == nil })
	})
	for i := range 50 {
		n := f.nodes[i%len(f.nodes)]
		status, answer := send(t, request(t, n, "GET", "/slotboard/slots", testKey, ""))
		if status != http.StatusOK {
			t.Fatalf("request %d through %s: got status %d, want %d: %s", i, n.self.Name, status, http.StatusOK, answer)
		}
	}
}

// TestReasonWhenNobodyKnowsTheRate lets lenders answer long ago, lately and
// never: a customer is told that it is over its rate only if somebody said so.
func TestReasonWhenNobodyKnowsTheRate(t *testing.T) {
	f := newTestFleet(t, rateManifest())
	n := f.add("slotboard-1", "slotboard", "ahmedabad")
	f.ready()
	tests := []struct {
		name  string
		heard time.Time
		want  int
	}{
		{"never", time.Time{}, http.StatusServiceUnavailable},
		{"long ago", time.Now().Add(-time.Minute), http.StatusServiceUnavailable},
		{"lately", time.Now(), http.StatusTooManyRequests},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := newAccount(n, "pond-a")
			a.heard = tt.heard
			if got := a.refusal(); got.Status != tt.want || got.Ran != exchanger.RanNo {
				t.Errorf("got %v, want status %d, not run", got, tt.want)
			}
		})
	}
}
