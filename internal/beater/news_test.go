package beater

import (
	"testing"

	"github.com/flamingotack/flamingotack/internal/messenger"
)

func TestLoadGossip(t *testing.T) {
	calm := &messenger.Load{Name: "a", Incarnation: "x", Sequence: 1, Limit: 20, Shed: 3}
	tests := []struct {
		name string
		load *messenger.Load
		want int
	}{
		{"the same load", &messenger.Load{Name: "a", Incarnation: "x", Sequence: 2, Limit: 20, Shed: 3}, 0},
		{"a bit more load", &messenger.Load{Name: "a", Incarnation: "x", Sequence: 2, Limit: 20, Shed: 3, Running: 10}, 0},
		{"an old word", &messenger.Load{Name: "a", Incarnation: "x", Sequence: 1, Draining: true}, 0},
		{"draining", &messenger.Load{Name: "a", Incarnation: "x", Sequence: 2, Limit: 20, Shed: 3, Draining: true}, maxTellings},
		{"a far lower limit", &messenger.Load{Name: "a", Incarnation: "x", Sequence: 2, Limit: 5, Shed: 3}, maxTellings},
		{"a stranger without news", &messenger.Load{Name: "b", Incarnation: "x", Sequence: 1, Limit: 20, Shed: 3}, 0},
		{"a cold stranger", &messenger.Load{Name: "b", Incarnation: "x", Sequence: 1, Limit: 1, Cold: true}, maxTellings},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := &news{own: calm}
			n.take([]*messenger.Load{calm})
			n.take([]*messenger.Load{tt.load})
			got := 0
			for range maxSkipped {
				got += len(n.give(calm))
			}
			if got != tt.want {
				t.Errorf("times passed on: got %d, want %d", got, tt.want)
			}
		})
	}
}
