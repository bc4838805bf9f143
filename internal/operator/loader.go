package operator

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/journaler"
)

const (
	// maxRestores bounds how often the log may be trimmed below the reader
	// before it gives up.
	maxRestores = 5
	pageEntries = 500
)

type (
	// Loader folds a log. A further Load reads only what is new.
	Loader struct {
		// Log is the log. It is never nil.
		Log journaler.Log

		state   *folder.State
		changes map[uint64]folder.Record
	}

	// NoVersionError says that the log does not keep the change that made a
	// version.
	NoVersionError struct {
		// Version is the wanted version.
		Version uint64
	}

	// SnapshotError says that the log has lost its oldest records and keeps
	// no snapshot that makes up for them.
	MissingSnapshotError struct {
		// Oldest is the offset of the oldest entry kept.
		Oldest uint64
	}

	// View is the state at the log's tail.
	ConfigView struct {
		// State is the folded state. It is never nil.
		State *folder.State

		changes map[uint64]folder.Record
	}
)

// Load reads the log to its tail.
func (l *Loader) Load(ctx context.Context) (v *ConfigView, err error) {
	defer func() { err = errors.Wrap(err, "load configuration") }()
	if l.state == nil {
		l.state = &folder.State{}
		l.changes = map[uint64]folder.Record{}
	}
	for restores := 0; ; {
		page, err := l.Log.Read(ctx, l.state.Offset+1, pageEntries, 0)
		var trimmed *journaler.TrimmedError
		if errors.As(err, &trimmed) && restores < maxRestores {
			restores++
			if err := l.restore(ctx, trimmed.OldestOffset); err != nil {
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
	if r.Config() && outcome == folder.OutcomeAccepted {
		l.changes[e.Offset] = r
	}
}

// restore takes the state of the first snapshot from oldest on that lacks no
// record that the log has lost.
func (l *Loader) restore(ctx context.Context, oldest uint64) (err error) {
	for from := oldest; ; {
		page, err := l.Log.Read(ctx, from, pageEntries, 0)
		if err != nil {
			return err
		}
		if len(page.Entries) == 0 {
			return &MissingSnapshotError{Oldest: oldest}
		}
		for _, e := range page.Entries {
			r, err := folder.Decode(e.Data)
			if err == nil && r.Bridges(page.OldestOffset) {
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
	return fmt.Sprintf("log starts at offset %d and keeps no snapshot of what was before", e.Oldest)
}

// Author returns who published a version; "somebody" when the log no longer
// tells.
func (v *ConfigView) Author(version uint64) string {
	if author := v.changes[version].Author; author != "" {
		return author
	}
	return "somebody"
}

// Change returns the record of a version, unless the log no longer keeps it.
func (v *ConfigView) Change(version uint64) (r folder.Record, found bool) {
	r, found = v.changes[version]
	return r, found
}
