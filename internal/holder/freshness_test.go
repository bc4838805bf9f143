package holder

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/folder"
)

const bound = 8 * time.Second

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// fiveMembers returns the freshness of the first of five nodes, which has
// folded up to offset 5.
func fiveMembers() *Freshness {
	f := NewFreshness(Identity{Name: "node1", Incarnation: "a"}, bound)
	v := View{Offset: 5}
	for i := range 5 {
		v.Members = append(v.Members, folder.Member{Name: fmt.Sprint("node", i+1), Incarnation: "a", JoinOffset: uint64(i + 1)})
	}
	f.advance(5, v)
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
		{"log read long ago", func(f *Freshness) { f.RecordLogRead(at(0), 5) }, 8, false},
		{"log ahead", func(f *Freshness) { f.RecordLogRead(at(0), 6) }, 1, false},
		{"log behind", func(f *Freshness) { f.RecordLogRead(at(0), 4) }, 1, false},
		{"peer", func(f *Freshness) { f.RecordPeerProof(at(5), Proof{Offset: 5, Age: time.Second, HasAge: true}) }, 11.9, true},
		{"peer's proof is old", func(f *Freshness) { f.RecordPeerProof(at(5), Proof{Offset: 5, Age: time.Second, HasAge: true}) }, 12, false},
		{"peer ahead", func(f *Freshness) { f.RecordPeerProof(at(5), Proof{Offset: 6, HasAge: true}) }, 6, false},
		{"peer without proof", func(f *Freshness) { f.RecordPeerProof(at(5), Proof{Offset: 5}) }, 6, false},
		{"majority", func(f *Freshness) {
			f.RecordAttestations(Attestation{MemberJoinOffset: 2, Time: at(3), Offset: 5}, Attestation{MemberJoinOffset: 3, Time: at(4), Offset: 4})
		}, 10.9, true},
		{"majority's oldest voice counts", func(f *Freshness) {
			f.RecordAttestations(Attestation{MemberJoinOffset: 2, Time: at(3), Offset: 5}, Attestation{MemberJoinOffset: 3, Time: at(4), Offset: 4})
		}, 11, false},
		{"minority", func(f *Freshness) { f.RecordAttestations(Attestation{MemberJoinOffset: 2, Time: at(3), Offset: 5}) }, 4, false},
		{"strangers", func(f *Freshness) {
			f.RecordAttestations(Attestation{MemberJoinOffset: 8, Time: at(3), Offset: 5}, Attestation{MemberJoinOffset: 9, Time: at(3), Offset: 5})
		}, 4, false},
		{"own voice counts once", func(f *Freshness) {
			f.RecordAttestations(Attestation{MemberJoinOffset: 1, Time: at(3), Offset: 5}, Attestation{MemberJoinOffset: 2, Time: at(3), Offset: 5})
		}, 4, false},
		{"newer record seen", func(f *Freshness) {
			f.RecordAttestations(Attestation{MemberJoinOffset: 2, Time: at(3), Offset: 6}, Attestation{MemberJoinOffset: 3, Time: at(3), Offset: 5})
		}, 4, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := fiveMembers()
			tt.learn(f)
			if got := f.IsFresh(at(tt.now)); got != tt.want {
				t.Errorf("fresh: got %v, want %v", got, tt.want)
			}
		})
	}
}
