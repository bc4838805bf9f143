package prover

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/emulator"
	"github.com/flamingotack/flamingotack/internal/recorder"
)

// weak returns a change that makes a backend server bear few requests.
func weak(slots int, work time.Duration) func(*emulator.BackendConfig) {
	return func(c *emulator.BackendConfig) {
		c.Slots = slots
		c.Time = work
	}
}

// flood sends requests of two priorities, far more than the servers bear.
func flood(f *fleet, callers int) *traffic {
	return begin(callers, func(caller, turn int) recorder.Call {
		c := call{customer: pondA, service: "slotboard", path: "/slots", body: fmt.Sprint(caller, turn), timeout: time.Second}
		if caller%4 != 0 {
			c.customer, c.path = pondB, "/low/list"
		}
		got := f.nodes[(caller+turn)%len(f.nodes)].send(c)
		if got.RetryAfter > 0 {
			// Even a caller that retries hard takes a moment.
			time.Sleep(10 * time.Millisecond)
		}
		return got
	})
}

// Surging callers that ignore all advice, while the servers slow down.
func TestHighPriorityIsRefusedLastWhileServersSlowDown(t *testing.T) {
	f := newFleet(t, manifestOf(pondA, pondB))
	servers := []*node{
		f.add("slotboard-1", "slotboard", "ahmedabad", weak(6, 20*time.Millisecond)),
		f.add("slotboard-2", "slotboard", "rajkot", weak(6, 20*time.Millisecond)),
	}
	f.ready()
	run := flood(f, 40)
	f.await("1000 calls have ended", func() bool { return run.count() >= 1000 })
	for _, n := range servers {
		n.backend.SetSlow(3)
	}
	before := run.count()
	f.await("1000 more calls have ended", func() bool { return run.count() >= before+1000 })
	for _, n := range servers {
		n.backend.SetSlow(1)
	}
	before = run.count()
	f.await("1000 more calls have ended", func() bool { return run.count() >= before+1000 })
	calls := run.end()
	if served(calls, pondA) == 0 {
		t.Errorf("important customer: got no answer, want some")
	}
	f.verify()
}

// Backend servers turn cold without a word, in the middle of a surge.
func TestColdServerGetsNoMoreThanItsCapacity(t *testing.T) {
	f := newFleet(t, manifestOf(pondA, pondB))
	change := func(c *emulator.BackendConfig) {
		weak(20, 10*time.Millisecond)(c)
		c.ColdSlots = 2
		c.ColdFactor = 4
	}
	servers := []*node{
		f.add("slotboard-1", "slotboard", "ahmedabad", change),
		f.add("slotboard-2", "slotboard", "rajkot", change),
	}
	f.ready()
	run := flood(f, 30)
	for range 2 {
		for _, n := range servers {
			before := run.count()
			f.await("500 more calls have ended", func() bool { return run.count() >= before+500 })
			n.backend.TurnCold()
		}
	}
	before := run.count()
	f.await("500 more calls have ended", func() bool { return run.count() >= before+500 })
	run.end()
	f.verify()
}

// A chain three services deep whose last one fails, below callers and servers
// that retry.
func TestRetriesStayBoundedAcrossChain(t *testing.T) {
	f := newFleet(t, manifestOf(pondA))
	calls := []emulator.Downstream{{Service: "slotboard", Method: "GET", Path: "/slots"}}
	for i, domain := range []string{"ahmedabad", "rajkot"} {
		f.add(fmt.Sprintf("bookdesk-%d", i+1), "bookdesk", domain, func(c *emulator.BackendConfig) {
			c.Calls = calls
			c.Retries = 3
		})
		f.add(fmt.Sprintf("slotboard-%d", i+1), "slotboard", domain, nil)
	}
	f.ready()
	run := begin(6, func(caller, turn int) recorder.Call {
		c := call{customer: pondA, service: "bookdesk", path: "/book", body: fmt.Sprint(caller, turn), timeout: 2 * time.Second}
		return f.nodes[(caller+turn)%len(f.nodes)].send(c)
	})
	f.await("100 calls have ended", func() bool { return run.count() >= 100 })
	for _, name := range []string{"slotboard-1", "slotboard-2"} {
		f.node(name).toBackend.add("cut", toxicLimit, "downstream", attributes{"bytes": 40})
	}
	before := run.count()
	f.await("200 more calls have ended", func() bool { return run.count() >= before+200 })
	run.end()
	f.verify()
}

// A request crashes each backend server that runs it, and its caller sends it
// again and again through other nodes.
func TestCrashRequestCrashesFewServers(t *testing.T) {
	f := standard(t, pondA, pondB)
	for i := 3; i <= 5; i++ {
		f.add(fmt.Sprintf("bookdesk-%d", i), "bookdesk", "ahmedabad", nil)
	}
	f.ready()
	innocent := begin(4, func(caller, turn int) recorder.Call {
		c := call{customer: pondA, service: "bookdesk", path: "/book", body: fmt.Sprint(caller, turn), timeout: 2 * time.Second}
		return f.nodes[(caller+turn)%len(f.nodes)].send(c)
	})
	crash := call{customer: pondB, service: "bookdesk", path: "/book", body: emulator.CrashBody + " it", timeout: 2 * time.Second}
	for i := range 40 {
		f.nodes[i%len(f.nodes)].send(crash)
	}
	before := innocent.count()
	f.await("others are served on", func() bool { return innocent.count() >= before+200 })
	innocent.end()
	crashes := map[string]bool{}
	for _, e := range f.recorder.History().Executions {
		if e.Outcome == recorder.ExecutionCrashed && e.Customer == pondB.name {
			crashes[fmt.Sprint(e.Server, e.Incarnation)] = true
		}
	}
	if got := len(crashes); got == 0 || got > 4 {
		t.Errorf("backend servers that the request crashed: got %d, want 1 to 4 in 40 sends", got)
	}
	f.verify()
}
