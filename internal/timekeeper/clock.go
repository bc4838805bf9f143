// Package timekeeper provides clocks, so that tests can control the time that
// decisions depend on.
package timekeeper

import (
	"context"
	"sync"
	"time"
)

type (
	// Clock returns the current time. Its readings include a monotonic clock
	// reading, so the difference of two of them does not jump when the wall
	// clock is set.
	Clock interface {
		// Now returns the current time.
		Now() time.Time
	}

	// ManualClock is a Clock that only Advance moves. It is safe for concurrent
	// use.
	ManualClock struct {
		mu  sync.Mutex
		now time.Time
	}

	// SystemClock is the Clock of the operating system.
	SystemClock struct{}
)

// NewManualClock returns a ManualClock set to start.
func NewManualClock(start time.Time) *ManualClock {
	return &ManualClock{now: start}
}

// Sleep waits for d by the clock of the operating system. It returns early and
// reports false if ctx ends first.
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

// Now returns the time to which m is set.
func (m *ManualClock) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Now returns the current time.
func (SystemClock) Now() time.Time {
	return time.Now()
}
