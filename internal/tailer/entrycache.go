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
	// bytes is the total size of the entries' data.
	bytes int
}

func (c *entryCache) add(e journaler.Entry) {
	if n := len(c.entries); n > 0 && c.entries[n-1].Offset+1 != e.Offset {
		c.clear()
	}
	c.entries = append(c.entries, e)
	c.bytes += len(e.Data)
	drop := 0
	for len(c.entries)-drop > maxCachedEntries || c.bytes > maxCachedBytes && len(c.entries)-drop > 1 {
		c.bytes -= len(c.entries[drop].Data)
		drop++
	}
	if drop > 0 {
		c.entries = slices.Delete(c.entries, 0, drop)
	}
}

func (c *entryCache) clear() {
	c.entries = nil
	c.bytes = 0
}

// entriesFrom returns at most limit entries, beginning at offset. trimmed is
// true when the cache does not reach back to offset.
func (c *entryCache) entriesFrom(offset uint64, limit int) (entries []journaler.Entry, trimmed bool) {
	if len(c.entries) == 0 || offset < c.entries[0].Offset {
		return nil, true
	}
	i := min(offset-c.entries[0].Offset, uint64(len(c.entries)))
	rest := c.entries[i:]
	return slices.Clone(rest[:min(limit, len(rest))]), false
}
