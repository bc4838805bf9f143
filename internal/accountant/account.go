// Package accountant bounds the memory that requests and answers hold on a node. Bytes are
// reserved in one account before they are allocated. When the account is short, the holders
// that have waited longest for their peer without progress are evicted.
package accountant

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// SmallBytes is the most that a holder has reserved in total while it counts as small.
	// An ordinary head and the first 64 KiB of a body fit.
	SmallBytes = 128 << 10
	// smallShareDivisor determines the share of the account that only small holders may
	// use: the size divided by it.
	smallShareDivisor = 8
	// minStallTime is how long a holder must have made no progress before it is evicted, so
	// that callers that send at full speed do not evict each other.
	minStallTime = 500 * time.Millisecond
	// minScanInterval is the minimum time between two searches for holders to evict. A
	// search visits all holders.
	minScanInterval = 5 * time.Millisecond
	// maxReleaseTime is how long the bytes of a holder count as being released after its
	// eviction. What it holds then belongs to requests that run or to answers, and does not
	// keep others from being evicted.
	maxReleaseTime = 100 * time.Millisecond
	// evictionReserveDivisor determines how much more than needed an eviction frees: the
	// size divided by it. This keeps evictions rare.
	evictionReserveDivisor = 16
)

// Results of a reservation.
const (
	// Granted says that the bytes are reserved.
	Granted Result = iota
	// Pending says that nothing is reserved, but evicted holders are about to release
	// bytes, so that a reservation in a moment may be granted.
	Pending
	// Refused says that nothing is reserved.
	Refused
)

// processStart is the origin of monotonic times, which do not follow steps of the wall clock.
var processStart = time.Now()

type (
	// Account is the memory account of a node. A nil Account grants everything and counts
	// nothing. It is safe for concurrent use.
	Account struct {
		sizeBytes, smallShareBytes int64
		usedBytes                  atomic.Int64
		evictions, refusals        atomic.Int64
		parts                      partMemory

		mu      sync.Mutex
		holders map[*Holder]struct{}
		// scannedAt is when holders to evict were last searched. releasingBytes is what
		// the holders that were evicted at most maxReleaseTime before had not released then.
		scannedAt      time.Time
		releasingBytes int64
	}

	// Holder holds bytes of the account for one connection. The zero value has no account
	// and is granted everything. It is safe for concurrent use.
	Holder struct {
		account   *Account
		evict     func()
		heldBytes atomic.Int64
		// peerWaits counts the operations that wait for the peer. The holder may be evicted
		// while it is not 0.
		peerWaits atomic.Int32
		// progressAt is when the peer last made progress, in nanoseconds since
		// processStart.
		progressAt atomic.Int64
		evicted    atomic.Bool
		// evictedAt is when the holder was last evicted. The account's lock guards it.
		evictedAt time.Time
	}

	// Result is the result of a reservation.
	Result int

	// stalledHolder is a holder that may be evicted, as a search has found it.
	stalledHolder struct {
		holder *Holder
		// progressAt is in nanoseconds since processStart.
		progressAt, bytes int64
	}
)

// New returns an account of the given size in bytes.
func New(sizeBytes int64) *Account {
	return &Account{
		sizeBytes:       sizeBytes,
		smallShareBytes: sizeBytes / smallShareDivisor,
		parts:           partMemory{limitBytes: sizeBytes + sizeBytes/garbageShareDivisor},
		holders:         map[*Holder]struct{}{},
	}
}

// Evictions returns the number of holders that were evicted.
func (a *Account) Evictions() int64 {
	if a == nil {
		return 0
	}
	return a.evictions.Load()
}

// Refusals returns the number of reservations that were not granted. A reservation that is
// tried again counts each time.
func (a *Account) Refusals() int64 {
	if a == nil {
		return 0
	}
	return a.refusals.Load()
}

// Register prepares a holder for use. evict is called with the account locked: it must return
// at once, must not use the account, and makes the owner end the wait for the peer and release
// the bytes of what is received or sent. It is called again if the holder still holds bytes and
// waits for its peer without progress. A holder without evict is never evicted.
func (a *Account) Register(h *Holder, evict func()) {
	h.account, h.evict = a, evict
	if a == nil || evict == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holders[h] = struct{}{}
}

// SizeBytes returns the size of the account.
func (a *Account) SizeBytes() int64 {
	if a == nil {
		return 0
	}
	return a.sizeBytes
}

// Unregister makes sure that a holder is not evicted any more. Bytes that it still holds stay
// reserved until it releases them.
func (a *Account) Unregister(h *Holder) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.holders, h)
}

// UsedBytes returns the number of bytes that are reserved.
func (a *Account) UsedBytes() int64 {
	if a == nil {
		return 0
	}
	return a.usedBytes.Load()
}

// Evicted reports whether the holder was evicted. It gets no more bytes for requests then.
func (h *Holder) Evicted() bool {
	return h.evicted.Load()
}

// HeldBytes returns the number of bytes that the holder has reserved.
func (h *Holder) HeldBytes() int64 {
	return h.heldBytes.Load()
}

