package tailer

import (
	"slices"

	"github.com/flamingotack/flamingotack/internal/journaler"
)

const (
	maxCachedEntries = 512
	maxCachedBytes   = 4 << 20
)

// entryCache keeps the newest log entries, so that peers can fetch those that
// they lack. It holds at most maxCachedEntries entries and maxCachedBytes bytes;
// a single larger entry is kept all the same.
type entryCache struct {
	// entries are in offset order, without gaps.
	entries []journaler.Entry
	bytes   int
}

func (r *entryCache) add(e journaler.Entry) {
	if n := len(r.entries); n > 0 && r.entries[n-1].Offset+1 != e.Offset {
		r.clear()
	}
	r.entries = append(r.entries, e)
	r.bytes += len(e.Data)
	drop := 0
	for len(r.entries)-drop > maxCachedEntries || r.bytes > maxCachedBytes && len(r.entries)-drop > 1 {
		r.bytes -= len(r.entries[drop].Data)
		drop++
	}
	if drop > 0 {
		r.entries = slices.Delete(r.entries, 0, drop)
	}
}

func (r *entryCache) clear() {
	r.entries = nil
	r.bytes = 0
}

// entriesFrom returns at most limit entries, beginning at offset. trimmed is
// true when the cache does not reach back to offset.
func (r *entryCache) entriesFrom(offset uint64, limit int) (entries []journaler.Entry, trimmed bool) {
	if len(r.entries) == 0 || offset < r.entries[0].Offset {
		return nil, true
	}
	i := min(offset-r.entries[0].Offset, uint64(len(r.entries)))
	rest := r.entries[i:]
	return slices.Clone(rest[:min(limit, len(rest))]), false
}
