package operator

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/journaler"
	"github.com/flamingotack/flamingotack/internal/parser"
)

// testTimeout limits waiting in a test. No test should reach it.
const testTimeout = 30 * time.Second

var errResponseLost = errors.New("append response lost")

// faultyLog calls beforeAppend before its first append. It then fails the first
// appends and loses the responses to the next ones.
type faultyLog struct {
	*journaler.MemoryLog
	beforeAppend    func()
	responsesToLose int
	appendsToFail   int
}

func (f *faultyLog) Append(ctx context.Context, data []byte) (uint64, error) {
	if f.beforeAppend != nil {
		act := f.beforeAppend
		f.beforeAppend = nil
		act()
	}
	if f.appendsToFail > 0 {
		f.appendsToFail--
		return 0, errResponseLost
	}
	offset, err := f.MemoryLog.Append(ctx, data)
	if f.responsesToLose > 0 {
		f.responsesToLose--
		return 0, errResponseLost
	}
	return offset, err
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

func domainOutRecord(name string, base uint64, author string) folder.Record {
	r := folder.NewRecord(folder.KindDomain)
	r.OutOfServiceChange = &folder.OutOfServiceChange{Name: name, OutOfService: true}
	r.BaseVersion, r.Author = base, author
	return r
}

func TestAppendAndConfirm(t *testing.T) {
	tests := []struct {
		name    string
		lose    int
		fail    int
		winner  string
		version uint64
		records uint64
	}{
		{"first attempt succeeds", 0, 0, "", 1, 1},
		{"responses lost after append", 2, 0, "", 1, 1},
		{"failed appends", 0, 2, "", 1, 1},
		{"race against another operator", 0, 0, "bina", 0, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			memory := journaler.NewMemoryLog()
			log := &faultyLog{MemoryLog: memory, responsesToLose: tt.lose, appendsToFail: tt.fail}
			if tt.winner != "" {
				log.beforeAppend = func() { appendRecord(t, memory, domainOutRecord("rajkot", 0, tt.winner)) }
			}
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			result, err := AppendAndConfirm(ctx, NewRealSystem(log, nil), domainOutRecord("vadodara", 0, "asha"))
			var conflict *ConflictError
			if got, want := errors.As(err, &conflict), tt.winner != ""; got != want {
				t.Fatalf("conflict: got %v, want %v", err, want)
			}
			if conflict != nil && (conflict.Author != tt.winner || conflict.WinnerVersion != 1) {
				t.Errorf("got %v, want version 1 by %s", conflict, tt.winner)
			}
			if result.Version != tt.version {
				t.Errorf("version: got %d, want %d", result.Version, tt.version)
			}
			if got := memory.Tail(); got != tt.records {
				t.Errorf("records: got %d, want %d", got, tt.records)
			}
		})
	}
}

func TestAppendReportsUnknownOutcome(t *testing.T) {
	log := &faultyLog{MemoryLog: journaler.NewMemoryLog(), responsesToLose: 1 << 20, appendsToFail: 1 << 20}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	record := domainOutRecord("rajkot", 0, "")
	_, err := AppendAndConfirm(ctx, NewRealSystem(log, nil), record)
	var unreachable *LogUnreachableError
	if !errors.As(err, &unreachable) {
		t.Fatalf("got %v, want a LogUnreachableError", err)
	}
	if unreachable.ID != record.ID {
		t.Errorf("id: got %q, want %q", unreachable.ID, record.ID)
	}
}

func TestDryRunAppendsNothing(t *testing.T) {
	memory := journaler.NewMemoryLog()
	dry := &DryRunSystem{System: NewRealSystem(memory, nil)}
	result, err := AppendAndConfirm(t.Context(), dry, domainOutRecord("rajkot", 0, ""))
	if err != nil {
		t.Fatal(err)
	}
	if got := memory.Tail(); got != 0 {
		t.Errorf("records: got %d, want 0", got)
	}
	if got := len(dry.Appended); got != 1 {
		t.Errorf("kept: got %d, want 1", got)
	}
	if !result.Changed {
		t.Error("got no change, want one")
	}
}

func TestLoadRestoresSnapshot(t *testing.T) {
	manifest, err := parser.ParseManifest("m", []byte(`{"services":[{"name":"a","routes":[{"path":"/"}]}],"customers":[]}`))
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name   string
		oldest uint64
		usable bool
	}{
		{"nothing trimmed", 1, true},
		{"records before the snapshot's state trimmed", 3, true},
		{"a record after the snapshot's state trimmed", 4, false},
		{"snapshot trimmed", 5, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			memory := journaler.NewMemoryLog()
			r := folder.NewRecord(folder.KindManifest)
			r.Manifest = manifest
			appendRecord(t, memory, r)
			appendRecord(t, memory, domainOutRecord("rajkot", 1, ""))
			v, err := NewRealSystem(memory, nil).Load(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			appendRecord(t, memory, domainOutRecord("vadodara", 2, ""))
			snapshot := folder.NewRecord(folder.KindSnapshot)
			snapshot.Snapshot = v.State
			appendRecord(t, memory, snapshot)
			memory.Trim(tt.oldest)
			v, err = NewRealSystem(memory, nil).Load(t.Context())
			var missing *MissingSnapshotError
			if !tt.usable {
				if !errors.As(err, &missing) {
					t.Errorf("got %v, want a MissingSnapshotError", err)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if got := len(v.State.DomainsOutOfService); got != 2 {
				t.Errorf("failure domains out: got %d, want 2", got)
			}
		})
	}
}

func TestRecordingSystem(t *testing.T) {
	var lines []string
	s := &RecordingSystem{
		System: NewRealSystem(journaler.NewMemoryLog(), nil),
		Record: func(line string) { lines = append(lines, line) },
	}
	record := domainOutRecord("rajkot", 0, "")
	if _, err := AppendAndConfirm(t.Context(), s, record); err != nil {
		t.Fatal(err)
	}
	want := []string{
		"load: offset 0, version 0, view 0",
		"append domain " + record.ID + " against version 0: ok",
		"load: offset 1, version 1, view 0",
	}
	if len(lines) != len(want) {
		t.Fatalf("got %q, want %q", lines, want)
	}
	for i, got := range lines {
		if got != want[i] {
			t.Errorf("line %d: got %q, want %q", i, got, want[i])
		}
	}
}
