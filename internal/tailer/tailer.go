// Package tailer follows the log and publishes the folded state.
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
	firstDelay = 100 * time.Millisecond
	// hedgeDelay is how long a read may take beyond its wait before another
	// one is sent beside it, on another connection.
	hedgeDelay = time.Second
	maxDelay   = 2 * time.Second
	// minPeriod is the least time between two reads that bring nothing.
	minPeriod   = 250 * time.Millisecond
	maxReads    = 4
	pageEntries = 256
	// DefaultWait is how long a read waits for a new record.
	DefaultLongPollWait = 2 * time.Second
	readTimeout         = 30 * time.Second
)

type (
	// Counts tells what a Tailer has done.
	Counters struct {
		// Failed is the number of reads that failed.
		FailedReads atomic.Int64
		// Lost is the number of times that the log lacked what the node
		// needed.
		HistoryGaps atomic.Int64
		// Reads is the number of reads sent.
		ReadsSent atomic.Int64
		// Skipped is the number of records that could not be read.
		SkippedRecords atomic.Int64
		// Snapshots is the number of snapshots that the node has written.
		SnapshotsWritten atomic.Int64
	}

	// Tailer follows a log. Its exported fields are set before use. It is
	// safe for concurrent use.
	Tailer struct {
		// Clock tells the time. Default: the system's clock.
		Clock timekeeper.Clock
		// Index takes each new state.
		Index *publisher.Value[indexer.Index]
		// Log is the platform's log.
		Log journaler.Log
		// Logger takes what goes wrong.
		Logger *logger.Logger
		// Snapshots tells when to write snapshots. Default: never.
		SnapshotScheduler *SnapshotScheduler
		// Tenure learns each state and the proofs that it is the newest.
		// Default: none.
		Tenure *holder.Tenure
		// Follow takes the state after each record. jumped is set when
		// records before it are not known. Default: nothing.
		OnStateChange func(s *folder.State, jumped bool)
		// Wait is how long a read waits for a new record. Default:
		// DefaultWait.
		LongPollWait time.Duration
		// Counts tells what the Tailer has done.
		Counters Counters

		mu      sync.Mutex
		state   *folder.State
		recent  recent
		started bool
	}

	// result is the outcome of one read.
	result struct {
		page journaler.Page
		err  error
		sent time.Time
	}
)

// Run follows the log until ctx ends. Reads that take too long are joined by
// others, so a slow log or a silent connection doesn't hold it up.
func (t *Tailer) Run(ctx context.Context) error {
	results := make(chan result, maxReads)
	delay := firstDelay
	reads := 0
	hedge := time.NewTimer(0)
	defer hedge.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hedge.C:
			if reads < maxReads {
				reads++
				go t.read(ctx, results)
			}
			hedge.Reset(t.wait() + hedgeDelay)
		case r := <-results:
			reads--
			err := t.take(ctx, r)
			if ctx.Err() != nil {
				return nil
			}
			if err == nil {
				delay = firstDelay
				hedge.Reset(t.rest(r))
				continue
			}
			t.Counters.FailedReads.Add(1)
			t.Logger.Warnf("Can't read the log: %v.", err)
			hedge.Reset(delay/2 + rand.N(delay/2))
			delay = min(2*delay, maxDelay)
		}
	}
}

// State returns the folded state; an empty one before the first record.
func (t *Tailer) State() *folder.State {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.start()
	return t.state
}

// Entries returns at most limit records from an offset on. trimmed is set when
// the node doesn't keep them any more.
func (t *Tailer) Entries(from uint64, limit int) (entries []journaler.Entry, trimmed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recent.from(from, limit)
}

// Restore takes a state that peers gave. It changes nothing when the state is
// not newer.
func (t *Tailer) Restore(s *folder.State, floor uint64) (taken bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.start()
	if !t.jump(s, floor) {
		return false
	}
	t.publish()
	return true
}

// Take folds records that a peer gave. They must follow the folded ones.
func (t *Tailer) ApplyEntries(entries []journaler.Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.start()
	before := t.state
	for _, e := range entries {
		if e.Offset == t.state.Offset+1 {
			t.fold(e)
		}
	}
	if t.state != before {
		t.publish()
	}
}

