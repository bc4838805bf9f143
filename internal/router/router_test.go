package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/seeder"
)

var epoch = time.Unix(1_000_000, 0)

func TestMain(m *testing.M) {
	seeder.Run(m)
}

func newCandidates(n int) (found []Candidate) {
	for i := range n {
		found = append(found, Candidate{
			Name:        fmt.Sprint("n", i),
			Incarnation: "1",
			Domain:      fmt.Sprint("d", i%3),
			Region:      fmt.Sprint("r", i%3/2),
		})
	}
	return found
}

func newReport(limit, running int) Report {
	return Report{Incarnation: "1", Sequence: 1, Limit: limit, Running: running, LowestAdmittedPriority: exchanger.PriorityLow}
}

func pickShares(r *Router, all []Candidate, random Random) map[string]float64 {
	const picks = 3000
	got := map[string]float64{}
	for range picks {
		c, _ := r.Pick(epoch, random, all, Request{Priority: exchanger.PriorityNormal}, nil)
		got[c.Name] += 1.0 / picks
		r.nodes[c.Name].inFlight--
		r.nodes[c.Name].sentSinceReport--
	}
	return got
}

func TestPick(t *testing.T) {
	tests := []struct {
		name    string
		reports []Report
		// least and most bound the fraction of requests that each node gets.
		least, most []float64
	}{
		{"local domain first", []Report{newReport(10, 0), newReport(10, 0), newReport(10, 0)}, []float64{1, 0, 0}, []float64{1, 0, 0}},
		{"full domain spills over", []Report{newReport(10, 9), newReport(10, 0), newReport(10, 0)}, []float64{0, 0.9, 0}, []float64{0.1, 1, 0}},
		{"full region spills over", []Report{newReport(10, 9), newReport(10, 9), newReport(10, 0)}, []float64{0, 0, 0.6}, []float64{0.1, 0.1, 1}},
		{"draining node gets no requests", []Report{{Incarnation: "1", Sequence: 1, Limit: 10, Draining: true}, newReport(10, 0), newReport(10, 0)}, []float64{0, 1, 0}, []float64{0, 1, 0}},
		{"paused server is chosen last", []Report{newReport(0, 0), newReport(10, 9), newReport(10, 0)}, []float64{0, 0, 0.6}, []float64{0.02, 0.2, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := &Router{Domain: "d0", Region: "r0"}
			all := newCandidates(3)
			for i, report := range tt.reports {
				r.Report(epoch, all[i].Name, report)
			}
			got := pickShares(r, all, rand.New(rand.NewPCG(1, 2)))
			for i, c := range all {
				if got[c.Name] < tt.least[i]-1e-9 || got[c.Name] > tt.most[i]+1e-9 {
					t.Errorf("%s: got share %v, want %v to %v", c.Name, got[c.Name], tt.least[i], tt.most[i])
				}
			}
		})
	}
}

func TestColdServerGetsProportionalShare(t *testing.T) {
	r := &Router{Domain: "d0", Region: "r0"}
	all := newCandidates(4)
	for i := range all {
		all[i].Domain = "d0"
		r.Report(epoch, all[i].Name, newReport(100, 50))
	}
	r.Report(epoch, all[0].Name, Report{Incarnation: "1", Sequence: 2, Limit: 6, Running: 3, LowestAdmittedPriority: exchanger.PriorityLow})
	got := pickShares(r, all, rand.New(rand.NewPCG(1, 2)))[all[0].Name]
	if want := 1.25 * 6 / 306; got > want {
		t.Errorf("got share %v for the cold server, want at most %v", got, want)
	}
}

func TestPickShedsWhenAllNodesShed(t *testing.T) {
	r := &Router{}
	all := newCandidates(2)
	shed := newReport(10, 10)
	shed.LowestAdmittedPriority = exchanger.PriorityHigh
	r.Report(epoch, all[0].Name, shed)
	random := rand.New(rand.NewPCG(1, 2))
	tests := []struct {
		name     string
		now      time.Time
		priority exchanger.Priority
		want     Verdict
	}{
		{"one node has not reported", epoch, exchanger.PriorityNormal, VerdictPicked},
		{"all nodes shed", epoch.Add(time.Millisecond), exchanger.PriorityNormal, VerdictShed},
		{"more important request", epoch.Add(time.Millisecond), exchanger.PriorityHigh, VerdictPicked},
		{"expired reports", epoch.Add(time.Second), exchanger.PriorityNormal, VerdictPicked},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if _, got := r.Pick(tt.now, random, all, Request{Priority: tt.priority}, nil); got != tt.want {
				t.Errorf("got verdict %d, want %d", got, tt.want)
			}
			r.Report(epoch, all[1].Name, shed)
		})
	}
}

func TestUnresponsiveNodeIsEjected(t *testing.T) {
	r := &Router{}
	all := newCandidates(1)
	random := rand.New(rand.NewPCG(1, 2))
	now := epoch
	var waited time.Duration
	for range 8 {
		if _, v := r.Pick(now, random, all, Request{}, nil); v != VerdictPicked {
			t.Fatalf("got verdict %d, want a picked node", v)
		}
		if _, v := r.Pick(now, random, all, Request{}, nil); waited > 0 && v != VerdictNoNode {
			t.Fatalf("got verdict %d for a second request, want no node", v)
		}
		r.nodes[all[0].Name].inFlight = 1
		r.RecordOutcome(now, all[0].Name, OutcomeUnresponsive, 0)
		if _, v := r.Pick(now, random, all, Request{}, nil); v != VerdictNoNode {
			t.Fatalf("got verdict %d after an unresponsive request, want no node", v)
		}
		waited = r.nodes[all[0].Name].ejectedUntil.Sub(now)
		now = now.Add(waited)
	}
	if waited != maxEjectionTime {
		t.Errorf("got ejection time %s, want %s", waited, maxEjectionTime)
	}
}

