package promoter

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// reportInterval is the interval of reports and decisions in the simulation.
const reportInterval = 100 * time.Millisecond

type (
	// behavior returns whether a run fails and its duration. at is the time since the
	// server's start and load the number of runs on it.
	behavior func(at time.Duration, load int, route string, random *rand.Rand) (failed bool, duration time.Duration)

	// simulation is a service with servers of an old and of a target version.
	simulation struct {
		rate     float64
		duration time.Duration
		// servers is the number of servers of each version.
		servers int
		// targetStart is when the target servers start, and coldTime how long they are
		// cold, with at most coldRate runs per second on each.
		targetStart, coldTime time.Duration
		coldRate              float64
		old, target           behavior
		// waiting is the time that each run waits for calls that it makes.
		waiting time.Duration
		// service changes the behavior of both versions.
		service func(at time.Duration) (failureRate, slowdown float64)
		seed    uint64
	}

	simulatedServer struct {
		report  NodeReport
		running int
		coldRun time.Duration
	}

	// runEnd is the end of a run.
	runEnd struct {
		at, took     time.Duration
		server       *simulatedServer
		route        string
		failed, cold bool
	}

	runEnds []runEnd

	// result is the outcome of a simulation.
	result struct {
		state         State
		at            time.Duration
		target, total float64
		reason        string
	}
)

func (r runEnds) Len() int           { return len(r) }
func (r runEnds) Less(i, j int) bool { return r[i].at < r[j].at }
func (r runEnds) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *runEnds) Push(x any)        { *r = append(*r, x.(runEnd)) }
func (r *runEnds) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}

var testBounds = Bounds{ExposureShare: 0.1, ExposureRequests: 50, RollbackTime: 5 * time.Second}

// simulatedRoutes are drawn with equal probability, so "rare" gets a tenth of the runs.
var simulatedRoutes = []string{"read", "read", "read", "read", "read", "write", "write", "write", "list", "rare"}

// good is a version whose runs take about 30 ms and rarely fail.
func good(_ time.Duration, _ int, _ string, random *rand.Rand) (bool, time.Duration) {
	return random.Float64() < 0.002, 10*time.Millisecond + time.Duration(random.ExpFloat64()*float64(20*time.Millisecond))
}

// failing returns good with a fraction of failures while the condition holds.
func failing(fraction float64, condition func(at time.Duration, load int, route string) bool) behavior {
	return func(at time.Duration, load int, route string, random *rand.Rand) (bool, time.Duration) {
		failed, took := good(at, load, route, random)
		return failed || condition(at, load, route) && random.Float64() < fraction, took
	}
}

// slow returns good with longer runs while the condition holds.
func slow(factor float64, condition func(at time.Duration, load int, route string) bool) behavior {
	return func(at time.Duration, load int, route string, random *rand.Rand) (bool, time.Duration) {
		failed, took := good(at, load, route, random)
		if condition(at, load, route) {
			took = time.Duration(factor * float64(took))
		}
		return failed, took
	}
}

func always(time.Duration, int, string) bool           { return true }
func onRare(_ time.Duration, _ int, route string) bool { return route == "rare" }
func after(d time.Duration) func(time.Duration, int, string) bool {
	return func(at time.Duration, _ int, _ string) bool { return at >= d }
}

