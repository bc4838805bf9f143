package flamingotack

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/authenticator"
	"github.com/flamingotack/flamingotack/internal/emulator"
	"github.com/flamingotack/flamingotack/internal/recorder"
)

const (
	overloadCustomers         = 4
	overloadServers           = 3
	overloadSlots             = 4
	overloadServiceTime       = 20 * time.Millisecond
	overloadCapacityPerSecond = overloadServers * overloadSlots * int(time.Second/overloadServiceTime)
	overloadDemandPerSecond   = 3 * overloadCapacityPerSecond
	overloadDeadline          = time.Second
	overloadResends           = 3
	overloadDuration          = 6 * time.Second
	overloadWarmup            = 4 * time.Second
	// warmupFraction is the fraction of the overload demand that is sent during the
	// warmup.
	warmupFraction = 0.5 / 3
)

// overloadRun counts the results that callers got.
type overloadRun struct {
	cluster *testCluster
	client  *http.Client
	counts  map[string]*callCounts
	wg      sync.WaitGroup
	random  *rand.Rand
}

// callCounts counts the requests of one customer and priority.
type callCounts struct {
	sent, succeeded atomic.Int64
}

// BenchmarkOverload reports goodput under three times the demand that the
// downstream service in a chain of two can serve, from callers that resend at
// once.
func BenchmarkOverload(b *testing.B) {
	for _, policy := range []string{"fixed", "adaptive"} {
		b.Run(policy, func(b *testing.B) {
			for range b.N {
				newOverloadRun(b, policy).run(b)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func overloadManifest(policy string) string {
	customers := []string{}
	for i := range overloadCustomers {
		customers = append(customers, fmt.Sprintf(`{"name": "c%d", "rate": 100000, "burst": 100000, "keys": ["%s"]}`, i, authenticator.DigestKey(overloadKey(i))))
	}
	return fmt.Sprintf(`{
  "services": [
    {"name": "front", "policy": %q, "slots": 200, "routes": [
      {"path": "/", "deadline": "1s", "idempotent": true},
      {"path": "/important", "deadline": "1s", "idempotent": true, "priority": "critical"}]},
    {"name": "deep", "policy": %q, "slots": %d, "routes": [{"path": "/", "deadline": "1s", "idempotent": true}]}
  ],
  "customers": [%s]
}`, policy, policy, overloadSlots, strings.Join(customers, ","))
}

func overloadKey(customer int) string {
	return fmt.Sprintf("key-of-customer-%d", customer)
}

func newOverloadRun(b *testing.B, policy string) *overloadRun {
	c := newTestCluster(b, overloadManifest(policy))
	c.serviceTime = overloadServiceTime
	c.slots = overloadSlots
	for i := range overloadServers {
		c.add(fmt.Sprint("deep-", i), "deep", fmt.Sprint("d", i))
	}
	c.serviceTime = time.Millisecond
	c.slots = 200
	for i := range overloadServers {
		c.add(fmt.Sprint("front-", i), "front", fmt.Sprint("d", i), emulator.DownstreamCall{Service: "deep", Method: "GET", Path: "/x"})
	}
	c.awaitMembership()
	o := &overloadRun{
		cluster: c,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2000}},
		counts:  map[string]*callCounts{},
		random:  rand.New(rand.NewPCG(1, 2)),
	}
	for i := range overloadCustomers {
		for _, p := range []string{"", "important"} {
			o.counts[fmt.Sprint(i, p)] = &callCounts{}
		}
	}
	return o
}

// run sends a moderate load so that the cluster warms up, then the overload.
func (o *overloadRun) run(b *testing.B) {
	o.sendLoad(b, overloadWarmup, warmupFraction*float64(overloadDemandPerSecond))
	o.wg.Wait()
	for _, c := range o.counts {
		c.sent.Store(0)
		c.succeeded.Store(0)
	}
	before := o.executions("deep")
	o.sendLoad(b, overloadDuration, float64(overloadDemandPerSecond))
	o.wg.Wait()
	succeeded, criticalSucceeded, criticalSent := 0.0, 0.0, 0.0
	worst := math.Inf(1)
	for i := range overloadCustomers {
		normal, critical := o.counts[fmt.Sprint(i)], o.counts[fmt.Sprint(i, "important")]
		served := float64(normal.succeeded.Load() + critical.succeeded.Load())
		succeeded += served
		worst = min(worst, served)
		criticalSucceeded += float64(critical.succeeded.Load())
		criticalSent += float64(critical.sent.Load())
	}
	b.ReportMetric(succeeded/(float64(overloadCapacityPerSecond)*overloadDuration.Seconds()), "goodput")
	b.ReportMetric(criticalSucceeded/criticalSent, "important")
	b.ReportMetric(worst/(succeeded/overloadCustomers), "worst/mean")
	b.ReportMetric(float64(o.executions("deep")-before)/succeeded, "executions/whole")
}

// sendLoad sends requests at a rate per second. One customer sends five times
// as many as each other one.
func (o *overloadRun) sendLoad(b *testing.B, duration time.Duration, ratePerSecond float64) {
	start := time.Now()
	offset := time.Duration(0)
	for offset < duration {
		offset += time.Duration(o.random.ExpFloat64() / ratePerSecond * float64(time.Second))
		time.Sleep(time.Until(start.Add(offset)))
		customer := max(0, o.random.IntN(8)-4)
		path := ""
		if o.random.IntN(10) == 0 {
			path = "important"
		}
		node := o.cluster.nodes[overloadServers+o.random.IntN(overloadServers)]
		o.wg.Go(func() { o.sendWithResends(b, node, customer, path) })
	}
}

// sendWithResends sends one request and resends it at once until its deadline.
func (o *overloadRun) sendWithResends(b *testing.B, n *Node, customer int, path string) {
	count := o.counts[fmt.Sprint(customer, path)]
	count.sent.Add(1)
	deadline := time.Now().Add(overloadDeadline)
	for range 1 + overloadResends {
		r, err := http.NewRequestWithContext(b.Context(), http.MethodGet, "http://"+n.Settings().CallerAddress+"/front/"+path, http.NoBody)
		if err != nil {
			return
		}
		remaining := time.Until(deadline).Milliseconds()
		if remaining <= 0 {
			return
		}
		r.Header.Set("Authorization", "Bearer "+overloadKey(customer))
		r.Header.Set("Flamingotack-Timeout", fmt.Sprint(remaining))
		response, err := o.client.Do(r)
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK && time.Now().Before(deadline) {
			count.succeeded.Add(1)
			return
		}
	}
}

func (o *overloadRun) executions(service string) (n int) {
	for _, e := range o.cluster.recorder.History().Executions {
		if e.Service == service && e.Outcome != recorder.ExecutionRefused {
			n++
		}
	}
	return n
}