// TestRouterModel checks that no request goes to a node that is draining or ejected.
func TestRouterModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &Router{Domain: "d0", Region: "r0"}
		all := newCandidates(rapid.IntRange(1, 7).Draw(t, "nodes"))
		now := epoch
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		draining, ejectedUntil := map[string]bool{}, map[string]time.Time{}
		running := map[string]int{}
		for sequence := range uint64(rapid.IntRange(1, 60).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			c := rapid.SampledFrom(all).Draw(t, "node")
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				draining[c.Name] = rapid.Bool().Draw(t, "draining")
				report := Report{Incarnation: "1", Sequence: sequence + 1, Limit: rapid.IntRange(0, 9).Draw(t, "limit"), Draining: draining[c.Name], LowestAdmittedPriority: 3}
				r.Report(now, c.Name, report)
			case 1:
				if running[c.Name] == 0 {
					continue
				}
				running[c.Name]--
				o := Outcome(rapid.IntRange(0, 3).Draw(t, "outcome"))
				r.RecordOutcome(now, c.Name, o, 0)
				if o == OutcomeUnresponsive && !now.Before(ejectedUntil[c.Name]) {
					ejectedUntil[c.Name] = now.Add(minEjectionTime)
				}
				if o == OutcomeAnswered {
					delete(ejectedUntil, c.Name)
				}
			case 2:
				picked, v := r.Pick(now, random, all, Request{Priority: exchanger.PriorityNormal}, nil)
				if v != VerdictPicked {
					continue
				}
				running[picked.Name]++
				if draining[picked.Name] || now.Before(ejectedUntil[picked.Name]) {
					t.Fatalf("got node %s, draining %v, ejected until %s, want one that may get requests", picked.Name, draining[picked.Name], ejectedUntil[picked.Name])
				}
			}
		}
	})
}

func BenchmarkPick(b *testing.B) {
	r := &Router{Domain: "d0", Region: "r0"}
	all := newCandidates(40)
	for i, c := range all {
		r.Report(epoch, c.Name, newReport(100, i))
	}
	random := rand.New(rand.NewPCG(1, 2))
	b.ReportAllocs()
	for b.Loop() {
		c, _ := r.Pick(epoch, random, all, Request{Priority: exchanger.PriorityNormal}, nil)
		r.RecordOutcome(epoch, c.Name, OutcomeAnswered, 0)
	}
}

// TestFailingServersGetCallsOnlyWhenOthersAreFull guards against sending calls to servers
// that fail fast: 17 of 27 servers of a service refuse over half of their calls at once and
// so seem to have room. Calls must go to the healthy servers as long as those have room, and
// to the failing ones only beyond that.
func TestFailingServersGetCallsOnlyWhenOthersAreFull(t *testing.T) {
	const (
		servers, healthy, slots = 27, 10, 15
		callTime                = 75 * time.Millisecond
		step                    = time.Millisecond
		refusedFraction         = 0.55
	)
	tests := []struct {
		name string
		// demand is the ratio of the offered load to the capacity of the healthy
		// servers.
		demand float64
		// maxRefused is the largest allowed fraction of refused calls, and
		// minUtilization the least utilization of the healthy servers' slots.
		maxRefused, minUtilization float64
	}{
		{"healthy servers have room", 0.8, 0.02, 0.7},
		{"healthy servers are full", 2, 0.35, 0.9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			r := &Router{Domain: "d0", Region: "r", SpilloverUtilization: 0.95}
			nodes := make([]Candidate, servers)
			running := make([][]time.Time, servers)
			index := map[string]int{}
			for i := range nodes {
				nodes[i] = Candidate{Name: fmt.Sprint("n", i), Incarnation: "1", Domain: fmt.Sprint("d", i%5), Region: "r"}
				index[nodes[i].Name] = i
			}
			now := time.Unix(1_000_000, 0)
			calls, refused, utilization, steps := 0, 0, 0.0, 0
			perStep := tt.demand * healthy * slots * step.Seconds() / callTime.Seconds()
			due := 0.0
			for ; steps < 3000; steps++ {
				now = now.Add(step)
				for i := range nodes {
					ended := 0
					for ended < len(running[i]) && !running[i][ended].After(now) {
						r.RecordOutcome(now, nodes[i].Name, OutcomeAnswered, 0)
						ended++
					}
					running[i] = running[i][ended:]
					if ended > 0 || steps%250 == 0 {
						r.Report(now, nodes[i].Name, Report{Incarnation: "1", Sequence: uint64(steps + 1), Limit: slots, Running: len(running[i]), Failing: i >= healthy})
					}
					if i < healthy {
						utilization += float64(min(len(running[i]), slots)) / (healthy * slots)
					}
				}
				for due += perStep; due >= 1; due-- {
					c, v := r.Pick(now, random, nodes, Request{}, nil)
					if v != VerdictPicked {
						t.Fatalf("got verdict %d, want a node", v)
					}
					calls++
					i := index[c.Name]
					if i >= healthy && random.Float64() < refusedFraction {
						refused++
						r.RecordOutcome(now, c.Name, OutcomeAnswered, 0)
						continue
					}
					running[i] = append(running[i], now.Add(callTime))
				}
			}
			if got := float64(refused) / float64(calls); got > tt.maxRefused {
				t.Errorf("got fraction %.3f of calls refused, want at most %.3f", got, tt.maxRefused)
			}
			if got := utilization / float64(steps); got < tt.minUtilization {
				t.Errorf("got utilization %.2f of the healthy servers, want at least %.2f", got, tt.minUtilization)
			}
		})
	}
}
