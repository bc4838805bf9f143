package guardian

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// TestServerLoadIsReported checks that the load report carries the figures of the latest answer
// with their age, that malformed ones are counted and change nothing, and that answers of
// another server at the address do not count.
func TestServerLoadIsReported(t *testing.T) {
	var header atomic.Value
	var status atomic.Int64
	status.Store(http.StatusOK)
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Load", header.Load().(string))
		w.Header().Set("Seal", "s")
		w.WriteHeader(int(status.Load()))
	})
	tests := []struct {
		name, load string
		status     int
		// wantPercent, wantWaiting and wantMalformed are those after the answer, and
		// wantAge is the age of the figure 300 ms later.
		wantPercent, wantWaiting int
		wantMalformed            int64
		wantAge                  time.Duration
	}{
		{"no work figure", "1,4,8", http.StatusOK, 0, 0, 0, 0},
		{"figures", "1,4,8,170", http.StatusOK, 170, 4, 0, 300 * time.Millisecond},
		{"garbage", "nan", http.StatusOK, 170, 4, 1, 600 * time.Millisecond},
		{"many digits", "1,4,8,9999999999999999999999999999999999999999", http.StatusOK, 170, 4, 2, 900 * time.Millisecond},
		{"work figure is missing", "1,5,8", http.StatusOK, 170, 5, 2, 1200 * time.Millisecond},
		{"error of the server", "1,6,8,250", http.StatusInternalServerError, 250, 6, 2, 300 * time.Millisecond},
		{"another server", "1,7,8,100", http.StatusMisdirectedRequest, 250, 6, 2, 600 * time.Millisecond},
	}
	f.announce(8, 0)
	for i, tt := range tests {
		header.Store(tt.load)
		status.Store(int64(tt.status))
		f.HandleCall(t.Context(), f.newCall(fmt.Sprint(i)))
		f.clock.Advance(300 * time.Millisecond)
		got := f.LoadReport()
		if got.WorkPercent != tt.wantPercent || got.ServerWaiting != tt.wantWaiting || got.WorkAge != tt.wantAge || f.MalformedLoads() != tt.wantMalformed {
			t.Errorf("%s: got work %d %% of age %s, %d waiting, %d malformed, want %d %% of age %s, %d waiting, %d malformed",
				tt.name, got.WorkPercent, got.WorkAge, got.ServerWaiting, f.MalformedLoads(), tt.wantPercent, tt.wantAge, tt.wantWaiting, tt.wantMalformed)
		}
	}
}

// TestNewIncarnationForgetsSpeed guards against judging a new server by the figures of the
// former one.
func TestNewIncarnationForgetsSpeed(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Load", "1,0,8,250")
		writeSealed(w, r)
	})
	f.announce(8, 0)
	f.HandleCall(t.Context(), f.newCall("1"))
	f.HandleHeartbeat(Heartbeat{ID: "s2", StartUnixMillis: 2, Sequence: 1, Slots: 8})
	if got := f.LoadReport().WorkPercent; got != 0 {
		t.Errorf("got work %d %%, want none", got)
	}
}

// TestColdRunsDoNotCountAsSpeed guards against a server that is avoided for seconds after it has
// warmed up, because its cold runs were slow.
func TestColdRunsDoNotCountAsSpeed(t *testing.T) {
	var f *fixture
	f = newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		f.clock.Advance(100 * time.Millisecond)
		w.Header().Set("Load", "1,0,8,100")
		writeSealed(w, r)
	})
	f.announce(8, time.Second)
	f.HandleCall(t.Context(), f.newCall("1"))
	if got := f.LoadReport().OwnTime; got != 0 {
		t.Errorf("got own time %s from a cold run, want 0s", got)
	}
	f.clock.Advance(time.Second)
	f.HandleCall(t.Context(), f.newCall("2"))
	if got, want := f.LoadReport().OwnTime, 100*time.Millisecond; got != want {
		t.Errorf("got own time %s from a warm run, want %s", got, want)
	}
}

// TestLoadIsPolledOnlyWhenNeeded guards against health checks without a use: the load is polled
// only if the server reports its work figure, the figure is old and calls are there.
func TestLoadIsPolledOnlyWhenNeeded(t *testing.T) {
	tests := []struct {
		name, load string
		age        time.Duration
		busy       bool
		want       int64
	}{
		{"old figure and calls", "1,0,8,170", 2 * time.Second, true, 1},
		{"no calls", "1,0,8,170", 2 * time.Second, false, 0},
		{"fresh figure", "1,0,8,170", 500 * time.Millisecond, true, 0},
		{"no work figure", "1,0,8", 2 * time.Second, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			running, finish := make(chan struct{}), make(chan struct{})
			f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Load", tt.load)
				w.Header().Set("Instance", "s1")
				if r.URL.Path == "/slow" {
					close(running)
					<-finish
				}
				writeSealed(w, r)
			})
			f.announce(8, 0)
			f.HandleCall(t.Context(), f.newCall("1"))
			ended := make(chan struct{})
			if tt.busy {
				c := f.newCall("2")
				c.Target = "/slow"
				go func() {
					defer close(ended)
					f.HandleCall(t.Context(), c)
				}()
				<-running
			} else {
				close(ended)
			}
			f.clock.Advance(tt.age)
			f.pollLoadIfStale(t.Context())
			f.pollLoadIfStale(t.Context())
			if got := f.LoadPolls(); got != tt.want {
				t.Errorf("got %d polls, want %d", got, tt.want)
			}
			if got := f.LoadReport().WorkAge; tt.want > 0 && got != 0 {
				t.Errorf("got age %s of the figure after a poll, want 0s", got)
			}
			close(finish)
			<-ended
		})
	}
}
