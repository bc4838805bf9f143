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

	"github.com/flamingotack/flamingotack/internal/attributor"
	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/invoker"
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/scheduler"
	"github.com/flamingotack/flamingotack/internal/suspecter"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

var headerNames = exchanger.HeaderNames{
	AttemptID: "Attempt", CallerService: "Caller", Customer: "Customer", Deadline: "Deadline", ExpectedInstance: "Expected",
	Instance: "Instance", NotExecuted: "Not-Run", ServerLoad: "Load", ServerSeal: "Seal", Warmup: "Warmup",
}

// fixture is a Guardian with a backend server that runs the test's handler.
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
	f.setState(director.State{Revision: 1, Config: &director.Config{
		Version:  1,
		Services: []director.Service{{Name: "ledger", HealthPath: "/health", WarmupRatePerSecond: 20}},
	}})
	f.Guardian = New(Settings{
		IsLeafRoute:  func(string) bool { return true },
		Backend:      &invoker.Invoker{Address: strings.TrimPrefix(server.URL, "http://"), HeaderNames: headerNames},
		OnChange:     func() {},
		OnSuspects:   func([]suspecter.Suspect) {},
		Clock:        f.clock,
		HeaderNames:  headerNames,
		Domain:       "north",
		Service:      "ledger",
		Node:         "n",
		ServiceNodes: func() []string { return []string{"n"} },
		Logger:       logger.New(t.Output(), "info", "n"),
		OnRunEnd:     func(attributor.Summary) {},
		Runs:         &attributor.Attributor{},
		Table:        f.table.Load,
	})
	f.clock.Advance(maxHeartbeatDelay)
	return f
}

func (f *fixture) setState(s director.State) {
	f.table.Store(director.NewTable(s))
}

// announce sends enough heartbeats for a backend server with that many slots to count as
// ready.
func (f *fixture) announce(slots int, warmup time.Duration) {
	for i := range int64(minTrustedHeartbeats) {
		f.HandleHeartbeat(Heartbeat{ID: "s1", StartUnixMillis: 1, Sequence: i + 1, Slots: slots, WarmupRemaining: warmup})
	}
}

func (f *fixture) newCall(id string) *exchanger.Call {
	return &exchanger.Call{ID: id, Service: "ledger", Route: "r", Method: http.MethodGet, Target: "/x", Host: "a", CallerService: "web", Customer: "co-op", Deadline: f.clock.Now().Add(5 * time.Second)}
}

func writeSealed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Seal", "s")
	fmt.Fprint(w, "whole")
}

// TestClosedServerRefusesCalls checks every cause that closes a server. Each refusal must
// state that the call did not run, and no call may reach the server.
func TestClosedServerRefusesCalls(t *testing.T) {
	tests := []struct {
		name  string
		setUp func(f *fixture)
		want  exchanger.Reason
	}{
		{"server not announced", func(*fixture) {}, exchanger.ReasonUnreachable},
		{"no configuration", func(f *fixture) {
			f.announce(8, 0)
			f.setState(director.State{})
			f.ReloadConfig()
		}, exchanger.ReasonNotReady},
		{"server drains", func(f *fixture) {
			f.announce(8, 0)
			f.HandleHeartbeat(Heartbeat{ID: "s1", StartUnixMillis: 1, Sequence: 9, Slots: 8, Draining: true})
		}, exchanger.ReasonDraining},
		{"server has left", func(f *fixture) {
			f.announce(8, 0)
			f.HandleLeave("s1", 1)
		}, exchanger.ReasonDraining},
		{"failure domain out of service", func(f *fixture) {
			f.announce(8, 0)
			s := f.table.Load().State
			s.EvacuatedDomains = []string{"north"}
			f.setState(s)
			f.ReloadConfig()
		}, exchanger.ReasonOutOfService},
		{"node stops", func(f *fixture) {
			f.announce(8, 0)
			f.Stop()
		}, exchanger.ReasonDraining},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, writeSealed)
			tt.setUp(f)
			_, refusal := f.HandleCall(t.Context(), f.newCall("1"))
			if refusal == nil || refusal.Reason != tt.want || refusal.Ran != exchanger.RanNo {
				t.Fatalf("got refusal %v, want reason %q and not run", refusal, tt.want)
			}
			if got := f.runs.Load(); got != 0 {
				t.Errorf("got %d runs, want 0", got)
			}
			if !f.LoadReport().Closed {
				t.Error("load report says open, want closed")
			}
		})
	}
}

