package retrier

import (
	"testing"
	"time"
)

// TestRetryAfterLeavesTimeForAnswer checks that the delays are spread and leave half of the
// remaining time for the answer.
func TestRetryAfterLeavesTimeForAnswer(t *testing.T) {
	tests := []struct {
		left, from, to time.Duration
	}{
		{2 * time.Second, 500 * time.Millisecond, time.Second},
		{800 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond},
		{0, 100 * time.Millisecond, 200 * time.Millisecond},
		{-time.Second, 100 * time.Millisecond, 200 * time.Millisecond},
	}
	for _, tt := range tests {
		first, last := RetryAfter(tt.left, 0), RetryAfter(tt.left, 0.999)
		if first != tt.from || last >= tt.to || last < tt.from+(tt.to-tt.from)*9/10 {
			t.Errorf("%s left: got %s to %s, want %s to just below %s", tt.left, first, last, tt.from, tt.to)
		}
	}
}
