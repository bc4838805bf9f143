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
		{"same load", &messenger.Load{Name: "a", Incarnation: "x", Sequence: 2, Limit: 20, Shed: 3}, 0},
		{"slightly higher load", &messenger.Load{Name: "a", Incarnation: "x", Sequence: 2, Limit: 20, Shed: 3, Running: 10}, 0},
		{"old sequence number", &messenger.Load{Name: "a", Incarnation: "x", Sequence: 1, Draining: true}, 0},
		{"draining", &messenger.Load{Name: "a", Incarnation: "x", Sequence: 2, Limit: 20, Shed: 3, Draining: true}, maxLoadSends},
		{"much lower limit", &messenger.Load{Name: "a", Incarnation: "x", Sequence: 2, Limit: 5, Shed: 3}, maxLoadSends},
		{"unknown node with ordinary load", &messenger.Load{Name: "b", Incarnation: "x", Sequence: 1, Limit: 20, Shed: 3}, 0},
		{"unknown cold node", &messenger.Load{Name: "b", Incarnation: "x", Sequence: 1, Limit: 1, Cold: true}, maxLoadSends},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := &loadGossip{lastOwn: calm}
			g.merge([]*messenger.Load{calm})
			g.merge([]*messenger.Load{tt.load})
			got := 0
			for range maxOwnLoadSkips {
				got += len(g.nextLoads(calm))
			}
			if got != tt.want {
				t.Errorf("times sent on: got %d, want %d", got, tt.want)
			}
		})
	}
}
