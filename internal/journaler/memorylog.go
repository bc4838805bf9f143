package journaler

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Memory is a Log in the process's memory. It is safe for concurrent use.
type MemoryLog struct {
	mu      sync.Mutex
	entries []Entry
	trimmed uint64
	changed chan struct{}
}

// NewMemory returns an empty Memory.
func NewMemoryLog() *MemoryLog {
	return &MemoryLog{changed: make(chan struct{})}
}

// Append adds a record and returns its offset. It never fails.
func (m *MemoryLog) Append(_ context.Context, data []byte) (offset uint64, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	offset = m.tail() + 1
	m.entries = append(m.entries, Entry{Offset: offset, Data: slices.Clone(data)})
	close(m.changed)
	m.changed = make(chan struct{})
	return offset, nil
}

// Read returns entries from an offset on.
func (m *MemoryLog) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (page Page, err error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed, err := m.read(from, limit)
		if err != nil || len(page.Entries) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return Page{}, ctx.Err()
		}
	}
}

// Tail returns the offset of the newest entry; 0 in an empty log.
func (m *MemoryLog) Tail() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tail()
}

// Trim forgets every entry before oldest.
func (m *MemoryLog) Trim(oldest uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	oldest = min(oldest, m.tail()+1)
	if oldest <= m.trimmed+1 {
		return
	}
	m.entries = slices.Clone(m.entries[oldest-m.trimmed-1:])
	m.trimmed = oldest - 1
}

func (m *MemoryLog) read(from uint64, limit int) (page Page, changed <-chan struct{}, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	from = max(from, 1)
	page = Page{TailOffset: m.tail(), OldestOffset: m.trimmed + 1}
	if from <= m.trimmed {
		return page, m.changed, &TrimmedError{WantedOffset: from, OldestOffset: page.OldestOffset}
	}
	if from <= page.TailOffset {
		rest := m.entries[from-page.OldestOffset:]
		page.Entries = slices.Clone(rest[:min(limit, len(rest))])
	}
	return page, m.changed, nil
}

func (m *MemoryLog) tail() uint64 {
	return m.trimmed + uint64(len(m.entries))
}
