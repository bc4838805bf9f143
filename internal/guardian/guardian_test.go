package guardian

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/invoker"
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

var dialect = exchanger.Dialect{
	Attempt: "Attempt", Caller: "Caller", Customer: "Customer", Deadline: "Deadline", Expected: "Expected",
	Instance: "Instance", NotRun: "Not-Run", Seal: "Seal", Warmup: "Warmup",
}

// fixture is a Guardian beside a backend server of the test.
type fixture struct {
	*Guardian
	clock *timekeeper.ManualClock
	table atomic.Pointer[director.Table]
	runs  atomic.Int64
}

func newFixture(t *testing.T, serve http.HandlerFunc) *fixture {
	t.Helper()
	f := &fixture{clock: timekeeper.NewManualClock(time.Now())}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt", r.Header.Get("Attempt"))
		if r.URL.Path != "/health" {
			f.runs.Add(1)
		}
		serve(w, r)
	}))
	t.Cleanup(server.Close)
	f.put(director.State{Revision: 1, Config: &director.Config{
		Version:  1,
		Services: []director.Service{{Name: "ledger", Health: "/health", WarmRate: 20}},
	}})
	f.Guardian = New(Settings{
		Leaf:    func(string) bool { return true },
		Backend: &invoker.Invoker{Address: strings.TrimPrefix(server.URL, "http://"), Dialect: dialect},
		Changed: func() {},
		Clock:   f.clock,
		Dialect: dialect,
		Domain:  "north",
		Service: "ledger",
		Logger:  logger.New(t.Output(), "info", "n"),
		Ran:     func(string, time.Time, time.Time) {},
		Table:   f.table.Load,
	})
	return f
}

func (f *fixture) put(s director.State) {
	f.table.Store(director.NewTable(s))
}

// ready announces a backend server with that many slots.
func (f *fixture) ready(slots int, warmup time.Duration) {
	for i := range int64(trustedHeartbeats) {
		f.HandleHeartbeat(Heartbeat{ID: "s1", Born: 1, Sequence: i + 1, Slots: slots, Warmup: warmup})
	}
}

func (f *fixture) call(id string) *exchanger.Call {
	return &exchanger.Call{ID: id, Service: "ledger", Route: "r", Method: http.MethodGet, Target: "/x", Host: "a", Caller: "web", Customer: "co-op", Deadline: f.clock.Now().Add(5 * time.Second)}
}

func sealed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Seal", "s")
	fmt.Fprint(w, "whole")
}

// TestWhatClosesTheServer checks each cause for which a server gets no calls;
// each refusal says not run and none reaches the server.
func TestWhatClosesTheServer(t *testing.T) {
	tests := []struct {
		name  string
		cause func(f *fixture)
		want  exchanger.Reason
	}{
		{"not announced", func(*fixture) {}, exchanger.ReasonUnreachable},
		{"no configuration", func(f *fixture) {
			f.ready(8, 0)
			f.put(director.State{})
			f.Refresh()
		}, exchanger.ReasonNotReady},
		{"drains", func(f *fixture) {
			f.ready(8, 0)
			f.HandleHeartbeat(Heartbeat{ID: "s1", Born: 1, Sequence: 9, Slots: 8, Draining: true})
		}, exchanger.ReasonDraining},
		{"has left", func(f *fixture) {
			f.ready(8, 0)
			f.HandleLeave("s1", 1)
		}, exchanger.ReasonDraining},
		{"failure domain out of service", func(f *fixture) {
			f.ready(8, 0)
			s := f.table.Load().State
			s.Evacuated = []string{"north"}
			f.put(s)
			f.Refresh()
		}, exchanger.ReasonOutOfService},
		{"node stops", func(f *fixture) {
			f.ready(8, 0)
			f.Stop()
		}, exchanger.ReasonDraining},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, sealed)
			tt.cause(f)
			_, refusal := f.HandleCall(t.Context(), f.call("1"))
			if refusal == nil || refusal.Reason != tt.want || refusal.Ran != exchanger.RanNo {
				t.Fatalf("got refusal %v, want one for %q that says not run", refusal, tt.want)
			}
			if got := f.runs.Load(); got != 0 {
				t.Errorf("got %d runs, want none", got)
			}
			if !f.Load().Closed {
				t.Error("got an open server in the load, want a closed one")
			}
		})
	}
}

