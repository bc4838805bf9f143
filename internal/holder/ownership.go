package holder

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/flamingotack/flamingotack/internal/folder"
)

const (
	// MaxLogOutage is how long a member may use its resources without a proof
	// that rests on the log. It limits how long a view can stay in use after
	// its majority is gone for good.
	MaxLogOutage = 4 * time.Hour

	// clockDriftDivisor is the inverse of the largest fraction by which two
	// clocks may differ in rate.
	clockDriftDivisor = 20
)

type (
	// Ack states that members no longer act on views older than the view of
	// ViewOffset.
	Ack struct {
		// ViewOffset is the offset of the oldest view that they may act on.
		ViewOffset uint64
		// MemberJoinOffsets are the offsets of the members' join records.
		MemberJoinOffsets []uint64
	}

	// Ownership decides which resources the node may use. Two nodes never
	// hold the same resource at the same time:
	//
	//   - Only a fresh node holds resources, and only those that it owns in
	//     the view that it has folded.
	//   - It waits until every earlier owner has acknowledged a later view or
	//     its view has lapsed. A view lapses one freshness bound, plus a
	//     margin for clock drift, after half of its members have acknowledged
	//     a later view: the other half is no majority that could keep the
	//     earlier owner fresh.
	//
	// Ownership is safe for concurrent use.
	Ownership struct {
		freshness *Freshness
		mu        sync.Mutex
		view      View
		// pastViews are earlier views that may not have lapsed, oldest first.
		pastViews []pastView
		// ackedViews are the views that members have acknowledged, by join
		// offset.
		ackedViews map[uint64]ackedView
		// leftMembers are the members that have left by a leave record.
		leftMembers map[uint64]bool
		// replacedMembers are the members whose peer address a later
		// incarnation has taken over.
		replacedMembers map[uint64]bool
		// claimedFloor is the highest view floor received from peers and
		// snapshots.
		claimedFloor uint64
		// viewFloor is the offset of the oldest view that may not have lapsed.
		viewFloor uint64
		// ackSequence is the sequence number of the newest acknowledgement.
		ackSequence uint64
		// stopped is set once the node has given up all resources.
		stopped bool
	}

	ackedView struct {
		viewOffset uint64
		sequence   uint64
	}

	pastView struct {
		View
		// membersUnknown is set for the views that JumpToState skipped.
		membersUnknown bool
		// lapsesAt is the time from which on no node acts on the view.
		lapsesAt time.Time
		// lostMajority is set once half of the members have acknowledged a
		// later view, have left or were replaced.
		lostMajority bool
	}
)

// NewOwnership returns the Ownership of a node that knows no view yet.
func NewOwnership(f *Freshness) *Ownership {
	return &Ownership{
		freshness:       f,
		ackedViews:      map[uint64]ackedView{},
		leftMembers:     map[uint64]bool{},
		replacedMembers: map[uint64]bool{},
	}
}

// RecordAcks records acknowledgements, which say on which views members no longer
// act. now is the time at which the node received them.
func (o *Ownership) RecordAcks(now time.Time, acks ...Ack) {
	o.mu.Lock()
	defer o.mu.Unlock()
	changed := false
	for _, a := range acks {
		for _, joinOffset := range a.MemberJoinOffsets {
			changed = o.recordAck(joinOffset, a.ViewOffset) || changed
		}
	}
	if changed {
		o.dropLapsedViews(now)
	}
}

// Acks returns the acknowledgements with a sequence number above after, and the
// sequence number of the newest one. 0 returns all.
func (o *Ownership) Acks(after uint64) (acks []Ack, sequence uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	byView := map[uint64][]uint64{}
	for joinOffset, a := range o.ackedViews {
		if a.sequence > after {
			byView[a.viewOffset] = append(byView[a.viewOffset], joinOffset)
		}
	}
	for _, v := range slices.Sorted(maps.Keys(byView)) {
		slices.Sort(byView[v])
		acks = append(acks, Ack{ViewOffset: v, MemberJoinOffsets: byView[v]})
	}
	return acks, o.ackSequence
}

