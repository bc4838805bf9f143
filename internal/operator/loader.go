package operator

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/journaler"
)

const (
	// maxRestores is the maximum number of times that one Load restarts from
	// a snapshot because the log was trimmed past its position.
	maxRestores    = 5
	maxPageEntries = 500
)

type (
	// Loader folds the records of a log. Each Load reads only new records.
	Loader struct {
		// Log is the log to read. It must not be nil.
		Log journaler.Log

		state *folder.State
		// changes are the accepted changes by the version that they created.
		changes map[uint64]folder.Record
	}

	// NoVersionError reports that the log does not keep the change that
	// created a version.
	NoVersionError struct {
		// Version is the wanted version.
		Version uint64
	}

	// MissingSnapshotError reports that the log was trimmed and keeps no
	// snapshot that replaces the removed records.
	MissingSnapshotError struct {
		// OldestOffset is the offset of the oldest entry kept.
		OldestOffset uint64
	}

	// ConfigView is the state at the log's tail, with the changes that the
	// log keeps.
	ConfigView struct {
		// State is the folded state. It is never nil.
		State *folder.State

		// changes are the accepted changes by the version that they created.
		changes map[uint64]folder.Record
	}
)

// Load reads the log to its tail. The error is a *MissingSnapshotError when the
// log no longer keeps the records that are needed, or an error of the log.
func (l *Loader) Load(ctx context.Context) (v *ConfigView, err error) {
	defer func() { err = errors.Wrap(err, "load configuration") }()
	if l.state == nil {
		l.state = &folder.State{}
		l.changes = map[uint64]folder.Record{}
	}
	for restores := 0; ; {
		page, err := l.Log.Read(ctx, l.state.Offset+1, maxPageEntries, 0)
		var trimmed *journaler.TrimmedError
		if errors.As(err, &trimmed) && restores < maxRestores {
			restores++
			if err := l.restoreFromSnapshot(ctx, trimmed.OldestOffset); err != nil {
				return nil, err
			}
			continue
		}
		if err != nil {
			return nil, err
		}
		for _, e := range page.Entries {
			l.fold(e)
		}
		if len(page.Entries) == 0 || l.state.Offset >= page.TailOffset {
			return &ConfigView{State: l.state, changes: l.changes}, nil
		}
	}
}

func (l *Loader) fold(e journaler.Entry) {
	r, err := folder.Decode(e.Data)
	if err != nil {
		l.state = l.state.Skip(e.Offset)
		return
	}
	next, outcome := l.state.Fold(e.Offset, r)
	l.state = next
	if r.IsConfigChange() && outcome == folder.OutcomeAccepted {
		l.changes[e.Offset] = r
	}
}

// restoreFromSnapshot sets the state to that of the first usable snapshot at
// offset oldest or later. A snapshot is usable when the log keeps all records
// after its state.
func (l *Loader) restoreFromSnapshot(ctx context.Context, oldest uint64) (err error) {
	for from := oldest; ; {
		page, err := l.Log.Read(ctx, from, maxPageEntries, 0)
		if err != nil {
			return err
		}
		if len(page.Entries) == 0 {
			return &MissingSnapshotError{OldestOffset: oldest}
		}
		for _, e := range page.Entries {
			r, err := folder.Decode(e.Data)
			if err == nil && r.ConnectsToLog(page.OldestOffset) {
				l.state = r.Snapshot
				return nil
			}
		}
		from = page.Entries[len(page.Entries)-1].Offset + 1
	}
}

// Error names the version.
func (e *NoVersionError) Error() string {
	return fmt.Sprintf("log keeps no change that made version %d", e.Version)
}

// Error names the oldest entry.
func (e *MissingSnapshotError) Error() string {
	return fmt.Sprintf("log starts at offset %d and keeps no snapshot of the records before it", e.OldestOffset)
}

// Author returns the author of a version, or "somebody" when the log no longer
// keeps the change or names no author.
func (v *ConfigView) Author(version uint64) string {
	if author := v.changes[version].Author; author != "" {
		return author
	}
	return "somebody"
}

// Change returns the record that created a version. found is false when the log
// no longer keeps it.
func (v *ConfigView) Change(version uint64) (r folder.Record, found bool) {
	r, found = v.changes[version]
	return r, found
}
