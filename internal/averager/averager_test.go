package averager

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// TestMeanFollowsAChange is the load of a server that was cold: the time of a
// request falls to a tenth, while requests come often or seldom.
func TestMeanFollowsLoadChange(t *testing.T) {
	const before, after = 600 * time.Millisecond, 60 * time.Millisecond
	tests := []struct {
		name  string
		every time.Duration
		// within is the time until the mean is less than twice what is true.
		within time.Duration
	}{
		{"five hundred a second", 2 * time.Millisecond, 200 * time.Millisecond},
		{"twenty a second", 50 * time.Millisecond, 2 * time.Second},
		{"four a second", 250 * time.Millisecond, 3 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var m RunningMean
			now := time.Unix(1000, 0)
			for range 1000 {
				now = now.Add(tt.every)
				m.Add(now, before)
			}
			for range int(tt.within / tt.every) {
				now = now.Add(tt.every)
				m.Add(now, after)
			}
			if got := m.Value(); got >= 2*after {
				t.Errorf("got %s after %s, want less than %s", got, tt.within, 2*after)
			}
		})
	}
}

// TestMeanOfSteadyValues checks that single values move the mean little while
// many come.
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
		t.Errorf("got %s after one value of three times the mean, want at most %s", got, want)
	}
}

// TestMeansByKind checks that kinds have means of their own, within bounds.
func TestMeansByKind(t *testing.T) {
	var b MeansByKind
	if b.OverallMean() != 0 || b.Mean("view") != 0 {
		t.Errorf("got %s and %s before the first time, want 0", b.OverallMean(), b.Mean("view"))
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
		{"one of the first kinds", b.Mean("kind1"), time.Second},
		{"a kind beyond the bound", b.Mean(fmt.Sprint("kind", 2*maxKinds-1)), 0},
	}
	for _, tt := range tests {
		if tt.got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.name, tt.got, tt.want)
		}
	}
	if b.Mean("kind0") <= time.Second || b.OverallMean() <= time.Second {
		t.Errorf("got %s and %s after a longer time, want more than 1s", b.Mean("kind0"), b.OverallMean())
	}
}

// TestSumFades checks that amounts fade by their age, and that late ones count.
func TestSumDecays(t *testing.T) {
	const memory = time.Second
	now := time.Unix(1000, 0)
	var s DecayingSum
	s.Add(now, memory, 4)
	s.Add(now.Add(-time.Second), memory, 2)
	tests := []struct {
		after time.Duration
		want  float64
	}{
		{0, 6},
		{time.Second, 6 / math.E},
		{2 * time.Second, 6 / math.E / math.E},
	}
	for _, tt := range tests {
		if got := s.Value(now.Add(tt.after), memory); math.Abs(got-tt.want) > 1e-9 {
			t.Errorf("after %s: got %.3f, want %.3f", tt.after, got, tt.want)
		}
	}
}
