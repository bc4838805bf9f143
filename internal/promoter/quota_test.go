package promoter

import (
	"math"
	"testing"
)

// TestQuota guards against nodes that together run more calls than the limit, and against a
// limit that is not used.
func TestQuota(t *testing.T) {
	tests := []struct {
		limit   uint64
		started []uint64
		want    uint64
	}{
		{10, nil, 10},
		{10, []uint64{0, 0}, 5},
		{10, []uint64{8, 0}, 2},
		{10, []uint64{8, 1, 0}, 1},
		{10, []uint64{12, 0}, 0},
		{10, []uint64{10, 10}, 0},
		{math.MaxUint64, []uint64{5, 7}, math.MaxUint64},
	}
	for _, tt := range tests {
		if got := Quota(tt.limit, tt.started); got != tt.want {
			t.Errorf("limit %d, started %v: got %d, want %d", tt.limit, tt.started, got, tt.want)
		}
	}
}
