// Package publisher shares an immutable value that is replaced as a whole.
package publisher

import (
	"sync"
	"sync/atomic"
)

// Value holds the last published value. Reading it takes one atomic load. The
// zero Value is empty and ready for use. It is safe for concurrent use.
type Value[T any] struct {
	current atomic.Pointer[T]

	mu      sync.Mutex
	changed chan struct{}
}

// Changed returns a channel that is closed when the next value is published.
func (v *Value[T]) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.changed == nil {
		v.changed = make(chan struct{})
	}
	return v.changed
}

// Load returns the last published value; nil before the first Publish.
func (v *Value[T]) Load() *T {
	return v.current.Load()
}

// Publish replaces the value and closes the channel that Changed returned.
func (v *Value[T]) Publish(next *T) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.current.Store(next)
	if v.changed != nil {
		close(v.changed)
		v.changed = nil
	}
}
