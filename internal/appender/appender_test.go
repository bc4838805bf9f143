package appender

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/indexer"
	"github.com/flamingotack/flamingotack/internal/journaler"
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/publisher"
	"github.com/flamingotack/flamingotack/internal/tailer"
)

var errResponseLost = errors.New("append response lost")

// lossyLog appends records, but loses the responses to the first appends.
type lossyLog struct {
	*journaler.MemoryLog

	responsesToLose int
}

// Append appends the record and fails while responses are to be lost.
func (l *lossyLog) Append(ctx context.Context, data []byte) (offset uint64, err error) {
	offset, err = l.MemoryLog.Append(ctx, data)
	if l.responsesToLose > 0 {
		l.responsesToLose--
		return 0, errResponseLost
	}
	return offset, err
}

func newAppender(log journaler.Log) *Appender {
	return &Appender{
		Index:  &publisher.Value[indexer.Index]{},
		Log:    log,
		Logger: logger.New(io.Discard, "error", "test"),
	}
}

func domainOutRecord() folder.Record {
	r := folder.NewRecord(folder.KindDomain)
	r.OutOfServiceChange = &folder.OutOfServiceChange{Name: "rajkot", OutOfService: true}
	return r
}

func TestLostAppendResponseIsConfirmedByReading(t *testing.T) {
	log := &lossyLog{MemoryLog: journaler.NewMemoryLog(), responsesToLose: 2}
	a := newAppender(log)
	follower := &tailer.Tailer{Index: a.Index, Log: log, Logger: a.Logger, LongPollWait: 50 * time.Millisecond}
	go func() { _ = follower.Run(t.Context()) }()
	folded, err := a.Append(t.Context(), domainOutRecord())
	if err != nil || folded.Outcome != folder.OutcomeAccepted {
		t.Errorf("outcome: got %q, %v, want %q", folded.Outcome, err, folder.OutcomeAccepted)
	}
}

func TestUnconfirmedAppend(t *testing.T) {
	for _, tt := range []struct {
		name            string
		responsesToLose int
		cause           error
	}{
		{"all responses lost", 1000, errResponseLost},
		{"no follower of the log", 0, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			r := domainOutRecord()
			_, err := newAppender(&lossyLog{MemoryLog: journaler.NewMemoryLog(), responsesToLose: tt.responsesToLose}).Append(ctx, r)
			var unconfirmed *UnconfirmedError
			if !errors.As(err, &unconfirmed) || unconfirmed.ID != r.ID {
				t.Fatalf("error: got %v, want an UnconfirmedError for %s", err, r.ID)
			}
			if !errors.Is(unconfirmed.Cause, tt.cause) {
				t.Errorf("cause: got %v, want %v", unconfirmed.Cause, tt.cause)
			}
		})
	}
}