// fold folds the entry. The caller holds the lock.
func (t *Tailer) fold(e journaler.Entry) {
	if e.Offset <= t.state.Offset {
		return
	}
	t.recent.add(e)
	r, err := folder.Decode(e.Data)
	if err != nil {
		t.Counters.SkippedRecords.Add(1)
		t.Logger.Errorf("Skipped the record at offset %d: %v.", e.Offset, err)
		t.state = t.state.Skip(e.Offset)
		t.advance(0)
		return
	}
	left := t.leaver(r)
	next, outcome := t.state.Fold(e.Offset, r)
	t.state = next
	t.advance(left)
	if r.Kind == folder.KindSnapshot {
		t.snapshotSeen(r)
	}
	t.Logger.Debugf("Folded the %s record at offset %d: %s.", r.Kind, e.Offset, outcome)
}

func (t *Tailer) advance(left uint64) {
	if t.Tenure != nil {
		t.Tenure.Advance(t.now(), t.state, left)
	}
	if t.OnStateChange != nil {
		t.OnStateChange(t.state, false)
	}
}

// jump takes a state as a whole. The caller holds the lock.
func (t *Tailer) jump(s *folder.State, floor uint64) (taken bool) {
	if s.Offset <= t.state.Offset || s.Version < t.state.Version || s.View < t.state.View {
		return false
	}
	t.state = s
	t.recent.clear()
	if t.Tenure != nil {
		t.Tenure.Lapsed(floor)
		t.Tenure.Jump(t.now(), s)
	}
	if t.OnStateChange != nil {
		t.OnStateChange(s, true)
	}
	t.Logger.Infof("Took a whole state: %s.", s)
	return true
}

// leaver returns the join offset of the member that r says has left, or 0.
func (t *Tailer) leaver(r folder.Record) uint64 {
	if r.Kind != folder.KindLeave {
		return 0
	}
	m, found := t.state.Member(r.Member.Name)
	if !found || m.Incarnation != r.Member.Incarnation {
		return 0
	}
	return m.Since
}

func (t *Tailer) now() time.Time {
	if t.Clock == nil {
		return time.Now()
	}
	return t.Clock.Now()
}

// publish makes the state the one in force. The caller holds the lock.
func (t *Tailer) publish() {
	t.Index.Publish(indexer.New(t.state))
}

func (t *Tailer) read(ctx context.Context, results chan<- result) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	t.Counters.ReadsSent.Add(1)
	r := result{sent: t.now()}
	r.page, r.err = t.Log.Read(ctx, t.State().Offset+1, pageEntries, t.wait())
	results <- r
}

// rest returns how long to wait before the next read. A log that answers at
// once without records, in place of waiting for them, is not asked in a loop.
func (t *Tailer) rest(r result) time.Duration {
	if len(r.page.Entries) > 0 {
		return 0
	}
	return max(0, minPeriod-t.now().Sub(r.sent))
}

func (t *Tailer) start() {
	if !t.started {
		t.started = true
		t.state = &folder.State{}
	}
}

// take folds what a read has returned.
func (t *Tailer) take(ctx context.Context, r result) error {
	var trimmed *journaler.TrimmedError
	if errors.As(r.err, &trimmed) {
		return t.bootstrap(ctx)
	}
	if r.err != nil {
		return r.err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.state
	for _, e := range r.page.Entries {
		t.fold(e)
	}
	if t.Index.Load() == nil || t.state != before {
		t.publish()
	}
	t.prove(r)
	t.consider(ctx, r.page)
	return nil
}

// prove tells what a read says about the newest record.
func (t *Tailer) prove(r result) {
	if r.page.TailOffset < t.state.Offset && len(r.page.Entries) == 0 {
		t.Logger.Debugf("The log's tail %d is below the folded offset %d.", r.page.TailOffset, t.state.Offset)
	}
	if t.Tenure != nil {
		t.Tenure.Freshness().Read(r.sent, r.page.TailOffset)
	}
}

func (t *Tailer) wait() time.Duration {
	return cmp.Or(t.LongPollWait, DefaultLongPollWait)
}