// run plays the service from the order to some time after the deadline. The decision takes
// effect one interval after the reports on which it is based.
func (s simulation) run() (r result) {
	random := rand.New(rand.NewPCG(s.seed, 1))
	start := time.Unix(1000, 0)
	p := New(start, Order{Service: "shop", TargetVersion: "v2", Duration: s.duration}, testBounds)
	servers := map[bool][]*simulatedServer{}
	for i := range s.servers {
		for _, target := range []bool{false, true} {
			version := map[bool]string{false: "v1", true: "v2"}[target]
			servers[target] = append(servers[target], &simulatedServer{report: NodeReport{Node: fmt.Sprint(version, i), Incarnation: "1", Version: version, Routes: map[string]RouteOutcomes{}}})
		}
	}
	var ends runEnds
	decision, next := Decision{State: StateRunning}, Decision{State: StateRunning}
	stopped := false
	nextArrival, nextTick := time.Duration(0), reportInterval
	for now := time.Duration(0); now < s.duration; {
		now = min(nextArrival, nextTick)
		for len(ends) > 0 && ends[0].at <= now {
			e := heap.Pop(&ends).(runEnd)
			e.server.finish(e)
		}
		if now == nextTick {
			nextTick += reportInterval
			for target, list := range servers {
				for _, server := range list {
					if !target || now >= s.targetStart {
						server.send(p, start.Add(now))
					}
				}
			}
			decision = next
			if !stopped {
				next = p.Decide(start.Add(now))
			}
			if next.State != StateRunning && !stopped {
				stopped, r.state, r.at, r.reason = true, next.State, now, p.Reason()
			}
			continue
		}
		nextArrival += time.Duration(random.ExpFloat64() / s.rate * float64(time.Second))
		r.total++
		target := random.Float64() < decision.Share || decision.State == StateCompleted
		server := servers[target][random.IntN(s.servers)]
		if target && uint64(r.target) >= decision.MaxRequests && decision.State == StateRunning {
			target, server = false, servers[false][random.IntN(s.servers)]
		}
		at := now - s.targetStart
		cold := target && at < s.coldTime
		if cold && server.coldRun > now {
			target, cold, server = false, false, servers[false][random.IntN(s.servers)]
		}
		run := s.old
		if target {
			run = s.target
			r.target++
		}
		route := simulatedRoutes[random.IntN(len(simulatedRoutes))]
		failed, took := run(at, server.running, route, random)
		if cold {
			server.coldRun = now + time.Duration(float64(time.Second)/s.coldRate)
			took *= 4
		}
		if s.service != nil {
			rate, slowdown := s.service(now)
			failed = failed || random.Float64() < rate
			took = time.Duration(slowdown * float64(took))
		}
		server.running++
		server.report.Started++
		heap.Push(&ends, runEnd{now + took + s.waiting, took, server, route, failed, cold})
	}
	return r
}

func (s *simulatedServer) finish(e runEnd) {
	s.running--
	o := RouteOutcomes{Requests: 1, TotalTime: e.took}
	if e.failed {
		o.Failures = 1
	}
	if e.cold {
		s.report.Cold = sum(s.report.Cold, o)
		return
	}
	s.report.Routes[e.route] = sum(s.report.Routes[e.route], o)
}

func (s *simulatedServer) send(p *Promoter, now time.Time) {
	report := s.report
	report.Routes = map[string]RouteOutcomes{}
	for route, o := range s.report.Routes {
		report.Routes[route] = o
	}
	report.Busy = s.running > 0
	p.Report(now, report)
}