func TestResponseClassification(t *testing.T) {
	tests := []struct {
		name   string
		serve  http.HandlerFunc
		status int
		ran    exchanger.Ran
		reason exchanger.Reason
	}{
		{"sealed response", writeSealed, 200, "", ""},
		{"server error", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Seal", "s")
			w.WriteHeader(http.StatusInternalServerError)
		}, 500, "", ""},
		{"success without a seal", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "x") }, 0, exchanger.RanUnknown, exchanger.ReasonBroken},
		{"refused by the server", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, 0, exchanger.RanNo, exchanger.ReasonServerFull},
		{"misdirected request", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }, 0, exchanger.RanNo, exchanger.ReasonUnreachable},
		{"503 without a not-run header may have run", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, 503, "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, tt.serve)
			f.announce(8, 0)
			reply, refusal := f.HandleCall(t.Context(), f.newCall("1"))
			if refusal != nil {
				if refusal.Ran != tt.ran || refusal.Reason != tt.reason {
					t.Errorf("got refusal %v, want reason %q and ran %q", refusal, tt.reason, tt.ran)
				}
				return
			}
			if reply.Status != tt.status {
				t.Errorf("got status %d, want %d", reply.Status, tt.status)
			}
		})
	}
}

// TestRequestHeaders guards against callers that forge header fields of the node or pass
// their API key on to the backend server.
func TestRequestHeaders(t *testing.T) {
	var got http.Header
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		got = r.Header
		writeSealed(w, r)
	})
	f.announce(8, 0)
	c := f.newCall("1")
	c.Header = http.Header{"Authorization": {"Bearer k"}, "Caller": {"forged"}, "Customer": {"forged"}, "Expected": {"forged"}, "X-Own": {"kept"}}
	if _, refusal := f.HandleCall(t.Context(), c); refusal != nil {
		t.Fatal(refusal)
	}
	for name, want := range map[string]string{"Authorization": "", "Caller": "web", "Customer": "co-op", "Expected": "s1", "X-Own": "kept", "Deadline": "5000"} {
		if strings.Join(got.Values(name), ",") != want {
			t.Errorf("header field %s: got %q, want %q", name, got.Values(name), want)
		}
	}
}

// TestOddWarmupFailsHealthCheck guards against a warm-up that is no duration, which would make
// the server cold for ever or not at all.
func TestOddWarmupFailsHealthCheck(t *testing.T) {
	for _, text := range []string{"NaN", "Inf", "1e300", "-5", "x", "9000000000"} {
		f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Instance", "s1")
			w.Header().Set("Warmup", text)
		})
		f.HandleHeartbeat(Heartbeat{ID: "s1", StartUnixMillis: 1, Sequence: 1, Slots: 8})
		if f.checkHealth(t.Context()) {
			t.Errorf("warm-up %q: got the server healthy, want the check to fail", text)
		}
	}
}

// TestDrainingRefusesQueuedCalls checks that a draining server refuses queued calls at
// once while running calls continue.
func TestDrainingRefusesQueuedCalls(t *testing.T) {
	release := make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		writeSealed(w, r)
	})
	f.announce(1, 0)
	results := make(chan *exchanger.Refusal, 2)
	for i := range 2 {
		go func() {
			_, refusal := f.HandleCall(context.Background(), f.newCall(fmt.Sprint(i)))
			results <- refusal
		}()
		for l := f.LoadReport(); l.Running+l.Queued != i+1; l = f.LoadReport() {
			time.Sleep(time.Millisecond)
		}
	}
	f.HandleHeartbeat(Heartbeat{ID: "s1", StartUnixMillis: 1, Sequence: 9, Slots: 1, Draining: true})
	if refusal := <-results; refusal == nil || refusal.Ran != exchanger.RanNo {
		t.Errorf("queued call: got refusal %v, want one that says not run", refusal)
	}
	close(release)
	if refusal := <-results; refusal != nil {
		t.Errorf("running call: got refusal %v, want an answer", refusal)
	}
}