// ApplyState applies the state after one more record. leftJoinOffset is the join
// offset of the member that has left by this record, or 0. The call acknowledges the state's
// view on behalf of the node and updates its Freshness.
func (o *Ownership) ApplyState(now time.Time, s *folder.State, leftJoinOffset uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if leftJoinOffset != 0 {
		o.leftMembers[leftJoinOffset] = true
	}
	v := ViewOf(s)
	if v.Offset > o.view.Offset {
		o.addPastView(now, pastView{View: o.view})
		o.enterView(now, v)
	}
	o.freshness.applyState(s.Offset, v)
}

// AwaitedMembers returns the members of the view that must release a resource
// before the node may use it. Earlier owners outside the view are not included.
func (o *Ownership) AwaitedMembers(now time.Time, r Resource) (list []folder.Member) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, p := range o.pastViews {
		owner, found := p.Owner(r)
		if !found || o.isReleased(now, p, r) {
			continue
		}
		if m, present := o.view.FindMember(owner.JoinOffset); present {
			list = append(list, m)
		}
	}
	return list
}

// ViewFloor returns the offset of the oldest view that may not have lapsed: no
// node acts on an older one. This stays true forever, so other nodes may use it.
func (o *Ownership) ViewFloor(now time.Time) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dropLapsedViews(now)
	return o.viewFloor
}

// JumpToState applies a state from a peer or a snapshot. The views that it skips
// are unknown: the node holds no resource until a peer or a snapshot says that they
// have lapsed, or MaxLogOutage has passed.
func (o *Ownership) JumpToState(now time.Time, s *folder.State) {
	o.mu.Lock()
	defer o.mu.Unlock()
	v := ViewOf(s)
	if v.Offset > o.view.Offset {
		o.addPastView(now, pastView{View: o.view})
		o.addPastView(now, pastView{View: View{Offset: v.Offset - 1}, membersUnknown: true})
		o.enterView(now, v)
	}
	o.freshness.applyState(s.Offset, v)
}

// RaiseViewFloor records that no node acts on a view older than floor any more,
// according to a peer or a snapshot.
func (o *Ownership) RaiseViewFloor(floor uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.claimedFloor = max(o.claimedFloor, floor)
	o.pastViews = slices.DeleteFunc(o.pastViews, func(p pastView) bool { return p.Offset < o.claimedFloor })
	o.updateViewFloor()
}

// MayUse reports whether the node holds r now. It must be called before each use,
// because the process may have been paused since the last call.
func (o *Ownership) MayUse(now time.Time, r Resource) bool {
	if !o.hasRecentProofs(now) {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	owner, found := o.view.Owner(r)
	if o.stopped || !found || !o.isSelf(owner.Name, owner.Incarnation) {
		return false
	}
	for _, p := range o.pastViews {
		if !o.isReleased(now, p, r) {
			return false
		}
	}
	return true
}

// Owner returns the member that owns r in the current view, whether or not it
// may use r yet.
func (o *Ownership) Owner(r Resource) (owner Owner, found bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	m, found := o.view.Owner(r)
	return Owner{Member: m, ViewOffset: o.view.Offset, IsSelf: found && o.isSelf(m.Name, m.Incarnation)}, found
}

// Freshness returns the Freshness on which the decisions are based.
func (o *Ownership) Freshness() *Freshness {
	return o.freshness
}

// Stop gives up all resources for good. It must be called before the node's leave
// record is written.
func (o *Ownership) Stop() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopped = true
}

// View returns the current view.
func (o *Ownership) View() View {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.view
}

func (o *Ownership) recordAck(joinOffset, viewOffset uint64) (changed bool) {
	if o.ackedViews[joinOffset].viewOffset >= viewOffset {
		return false
	}
	o.ackSequence++
	o.ackedViews[joinOffset] = ackedView{viewOffset: viewOffset, sequence: o.ackSequence}
	return true
}

// hasRecentProofs reports whether the node is fresh and its newest proof that
// rests on the log is younger than MaxLogOutage.
func (o *Ownership) hasRecentProofs(now time.Time) bool {
	p := o.freshness.Proof(now)
	return p.HasAge && p.Age < o.freshness.bound && p.HasLogReadAge && p.LogReadAge < MaxLogOutage
}

