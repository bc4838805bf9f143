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

// Faults that come together. The pairs "key withdrawn while the log is slow
// and a node is paused", "holder killed while answers are lost" and "operators
// race while appends lose their answers" stand with their promises.

// A failure domain comes back with cold servers, in the middle of a surge.
func TestFailureDomainReturnsColdDuringSurge(t *testing.T) {
	f := newFleet(t, manifestOf(pondA, pondB))
	change := func(c *emulator.BackendConfig) {
		weak(20, 10*time.Millisecond)(c)
		c.ColdSlots = 2
	}
	f.add("slotboard-1", "slotboard", "ahmedabad", change)
	back := f.add("slotboard-2", "slotboard", "rajkot", change)
	f.ready()
	run := flood(f, 30)
	f.await("500 calls have ended", func() bool { return run.count() >= 500 })
	f.setOut(folder.KindDomain, "rajkot", true)
	there := func(e recorder.Execution) bool { return e.Domain == "rajkot" }
	f.await("nothing was started there for 4 s", func() bool { return f.sinceRun(there) > 4*time.Second })
	back.backend.SetCold()
	f.setOut(folder.KindDomain, "rajkot", false)
	f.await("calls are served there again", func() bool { return f.sinceRun(there) < time.Second })
	before := run.count()
	f.await("1000 more calls have ended", func() bool { return run.count() >= before+1000 })
	run.end()
	f.verify()
}

// A node is stopped while it is cut from one of the others.
func TestPlannedStopDuringPartition(t *testing.T) {
	f := standard(t, pondA)
	stopped, other := f.nodes[0], f.nodes[3]
	run := begin(6, func(caller, turn int) recorder.Call {
		c := call{customer: pondA, service: []string{"slotboard", "bookdesk"}[turn%2], path: "/", body: fmt.Sprint(caller, turn), timeout: 2 * time.Second}
		return f.choose(caller + turn).send(c)
	})
	f.await("200 calls have ended", func() bool { return run.count() >= 200 })
	f.network.set(stopped.address, other.address, true)
	f.event(recorder.OperationFault, "partition")
	before := run.count()
	f.await("100 more calls have ended", func() bool { return run.count() >= before+100 })
	if got := stopped.stop(); got != 0 {
		t.Errorf("exit code: got %d, want 0", got)
	}
	f.network.set(stopped.address, other.address, false)
	f.event(recorder.OperationFaultEnd, "partition")
	run.end()
	f.verify()
}

// A request crashes its backend servers while nodes can't reach the log.
func TestCrashRequestDuringLogOutage(t *testing.T) {
	f := standard(t, pondA, pondB)
	f.log.SetOutage(emulator.OutageRefuse)
	crash := call{customer: pondB, service: "bookdesk", path: "/book", body: emulator.CrashBodyPrefix + " it", timeout: 2 * time.Second}
	f.await("the request is refused as one that crashes", func() bool {
		for _, n := range f.nodes {
			if n.send(crash).Reason != exchanger.ReasonCrashRequest {
				return false
			}
		}
		return true
	})
	f.await("others are served", func() bool {
		return answered(f.nodes[0].send(call{customer: pondA, service: "bookdesk", path: "/book", timeout: 2 * time.Second}))
	})
	f.log.SetOutage(emulator.OutageNone)
	f.verify()
}

// A node is killed while bookings are resent and the log's answers are lost;
// its replacement joins at the same addresses.
func TestNodeReplacedWhileAppendsLoseTheirAnswers(t *testing.T) {
	f := standard(t, pondA)
	run := begin(4, f.book)
	f.await("50 bookings have ended", func() bool { return run.count() >= 50 })
	victim := f.node("bookdesk-2")
	f.log.LoseAppendResponses(4)
	victim.kill()
	f.event(recorder.OperationFault, victim.settings.Name)
	victim.restart()
	victim.meet()
	f.event(recorder.OperationFaultEnd, victim.settings.Name)
	f.ready()
	before := run.count()
	f.await("50 more bookings have ended", func() bool { return run.count() >= before+50 })
	run.end()
	f.verify()
}

// Two nodes are paused together, return, and find one of them evicted or not;
// a partition follows at once. Every promise holds all the while.
func TestPausesAndPartitionTogether(t *testing.T) {
	f := standard(t, pondA, small)
	run := begin(6, func(caller, turn int) recorder.Call {
		time.Sleep(2 * time.Millisecond)
		c := call{customer: small, service: "slotboard", path: "/slots", timeout: time.Second}
		if caller%2 == 0 {
			c = call{customer: pondA, service: "bookdesk", path: "/book", body: fmt.Sprint(caller, turn), timeout: time.Second}
		}
		return f.nodes[(caller+turn)%len(f.nodes)].send(c)
	})
	f.await("200 calls have ended", func() bool { return run.count() >= 200 })
	f.event(recorder.OperationFault, "pauses")
	paused := []*node{f.nodes[1], f.nodes[3]}
	for _, n := range paused {
		n.pause()
	}
	begun := time.Now()
	f.await("the pause has lasted 6 s", func() bool { return time.Since(begun) > 6*time.Second })
	f.network.set(f.nodes[0].address, f.nodes[2].address, true)
	for _, n := range paused {
		n.resume()
	}
	before := run.count()
	f.await("200 more calls have ended", func() bool { return run.count() >= before+200 })
	f.network.set(f.nodes[0].address, f.nodes[2].address, false)
	f.event(recorder.OperationFaultEnd, "pauses")
	f.await("every node serves", func() bool {
		for _, n := range f.nodes {
			if !answered(n.send(call{customer: pondA, service: "bookdesk", path: "/book", timeout: time.Second})) {
				return false
			}
		}
		return true
	})
	run.end()
	f.verify()
}