// StartPeerWait records that the holder waits for its peer from now on.
func (h *Holder) StartPeerWait(now time.Time) {
	h.progressAt.Store(monotonicNanos(now))
	h.peerWaits.Add(1)
}

// EndPeerWait ends a wait that StartPeerWait has started.
func (h *Holder) EndPeerWait() {
	h.peerWaits.Add(-1)
}

// RecordProgress records that the peer has sent or received data.
func (h *Holder) RecordProgress(now time.Time) {
	h.progressAt.Store(monotonicNanos(now))
}

// Release gives back bytes that Reserve has granted.
func (h *Holder) Release(bytes int64) {
	if h.account == nil || bytes == 0 {
		return
	}
	// In this order, bytes that are free never count as used and held by nobody, which would
	// refuse a reservation for which they suffice.
	h.account.usedBytes.Add(-bytes)
	h.heldBytes.Add(-bytes)
}

// Transfer passes reserved bytes to another holder of the same account.
func (h *Holder) Transfer(to *Holder, bytes int64) {
	if h.account == nil {
		return
	}
	h.heldBytes.Add(-bytes)
	to.heldBytes.Add(bytes)
}

// Reserve reserves bytes of a request that is received. If the account is short, it evicts other
// holders. It grants nothing to an evicted holder.
func (h *Holder) Reserve(now time.Time, bytes int64) Result {
	if h.evicted.Load() && bytes > 0 {
		return Refused
	}
	return h.ReserveAnswer(now, bytes)
}

// ReserveAnswer reserves bytes of the answer to a request that has run. Unlike Reserve, it does so
// for an evicted holder too: the eviction concerns another request of it that stalls.
func (h *Holder) ReserveAnswer(now time.Time, bytes int64) Result {
	a := h.account
	if a == nil || bytes <= 0 {
		return Granted
	}
	limitBytes := a.sizeBytes
	if h.heldBytes.Load()+bytes > SmallBytes {
		limitBytes -= a.smallShareBytes
	}
	for {
		used := a.usedBytes.Load()
		if used+bytes > limitBytes {
			a.refusals.Add(1)
			switch {
			case bytes > limitBytes:
				return Refused
			case a.evictStalled(now, used+bytes-limitBytes):
				return Pending
			case a.usedBytes.Load()+bytes > limitBytes:
				return Refused
			}
			// Evicted holders have released enough in the meantime.
			continue
		}
		if a.usedBytes.CompareAndSwap(used, used+bytes) {
			h.heldBytes.Add(bytes)
			return Granted
		}
	}
}

// EvictStalled evicts up to count holders, those that have waited longest without progress, and
// returns their number. A nil Account evicts none.
func (a *Account) EvictStalled(now time.Time, count int) (evicted int) {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.scannedAt) < minScanInterval {
		return 0
	}
	for _, s := range a.scan(now) {
		if evicted == count {
			break
		}
		a.evict(now, s)
		evicted++
	}
	return evicted
}

// evictStalled evicts the holders that have waited longest without progress, until those
// evicted hold the needed bytes. It reports whether evicted holders are about to release
// bytes.
func (a *Account) evictStalled(now time.Time, neededBytes int64) (pending bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.scannedAt) < minScanInterval {
		return a.releasingBytes > 0
	}
	stalled := a.scan(now)
	if a.releasingBytes >= neededBytes {
		return true
	}
	neededBytes += a.sizeBytes / evictionReserveDivisor
	for _, s := range stalled {
		if a.releasingBytes >= neededBytes {
			break
		}
		a.evict(now, s)
	}
	return a.releasingBytes > 0
}

// scan returns the holders that may be evicted, the longest without progress first, and sets
// releasingBytes. The caller holds the lock.
func (a *Account) scan(now time.Time) (stalled []stalledHolder) {
	a.scannedAt, a.releasingBytes = now, 0
	for h := range a.holders {
		progressAt, bytes := h.progressAt.Load(), h.heldBytes.Load()
		switch {
		case bytes == 0:
		case h.evicted.Load() && now.Sub(h.evictedAt) < maxReleaseTime:
			a.releasingBytes += bytes
		case h.peerWaits.Load() > 0 && monotonicNanos(now)-progressAt >= int64(minStallTime):
			stalled = append(stalled, stalledHolder{holder: h, progressAt: progressAt, bytes: bytes})
		}
	}
	slices.SortFunc(stalled, func(x, y stalledHolder) int { return cmp.Compare(x.progressAt, y.progressAt) })
	return stalled
}

// evict evicts a holder. The caller holds the lock.
func (a *Account) evict(now time.Time, s stalledHolder) {
	s.holder.evictedAt = now
	s.holder.evicted.Store(true)
	s.holder.evict()
	a.evictions.Add(1)
	a.releasingBytes += s.bytes
}

// monotonicNanos returns the nanoseconds from processStart to t, by the monotonic clock if t has a
// reading of it.
func monotonicNanos(t time.Time) int64 {
	return int64(t.Sub(processStart))
}
