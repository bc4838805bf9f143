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

func candidates(n int) (found []Candidate) {
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

func warm(limit, running int) Report {
	return Report{Incarnation: "1", Sequence: 1, Limit: limit, Running: running, LowestAdmittedPriority: exchanger.PriorityLow}
}

func shares(r *Router, all []Candidate, random Random) map[string]float64 {
	const picks = 3000
	got := map[string]float64{}
	for range picks {
		c, _ := r.Pick(epoch, random, all, exchanger.PriorityNormal, nil)
		got[c.Name] += 1.0 / picks
		r.nodes[c.Name].own--
		r.nodes[c.Name].since--
	}
	return got
}

func TestPick(t *testing.T) {
	tests := []struct {
		name    string
		reports []Report
		// least and most bound the share of each node.
		least, most []float64
	}{
		{"own domain first", []Report{warm(10, 0), warm(10, 0), warm(10, 0)}, []float64{1, 0, 0}, []float64{1, 0, 0}},
		{"full domain spills", []Report{warm(10, 9), warm(10, 0), warm(10, 0)}, []float64{0, 0.9, 0}, []float64{0.1, 1, 0}},
		{"full region spills", []Report{warm(10, 9), warm(10, 9), warm(10, 0)}, []float64{0, 0, 0.6}, []float64{0.1, 0.1, 1}},
		{"draining gets nothing", []Report{{Incarnation: "1", Sequence: 1, Limit: 10, Draining: true}, warm(10, 0), warm(10, 0)}, []float64{0, 1, 0}, []float64{0, 1, 0}},
		{"paused server comes last", []Report{warm(0, 0), warm(10, 9), warm(10, 0)}, []float64{0, 0, 0.6}, []float64{0.02, 0.2, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := &Router{Domain: "d0", Region: "r0"}
			all := candidates(3)
			for i, report := range tt.reports {
				r.Report(epoch, all[i].Name, report)
			}
			got := shares(r, all, rand.New(rand.NewPCG(1, 2)))
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
	all := candidates(4)
	for i := range all {
		all[i].Domain = "d0"
		r.Report(epoch, all[i].Name, warm(100, 50))
	}
	r.Report(epoch, all[0].Name, Report{Incarnation: "1", Sequence: 2, Limit: 6, Running: 3, LowestAdmittedPriority: exchanger.PriorityLow})
	got := shares(r, all, rand.New(rand.NewPCG(1, 2)))[all[0].Name]
	if want := 1.25 * 6 / 306; got > want {
		t.Errorf("got share %v for the cold server, want at most %v", got, want)
	}
}

func TestPickShedsWhenAllNodesShed(t *testing.T) {
	r := &Router{}
	all := candidates(2)
	shed := warm(10, 10)
	shed.LowestAdmittedPriority = exchanger.PriorityHigh
	r.Report(epoch, all[0].Name, shed)
	random := rand.New(rand.NewPCG(1, 2))
	tests := []struct {
		name     string
		now      time.Time
		priority exchanger.Priority
		want     Verdict
	}{
		{"one guard is silent about it", epoch, exchanger.PriorityNormal, VerdictPicked},
		{"all shed", epoch.Add(time.Millisecond), exchanger.PriorityNormal, VerdictShed},
		{"more important", epoch.Add(time.Millisecond), exchanger.PriorityHigh, VerdictPicked},
		{"out of date", epoch.Add(time.Second), exchanger.PriorityNormal, VerdictPicked},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if _, got := r.Pick(tt.now, random, all, tt.priority, nil); got != tt.want {
				t.Errorf("got verdict %d, want %d", got, tt.want)
			}
			r.Report(epoch, all[1].Name, shed)
		})
	}
}

func TestUnresponsiveNodeIsEjected(t *testing.T) {
	r := &Router{}
	all := candidates(1)
	random := rand.New(rand.NewPCG(1, 2))
	now := epoch
	var waited time.Duration
	for range 8 {
		if _, v := r.Pick(now, random, all, 0, nil); v != VerdictPicked {
			t.Fatalf("got verdict %d, want a pick", v)
		}
		if _, v := r.Pick(now, random, all, 0, nil); waited > 0 && v != VerdictNoNode {
			t.Fatalf("got verdict %d for a second request, want none", v)
		}
		r.nodes[all[0].Name].own = 1
		r.RecordOutcome(now, all[0].Name, OutcomeUnresponsive, 0)
		if _, v := r.Pick(now, random, all, 0, nil); v != VerdictNoNode {
			t.Fatalf("got verdict %d after silence, want none", v)
		}
		waited = r.nodes[all[0].Name].banned.Sub(now)
		now = now.Add(waited)
	}
	if waited != banMost {
		t.Errorf("got wait %s, want %s", waited, banMost)
	}
}

// TestRouterModel checks that no pick goes to a node that is draining, left
// alone or no candidate, and that each choice is among the candidates.
func TestRouterModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &Router{Domain: "d0", Region: "r0"}
		all := candidates(rapid.IntRange(1, 7).Draw(t, "nodes"))
		now := epoch
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		draining, banned := map[string]bool{}, map[string]time.Time{}
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
				if o == OutcomeUnresponsive && !now.Before(banned[c.Name]) {
					banned[c.Name] = now.Add(banLeast)
				}
				if o == OutcomeAnswered {
					delete(banned, c.Name)
				}
			case 2:
				picked, v := r.Pick(now, random, all, exchanger.PriorityNormal, nil)
				if v != VerdictPicked {
					continue
				}
				running[picked.Name]++
				if draining[picked.Name] || now.Before(banned[picked.Name]) {
					t.Fatalf("got %s, draining %v, left alone until %s", picked.Name, draining[picked.Name], banned[picked.Name])
				}
			}
		}
	})
}