func TestJudgement(t *testing.T) {
	tests := []struct {
		name   string
		serve  http.HandlerFunc
		status int
		ran    exchanger.Ran
		reason exchanger.Reason
	}{
		{"whole answer", sealed, 200, "", ""},
		{"failure of the server", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Seal", "s")
			w.WriteHeader(http.StatusInternalServerError)
		}, 500, "", ""},
		{"success without a seal", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "x") }, 0, exchanger.RanUnknown, exchanger.ReasonBroken},
		{"turned away", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, 0, exchanger.RanNo, exchanger.ReasonServerFull},
		{"another server has the address", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }, 0, exchanger.RanNo, exchanger.ReasonUnreachable},
		{"plain 503 may have run", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, 503, "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, tt.serve)
			f.ready(8, 0)
			reply, refusal := f.HandleCall(t.Context(), f.call("1"))
			if refusal != nil {
				if refusal.Ran != tt.ran || refusal.Reason != tt.reason {
					t.Errorf("got refusal %v, want %s (ran: %s)", refusal, tt.reason, tt.ran)
				}
				return
			}
			if reply.Status != tt.status {
				t.Errorf("got status %d, want %d", reply.Status, tt.status)
			}
		})
	}
}

// TestHeadersOfACall checks what reaches the server, whatever the caller sent.
func TestHeadersOfACall(t *testing.T) {
	var got http.Header
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		got = r.Header
		sealed(w, r)
	})
	f.ready(8, 0)
	c := f.call("1")
	c.Header = http.Header{"Authorization": {"Bearer k"}, "Caller": {"forged"}, "Customer": {"forged"}, "Expected": {"forged"}, "X-Own": {"kept"}}
	if _, refusal := f.HandleCall(t.Context(), c); refusal != nil {
		t.Fatal(refusal)
	}
	for name, want := range map[string]string{"Authorization": "", "Caller": "web", "Customer": "co-op", "Expected": "s1", "X-Own": "kept", "Deadline": "5000"} {
		if strings.Join(got.Values(name), ",") != want {
			t.Errorf("field %s: got %q, want %q", name, got.Values(name), want)
		}
	}
}

// TestLeavingRefusesWhatWaits fills the server and lets it leave: what waits is
// refused at once, what runs goes on.
func TestLeavingRefusesWhatWaits(t *testing.T) {
	release := make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		sealed(w, r)
	})
	f.ready(1, 0)
	ended := make(chan *exchanger.Refusal, 2)
	for i := range 2 {
		go func() {
			_, refusal := f.HandleCall(context.Background(), f.call(fmt.Sprint(i)))
			ended <- refusal
		}()
		for l := f.Load(); l.Running+l.Queued != i+1; l = f.Load() {
			time.Sleep(time.Millisecond)
		}
	}
	f.HandleHeartbeat(Heartbeat{ID: "s1", Born: 1, Sequence: 9, Slots: 1, Draining: true})
	if refusal := <-ended; refusal == nil || refusal.Ran != exchanger.RanNo {
		t.Errorf("got %v for the call that waits, want a refusal as not run", refusal)
	}
	close(release)
	if refusal := <-ended; refusal != nil {
		t.Errorf("got %v for the call that runs, want an answer", refusal)
	}
}

// TestColdServerIsPaced offers a cold server many calls at once: in any second
// it gets what it bears.
func TestColdServerIsPaced(t *testing.T) {
	g := newGate(timekeeper.NewManualClock(epoch))
	clock := g.clock.(*timekeeper.ManualClock)
	g.open(bounds{slots: 100, coldUntil: epoch.Add(time.Hour), warmRate: 20})
	started := 0
	for range 400 {
		if g.scheduler.Len() < 4 {
			g.offer(&exchanger.Call{Deadline: clock.Now().Add(time.Hour)})
		}
		clock.Advance(10 * time.Millisecond)
		g.mu.Lock()
		g.dispatch(clock.Now())
		started += g.running
		g.running = 0
		g.mu.Unlock()
	}
	if most := 4*20 + 1; started > most || started < 60 {
		t.Errorf("got %d calls in 4 s, want 60 to %d", started, most)
	}
}

// TestReturnFromOutOfServiceIsCheckedFirst lets a failure domain back in whose
// server has become cold without saying so yet.
func TestReturnFromOutOfServiceIsCheckedFirst(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Instance", "s1")
		w.Header().Set("Warmup", "2500")
		sealed(w, r)
	})
	f.ready(8, 0)
	s := f.table.Load().State
	out := s
	out.Evacuated = []string{"north"}
	f.put(out)
	f.Refresh()
	f.put(s)
	f.Refresh()
	if !f.Load().Closed {
		t.Fatal("got an open server, want one that is checked first")
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go f.Run(ctx)
	for f.Load().Closed {
		time.Sleep(time.Millisecond)
	}
	if !f.server.Cold(f.clock.Now()) {
		t.Error("got a warm server, want a cold one as its health check says")
	}
}

