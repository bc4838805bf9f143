package attributor

import (
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
)

var start = time.Unix(1000, 0)

func at(millis int) time.Time {
	return start.Add(time.Duration(millis) * time.Millisecond)
}

// TestRunOfCall checks which run a call is attributed to by its ID.
func TestRunOfCall(t *testing.T) {
	tests := []struct {
		name, id, want string
	}{
		{"call of a run", "a1.b2", "a1"},
		{"call of a nested run", "a1.c3.d4", "a1.c3"},
		{"other separator", "a1-b2", "a1"},
		{"prefix without separator", "a1b2", ""},
		{"unrelated ID", "e5", ""},
		{"the run's own ID", "a1", ""},
		{"ended run", "gone.b2", ""},
		{"empty ID", "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var a Attributor
			for _, id := range []string{"a1", "a1.c3", "f6"} {
				a.StartRun(start, &exchanger.Call{ID: id})
			}
			a.EndRun(start, a.StartRun(start, &exchanger.Call{ID: "gone"}))
			got := ""
			if r := a.StartCall(start, tt.id, "ledger"); r != nil {
				got = r.Call.ID
			}
			if got != tt.want {
				t.Errorf("got run %q, want %q", got, tt.want)
			}
		})
	}
}

// TestOwnTime checks that the time in which a run waits for its calls is not its own, also
// where its calls overlap or outlast it.
func TestOwnTime(t *testing.T) {
	type span struct{ from, to int }
	tests := []struct {
		name  string
		calls []span
		want  time.Duration
	}{
		{"no calls", nil, 100 * time.Millisecond},
		{"one call", []span{{10, 40}}, 70 * time.Millisecond},
		{"calls in turn", []span{{10, 20}, {30, 60}}, 60 * time.Millisecond},
		{"overlapping calls", []span{{10, 50}, {20, 80}}, 30 * time.Millisecond},
		{"call that outlasts the run", []span{{60, 200}}, 60 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var a Attributor
			r := a.StartRun(at(0), &exchanger.Call{ID: "a", Route: "book"})
			pending := map[int]*Run{}
			for ms := 0; ms < 100; ms++ {
				for i, c := range tt.calls {
					if c.from == ms {
						pending[i] = a.StartCall(at(ms), "a.b", "ledger")
					}
					if c.to == ms {
						a.EndCall(at(ms), pending[i], false)
					}
				}
			}
			got := a.EndRun(at(100), r)
			if got.OwnTime != tt.want {
				t.Errorf("got own time %s, want %s", got.OwnTime, tt.want)
			}
			if got.Calls["ledger"] != len(tt.calls) {
				t.Errorf("got %d calls, want %d", got.Calls["ledger"], len(tt.calls))
			}
		})
	}
}
