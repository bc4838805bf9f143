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
	pondA    = customer{name: "pond-a", key: "key-of-pond-a-1234", rate: 2000, burst: 2000}
	pondB    = customer{name: "pond-b", key: "key-of-pond-b-1234", rate: 2000, burst: 2000}
	stranger = customer{key: "key-of-a-stranger-1"}
)

func TestRequestThroughRealProcesses(t *testing.T) {
	f := standard(t, pondA)
	if got := f.nodes[2].send(call{customer: pondA, service: "slotboard", path: "/slots"}); !answered(got) {
		t.Errorf("right key: got %+v, want a whole answer", got)
	}
	got := f.nodes[2].send(call{customer: stranger, service: "slotboard", path: "/slots"})
	if got.Status != http.StatusUnauthorized || got.Ran != exchanger.RanNo {
		t.Errorf("wrong key: got status %d, ran %q, want %d, %q", got.Status, got.Ran, http.StatusUnauthorized, exchanger.RanNo)
	}
	f.verify()
}

func TestRequestRunsOnlyForItsCustomer(t *testing.T) {
	f := standard(t, pondA, pondB)
	callers := []customer{pondA, pondB, stranger, {}}
	run := begin(8, func(caller, turn int) recorder.Call {
		service := []string{"slotboard", "bookdesk"}[turn%2]
		path := []string{"/", "/open/board", "/low/list"}[turn%3]
		c := call{customer: callers[caller%4], service: service, path: path, body: fmt.Sprint(caller, turn)}
		return f.nodes[(caller+turn)%len(f.nodes)].send(c)
	})
	f.await("800 calls have ended", func() bool { return run.count() >= 800 })
	served := map[string]int{}
	for _, c := range run.end() {
		if answered(c) {
			served[c.Customer]++
		}
	}
	for _, name := range []string{"pond-a", "pond-b", ""} {
		if served[name] == 0 {
			t.Errorf("customer %q: got no answer, want some", name)
		}
	}
	f.verify()
}

// A key is withdrawn from callers that stay connected, while the log is slow
// and one node is paused for longer than it may trust its state.
func TestWithdrawnKeyIsRefusedWhileLogIsSlowAndNodeIsPaused(t *testing.T) {
	f := standard(t, pondA, pondB)
	paused := f.node("slotboard-2")
	run := begin(8, func(caller, turn int) recorder.Call {
		time.Sleep(5 * time.Millisecond)
		return f.nodes[caller%4].send(call{customer: pondA, service: "slotboard", path: "/slots", timeout: time.Second})
	})
	f.await("200 calls have ended", func() bool { return run.count() >= 200 })
	paused.pause()
	f.event(recorder.EventFaultStart, paused.settings.Name)
	f.log.SetLatency(300 * time.Millisecond)
	f.publish(manifestOf(customer{name: "pond-a", rate: 2000, burst: 2000}, pondB))
	withdrawn := time.Now()
	f.event(recorder.EventKeyWithdrawn, pondA.name)
	wait := parseFreshness(t) + time.Second
	f.await("the pause outlasts the freshness", func() bool { return time.Since(withdrawn) > wait })
	paused.resume()
	resumed := time.Now()
	f.event(recorder.EventFaultEnd, paused.settings.Name)
	f.await("every node refuses the key", func() bool {
		for _, n := range f.nodes {
			if n.send(call{customer: pondA, service: "slotboard", path: "/slots", timeout: time.Second}).Reason != exchanger.ReasonKeyUnknown {
				return false
			}
		}
		return true
	})
	run.end()
	for _, e := range f.recorder.History().Executions {
		if e.Server == paused.settings.Name && e.Customer == pondA.name && e.Start.After(resumed) {
			t.Errorf("server %s ran a request %s after its node was resumed", e.Server, e.Start.Sub(resumed))
		}
	}
	f.verify()
}

// A node that reaches neither the log nor any other node stops itself, and so
// a key withdrawn meanwhile stops there too.
func TestIsolatedNodeRefusesRequests(t *testing.T) {
	f := standard(t, pondA)
	alone := f.node("slotboard-1")
	alone.isolate(true)
	f.event(recorder.EventFaultStart, alone.settings.Name)
	f.publish(manifestOf(customer{name: "pond-a", rate: 2000, burst: 2000}))
	f.event(recorder.EventKeyWithdrawn, pondA.name)
	slots := call{customer: pondA, service: "slotboard", path: "/slots", timeout: time.Second}
	f.await("the isolated node refuses as stale", func() bool {
		return alone.send(slots).Reason == exchanger.ReasonStale
	})
	alone.isolate(false)
	f.event(recorder.EventFaultEnd, alone.settings.Name)
	f.await("the node is back and knows the withdrawal", func() bool {
		return alone.send(slots).Reason == exchanger.ReasonKeyUnknown
	})
	f.verify()
}

// An answer that is still being read when its key is withdrawn is cut.
func TestOpenAnswerOfWithdrawnKeyIsAborted(t *testing.T) {
	f := newFleet(t, manifestOf(pondA))
	n := f.add("slotboard-1", "slotboard", "ahmedabad", func(c *emulator.BackendConfig) {
		c.Answer = 4 << 20
	})
	f.ready()
	n.toBackend.add("slow", toxicSlow, "downstream", attributes{"rate": 64})
	run := begin(1, func(int, int) recorder.Call {
		return n.send(call{customer: pondA, service: "slotboard", path: "/slots", timeout: stepTimeout})
	})
	f.await("the backend server answers", func() bool { return len(f.recorder.History().Executions) > 0 })
	f.publish(manifestOf(customer{name: "pond-a", rate: 2000, burst: 2000}))
	f.event(recorder.EventKeyWithdrawn, pondA.name)
	f.await("the stream has ended", func() bool { return run.count() > 0 })
	first := run.end()[0]
	if answered(first) {
		t.Errorf("got a whole answer after the withdrawal, want a cut one")
	}
	f.verify()
}
