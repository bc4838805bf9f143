package guardian

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/director"
)

// newReturnedFixture returns a Guardian whose backend server has become cold while its failure
// domain was out of service, and the number of its health checks. The server has not announced
// that it is cold.
func newReturnedFixture(t *testing.T) (f *fixture, checks *atomic.Int64) {
	t.Helper()
	checks = &atomic.Int64{}
	f = newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		checks.Add(1)
		w.Header().Set("Instance", "s1")
		w.Header().Set("Warmup", "2500")
		writeSealed(w, r)
	})
	f.announce(8, 0)
	s := f.table.Load().State
	out := s
	out.EvacuatedDomains = []string{"north"}
	f.setState(out)
	f.ReloadConfig()
	f.setState(s)
	f.ReloadConfig()
	if !f.LoadReport().Closed {
		t.Fatal("got an open server before the health check, want a closed one")
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go f.Run(ctx)
	for f.LoadReport().Closed {
		time.Sleep(time.Millisecond)
	}
	return f, checks
}

// TestReturnToServiceRequiresHealthCheck guards against full load on a server that has
// become cold while its failure domain was out of service and has not announced it yet.
func TestReturnToServiceRequiresHealthCheck(t *testing.T) {
	f, _ := newReturnedFixture(t)
	if f.LoadReport().WarmupRemaining == 0 {
		t.Error("got a warm server, want a cold one as reported by the health check")
	}
}

// TestLateHeartbeatCausesHealthCheck guards against full load on a cold server because a heartbeat
// arrives late that was sent before the server became cold.
func TestLateHeartbeatCausesHealthCheck(t *testing.T) {
	f, checks := newReturnedFixture(t)
	before := checks.Load()
	f.HandleHeartbeat(Heartbeat{ID: "s1", StartUnixMillis: 1, Sequence: 9, Slots: 8})
	for range 3 {
		if f.LoadReport().WarmupRemaining == 0 {
			t.Error("got a warm server after the late heartbeat, want a cold one as reported by the health check")
		}
		for i := 0; i < 1000 && checks.Load() == before; i++ {
			time.Sleep(time.Millisecond)
		}
	}
	if got := checks.Load(); got <= before {
		t.Errorf("got %d health checks after the late heartbeat, want another one", got-before)
	}
}

// TestColdServerIsPacedWithoutItsService guards against full load on a cold server because a
// configuration lacks its service for a moment.
func TestColdServerIsPacedWithoutItsService(t *testing.T) {
	f := newFixture(t, writeSealed)
	f.announce(50, 3*time.Second)
	s := f.table.Load().State
	s.Config = &director.Config{Version: 2}
	f.setState(s)
	f.ReloadConfig()
	for i := range 50 {
		go func() { _, _ = f.HandleCall(t.Context(), f.newCall(fmt.Sprint(i))) }()
	}
	time.Sleep(100 * time.Millisecond)
	if got := f.runs.Load(); got > 2 {
		t.Errorf("got %d runs on the cold server at once, want at most 2", got)
	}
}
