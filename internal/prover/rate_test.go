package prover

import (
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/recorder"
)

var (
	small = customer{name: "pond-small", key: "key-of-pond-small-1", rate: 40, burst: 20}
	large = customer{name: "pond-large", key: "key-of-pond-large-1", rate: 300, burst: 100}
)

// hammer sends far more than the rates allow through all nodes.
func hammer(f *fleet) *traffic {
	return begin(12, func(caller, turn int) recorder.Call {
		time.Sleep(2 * time.Millisecond)
		c := call{customer: small, service: "slotboard", path: "/slots", timeout: 2 * time.Second}
		if caller%2 == 1 {
			c.customer = large
		}
		return f.nodes[(caller/2+turn)%len(f.nodes)].send(c)
	})
}

func served(calls []recorder.Call, c customer) (count int) {
	for _, one := range calls {
		if one.Customer == c.name && answered(one) {
			count++
		}
	}
	return count
}

func TestRateHoldsAcrossNodesWhileHolderIsKilledAndAnswersAreLost(t *testing.T) {
	f := standard(t, small, large)
	run := hammer(f)
	f.await("1000 calls have ended", func() bool { return run.count() >= 1000 })
	for _, name := range []string{"slotboard-1", "bookdesk-1"} {
		victim := f.node(name)
		f.network.silence(victim.address)
		victim.kill()
		f.event(recorder.EventFaultStart, name)
		before := run.count()
		f.await("1000 more calls have ended", func() bool { return run.count() >= before+1000 })
		victim.restart()
		victim.meet()
		f.event(recorder.EventFaultEnd, name)
	}
	before := run.count()
	f.await("1000 more calls have ended", func() bool { return run.count() >= before+1000 })
	calls := run.end()
	for _, c := range []customer{small, large} {
		if served(calls, c) == 0 {
			t.Errorf("customer %q: got no answer, want some", c.name)
		}
	}
	f.verify()
}

func TestRateHoldsThroughPartitionAndManifestChange(t *testing.T) {
	f := standard(t, small, large)
	run := hammer(f)
	f.await("1000 calls have ended", func() bool { return run.count() >= 1000 })
	a, b := f.nodes[0], f.nodes[1]
	f.network.set(a.address, b.address, true)
	f.event(recorder.EventFaultStart, a.settings.Name)
	before := run.count()
	f.await("1000 more calls have ended", func() bool { return run.count() >= before+1000 })
	lower := small
	lower.rate, lower.burst = 10, 5
	version := f.publish(manifestOf(lower, large))
	f.inForce(version, f.nodes...)
	f.network.set(a.address, b.address, false)
	f.event(recorder.EventFaultEnd, a.settings.Name)
	before = run.count()
	f.await("1000 more calls have ended", func() bool { return run.count() >= before+1000 })
	run.end()
	f.verify()
}
