package prover

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/emulator"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/recorder"
)

// This file tests combinations of faults. These are with the tests of their
// guarantees: "key withdrawn while the log is slow and a node is paused",
// "holder killed while answers are lost" and "concurrent operators while append
// answers are lost".

// A failure domain returns to service with cold servers during an overload.
func TestFailureDomainReturnsColdDuringSurge(t *testing.T) {
	d := newDeployment(t, manifestWith(customerA, customerB))
	change := func(c *emulator.BackendConfig) {
		withCapacity(20, 10*time.Millisecond)(c)
		c.ColdSlots = 2
	}
	d.startNode("slotboard-1", "slotboard", "ahmedabad", change)
	returning := d.startNode("slotboard-2", "slotboard", "rajkot", change)
	d.waitReady()
	callers := overload(d, 30)
	d.waitUntil("500 calls have ended", func() bool { return callers.countEnded() >= 500 })
	d.setOutOfService(folder.KindDomain, "rajkot", true)
	inDomain := func(e recorder.Execution) bool { return e.Domain == "rajkot" }
	d.waitUntil("no request has started there for 4 s", func() bool { return d.sinceLastExecution(inDomain) > 4*time.Second })
	returning.backend.SetCold()
	d.setOutOfService(folder.KindDomain, "rajkot", false)
	d.waitUntil("requests run there again", func() bool { return d.sinceLastExecution(inDomain) < time.Second })
	before := callers.countEnded()
	d.waitUntil("1000 more calls have ended", func() bool { return callers.countEnded() >= before+1000 })
	callers.stopAndWait()
	d.verifyGuarantees()
}

// A node is stopped while a partition separates it from another node.
func TestPlannedStopDuringPartition(t *testing.T) {
	d := newStandardDeployment(t, customerA)
	stopped, other := d.nodes[0], d.nodes[3]
	callers := startTraffic(6, func(caller, turn int) recorder.Call {
		c := call{customer: customerA, service: []string{"slotboard", "bookdesk"}[turn%2], path: "/", body: fmt.Sprint(caller, turn), timeout: 2 * time.Second}
		return d.chooseNode(caller + turn).send(c)
	})
	d.waitUntil("200 calls have ended", func() bool { return callers.countEnded() >= 200 })
	d.network.setPartitioned(stopped.ip, other.ip, true)
	d.recordEvent(recorder.EventFaultStart, "partition")
	before := callers.countEnded()
	d.waitUntil("100 more calls have ended", func() bool { return callers.countEnded() >= before+100 })
	if got := stopped.stopGracefully(); got != 0 {
		t.Errorf("exit code: got %d, want 0", got)
	}
	d.network.setPartitioned(stopped.ip, other.ip, false)
	d.recordEvent(recorder.EventFaultEnd, "partition")
	callers.stopAndWait()
	d.verifyGuarantees()
}

// A request crashes its backend servers while the nodes can't reach the log.
func TestCrashRequestDuringLogOutage(t *testing.T) {
	d := newStandardDeployment(t, customerA, customerB)
	d.logService.SetOutage(emulator.OutageRefuse)
	crash := call{customer: customerB, service: "bookdesk", path: "/book", body: emulator.CrashBodyPrefix + " it", timeout: 2 * time.Second}
	d.waitUntil("the request is refused as a crash request", func() bool {
		for _, n := range d.nodes {
			if n.send(crash).Reason != exchanger.ReasonCrashRequest {
				return false
			}
		}
		return true
	})
	d.waitUntil("requests of other customers are served", func() bool {
		return answered(d.nodes[0].send(call{customer: customerA, service: "bookdesk", path: "/book", timeout: 2 * time.Second}))
	})
	d.logService.SetOutage(emulator.OutageNone)
	d.verifyGuarantees()
}

// A node is killed while bookings are retried and the log's answers to appends
// are lost. Its replacement joins with the same addresses.
func TestNodeIsReplacedWhileAppendAnswersAreLost(t *testing.T) {
	d := newStandardDeployment(t, customerA)
	callers := startTraffic(4, d.sendBooking)
	d.waitUntil("50 bookings have ended", func() bool { return callers.countEnded() >= 50 })
	replaced := d.nodeByName("bookdesk-2")
	d.logService.LoseAppendResponses(4)
	replaced.kill()
	d.recordEvent(recorder.EventFaultStart, replaced.settings.Name)
	replaced.restart()
	replaced.waitForAddresses()
	d.recordEvent(recorder.EventFaultEnd, replaced.settings.Name)
	d.waitReady()
	before := callers.countEnded()
	d.waitUntil("50 more bookings have ended", func() bool { return callers.countEnded() >= before+50 })
	callers.stopAndWait()
	d.verifyGuarantees()
}

// Two nodes are paused together and resume, evicted or not. A partition begins
// just before they resume. Every guarantee holds throughout.
func TestPausedNodesAndPartition(t *testing.T) {
	d := newStandardDeployment(t, customerA, smallCustomer)
	callers := startTraffic(6, func(caller, turn int) recorder.Call {
		time.Sleep(2 * time.Millisecond)
		c := call{customer: smallCustomer, service: "slotboard", path: "/slots", timeout: time.Second}
		if caller%2 == 0 {
			c = call{customer: customerA, service: "bookdesk", path: "/book", body: fmt.Sprint(caller, turn), timeout: time.Second}
		}
		return d.nodes[(caller+turn)%len(d.nodes)].send(c)
	})
	d.waitUntil("200 calls have ended", func() bool { return callers.countEnded() >= 200 })
	d.recordEvent(recorder.EventFaultStart, "pauses")
	paused := []*node{d.nodes[1], d.nodes[3]}
	for _, n := range paused {
		n.pause()
	}
	pauseStart := time.Now()
	d.waitUntil("the pause has lasted 6 s", func() bool { return time.Since(pauseStart) > 6*time.Second })
	d.network.setPartitioned(d.nodes[0].ip, d.nodes[2].ip, true)
	for _, n := range paused {
		n.resume()
	}
	before := callers.countEnded()
	d.waitUntil("200 more calls have ended", func() bool { return callers.countEnded() >= before+200 })
	d.network.setPartitioned(d.nodes[0].ip, d.nodes[2].ip, false)
	d.recordEvent(recorder.EventFaultEnd, "pauses")
	d.waitUntil("every node serves requests", func() bool {
		for _, n := range d.nodes {
			if !answered(n.send(call{customer: customerA, service: "bookdesk", path: "/book", timeout: time.Second})) {
				return false
			}
		}
		return true
	})
	callers.stopAndWait()
	d.verifyGuarantees()
}
