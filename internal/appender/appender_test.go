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

var errLost = errors.New("answer lost")

// lossyLog takes records and loses the first answers.
type lossyLog struct {
	*journaler.MemoryLog

	lose int
}

// Append takes the record.
func (l *lossyLog) Append(ctx context.Context, data []byte) (offset uint64, err error) {
	offset, err = l.MemoryLog.Append(ctx, data)
	if l.lose > 0 {
		l.lose--
		return 0, errLost
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

func outRecord() folder.Record {
	r := folder.NewRecord(folder.KindDomain)
	r.Outage = &folder.Outage{Name: "rajkot", Out: true}
	return r
}

func TestLostAppendResponseIsConfirmedByReading(t *testing.T) {
	log := &lossyLog{MemoryLog: journaler.NewMemoryLog(), lose: 2}
	a := newAppender(log)
	follower := &tailer.Tailer{Index: a.Index, Log: log, Logger: a.Logger, LongPollWait: 50 * time.Millisecond}
	go func() { _ = follower.Run(t.Context()) }()
	seen, err := a.Append(t.Context(), outRecord())
	if err != nil || seen.Outcome != folder.OutcomeAccepted {
		t.Errorf("outcome: got %q, %v, want %q", seen.Outcome, err, folder.OutcomeAccepted)
	}
}

func TestUnconfirmedAppend(t *testing.T) {
	for _, tt := range []struct {
		name  string
		lose  int
		cause error
	}{
		{"every answer is lost", 1000, errLost},
		{"nobody follows the log", 0, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			r := outRecord()
			_, err := newAppender(&lossyLog{MemoryLog: journaler.NewMemoryLog(), lose: tt.lose}).Append(ctx, r)
			var uncertain *UnconfirmedError
			if !errors.As(err, &uncertain) || uncertain.ID != r.ID {
				t.Fatalf("error: got %v, want an uncertain one for %s", err, r.ID)
			}
			if !errors.Is(uncertain.Cause, tt.cause) {
				t.Errorf("cause: got %v, want %v", uncertain.Cause, tt.cause)
			}
		})
	}
}
