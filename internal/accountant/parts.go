package accountant

import (
	"runtime"
	"sync/atomic"
	"time"
)

const (
	// WholeBodyBytes is the size up to which a body is read into one array.
	WholeBodyBytes = 64 << 10
	// maxPartBytes bounds the parts of a larger body. A part is reserved and allocated only
	// when the parts before it are full, so a peer that announces a large body and sends
	// nothing costs one part.
	maxPartBytes = 1 << 20
	// partShareDivisor determines the size of the next part of a body: the bytes read so far
	// divided by it. At most this share of a body's memory is unused.
	partShareDivisor = 8
	// pageBytes is the unit in which the Go runtime allocates large arrays.
	pageBytes = 8 << 10
	// garbageShareDivisor determines how much memory parts may occupy that nobody holds any
	// more: the size of the account divided by it.
	garbageShareDivisor = 4
	// minPartBytes is the size from which arrays are counted. Smaller ones are left to the
	// pace of the garbage collector.
	minPartBytes = 16 << 10
	// minCollectionInterval is the minimum time from the end of a garbage collection to the
	// next one that is run for parts, as collections free nothing while all parts are held.
	minCollectionInterval = 10 * time.Millisecond
)

// partMemory is the memory that the parts of bodies occupy, from their allocation until a garbage
// collection has freed them. Released bytes of an account may be allocated again at once, while
// the arrays that held them are still there. So callers that come and go would let the memory
// grow faster than the garbage collector frees it.
type partMemory struct {
	// limitBytes is at least the size of the account.
	limitBytes    int64
	occupiedBytes atomic.Int64
	// collecting is set while a waiting goroutine runs a garbage collection. collectedAt is
	// when the last one ended, in nanoseconds since processStart.
	collecting  atomic.Bool
	collectedAt atomic.Int64
	collections atomic.Int64
}

// NextPartBytes returns the size of the next part of a body of which readBytes were read.
func NextPartBytes(readBytes int64) int64 {
	return max(WholeBodyBytes, min(maxPartBytes, readBytes/partShareDivisor)) &^ (pageBytes - 1)
}

// PartBytes returns the memory in bytes that parts of bodies occupy, those included that no
// garbage collection has freed yet.
func (a *Account) PartBytes() int64 {
	if a == nil {
		return 0
	}
	return a.parts.occupiedBytes.Load()
}

// Collections returns the number of garbage collections that were run because parts that nobody
// holds any more occupied too much memory.
func (a *Account) Collections() int64 {
	if a == nil {
		return 0
	}
	return a.parts.collections.Load()
}

// AddPart counts a part that was allocated elsewhere, and waits at most 100 ms until the parts
// occupy no more memory than they may.
func (a *Account) AddPart(part []byte) {
	if a == nil || !a.parts.add(part) {
		return
	}
	a.parts.awaitRoom(func() bool { return a.parts.occupiedBytes.Load() <= a.parts.limitBytes })
}

// AllocatePart allocates a part of a body. It waits at most 100 ms for a garbage collection if
// parts occupy too much memory, and reports whether there is enough then. The holder must have
// reserved the bytes.
func (h *Holder) AllocatePart(size int64) (part []byte, allocated bool) {
	if h.account == nil || size < minPartBytes {
		return make([]byte, size), true
	}
	m := &h.account.parts
	if !m.awaitRoom(func() bool { return m.occupy(size) }) {
		h.account.refusals.Add(1)
		return nil, false
	}
	part = make([]byte, size)
	m.freeWithGarbage(part)
	return part, true
}

// TrimPart returns the last part of a body of readBytes in all. If much of its capacity is unused,
// it returns a copy, and the number of bytes that are saved.
func (h *Holder) TrimPart(part []byte, readBytes int64) (trimmed []byte, savedBytes int64) {
	savedBytes = int64(cap(part) - len(part))
	if savedBytes <= readBytes/partShareDivisor {
		return part, 0
	}
	trimmed = make([]byte, len(part))
	copy(trimmed, part)
	if h.account != nil {
		h.account.parts.add(trimmed)
	}
	return trimmed, savedBytes
}

// add counts a part that is there already, unless it is small, and reports whether it did.
func (m *partMemory) add(part []byte) (counted bool) {
	if cap(part) < minPartBytes {
		return false
	}
	m.occupiedBytes.Add(int64(cap(part)))
	m.freeWithGarbage(part)
	return true
}

// occupy counts a part that is about to be allocated, and reports whether there is enough memory
// for it.
func (m *partMemory) occupy(size int64) bool {
	for {
		occupied := m.occupiedBytes.Load()
		if occupied+size > m.limitBytes {
			return false
		}
		if m.occupiedBytes.CompareAndSwap(occupied, occupied+size) {
			return true
		}
	}
}

// freeWithGarbage subtracts the size of a part once a garbage collection has freed it.
func (m *partMemory) freeWithGarbage(part []byte) {
	runtime.AddCleanup(&part[:1][0], func(size int64) { m.occupiedBytes.Add(-size) }, int64(cap(part)))
}

// awaitRoom runs garbage collections until hasRoom returns true, for at most about 100 ms, and
// returns its last result. Of several goroutines that wait, one runs the collection.
func (m *partMemory) awaitRoom(hasRoom func() bool) bool {
	for range maxReserveRetries {
		if hasRoom() {
			return true
		}
		m.collect()
		// The cleanups that subtract the freed parts run in the background.
		time.Sleep(reserveRetryDelay)
	}
	return hasRoom()
}

// collect runs a garbage collection, unless another goroutine does or one has just ended.
func (m *partMemory) collect() {
	if !m.collecting.CompareAndSwap(false, true) {
		return
	}
	defer m.collecting.Store(false)
	if m.collections.Load() > 0 && monotonicNanos(time.Now())-m.collectedAt.Load() < int64(minCollectionInterval) {
		return
	}
	runtime.GC()
	m.collectedAt.Store(monotonicNanos(time.Now()))
	m.collections.Add(1)
}
