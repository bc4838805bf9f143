package holder

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/flamingotack/flamingotack/internal/folder"
)

const (
	// MaxOutage is how long a member holds on to its resources without a
	// proof that rests on the log. It bounds how long a view may last whose
	// majority is gone for good.
	MaxLogOutage = 4 * time.Hour

	// driftParts is the inverse of the part by which two clocks may differ
	// in rate.
	driftParts = 20
)

type (
	// Ack says that members act on no view older than View any more.
	Ack struct {
		// View is the offset of the oldest view that they may act on.
		ViewOffset uint64
		// Members are the offsets of the members' join records.
		MemberJoinOffsets []uint64
	}

	// Tenure decides what the node may use as its holder. The rule is that
	// two nodes never hold the same resource at the same time:
	//
	//   - Only a fresh node holds anything, and only what it owns in the view
	//     that it has folded.
	//   - It waits until every earlier owner has acknowledged a later view or
	//     has surely lapsed. An earlier owner has lapsed one freshness bound,
	//     and a margin for the drift of clocks, after half of the view in
	//     which it was the owner has acknowledged a later one: the other half
	//     is no majority that could still keep it fresh.
	//
	// Tenure is safe for concurrent use.
	Ownership struct {
		freshness *Freshness
		mu        sync.Mutex
		view      View
		// past are earlier views that have not surely lapsed, oldest first.
		past []pastView
		// acked are the views that members have acknowledged.
		acked map[uint64]ackedView
		// left are members that have ended by their own word.
		left map[uint64]bool
		// replaced are members whose address another process has taken over.
		replaced map[uint64]bool
		// claimed is the floor that peers and snapshots have told.
		claimed uint64
		// floor is the oldest view that may not have lapsed.
		floor uint64
		// sequence grows with each new acknowledgement.
		sequence uint64
		// stopped is set once the node holds nothing any more.
		stopped bool
	}

	ackedView struct {
		view     uint64
		sequence uint64
	}

	pastView struct {
		View
		// unknown is set for the views that a jump passed over.
		unknown bool
		// lapsed is when no node acts on the view any more.
		lapsed time.Time
		// counted is set once half of it has acknowledged a later view.
		counted bool
	}
)

// NewTenure returns the tenure of a node that knows no view yet.
func NewOwnership(f *Freshness) *Ownership {
	return &Ownership{
		freshness: f,
		acked:     map[uint64]ackedView{},
		left:      map[uint64]bool{},
		replaced:  map[uint64]bool{},
	}
}

// Acknowledge takes what is known of the views that members have stopped
// acting on. now is when the node learned it.
func (t *Ownership) RecordAcks(now time.Time, acks ...Ack) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, a := range acks {
		for _, since := range a.MemberJoinOffsets {
			changed = t.acknowledge(since, a.ViewOffset) || changed
		}
	}
	if changed {
		t.settle(now)
	}
}

// Acks returns the acknowledgements that were learned after that sequence, and
// the sequence of the newest one. Sequence 0 returns all.
func (t *Ownership) Acks(after uint64) (acks []Ack, sequence uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	byView := map[uint64][]uint64{}
	for since, a := range t.acked {
		if a.sequence > after {
			byView[a.view] = append(byView[a.view], since)
		}
	}
	for _, v := range slices.Sorted(maps.Keys(byView)) {
		slices.Sort(byView[v])
		acks = append(acks, Ack{ViewOffset: v, MemberJoinOffsets: byView[v]})
	}
	return acks, t.sequence
}

// Advance takes the state after one more record. left is the join offset of a
// member that has left by this record, or 0. By this call the node itself
// acknowledges the state's view, and Freshness learns the new offset.
func (t *Ownership) ApplyState(now time.Time, s *folder.State, left uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if left != 0 {
		t.left[left] = true
	}
	v := ViewOf(s)
	if v.Offset > t.view.Offset {
		t.retire(now, pastView{View: t.view})
		t.move(now, v)
	}
	t.freshness.advance(s.Offset, v)
}

// Awaited returns the members of the view that have to let go of a resource
// before the node may use it. A member that has gone is not among them.
func (t *Ownership) AwaitedMembers(now time.Time, r Resource) (list []folder.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.past {
		owner, found := p.Owner(r)
		if !found || t.released(now, p, r) {
			continue
		}
		if m, present := t.view.FindMember(owner.JoinOffset); present {
			list = append(list, m)
		}
	}
	return list
}

// Floor returns the offset of the oldest view that may not have lapsed: no node
// acts on an older one. This stays true for ever, so it may be passed on.
func (t *Ownership) ViewFloor(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settle(now)
	return t.floor
}

// Jump takes a state that a peer or a snapshot gave. The views that it passes
// over are unknown: the node holds nothing until a peer or a snapshot says that
// they have lapsed, or MaxOutage is over.
func (t *Ownership) JumpToState(now time.Time, s *folder.State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := ViewOf(s)
	if v.Offset > t.view.Offset {
		t.retire(now, pastView{View: t.view})
		t.retire(now, pastView{View: View{Offset: v.Offset - 1}, unknown: true})
		t.move(now, v)
	}
	t.freshness.advance(s.Offset, v)
}

// Lapsed tells that no node acts on a view older than floor any more, as a
// peer or a snapshot says.
func (t *Ownership) RaiseViewFloor(floor uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.claimed = max(t.claimed, floor)
	t.past = slices.DeleteFunc(t.past, func(p pastView) bool { return p.Offset < t.claimed })
	t.raise()
}

