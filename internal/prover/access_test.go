package prover

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/emulator"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/recorder"
)

var (
	customerA       = customer{name: "pond-a", key: "key-of-pond-a-1234", ratePerSecond: 2000, burstRequests: 2000}
	customerB       = customer{name: "pond-b", key: "key-of-pond-b-1234", ratePerSecond: 2000, burstRequests: 2000}
	unknownCustomer = customer{key: "key-of-a-stranger-1"}
)

func TestRequestThroughRealProcesses(t *testing.T) {
	d := newStandardDeployment(t, customerA)
	if got := d.nodes[2].send(call{customer: customerA, service: "slotboard", path: "/slots"}); !answered(got) {
		t.Errorf("right key: got %+v, want a complete answer", got)
	}
	got := d.nodes[2].send(call{customer: unknownCustomer, service: "slotboard", path: "/slots"})
	if got.Status != http.StatusUnauthorized || got.Ran != exchanger.RanNo {
		t.Errorf("wrong key: got status %d, ran %q, want %d, %q", got.Status, got.Ran, http.StatusUnauthorized, exchanger.RanNo)
	}
	d.verifyGuarantees()
}

func TestRequestRunsOnlyForItsCustomer(t *testing.T) {
	d := newStandardDeployment(t, customerA, customerB)
	customers := []customer{customerA, customerB, unknownCustomer, {}}
	callers := startTraffic(8, func(caller, turn int) recorder.Call {
		service := []string{"slotboard", "bookdesk"}[turn%2]
		path := []string{"/", "/open/board", "/low/list"}[turn%3]
		c := call{customer: customers[caller%4], service: service, path: path, body: fmt.Sprint(caller, turn)}
		return d.nodes[(caller+turn)%len(d.nodes)].send(c)
	})
	d.waitUntil("800 calls have ended", func() bool { return callers.countEnded() >= 800 })
	served := map[string]int{}
	for _, c := range callers.stopAndWait() {
		if answered(c) {
			served[c.Customer]++
		}
	}
	for _, name := range []string{"pond-a", "pond-b", ""} {
		if served[name] == 0 {
			t.Errorf("customer %q: got no answer, want some", name)
		}
	}
	d.verifyGuarantees()
}

// Guards against use of a withdrawn key by callers that stay connected. The log
// is slow, and one node is paused for longer than the maximum age of its state,
// so that it resumes with a state that still contains the key.
func TestWithdrawnKeyIsRefusedWhileLogIsSlowAndNodeIsPaused(t *testing.T) {
	d := newStandardDeployment(t, customerA, customerB)
	paused := d.nodeByName("slotboard-2")
	callers := startTraffic(8, func(caller, turn int) recorder.Call {
		time.Sleep(5 * time.Millisecond)
		return d.nodes[caller%4].send(call{customer: customerA, service: "slotboard", path: "/slots", timeout: time.Second})
	})
	d.waitUntil("200 calls have ended", func() bool { return callers.countEnded() >= 200 })
	paused.pause()
	d.recordEvent(recorder.EventFaultStart, paused.settings.Name)
	d.logService.SetLatency(300 * time.Millisecond)
	d.publish(manifestWith(customer{name: "pond-a", ratePerSecond: 2000, burstRequests: 2000}, customerB))
	withdrawn := time.Now()
	d.recordEvent(recorder.EventKeyWithdrawn, customerA.name)
	wait := defaultMaxStateAge(t) + time.Second
	d.waitUntil("the pause has lasted longer than the maximum state age", func() bool { return time.Since(withdrawn) > wait })
	paused.resume()
	resumed := time.Now()
	d.recordEvent(recorder.EventFaultEnd, paused.settings.Name)
	d.waitUntil("every node refuses the key", func() bool {
		for _, n := range d.nodes {
			if n.send(call{customer: customerA, service: "slotboard", path: "/slots", timeout: time.Second}).Reason != exchanger.ReasonKeyUnknown {
				return false
			}
		}
		return true
	})
	callers.stopAndWait()
	for _, e := range d.recorder.History().Executions {
		if e.Server == paused.settings.Name && e.Customer == customerA.name && e.Start.After(resumed) {
			t.Errorf("server %s ran a request %s after its node was resumed", e.Server, e.Start.Sub(resumed))
		}
	}
	d.verifyGuarantees()
}

// A node that reaches neither the log nor any other node refuses requests, and
// so also requests with a key that is withdrawn in the meantime.
func TestIsolatedNodeRefusesRequests(t *testing.T) {
	d := newStandardDeployment(t, customerA)
	isolated := d.nodeByName("slotboard-1")
	isolated.setIsolated(true)
	d.recordEvent(recorder.EventFaultStart, isolated.settings.Name)
	d.publish(manifestWith(customer{name: "pond-a", ratePerSecond: 2000, burstRequests: 2000}))
	d.recordEvent(recorder.EventKeyWithdrawn, customerA.name)
	slots := call{customer: customerA, service: "slotboard", path: "/slots", timeout: time.Second}
	d.waitUntil("the isolated node refuses requests as stale", func() bool {
		return isolated.send(slots).Reason == exchanger.ReasonStale
	})
	isolated.setIsolated(false)
	d.recordEvent(recorder.EventFaultEnd, isolated.settings.Name)
	d.waitUntil("the reconnected node refuses the withdrawn key", func() bool {
		return isolated.send(slots).Reason == exchanger.ReasonKeyUnknown
	})
	d.verifyGuarantees()
}

// An answer that the caller is still reading when the key is withdrawn is
// aborted.
func TestOpenAnswerOfWithdrawnKeyIsAborted(t *testing.T) {
	d := newDeployment(t, manifestWith(customerA))
	n := d.startNode("slotboard-1", "slotboard", "ahmedabad", func(c *emulator.BackendConfig) {
		c.AnswerBytes = 4 << 20
	})
	d.waitReady()
	n.backendProxy.addToxic("slow", toxicBandwidth, "downstream", toxicAttributes{"rate": 64})
	callers := startTraffic(1, func(int, int) recorder.Call {
		return n.send(call{customer: customerA, service: "slotboard", path: "/slots", timeout: stepTimeout})
	})
	d.waitUntil("the backend server has started the request", func() bool { return len(d.recorder.History().Executions) > 0 })
	d.publish(manifestWith(customer{name: "pond-a", ratePerSecond: 2000, burstRequests: 2000}))
	d.recordEvent(recorder.EventKeyWithdrawn, customerA.name)
	d.waitUntil("the stream has ended", func() bool { return callers.countEnded() > 0 })
	first := callers.stopAndWait()[0]
	if answered(first) {
		t.Errorf("got a complete answer after the withdrawal, want an aborted one")
	}
	d.verifyGuarantees()
}
