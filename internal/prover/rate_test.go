package prover

import (
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/recorder"
)

var (
	smallCustomer = customer{name: "pond-small", key: "key-of-pond-small-1", ratePerSecond: 40, burstRequests: 20}
	largeCustomer = customer{name: "pond-large", key: "key-of-pond-large-1", ratePerSecond: 300, burstRequests: 100}
)

// exceedRates sends requests of two customers through all nodes, far above their
// rates.
func exceedRates(d *deployment) *traffic {
	return startTraffic(12, func(caller, turn int) recorder.Call {
		time.Sleep(2 * time.Millisecond)
		c := call{customer: smallCustomer, service: "slotboard", path: "/slots", timeout: 2 * time.Second}
		if caller%2 == 1 {
			c.customer = largeCustomer
		}
		return d.nodes[(caller/2+turn)%len(d.nodes)].send(c)
	})
}

func countAnswered(calls []recorder.Call, c customer) (count int) {
	for _, call := range calls {
		if call.Customer == c.name && answered(call) {
			count++
		}
	}
	return count
}

func TestRateHoldsAcrossNodesWhileHolderIsKilledAndAnswersAreLost(t *testing.T) {
	d := newStandardDeployment(t, smallCustomer, largeCustomer)
	callers := exceedRates(d)
	d.waitUntil("1000 calls have ended", func() bool { return callers.countEnded() >= 1000 })
	for _, name := range []string{"slotboard-1", "bookdesk-1"} {
		killed := d.nodeByName(name)
		d.network.silenceConnections(killed.ip)
		killed.kill()
		d.recordEvent(recorder.EventFaultStart, name)
		before := callers.countEnded()
		d.waitUntil("1000 more calls have ended", func() bool { return callers.countEnded() >= before+1000 })
		killed.restart()
		killed.waitForAddresses()
		d.recordEvent(recorder.EventFaultEnd, name)
	}
	before := callers.countEnded()
	d.waitUntil("1000 more calls have ended", func() bool { return callers.countEnded() >= before+1000 })
	calls := callers.stopAndWait()
	for _, c := range []customer{smallCustomer, largeCustomer} {
		if countAnswered(calls, c) == 0 {
			t.Errorf("customer %q: got no answer, want some", c.name)
		}
	}
	d.verifyGuarantees()
}

func TestRateHoldsThroughPartitionAndManifestChange(t *testing.T) {
	d := newStandardDeployment(t, smallCustomer, largeCustomer)
	callers := exceedRates(d)
	d.waitUntil("1000 calls have ended", func() bool { return callers.countEnded() >= 1000 })
	a, b := d.nodes[0], d.nodes[1]
	d.network.setPartitioned(a.ip, b.ip, true)
	d.recordEvent(recorder.EventFaultStart, a.settings.Name)
	before := callers.countEnded()
	d.waitUntil("1000 more calls have ended", func() bool { return callers.countEnded() >= before+1000 })
	lower := smallCustomer
	lower.ratePerSecond, lower.burstRequests = 10, 5
	version := d.publish(manifestWith(lower, largeCustomer))
	d.waitInForce(version, d.nodes...)
	d.network.setPartitioned(a.ip, b.ip, false)
	d.recordEvent(recorder.EventFaultEnd, a.settings.Name)
	before = callers.countEnded()
	d.waitUntil("1000 more calls have ended", func() bool { return callers.countEnded() >= before+1000 })
	callers.stopAndWait()
	d.verifyGuarantees()
}
