package issuer

import (
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
)

var epoch = time.Unix(1_000_000, 0)

func TestRepeatedCallTakesFromTheBudget(t *testing.T) {
	_, c := New().Issue(&exchanger.Request{RetriesLeft: 2})
	one := DigestOf(&exchanger.Request{Service: "leaf", Path: "/a"})
	other := DigestOf(&exchanger.Request{Service: "leaf", Path: "/b"})
	steps := []struct {
		name              string
		target            Digest
		result            Result
		repeated, allowed bool
		left              int
	}{
		{"first", one, ResultFailed, false, true, 2},
		{"other", other, ResultGood, false, true, 2},
		{"other again", other, ResultGood, false, true, 2},
		{"repeat", one, ResultFailed, true, true, 1},
		{"second repeat", one, ResultFailed, true, true, 0},
		{"too many", one, ResultFailed, true, false, 0},
		{"other without budget", other, ResultGood, false, true, 0},
	}
	for _, s := range steps {
		budget, repeated, allowed := c.Take(epoch, s.target)
		if repeated != s.repeated || allowed != s.allowed {
			t.Errorf("%s: got repeated %v, allowed %v, want %v, %v", s.name, repeated, allowed, s.repeated, s.allowed)
		}
		if allowed {
			c.Give(epoch, s.target, budget, s.result)
		}
		if got := c.Budget(); got != s.left {
			t.Errorf("%s: got %d extra attempts left, want %d", s.name, got, s.left)
		}
	}
}

func TestOnlyTheHopAboveAFailureRepeats(t *testing.T) {
	_, c := New().Issue(&exchanger.Request{RetriesLeft: 9})
	target := DigestOf(&exchanger.Request{Service: "walker"})
	budget, _, _ := c.Take(epoch, target)
	c.Give(epoch, target, budget, ResultFailedBelow)
	if _, _, got := c.Take(epoch, target); got {
		t.Errorf("got allowed %v for a failure further down, want false", got)
	}
}

func TestWaitedCountsOverlappingCallsOnce(t *testing.T) {
	_, c := New().Issue(&exchanger.Request{})
	var target Digest
	c.Take(epoch, target)
	c.Take(epoch.Add(time.Second), target)
	c.Give(epoch.Add(2*time.Second), target, 0, ResultGood)
	c.Give(epoch.Add(3*time.Second), target, 0, ResultGood)
	if got, want := c.Waited(epoch.Add(9*time.Second)), 3*time.Second; got != want {
		t.Errorf("got waited %s, want %s", got, want)
	}
}
