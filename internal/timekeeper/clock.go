// Package timekeeper supplies the time, so that decisions can run against a
// clock that a test moves.
package timekeeper

import (
	"context"
	"sync"
	"time"
)

type (
	// Clock tells the time. Readings carry a monotonic part, so differences
	// between two of them do not jump when the wall clock is set.
	Clock interface {
		// Now returns the present time.
		Now() time.Time
	}

	// Manual is a Clock that stands still until it is moved. It is safe for
	// concurrent use.
	ManualClock struct {
		mu  sync.Mutex
		now time.Time
	}

	// System is the Clock of the operating system.
	SystemClock struct{}
)

// NewManual returns a Manual that stands at start.
func NewManualClock(start time.Time) *ManualClock {
	return &ManualClock{now: start}
}

// Sleep waits for d by the clock of the operating system and reports whether
// ctx lived on.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Advance moves m forward by d.
func (m *ManualClock) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
}

// Now returns the time at which m stands.
func (m *ManualClock) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Now returns the present time.
func (SystemClock) Now() time.Time {
	return time.Now()
}
