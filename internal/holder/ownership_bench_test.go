package holder

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/folder"
)

// benchTenure returns the tenure of a fresh node among 420.
func benchTenure(now time.Time) *Ownership {
	id := Identity{Name: "node7", Incarnation: "a"}
	t := NewOwnership(NewFreshness(id, bound))
	s := &folder.State{}
	for i := range 420 {
		r := folder.NewRecord(folder.KindJoin)
		r.Member = &folder.Member{Name: fmt.Sprint("node", i), Incarnation: "a", PeerAddress: "p"}
		s, _ = s.Fold(uint64(i+1), r)
		t.ApplyState(now, s, 0)
	}
	t.RaiseViewFloor(s.ViewOffset)
	t.Freshness().RecordLogRead(now, s.Offset)
	return t
}

func BenchmarkIsFresh(b *testing.B) {
	t := benchTenure(start)
	for b.Loop() {
		t.Freshness().IsFresh(start)
	}
}

func BenchmarkMayUse(b *testing.B) {
	t := benchTenure(start)
	r := Resource{Name: "resource"}
	for b.Loop() {
		t.MayUse(start, r)
	}
}

// BenchmarkAttest takes the attestations of a failure domain of 42 members.
func BenchmarkRecordAttestations(b *testing.B) {
	t := benchTenure(start)
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		list := make([]Attestation, 42)
		for i := range list {
			list[i] = Attestation{MemberJoinOffset: uint64(i + 1), Time: now, Offset: 420}
		}
		t.Freshness().RecordAttestations(list...)
	}
}
