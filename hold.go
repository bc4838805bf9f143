package flamingotack

import (
	"context"
	"time"

	"github.com/flamingotack/flamingotack/internal/deduper"
	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/holder"
	"github.com/flamingotack/flamingotack/internal/parser"
)

// follow takes the state after each record.
func (n *Node) follow(s *folder.State, jumped bool) {
	if x := n.index.Load(); x == nil || x.State.Manifest != s.Manifest {
		now := n.edges.Clock.Now()
		n.manifestTime.Store(&now)
	}
	n.tracker.Advance(n.edges.Clock.Now(), s, jumped)
}

// manifestAt returns when the node learned of the present manifest.
func (n *Node) manifestAt() time.Time {
	if t := n.manifestTime.Load(); t != nil {
		return *t
	}
	return n.edges.Clock.Now()
}

// hasten asks the earlier owners of what the node owns, but may not use yet,
// whether they have let go, without waiting for their next heartbeats.
func (n *Node) hasten(ctx context.Context) error {
	for ctx.Err() == nil {
		n.awaitKeep(ctx)
		for _, m := range n.awaited() {
			go n.membership.beater.Greet(ctx, m)
		}
	}
	return nil
}

// awaited returns the members that still have to let go of what the node owns.
func (n *Node) awaited() (list []folder.Member) {
	if !n.fresh() {
		return nil
	}
	now := n.edges.Clock.Now()
	seen := map[uint64]bool{}
	for _, r := range n.tracker.Watched() {
		if _, owned := n.tracker.Owned(r); !owned {
			continue
		}
		for _, m := range n.membership.tenure.Awaited(now, r) {
			if !seen[m.Since] {
				seen[m.Since] = true
				list = append(list, m)
			}
		}
	}
	return list
}

// awaitKeep waits until what the node holds needs another look.
func (n *Node) awaitKeep(ctx context.Context) {
	timer := time.NewTimer(keepPeriod)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-n.index.Changed():
	case <-timer.C:
	}
}

// resources are what the node may hold under a manifest: the customers' rates
// and the idempotency keys of its own service.
func (n *Node) resources(m *parser.Manifest) (list []holder.Resource) {
	for i := range m.Customers {
		list = append(list, rateResource(m.Customers[i].Name))
	}
	for i := range deduper.SlotCount {
		list = append(list, slotResource(deduper.Slot{Service: n.self.Service, Number: i}))
	}
	return list
}
