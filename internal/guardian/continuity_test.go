package guardian

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/director"
)

// answerHealth answers health checks of server s1 with a status and a warm-up in milliseconds.
func answerHealth(status int, warmupMillis string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Instance", "s1")
		w.Header().Set("Warmup", warmupMillis)
		w.WriteHeader(status)
	}
}

// TestServerThatMayHaveRestarted guards against full load on a server that has started again
// under its ID, cold, before its first heartbeat arrives. The node sees its connections close while
// it is idle, or break under a call. An ordinary close costs a health check, and no call.
func TestServerThatMayHaveRestarted(t *testing.T) {
	const count = 20
	closeConns := func(_ *testing.T, f *crashFixture) { f.server.CloseClientConnections() }
	tests := []struct {
		name   string
		health http.HandlerFunc
		event  func(t *testing.T, f *crashFixture)
		// unpaced says that the configuration has no warm-up rate.
		unpaced             bool
		wantLeast, wantMost int
		wantChecks          int64
	}{
		{"connections closed while idle, cold", answerHealth(http.StatusOK, "3000"), closeConns, false, 1, 2, 1},
		{"connection broken under a call, cold", answerHealth(http.StatusOK, "3000"), func(t *testing.T, f *crashFixture) {
			if got := f.call(breakPath); got == nil {
				t.Error("got an answer, want a broken connection")
			}
		}, false, 1, 2, 1},
		{"no connection left after a silence, cold", answerHealth(http.StatusOK, "3000"), func(_ *testing.T, f *crashFixture) {
			f.Backend.Close()
		}, false, 1, 2, 1},
		{"cold and not healthy", answerHealth(http.StatusServiceUnavailable, "3000"), closeConns, false, 1, 2, 1},
		{"ordinary close", answerHealth(http.StatusOK, ""), closeConns, false, count, count, 1},
		{"ordinary close, false health", answerHealth(http.StatusServiceUnavailable, ""), closeConns, false, count, count, 1},
		{"health check without an answer", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, closeConns, false, 1, 2, 1},
		{"connection still open", answerHealth(http.StatusOK, "3000"), func(*testing.T, *crashFixture) {}, false, count, count, 0},
		{"no warm-up rate", answerHealth(http.StatusOK, "3000"), closeConns, true, count, count, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newCrashFixture(t, "s1")
			f.answerHealth = tt.health
			if tt.unpaced {
				f.setState(director.State{Revision: 2, Config: &director.Config{Version: 2, Services: []director.Service{{Name: "ledger", HealthPath: "/health"}}}})
				f.ReloadConfig()
			}
			go func() { _ = f.Run(t.Context()) }()
			if got := f.call("/first"); got != nil {
				t.Fatalf("got refusal %v, want an answer", got)
			}
			f.clock.Advance(time.Second)
			time.Sleep(2 * minRestartTime)
			tt.event(t, f)
			ctx, cancel := context.WithCancel(t.Context())
			var calls sync.WaitGroup
			for i := range count {
				calls.Go(func() {
					c := f.newCall(fmt.Sprint("call-", i))
					c.Target = fmt.Sprint("/call/", i)
					_, _ = f.HandleCall(ctx, c)
				})
			}
			time.Sleep(2 * maxCheckWait)
			cancel()
			calls.Wait()
			if got := f.countRuns("/call/"); got < tt.wantLeast || got > tt.wantMost {
				t.Errorf("got %d runs at once, want %d to %d", got, tt.wantLeast, tt.wantMost)
			}
			if got := f.checks.Load(); got != tt.wantChecks {
				t.Errorf("got %d health checks, want %d", got, tt.wantChecks)
			}
		})
	}
}

// countRuns returns the number of requests that began to run and whose path has that prefix.
func (f *crashFixture) countRuns(prefix string) (count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, path := range f.paths {
		if strings.HasPrefix(path, prefix) {
			count++
		}
	}
	return count
}
