package beater

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/flamingotack/flamingotack/internal/holder"
	"github.com/flamingotack/flamingotack/internal/messenger"
)

const (
	// ageStep is the step to which ages of attestations are rounded up.
	ageStep = 250 * time.Millisecond
	// maxAge is the age up to which attestations are passed on.
	maxAge = 11 * time.Second
)

// stamper gives readings of a clock that no other process has: a reading that
// another process gave is not valid here.
type stamper struct {
	base  uint64
	start time.Time
}

func newStamper(now time.Time) stamper {
	return stamper{base: rand.Uint64N(1<<61) + 1, start: now}
}

func (s stamper) stamp(now time.Time) uint64 {
	return s.base + uint64(now.Sub(s.start).Microseconds())
}

// time returns when the stamp was given.
func (s stamper) time(now time.Time, stamp uint64) (t time.Time, valid bool) {
	if stamp < s.base || stamp > s.stamp(now) {
		return time.Time{}, false
	}
	t = s.start.Add(time.Duration(stamp-s.base) * time.Microsecond)
	return t, now.Sub(t) < maxEcho
}

func fromAcks(acks []holder.Ack) (list []*messenger.Ack) {
	for _, a := range acks {
		list = append(list, &messenger.Ack{View: a.ViewOffset, Members: a.MemberJoinOffsets})
	}
	return list
}

// fromAttestations groups attestations by offset and rounded age.
func fromAttestations(now time.Time, from []holder.Attestation) (list []*messenger.Attestations) {
	type group struct {
		offset uint64
		age    time.Duration
	}
	groups := map[group]*messenger.Attestations{}
	for _, a := range from {
		g := group{a.Offset, (now.Sub(a.Time) + ageStep - 1).Truncate(ageStep)}
		if groups[g] == nil {
			groups[g] = &messenger.Attestations{Offset: g.offset, AgeMicros: uint64(g.age.Microseconds())}
			list = append(list, groups[g])
		}
		groups[g].Members = append(groups[g].Members, a.MemberJoinOffset)
	}
	slices.SortFunc(list, func(a, b *messenger.Attestations) int { return cmp.Compare(a.AgeMicros, b.AgeMicros) })
	return list
}

func fromProof(p holder.Proof) *messenger.Proof {
	m := &messenger.Proof{}
	if p.HasAge {
		age := micros(p.Age)
		m.AgeMicros = &age
	}
	if p.HasLogReadAge {
		age := micros(p.LogReadAge)
		m.ReadMicros = &age
	}
	return m
}

// micros rounds up, so that an age is never told too young.
func micros(d time.Duration) uint64 {
	return uint64(d.Microseconds() + 1)
}

func toAcks(list []*messenger.Ack) (acks []holder.Ack) {
	for _, a := range list {
		acks = append(acks, holder.Ack{ViewOffset: a.GetView(), MemberJoinOffsets: a.GetMembers()})
	}
	return acks
}

// toAttestations returns the sender's own word and those that it passes on.
func toAttestations(sent time.Time, p *messenger.Pulse) (list []holder.Attestation) {
	list = append(list, holder.Attestation{MemberJoinOffset: p.GetSince(), Time: sent, Offset: p.GetOffset()})
	for _, a := range p.GetAttestations() {
		t := sent.Add(-duration(a.GetAgeMicros()))
		for _, m := range a.GetMembers() {
			list = append(list, holder.Attestation{MemberJoinOffset: m, Time: t, Offset: a.GetOffset()})
		}
	}
	return list
}

func toProof(offset uint64, m *messenger.Proof) holder.Proof {
	p := holder.Proof{Offset: offset}
	if m != nil && m.AgeMicros != nil {
		p.Age, p.HasAge = duration(m.GetAgeMicros()), true
	}
	if m != nil && m.ReadMicros != nil {
		p.LogReadAge, p.HasLogReadAge = duration(m.GetReadMicros()), true
	}
	return p
}

// duration bounds what a peer tells, so that no sum overflows.
func duration(micros uint64) time.Duration {
	const most = 1000 * time.Hour
	return time.Duration(min(micros, uint64(most.Microseconds()))) * time.Microsecond
}
