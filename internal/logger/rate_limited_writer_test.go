package logger

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"time"
)

// TestWriteWithoutReader guards against a caller that blocks when nobody reads
// the log. Lines beyond the buffer are dropped, and the drop is logged once
// somebody reads.
func TestWriteWithoutReader(t *testing.T) {
	in, out := io.Pipe()
	w := NewRateLimitedWriter(out, 1_000_000)
	l := New(w, "info", "n")
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = w.Run(ctx)
	}()
	for range 20_000 {
		l.Infof("long line %s", strings.Repeat("x", 100))
	}
	read := make(chan []byte)
	go func() {
		data, _ := io.ReadAll(in)
		read <- data
	}()
	cancel()
	<-ended
	out.Close()
	if got := string(<-read); !strings.Contains(got, "log: dropped") {
		t.Errorf("got no line about dropped lines in %d bytes, want one", len(got))
	}
}

func TestRateLimit(t *testing.T) {
	var out bytes.Buffer
	w := NewRateLimitedWriter(&out, 100)
	l := New(w, "info", "n")
	started := time.Now()
	w.now = func() time.Time { return started }
	for range 1000 {
		l.Infof("detail line")
	}
	for range 1000 {
		l.Warnf("warning line")
	}
	if err := w.flush(); err != nil {
		t.Fatal(err)
	}
	details, warnings := strings.Count(out.String(), "detail line"), strings.Count(out.String(), "warning line")
	if details != 75 || warnings != 25 {
		t.Errorf("got %d info lines and %d warnings, want 75 and 25", details, warnings)
	}
	if want := "dropped 1900 lines above the rate limit"; !strings.Contains(out.String(), want) {
		t.Errorf("got no line that contains %q, want one", want)
	}
}

// TestEventsAreLoggedDuringManyRefusals guards against a log that does not show
// when a configuration came into force, because the lines of refused requests
// have used up the rate.
func TestEventsAreLoggedDuringManyRefusals(t *testing.T) {
	var out bytes.Buffer
	w := NewRateLimitedWriter(&out, 40)
	l := New(w, "info", "n")
	started := time.Now()
	w.now = func() time.Time { return started }
	for range 1000 {
		l.LogDecision(Decision{Outcome: "request answered"})
		l.LogDecision(Decision{Outcome: "request refused", Reason: "overload"})
	}
	for range 10 {
		l.Infof("revision put in force")
	}
	if err := w.flush(); err != nil {
		t.Fatal(err)
	}
	if got, want := strings.Count(out.String(), "revision put in force"), 10; got != want {
		t.Errorf("got %d lines of events, want %d", got, want)
	}
	if got, want := strings.Count(out.String(), "request refused"), 10; got < want {
		t.Errorf("got %d lines of refusals, want at least %d", got, want)
	}
}

func TestDecisionLine(t *testing.T) {
	var out bytes.Buffer
	New(&out, "info", "n").Named("admitter").LogDecision(Decision{
		Request: "7", Route: "view", Customer: "pond", Outcome: "request refused", Status: 503, Reason: "overload", Ran: "no", ConfigVersion: 4, Elapsed: 1500 * time.Microsecond,
	})
	for _, want := range []string{`"request":"7"`, `"route":"view"`, `"customer":"pond"`, `"status":503`, `"reason":"overload"`, `"ran":"no"`, `"version":4`, `"elapsedms":1.5`, `"message":"admitter: request refused"`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("got line %s without %s", out.String(), want)
		}
	}
	if strings.Contains(out.String(), `"peer"`) {
		t.Errorf("got line %s with an empty field", out.String())
	}
}
