package tailer

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/holder"
	"github.com/flamingotack/flamingotack/internal/indexer"
	"github.com/flamingotack/flamingotack/internal/journaler"
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/publisher"
)

const testTimeout = 20 * time.Second

// stuckLog does not answer its first reads before their context ends, as on a
// silent connection.
type stuckLog struct {
	*journaler.MemoryLog

	stuckReads atomic.Int64
}

// Read blocks while stuck reads are left and otherwise reads the log.
func (l *stuckLog) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (journaler.Page, error) {
	if l.stuckReads.Add(-1) >= 0 {
		<-ctx.Done()
		return journaler.Page{}, ctx.Err()
	}
	return l.MemoryLog.Read(ctx, from, limit, wait)
}

func newTailer(log journaler.Log) *Tailer {
	return &Tailer{
		Index:        &publisher.Value[indexer.Index]{},
		Log:          log,
		Logger:       logger.New(io.Discard, "error", "test"),
		LongPollWait: 50 * time.Millisecond,
	}
}

func appendRecord(t *testing.T, log journaler.Log, r folder.Record) {
	t.Helper()
	data, err := folder.Encode(r)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := log.Append(t.Context(), data); err != nil {
		t.Fatal(err)
	}
}

func joinRecord(i int) folder.Record {
	r := folder.NewRecord(folder.KindJoin)
	r.Member = &folder.Member{Name: fmt.Sprint("node", i), Incarnation: "a", PeerAddress: "p"}
	return r
}

func waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("waited %s for: %s", testTimeout, what)
		}
	}
}

func TestStuckReadIsHedged(t *testing.T) {
	log := &stuckLog{MemoryLog: journaler.NewMemoryLog()}
	log.stuckReads.Store(maxConcurrentReads - 1)
	appendRecord(t, log, joinRecord(1))
	tl := newTailer(log)
	go func() { _ = tl.Run(t.Context()) }()
	waitUntil(t, "record folded", func() bool { return tl.State().Offset == 1 })
}

func TestTrimmedLogWithoutSnapshotIsCounted(t *testing.T) {
	log := journaler.NewMemoryLog()
	for i := range 5 {
		appendRecord(t, log, joinRecord(i))
	}
	log.Trim(4)
	tl := newTailer(log)
	go func() { _ = tl.Run(t.Context()) }()
	waitUntil(t, "history gap counted", func() bool { return tl.Counters.HistoryGaps.Load() > 0 })
	if got := tl.State().Offset; got != 0 {
		t.Errorf("offset: got %d, want 0", got)
	}
}

func TestStateNeverReverts(t *testing.T) {
	log := journaler.NewMemoryLog()
	tl := newTailer(log)
	var entries []journaler.Entry
	for i := range 4 {
		data, err := folder.Encode(joinRecord(i))
		if err != nil {
			t.Fatal(err)
		}
		entries = append(entries, journaler.Entry{Offset: uint64(i + 1), Data: data})
	}
	tl.ApplyEntries(entries[1:])
	if got := tl.State().Offset; got != 0 {
		t.Errorf("offset after records with a gap: got %d, want 0", got)
	}
	tl.ApplyEntries(entries[:3])
	old := tl.State()
	tl.ApplyEntries(entries)
	if tl.Restore(old, 0) || tl.State().Offset != 4 {
		t.Errorf("offset after an older state: got %d, want 4", tl.State().Offset)
	}
	if tl.Restore(&folder.State{Offset: 9, ViewOffset: 1}, 0) {
		t.Error("state with an older view replaced the newer one, want it ignored")
	}
	kept, trimmed := tl.Entries(3, 10)
	if trimmed || len(kept) != 2 {
		t.Errorf("entries from 3: got %d, trimmed %v, want 2", len(kept), trimmed)
	}
}

func TestSnapshotDue(t *testing.T) {
	start := time.Unix(1000, 0)
	state := &folder.State{Offset: 100, ViewOffset: 2, Members: []folder.Member{
		{Name: "a", Incarnation: "x", JoinOffset: 1}, {Name: "b", Incarnation: "x", JoinOffset: 2},
	}}
	order := holder.ViewOf(state).OwnerCandidates(holder.Resource{Name: "snapshot"})
	tests := []struct {
		name           string
		self           holder.Identity
		after          time.Duration
		snapshotOffset uint64
		oldest, tail   uint64
		want           bool
	}{
		{"nothing trimmed", holder.Identity{Name: order[0].Name, Incarnation: "x"}, time.Minute, 0, 1, 100, false},
		{"snapshot interval passed", holder.Identity{Name: order[0].Name, Incarnation: "x"}, time.Hour, 0, 1, 100, true},
		{"second-ranked writer waits", holder.Identity{Name: order[1].Name, Incarnation: "x"}, time.Hour, 0, 1, 100, false},
		{"second-ranked writer takes over", holder.Identity{Name: order[1].Name, Incarnation: "x"}, time.Hour + time.Minute, 0, 1, 100, true},
		{"needed records in older half", holder.Identity{Name: order[0].Name, Incarnation: "x"}, time.Minute, 60, 41, 100, true},
		{"needed records in newer half", holder.Identity{Name: order[0].Name, Incarnation: "x"}, time.Minute, 80, 41, 100, false},
		{"not a member", holder.Identity{Name: "c", Incarnation: "x"}, 2 * time.Hour, 0, 1, 100, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &SnapshotScheduler{Self: tt.self, Interval: time.Hour, RankDelay: 10 * time.Second}
			s.Due(start, state, 1, 100)
			if tt.snapshotOffset > 0 {
				s.RecordSnapshot(start, tt.snapshotOffset)
			}
			due := false
			for now := start; !now.After(start.Add(tt.after)); now = now.Add(10 * time.Second) {
				due = s.Due(now, state, tt.oldest, tt.tail) || due
			}
			if due != tt.want {
				t.Errorf("due: got %v, want %v", due, tt.want)
			}
		})
	}
}

func TestReadAllStartsAtOldestRecord(t *testing.T) {
	log := journaler.NewMemoryLog()
	for i := range 600 {
		appendRecord(t, log, joinRecord(i))
	}
	log.Trim(100)
	entries, err := newTailer(log).readAll(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(entries) != 501 || entries[0].Offset != 100 {
		t.Errorf("got %d entries, want 501 from offset 100", len(entries))
	}
}