// TestColdServerRateLimit checks that a cold server that is offered many calls at once
// gets calls at its warm-up rate.
func TestColdServerRateLimit(t *testing.T) {
	q := newCallQueue(timekeeper.NewManualClock(epoch))
	clock := q.clock.(*timekeeper.ManualClock)
	q.open(serverLimits{slots: 100, coldUntil: epoch.Add(time.Hour), warmupRatePerSecond: 20})
	started := 0
	for range 400 {
		if q.scheduler.Len() < 4 {
			q.enqueue(&exchanger.Call{Deadline: clock.Now().Add(time.Hour)})
		}
		clock.Advance(10 * time.Millisecond)
		q.mu.Lock()
		q.dispatch(clock.Now())
		started += q.running
		q.running = 0
		q.mu.Unlock()
	}
	if maxStarted := 4*20 + 1; started > maxStarted || started < 60 {
		t.Errorf("got %d calls started in 4 s, want 60 to %d", started, maxStarted)
	}
}

// TestOrderOfWaitingCalls checks that calls of a known chain wait like the request that
// started it, and that nested calls of unknown chains go first.
func TestOrderOfWaitingCalls(t *testing.T) {
	calls := []exchanger.Call{
		{ID: "direct, normal", Priority: exchanger.PriorityNormal, RoutePriority: exchanger.PriorityNormal, ChainCustomer: "a", ChainKnown: true},
		{ID: "nested, normal", Priority: exchanger.PriorityNormal, RoutePriority: exchanger.PriorityNormal, ChainCustomer: "b", ChainKnown: true, Nested: true},
		{ID: "nested, important route", Priority: exchanger.PriorityNormal, RoutePriority: exchanger.PriorityCritical, ChainCustomer: "a", ChainKnown: true, Nested: true},
		{ID: "direct, important customer", Priority: exchanger.PriorityCritical, RoutePriority: exchanger.PriorityNormal, ChainCustomer: "c", ChainKnown: true},
		{ID: "nested, unknown chain", Priority: exchanger.PriorityLow, RoutePriority: exchanger.PriorityLow, Nested: true},
	}
	want := []string{"nested, unknown chain", "direct, important customer", "nested, important route", "direct, normal", "nested, normal"}
	var s scheduler.Scheduler[scheduler.PriorityOrder]
	now := time.Unix(1000, 0)
	for i := range calls {
		item := schedulerItem(&calls[i])
		item.ID, item.Deadline = uint64(i), now.Add(time.Second)
		s.Enqueue(now, item)
	}
	for _, id := range want {
		next, _, _ := s.Dequeue(now)
		if got := calls[next.ID].ID; got != id {
			t.Errorf("got %q, want %q", got, id)
		}
	}
}

// TestColdServerReportsFractionalCapacity checks that the warm-up rate of a cold server is
// reported as a number of slots, which can be below 1.
func TestColdServerReportsFractionalCapacity(t *testing.T) {
	tests := []struct {
		name                string
		warmupRatePerSecond float64
		capacitySlots       float64
		limit               int
	}{
		{"low warm-up rate", 4, 4 * warmupRateFraction * defaultServiceTime.Seconds(), 1},
		{"warm-up rate above the slots", 10_000, 95, 95},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := newCallQueue(timekeeper.NewManualClock(epoch))
			q.open(serverLimits{slots: 100, coldUntil: epoch.Add(time.Hour), warmupRatePerSecond: tt.warmupRatePerSecond})
			var got LoadReport
			q.fillReport(&got)
			if got.CapacitySlots != tt.capacitySlots || got.Limit != tt.limit {
				t.Errorf("got capacity of %.2f slots and limit %d, want %.2f and %d", got.CapacitySlots, got.Limit, tt.capacitySlots, tt.limit)
			}
		})
	}
}

// TestCanceledCallsDoNotReachTheServer guards against work for callers that have
// gone away, which happens when a call is canceled at the moment it is dispatched.
func TestCanceledCallsDoNotReachTheServer(t *testing.T) {
	f := newFixture(t, writeSealed)
	f.announce(8, 0)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for i := range 100 {
		_, refusal := f.HandleCall(ctx, f.newCall(fmt.Sprint(i)))
		if refusal == nil || refusal.Reason != exchanger.ReasonCanceled || refusal.Ran != exchanger.RanNo {
			t.Fatalf("got refusal %v, want reason canceled and not run", refusal)
		}
	}
	if got := f.CallsSent.Load(); got != 0 {
		t.Errorf("got %d calls sent to the server, want 0", got)
	}
	if got := f.LoadReport().Running; got != 0 {
		t.Errorf("got %d running calls, want 0", got)
	}
}

