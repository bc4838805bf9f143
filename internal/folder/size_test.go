package folder

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/uuid"
)

// BenchmarkSnapshot measures encoding the state of 420 members with the maximum
// number of recent records.
func BenchmarkSnapshot(b *testing.B) {
	s := &State{}
	for i := range maxRecentRecords {
		r := NewRecord(KindJoin)
		r.Member = &Member{
			Name: fmt.Sprintf("slotboard-%03d", i%420), Incarnation: uuid.NewString(), Service: "slotboard",
			Domain: "ahmedabad", Region: "gujarat", PeerAddress: "10.20.30.40:7001", AdminAddress: "10.20.30.40:7002", CallerAddress: "10.20.30.40:7003",
		}
		s, _ = s.Fold(uint64(i+1), r)
	}
	size := 0
	for b.Loop() {
		data, err := json.Marshal(s)
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "B")
}
