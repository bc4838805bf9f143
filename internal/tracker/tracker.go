// Package tracker follows who owns a resource from view to view, record by
// record. A node that has owned a resource in each view since one record has
// had no other holder since then.
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

// maxEnded is the number of ended tenures that are remembered of a resource.
const maxEnded = 8

type (
	// Resources returns what the node may own under a manifest.
	ResourcesFunc func(m *parser.Manifest) []holder.Resource

	// Tenure is a time in which the node owns a resource.
	OwnershipPeriod struct {
		// Since is the offset of the record that made the node the owner.
		StartOffset uint64
		// First says that nobody has owned the resource before.
		IsFirst bool
		// New says that the resource came with the record Since, and that
		// nobody has owned it for the tracker's quiet time before.
		IsNewResource bool
		// Previous is the owner before the node; its name is empty when that
		// is not known.
		PreviousOwner folder.Member
		// Until is the offset of the record that made another node the owner;
		// 0 in the present tenure.
		EndOffset uint64
		// Next is the owner since Until. Its name is empty when there is none.
		NextOwner folder.Member
	}

	// Tracker follows the owners. It is safe for concurrent use.
	Tracker struct {
		self      holder.Identity
		resources ResourcesFunc
		quiet     time.Duration

		mu sync.Mutex
		// dropped tells when a resource ceased to exist, for the quiet time.
		dropped map[holder.Resource]time.Time
		// jumped is when records were last passed over; zero for never.
		jumped   time.Time
		view     uint64
		manifest *parser.Manifest
		tracks   map[holder.Resource]*track
	}

	track struct {
		// tenures are those of the node, oldest first.
		tenures []OwnershipPeriod
		// owner is that in the last view; its name is empty without one.
		owner folder.Member
		// held says that somebody may have owned the resource.
		held bool
	}
)

// New returns a Tracker for a node that knows no state yet. After the quiet time
// nothing is good any more that a former owner did.
func New(self holder.Identity, resources ResourcesFunc, quiet time.Duration) *Tracker {
	return &Tracker{
		self:      self,
		resources: resources,
		quiet:     quiet,
		dropped:   map[holder.Resource]time.Time{},
		tracks:    map[holder.Resource]*track{},
	}
}

// Advance takes the state after one more record. jumped says that records in
// between are not known.
func (t *Tracker) ApplyState(now time.Time, s *folder.State, jumped bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if jumped {
		t.jumped = now
	}
	if s.Manifest != t.manifest || jumped {
		t.watch(now, s, jumped)
		t.manifest = s.Manifest
	}
	if s.ViewOffset == t.view {
		return
	}
	t.view = s.ViewOffset
	v := holder.ViewOf(s)
	for r, k := range t.tracks {
		t.follow(k, v, r, s.Offset)
	}
}

// Owned returns the present tenure of a resource; false when the node does not
// own it.
func (t *Tracker) CurrentPeriod(r holder.Resource) (present OwnershipPeriod, owned bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.tracks[r]
	if k == nil || !k.owned() {
		return OwnershipPeriod{}, false
	}
	return k.tenures[len(k.tenures)-1], true
}

// Tenures returns the tenures of a resource, oldest first.
func (t *Tracker) OwnershipPeriods(r holder.Resource) []OwnershipPeriod {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.tracks[r]
	if k == nil {
		return nil
	}
	return slices.Clone(k.tenures)
}

// Watched returns the resources that are followed.
func (t *Tracker) TrackedResources() (list []holder.Resource) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for r := range t.tracks {
		list = append(list, r)
	}
	return list
}

func (t *Tracker) follow(k *track, v holder.View, r holder.Resource, offset uint64) {
	owner, _ := v.Owner(r)
	if owner.JoinOffset == k.owner.JoinOffset && owner.Name == k.owner.Name {
		return
	}
	before := k.owner
	k.owner = owner
	if k.owned() {
		last := &k.tenures[len(k.tenures)-1]
		last.EndOffset = offset
		last.NextOwner = owner
	}
	if owner.Name == t.self.Name && owner.Incarnation == t.self.Incarnation {
		k.tenures = append(k.tenures, OwnershipPeriod{StartOffset: offset, IsFirst: !k.held, PreviousOwner: before})
	}
	k.tenures = k.tenures[max(0, len(k.tenures)-maxEnded):]
	k.held = k.held || owner.Name != ""
}

// watch follows the resources of a new manifest. Before the first manifest
// nobody held any.
func (t *Tracker) watch(now time.Time, s *folder.State, jumped bool) {
	if s.Manifest == nil {
		return
	}
	known := t.manifest != nil || jumped
	tracks := map[holder.Resource]*track{}
	for _, r := range t.resources(s.Manifest) {
		k := t.tracks[r]
		if k == nil || jumped {
			k = &track{held: known}
			t.follow(k, holder.ViewOf(s), r, s.Offset)
			if len(k.tenures) > 0 {
				k.tenures[0].IsNewResource = t.isNew(now, r)
			}
		}
		tracks[r] = k
	}
	t.drop(now, tracks)
	t.tracks = tracks
}

// drop notes when resources cease to exist.
func (t *Tracker) drop(now time.Time, next map[holder.Resource]*track) {
	maps.DeleteFunc(t.dropped, func(_ holder.Resource, at time.Time) bool { return now.Sub(at) > t.quiet })
	for r := range t.tracks {
		if next[r] == nil {
			t.dropped[r] = now
		}
	}
}

// isNew reports whether nobody can have owned a resource that is not tracked
// for the quiet time.
func (t *Tracker) isNew(now time.Time, r holder.Resource) bool {
	if !t.jumped.IsZero() && now.Sub(t.jumped) <= t.quiet {
		return false
	}
	at, found := t.dropped[r]
	return !found || now.Sub(at) > t.quiet
}

// owned reports whether the last tenure is the present one.
func (k *track) owned() bool {
	return len(k.tenures) > 0 && k.tenures[len(k.tenures)-1].EndOffset == 0
}
