// Package restorer tells which records of a log were written after the log was restored from
// an older copy, from what a reader of the log knew before.
package restorer

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

const (
	// maxRecentRecords and maxRecentBytes bound the end of the log that is compared with the
	// restored one, and so what a reader reads again after a restore.
	maxRecentRecords = 64
	maxRecentBytes   = 1 << 20
)

type (
	// Record is a record of a log in which the newest record of each key counts.
	Record struct {
		// Key names the record.
		Key string
		// Value is empty if the key was deleted.
		Value []byte
		// Offset is the record's position in the log.
		Offset uint64
	}

	// Log is what a reader knows of a log. The zero value is an empty log.
	Log struct {
		end uint64
		// newest holds the newest record of each key.
		newest map[string]fingerprint
		// recent holds the records before end without a gap, recentBytes their size.
		recent      []fingerprint
		recentBytes int
		// kept is set if something is known that a restored log lacked.
		kept bool
	}

	// Restored says what a reader does after a restore.
	Restored struct {
		// TakeCopy is set if the restored log holds all that the reader knows. The
		// reader then takes over the newest records; otherwise it keeps what it knows
		// and applies Written.
		TakeCopy bool
		// Written are the records of the restored log that were surely written after
		// the restore, in the order of their offsets.
		Written []Record
		// From is the offset from which on Written has all records, and End the offset
		// at which reading continues.
		From, End uint64
		// Exact reports whether From is the end of the copy, so that Written lacks no
		// record.
		Exact bool
	}

	// fingerprint stands for a record.
	fingerprint struct {
		// offset is the record's offset. If a restore has lost the record, it is the
		// last offset at which the restored log surely has a record of the copy, or -1.
		offset  int64
		digest  uint64
		bytes   int
		deleted bool
		lost    bool
	}
)

// End returns the offset at which reading continues.
func (l *Log) End() uint64 {
	return l.end
}

// RecentFrom returns the offset from which on a restored log must be read to be compared.
func (l *Log) RecentFrom() uint64 {
	return l.end - uint64(len(l.recent))
}

// Reset replaces what is known by the newest record of each key.
func (l *Log) Reset(newest []Record, end uint64) {
	*l = Log{end: end, newest: make(map[string]fingerprint, len(newest))}
	for _, r := range newest {
		f := newFingerprint(r)
		l.newest[r.Key] = f
		if r.Offset+1 == end {
			l.recent, l.recentBytes = []fingerprint{f}, f.bytes
		}
	}
}

// Append adds records that were read at the end of the log.
func (l *Log) Append(records []Record) {
	if l.newest == nil {
		l.newest = map[string]fingerprint{}
	}
	for _, r := range records {
		f := newFingerprint(r)
		l.newest[r.Key] = f
		l.recent = append(l.recent, f)
		l.recentBytes += f.bytes
		l.end++
	}
	for len(l.recent) > maxRecentRecords || len(l.recent) > 1 && l.recentBytes > maxRecentBytes {
		l.recentBytes -= l.recent[0].bytes
		l.recent = l.recent[1:]
	}
}

// Reread continues at the end of the same log, whose records up to there can't be read any
// more, and returns those to apply. A key that is missing was deleted, unless a restore lost
// it.
func (l *Log) Reread(newest []Record, end uint64) (changes []Record) {
	found := map[string]bool{}
	for _, r := range newest {
		found[r.Key] = true
		if r.Offset >= l.end {
			changes = append(changes, r)
		}
	}
	for key, f := range l.newest {
		if !found[key] && !f.lost && !f.deleted {
			changes = append(changes, Record{Key: key, Offset: l.end})
		}
	}
	sortByOffset(changes)
	for _, r := range changes {
		l.newest[r.Key] = newFingerprint(r)
	}
	l.end, l.recent, l.recentBytes = max(l.end, end), nil, 0
	return changes
}

