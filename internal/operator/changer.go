package operator

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/journaler"
)

const (
	firstRetryPause = 50 * time.Millisecond
	maxRetryPause   = time.Second
	// attemptTimeout limits one load, or one append with its two loads, so
	// that a log that does not respond leaves time for further attempts.
	attemptTimeout = 3 * time.Second
)

type (
	// ConflictError reports that another change was accepted first.
	ConflictError struct {
		// BaseVersion is the version that the change was made against.
		BaseVersion uint64
		// WinnerVersion is the version that was accepted instead.
		WinnerVersion uint64
		// Author published WinnerVersion.
		Author string
	}

	// LogUnreachableError reports that the log could not be reached.
	LogUnreachableError struct {
		// ID is the ID of the change; empty when nothing was appended.
		ID string
		// BaseVersion is the version that the change was made against.
		BaseVersion uint64
		// Cause is the last error.
		Cause error
	}

	// RefusedError reports that the fold refused the change.
	RefusedError struct {
		// ID is the ID of the change.
		ID string
		// Outcome is the outcome of folding the change.
		Outcome folder.Outcome
	}

	// Result is the result of an accepted change.
	Result struct {
		// ID is the ID of the change.
		ID string
		// Version is the configuration version that includes the change.
		Version uint64
		// Changed is false when the change left the configuration the same.
		Changed bool
	}
)

// LoadWithRetry reads the log to its tail, and retries until the log responds or
// ctx ends. The error is a *LogUnreachableError, a *MissingSnapshotError, or the
// error of a log that refuses the read, which is not retried.
func LoadWithRetry(ctx context.Context, s System) (v *ConfigView, err error) {
	pause := firstRetryPause
	for {
		v, err = loadOnce(ctx, s)
		if err == nil || isPermanent(err) {
			return v, err
		}
		select {
		case <-ctx.Done():
			return nil, &LogUnreachableError{Cause: err}
		case <-time.After(pause):
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// AppendAndConfirm appends a change and reads it back from the log, and retries
// until that succeeds or ctx ends. It is safe to call it again with the same
// record. The error is a *ConflictError, a *RefusedError, a
// *LogUnreachableError, or an error that a retry can't fix.
func AppendAndConfirm(ctx context.Context, s System, r folder.Record) (result Result, err error) {
	appendSent := false
	pause := firstRetryPause
	for {
		var folded folder.FoldedRecord
		folded, err = appendOnce(ctx, s, r, &appendSent)
		if err == nil {
			return resultOf(ctx, s, r, folded)
		}
		if isPermanent(err) {
			return Result{}, err
		}
		select {
		case <-ctx.Done():
			return Result{}, logUnreachable(r, appendSent, err)
		case <-time.After(pause):
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// Error names both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("lost the race: version %d by %s was accepted first, this change was made against version %d",
		e.WinnerVersion, e.Author, e.BaseVersion)
}

// Error says whether the change may have been appended.
func (e *LogUnreachableError) Error() string {
	if e.ID == "" {
		return fmt.Sprintf("log unreachable, nothing was appended: %v", e.Cause)
	}
	return fmt.Sprintf("log unreachable, it is unknown whether change %s was accepted: %v", e.ID, e.Cause)
}

// Unwrap returns the cause.
func (e *LogUnreachableError) Unwrap() error {
	return e.Cause
}

// Error names the outcome.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("change %s was refused as %s", e.ID, e.Outcome)
}

// appendOnce appends the record unless the log already contains it, because an
// earlier append whose response was lost may have succeeded. It sets appendSent
// before it appends.
func appendOnce(ctx context.Context, s System, r folder.Record, appendSent *bool) (folded folder.FoldedRecord, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	folded, found, err := findRecord(ctx, s, r.ID)
	if err != nil || found {
		return folded, err
	}
	*appendSent = true
	if err := s.Append(ctx, r); err != nil {
		return folder.FoldedRecord{}, err
	}
	folded, found, err = findRecord(ctx, s, r.ID)
	if err != nil {
		return folder.FoldedRecord{}, err
	}
	if !found {
		return folder.FoldedRecord{}, errors.Newf("log does not contain change %s after its append", r.ID)
	}
	return folded, nil
}

// findRecord loads the log and returns the outcome of the record with that ID.
func findRecord(ctx context.Context, s System, id string) (folded folder.FoldedRecord, found bool, err error) {
	v, err := s.Load(ctx)
	if err != nil {
		return folder.FoldedRecord{}, false, err
	}
	folded, found = v.State.FindRecord(id)
	return folded, found, nil
}

// isPermanent reports whether a retry can't fix err. A 4xx status other than 408
// and 429 means that the log refused the request.
func isPermanent(err error) bool {
	var (
		snapshot *MissingSnapshotError
		status   *journaler.StatusError
	)
	if errors.As(err, &snapshot) {
		return true
	}
	if !errors.As(err, &status) {
		return false
	}
	switch status.Status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests:
		return false
	default:
		return status.Status >= http.StatusBadRequest && status.Status < http.StatusInternalServerError
	}
}

// resultOf converts the outcome of folding a change into a result or an error.
func resultOf(ctx context.Context, s System, r folder.Record, folded folder.FoldedRecord) (result Result, err error) {
	result = Result{ID: r.ID, Version: folded.Offset, Changed: true}
	switch folded.Outcome {
	case folder.OutcomeAccepted:
		return result, nil
	case folder.OutcomeNoChange:
		return Result{ID: r.ID, Version: r.BaseVersion}, nil
	case folder.OutcomeConflict:
		v, err := s.Load(ctx)
		if err != nil {
			return Result{}, &LogUnreachableError{Cause: err}
		}
		winner := v.winnerAfter(r.BaseVersion)
		return Result{}, &ConflictError{BaseVersion: r.BaseVersion, WinnerVersion: winner, Author: v.Author(winner)}
	default:
		return Result{}, &RefusedError{ID: r.ID, Outcome: folded.Outcome}
	}
}

func loadOnce(ctx context.Context, s System) (*ConfigView, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return s.Load(ctx)
}

// logUnreachable returns a *LogUnreachableError, with the change's ID if an
// append was sent.
func logUnreachable(r folder.Record, appendSent bool, cause error) error {
	if !appendSent {
		return &LogUnreachableError{BaseVersion: r.BaseVersion, Cause: cause}
	}
	return &LogUnreachableError{ID: r.ID, BaseVersion: r.BaseVersion, Cause: cause}
}

// winnerAfter returns the first version after base, or the current version when
// the log no longer keeps that change.
func (v *ConfigView) winnerAfter(base uint64) uint64 {
	winner := v.State.ConfigVersion
	for version := range v.changes {
		if version > base && version < winner {
			winner = version
		}
	}
	return winner
}
