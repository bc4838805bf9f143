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
	firstPause = 50 * time.Millisecond
	maxPause   = time.Second
	// tryTimeout bounds one append and one read, so that a silent log leaves
	// time for further tries.
	tryTimeout = 3 * time.Second
)

type (
	// ConflictError says that another change was accepted first.
	ConflictError struct {
		// Base is the version that the change was made against.
		Base uint64
		// Winner is the version that was accepted instead.
		Winner uint64
		// Author published the winner.
		Author string
	}

	// OutageError says that the log could not be reached.
	LogUnreachableError struct {
		// ID is the change's ID; empty when nothing was appended.
		ID string
		// Base is the version that the change was made against.
		Base uint64
		// Cause is the last error.
		Cause error
	}

	// RefusedError says that the fold refused the change.
	RefusedError struct {
		// ID is the change's ID.
		ID string
		// Outcome is what the fold made of it.
		Outcome folder.Outcome
	}

	// Result is what became of a change.
	Result struct {
		// ID is the change's ID.
		ID string
		// Version is the one in force once the change is.
		Version uint64
		// Changed is false when the configuration was like that before.
		Changed bool
	}
)

// Load reads the log to its tail, again and again until it answers or ctx
// ends. The error is an *OutageError, or a *SnapshotError that no repetition
// mends.
func LoadWithRetry(ctx context.Context, s System) (v *ConfigView, err error) {
	pause := firstPause
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
		pause = min(2*pause, maxPause)
	}
}

// Append appends a change until it reads it back, or until ctx ends. Repeating
// it with the same record is safe. The error is a *ConflictError, a
// *RefusedError or an *OutageError, or what the log refuses for good.
func AppendAndConfirm(ctx context.Context, s System, r folder.Record) (result Result, err error) {
	sent := false
	pause := firstPause
	for {
		var seen folder.Seen
		seen, err = appendOnce(ctx, s, r, &sent)
		if err == nil {
			return judge(ctx, s, r, seen)
		}
		if isPermanent(err) {
			return Result{}, err
		}
		select {
		case <-ctx.Done():
			return Result{}, outage(r, sent, err)
		case <-time.After(pause):
		}
		pause = min(2*pause, maxPause)
	}
}

// Error names both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("lost the race: version %d by %s was accepted first, this change was made against version %d",
		e.Winner, e.Author, e.Base)
}

// Error says what is known of the change.
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

// appendOnce looks for the record first, because an earlier append whose
// answer was lost may have taken effect.
func appendOnce(ctx context.Context, s System, r folder.Record, sent *bool) (seen folder.Seen, err error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	seen, found, err := find(ctx, s, r.ID)
	if err != nil || found {
		return seen, err
	}
	*sent = true
	if err := s.Append(ctx, r); err != nil {
		return folder.Seen{}, err
	}
	seen, found, err = find(ctx, s, r.ID)
	if err != nil {
		return folder.Seen{}, err
	}
	if !found {
		return folder.Seen{}, errors.Newf("log does not show change %s", r.ID)
	}
	return seen, nil
}

func find(ctx context.Context, s System, id string) (seen folder.Seen, found bool, err error) {
	v, err := s.Load(ctx)
	if err != nil {
		return folder.Seen{}, false, err
	}
	seen, found = v.State.Find(id)
	return seen, found, nil
}

// isPermanent reports whether a repetition can't mend err. A status of 4xx says
// that the log did not take the record.
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

func judge(ctx context.Context, s System, r folder.Record, seen folder.Seen) (result Result, err error) {
	result = Result{ID: r.ID, Version: seen.Offset, Changed: true}
	switch seen.Outcome {
	case folder.OutcomeAccepted:
		return result, nil
	case folder.OutcomeNoChange:
		return Result{ID: r.ID, Version: r.Base}, nil
	case folder.OutcomeConflict:
		v, err := s.Load(ctx)
		if err != nil {
			return Result{}, &LogUnreachableError{Cause: err}
		}
		winner := v.winner(r.Base)
		return Result{}, &ConflictError{Base: r.Base, Winner: winner, Author: v.Author(winner)}
	default:
		return Result{}, &RefusedError{ID: r.ID, Outcome: seen.Outcome}
	}
}

func loadOnce(ctx context.Context, s System) (*ConfigView, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	return s.Load(ctx)
}

func outage(r folder.Record, sent bool, cause error) error {
	if !sent {
		return &LogUnreachableError{Base: r.Base, Cause: cause}
	}
	return &LogUnreachableError{ID: r.ID, Base: r.Base, Cause: cause}
}

// winner returns the first version after base, or the present one when the
// log no longer tells.
func (v *ConfigView) winner(base uint64) uint64 {
	winner := v.State.Version
	for version := range v.changes {
		if version > base && version < winner {
			winner = version
		}
	}
	return winner
}
