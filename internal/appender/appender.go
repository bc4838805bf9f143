// Package appender adds records to the log until it reads them back.
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
	attemptTimeout = 3 * time.Second
	firstDelay     = 200 * time.Millisecond
	maxDelay       = 5 * time.Second
)

type (
	// Appender adds records to the log. Something else, such as a
	// tailer.Tailer, follows the log meanwhile and publishes its state. The
	// fields are set before use. It is safe for concurrent use.
	Appender struct {
		// Index is the state in which the records are looked for.
		Index *publisher.Value[indexer.Index]
		// Log is the platform's log.
		Log journaler.Log
		// Logger takes what goes wrong.
		Logger *logger.Logger
	}

	// UncertainError says that a record was not read back in time. It may
	// take effect later.
	UnconfirmedError struct {
		// ID is that of the record.
		ID string
		// Kind is that of the record.
		Kind folder.Kind
		// Cause is the last error of an append; nil when the log has taken
		// the record.
		Cause error
	}
)

// Append adds r and returns what the fold made of it. An append whose answer
// is lost is repeated with the same ID, which the fold knows. The error is an
// *UncertainError when ctx ends first.
func (a *Appender) Append(ctx context.Context, r folder.Record) (seen folder.Seen, err error) {
	data, err := folder.Encode(r)
	if err != nil {
		return folder.Seen{}, err
	}
	delay := firstDelay
	for {
		err := a.attempt(ctx, data)
		if err == nil {
			return a.await(ctx, r)
		}
		if ctx.Err() == nil {
			a.Logger.Warnf("Can't append the %s record: %v.", r.Kind, err)
		}
		pause, cancel := context.WithTimeout(ctx, jitter(delay))
		seen, found := a.find(pause, r.ID)
		cancel()
		if found {
			return seen, nil
		}
		if ctx.Err() != nil {
			return folder.Seen{}, &UnconfirmedError{ID: r.ID, Kind: r.Kind, Cause: err}
		}
		delay = min(2*delay, maxDelay)
	}
}

// Error names the record.
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

func (a *Appender) attempt(ctx context.Context, data []byte) (err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	_, err = a.Log.Append(ctx, data)
	return errors.Wrap(err, "append")
}

// await waits until the fold has seen a record that the log has taken.
func (a *Appender) await(ctx context.Context, r folder.Record) (seen folder.Seen, err error) {
	seen, found := a.find(ctx, r.ID)
	if !found {
		return folder.Seen{}, &UnconfirmedError{ID: r.ID, Kind: r.Kind}
	}
	return seen, nil
}

// find waits for the record until ctx ends.
func (a *Appender) find(ctx context.Context, id string) (seen folder.Seen, found bool) {
	for {
		changed := a.Index.Changed()
		if x := a.Index.Load(); x != nil {
			if seen, found := x.State.Find(id); found {
				return seen, true
			}
		}
		select {
		case <-ctx.Done():
			return folder.Seen{}, false
		case <-changed:
		}
	}
}

// jitter returns half of d to all of it.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2)
}
