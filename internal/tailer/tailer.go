// Package tailer reads the log continuously, folds its records into the state
// and publishes the state.
package tailer

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/holder"
	"github.com/flamingotack/flamingotack/internal/indexer"
	"github.com/flamingotack/flamingotack/internal/journaler"
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/publisher"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	firstRetryDelay = 100 * time.Millisecond
	// hedgeDelay is how long a read may exceed the long-poll wait before a
	// second read is sent on another connection.
	hedgeDelay    = time.Second
	maxRetryDelay = 2 * time.Second
	// minEmptyReadInterval is the minimum time from the start of a read that
	// returns no record to the next read.
	minEmptyReadInterval = 250 * time.Millisecond
	maxConcurrentReads   = 4
	maxPageEntries       = 256
	// DefaultLongPollWait is the default of Tailer.LongPollWait.
	DefaultLongPollWait = 2 * time.Second
	readTimeout         = 30 * time.Second
)

type (
	// Counters counts the reads, faults and snapshots of a Tailer.
	Counters struct {
		// FailedReads is the number of reads that failed.
		FailedReads atomic.Int64
		// HistoryGaps is the number of times that the log lacked records
		// that the node needed and held no usable snapshot.
		HistoryGaps atomic.Int64
		// ReadsSent is the number of reads sent.
		ReadsSent atomic.Int64
		// SkippedRecords is the number of records that could not be decoded.
		SkippedRecords atomic.Int64
		// SnapshotsWritten is the number of snapshots that the node wrote.
		SnapshotsWritten atomic.Int64
	}

	// Tailer follows a log. Set the exported fields before use. A Tailer is
	// safe for concurrent use.
	Tailer struct {
		// Clock provides the time. Default: the system clock.
		Clock timekeeper.Clock
		// Index receives each new state.
		Index *publisher.Value[indexer.Index]
		// Log is the platform's log.
		Log journaler.Log
		// Logger receives failures and state changes.
		Logger *logger.Logger
		// SnapshotScheduler decides when to write snapshots. Default: never.
		SnapshotScheduler *SnapshotScheduler
		// Ownership receives each state, and the log reads that prove how
		// fresh it is. Default: none.
		Ownership *holder.Ownership
		// OnStateChange is called with the state after each record, under
		// the Tailer's lock. jumped is true when the state was replaced as a
		// whole, so the records before it are unknown. Default: none.
		OnStateChange func(s *folder.State, jumped bool)
		// LongPollWait is how long a read waits for a new record. Default:
		// DefaultLongPollWait.
		LongPollWait time.Duration
		// Counters counts reads, faults and snapshots.
		Counters Counters

		mu      sync.Mutex
		state   *folder.State
		cache   entryCache
		started bool
	}

	// readResult is the outcome of one read.
	readResult struct {
		page   journaler.Page
		err    error
		sentAt time.Time
	}
)

// Run follows the log until ctx ends and returns nil. A read that takes too
// long is hedged by another one, so that a slow log or a silent connection does
// not stop it.
func (t *Tailer) Run(ctx context.Context) error {
	results := make(chan readResult, maxConcurrentReads)
	retryDelay := firstRetryDelay
	pendingReads := 0
	hedgeTimer := time.NewTimer(0)
	defer hedgeTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hedgeTimer.C:
			if pendingReads < maxConcurrentReads {
				pendingReads++
				go t.read(ctx, results)
			}
			hedgeTimer.Reset(t.longPollWait() + hedgeDelay)
		case r := <-results:
			pendingReads--
			err := t.handleRead(ctx, r)
			if ctx.Err() != nil {
				return nil
			}
			if err == nil {
				retryDelay = firstRetryDelay
				hedgeTimer.Reset(t.nextReadDelay(r))
				continue
			}
			t.Counters.FailedReads.Add(1)
			t.Logger.Warnf("log read failed: %v", err)
			hedgeTimer.Reset(retryDelay/2 + rand.N(retryDelay/2))
			retryDelay = min(2*retryDelay, maxRetryDelay)
		}
	}
}

// State returns the folded state, which is empty before the first record.
func (t *Tailer) State() *folder.State {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initState()
	return t.state
}

// Entries returns at most limit log entries, beginning at offset from. trimmed
// is true when the node no longer caches them.
func (t *Tailer) Entries(from uint64, limit int) (entries []journaler.Entry, trimmed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cache.entriesFrom(from, limit)
}

// Restore replaces the state by one that peers sent, unless that one is not
// newer. floor is the view floor that came with it. replaced reports whether the
// state was replaced.
func (t *Tailer) Restore(s *folder.State, floor uint64) (replaced bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initState()
	if !t.replaceState(s, floor) {
		return false
	}
	t.publish()
	return true
}

// ApplyEntries folds entries that a peer sent. It skips each entry that does not
// directly follow the last folded record.
func (t *Tailer) ApplyEntries(entries []journaler.Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initState()
	previousState := t.state
	for _, e := range entries {
		if e.Offset == t.state.Offset+1 {
			t.fold(e)
		}
	}
	if t.state != previousState {
		t.publish()
	}
}