// TestLocalResourceExhaustionKeepsServerOpen guards against closing a healthy backend
// server because the node itself has no file descriptor or port left to connect to it.
func TestLocalResourceExhaustionKeepsServerOpen(t *testing.T) {
	tests := []struct {
		name   string
		cause  error
		closed bool
	}{
		{"no file descriptor", syscall.EMFILE, false},
		{"no port", syscall.EADDRNOTAVAIL, false},
		{"connection refused", syscall.ECONNREFUSED, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, writeSealed)
			f.announce(8, 0)
			refusal := f.classifyError(t.Context(), &invoker.DialError{Cause: &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", tt.cause)}})
			if refusal.Ran != exchanger.RanNo {
				t.Errorf("got refusal %v, want one that says not run", refusal)
			}
			if got := f.LoadReport().Closed; got != tt.closed {
				t.Errorf("got closed %t, want %t", got, tt.closed)
			}
		})
	}
}

// TestSlowServerInMiddleOfChainIsFound guards against servers that keep their part of the
// calls although all their runs fail, because those runs make calls. Only a failure that
// surely is the server's own counts: none of the calls failed, and a run that timed out spent
// most of its time outside of them.
func TestSlowServerInMiddleOfChainIsFound(t *testing.T) {
	tests := []struct {
		name string
		// before and during are the time before the run's call and the time of the call.
		before, during time.Duration
		callFails      bool
		status         int
		failing        bool
	}{
		{"slow by itself", 700 * time.Millisecond, 100 * time.Millisecond, false, http.StatusGatewayTimeout, true},
		{"waits for a slow server", 100 * time.Millisecond, 700 * time.Millisecond, false, http.StatusGatewayTimeout, false},
		{"fails by itself", 10 * time.Millisecond, 10 * time.Millisecond, false, http.StatusInternalServerError, true},
		{"its call fails", 10 * time.Millisecond, 10 * time.Millisecond, true, http.StatusInternalServerError, false},
		{"slow and its call fails", 700 * time.Millisecond, 100 * time.Millisecond, true, http.StatusGatewayTimeout, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var f *fixture
			f = newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				f.clock.Advance(tt.before)
				run := f.Runs.StartCall(f.clock.Now(), r.Header.Get("Attempt")+".1", "feed")
				f.clock.Advance(tt.during)
				f.Runs.EndCall(f.clock.Now(), run, tt.callFails)
				w.WriteHeader(tt.status)
			})
			f.announce(8, 0)
			f.IsLeafRoute = func(string) bool { return false }
			for i := range 12 {
				_, _ = f.HandleCall(t.Context(), f.newCall(fmt.Sprint(i)))
			}
			if got := f.LoadReport().Failing; got != tt.failing {
				t.Errorf("got failing %t, want %t", got, tt.failing)
			}
		})
	}
}

// TestFailingServerIsReported checks that a server that refuses calls or fails them is
// reported as failing, with one immediate call of OnChange. A failed run that makes calls
// does not count, as those calls may be the cause.
func TestFailingServerIsReported(t *testing.T) {
	tests := []struct {
		name       string
		makesCalls bool
		// warmup is how long the server stays cold.
		warmup  time.Duration
		serve   http.HandlerFunc
		failing bool
	}{
		{"answers", false, 0, writeSealed, false},
		{"refuses calls", true, 0, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, true},
		{"fails calls", false, 0, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, true},
		{"fails runs that make calls", true, 0, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, false},
		{"breaks off responses", true, 0, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, true},
		{"times out", false, 0, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusGatewayTimeout) }, true},
		{"times out while cold", false, time.Minute, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusGatewayTimeout) }, false},
		{"refuses calls while cold", false, time.Minute, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, tt.serve)
			f.announce(8, tt.warmup)
			changes := 0
			f.IsLeafRoute = func(string) bool { return !tt.makesCalls }
			f.OnChange = func() { changes++ }
			for i := range 12 {
				f.clock.Advance(60 * time.Millisecond)
				_, _ = f.HandleCall(t.Context(), f.newCall(fmt.Sprint(i)))
			}
			if got := f.LoadReport().Failing; got != tt.failing {
				t.Errorf("got failing %t, want %t", got, tt.failing)
			}
			if (changes == 1) != tt.failing {
				t.Errorf("got %d calls of OnChange, want exactly one: %t", changes, tt.failing)
			}
		})
	}
}
