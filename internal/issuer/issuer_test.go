package issuer

import (
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
)

var epoch = time.Unix(1_000_000, 0)

func TestRetriedCallUsesRetryBudget(t *testing.T) {
	_, c := New().Issue(&exchanger.Request{RetriesLeft: 2})
	one := DigestCall(&exchanger.Request{Service: "leaf", Path: "/a"})
	other := DigestCall(&exchanger.Request{Service: "leaf", Path: "/b"})
	steps := []struct {
		name             string
		target           CallDigest
		result           Result
		isRetry, allowed bool
		retriesLeft      int
	}{
		{"first call", one, ResultFailure, false, true, 2},
		{"other call", other, ResultSuccess, false, true, 2},
		{"other call again", other, ResultSuccess, false, true, 2},
		{"first retry", one, ResultFailure, true, true, 1},
		{"second retry", one, ResultFailure, true, true, 0},
		{"retry without retries left", one, ResultFailure, true, false, 0},
		{"other call without retries left", other, ResultSuccess, false, true, 0},
	}
	for _, s := range steps {
		retries, isRetry, allowed := c.StartCall(epoch, s.target)
		if isRetry != s.isRetry || allowed != s.allowed {
			t.Errorf("%s: got retry %v, allowed %v, want %v, %v", s.name, isRetry, allowed, s.isRetry, s.allowed)
		}
		if allowed {
			c.EndCall(epoch, s.target, retries, s.result)
		}
		if got := c.RetriesLeft(); got != s.retriesLeft {
			t.Errorf("%s: got %d retries left, want %d", s.name, got, s.retriesLeft)
		}
	}
}

func TestDownstreamFailureIsNotRetried(t *testing.T) {
	_, c := New().Issue(&exchanger.Request{RetriesLeft: 9})
	target := DigestCall(&exchanger.Request{Service: "walker"})
	retries, _, _ := c.StartCall(epoch, target)
	c.EndCall(epoch, target, retries, ResultDownstreamFailure)
	if _, _, got := c.StartCall(epoch, target); got {
		t.Errorf("downstream failure: got allowed %v, want false", got)
	}
}

func TestDownstreamWaitCountsOverlapOnce(t *testing.T) {
	_, c := New().Issue(&exchanger.Request{})
	var target CallDigest
	c.StartCall(epoch, target)
	c.StartCall(epoch.Add(time.Second), target)
	c.EndCall(epoch.Add(2*time.Second), target, 0, ResultSuccess)
	c.EndCall(epoch.Add(3*time.Second), target, 0, ResultSuccess)
	if got, want := c.DownstreamWait(epoch.Add(9*time.Second)), 3*time.Second; got != want {
		t.Errorf("downstream wait: got %s, want %s", got, want)
	}
}
