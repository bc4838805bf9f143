package emulator

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/journaler"
)

func TestLogService(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	service := NewLogService()
	running, err := service.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer running.Close()
	log := journaler.NewHTTPLog(running.URL())

	if got, err := log.Append(ctx, []byte("a")); got != 1 || err != nil {
		t.Fatalf("got offset %d, %v, want 1", got, err)
	}
	service.LoseAppendResponses(1)
	if _, err := log.Append(ctx, []byte("b")); err == nil {
		t.Error("got a response to the append, want it lost")
	}
	page, err := log.Read(ctx, 2, 10, 0)
	if err != nil || len(page.Entries) != 1 || string(page.Entries[0].Data) != "b" {
		t.Errorf("got %+v, %v, want the record whose response was lost", page, err)
	}
	service.SetOutage(OutageRefuse)
	if _, err := log.Append(ctx, []byte("c")); err == nil {
		t.Error("got a response in an outage, want an error")
	}
	service.SetOutage(OutageHang)
	short, cancelShort := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancelShort()
	if _, err := log.Read(short, 1, 10, 0); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v, want a hanging read", err)
	}
	service.SetOutage(OutageNone)
	service.SetRetention(1)
	var trimmed *journaler.TrimmedError
	if _, err := log.Read(ctx, 1, 10, 0); !errors.As(err, &trimmed) || trimmed.OldestOffset != 2 {
		t.Errorf("got %v, want entries from 2 on", err)
	}
	if got := service.MemoryLog().Tail(); got != 2 {
		t.Errorf("got tail %d, want 2", got)
	}
}
