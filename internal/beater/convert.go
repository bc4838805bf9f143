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
	// attestationAgeStep is the step to which ages of attestations are rounded
	// up.
	attestationAgeStep = 250 * time.Millisecond
	// maxAttestationAge is the age up to which attestations are sent to others.
	maxAttestationAge = 11 * time.Second
)

// stamper creates timestamps, in microseconds from a random start, that only the
// same process accepts.
type stamper struct {
	firstStamp uint64
	startedAt  time.Time
}

func newStamper(now time.Time) stamper {
	return stamper{firstStamp: rand.Uint64N(1<<61) + 1, startedAt: now}
}

func (s stamper) stamp(now time.Time) uint64 {
	return s.firstStamp + uint64(now.Sub(s.startedAt).Microseconds())
}

// timeOf returns the time of a stamp. valid is false for a stamp of another
// process and for one older than maxEchoAge.
func (s stamper) timeOf(now time.Time, stamp uint64) (t time.Time, valid bool) {
	if stamp < s.firstStamp || stamp > s.stamp(now) {
		return time.Time{}, false
	}
	t = s.startedAt.Add(time.Duration(stamp-s.firstStamp) * time.Microsecond)
	return t, now.Sub(t) < maxEchoAge
}

func encodeAcks(acks []holder.Ack) (list []*messenger.Ack) {
	for _, a := range acks {
		list = append(list, &messenger.Ack{View: a.ViewOffset, Members: a.MemberJoinOffsets})
	}
	return list
}

// encodeAttestations groups attestations by offset and rounded age.
func encodeAttestations(now time.Time, from []holder.Attestation) (list []*messenger.Attestations) {
	type group struct {
		offset uint64
		age    time.Duration
	}
	groups := map[group]*messenger.Attestations{}
	for _, a := range from {
		g := group{a.Offset, (now.Sub(a.Time) + attestationAgeStep - 1).Truncate(attestationAgeStep)}
		if groups[g] == nil {
			groups[g] = &messenger.Attestations{Offset: g.offset, AgeMicros: uint64(g.age.Microseconds())}
			list = append(list, groups[g])
		}
		groups[g].Members = append(groups[g].Members, a.MemberJoinOffset)
	}
	slices.SortFunc(list, func(a, b *messenger.Attestations) int { return cmp.Compare(a.AgeMicros, b.AgeMicros) })
	return list
}

func encodeProof(p holder.Proof) *messenger.Proof {
	m := &messenger.Proof{}
	if p.HasAge {
		age := ceilMicros(p.Age)
		m.AgeMicros = &age
	}
	if p.HasLogReadAge {
		age := ceilMicros(p.LogReadAge)
		m.ReadMicros = &age
	}
	return m
}

// ceilMicros returns d in microseconds, rounded up so that a proof never appears
// younger than it is.
func ceilMicros(d time.Duration) uint64 {
	return uint64(d.Microseconds() + 1)
}

func decodeAcks(list []*messenger.Ack) (acks []holder.Ack) {
	for _, a := range list {
		acks = append(acks, holder.Ack{ViewOffset: a.GetView(), MemberJoinOffsets: a.GetMembers()})
	}
	return acks
}

// decodeAttestations returns the sender's own attestation and those of others that
// the pulse carries.
func decodeAttestations(sentAt time.Time, p *messenger.Pulse) (list []holder.Attestation) {
	list = append(list, holder.Attestation{MemberJoinOffset: p.GetSince(), Time: sentAt, Offset: p.GetOffset()})
	for _, a := range p.GetAttestations() {
		t := sentAt.Add(-clampedDuration(a.GetAgeMicros()))
		for _, m := range a.GetMembers() {
			list = append(list, holder.Attestation{MemberJoinOffset: m, Time: t, Offset: a.GetOffset()})
		}
	}
	return list
}

func decodeProof(offset uint64, m *messenger.Proof) holder.Proof {
	p := holder.Proof{Offset: offset}
	if m != nil && m.AgeMicros != nil {
		p.Age, p.HasAge = clampedDuration(m.GetAgeMicros()), true
	}
	if m != nil && m.ReadMicros != nil {
		p.LogReadAge, p.HasLogReadAge = clampedDuration(m.GetReadMicros()), true
	}
	return p
}

// clampedDuration converts microseconds from a peer and limits them to maxDuration,
// so that no sum overflows.
func clampedDuration(micros uint64) time.Duration {
	const maxDuration = 1000 * time.Hour
	return time.Duration(min(micros, uint64(maxDuration.Microseconds()))) * time.Microsecond
}
