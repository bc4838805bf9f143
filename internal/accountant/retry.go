package accountant

import "time"

const (
	// reserveRetryDelay is the pause between two reservations while evicted holders release
	// their memory, and maxReserveRetries bounds their number.
	reserveRetryDelay = 2 * time.Millisecond
	maxReserveRetries = 50
)

// ReserveWithRetry reserves bytes. While evicted holders release theirs, it tries again for at
// most 100 ms. now returns the time.
func ReserveWithRetry(now func() time.Time, h *Holder, bytes int64) (reserved bool) {
	for range maxReserveRetries {
		switch h.Reserve(now(), bytes) {
		case Granted:
			return true
		case Refused:
			return false
		case Pending:
			time.Sleep(reserveRetryDelay)
		}
	}
	return false
}
