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

// sinceLastExecution returns the time since the start of the last execution that
// matches.
func (d *deployment) sinceLastExecution(matches func(recorder.Execution) bool) time.Duration {
	var last time.Time
	for _, e := range d.recorder.History().Executions {
		if matches(e) && e.Start.After(last) {
			last = e.Start
		}
	}
	return time.Since(last)
}

func TestOutOfServiceGetsNoNewRequests(t *testing.T) {
	tests := []struct {
		name    string
		kind    folder.Kind
		target  string
		matches func(recorder.Execution) bool
	}{
		{"failure domain", folder.KindDomain, "rajkot", func(e recorder.Execution) bool { return e.Domain == "rajkot" }},
		{"backend server", folder.KindServer, "slotboard-1", func(e recorder.Execution) bool { return e.Server == "slotboard-1" }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newStandardDeployment(t, customerA)
			callers := startSlotCalls(d, 6)
			d.waitUntil("requests run there", func() bool { return d.sinceLastExecution(tt.matches) < time.Second })
			d.setOutOfService(tt.kind, tt.target, true)
			d.waitUntil("no request has started there for 4 s", func() bool { return d.sinceLastExecution(tt.matches) > 4*time.Second })
			d.setOutOfService(tt.kind, tt.target, false)
			d.waitUntil("requests run there again", func() bool { return d.sinceLastExecution(tt.matches) < time.Second })
			for _, c := range callers.stopAndWait() {
				if !answered(c) {
					t.Errorf("got outcome %s, reason %q, want every call answered", c.Outcome, c.Reason)
				}
			}
			d.verifyGuarantees()
		})
	}
}

func TestDrainingServerGetsNoNewRequests(t *testing.T) {
	d := newStandardDeployment(t, customerA)
	callers := startSlotCalls(d, 6)
	draining := d.nodeByName("slotboard-1")
	d.waitUntil("requests run there", func() bool {
		return d.sinceLastExecution(func(e recorder.Execution) bool { return e.Server == "slotboard-1" }) < time.Second
	})
	draining.backend.Drain()
	d.waitUntil("no request has started there for 4 s", func() bool {
		return d.sinceLastExecution(func(e recorder.Execution) bool { return e.Server == "slotboard-1" }) > 4*time.Second
	})
	callers.stopAndWait()
	d.verifyGuarantees()
}

// Every node is stopped and replaced under load, one after the other. Callers
// avoid a node that closes its connections after answers. Unreachable is allowed
// because no node can save a connection that is set up at the moment in which it
// closes its socket.
func TestPlannedStopsLoseNoRequest(t *testing.T) {
	d := newDeployment(t, manifestWith(customerA))
	for i, service := range []string{"slotboard", "slotboard", "bookdesk", "bookdesk"} {
		domain := []string{"ahmedabad", "rajkot"}[i%2]
		d.startNode(fmt.Sprintf("%s-%d", service, i%2+1), service, domain, func(c *emulator.BackendConfig) {
			c.MedianServiceTime = 30 * time.Millisecond
		})
	}
	d.waitReady()
	callers := startTraffic(8, func(caller, turn int) recorder.Call {
		c := call{customer: customerA, service: []string{"slotboard", "bookdesk"}[turn%2], path: "/", body: fmt.Sprint(caller, turn)}
		return d.chooseNode(caller + turn).send(c)
	})
	for _, n := range d.nodes {
		before := callers.countEnded()
		d.waitUntil("100 more calls have ended", func() bool { return callers.countEnded() >= before+100 })
		if got := n.stopGracefully(); got != 0 {
			t.Errorf("exit code of %s: got %d, want 0", n.settings.Name, got)
		}
		n.restart()
		n.waitForAddresses()
		d.waitReady()
		d.client.Transport.(closeTracker).addresses.Clear()
	}
	for _, c := range callers.stopAndWait() {
		refused := c.Outcome == recorder.CallRefused && c.Ran == exchanger.RanNo
		if !answered(c) && !refused && c.Outcome != recorder.CallUnreachable {
			t.Errorf("call through %s: got outcome %s, status %d, ran %q, reason %q, want answered or not run",
				c.Node, c.Outcome, c.Status, c.Ran, c.Reason)
		}
	}
	d.verifyGuarantees()
}
