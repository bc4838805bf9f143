package releaser

import (
	"context"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/director"
)

// restoreStatus restores the store from a copy without a status.
func (c *cluster) restoreStatus() {
	c.store = clusterStore{}
	for _, n := range c.nodes {
		if _, err := n.RewriteStatuses(context.Background()); err != nil {
			c.t.Errorf("got %v, want no error", err)
		}
	}
}

// TestStatusIsWrittenAgain guards against a status that is missing after a restore of the store, or
// that several nodes write again.
func TestStatusIsWrittenAgain(t *testing.T) {
	c := newCluster(t)
	c.order("v2", testDuration)
	c.startTarget("v2")
	c.runUntil(3 * time.Second)
	c.restoreStatus()
	c.checkWritten("running v2")
	c.runUntil(testDuration)
	c.checkWritten("running v2", "completed v2")
	c.restoreStatus()
	c.checkWritten("completed v2")
	c.runUntil(testDuration + 3*time.Second)
	c.checkWritten("completed v2")
	c.checkRefused(0)
}

// TestOrderKeepsItsBudgetOverARestore guards against a bad version that gets the exposure again
// after its order was written again, and against nodes that ignore each other because they know
// the order from different eras.
func TestOrderKeepsItsBudgetOverARestore(t *testing.T) {
	order := director.Rollout{Revision: 5, Service: "shop", TargetVersion: "v2", Duration: testDuration}
	for _, bad := range []bool{false, true} {
		c := newCluster(t)
		c.setOrders([]director.Rollout{order})
		c.startTarget("v2")
		c.runUntil(4 * time.Second)
		copied, again := order, order
		copied.Era, again.Era, again.Revision = 1, 2, 3
		for _, name := range []string{"d1", "v2-a"} {
			c.nodes[name].Apply([]director.Rollout{copied})
		}
		c.runUntil(5 * time.Second)
		if share := c.nodes["caller"].Plan("shop").ShareAt(c.clock.Now()); share == 0 {
			t.Error("got share 0 while nodes know the order from different eras, want more")
		}
		c.setOrders([]director.Rollout{again})
		if bad {
			c.bad = func(version string) bool { return version == "v2" }
		}
		c.runUntil(testDuration + time.Second)
		if bad {
			c.checkExposure("v2")
			c.checkWritten("running v2", "rolled_back v2")
			continue
		}
		c.checkWritten("running v2", "completed v2")
		c.checkRefused(0)
	}
}
