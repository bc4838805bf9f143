package holder

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/folder"
)

// newBenchOwnership returns the Ownership of a fresh node among 420 members.
func newBenchOwnership(now time.Time) *Ownership {
	id := Identity{Name: "node7", Incarnation: "a"}
	o := NewOwnership(NewFreshness(id, testBound))
	s := &folder.State{}
	for i := range 420 {
		r := folder.NewRecord(folder.KindJoin)
		r.Member = &folder.Member{Name: fmt.Sprint("node", i), Incarnation: "a", PeerAddress: "p"}
		s, _ = s.Fold(uint64(i+1), r)
		o.ApplyState(now, s, 0)
	}
	o.RaiseViewFloor(s.ViewOffset)
	o.Freshness().RecordLogRead(now, s.Offset)
	return o
}

func BenchmarkIsFresh(b *testing.B) {
	o := newBenchOwnership(testStart)
	for b.Loop() {
		o.Freshness().IsFresh(testStart)
	}
}

func BenchmarkMayUse(b *testing.B) {
	o := newBenchOwnership(testStart)
	r := Resource{Name: "resource"}
	for b.Loop() {
		o.MayUse(testStart, r)
	}
}

// BenchmarkRecordAttestations measures recording the attestations of a failure
// domain of 42 members.
func BenchmarkRecordAttestations(b *testing.B) {
	o := newBenchOwnership(testStart)
	now := testStart
	for b.Loop() {
		now = now.Add(time.Millisecond)
		list := make([]Attestation, 42)
		for i := range list {
			list[i] = Attestation{MemberJoinOffset: uint64(i + 1), Time: now, Offset: 420}
		}
		o.Freshness().RecordAttestations(list...)
	}
}