// TestRollouts guards against good versions that are not completed in time and against bad
// ones that are completed or get more requests than the exposure allows.
func TestRollouts(t *testing.T) {
	const seeds = 2
	tests := []struct {
		name    string
		target  behavior
		service func(at time.Duration) (float64, float64)
		want    State
		// partly reports whether only a part of the version's answers can be bad.
		partly bool
	}{
		{"good", good, nil, StateCompleted, false},
		{"failing", failing(0.5, always), nil, StateRolledBack, false},
		{"failing a fifth", failing(0.2, always), nil, StateRolledBack, false},
		{"slow 5", slow(5, always), nil, StateRolledBack, false},
		{"slow 8", slow(8, always), nil, StateRolledBack, false},
		{"failing under load", failing(0.5, func(_ time.Duration, load int, _ string) bool { return load >= 2 }), nil, StateRolledBack, true},
		{"slow under load", slow(6, func(_ time.Duration, load int, _ string) bool { return load >= 2 }), nil, StateRolledBack, true},
		{"failing on one route", failing(0.5, onRare), nil, StateRolledBack, true},
		{"slow on one route", slow(6, onRare), nil, StateRolledBack, true},
		{"failing after 2 s", failing(0.5, after(2*time.Second)), nil, StateRolledBack, false},
		{"failing after 4 s", failing(0.5, after(4*time.Second)), nil, StateRolledBack, false},
		{"slow after 4 s", slow(6, after(4*time.Second)), nil, StateRolledBack, false},
		{"service fails as a whole", good, func(at time.Duration) (float64, float64) {
			if at > 3*time.Second && at < 9*time.Second {
				return 0.4, 1
			}
			return 0, 1
		}, StateCompleted, false},
		{"service slows down as a whole", good, func(at time.Duration) (float64, float64) {
			if at > 5*time.Second {
				return 0, 4
			}
			return 0, 1
		}, StateCompleted, false},
	}
	for _, tt := range tests {
		for rate, servers := range map[float64]int{60: 1, 250: 4, 1000: 12, 3000: 30} {
			for _, duration := range []time.Duration{10 * time.Second, 12 * time.Second, 20 * time.Second} {
				for seed := range uint64(seeds) {
					if rate < 100 && tt.partly {
						// The exposure allows only about ten bad answers.
						continue
					}
					s := simulation{rate: rate, duration: duration, servers: servers, targetStart: 700 * time.Millisecond, coldTime: 3 * time.Second, coldRate: 5, old: good, target: tt.target, service: tt.service, seed: seed}
					r := s.run()
					name := fmt.Sprintf("%s, %g/s, %s, seed %d", tt.name, rate, duration, seed)
					if r.state != tt.want {
						t.Errorf("%s: got %q at %s (%s), want %q", name, r.state, r.at, r.reason, tt.want)
					}
					limit := testBounds.ExposureShare*r.total + testBounds.ExposureRequests
					if tt.want == StateRolledBack && r.target > limit {
						t.Errorf("%s: got %.0f of %.0f requests on the bad version, want at most %.0f", name, r.target, r.total, limit)
					}
				}
			}
		}
	}
}

// TestRunsThatWaitForCalls guards against a good version of a service whose runs wait for other
// services that is not completed, as many of its runs are pending.
func TestRunsThatWaitForCalls(t *testing.T) {
	for _, waiting := range []time.Duration{200 * time.Millisecond, time.Second} {
		s := simulation{rate: 400, duration: 12 * time.Second, servers: 6, targetStart: 700 * time.Millisecond, coldTime: 3 * time.Second, coldRate: 5, old: good, target: good, waiting: waiting}
		if r := s.run(); r.state != StateCompleted {
			t.Errorf("runs wait for %s: got %q at %s (%s), want %q", waiting, r.state, r.at, r.reason, StateCompleted)
		}
		s.target = slow(6, always)
		if r := s.run(); r.state != StateRolledBack || r.target > testBounds.ExposureShare*r.total+testBounds.ExposureRequests {
			t.Errorf("runs wait for %s, slow version: got %q and %.0f of %.0f requests on it, want %q within the exposure", waiting, r.state, r.target, r.total, StateRolledBack)
		}
	}
}

// TestPendingRunsKeepTheShare guards against a share that grows while many runs of the target
// version have not ended, as those of a very slow version.
func TestPendingRunsKeepTheShare(t *testing.T) {
	for pending, want := range map[uint64]bool{0: true, 100: false} {
		start := time.Unix(1000, 0)
		p := New(start, Order{Service: "shop", TargetVersion: "v2", Duration: 10 * time.Second}, testBounds)
		grown := false
		for i := range uint64(70) {
			now := start.Add(time.Duration(i) * reportInterval)
			outcomes := func(runs uint64) map[string]RouteOutcomes {
				return map[string]RouteOutcomes{"r": {Requests: runs, TotalTime: time.Duration(runs) * 20 * time.Millisecond}}
			}
			p.Report(now, NodeReport{Node: "a", Version: "v1", Started: 20 * i, Routes: outcomes(20 * i)})
			p.Report(now, NodeReport{Node: "b", Version: "v2", Started: i + pending, Routes: outcomes(i)})
			grown = grown || p.Decide(now).Share >= growthSteps[0].share
		}
		if grown != want {
			t.Errorf("%d pending runs: got grown %t, want %t", pending, grown, want)
		}
	}
}