func BenchmarkPick(b *testing.B) {
	r := &Router{Domain: "d0", Region: "r0"}
	all := candidates(40)
	for i, c := range all {
		r.Report(epoch, c.Name, warm(100, i))
	}
	random := rand.New(rand.NewPCG(1, 2))
	b.ReportAllocs()
	for b.Loop() {
		c, _ := r.Pick(epoch, random, all, exchanger.PriorityNormal, nil)
		r.RecordOutcome(epoch, c.Name, OutcomeAnswered, 0)
	}
}

// TestDeepServiceWhoseServersTurnCallsAway is a service on which 17 of 27 servers turn
// over half of their calls away at once and so seem to have room: calls go to the
// others as long as those have room, and to the failing ones only beyond that.
func TestFailingServersGetCallsOnlyWhenOthersAreFull(t *testing.T) {
	const (
		servers, sound, slots = 27, 10, 15
		held                  = 75 * time.Millisecond
		step                  = time.Millisecond
		turnedAway            = 0.55
	)
	tests := []struct {
		name string
		// demand is what is asked for, in parts of what the sound servers bear.
		demand float64
		// badly is the part of the calls that end badly, at most, and busy the part
		// of the sound servers' slots in use, at least.
		badly, busy float64
	}{
		{"sound servers have room", 0.8, 0.02, 0.7},
		{"sound servers are full", 2, 0.35, 0.9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			r := &Router{Domain: "d0", Region: "r", SpilloverUtilization: 0.95}
			candidates := make([]Candidate, servers)
			running := make([][]time.Time, servers)
			index := map[string]int{}
			for i := range candidates {
				candidates[i] = Candidate{Name: fmt.Sprint("n", i), Incarnation: "1", Domain: fmt.Sprint("d", i%5), Region: "r"}
				index[candidates[i].Name] = i
			}
			now := time.Unix(1_000_000, 0)
			calls, badly, busy, steps := 0, 0, 0.0, 0
			perStep := tt.demand * sound * slots * step.Seconds() / held.Seconds()
			due := 0.0
			for ; steps < 3000; steps++ {
				now = now.Add(step)
				for i := range candidates {
					ended := 0
					for ended < len(running[i]) && !running[i][ended].After(now) {
						r.RecordOutcome(now, candidates[i].Name, OutcomeAnswered, 0)
						ended++
					}
					running[i] = running[i][ended:]
					if ended > 0 || steps%250 == 0 {
						r.Report(now, candidates[i].Name, Report{Incarnation: "1", Sequence: uint64(steps + 1), Limit: slots, Running: len(running[i]), Failing: i >= sound})
					}
					if i < sound {
						busy += float64(min(len(running[i]), slots)) / (sound * slots)
					}
				}
				for due += perStep; due >= 1; due-- {
					c, v := r.Pick(now, random, candidates, 0, nil)
					if v != VerdictPicked {
						t.Fatalf("got verdict %d, want a node", v)
					}
					calls++
					i := index[c.Name]
					if i >= sound && random.Float64() < turnedAway {
						badly++
						r.RecordOutcome(now, c.Name, OutcomeAnswered, 0)
						continue
					}
					running[i] = append(running[i], now.Add(held))
				}
			}
			if got := float64(badly) / float64(calls); got > tt.badly {
				t.Errorf("got %.3f of the calls turned away, want at most %.3f", got, tt.badly)
			}
			if got := busy / float64(steps); got < tt.busy {
				t.Errorf("got %.2f of the sound servers' slots in use, want at least %.2f", got, tt.busy)
			}
		})
	}
}
