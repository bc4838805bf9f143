package flamingotack

import (
	"context"
	"time"

	"github.com/flamingotack/flamingotack/internal/deduper"
	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/holder"
	"github.com/flamingotack/flamingotack/internal/parser"
)

// onStateChange is called with the state after each record.
func (n *Node) onStateChange(s *folder.State, jumped bool) {
	if index := n.index.Load(); index == nil || index.State.Manifest != s.Manifest {
		now := n.dependencies.Clock.Now()
		n.lastManifestAt.Store(&now)
	}
	n.tracker.ApplyState(n.dependencies.Clock.Now(), s, jumped)
}

// manifestReceivedAt returns when the node received the current manifest.
func (n *Node) manifestReceivedAt() time.Time {
	if t := n.lastManifestAt.Load(); t != nil {
		return *t
	}
	return n.dependencies.Clock.Now()
}

// queryFormerOwners sends heartbeats to the former owners of resources that the
// node owns but may not use yet, to learn whether they have released them. Their
// next regular heartbeats would come later.
func (n *Node) queryFormerOwners(ctx context.Context) error {
	for ctx.Err() == nil {
		n.awaitMaintenance(ctx)
		for _, m := range n.unreleasedOwners() {
			go n.membership.beater.ExchangeHeartbeat(ctx, m)
		}
	}
	return nil
}

// unreleasedOwners returns the members that have not yet released what the
// node owns.
func (n *Node) unreleasedOwners() (list []folder.Member) {
	if !n.isFresh() {
		return nil
	}
	now := n.dependencies.Clock.Now()
	seen := map[uint64]bool{}
	for _, r := range n.tracker.TrackedResources() {
		if _, owned := n.tracker.CurrentPeriod(r); !owned {
			continue
		}
		for _, m := range n.membership.ownership.AwaitedMembers(now, r) {
			if !seen[m.JoinOffset] {
				seen[m.JoinOffset] = true
				list = append(list, m)
			}
		}
	}
	return list
}

// awaitMaintenance waits until the resources that the node holds need
// maintenance.
func (n *Node) awaitMaintenance(ctx context.Context) {
	timer := time.NewTimer(maintenanceInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-n.index.Changed():
	case <-timer.C:
	}
}

// resources returns what the node may hold under a manifest: the customers'
// rate limits and the idempotency keys of its own service.
func (n *Node) resources(m *parser.Manifest) (list []holder.Resource) {
	for i := range m.Customers {
		list = append(list, rateResource(m.Customers[i].Name))
	}
	for i := range deduper.SlotCount {
		list = append(list, slotResource(deduper.Slot{Service: n.self.Service, Number: i}))
	}
	return list
}
