package releaser

import (
	"context"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/flamingotack/flamingotack/internal/seeder"
)

func TestMain(m *testing.M) {
	seeder.Run(m)
}

// clusterFault is a failure that lasts for a time.
type clusterFault struct {
	kind, node  string
	begin, last time.Duration
}

// TestRandomFaults guards against failures that raise the exposure, let a bad version be completed,
// open a version again after the verdict, or let several verdicts be stored: nodes are paused and
// cut off, and the store is away, at random times.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCluster(t)
		c.random.Uint64()
		bad := rapid.Bool().Draw(rt, "bad")
		if bad {
			c.badAlternately("v2")
		}
		var faults []clusterFault
		for range rapid.IntRange(1, 5).Draw(rt, "faults") {
			faults = append(faults, clusterFault{
				kind:  rapid.SampledFrom([]string{"pause", "cut", "store"}).Draw(rt, "kind"),
				node:  rapid.SampledFrom([]string{"d0", "d1", "d2", "v2-a", "caller"}).Draw(rt, "node"),
				begin: time.Duration(rapid.IntRange(0, 110).Draw(rt, "begin")) * tickInterval,
				last:  time.Duration(rapid.IntRange(1, 40).Draw(rt, "last")) * tickInterval,
			})
		}
		c.order("v2", testDuration)
		c.startTarget("v2")
		for at := time.Duration(0); at < 20*time.Second; at += tickInterval {
			c.apply(faults, at)
			c.runUntil(at + tickInterval)
		}
		written := strings.Join(c.store.written, ", ")
		switch {
		case bad && strings.Contains(written, "completed"):
			rt.Errorf("got statuses %s of a bad version, want it to be rolled back", written)
		case written != "running v2, completed v2" && written != "running v2, rolled_back v2" && written != "rolled_back v2":
			rt.Errorf("got statuses %s, want one verdict", written)
		}
		if got, most := c.runs["v2"], 50+c.calls["all"]/10; bad && got > most {
			rt.Errorf("got %d runs on the bad version, want at most %d", got, most)
		}
		for name, n := range c.nodes {
			completed := strings.Contains(written, "completed")
			if plan := n.Plan("shop"); plan.Completed != completed || plan.RolledBack == completed {
				rt.Errorf("node %s: got completed %t and rolled back %t, want the verdict of %s", name, plan.Completed, plan.RolledBack, written)
			}
		}
	})
}

// apply begins and ends the faults at a time since the order.
func (c *cluster) apply(faults []clusterFault, at time.Duration) {
	cut, paused, away := map[string]bool{}, map[string]bool{}, false
	for _, f := range faults {
		if at < f.begin || at >= f.begin+f.last {
			continue
		}
		switch f.kind {
		case "pause":
			paused[f.node] = true
		case "cut":
			cut[f.node] = true
		case "store":
			away = true
		}
	}
	c.store.away = away
	c.cut = func(a, b string) bool { return a != b && (cut[a] || cut[b]) }
	for _, name := range slices.Sorted(maps.Keys(c.nodes)) {
		n := c.nodes[name]
		switch {
		case n.paused && !paused[name]:
			n.resume()
			n.Tick(context.Background())
			n.statusCalls.Wait()
		case paused[name]:
			n.paused = true
		}
	}
}
