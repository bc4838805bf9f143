// Package tracker tracks the owner of each resource from view to view. It applies
// one record at a time and so sees every view. If a node has owned a resource in
// each view since a record, no other node has held the resource since then.
package tracker

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/holder"
	"github.com/flamingotack/flamingotack/internal/parser"
)

// maxPeriods is the maximum number of ownership periods kept for a resource.
const maxPeriods = 8

type (
	// ResourcesFunc returns the resources that the node may own under a
	// manifest.
	ResourcesFunc func(m *parser.Manifest) []holder.Resource

	// OwnershipPeriod is a period in which the node owns a resource.
	OwnershipPeriod struct {
		// StartOffset is the offset of the record that made the node the
		// owner.
		StartOffset uint64
		// IsFirst is set if no node has owned the resource before.
		IsFirst bool
		// IsNewResource is set if the record at StartOffset introduced the
		// resource and no node has owned it for the tracker's quiet time
		// before.
		IsNewResource bool
		// PreviousOwner is the owner before the node. Its name is empty if
		// the owner is not known.
		PreviousOwner folder.Member
		// EndOffset is the offset of the record that ended the period, or 0
		// in the current period.
		EndOffset uint64
		// NextOwner is the owner from EndOffset on. Its name is empty if there
		// is none.
		NextOwner folder.Member
	}

	// Tracker tracks the owners of resources. It is safe for concurrent use.
	Tracker struct {
		self      holder.Identity
		resources ResourcesFunc
		quietTime time.Duration

		mu sync.Mutex
		// removedAt is when a resource was removed. Entries are kept for the
		// quiet time.
		removedAt map[holder.Resource]time.Time
		// jumpedAt is when records were last skipped. It is zero if none were.
		jumpedAt   time.Time
		viewOffset uint64
		manifest   *parser.Manifest
		histories  map[holder.Resource]*resourceHistory
	}

	resourceHistory struct {
		// periods are the ownership periods of the node, oldest first.
		periods []OwnershipPeriod
		// owner is the owner in the last view. Its name is empty if there is
		// none.
		owner folder.Member
		// everOwned is set if a node may have owned the resource.
		everOwned bool
	}
)

// New returns a Tracker for a node that knows no state yet. quietTime is the time
// after which nothing that a former owner granted is still valid.
func New(self holder.Identity, resources ResourcesFunc, quietTime time.Duration) *Tracker {
	return &Tracker{
		self:      self,
		resources: resources,
		quietTime: quietTime,
		removedAt: map[holder.Resource]time.Time{},
		histories: map[holder.Resource]*resourceHistory{},
	}
}

// ApplyState applies the state after one more record. jumped is set if earlier
// records were skipped, so that their views are unknown.
func (t *Tracker) ApplyState(now time.Time, s *folder.State, jumped bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if jumped {
		t.jumpedAt = now
	}
	if s.Manifest != t.manifest || jumped {
		t.updateResources(now, s, jumped)
		t.manifest = s.Manifest
	}
	if s.ViewOffset == t.viewOffset {
		return
	}
	t.viewOffset = s.ViewOffset
	v := holder.ViewOf(s)
	for r, h := range t.histories {
		t.updateOwner(h, v, r, s.Offset)
	}
}

// CurrentPeriod returns the current ownership period of a resource. owned is false
// if the node does not own it.
func (t *Tracker) CurrentPeriod(r holder.Resource) (current OwnershipPeriod, owned bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.histories[r]
	if h == nil || !h.isOwned() {
		return OwnershipPeriod{}, false
	}
	return h.periods[len(h.periods)-1], true
}

// OwnershipPeriods returns the ownership periods of a resource, oldest first.
func (t *Tracker) OwnershipPeriods(r holder.Resource) []OwnershipPeriod {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.histories[r]
	if h == nil {
		return nil
	}
	return slices.Clone(h.periods)
}

// TrackedResources returns the tracked resources.
func (t *Tracker) TrackedResources() (list []holder.Resource) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for r := range t.histories {
		list = append(list, r)
	}
	return list
}

func (t *Tracker) updateOwner(h *resourceHistory, v holder.View, r holder.Resource, offset uint64) {
	owner, _ := v.Owner(r)
	if owner.JoinOffset == h.owner.JoinOffset && owner.Name == h.owner.Name {
		return
	}
	previous := h.owner
	h.owner = owner
	if h.isOwned() {
		last := &h.periods[len(h.periods)-1]
		last.EndOffset = offset
		last.NextOwner = owner
	}
	if owner.Name == t.self.Name && owner.Incarnation == t.self.Incarnation {
		h.periods = append(h.periods, OwnershipPeriod{StartOffset: offset, IsFirst: !h.everOwned, PreviousOwner: previous})
	}
	h.periods = h.periods[max(0, len(h.periods)-maxPeriods):]
	h.everOwned = h.everOwned || owner.Name != ""
}

// updateResources tracks the resources of a new manifest. Before the first manifest
// no node owned any.
func (t *Tracker) updateResources(now time.Time, s *folder.State, jumped bool) {
	if s.Manifest == nil {
		return
	}
	mayHaveOwner := t.manifest != nil || jumped
	histories := map[holder.Resource]*resourceHistory{}
	for _, r := range t.resources(s.Manifest) {
		h := t.histories[r]
		if h == nil || jumped {
			h = &resourceHistory{everOwned: mayHaveOwner}
			t.updateOwner(h, holder.ViewOf(s), r, s.Offset)
			if len(h.periods) > 0 {
				h.periods[0].IsNewResource = t.isNewResource(now, r)
			}
		}
		histories[r] = h
	}
	t.recordRemovals(now, histories)
	t.histories = histories
}

// recordRemovals records that resources which are not in next are removed now.
func (t *Tracker) recordRemovals(now time.Time, next map[holder.Resource]*resourceHistory) {
	maps.DeleteFunc(t.removedAt, func(_ holder.Resource, at time.Time) bool { return now.Sub(at) > t.quietTime })
	for r := range t.histories {
		if next[r] == nil {
			t.removedAt[r] = now
		}
	}
}

// isNewResource reports whether no node can have owned an untracked resource for
// the quiet time.
func (t *Tracker) isNewResource(now time.Time, r holder.Resource) bool {
	if !t.jumpedAt.IsZero() && now.Sub(t.jumpedAt) <= t.quietTime {
		return false
	}
	at, found := t.removedAt[r]
	return !found || now.Sub(at) > t.quietTime
}

// isOwned reports whether the last period is the current one.
func (h *resourceHistory) isOwned() bool {
	return len(h.periods) > 0 && h.periods[len(h.periods)-1].EndOffset == 0
}
