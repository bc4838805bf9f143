package averager

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// TestMeanFollowsLoadChange guards against a mean that stays high after a server has
// warmed up: the time of a request falls to a tenth, at high and at low request rates.
func TestMeanFollowsLoadChange(t *testing.T) {
	const before, after = 600 * time.Millisecond, 60 * time.Millisecond
	tests := []struct {
		name     string
		interval time.Duration
		// within is the time until the mean is below twice the new value.
		within time.Duration
	}{
		{"500 requests per second", 2 * time.Millisecond, 200 * time.Millisecond},
		{"20 requests per second", 50 * time.Millisecond, 2 * time.Second},
		{"4 requests per second", 250 * time.Millisecond, 3 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var m RunningMean
			now := time.Unix(1000, 0)
			for range 1000 {
				now = now.Add(tt.interval)
				m.Add(now, before)
			}
			for range int(tt.within / tt.interval) {
				now = now.Add(tt.interval)
				m.Add(now, after)
			}
			if got := m.Value(); got >= 2*after {
				t.Errorf("got %s after %s, want less than %s", got, tt.within, 2*after)
			}
		})
	}
}

// TestMeanOfSteadyValues checks that a single outlier barely moves the mean of frequent
// values.
func TestMeanOfSteadyValues(t *testing.T) {
	var m RunningMean
	if got := m.Value(); got != 0 {
		t.Errorf("got %s before the first value, want 0", got)
	}
	now := time.Unix(1000, 0)
	for range 1000 {
		now = now.Add(time.Millisecond)
		m.Add(now, 100*time.Millisecond)
	}
	m.Add(now.Add(time.Millisecond), 300*time.Millisecond)
	if got, want := m.Value(), 111*time.Millisecond; got < 100*time.Millisecond || got > want {
		t.Errorf("got %s after an outlier of three times the mean, want 100ms to %s", got, want)
	}
}

// TestMeansByKind checks that each kind has its own mean, up to maxKinds.
func TestMeansByKind(t *testing.T) {
	var b MeansByKind
	if b.OverallMean() != 0 || b.Mean("view") != 0 {
		t.Errorf("got means %s and %s before the first value, want 0", b.OverallMean(), b.Mean("view"))
	}
	now := time.Unix(1000, 0)
	for i := range 2 * maxKinds {
		b.Add(now, fmt.Sprint("kind", i), time.Second)
	}
	b.Add(now, "kind0", 3*time.Second)
	tests := []struct {
		name      string
		got, want time.Duration
	}{
		{"kind within the bound", b.Mean("kind1"), time.Second},
		{"kind beyond the bound", b.Mean(fmt.Sprint("kind", 2*maxKinds-1)), 0},
	}
	for _, tt := range tests {
		if tt.got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.name, tt.got, tt.want)
		}
	}
	if b.Mean("kind0") <= time.Second || b.OverallMean() <= time.Second {
		t.Errorf("got means %s and %s after a longer value, want more than 1s", b.Mean("kind0"), b.OverallMean())
	}
}

// TestSumDecays checks that amounts decay with their age and that amounts with a past
// time still count.
func TestSumDecays(t *testing.T) {
	const decayTime = time.Second
	now := time.Unix(1000, 0)
	var s DecayingSum
	s.Add(now, decayTime, 4)
	s.Add(now.Add(-time.Second), decayTime, 2)
	tests := []struct {
		after time.Duration
		want  float64
	}{
		{0, 6},
		{time.Second, 6 / math.E},
		{2 * time.Second, 6 / math.E / math.E},
	}
	for _, tt := range tests {
		if got := s.Value(now.Add(tt.after), decayTime); math.Abs(got-tt.want) > 1e-9 {
			t.Errorf("after %s: got sum %.3f, want %.3f", tt.after, got, tt.want)
		}
	}
}
