package logger

import (
	"sync/atomic"
	"time"
)

// Throttle bounds how often a log line that outsiders can cause is written. The zero value allows
// the first line. It is safe for concurrent use.
type Throttle struct {
	// allowedAt is when a line was last allowed, in nanoseconds since 1970; 0 before the first.
	allowedAt atomic.Int64
}

// Allow reports whether a line may be written at the time now: if none was within interval before.
func (t *Throttle) Allow(now time.Time, interval time.Duration) bool {
	nanos, last := now.UnixNano(), t.allowedAt.Load()
	if last != 0 && nanos-last < int64(interval) {
		return false
	}
	return t.allowedAt.CompareAndSwap(last, nanos)
}
