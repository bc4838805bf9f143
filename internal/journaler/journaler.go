// Package journaler accesses the platform's append-only log.
package journaler

import (
	"context"
	"fmt"
	"time"
)

type (
	// Entry is one record of the log.
	Entry struct {
		// Offset is the position in the log, counted from 1.
		Offset uint64 `json:"offset"`
		// Data is the record's content.
		Data []byte `json:"data"`
	}

	// Log is an append-only log with offsets.
	Log interface {
		// Append appends a record and returns its offset. After an error the
		// record may still have been appended.
		Append(ctx context.Context, data []byte) (offset uint64, err error)
		// Read returns at most limit entries with offsets of from or later.
		// When there are none, it waits up to wait for one. The error is a
		// *TrimmedError when the entry at from is no longer kept.
		Read(ctx context.Context, from uint64, limit int, wait time.Duration) (page Page, err error)
	}

	// Page is a sequence of entries, with the range of offsets in the log.
	Page struct {
		// Entries are in offset order, without gaps between them.
		Entries []Entry `json:"records"`
		// TailOffset is the offset of the newest entry; 0 in an empty log.
		TailOffset uint64 `json:"tail"`
		// OldestOffset is the offset of the oldest entry kept; TailOffset+1
		// when none is kept.
		OldestOffset uint64 `json:"oldest"`
	}

	// TrimmedError reports that the wanted entries are no longer kept.
	TrimmedError struct {
		// WantedOffset is the first offset that was asked for.
		WantedOffset uint64
		// OldestOffset is the offset of the oldest entry kept.
		OldestOffset uint64
	}
)

// Error names the two offsets.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("log entries from offset %d are no longer kept, the oldest is %d", e.WantedOffset, e.OldestOffset)
}