// fold folds the entry into the state, and skips a record that can't be
// decoded. The caller holds the lock.
func (t *Tailer) fold(e journaler.Entry) {
	if e.Offset <= t.state.Offset {
		return
	}
	t.cache.add(e)
	r, err := folder.Decode(e.Data)
	if err != nil {
		t.Counters.SkippedRecords.Add(1)
		t.Logger.Errorf("skipped record at offset %d: %v", e.Offset, err)
		t.state = t.state.Skip(e.Offset)
		t.notifyStateChange(0)
		return
	}
	departedOffset := t.departedJoinOffset(r)
	next, outcome := t.state.Fold(e.Offset, r)
	t.state = next
	t.notifyStateChange(departedOffset)
	if r.Kind == folder.KindSnapshot {
		t.recordSnapshot(r)
	}
	t.Logger.Debugf("folded %s record at offset %d: %s", r.Kind, e.Offset, outcome)
}

// notifyStateChange passes the state on after one record. departedOffset is the
// join offset of the member that left with the record, or 0. The caller holds
// the lock.
func (t *Tailer) notifyStateChange(departedOffset uint64) {
	if t.Ownership != nil {
		t.Ownership.ApplyState(t.now(), t.state, departedOffset)
	}
	if t.OnStateChange != nil {
		t.OnStateChange(t.state, false)
	}
}

// replaceState replaces the state as a whole, unless s is not newer or has an
// older version or view. The caller holds the lock.
func (t *Tailer) replaceState(s *folder.State, floor uint64) (replaced bool) {
	if s.Offset <= t.state.Offset || s.ConfigVersion < t.state.ConfigVersion || s.ViewOffset < t.state.ViewOffset {
		return false
	}
	t.state = s
	t.cache.clear()
	if t.Ownership != nil {
		t.Ownership.RaiseViewFloor(floor)
		t.Ownership.JumpToState(t.now(), s)
	}
	if t.OnStateChange != nil {
		t.OnStateChange(s, true)
	}
	t.Logger.Infof("state replaced: %s", s)
	return true
}

// departedJoinOffset returns the join offset of the member that leaves with r,
// or 0 when none does.
func (t *Tailer) departedJoinOffset(r folder.Record) uint64 {
	if r.Kind != folder.KindLeave {
		return 0
	}
	m, found := t.state.Member(r.Member.Name)
	if !found || m.Incarnation != r.Member.Incarnation {
		return 0
	}
	return m.JoinOffset
}

func (t *Tailer) now() time.Time {
	if t.Clock == nil {
		return time.Now()
	}
	return t.Clock.Now()
}

// publish publishes the state as the one in force. The caller holds the lock.
func (t *Tailer) publish() {
	t.Index.Publish(indexer.New(t.state))
}

func (t *Tailer) read(ctx context.Context, results chan<- readResult) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	t.Counters.ReadsSent.Add(1)
	r := readResult{sentAt: t.now()}
	r.page, r.err = t.Log.Read(ctx, t.State().Offset+1, maxPageEntries, t.longPollWait())
	results <- r
}

// nextReadDelay returns how long to wait before the next read. It prevents a
// busy loop when the log returns no records at once instead of waiting for one.
func (t *Tailer) nextReadDelay(r readResult) time.Duration {
	if len(r.page.Entries) > 0 {
		return 0
	}
	return max(0, minEmptyReadInterval-t.now().Sub(r.sentAt))
}

// initState sets an empty state at its first call. The caller holds the lock.
func (t *Tailer) initState() {
	if !t.started {
		t.started = true
		t.state = &folder.State{}
	}
}

// handleRead folds the entries of a read and publishes the state. When the log
// no longer keeps the wanted entries, it restores the state from a snapshot.
func (t *Tailer) handleRead(ctx context.Context, r readResult) error {
	var trimmed *journaler.TrimmedError
	if errors.As(r.err, &trimmed) {
		return t.bootstrap(ctx)
	}
	if r.err != nil {
		return r.err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	previousState := t.state
	for _, e := range r.page.Entries {
		t.fold(e)
	}
	if t.Index.Load() == nil || t.state != previousState {
		t.publish()
	}
	t.recordLogRead(r)
	t.writeSnapshotIfDue(ctx, r.page)
	return nil
}

// recordLogRead passes on the tail offset of a read, which proves how fresh the
// state is.
func (t *Tailer) recordLogRead(r readResult) {
	if r.page.TailOffset < t.state.Offset && len(r.page.Entries) == 0 {
		t.Logger.Debugf("log tail %d is below folded offset %d", r.page.TailOffset, t.state.Offset)
	}
	if t.Ownership != nil {
		t.Ownership.Freshness().RecordLogRead(r.sentAt, r.page.TailOffset)
	}
}

func (t *Tailer) longPollWait() time.Duration {
	return cmp.Or(t.LongPollWait, DefaultLongPollWait)
}
