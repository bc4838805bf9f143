// Package journaler reaches the platform's append-only log.
package journaler

import (
	"context"
	"fmt"
	"time"
)

type (
	// Entry is one record of the log.
	Entry struct {
		// Offset is the place in the log, counted from 1.
		Offset uint64 `json:"offset"`
		// Data is the record's content.
		Data []byte `json:"data"`
	}

	// Log is an append-only log with offsets.
	Log interface {
		// Append adds a record and returns its offset. After an error the
		// record may have been added all the same.
		Append(ctx context.Context, data []byte) (offset uint64, err error)
		// Read returns at most limit entries, the first of them at offset
		// from or later. Without any, it waits up to wait for one. The error
		// is a *TrimmedError when entries after from are no longer kept.
		Read(ctx context.Context, from uint64, limit int, wait time.Duration) (page Page, err error)
	}

	// Page is a run of entries.
	Page struct {
		// Entries are in offset order, without gaps between them.
		Entries []Entry `json:"records"`
		// Tail is the offset of the newest entry; 0 in an empty log.
		TailOffset uint64 `json:"tail"`
		// Oldest is the offset of the oldest entry kept; Tail+1 without one.
		OldestOffset uint64 `json:"oldest"`
	}

	// TrimmedError says that the wanted entries are no longer kept.
	TrimmedError struct {
		// From is the wanted offset.
		WantedOffset uint64
		// Oldest is the offset of the oldest entry kept.
		OldestOffset uint64
	}
)

// Error names the two offsets.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("log entries from offset %d are no longer kept, the oldest is %d", e.WantedOffset, e.OldestOffset)
}