// TestColdServerBearsPartsOfASlot lets a server that bears few requests a second
// while it is cold tell what that is in slots.
func TestColdServerBearsPartsOfASlot(t *testing.T) {
	tests := []struct {
		name     string
		warmRate float64
		bears    float64
		limit    int
	}{
		{"few requests", 4, 4 * warmPart * defaultService.Seconds(), 1},
		{"more than its slots", 10_000, 95, 95},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newGate(timekeeper.NewManualClock(epoch))
			g.open(bounds{slots: 100, coldUntil: epoch.Add(time.Hour), warmRate: tt.warmRate})
			var got Load
			g.load(&got)
			if got.Bears != tt.bears || got.Limit != tt.limit {
				t.Errorf("got %.2f slots and limit %d, want %.2f and %d", got.Bears, got.Limit, tt.bears, tt.limit)
			}
		})
	}
}

// TestCanceledCallsDoNotReachTheServer guards against work for callers that have
// left: a call that is canceled at the moment it is let through.
func TestCanceledCallsDoNotReachTheServer(t *testing.T) {
	f := newFixture(t, sealed)
	f.ready(8, 0)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for i := range 100 {
		_, refusal := f.HandleCall(ctx, f.call(fmt.Sprint(i)))
		if refusal == nil || refusal.Reason != exchanger.ReasonCanceled || refusal.Ran != exchanger.RanNo {
			t.Fatalf("got refusal %v, want one that says canceled and not run", refusal)
		}
	}
	if got := f.Runs.Load(); got != 0 {
		t.Errorf("got %d calls sent to the server, want none", got)
	}
	if got := f.Load().Running; got != 0 {
		t.Errorf("got %d calls that run, want none", got)
	}
}

// TestOwnFaultsDoNotCloseTheServer guards against a backend server that gets no calls
// because the node itself has no descriptor left for a connection to it.
func TestOwnFaultsDoNotCloseTheServer(t *testing.T) {
	tests := []struct {
		name   string
		cause  error
		closed bool
	}{
		{"no descriptor", syscall.EMFILE, false},
		{"no port", syscall.EADDRNOTAVAIL, false},
		{"refused", syscall.ECONNREFUSED, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, sealed)
			f.ready(8, 0)
			refusal := f.failed(t.Context(), &invoker.DialError{Cause: &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", tt.cause)}})
			if refusal.Ran != exchanger.RanNo {
				t.Errorf("got refusal %v, want one that says not run", refusal)
			}
			if got := f.Load().Closed; got != tt.closed {
				t.Errorf("got closed %t, want %t", got, tt.closed)
			}
		})
	}
}

// TestServersThatFailAreTold lets a server turn calls away or fail them: the load says
// so, and at once when it is no more sound. What fails in a run that makes calls may be
// the fault of those and tells nothing.
func TestServersThatFailAreTold(t *testing.T) {
	tests := []struct {
		name  string
		calls bool
		// warmup is how long the server is cold.
		warmup  time.Duration
		serve   http.HandlerFunc
		failing bool
	}{
		{"answers", false, 0, sealed, false},
		{"turns calls away", true, 0, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, true},
		{"fails", false, 0, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, true},
		{"fails in a run that makes calls", true, 0, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, false},
		{"breaks off", true, 0, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, true},
		{"is late", false, 0, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusGatewayTimeout) }, true},
		{"is late while it is cold", false, time.Minute, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusGatewayTimeout) }, false},
		{"turns calls away while it is cold", false, time.Minute, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, tt.serve)
			f.ready(8, tt.warmup)
			told := 0
			f.Leaf = func(string) bool { return !tt.calls }
			f.Changed = func() { told++ }
			for i := range 12 {
				f.clock.Advance(60 * time.Millisecond)
				_, _ = f.HandleCall(t.Context(), f.call(fmt.Sprint(i)))
			}
			if got := f.Load().Failing; got != tt.failing {
				t.Errorf("got failing %t, want %t", got, tt.failing)
			}
			if (told == 1) != tt.failing {
				t.Errorf("got told %d times, want once: %t", told, tt.failing)
			}
		})
	}
}
