package suspecter

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// fleetStep is the time between two steps of a fleet.
	fleetStep = 100 * time.Millisecond
	// fleetDownTime is how long a server is down after a crash.
	fleetDownTime = 3 * time.Second
	// lateRetryAfter is the time after the third crash from which retries count, and
	// maxLateRetries the number of them that the users' rule allows.
	lateRetryAfter = 3 * time.Second
	maxLateRetries = 3
	// maxReturnTime is how long after the last fault harmless requests may be refused.
	maxReturnTime = 15 * time.Second
)

type (
	// fleet is a service whose nodes share their suspects at once.
	fleet struct {
		now   time.Time
		nodes []*fleetNode
		// runs are the attempts that run.
		runs []fleetRun
		// crashedAt holds the times at which each request has crashed a server.
		crashedAt map[int][]time.Time
		// lateRuns counts the runs of each request later than lateRetryAfter after it has
		// crashed the third server.
		lateRuns map[int]int
		// crashing are the requests that crash the servers that begin to run them.
		crashing map[int]bool
		// runTime is how long the other requests run.
		runTime time.Duration
		lastID  uint64
	}

	fleetNode struct {
		name        string
		tracker     *CrashTracker
		incarnation int
		downUntil   time.Time
	}

	fleetRun struct {
		node    *fleetNode
		id      uint64
		request int
		endsAt  time.Time
	}
)

func newFleet(size int, runTime time.Duration) *fleet {
	f := &fleet{now: epoch, crashedAt: map[int][]time.Time{}, lateRuns: map[int]int{}, crashing: map[int]bool{}, runTime: runTime}
	for i := range size {
		f.nodes = append(f.nodes, &fleetNode{name: fmt.Sprint("n", i), tracker: newFleetTracker()})
	}
	return f
}

func newFleetTracker() *CrashTracker {
	return &CrashTracker{CrashesToIsolate: 2, CrashesToRefuse: 3}
}

func (f *fleet) names() (names []string) {
	for _, n := range f.nodes {
		names = append(names, n.name)
	}
	return names
}

func (f *fleet) share(from *fleetNode, changed []Suspect) {
	for _, n := range f.nodes {
		for _, p := range changed {
			if n != from {
				n.tracker.Merge(f.now, p)
			}
		}
	}
}

// send sends a request to a node and reports whether it runs there.
func (f *fleet) send(n *fleetNode, request int) (runs bool) {
	if f.now.Before(n.downUntil) {
		return false
	}
	f.lastID++
	i := newIdentity(request)
	verdict, _ := n.tracker.Start(f.now, f.lastID, i)
	if verdict == VerdictRefuse {
		age, allowed := n.tracker.TrialAge(f.now, NewDigest(i))
		if allowed && IsTurn(f.names(), n.name, NewDigest(i), age) && n.tracker.StartTrial(f.now, f.lastID, i) {
			verdict = VerdictRun
		}
	}
	if verdict != VerdictRun {
		return false
	}
	f.runs = append(f.runs, fleetRun{node: n, id: f.lastID, request: request, endsAt: f.now.Add(f.runTime)})
	if f.crashing[request] {
		f.countCrash(request)
		f.crash(n)
	}
	return true
}

func (f *fleet) countCrash(request int) {
	crashes := f.crashedAt[request]
	if len(crashes) >= 3 && f.now.Sub(crashes[2]) > lateRetryAfter {
		f.lateRuns[request]++
	}
	f.crashedAt[request] = append(crashes, f.now)
}

// crash crashes the server of a node.
func (f *fleet) crash(n *fleetNode) {
	var left []fleetRun
	for _, r := range f.runs {
		if r.node == n {
			n.tracker.RecordLostConnection(f.now, r.id)
		} else {
			left = append(left, r)
		}
	}
	f.runs = left
	f.share(n, n.tracker.RecordCrash(f.now, fmt.Sprint(n.name, "@", n.incarnation)))
	n.incarnation++
	n.downUntil = f.now.Add(fleetDownTime)
	n.tracker.StartIncarnation()
}

// restart starts all nodes anew with the suspects that are stored.
func (f *fleet) restart() {
	f.runs = nil
	for _, n := range f.nodes {
		stored := n.tracker.Isolated(f.now)
		n.tracker = newFleetTracker()
		for _, p := range stored {
			n.tracker.Restore(f.now, p)
		}
	}
}

// advance ends the runs that are due and lets a step pass.
func (f *fleet) advance() {
	f.now = f.now.Add(fleetStep)
	var left []fleetRun
	for _, r := range f.runs {
		if r.endsAt.After(f.now) {
			left = append(left, r)
			continue
		}
		f.share(r.node, r.node.tracker.Finish(f.now, r.id, true))
	}
	f.runs = left
}

