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
	surgeCustomers = 4
	surgeServers   = 3
	surgeSlots     = 4
	surgeService   = 20 * time.Millisecond
	surgeBorne     = surgeServers * surgeSlots * int(time.Second/surgeService)
	surgeDemand    = 3 * surgeBorne
	surgeDeadline  = time.Second
	surgeResends   = 3
	surgeTime      = 6 * time.Second
	surgeWarm      = 4 * time.Second
	// surgeShare is the part of the surge's demand that comes before it.
	surgeShare = 0.5 / 3
)

// surge counts what callers got.
type surge struct {
	fleet  *testFleet
	client *http.Client
	counts map[string]*surgeCount
	group  sync.WaitGroup
	random *rand.Rand
}

// surgeCount counts the requests of one customer and priority.
type surgeCount struct {
	asked, whole atomic.Int64
}

// BenchmarkSurge reports goodput under three times the demand that the deep
// service of a chain of two bears, from callers that resend at once.
func BenchmarkSurge(b *testing.B) {
	for _, policy := range []string{"fixed", "adaptive"} {
		b.Run(policy, func(b *testing.B) {
			for range b.N {
				newSurge(b, policy).run(b)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func surgeManifest(policy string) string {
	customers := []string{}
	for i := range surgeCustomers {
		customers = append(customers, fmt.Sprintf(`{"name": "c%d", "rate": 100000, "burst": 100000, "keys": ["%s"]}`, i, authenticator.Digest(surgeKey(i))))
	}
	return fmt.Sprintf(`{
  "services": [
    {"name": "front", "policy": %q, "slots": 200, "routes": [
      {"path": "/", "deadline": "1s", "idempotent": true},
      {"path": "/important", "deadline": "1s", "idempotent": true, "priority": "critical"}]},
    {"name": "deep", "policy": %q, "slots": %d, "routes": [{"path": "/", "deadline": "1s", "idempotent": true}]}
  ],
  "customers": [%s]
}`, policy, policy, surgeSlots, strings.Join(customers, ","))
}

func surgeKey(customer int) string {
	return fmt.Sprintf("key-of-customer-%d", customer)
}

func newSurge(b *testing.B, policy string) *surge {
	f := newTestFleet(b, surgeManifest(policy))
	f.time = surgeService
	f.slots = surgeSlots
	for i := range surgeServers {
		f.add(fmt.Sprint("deep-", i), "deep", fmt.Sprint("d", i))
	}
	f.time = time.Millisecond
	f.slots = 200
	for i := range surgeServers {
		f.add(fmt.Sprint("front-", i), "front", fmt.Sprint("d", i), emulator.Downstream{Service: "deep", Method: "GET", Path: "/x"})
	}
	f.ready()
	s := &surge{
		fleet:  f,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2000}},
		counts: map[string]*surgeCount{},
		random: rand.New(rand.NewPCG(1, 2)),
	}
	for i := range surgeCustomers {
		for _, p := range []string{"", "important"} {
			s.counts[fmt.Sprint(i, p)] = &surgeCount{}
		}
	}
	return s
}

// run sends a modest load so that the fleet warms up, then the surge.
func (s *surge) run(b *testing.B) {
	s.send(b, surgeWarm, surgeShare*float64(surgeDemand))
	s.group.Wait()
	for _, c := range s.counts {
		c.asked.Store(0)
		c.whole.Store(0)
	}
	before := s.executions("deep")
	s.send(b, surgeTime, float64(surgeDemand))
	s.group.Wait()
	whole, important, askedImportant := 0.0, 0.0, 0.0
	worst := math.Inf(1)
	for i := range surgeCustomers {
		normal, critical := s.counts[fmt.Sprint(i)], s.counts[fmt.Sprint(i, "important")]
		served := float64(normal.whole.Load() + critical.whole.Load())
		whole += served
		worst = min(worst, served)
		important += float64(critical.whole.Load())
		askedImportant += float64(critical.asked.Load())
	}
	b.ReportMetric(whole/(float64(surgeBorne)*surgeTime.Seconds()), "goodput")
	b.ReportMetric(important/askedImportant, "important")
	b.ReportMetric(worst/(whole/surgeCustomers), "worst/mean")
	b.ReportMetric(float64(s.executions("deep")-before)/whole, "executions/whole")
}

// send makes requests at a rate for a time. One customer asks five times as
// much as each other one.
func (s *surge) send(b *testing.B, length time.Duration, rate float64) {
	start := time.Now()
	at := time.Duration(0)
	for at < length {
		at += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
		time.Sleep(time.Until(start.Add(at)))
		customer := max(0, s.random.IntN(8)-4)
		kind := ""
		if s.random.IntN(10) == 0 {
			kind = "important"
		}
		node := s.fleet.nodes[surgeServers+s.random.IntN(surgeServers)]
		s.group.Go(func() { s.ask(b, node, customer, kind) })
	}
}

// ask sends one request and resends it at once while its deadline lasts.
func (s *surge) ask(b *testing.B, n *Node, customer int, kind string) {
	count := s.counts[fmt.Sprint(customer, kind)]
	count.asked.Add(1)
	deadline := time.Now().Add(surgeDeadline)
	for range 1 + surgeResends {
		r, err := http.NewRequestWithContext(b.Context(), http.MethodGet, "http://"+n.Settings().Caller+"/front/"+kind, http.NoBody)
		if err != nil {
			return
		}
		left := time.Until(deadline).Milliseconds()
		if left <= 0 {
			return
		}
		r.Header.Set("Authorization", "Bearer "+surgeKey(customer))
		r.Header.Set("Flamingotack-Timeout", fmt.Sprint(left))
		response, err := s.client.Do(r)
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK && time.Now().Before(deadline) {
			count.whole.Add(1)
			return
		}
	}
}

func (s *surge) executions(service string) (n int) {
	for _, e := range s.fleet.recorder.History().Executions {
		if e.Service == service && e.Outcome != recorder.ExecutionRefused {
			n++
		}
	}
	return n
}
