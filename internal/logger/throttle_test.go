package logger

import (
	"testing"
	"time"
)

// TestThrottleAllowsOneLinePerInterval guards against log lines without bound, and against lines
// that are never written.
func TestThrottleAllowsOneLinePerInterval(t *testing.T) {
	var throttle Throttle
	start := time.Unix(1, 0)
	for _, tt := range []struct {
		after time.Duration
		want  bool
	}{
		{0, true},
		{time.Second - 1, false},
		{time.Second, true},
		{2*time.Second - 1, false},
		{time.Minute, true},
	} {
		if got := throttle.Allow(start.Add(tt.after), time.Second); got != tt.want {
			t.Errorf("after %s: got %t, want %t", tt.after, got, tt.want)
		}
	}
}
