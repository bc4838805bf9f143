package logger

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"time"
)

// TestFloodWithoutReader writes far more lines than a pipe holds that nobody
// reads: no line waits, and what was left out is said once somebody reads.
func TestWriteWithoutReader(t *testing.T) {
	in, out := io.Pipe()
	b := NewRateLimitedWriter(out, 1_000_000)
	l := New(b, "info", "n")
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = b.Run(ctx)
	}()
	for range 20_000 {
		l.Infof("A line of the flood that takes some room, %s.", strings.Repeat("x", 100))
	}
	read := make(chan []byte)
	go func() {
		data, _ := io.ReadAll(in)
		read <- data
	}()
	cancel()
	<-ended
	out.Close()
	if got := string(<-read); !strings.Contains(got, "Left out") {
		t.Errorf("got no word about what was left out in %d bytes, want one", len(got))
	}
}

func TestRateLimit(t *testing.T) {
	var out bytes.Buffer
	b := NewRateLimitedWriter(&out, 100)
	l := New(b, "info", "n")
	started := time.Now()
	b.now = func() time.Time { return started }
	for range 1000 {
		l.Infof("Detail.")
	}
	for range 1000 {
		l.Warnf("Warning.")
	}
	if err := b.flush(); err != nil {
		t.Fatal(err)
	}
	details, warnings := strings.Count(out.String(), "Detail."), strings.Count(out.String(), "Warning.")
	if details != 75 || warnings != 25 {
		t.Errorf("got %d details and %d warnings, want 75 and 25", details, warnings)
	}
	if want := "Left out 1900 lines above the rate"; !strings.Contains(out.String(), want) {
		t.Errorf("got no %q, want it", want)
	}
}

// TestChangesOfStateAreLoggedInAFloodOfRefusals guards against a log in which
// nobody can see when a node took a configuration, as the lines of refused
// requests had used up the rate.
func TestEventsAreLoggedDuringManyRefusals(t *testing.T) {
	var out bytes.Buffer
	b := NewRateLimitedWriter(&out, 40)
	l := New(b, "info", "n")
	started := time.Now()
	b.now = func() time.Time { return started }
	for range 1000 {
		l.LogDecision(Decision{Outcome: "Answers."})
		l.LogDecision(Decision{Outcome: "Refuses.", Reason: "overload"})
	}
	for range 10 {
		l.Infof("Revision is in force.")
	}
	if err := b.flush(); err != nil {
		t.Fatal(err)
	}
	if got, want := strings.Count(out.String(), "Revision is in force."), 10; got != want {
		t.Errorf("got %d lines of changes, want %d", got, want)
	}
	if got, want := strings.Count(out.String(), "Refuses."), 10; got < want {
		t.Errorf("got %d lines of refusals, want at least %d", got, want)
	}
}

func TestDecisionLine(t *testing.T) {
	var out bytes.Buffer
	New(&out, "info", "n").Named("admitter").LogDecision(Decision{
		Request: "7", Route: "view", Customer: "pond", Outcome: "Refuses.", Status: 503, Reason: "overload", Ran: "no", ConfigVersion: 4, Elapsed: 1500 * time.Microsecond,
	})
	for _, want := range []string{`"request":"7"`, `"route":"view"`, `"customer":"pond"`, `"status":503`, `"reason":"overload"`, `"ran":"no"`, `"version":4`, `"elapsedms":1.5`, `"message":"admitter: Refuses."`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("got line %s without %s", out.String(), want)
		}
	}
	if strings.Contains(out.String(), `"peer"`) {
		t.Errorf("got line %s with an empty field", out.String())
	}
}
