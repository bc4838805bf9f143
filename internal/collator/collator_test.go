package collator

import (
	"strings"
	"testing"
)

// TestLinesOfOneRequest reads the logs of two nodes. They contain lines of other
// requests and of calls, lines out of order, a truncated line and the prefix of a
// log collector.
func TestLinesOfOneRequest(t *testing.T) {
	logs := []string{
		`{"time":"2026-05-07T22:30:57.103Z","level":"info","node":"n2","request":"85.5f","reason":"broken","elapsedms":215.8,"message":"guardian: backend server gave no usable response"}
{"time":"2026-05-07T22:30:57.000Z","level":"info","node":"n2","request":"851","message":"admitter: request answered"}
{"time":"2026-05-07T22:30:57.000Z","level":"info","node":"n2","detail":"request 85","message":"other"}`,
		`  0.5 n1 {"time":"2026-05-07T22:30:56.900Z","level":"info","node":"n1","request":"85","message":"forwarder: attempt failed, retrying on another node"}
{"time":"2026-05-07T22:30:57.200Z","level":"info","node":"n1","request":"85","status":502,"message":"admitter: request refused"}
{"time":"2026-05-07T22:30:57.200Z","level":"info","node":"n1","request":"85","mess`,
	}
	c := Collator{Request: "85"}
	for _, log := range logs {
		if err := c.ReadLog(strings.NewReader(log)); err != nil {
			t.Fatal(err)
		}
	}
	var got []string
	for _, l := range c.Lines() {
		got = append(got, l.Node+" "+l.RequestID+" "+l.Message+" "+strings.Join(l.FieldNames(), ","))
	}
	want := []string{
		"n1 85 forwarder: attempt failed, retrying on another node ",
		"n2 85.5f guardian: backend server gave no usable response elapsedms,reason",
		"n1 85 admitter: request refused status",
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	if c.Unreadable != 1 {
		t.Errorf("got %d unreadable lines, want 1", c.Unreadable)
	}
}