// Compare compares the log with a restored one: with the newest record of each key and the
// end of it, and with tail, its records from RecentFrom on, which were read later. tail is
// nil if the restored log has no records there.
func (l *Log) Compare(newest []Record, end uint64, tail []Record) Restored {
	same := 0
	for same < min(len(l.recent), len(tail)) && newFingerprint(tail[same]).digest == l.recent[same].digest {
		same++
	}
	switch {
	case same > 0 && same == len(l.recent) && !l.kept:
		return Restored{TakeCopy: true, From: end, End: end}
	case same > 0:
		return Restored{Written: tail[same:], From: l.RecentFrom() + uint64(same), End: l.RecentFrom() + uint64(len(tail)), Exact: true}
	case l.holdsAll(newest, end, tail):
		return Restored{TakeCopy: true, From: end, End: end}
	}
	written := l.surelyWritten(newest)
	if len(l.recent) == 0 || len(tail) == 0 {
		return Restored{Written: written, From: end, End: end, Exact: end == 0}
	}
	// The copy ends at or before the first of the recent records.
	from := l.RecentFrom()
	written = slices.DeleteFunc(written, func(r Record) bool { return r.Offset >= from })
	return Restored{Written: append(written, tail...), From: from, End: from + uint64(len(tail)), Exact: from == 0}
}

// Accept continues with the restored log after Compare.
func (l *Log) Accept(r Restored, newest []Record) {
	if r.TakeCopy {
		l.Reset(newest, r.End)
		return
	}
	kept := 0
	if r.Exact {
		kept = int(r.From - l.RecentFrom())
	}
	l.recent = slices.Clone(l.recent[:kept])
	l.recentBytes = 0
	for _, f := range l.recent {
		l.recentBytes += f.bytes
	}
	l.kept = true
	missing := missingKeys(l.newest, newest)
	for key, f := range l.newest {
		if f.offset >= int64(r.From) || slices.Contains(missing, key) {
			// The restored log may have other records at the offsets of the lost ones.
			f.offset, f.lost = min(f.offset, int64(r.From)-1), true
			l.newest[key] = f
		}
	}
	l.end = r.From
	for _, w := range r.Written {
		if w.Offset < r.From {
			l.newest[w.Key] = newFingerprint(w)
			continue
		}
		l.Append([]Record{w})
	}
}

// holdsAll reports whether a restored log with these records has lost nothing that is known.
func (l *Log) holdsAll(newest []Record, end uint64, tail []Record) bool {
	if end < l.end {
		return false
	}
	deleted := map[string]bool{}
	for _, r := range newest {
		known, ok := l.newest[r.Key]
		if r.Offset < l.end && (!ok || known.lost || known.offset != int64(r.Offset) || known.digest != newFingerprint(r).digest) {
			return false
		}
	}
	for _, r := range tail {
		if r.Offset >= l.end {
			deleted[r.Key] = true
		}
	}
	return !slices.ContainsFunc(missingKeys(l.newest, newest), func(key string) bool { return !deleted[key] })
}

// missingKeys returns the known keys that none of the newest records has.
func missingKeys(known map[string]fingerprint, newest []Record) (missing []string) {
	found := make(map[string]bool, len(newest))
	for _, r := range newest {
		found[r.Key] = true
	}
	for key, f := range known {
		if !f.deleted && !found[key] {
			missing = append(missing, key)
		}
	}
	return missing
}

func sortByOffset(records []Record) {
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
}

// surelyWritten returns those of the newest records that can't be from the copy: those behind
// the newest known record of their key, those with another value at its offset, and those of
// a key that is unknown.
func (l *Log) surelyWritten(newest []Record) (written []Record) {
	for _, r := range newest {
		known, ok := l.newest[r.Key]
		offset := int64(r.Offset)
		if !ok || offset > known.offset || offset == known.offset && !known.lost && newFingerprint(r).digest != known.digest {
			written = append(written, r)
		}
	}
	sortByOffset(written)
	return written
}

func newFingerprint(r Record) fingerprint {
	h := xxh3.New()
	_, _ = h.WriteString(r.Key)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(r.Value)
	return fingerprint{offset: int64(r.Offset), digest: h.Sum64(), bytes: len(r.Key) + len(r.Value), deleted: len(r.Value) == 0}
}
