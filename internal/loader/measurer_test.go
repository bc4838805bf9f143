package loader

import (
	"math"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/parser"
	"github.com/flamingotack/flamingotack/internal/recorder"
)

var measureStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestMeasurer measures a run with 10 requests per second, of which every
// second one fails during the event and for 1 s after it.
func TestMeasurer(t *testing.T) {
	s := parseSmall(t)
	s.Duration = parser.Duration(8 * time.Second)
	s.Customers = append(s.Customers, Customer{Name: "y", RatePerSecond: 500, BurstRequests: 500, OfferedPerSecond: 5})
	s.Events = []Event{{Kind: EventDomainOutage, Domain: "north", StartOffset: parser.Duration(2 * time.Second), Duration: parser.Duration(2 * time.Second)}}
	m := &measurer{scenario: s, measureStart: measureStart}
	for i := range 80 {
		at := time.Duration(i) * 100 * time.Millisecond
		failing := at >= 2*time.Second && at < 5*time.Second && i%2 == 1
		m.requests = append(m.requests, request{
			customerIndex: i % 2, flowIndex: 1, startedAt: measureStart.Add(at), finishedAt: measureStart.Add(at + 10*time.Millisecond), served: !failing, attempts: 1,
		})
	}
	got := m.result()
	tests := []struct {
		name string
		got  float64
		want float64
	}{
		{"goodput before", got.Goodput.BeforePerSecond, 10},
		{"goodput during", got.Goodput.DuringPerSecond, 5},
		{"goodput share", got.Goodput.CapacityFraction, 0.5},
		// In the second that starts 0.75 s after the event, one request in ten
		// fails.
		{"recovery", got.RecoverySeconds, 0.75},
		{"worst share", got.WorstServed.FairShareFraction, 0},
		{"domain", got.DomainOutageFraction, 35.0 / 50},
		{"sends", got.AttemptsPerRequest, 1},
		{"latency", math.Round(got.Latency.MedianMillis), 10},
	}
	for _, tt := range tests {
		if math.Abs(tt.got-tt.want) > 0.001 {
			t.Errorf("%s: got %v, want %v", tt.name, tt.got, tt.want)
		}
	}
	if !got.Recovered || got.WorstServed.Customer != "y" {
		t.Errorf("got recovered %v and worst customer %q, want true and %q", got.Recovered, got.WorstServed.Customer, "y")
	}
}

func TestRefusedInsideRate(t *testing.T) {
	s := parseSmall(t)
	s.Customers[0].RatePerSecond, s.Customers[0].BurstRequests = 1, 2
	m := &measurer{scenario: s, measureStart: measureStart}
	for i, reason := range []exchanger.Reason{"", exchanger.ReasonRate, exchanger.ReasonRate, exchanger.ReasonOverload} {
		c := recorder.Call{AttemptID: "c#0", ChainPath: "c#0", Customer: "x", Start: measureStart, Outcome: recorder.CallAnswered, Reason: reason}
		if reason != "" {
			c.Outcome = recorder.CallRefused
		}
		if i == 3 {
			c.Start = measureStart.Add(time.Second)
		}
		m.history.Calls = append(m.history.Calls, c)
	}
	// Only the first request was admitted, so the bucket had a token for both
	// requests that were refused as over the rate. An exact bucket admits
	// three requests, and two were admitted.
	got := m.refusedInsideRate()
	want := RefusalFractions{AnyReason: 3.0 / 4, OverRate: 2.0 / 4, RateShortfall: got.RateShortfall}
	if got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	if wantShortfall := 1.0 / 3; math.Abs(got.RateShortfall-wantShortfall) > 0.001 {
		t.Errorf("rate shortfall: got %v, want %v", got.RateShortfall, wantShortfall)
	}
}
