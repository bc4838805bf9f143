// Package appender appends records to the log and confirms each by reading it
// back.
package appender

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/indexer"
	"github.com/flamingotack/flamingotack/internal/journaler"
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/publisher"
)

const (
	attemptTimeout  = 3 * time.Second
	firstRetryDelay = 200 * time.Millisecond
	maxRetryDelay   = 5 * time.Second
)

type (
	// Appender appends records to the log. It needs a follower of the log,
	// such as a tailer.Tailer, that publishes the folded state to Index. Set
	// the fields before use. An Appender is safe for concurrent use.
	Appender struct {
		// Index publishes the state that confirms appended records.
		Index *publisher.Value[indexer.Index]
		// Log is the platform's log.
		Log journaler.Log
		// Logger receives failed appends.
		Logger *logger.Logger
	}

	// UnconfirmedError reports a record that was not read back from the log
	// in time. The record may still take effect later.
	UnconfirmedError struct {
		// ID is the ID of the record.
		ID string
		// Kind is the kind of the record.
		Kind folder.Kind
		// Cause is the error of the last append; nil when the log confirmed
		// the append.
		Cause error
	}
)

// Append appends r and returns the outcome of folding it. It retries an append
// whose response is lost with the same ID, by which the fold recognizes
// duplicates. The error is an *UnconfirmedError when ctx ends first.
func (a *Appender) Append(ctx context.Context, r folder.Record) (folded folder.FoldedRecord, err error) {
	data, err := folder.Encode(r)
	if err != nil {
		return folder.FoldedRecord{}, err
	}
	delay := firstRetryDelay
	for {
		err := a.appendOnce(ctx, data)
		if err == nil {
			return a.confirm(ctx, r)
		}
		if ctx.Err() == nil {
			a.Logger.Warnf("append of %s record failed: %v", r.Kind, err)
		}
		pause, cancel := context.WithTimeout(ctx, jitter(delay))
		folded, found := a.waitForRecord(pause, r.ID)
		cancel()
		if found {
			return folded, nil
		}
		if ctx.Err() != nil {
			return folder.FoldedRecord{}, &UnconfirmedError{ID: r.ID, Kind: r.Kind, Cause: err}
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// Error names the record and, when the append failed, its cause.
func (e *UnconfirmedError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s record %s is in the log but was not read back in time", e.Kind, e.ID)
	}
	return fmt.Sprintf("%s record %s may or may not be in the log: %v", e.Kind, e.ID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnconfirmedError) Unwrap() error {
	return e.Cause
}

func (a *Appender) appendOnce(ctx context.Context, data []byte) (err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	_, err = a.Log.Append(ctx, data)
	return errors.Wrap(err, "append")
}

// confirm waits until a record that the log accepted is folded.
func (a *Appender) confirm(ctx context.Context, r folder.Record) (folded folder.FoldedRecord, err error) {
	folded, found := a.waitForRecord(ctx, r.ID)
	if !found {
		return folder.FoldedRecord{}, &UnconfirmedError{ID: r.ID, Kind: r.Kind}
	}
	return folded, nil
}

// waitForRecord waits until the record is folded or ctx ends.
func (a *Appender) waitForRecord(ctx context.Context, id string) (folded folder.FoldedRecord, found bool) {
	for {
		changed := a.Index.Changed()
		if x := a.Index.Load(); x != nil {
			if folded, found := x.State.FindRecord(id); found {
				return folded, true
			}
		}
		select {
		case <-ctx.Done():
			return folder.FoldedRecord{}, false
		case <-changed:
		}
	}
}

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2)
}
