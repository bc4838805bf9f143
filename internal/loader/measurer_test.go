package loader

import (
	"math"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/parser"
	"github.com/flamingotack/flamingotack/internal/recorder"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestMeasurer measures a run of 10 requests a second, of which every second
// one fails during the event and for 1 s after it.
func TestMeasurer(t *testing.T) {
	s := parseSmall(t)
	s.Duration = parser.Duration(8 * time.Second)
	s.Customers = append(s.Customers, Customer{Name: "y", Rate: 500, Burst: 500, Offered: 5})
	s.Events = []Event{{Kind: EventDomain, Domain: "north", At: parser.Duration(2 * time.Second), For: parser.Duration(2 * time.Second)}}
	m := &measurer{scenario: s, begin: begin}
	for i := range 80 {
		at := time.Duration(i) * 100 * time.Millisecond
		failing := at >= 2*time.Second && at < 5*time.Second && i%2 == 1
		m.requests = append(m.requests, request{
			customer: i % 2, flow: 1, started: begin.Add(at), finished: begin.Add(at + 10*time.Millisecond), served: !failing, sends: 1,
		})
	}
	got := m.result()
	tests := []struct {
		name string
		got  float64
		want float64
	}{
		{"goodput before", got.Goodput.Before, 10},
		{"goodput during", got.Goodput.During, 5},
		{"goodput share", got.Goodput.Share, 0.5},
		// The second that begins then has one failure in ten.
		{"recovery", got.Recovery, 0.75},
		{"worst share", got.Worst.Share, 0},
		{"domain", got.Domain, 35.0 / 50},
		{"sends", got.Sends, 1},
		{"latency", math.Round(got.Latency.Median), 10},
	}
	for _, tt := range tests {
		if math.Abs(tt.got-tt.want) > 0.001 {
			t.Errorf("%s: got %v, want %v", tt.name, tt.got, tt.want)
		}
	}
	if !got.Recovered || got.Worst.Customer != "y" {
		t.Errorf("got recovered %v and worst customer %q, want true and %q", got.Recovered, got.Worst.Customer, "y")
	}
}

func TestRefusedInsideRate(t *testing.T) {
	s := parseSmall(t)
	s.Customers[0].Rate, s.Customers[0].Burst = 1, 2
	m := &measurer{scenario: s, begin: begin}
	for i, reason := range []exchanger.Reason{"", exchanger.ReasonRate, exchanger.ReasonRate, exchanger.ReasonOverload} {
		c := recorder.Call{AttemptID: "c#0", ChainPath: "c#0", Customer: "x", Start: begin, Outcome: recorder.CallAnswered, Reason: reason}
		if reason != "" {
			c.Outcome = recorder.CallRefused
		}
		if i == 3 {
			c.Start = begin.Add(time.Second)
		}
		m.history.Calls = append(m.history.Calls, c)
	}
	// Only the first one was let through, so the bucket had a token for both
	// that were refused as above the rate.
	// An exact bucket lets three through, and two were.
	got := m.refused()
	want := Refused{Any: 3.0 / 4, Rate: 2.0 / 4, Short: got.Short}
	if got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	if wantShort := 1.0 / 3; math.Abs(got.Short-wantShort) > 0.001 {
		t.Errorf("short: got %v, want %v", got.Short, wantShort)
	}
}
