package journaler

import (
	"context"
	"slices"
	"sync"
	"time"
)

// MemoryLog is a Log in memory. It is safe for concurrent use.
type MemoryLog struct {
	mu                sync.Mutex
	entries           []Entry
	lastTrimmedOffset uint64
	// appended is closed and replaced at each append.
	appended chan struct{}
}

// NewMemoryLog returns an empty MemoryLog.
func NewMemoryLog() *MemoryLog {
	return &MemoryLog{appended: make(chan struct{})}
}

// Append appends a record and returns its offset. It never fails.
func (m *MemoryLog) Append(_ context.Context, data []byte) (offset uint64, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	offset = m.tail() + 1
	m.entries = append(m.entries, Entry{Offset: offset, Data: slices.Clone(data)})
	close(m.appended)
	m.appended = make(chan struct{})
	return offset, nil
}

// Read returns entries as Log describes. The error is a *TrimmedError or the
// error of ctx.
func (m *MemoryLog) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (page Page, err error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, appended, err := m.readNow(from, limit)
		if err != nil || len(page.Entries) > 0 {
			return page, err
		}
		select {
		case <-appended:
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

// Trim removes all entries before offset oldest.
func (m *MemoryLog) Trim(oldest uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	oldest = min(oldest, m.tail()+1)
	if oldest <= m.lastTrimmedOffset+1 {
		return
	}
	m.entries = slices.Clone(m.entries[oldest-m.lastTrimmedOffset-1:])
	m.lastTrimmedOffset = oldest - 1
}

// readNow returns the entries without waiting. The returned channel is closed at
// the next append.
func (m *MemoryLog) readNow(from uint64, limit int) (page Page, appended <-chan struct{}, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	from = max(from, 1)
	page = Page{TailOffset: m.tail(), OldestOffset: m.lastTrimmedOffset + 1}
	if from <= m.lastTrimmedOffset {
		return page, m.appended, &TrimmedError{WantedOffset: from, OldestOffset: page.OldestOffset}
	}
	if from <= page.TailOffset {
		rest := m.entries[from-page.OldestOffset:]
		page.Entries = slices.Clone(rest[:min(limit, len(rest))])
	}
	return page, m.appended, nil
}

func (m *MemoryLog) tail() uint64 {
	return m.lastTrimmedOffset + uint64(len(m.entries))
}
