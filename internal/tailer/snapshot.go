package tailer

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/holder"
	"github.com/flamingotack/flamingotack/internal/journaler"
)

const (
	// DefaultSnapshotInterval is the default of SnapshotScheduler.Interval.
	// The log must keep records for longer than twice this time.
	DefaultSnapshotInterval = time.Hour
	// DefaultSnapshotRankDelay is the default of
	// SnapshotScheduler.RankDelay.
	DefaultSnapshotRankDelay = 10 * time.Second

	snapshotTimeout = 10 * time.Second
)

// SnapshotScheduler decides when a node writes a snapshot of the state to the
// log. A node that starts after the log trimmed old records needs a snapshot.
// Callers pass in the time.
type SnapshotScheduler struct {
	// Self identifies the local node. Only members of the view write
	// snapshots.
	Self holder.Identity
	// Interval is the maximum time between two snapshots.
	Interval time.Duration
	// RankDelay is how long each node in rendezvous order waits for the
	// node ranked before it to write a due snapshot.
	RankDelay time.Duration

	// oldestNeededOffset is the offset of the oldest record that a starting
	// node needs.
	oldestNeededOffset uint64
	// lastSnapshotAt is when the last snapshot was read from the log, or the
	// time of the first call of Due when none was.
	lastSnapshotAt time.Time
	// dueSince is when a snapshot became due, or when this node last tried
	// to write it, plus RankDelay; zero when none is due.
	dueSince time.Time
}

// Due reports whether the node should write a snapshot now. The log keeps the
// records with offsets oldest to tail.
func (s *SnapshotScheduler) Due(now time.Time, state *folder.State, oldest, tail uint64) bool {
	if s.lastSnapshotAt.IsZero() {
		s.lastSnapshotAt = now
	}
	if !s.isNeeded(now, oldest, tail) {
		s.dueSince = time.Time{}
		return false
	}
	if s.dueSince.IsZero() {
		s.dueSince = now
	}
	rank := s.writerRank(holder.ViewOf(state))
	if rank < 0 || now.Sub(s.dueSince) < time.Duration(rank)*s.RankDelay {
		return false
	}
	s.dueSince = now.Add(s.RankDelay)
	return true
}

// RecordSnapshot records that the log holds a snapshot of the state at offset.
func (s *SnapshotScheduler) RecordSnapshot(now time.Time, offset uint64) {
	s.oldestNeededOffset = max(s.oldestNeededOffset, offset+1)
	s.lastSnapshotAt = now
	s.dueSince = time.Time{}
}

// writerRank returns the position of the node in the order of snapshot writers,
// or -1 when the node is not a member of the view.
func (s *SnapshotScheduler) writerRank(v holder.View) int {
	return slices.IndexFunc(v.OwnerCandidates(holder.Resource{Name: "snapshot"}), func(m folder.Member) bool {
		return m.Name == s.Self.Name && m.Incarnation == s.Self.Incarnation
	})
}

// isNeeded reports whether the last snapshot is older than Interval, or the log
// already trims and the oldest needed record is in its older half.
func (s *SnapshotScheduler) isNeeded(now time.Time, oldest, tail uint64) bool {
	if now.Sub(s.lastSnapshotAt) >= s.Interval {
		return true
	}
	return oldest > 1 && tail > oldest && max(s.oldestNeededOffset, 1) < oldest+(tail-oldest)/2
}

// bootstrap restores the state from the newest usable snapshot, because the log
// no longer keeps the next record that the node needs.
func (t *Tailer) bootstrap(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "restore state from a snapshot") }()
	entries, err := t.readAll(ctx)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range slices.Backward(entries) {
		r, err := folder.Decode(e.Data)
		if err != nil || !r.ConnectsToLog(entries[0].Offset) {
			continue
		}
		if !t.replaceState(r.Snapshot, r.ViewFloor) {
			continue
		}
		t.recordSnapshot(r)
		for _, e := range entries {
			t.fold(e)
		}
		t.publish()
		return nil
	}
	t.Counters.HistoryGaps.Add(1)
	return errors.Newf("the log holds no usable snapshot after offset %d", t.state.Offset)
}

// readAll reads all entries that the log keeps.
func (t *Tailer) readAll(ctx context.Context) (entries []journaler.Entry, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	from := uint64(1)
	for {
		page, err := t.Log.Read(ctx, from, maxPageEntries, 0)
		var trimmed *journaler.TrimmedError
		if errors.As(err, &trimmed) {
			entries = nil
			from = trimmed.OldestOffset
			continue
		}
		if err != nil || len(page.Entries) == 0 {
			return entries, err
		}
		entries = append(entries, page.Entries...)
		from = entries[len(entries)-1].Offset + 1
	}
}

// writeSnapshotIfDue starts to write a snapshot when the node has read the log
// to its tail and a snapshot is due. The caller holds the lock.
func (t *Tailer) writeSnapshotIfDue(ctx context.Context, page journaler.Page) {
	now := t.now()
	if t.SnapshotScheduler == nil || t.state.Offset == 0 || t.state.Offset != page.TailOffset {
		return
	}
	if !t.SnapshotScheduler.Due(now, t.state, page.OldestOffset, page.TailOffset) {
		return
	}
	floor := uint64(0)
	if t.Ownership != nil {
		floor = t.Ownership.ViewFloor(now)
	}
	go t.writeSnapshot(ctx, folder.NewSnapshot(t.state, floor))
}

func (t *Tailer) writeSnapshot(ctx context.Context, r folder.Record) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	data, err := folder.Encode(r)
	if err == nil {
		_, err = t.Log.Append(ctx, data)
	}
	if err != nil {
		t.Logger.Warnf("snapshot write failed: %v", err)
		return
	}
	t.Counters.SnapshotsWritten.Add(1)
	t.Logger.Infof("snapshot written: %s", r.Snapshot)
}

// recordSnapshot records that the log holds the snapshot r. The caller holds the
// lock.
func (t *Tailer) recordSnapshot(r folder.Record) {
	if t.SnapshotScheduler != nil {
		t.SnapshotScheduler.RecordSnapshot(t.now(), r.Snapshot.Offset)
	}
	if t.Ownership != nil {
		t.Ownership.RaiseViewFloor(r.ViewFloor)
	}
}
