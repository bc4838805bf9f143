package loader

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/flamingotack/flamingotack/internal/parser"
)

const smallScenario = `{
  "name": "small", "warmup": "100ms", "duration": "1s", "domains": ["north", "south"],
  "delay": {"domains": "1ms", "callers": "1ms"},
  "services": [
    {"name": "desk", "servers": 2, "slots": 20, "time": "1ms", "calls": [{"service": "board", "path": "/hold"}]},
    {"name": "board", "servers": 2, "slots": 20, "time": "2ms"}
  ],
  "flows": [
    {"name": "book", "service": "desk", "method": "POST", "path": "/book", "weight": 1, "priority": "critical", "keyed": true},
    {"name": "view", "service": "board", "path": "/view", "weight": 3}
  ],
  "customers": [{"name": "x", "rate": 500, "offered": 60, "retries": 2}],
  "events": [{"kind": "slow", "at": "300ms", "for": "200ms", "service": "board", "factor": 2}]
}`

func TestParseScenarioErrors(t *testing.T) {
	tests := []struct {
		name string
		old  string
		new  string
		want string
	}{
		{"unknown field", `"weight": 3`, `"wieght": 3`, "s:10: flows[1].wieght: unknown field"},
		{"unknown service", `{"service": "board",`, `{"service": "bord",`, `s:5: services[0].calls[0].service: service "bord" is unknown`},
		{"unknown kind", `"kind": "slow"`, `"kind": "quake"`, `s:13: events[0].kind: "quake" is not a kind of event`},
		{"late event", `"at": "300ms"`, `"at": "900ms"`, "s:13: events[0].at: the event does not end within the duration of 1s"},
		{"no rate", `"rate": 500`, `"rate": 0`, "s:12: customers[0].rate: 0 is not above 0"},
		{"no servers", `"servers": 2, "slots": 20, "time": "2ms"`, `"servers": 0, "slots": 20`, "s:6: services[1].servers: 0 is not between 1 and 200"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(smallScenario, tt.old, tt.new, 1)
			_, err := ParseScenario("s", []byte(text))
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got %v, want %q", err, tt.want)
			}
		})
	}
}

func TestScenarioFiles(t *testing.T) {
	files, err := filepath.Glob("../../scenarios/*.jsonc")
	if err != nil || len(files) == 0 {
		t.Fatalf("got files %v, %v", files, err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		s, err := ParseScenario(file, data)
		if err != nil {
			t.Error(err)
			continue
		}
		for _, policy := range []string{parser.PolicyAdaptive, parser.PolicyFixed} {
			if _, err := s.manifest(policy); err != nil {
				t.Errorf("%s: %v", file, err)
			}
		}
	}
}

func parseSmall(t *testing.T) *Scenario {
	t.Helper()
	s, err := ParseScenario("s", []byte(smallScenario))
	if err != nil {
		t.Fatal(err)
	}
	return s
}
