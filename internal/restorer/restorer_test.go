package restorer

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// newRecords returns records at consecutive offsets from texts of the form key=value.
func newRecords(texts ...string) (records []Record) {
	for i, text := range texts {
		key, value, _ := strings.Cut(text, "=")
		records = append(records, Record{Key: key, Value: []byte(value), Offset: uint64(i)})
	}
	return records
}

// newestOf returns the newest record of each key of a whole log.
func newestOf(log []Record) (newest []Record) {
	last := map[string]Record{}
	for _, r := range log {
		last[r.Key] = r
		if len(r.Value) == 0 {
			delete(last, r.Key)
		}
	}
	for _, r := range last {
		newest = append(newest, r)
	}
	return newest
}

func textsOf(records []Record) (texts []string) {
	for _, r := range records {
		texts = append(texts, fmt.Sprintf("%s=%s@%d", r.Key, r.Value, r.Offset))
	}
	return texts
}

// compare compares what is known with a restored log as a reader does.
func compare(l *Log, restored []Record) Restored {
	var tail []Record
	if from := int(l.RecentFrom()); from < len(restored) {
		tail = restored[from:]
	}
	return l.Compare(newestOf(restored), uint64(len(restored)), tail)
}

// TestCompare guards against records of the copy that count as written after the restore, and
// against written ones that are missed.
func TestCompare(t *testing.T) {
	known := []string{"c=1", "north=out", "c=2", "north=", "c=3"}
	tests := []struct {
		name     string
		restored []string
		// followed is the number of known records that were read one by one.
		followed int
		takeCopy bool
		written  []string
		exact    bool
	}{
		{"nothing lost", known, 5, true, nil, false},
		{"nothing lost, more in the copy", append(slices.Clone(known), "south=out"), 5, true, nil, false},
		{"one lost", known[:4], 5, false, nil, true},
		{"three lost", known[:2], 5, false, nil, true},
		{"one lost and written again", append(slices.Clone(known[:4]), "c=3"), 5, true, nil, false},
		{"three lost, others written", append(slices.Clone(known[:2]), "c=4", "south=out"), 5, false, []string{"c=4@2", "south=out@3"}, true},
		{"more written than lost", append(slices.Clone(known[:3]), "c=4", "c=5", "c=6", "south=out"), 5, false, []string{"c=4@3", "c=5@4", "c=6@5", "south=out@6"}, true},
		{"deletion written", append(slices.Clone(known[:2]), "north="), 5, false, []string{"north=@2"}, true},
		{"older than what was followed, other written", append(slices.Clone(known[:2]), "c=7"), 2, false, []string{"c=7@2"}, false},
		{"newest records only, nothing lost", known, 0, true, nil, false},
		{"newest records only, more written than lost", append(slices.Clone(known[:2]), "c=4", "north=", "c=5", "south=out"), 0, false, []string{"c=5@4", "south=out@5"}, false},
		// A reader of the newest records only can't know that north was deleted, so it takes
		// it for new.
		{"newest records only, deletion written", append(slices.Clone(known[:2]), "c=4", "c=5", "c="), 0, false, []string{"north=out@1", "c=@4"}, false},
		{"one followed and lost, deletion written", append(slices.Clone(known[:3]), "x=1", "c="), 2, false, []string{"x=1@3", "c=@4"}, true},
		{"anchor lost, deletion written", append(slices.Clone(known[:2]), "x=1", "c="), 2, false, []string{"x=1@2", "c=@3"}, false},
		{"everything lost", nil, 5, false, nil, true},
		{"everything lost, others written", []string{"x=1", "c=9"}, 5, false, []string{"x=1@0", "c=9@1"}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l Log
			all := newRecords(known...)
			split := len(all) - tt.followed
			l.Reset(newestOf(all[:split]), uint64(split))
			l.Append(all[split:])
			got := compare(&l, newRecords(tt.restored...))
			if got.TakeCopy != tt.takeCopy || got.Exact != tt.exact || !slices.Equal(textsOf(got.Written), tt.written) {
				t.Errorf("got copy taken %t, exact %t, written %v; want %t, %t, %v", got.TakeCopy, got.Exact, textsOf(got.Written), tt.takeCopy, tt.exact, tt.written)
			}
			if got.End != uint64(len(tt.restored)) {
				t.Errorf("got end %d, want %d", got.End, len(tt.restored))
			}
			l.Accept(got, newestOf(newRecords(tt.restored...)))
			if l.End() != got.End {
				t.Errorf("got end %d of the log after the restore, want %d", l.End(), got.End)
			}
		})
	}
}

// TestSecondRestore guards against lost records that come into force with a second restore,
// because the log then holds all that was read after the first one.
func TestSecondRestore(t *testing.T) {
	var l Log
	l.Append(newRecords("c=1", "north=out", "c=2", "north="))
	first := newRecords("c=1", "north=out", "c=2")
	l.Accept(compare(&l, first), newestOf(first))
	if got := compare(&l, first); got.TakeCopy || !got.Exact || len(got.Written) != 0 {
		t.Errorf("got %+v, want nothing taken from the copy, which lacks the deletion of north", got)
	}
}

// TestReread guards against keys that stay although they were deleted while the reader was
// away, and against lost ones that go without a deletion.
func TestReread(t *testing.T) {
	var l Log
	l.Append(newRecords("c=1", "south=out", "north=out"))
	l.Accept(compare(&l, newRecords("c=1", "south=out")), newRecords("c=1", "south=out"))
	now := newRecords("c=1", "south=out", "x=1", "south=", "c=2")
	if got, want := textsOf(l.Reread(newestOf(now), 5)), []string{"south=@2", "x=1@2", "c=2@4"}; !sameTexts(got, want) {
		t.Errorf("got changes %v, want %v and north kept", got, want)
	}
	if got := textsOf(l.Reread(newestOf(now), 5)); len(got) != 0 {
		t.Errorf("got changes %v of a log that has not changed, want none", got)
	}
}

func sameTexts(a, b []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// TestRecentRecordsAreBounded guards against memory that grows with the log.
func TestRecentRecordsAreBounded(t *testing.T) {
	var l Log
	for i := range 1000 {
		l.Append([]Record{{Key: "c", Value: make([]byte, i*100), Offset: uint64(i)}})
	}
	if l.End() != 1000 || l.End()-l.RecentFrom() > maxRecentRecords || l.recentBytes > maxRecentBytes {
		t.Errorf("got end %d, %d recent records of %d bytes, want 1000, at most %d and %d", l.End(), l.End()-l.RecentFrom(), l.recentBytes, maxRecentRecords, maxRecentBytes)
	}
}
