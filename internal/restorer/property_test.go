package restorer

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"github.com/flamingotack/flamingotack/internal/seeder"
)

func TestMain(m *testing.M) { seeder.Run(m, seeder.FlagDefault{Name: "rapid.checks", Value: "2000"}) }

// fold returns the values of the keys after records have been applied to values.
func fold(values map[string]string, records []Record) map[string]string {
	values = maps.Clone(values)
	for _, r := range records {
		values[r.Key] = string(r.Value)
		if len(r.Value) == 0 {
			delete(values, r.Key)
		}
	}
	return values
}

// TestReaderKeepsWhatItKnows guards against lost withdrawals and missed records over random
// logs, restores and moments of the read: a reader that has followed the log has, after each
// restore and each further record, what it knew and what was written since.
func TestReaderKeepsWhatItKnows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []Record
		number := 0
		// write appends records with values that have not been there before. The first
		// is no deletion, which may be the same as a lost record.
		write := func(count int) (written []Record) {
			for i := range count {
				number++
				r := Record{Key: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key"), Offset: uint64(len(log))}
				if i == 0 || rapid.IntRange(0, 3).Draw(t, "deleted") > 0 {
					r.Value = fmt.Append(nil, number)
				}
				log = append(log, r)
				written = append(written, r)
			}
			return written
		}
		var l Log
		want := fold(map[string]string{}, write(rapid.IntRange(1, 10).Draw(t, "records")))
		l.Append(log)
		got := maps.Clone(want)
		for range rapid.IntRange(1, 4).Draw(t, "restores") {
			// The copy holds at least one record that the reader has compared before.
			first := int(l.RecentFrom()) + 1
			log = log[:rapid.IntRange(min(first, len(log)), len(log)).Draw(t, "end of the copy"):len(log)]
			log = append([]Record(nil), log...)
			want = fold(want, write(rapid.IntRange(0, 6).Draw(t, "written before the read")))
			restored := compare(&l, log)
			l.Accept(restored, newestOf(log))
			if restored.TakeCopy {
				got = fold(map[string]string{}, log)
			} else {
				got = fold(got, restored.Written)
			}
			if !maps.Equal(got, want) || l.End() != uint64(len(log)) {
				t.Fatalf("got %v, end %d after a restore, want %v, %d", got, l.End(), want, len(log))
			}
			following := write(rapid.IntRange(0, 6).Draw(t, "written after the read"))
			l.Append(following)
			want, got = fold(want, following), fold(got, following)
		}
	})
}
