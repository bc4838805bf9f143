package holder

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/folder"
)

const testBound = 8 * time.Second

var testStart = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return testStart.Add(time.Duration(seconds * float64(time.Second)))
}

// newFiveMemberFreshness returns the Freshness of the first of five nodes, which
// has folded all records up to offset 5.
func newFiveMemberFreshness() *Freshness {
	f := NewFreshness(Identity{Name: "node1", Incarnation: "a"}, testBound)
	v := View{Offset: 5}
	for i := range 5 {
		v.Members = append(v.Members, folder.Member{Name: fmt.Sprint("node", i+1), Incarnation: "a", JoinOffset: uint64(i + 1)})
	}
	f.applyState(5, v)
	return f
}

func TestFreshnessProofs(t *testing.T) {
	tests := []struct {
		name  string
		learn func(f *Freshness)
		now   float64
		want  bool
	}{
		{"no proof", func(*Freshness) {}, 0, false},
		{"log read", func(f *Freshness) { f.RecordLogRead(at(0), 5) }, 7.9, true},
		{"log read too old", func(f *Freshness) { f.RecordLogRead(at(0), 5) }, 8, false},
		{"log ahead", func(f *Freshness) { f.RecordLogRead(at(0), 6) }, 1, false},
		{"log behind", func(f *Freshness) { f.RecordLogRead(at(0), 4) }, 1, false},
		{"proof of a peer", func(f *Freshness) { f.RecordPeerProof(at(5), Proof{Offset: 5, Age: time.Second, HasAge: true}) }, 11.9, true},
		{"proof of a peer too old", func(f *Freshness) { f.RecordPeerProof(at(5), Proof{Offset: 5, Age: time.Second, HasAge: true}) }, 12, false},
		{"peer ahead", func(f *Freshness) { f.RecordPeerProof(at(5), Proof{Offset: 6, HasAge: true}) }, 6, false},
		{"peer without proof", func(f *Freshness) { f.RecordPeerProof(at(5), Proof{Offset: 5}) }, 6, false},
		{"majority", func(f *Freshness) {
			f.RecordAttestations(Attestation{MemberJoinOffset: 2, Time: at(3), Offset: 5}, Attestation{MemberJoinOffset: 3, Time: at(4), Offset: 4})
		}, 10.9, true},
		{"oldest attestation of a majority counts", func(f *Freshness) {
			f.RecordAttestations(Attestation{MemberJoinOffset: 2, Time: at(3), Offset: 5}, Attestation{MemberJoinOffset: 3, Time: at(4), Offset: 4})
		}, 11, false},
		{"minority", func(f *Freshness) { f.RecordAttestations(Attestation{MemberJoinOffset: 2, Time: at(3), Offset: 5}) }, 4, false},
		{"attestations from outside the view", func(f *Freshness) {
			f.RecordAttestations(Attestation{MemberJoinOffset: 8, Time: at(3), Offset: 5}, Attestation{MemberJoinOffset: 9, Time: at(3), Offset: 5})
		}, 4, false},
		{"own attestation counts once", func(f *Freshness) {
			f.RecordAttestations(Attestation{MemberJoinOffset: 1, Time: at(3), Offset: 5}, Attestation{MemberJoinOffset: 2, Time: at(3), Offset: 5})
		}, 4, false},
		{"newer record seen", func(f *Freshness) {
			f.RecordAttestations(Attestation{MemberJoinOffset: 2, Time: at(3), Offset: 6}, Attestation{MemberJoinOffset: 3, Time: at(3), Offset: 5})
		}, 4, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFiveMemberFreshness()
			tt.learn(f)
			if got := f.IsFresh(at(tt.now)); got != tt.want {
				t.Errorf("fresh: got %v, want %v", got, tt.want)
			}
		})
	}
}
