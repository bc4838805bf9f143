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
	// DefaultSnapshotInterval is the longest time between two snapshots. The
	// log must keep records for longer than twice this time.
	DefaultSnapshotInterval = time.Hour
	// DefaultSnapshotDelay is how long each next node waits for the one
	// before it to write a snapshot.
	DefaultSnapshotRankDelay = 10 * time.Second

	snapshotTimeout = 10 * time.Second
)

// Snapshots decides when a node writes a snapshot of the state, so that a node
// can start after the log has trimmed the records. It has no clock of its own.
type SnapshotScheduler struct {
	// Self names the node. Only a member of the view writes snapshots.
	Self holder.Identity
	// Interval is the longest time between two snapshots.
	Interval time.Duration
	// Delay is how long each next node in rendezvous order waits.
	RankDelay time.Duration

	// needed is the offset of the oldest record that a starting node needs.
	needed uint64
	// seen is when the last snapshot came, or the node began to follow.
	seen time.Time
	// due is since when a snapshot is wanted; zero when none is.
	due time.Time
}

// Due reports whether the node shall write a snapshot now, when the log keeps
// the records from oldest to tail.
func (s *SnapshotScheduler) Due(now time.Time, state *folder.State, oldest, tail uint64) bool {
	if s.seen.IsZero() {
		s.seen = now
	}
	if !s.wanted(now, oldest, tail) {
		s.due = time.Time{}
		return false
	}
	if s.due.IsZero() {
		s.due = now
	}
	rank := s.rank(holder.ViewOf(state))
	if rank < 0 || now.Sub(s.due) < time.Duration(rank)*s.RankDelay {
		return false
	}
	s.due = now.Add(s.RankDelay)
	return true
}

// Seen tells that a snapshot of the state at that offset is in the log.
func (s *SnapshotScheduler) RecordSnapshot(now time.Time, offset uint64) {
	s.needed = max(s.needed, offset+1)
	s.seen = now
	s.due = time.Time{}
}

// rank is the node's place in the order of writers; -1 outside the view.
func (s *SnapshotScheduler) rank(v holder.View) int {
	return slices.IndexFunc(v.Order(holder.Resource{Name: "snapshot"}), func(m folder.Member) bool {
		return m.Name == s.Self.Name && m.Incarnation == s.Self.Incarnation
	})
}

// wanted reports whether the oldest needed record is in the older half of the
// log, which trims already, or the last snapshot is old.
func (s *SnapshotScheduler) wanted(now time.Time, oldest, tail uint64) bool {
	if now.Sub(s.seen) >= s.Interval {
		return true
	}
	return oldest > 1 && tail > oldest && max(s.needed, 1) < oldest+(tail-oldest)/2
}

// bootstrap starts from the newest snapshot of a log that lacks the records
// that the node needs.
func (t *Tailer) bootstrap(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "start from a snapshot") }()
	entries, err := t.readAll(ctx)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range slices.Backward(entries) {
		r, err := folder.Decode(e.Data)
		if err != nil || !r.Bridges(entries[0].Offset) {
			continue
		}
		if !t.jump(r.Snapshot, r.Floor) {
			continue
		}
		t.snapshotSeen(r)
		for _, e := range entries {
			t.fold(e)
		}
		t.publish()
		return nil
	}
	t.Counters.HistoryGaps.Add(1)
	return errors.Newf("the log holds no usable snapshot after offset %d", t.state.Offset)
}

// readAll reads all that the log keeps.
func (t *Tailer) readAll(ctx context.Context) (entries []journaler.Entry, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	from := uint64(1)
	for {
		page, err := t.Log.Read(ctx, from, pageEntries, 0)
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

// consider writes a snapshot when one is due. The caller holds the lock.
func (t *Tailer) consider(ctx context.Context, page journaler.Page) {
	now := t.now()
	if t.SnapshotScheduler == nil || t.state.Offset == 0 || t.state.Offset != page.TailOffset {
		return
	}
	if !t.SnapshotScheduler.Due(now, t.state, page.OldestOffset, page.TailOffset) {
		return
	}
	floor := uint64(0)
	if t.Tenure != nil {
		floor = t.Tenure.Floor(now)
	}
	go t.snapshot(ctx, folder.NewSnapshot(t.state, floor))
}

func (t *Tailer) snapshot(ctx context.Context, r folder.Record) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	data, err := folder.Encode(r)
	if err == nil {
		_, err = t.Log.Append(ctx, data)
	}
	if err != nil {
		t.Logger.Warnf("Can't write a snapshot: %v.", err)
		return
	}
	t.Counters.SnapshotsWritten.Add(1)
	t.Logger.Infof("Wrote a snapshot: %s.", r.Snapshot)
}

func (t *Tailer) snapshotSeen(r folder.Record) {
	if t.SnapshotScheduler != nil {
		t.SnapshotScheduler.RecordSnapshot(t.now(), r.Snapshot.Offset)
	}
	if t.Tenure != nil {
		t.Tenure.Lapsed(r.Floor)
	}
}
