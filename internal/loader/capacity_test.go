package loader

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/parser"
)

func TestCapacityThroughput(t *testing.T) {
	s := &Scenario{
		Domains: []string{"north", "south"},
		Services: []Service{
			{Name: "a", ServerCount: 2, Slots: 10, MedianServiceTime: parser.Duration(100 * time.Millisecond)},
			{Name: "b", ServerCount: 2, Slots: 10, MedianServiceTime: parser.Duration(100 * time.Millisecond), DownstreamCalls: []DownstreamCall{{Service: "a", Path: "/"}}},
		},
		Flows: []Flow{{Service: "a", Path: "/", Weight: 1}, {Service: "b", Path: "/", Weight: 1}},
	}
	tests := []struct {
		name    string
		active  []Event
		offered []float64
		want    float64
	}{
		{"below capacity", nil, []float64{50, 50}, 100},
		{"the shared service is saturated", nil, []float64{400, 0}, 200},
		{"both flows share a saturated service", nil, []float64{200, 200}, 200},
		{"the calling service is saturated first", nil, []float64{0, 400}, 100},
		// The second flow saturates its own service at 100 requests per second.
		{"the other flow is still served", nil, []float64{100, 400}, 200},
		{"one server is out", []Event{{Kind: EventDomainOutage, Domain: "north"}}, []float64{400, 0}, 100},
		{"all servers are slow", []Event{{Kind: EventSlowdown, Service: "a", Factor: 2}}, []float64{400, 0}, 100},
		{"half of the answers fail", []Event{{Kind: EventFailAnswers, Service: "a", Factor: 0.5}}, []float64{100, 0}, 50},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := capacityModel{s, tt.active}.throughput(tt.offered)
			if math.Abs(got-tt.want) > 0.001 {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestFairShares(t *testing.T) {
	tests := []struct {
		name    string
		total   float64
		demands []float64
		want    []float64
	}{
		{"enough", 10, []float64{1, 2, 3}, []float64{1, 2, 3}},
		{"the small demand is met in full", 7, []float64{9, 1, 9}, []float64{3, 1, 3}},
		{"nothing to share", 0, []float64{1, 2}, []float64{0, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := fairShares(tt.total, tt.demands); !slices.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
