package validator

import (
	"math"
	"testing"
	"time"
)

func TestDuration(t *testing.T) {
	tests := []struct {
		value float64
		unit  time.Duration
		want  time.Duration
		ok    bool
	}{
		{0, time.Second, 0, true},
		{1.5, time.Millisecond, 1500 * time.Microsecond, true},
		{MaxDuration.Seconds(), time.Second, MaxDuration, true},
		{MaxDuration.Seconds() + 1, time.Second, 0, false},
		{1e300, time.Millisecond, 0, false},
		{-1, time.Second, 0, false},
		{math.NaN(), time.Second, 0, false},
		{math.Inf(1), time.Second, 0, false},
	}
	for _, tt := range tests {
		if got, err := Duration(tt.value, tt.unit); got != tt.want || (err == nil) != tt.ok {
			t.Errorf("Duration(%v, %s): got %s, %v, want %s, ok %t", tt.value, tt.unit, got, err, tt.want, tt.ok)
		}
	}
	for micros, want := range map[int64]time.Duration{-1: 0, 2: 2 * time.Microsecond, math.MaxInt64: MaxDuration, math.MinInt64: 0} {
		if got := Micros(micros); got != want {
			t.Errorf("Micros(%d): got %s, want %s", micros, got, want)
		}
	}
}

func TestRate(t *testing.T) {
	for value, want := range map[float64]bool{0: true, 0.5: true, MaxRate: true, -1: false, 1e300: false, 1e-300: false, math.Inf(1): false} {
		if err := Rate(value); (err == nil) != want {
			t.Errorf("Rate(%v): got %v, want ok %t", value, err, want)
		}
	}
	if Rate(math.NaN()) == nil || Quantity(math.NaN(), 1) == nil {
		t.Error("got NaN accepted, want an error")
	}
}

func TestAddress(t *testing.T) {
	for text, want := range map[string]bool{
		"10.0.0.1:80": true, "host:65535": true, "10.0.0.1:65536": false, "10.0.0.1:0": false, "10.0.0.1:-1": false,
		"10.0.0.1:http": false, "10.0.0.1:": false, ":80": false, "10.0.0.1": false, "": false,
		"10.0.0.1:99999999999999999999": false,
	} {
		if err := Address(text); (err == nil) != want {
			t.Errorf("Address(%q): got %v, want ok %t", text, err, want)
		}
	}
}
