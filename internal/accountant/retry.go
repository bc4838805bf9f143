package accountant

import "time"

const (
	// reserveRetryDelay is the pause between two reservations while evicted holders release
	// their memory, and maxReserveRetries bounds their number.
	reserveRetryDelay = 2 * time.Millisecond
	maxReserveRetries = 50
)

// ReserveWithRetry reserves bytes by a method of a holder. While evicted holders release theirs,
// it tries again for at most 100 ms. now returns the time.
func ReserveWithRetry(now func() time.Time, reserve func(now time.Time, bytes int64) Result, bytes int64) (reserved bool) {
	for range maxReserveRetries {
		switch reserve(now(), bytes) {
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