// MayUse reports whether the node holds r now. Each use needs a new call: a
// process may have been paused since the last one.
func (t *Ownership) MayUse(now time.Time, r Resource) bool {
	if !t.anchored(now) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	owner, found := t.view.Owner(r)
	if t.stopped || !found || !t.isSelf(owner.Name, owner.Incarnation) {
		return false
	}
	for _, p := range t.past {
		if !t.released(now, p, r) {
			return false
		}
	}
	return true
}

// Owner returns the member that owns r in the present view, whether or not it
// may use r yet.
func (t *Ownership) Owner(r Resource) (owner Owner, found bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, found := t.view.Owner(r)
	return Owner{Member: m, ViewOffset: t.view.Offset, IsSelf: found && t.isSelf(m.Name, m.Incarnation)}, found
}

// Freshness returns the freshness that the tenure rests on.
func (t *Ownership) Freshness() *Freshness {
	return t.freshness
}

// Stop ends the tenure: the node holds nothing from now on. It must be called
// before the node's leave record is written.
func (t *Ownership) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
}

// View returns the present view.
func (t *Ownership) View() View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view
}

func (t *Ownership) acknowledge(since, view uint64) (changed bool) {
	if t.acked[since].view >= view {
		return false
	}
	t.sequence++
	t.acked[since] = ackedView{view: view, sequence: t.sequence}
	return true
}

// anchored reports whether the node is fresh and has a recent enough proof
// that rests on the log.
func (t *Ownership) anchored(now time.Time) bool {
	p := t.freshness.Proof(now)
	return p.HasAge && p.Age < t.freshness.bound && p.HasLogReadAge && p.LogReadAge < MaxLogOutage
}

// forget drops what is known of members that stand in no view any more.
func (t *Ownership) forget() {
	known := map[uint64]bool{}
	for _, m := range t.view.Members {
		known[m.JoinOffset] = true
	}
	for _, p := range t.past {
		for _, m := range p.Members {
			known[m.JoinOffset] = true
		}
	}
	maps.DeleteFunc(t.acked, func(since uint64, _ ackedView) bool { return !known[since] })
	maps.DeleteFunc(t.left, func(since uint64, _ bool) bool { return !known[since] })
	maps.DeleteFunc(t.replaced, func(since uint64, _ bool) bool { return !known[since] })
}

func (t *Ownership) isSelf(name, incarnation string) bool {
	return t.freshness.self.is(name, incarnation)
}

// blocked reports whether so many members of p have moved on that the others are
// no majority of it: no node that acts on p can be kept fresh by them.
func (t *Ownership) blocked(p pastView) bool {
	silent := 0
	for _, m := range p.Members {
		if t.acked[m.JoinOffset].view > p.Offset || t.left[m.JoinOffset] || t.replaced[m.JoinOffset] {
			silent++
		}
	}
	return 2*silent >= len(p.Members)
}

func (t *Ownership) move(now time.Time, v View) {
	t.view = v
	for _, m := range v.Members {
		if t.isSelf(m.Name, m.Incarnation) {
			t.acknowledge(m.JoinOffset, v.Offset)
		}
	}
	for _, p := range t.past {
		for _, m := range p.Members {
			if t.isSelf(m.Name, m.Incarnation) {
				t.acknowledge(m.JoinOffset, v.Offset)
			}
		}
		t.replace(p.View)
	}
	t.settle(now)
	t.forget()
}

// raise sets the floor to the oldest view that is left.
func (t *Ownership) raise() {
	t.floor = max(t.floor, t.view.Offset)
	if len(t.past) > 0 {
		t.floor = t.past[0].Offset
	}
}

// released reports whether the owner of r in p acts on p no more.
func (t *Ownership) released(now time.Time, p pastView, r Resource) bool {
	if !now.Before(p.lapsed) {
		return true
	}
	if p.unknown {
		return false
	}
	owner, found := p.Owner(r)
	if !found || t.isSelf(owner.Name, owner.Incarnation) {
		return true
	}
	return t.acked[owner.JoinOffset].view > p.Offset || t.left[owner.JoinOffset]
}

// replace notes the members of p whose address a later incarnation has taken
// over: nobody reaches them there any more.
func (t *Ownership) replace(p View) {
	for _, m := range p.Members {
		i, found := slices.BinarySearchFunc(t.view.Members, m, compareName)
		if !found {
			continue
		}
		next := t.view.Members[i]
		if next.JoinOffset != m.JoinOffset && next.Incarnation != m.Incarnation && next.PeerAddress == m.PeerAddress {
			t.replaced[m.JoinOffset] = true
		}
	}
}

// retire makes p a past view. A view without members has no owners.
func (t *Ownership) retire(now time.Time, p pastView) {
	if p.Offset < t.claimed || len(p.Members) == 0 && !p.unknown {
		return
	}
	p.lapsed = now.Add(withMargin(MaxLogOutage))
	t.past = append(t.past, p)
}

// settle finds which past views half of the members have left, and drops those
// that have lapsed.
func (t *Ownership) settle(now time.Time) {
	for i := range t.past {
		p := &t.past[i]
		if !p.counted && t.blocked(*p) {
			p.counted = true
			p.lapsed = now.Add(withMargin(t.freshness.bound))
		}
	}
	t.past = slices.DeleteFunc(t.past, func(p pastView) bool { return !now.Before(p.lapsed) })
	t.raise()
}

// withMargin lengthens d so that it ends after d on any other clock.
func withMargin(d time.Duration) time.Duration {
	return d + d/driftParts
}
