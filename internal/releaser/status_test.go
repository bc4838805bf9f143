package releaser

import (
	"context"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/promoter"
)

// lostAnswerStore loses the answer of the first write of StateCompleted, which takes effect if
// stores is set. The store is away afterwards.
type lostAnswerStore struct {
	*clusterNode
	stores bool
	lost   *bool
}

func (s lostAnswerStore) SaveRolloutStatus(ctx context.Context, service string, state promoter.State, target string) error {
	if state != promoter.StateCompleted || *s.lost {
		return s.clusterNode.SaveRolloutStatus(ctx, service, state, target)
	}
	if s.stores {
		if err := s.clusterNode.SaveRolloutStatus(ctx, service, state, target); err != nil {
			return err
		}
	}
	*s.lost, s.cluster.store.away = true, true
	return errAway
}

// TestVerdictAfterALostAnswer guards against a rollout that is rolled back after its completion was
// stored: the old servers have stopped then, and the service has none that runs calls. It also
// guards against a bad version that is completed because the completion was not stored.
func TestVerdictAfterALostAnswer(t *testing.T) {
	for _, tt := range []struct {
		name                   string
		stores, turnsBad, dies bool
		want                   []string
	}{
		{"stored", true, false, false, []string{"running v2", "completed v2"}},
		{"stored, turns bad", true, true, false, []string{"running v2", "completed v2"}},
		{"stored, turns bad, decider dies", true, true, true, []string{"running v2", "completed v2"}},
		{"not stored, turns bad", false, true, false, []string{"running v2", "rolled_back v2"}},
		{"not stored until the deadline", false, false, false, []string{"running v2", "rolled_back v2"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t)
			lost := false
			for _, n := range c.nodes {
				n.Store = lostAnswerStore{n, tt.stores, &lost}
			}
			c.order("v2", testDuration)
			c.startTarget("v2")
			for at := time.Duration(0); at < 20*time.Second; at += tickInterval {
				c.runUntil(at + tickInterval)
				if !lost {
					continue
				}
				if tt.turnsBad {
					c.bad = func(version string) bool { return version == "v2" }
				}
				c.nodes["d0"].down = tt.dies
				c.store.away = at < 15*time.Second
			}
			if !lost {
				t.Fatal("got no write of the completion, want one")
			}
			c.checkWritten(tt.want...)
			completed := tt.want[1] == "completed v2"
			for name, n := range c.nodes {
				if plan := n.Plan("shop"); !n.down && (plan.Completed != completed || plan.RolledBack == completed) {
					t.Errorf("node %s: got completed %t and rolled back %t, want the stored verdict", name, plan.Completed, plan.RolledBack)
				}
			}
		})
	}
}

// TestOrderChangesDuringACallToTheStore guards against a data race between a call to the store and
// an order that is written again in a new era.
func TestOrderChangesDuringACallToTheStore(t *testing.T) {
	c := newCluster(t)
	c.order("v2", testDuration)
	n := c.nodes["d0"]
	order := c.orders[0]
	for era := range uint64(200) {
		n.Tick(t.Context())
		order.Era = era + 1
		n.Apply([]director.Rollout{order})
		c.clock.Advance(tickInterval / 10)
	}
	n.statusCalls.Wait()
	if n.Plan("shop") == nil {
		t.Error("got no plan, want one")
	}
}