// forgetMembersOutsideViews drops what is known of members that are in neither the
// current nor a past view.
func (o *Ownership) forgetMembersOutsideViews() {
	known := map[uint64]bool{}
	for _, m := range o.view.Members {
		known[m.JoinOffset] = true
	}
	for _, p := range o.pastViews {
		for _, m := range p.Members {
			known[m.JoinOffset] = true
		}
	}
	maps.DeleteFunc(o.ackedViews, func(joinOffset uint64, _ ackedView) bool { return !known[joinOffset] })
	maps.DeleteFunc(o.leftMembers, func(joinOffset uint64, _ bool) bool { return !known[joinOffset] })
	maps.DeleteFunc(o.replacedMembers, func(joinOffset uint64, _ bool) bool { return !known[joinOffset] })
}

func (o *Ownership) isSelf(name, incarnation string) bool {
	return o.freshness.self.matches(name, incarnation)
}

// hasLostMajority reports whether so many members of p have moved on that the
// others are no majority of it and cannot keep a node fresh that acts on p.
func (o *Ownership) hasLostMajority(p pastView) bool {
	moved := 0
	for _, m := range p.Members {
		if o.ackedViews[m.JoinOffset].viewOffset > p.Offset || o.leftMembers[m.JoinOffset] || o.replacedMembers[m.JoinOffset] {
			moved++
		}
	}
	return 2*moved >= len(p.Members)
}

func (o *Ownership) enterView(now time.Time, v View) {
	o.view = v
	for _, m := range v.Members {
		if o.isSelf(m.Name, m.Incarnation) {
			o.recordAck(m.JoinOffset, v.Offset)
		}
	}
	for _, p := range o.pastViews {
		for _, m := range p.Members {
			if o.isSelf(m.Name, m.Incarnation) {
				o.recordAck(m.JoinOffset, v.Offset)
			}
		}
		o.markReplaced(p.View)
	}
	o.dropLapsedViews(now)
	o.forgetMembersOutsideViews()
}

// updateViewFloor sets the view floor to the oldest past view, or to the current
// view if there is none.
func (o *Ownership) updateViewFloor() {
	o.viewFloor = max(o.viewFloor, o.view.Offset)
	if len(o.pastViews) > 0 {
		o.viewFloor = o.pastViews[0].Offset
	}
}

// isReleased reports whether the owner of r in p no longer acts on p.
func (o *Ownership) isReleased(now time.Time, p pastView, r Resource) bool {
	if !now.Before(p.lapsesAt) {
		return true
	}
	if p.membersUnknown {
		return false
	}
	owner, found := p.Owner(r)
	if !found || o.isSelf(owner.Name, owner.Incarnation) {
		return true
	}
	return o.ackedViews[owner.JoinOffset].viewOffset > p.Offset || o.leftMembers[owner.JoinOffset]
}

// markReplaced records the members of p whose peer address a later incarnation
// has taken over: no node can reach them at that address.
func (o *Ownership) markReplaced(p View) {
	for _, m := range p.Members {
		i, found := slices.BinarySearchFunc(o.view.Members, m, compareNames)
		if !found {
			continue
		}
		next := o.view.Members[i]
		if next.JoinOffset != m.JoinOffset && next.Incarnation != m.Incarnation && next.PeerAddress == m.PeerAddress {
			o.replacedMembers[m.JoinOffset] = true
		}
	}
}

// addPastView adds p to the past views. It skips a view that has lapsed and one
// without members, which has no owners.
func (o *Ownership) addPastView(now time.Time, p pastView) {
	if p.Offset < o.claimedFloor || len(p.Members) == 0 && !p.membersUnknown {
		return
	}
	p.lapsesAt = now.Add(withDriftMargin(MaxLogOutage))
	o.pastViews = append(o.pastViews, p)
}

// dropLapsedViews sets when past views that have lost their majority lapse, and
// drops those that have lapsed.
func (o *Ownership) dropLapsedViews(now time.Time) {
	for i := range o.pastViews {
		p := &o.pastViews[i]
		if !p.lostMajority && o.hasLostMajority(*p) {
			p.lostMajority = true
			p.lapsesAt = now.Add(withDriftMargin(o.freshness.bound))
		}
	}
	o.pastViews = slices.DeleteFunc(o.pastViews, func(p pastView) bool { return !now.Before(p.lapsesAt) })
	o.updateViewFloor()
}

// withDriftMargin extends d so that it ends after d on any other node's clock.
func withDriftMargin(d time.Duration) time.Duration {
	return d + d/clockDriftDivisor
}
