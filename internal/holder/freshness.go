package holder

import (
	"slices"
	"sync"
	"time"
)

type (
	// Attestation states that a member had seen no record newer than Offset at
	// Time or later.
	Attestation struct {
		// MemberJoinOffset is the offset of the member's join record.
		MemberJoinOffset uint64
		// Time is a reading of the clock of the node that holds the
		// attestation: the time at which the question was sent, minus the age
		// in the answer.
		Time time.Time
		// Offset is the offset of the newest record that the member had seen.
		Offset uint64
	}

	// Freshness tracks the age of the proof that the node has folded every
	// record. There are three kinds of proof: a read of the log's tail, the
	// proof of a peer, and attestations by a majority of the view that none
	// of them has seen a newer record, which are used during an outage of the
	// log. All times are readings of the node's own monotonic clock. The age
	// of a proof counts from the time at which its question was sent.
	// Freshness is safe for concurrent use.
	Freshness struct {
		mu sync.Mutex
		// bound is the age from which on a proof is no longer valid.
		bound time.Duration
		// self is the node. It attests for itself at any time.
		self Identity
		// offset is the offset of the newest folded record.
		offset uint64
		view   View
		// attestedAt are the times of the newest attestation of each member
		// except the node itself, by join offset.
		attestedAt map[uint64]time.Time
		// logProvedAt is the time of the newest proof that rests on the log
		// alone.
		logProvedAt time.Time
		// majorityProvedAt is the time of the newest proof by a majority.
		majorityProvedAt time.Time
		// selfIsMajority is set while the node is a majority by itself.
		selfIsMajority bool
		// peerProvedAt is the time of the newest proof of a peer.
		peerProvedAt time.Time
	}

	// Identity identifies one run of a node's process.
	Identity struct {
		// Name is the node's name.
		Name string
		// Incarnation is new each time the process starts.
		Incarnation string
	}

	// Proof is the proof of freshness that a node sends to its peers.
	Proof struct {
		// Offset is the offset of the newest folded record.
		Offset uint64
		// Age is the age of the newest proof.
		Age time.Duration
		// HasAge is false if there is no proof. Age is 0 then.
		HasAge bool
		// LogReadAge is the age of the newest proof that rests on the log
		// alone.
		LogReadAge time.Duration
		// HasLogReadAge is false if there is no such proof. LogReadAge is 0
		// then.
		HasLogReadAge bool
	}
)

// NewFreshness returns the Freshness of a node that has no state yet. bound is the
// age from which on a proof is no longer valid.
func NewFreshness(self Identity, bound time.Duration) *Freshness {
	return &Freshness{bound: bound, self: self, attestedAt: map[uint64]time.Time{}}
}

// RecordAttestations records attestations of members. behind is set if one of them
// has seen a record that the node has not folded and must fetch. Attestations of
// nodes outside the view are ignored.
func (f *Freshness) RecordAttestations(list ...Attestation) (behind bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for _, a := range list {
		if a.Offset > f.offset {
			behind = true
			continue
		}
		m, found := f.view.FindMember(a.MemberJoinOffset)
		if !found || f.self.matches(m.Name, m.Incarnation) || !a.Time.After(f.attestedAt[a.MemberJoinOffset]) {
			continue
		}
		f.attestedAt[a.MemberJoinOffset] = a.Time
		changed = true
	}
	if changed {
		f.updateMajority()
	}
	return behind
}

// Attestations returns the known attestations that are not older than oldest,
// newest first.
func (f *Freshness) Attestations(oldest time.Time) (list []Attestation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for joinOffset, t := range f.attestedAt {
		if !t.Before(oldest) {
			list = append(list, Attestation{MemberJoinOffset: joinOffset, Time: t, Offset: f.offset})
		}
	}
	slices.SortFunc(list, func(a, b Attestation) int { return b.Time.Compare(a.Time) })
	return list
}

// Bound returns the age from which on a proof is no longer valid.
func (f *Freshness) Bound() time.Duration {
	return f.bound
}

// IsFresh reports whether the node may act on its state now.
func (f *Freshness) IsFresh(now time.Time) bool {
	p := f.Proof(now)
	return p.HasAge && p.Age < f.bound
}

// HearsMajority reports whether the node has heard a majority of the view within
// the bound.
func (f *Freshness) HearsMajority(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.selfIsMajority || !f.majorityProvedAt.IsZero() && now.Sub(f.majorityProvedAt) < f.bound
}

// Proof returns the proof that the node may send to its peers now.
func (f *Freshness) Proof(now time.Time) (p Proof) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p = Proof{Offset: f.offset}
	newest := latestTime(f.logProvedAt, f.peerProvedAt, f.majorityProvedAt)
	if f.selfIsMajority {
		newest = now
	}
	if !newest.IsZero() {
		p.Age, p.HasAge = now.Sub(newest), true
	}
	if !f.logProvedAt.IsZero() {
		p.LogReadAge, p.HasLogReadAge = now.Sub(f.logProvedAt), true
	}
	return p
}

// RecordLogRead records that the log, asked at sentAt, answered that tailOffset is
// the offset of its newest record. This is a proof only if exactly the records up
// to tailOffset are folded. A lower tailOffset means that the node has read a
// different log.
func (f *Freshness) RecordLogRead(sentAt time.Time, tailOffset uint64) (proved bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if tailOffset != f.offset {
		return false
	}
	f.logProvedAt = latestTime(f.logProvedAt, sentAt)
	return true
}

// RecordPeerProof records that a peer, asked at sentAt, answered with its own proof.
// behind is set if the peer has folded a record that the node has not. The answer
// is no proof then.
func (f *Freshness) RecordPeerProof(sentAt time.Time, p Proof) (behind bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.Offset > f.offset {
		return true
	}
	if p.HasAge {
		f.peerProvedAt = latestTime(f.peerProvedAt, sentAt.Add(-p.Age))
	}
	if p.HasLogReadAge {
		f.logProvedAt = latestTime(f.logProvedAt, sentAt.Add(-p.LogReadAge))
	}
	return false
}

// applyState records that all records up to offset are folded and that v is the
// resulting view. An offset that is not above the last one changes nothing.
func (f *Freshness) applyState(offset uint64, v View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if offset <= f.offset {
		return
	}
	f.offset = offset
	if v.Offset == f.view.Offset {
		return
	}
	f.view = v
	for joinOffset := range f.attestedAt {
		if _, found := v.FindMember(joinOffset); !found {
			delete(f.attestedAt, joinOffset)
		}
	}
	f.updateMajority()
}

// updateMajority determines the time of the newest proof by a majority of the view.
// The node itself attests at any time, so one attestation fewer is needed if it is
// a member.
func (f *Freshness) updateMajority() {
	needed := len(f.view.Members)/2 + 1
	attestedAt := make([]time.Time, 0, len(f.view.Members))
	for _, m := range f.view.Members {
		if f.self.matches(m.Name, m.Incarnation) {
			needed--
		} else if t, found := f.attestedAt[m.JoinOffset]; found {
			attestedAt = append(attestedAt, t)
		}
	}
	f.selfIsMajority = needed == 0
	f.majorityProvedAt = time.Time{}
	if needed > 0 && len(attestedAt) >= needed {
		slices.SortFunc(attestedAt, func(a, b time.Time) int { return b.Compare(a) })
		f.majorityProvedAt = attestedAt[needed-1]
	}
}

func (i Identity) matches(name, incarnation string) bool {
	return i.Name == name && i.Incarnation == incarnation
}

func latestTime(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}