// TestRefusedRequests guards, in one table, against harmless requests that stay refused after
// servers crashed together, and against requests that crash servers again and again. Request 0 is
// sent to each node in each step.
func TestRefusedRequests(t *testing.T) {
	joint := func(f *fleet) {
		for _, n := range f.nodes {
			f.crash(n)
		}
	}
	tests := []struct {
		name    string
		size    int
		runTime time.Duration
		// faultAt is when fault happens, turnsAt when the request begins to crash servers.
		faultAt, turnsAt time.Duration
		fault            func(f *fleet)
		// wantCrashes is the most servers that the request may crash in 4 min.
		wantCrashes int
		// wantRefusedTime is how long after the fault the harmless request may be refused.
		wantRefusedTime time.Duration
	}{
		{name: "harmless and answered before, all servers crash", size: 3, runTime: time.Second, faultAt: 5 * time.Second, fault: joint, wantRefusedTime: fleetDownTime + 2*fleetStep},
		{name: "harmless and never answered, all servers crash", size: 3, runTime: 5 * time.Second, faultAt: 2 * time.Second, fault: joint, wantRefusedTime: maxReturnTime},
		{name: "harmless and never answered, many servers crash", size: 45, runTime: 5 * time.Second, faultAt: 2 * time.Second, fault: joint, wantRefusedTime: maxReturnTime},
		{name: "harmless and never answered, all servers crash and all nodes start anew", size: 3, runTime: 5 * time.Second, faultAt: 2 * time.Second, fault: func(f *fleet) {
			joint(f)
			f.restart()
		}, wantRefusedTime: maxReturnTime},
		{name: "harmful", size: 3, runTime: time.Second, turnsAt: -1, faultAt: time.Minute, fault: func(*fleet) {}, wantCrashes: 4},
		{name: "harmful, many servers", size: 45, runTime: time.Second, turnsAt: -1, faultAt: time.Minute, fault: func(*fleet) {}, wantCrashes: 4},
		{name: "harmful, all nodes start anew", size: 3, runTime: time.Second, turnsAt: -1, faultAt: 20 * time.Second, fault: (*fleet).restart, wantCrashes: 4},
		{name: "harmful only after answers", size: 3, runTime: time.Second, turnsAt: 5 * time.Second, faultAt: time.Minute, fault: func(*fleet) {}, wantCrashes: 7},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(tt.size, tt.runTime)
			var refusedAt time.Time
			for at := time.Duration(0); at < 4*time.Minute; at += fleetStep {
				if tt.turnsAt != 0 && at >= tt.turnsAt {
					f.crashing[0] = true
				}
				if at == tt.faultAt {
					tt.fault(f)
				}
				for _, n := range f.nodes {
					if !f.send(n, 0) && at > tt.faultAt {
						refusedAt = f.now
					}
				}
				f.advance()
			}
			t.Logf("%d crashes, %d late retries, refused until %s after the fault", len(f.crashedAt[0]), f.lateRuns[0], refusedAt.Sub(epoch.Add(tt.faultAt)))
			if got := len(f.crashedAt[0]); got > tt.wantCrashes {
				t.Errorf("got %d crashes, want at most %d", got, tt.wantCrashes)
			}
			if got := f.lateRuns[0]; got > maxLateRetries {
				t.Errorf("got %d late retries, want at most %d", got, maxLateRetries)
			}
			if tt.wantRefusedTime == 0 {
				return
			}
			if got := refusedAt.Sub(epoch.Add(tt.faultAt)); got > tt.wantRefusedTime {
				t.Errorf("got the harmless request refused for %s, want at most %s", got, tt.wantRefusedTime)
			}
		})
	}
}

// TestRefusedRequestsInAnyOrder draws crashes, restarts of all nodes and requests, harmful ones
// among them, and checks both sides as TestRefusedRequests does.
func TestRefusedRequestsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 5).Draw(t, "size"), time.Duration(rapid.IntRange(1, 30).Draw(t, "run time"))*fleetStep)
		f.crashing[0] = true
		restarts := 0
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")]
			switch rapid.IntRange(0, 30).Draw(t, "event") {
			case 0:
				f.crash(n)
			case 1:
				for _, n := range f.nodes {
					f.crash(n)
				}
			case 2:
				if restarts++; restarts <= 2 {
					f.restart()
				}
			case 3, 4, 5:
				f.send(n, 0)
			default:
				f.send(n, rapid.IntRange(1, 4).Draw(t, "request"))
			}
			for range rapid.SampledFrom([]int{0, 1, 1, 10}).Draw(t, "time") {
				f.advance()
			}
		}
		if got := f.lateRuns[0]; got > maxLateRetries {
			t.Fatalf("got %d late retries, want at most %d", got, maxLateRetries)
		}
	})
}
