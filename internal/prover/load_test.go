package prover

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/emulator"
	"github.com/flamingotack/flamingotack/internal/recorder"
)

// withCapacity returns a change that sets a backend server's slots and median
// service time.
func withCapacity(slots int, serviceTime time.Duration) func(*emulator.BackendConfig) {
	return func(c *emulator.BackendConfig) {
		c.Slots = slots
		c.MedianServiceTime = serviceTime
	}
}

// overload sends requests of two priorities, far above the capacity of the
// servers.
func overload(d *deployment, callers int) *traffic {
	return startTraffic(callers, func(caller, turn int) recorder.Call {
		c := call{customer: customerA, service: "slotboard", path: "/slots", body: fmt.Sprint(caller, turn), timeout: time.Second}
		if caller%4 != 0 {
			c.customer, c.path = customerB, "/low/list"
		}
		got := d.nodes[(caller+turn)%len(d.nodes)].send(c)
		if got.RetryAfter > 0 {
			// Callers ignore the advised delay, but wait a short time.
			time.Sleep(10 * time.Millisecond)
		}
		return got
	})
}

// Callers that ignore Retry-After overload the servers, which also become
// slower. Requests of the higher priority must be refused last.
func TestHigherPriorityIsRefusedLastWhileServersSlowDown(t *testing.T) {
	d := newDeployment(t, manifestWith(customerA, customerB))
	servers := []*node{
		d.startNode("slotboard-1", "slotboard", "ahmedabad", withCapacity(6, 20*time.Millisecond)),
		d.startNode("slotboard-2", "slotboard", "rajkot", withCapacity(6, 20*time.Millisecond)),
	}
	d.waitReady()
	callers := overload(d, 40)
	d.waitUntil("1000 calls have ended", func() bool { return callers.countEnded() >= 1000 })
	for _, n := range servers {
		n.backend.SetSlowdown(3)
	}
	before := callers.countEnded()
	d.waitUntil("1000 more calls have ended", func() bool { return callers.countEnded() >= before+1000 })
	for _, n := range servers {
		n.backend.SetSlowdown(1)
	}
	before = callers.countEnded()
	d.waitUntil("1000 more calls have ended", func() bool { return callers.countEnded() >= before+1000 })
	calls := callers.stopAndWait()
	if countAnswered(calls, customerA) == 0 {
		t.Errorf("customer of the higher priority: got no answer, want some")
	}
	d.verifyGuarantees()
}

// Backend servers become cold without notice during an overload.
func TestColdServerGetsNoMoreThanItsCapacity(t *testing.T) {
	d := newDeployment(t, manifestWith(customerA, customerB))
	change := func(c *emulator.BackendConfig) {
		withCapacity(20, 10*time.Millisecond)(c)
		c.ColdSlots = 2
		c.ColdSlowdown = 4
	}
	servers := []*node{
		d.startNode("slotboard-1", "slotboard", "ahmedabad", change),
		d.startNode("slotboard-2", "slotboard", "rajkot", change),
	}
	d.waitReady()
	callers := overload(d, 30)
	for range 2 {
		for _, n := range servers {
			before := callers.countEnded()
			d.waitUntil("500 more calls have ended", func() bool { return callers.countEnded() >= before+500 })
			n.backend.SetCold()
		}
	}
	before := callers.countEnded()
	d.waitUntil("500 more calls have ended", func() bool { return callers.countEnded() >= before+500 })
	callers.stopAndWait()
	d.verifyGuarantees()
}

// The last of three hops of a call chain (caller, bookdesk, slotboard) fails,
// below backend servers that retry their calls to it.
func TestRetriesStayBoundedAcrossChain(t *testing.T) {
	d := newDeployment(t, manifestWith(customerA))
	calls := []emulator.DownstreamCall{{Service: "slotboard", Method: "GET", Path: "/slots"}}
	for i, domain := range []string{"ahmedabad", "rajkot"} {
		d.startNode(fmt.Sprintf("bookdesk-%d", i+1), "bookdesk", domain, func(c *emulator.BackendConfig) {
			c.DownstreamCalls = calls
			c.MaxRetries = 3
		})
		d.startNode(fmt.Sprintf("slotboard-%d", i+1), "slotboard", domain, nil)
	}
	d.waitReady()
	callers := startTraffic(6, func(caller, turn int) recorder.Call {
		c := call{customer: customerA, service: "bookdesk", path: "/book", body: fmt.Sprint(caller, turn), timeout: 2 * time.Second}
		return d.nodes[(caller+turn)%len(d.nodes)].send(c)
	})
	d.waitUntil("100 calls have ended", func() bool { return callers.countEnded() >= 100 })
	for _, name := range []string{"slotboard-1", "slotboard-2"} {
		d.nodeByName(name).backendProxy.addToxic("cut", toxicLimitData, "downstream", toxicAttributes{"bytes": 40})
	}
	before := callers.countEnded()
	d.waitUntil("200 more calls have ended", func() bool { return callers.countEnded() >= before+200 })
	callers.stopAndWait()
	d.verifyGuarantees()
}

// A request crashes each backend server that runs it, and its caller keeps
// sending it through other nodes.
func TestCrashRequestCrashesFewServers(t *testing.T) {
	d := newStandardDeployment(t, customerA, customerB)
	for i := 3; i <= 5; i++ {
		d.startNode(fmt.Sprintf("bookdesk-%d", i), "bookdesk", "ahmedabad", nil)
	}
	d.waitReady()
	others := startTraffic(4, func(caller, turn int) recorder.Call {
		c := call{customer: customerA, service: "bookdesk", path: "/book", body: fmt.Sprint(caller, turn), timeout: 2 * time.Second}
		return d.nodes[(caller+turn)%len(d.nodes)].send(c)
	})
	crash := call{customer: customerB, service: "bookdesk", path: "/book", body: emulator.CrashBodyPrefix + " it", timeout: 2 * time.Second}
	for i := range 40 {
		d.nodes[i%len(d.nodes)].send(crash)
	}
	before := others.countEnded()
	d.waitUntil("requests of other customers are still served", func() bool { return others.countEnded() >= before+200 })
	others.stopAndWait()
	crashes := map[string]bool{}
	for _, e := range d.recorder.History().Executions {
		if e.Outcome == recorder.ExecutionCrashed && e.Customer == customerB.name {
			crashes[fmt.Sprint(e.Server, e.Incarnation)] = true
		}
	}
	if got := len(crashes); got == 0 || got > 4 {
		t.Errorf("backend servers that the request crashed: got %d, want 1 to 4 for 40 attempts", got)
	}
	d.verifyGuarantees()
}
