package holder

import (
	"slices"
	"sync"
	"time"
)

type (
	// Attestation says that a member had seen no record newer than Offset at
	// Time or later.
	Attestation struct {
		// Member is the offset of the member's join record.
		MemberJoinOffset uint64
		// Time is on the clock of the node that keeps the attestation. It
		// counts from when the question was sent, less the age that the
		// answer tells.
		Time time.Time
		// Offset is that of the newest record that the member had seen.
		Offset uint64
	}

	// Freshness knows how old the proof is that the node has folded every
	// record. There are three proofs: a reading of the log's tail, a peer's
	// word for its own proof, and the word of a majority of the view that
	// none of them has seen a newer record, which serves in an outage of the
	// log. All times are readings of the node's own monotonic clock; a proof
	// counts from when its question was sent. Freshness is safe for
	// concurrent use.
	Freshness struct {
		mu sync.Mutex
		// bound is how long a proof serves.
		bound time.Duration
		// self is the node; it attests for itself at any time.
		self Identity
		// offset is that of the newest folded record.
		offset uint64
		view   View
		// times are those of the newest attestation of each member but the
		// node itself.
		times map[uint64]time.Time
		// read is the newest proof that rests on the log alone.
		read time.Time
		// majority is the newest proof that rests on the majority.
		majority time.Time
		// alone is set while the node is a majority by itself.
		alone bool
		// vouched is the newest proof of a peer.
		vouched time.Time
	}

	// Identity names one run of a node's process.
	Identity struct {
		// Name is the node's name.
		Name string
		// Incarnation is new each time the process starts.
		Incarnation string
	}

	// Proof is what a node tells its peers of its freshness.
	Proof struct {
		// Offset is that of the newest folded record.
		Offset uint64
		// Age is that of the newest proof.
		Age time.Duration
		// Proved is false when there is no proof; Age is then 0.
		HasAge bool
		// ReadAge is the age of the newest proof that rests on the log alone.
		LogReadAge time.Duration
		// Read is false when there is no such proof; ReadAge is then 0.
		HasLogReadAge bool
	}
)

// NewFreshness returns the freshness of a node that has no state yet. bound is
// how long a proof serves.
func NewFreshness(self Identity, bound time.Duration) *Freshness {
	return &Freshness{bound: bound, self: self, times: map[uint64]time.Time{}}
}

// Attest takes what members say of the newest record that they have seen.
// behind is set when one of them has seen a record that the node has not
// folded: the node must fetch it. Attestations of others than the view's
// members count for nothing.
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
		if !found || f.self.is(m.Name, m.Incarnation) || !a.Time.After(f.times[a.MemberJoinOffset]) {
			continue
		}
		f.times[a.MemberJoinOffset] = a.Time
		changed = true
	}
	if changed {
		f.count()
	}
	return behind
}

// Attestations returns what members are known to have said at oldest or later.
func (f *Freshness) Attestations(oldest time.Time) (list []Attestation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for since, t := range f.times {
		if !t.Before(oldest) {
			list = append(list, Attestation{MemberJoinOffset: since, Time: t, Offset: f.offset})
		}
	}
	slices.SortFunc(list, func(a, b Attestation) int { return b.Time.Compare(a.Time) })
	return list
}

// Bound returns how long a proof serves.
func (f *Freshness) Bound() time.Duration {
	return f.bound
}

// Fresh reports whether the node may act on its state now.
func (f *Freshness) IsFresh(now time.Time) bool {
	p := f.Proof(now)
	return p.HasAge && p.Age < f.bound
}

// Majority reports whether a majority of the view was heard within the bound.
func (f *Freshness) HearsMajority(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.alone || !f.majority.IsZero() && now.Sub(f.majority) < f.bound
}

// Proof returns what the node may tell its peers now.
func (f *Freshness) Proof(now time.Time) (p Proof) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p = Proof{Offset: f.offset}
	newest := latest(f.read, f.vouched, f.majority)
	if f.alone {
		newest = now
	}
	if !newest.IsZero() {
		p.Age, p.HasAge = now.Sub(newest), true
	}
	if !f.read.IsZero() {
		p.LogReadAge, p.HasLogReadAge = now.Sub(f.read), true
	}
	return p
}

// Read tells that the log was asked at sent and answered that its newest
// record stands at tail. It proves nothing unless exactly the records up to
// tail are folded: a lower tail is not that of the log that the node has read.
func (f *Freshness) RecordLogRead(sent time.Time, tail uint64) (proved bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if tail != f.offset {
		return false
	}
	f.read = latest(f.read, sent)
	return true
}

// Vouch tells that a peer was asked at sent and answered with its own proof.
// behind is set when the peer has folded a record that the node has not: it
// proves nothing then.
func (f *Freshness) RecordPeerProof(sent time.Time, p Proof) (behind bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.Offset > f.offset {
		return true
	}
	if p.HasAge {
		f.vouched = latest(f.vouched, sent.Add(-p.Age))
	}
	if p.HasLogReadAge {
		f.read = latest(f.read, sent.Add(-p.LogReadAge))
	}
	return false
}

// advance tells that all records up to offset are folded, and the view they
// make. An offset that is not above the last one changes nothing.
func (f *Freshness) advance(offset uint64, v View) {
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
	for since := range f.times {
		if _, found := v.FindMember(since); !found {
			delete(f.times, since)
		}
	}
	f.count()
}

// count finds the time since when a majority of the view attests. The node
// itself attests at any time, so it takes one voice less.
func (f *Freshness) count() {
	needed := len(f.view.Members)/2 + 1
	times := make([]time.Time, 0, len(f.view.Members))
	for _, m := range f.view.Members {
		if f.self.is(m.Name, m.Incarnation) {
			needed--
		} else if t, found := f.times[m.JoinOffset]; found {
			times = append(times, t)
		}
	}
	f.alone = needed == 0
	f.majority = time.Time{}
	if needed > 0 && len(times) >= needed {
		slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
		f.majority = times[needed-1]
	}
}

func (i Identity) is(name, incarnation string) bool {
	return i.Name == name && i.Incarnation == incarnation
}

func latest(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}
