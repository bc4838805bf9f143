package guardian

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/invoker"
	"github.com/flamingotack/flamingotack/internal/suspecter"
)

// crashPath is the path of requests that crash the backend server of a crashFixture, and
// breakPath that of requests whose connection breaks while the server lives on.
const (
	crashPath = "/crash"
	breakPath = "/break"
	// pagePath is the path of requests that are answered, or held once hold is set.
	pagePath = "/page"
)

// crashFixture is a Guardian with a backend server that can crash.
type crashFixture struct {
	*fixture
	server *httptest.Server
	// held receives the paths of the requests that run until release is closed.
	held    chan string
	release chan struct{}
	// hold makes the server hold the requests to pagePath.
	hold atomic.Bool
	// answerHealth answers health checks; nil answers them like other requests.
	answerHealth http.HandlerFunc
	checks       atomic.Int64

	mu sync.Mutex
	// paths holds the paths of all requests that began to run.
	paths []string
}

// newCrashFixtures returns Guardians that share their suspects.
func newCrashFixtures(t *testing.T, count int) (fixtures []*crashFixture) {
	t.Helper()
	for i := range count {
		fixtures = append(fixtures, newCrashFixture(t, fmt.Sprint("server-", i)))
	}
	for i, f := range fixtures {
		f.OnSuspects = func(changed []suspecter.Suspect) {
			for j, other := range fixtures {
				if j != i {
					other.MergeSuspects(changed)
				}
			}
		}
	}
	return fixtures
}

func newCrashFixture(t *testing.T, id string) *crashFixture {
	t.Helper()
	f := &crashFixture{held: make(chan string, 100), release: make(chan struct{})}
	f.server = httptest.NewServer(http.HandlerFunc(f.serve))
	t.Cleanup(f.server.Close)
	t.Cleanup(func() { close(f.release) })
	f.fixture = newFixture(t, writeSealed)
	f.Backend = &invoker.Invoker{Address: strings.TrimPrefix(f.server.URL, "http://"), HeaderNames: headerNames}
	for i := range int64(minTrustedHeartbeats) {
		f.HandleHeartbeat(Heartbeat{ID: id, StartUnixMillis: 1, Sequence: i + 1, Slots: 50})
	}
	return f
}

func (f *crashFixture) serve(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	f.paths = append(f.paths, r.URL.Path)
	f.mu.Unlock()
	switch {
	case r.URL.Path == "/health" && f.answerHealth != nil:
		f.checks.Add(1)
		f.answerHealth(w, r)
	case r.URL.Path == crashPath:
		f.crash()
	case r.URL.Path == breakPath:
		panic(http.ErrAbortHandler)
	case strings.HasPrefix(r.URL.Path, "/held"), r.URL.Path == pagePath && f.hold.Load():
		f.held <- r.URL.Path
		select {
		case <-r.Context().Done():
		case <-f.release:
		}
	default:
		w.Header().Set("Attempt", r.Header.Get("Attempt"))
		writeSealed(w, r)
	}
}

// crash closes the listener and all connections.
func (f *crashFixture) crash() {
	f.server.Listener.Close()
	f.server.CloseClientConnections()
}

func (f *crashFixture) call(target string) *exchanger.Refusal {
	c := f.newCall("id " + target)
	c.Target = target
	_, refusal := f.HandleCall(context.Background(), c)
	return refusal
}

// holdCall starts a call that runs until the server crashes, and returns once it runs.
func (f *crashFixture) holdCall(target string) (ended chan *exchanger.Refusal) {
	ended = make(chan *exchanger.Refusal, 1)
	go func() { ended <- f.call(target) }()
	<-f.held
	return ended
}

// TestCrashRequestIsRefusedAfterThirdCrash guards against a request that crashes one backend
// server after the other: the third crash refuses it on all nodes, and never the harmless
// requests that ran beside it.
func TestCrashRequestIsRefusedAfterThirdCrash(t *testing.T) {
	fixtures := newCrashFixtures(t, crashesToRefuse+1)
	for i, f := range fixtures[:crashesToRefuse] {
		var beside chan *exchanger.Refusal
		if i < crashesToIsolate {
			beside = f.holdCall("/held/harmless")
		}
		got := f.call(crashPath)
		wantReason := exchanger.ReasonBroken
		if i == crashesToRefuse-1 {
			wantReason = exchanger.ReasonCrashRequest
		}
		if got == nil || got.Reason != wantReason || got.Ran != exchanger.RanUnknown {
			t.Errorf("crash %d: got refusal %v, want %s of a request that may have run", i+1, got, wantReason)
		}
		if beside != nil {
			if got := <-beside; got == nil || got.Reason != exchanger.ReasonBroken {
				t.Errorf("crash %d: got refusal %v beside it, want %s", i+1, got, exchanger.ReasonBroken)
			}
		}
	}
	last := fixtures[crashesToRefuse]
	got := last.call(crashPath)
	if got == nil || got.Reason != exchanger.ReasonCrashRequest || got.Ran != exchanger.RanNo || got.RetryAfter <= 0 {
		t.Errorf("got refusal %v, want %s of a request that has not run, with a time", got, exchanger.ReasonCrashRequest)
	}
	if slices.Contains(last.paths, crashPath) {
		t.Error("got the crash request run after its third crash, want it refused")
	}
	harmless := last.holdCall("/held/harmless")
	if got := last.call("/other"); got != nil {
		t.Errorf("got refusal %v of another request, want its answer", got)
	}
	last.crash()
	<-harmless
}

// TestSingleCrashRestrictsNoRequest guards against an outage that a crash causes by itself:
// the requests that ran at that time may all run again at once.
func TestSingleCrashRestrictsNoRequest(t *testing.T) {
	const count = 20
	fixtures := newCrashFixtures(t, 2)
	hold := func(f *crashFixture) (calls []chan *exchanger.Refusal) {
		for i := range count {
			calls = append(calls, f.holdCall(fmt.Sprintf("/held/%d", i)))
		}
		return calls
	}
	calls := hold(fixtures[0])
	fixtures[0].crash()
	for _, c := range calls {
		<-c
	}
	if got := fixtures[1].SuspectCount(); got != count {
		t.Errorf("got %d suspects at the other node, want %d", got, count)
	}
	calls = hold(fixtures[1])
	if got := fixtures[1].LoadReport().Running; got != count {
		t.Errorf("got %d calls running, want %d", got, count)
	}
	fixtures[1].crash()
	for _, c := range calls {
		<-c
	}
}

// TestCrashIsKnownByNewIncarnation covers a server that is back before a connection to it is
// refused. One that announced its end has not crashed.
func TestCrashIsKnownByNewIncarnation(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		f := newCrashFixture(t, "s1")
		if got := f.call(breakPath); got == nil || got.Reason != exchanger.ReasonBroken {
			t.Fatalf("got refusal %v, want %s", got, exchanger.ReasonBroken)
		}
		if got := f.SuspectCount(); got != 0 {
			t.Errorf("got %d suspects after a connection broke, want 0", got)
		}
		if leaves {
			f.HandleLeave("s1", 1)
		}
		f.clock.Advance(time.Second)
		f.HandleHeartbeat(Heartbeat{ID: "s2", StartUnixMillis: 2, Sequence: 1, Slots: 50})
		want := 1
		if leaves {
			want = 0
		}
		if got := f.SuspectCount(); got != want {
			t.Errorf("left %t: got %d suspects after a new incarnation, want %d", leaves, got, want)
		}
	}
}

// TestPopularRequestReturnsAfterJointCrash guards against a harmless request that is refused for
// minutes because it ran on several backend servers that crashed together. If the servers had
// answered it before, it is not suspected; if not, it is tried again on one node.
func TestPopularRequestReturnsAfterJointCrash(t *testing.T) {
	for _, answered := range []bool{true, false} {
		t.Run(fmt.Sprintf("answered before %t", answered), func(t *testing.T) {
			fixtures := newCrashFixtures(t, crashesToRefuse+1)
			last := fixtures[crashesToRefuse]
			crashTogether(t, fixtures[:crashesToRefuse], answered)
			var refused, tried int
			for range 100 {
				last.clock.Advance(100 * time.Millisecond)
				if got := last.call(pagePath); got != nil {
					refused++
				} else if tried++; tried == 1 && !answered {
					t.Logf("answered again after %d refusals", refused)
				}
			}
			switch {
			case answered && refused > 0:
				t.Errorf("got %d of 100 requests refused, want none", refused)
			case tried == 0:
				t.Error("got all requests refused for 10 s, want one tried and the others answered")
			}
		})
	}
}

// crashTogether lets the servers of the fixtures crash while each runs the request to pagePath. If
// answered is set, each has answered it before.
func crashTogether(t *testing.T, fixtures []*crashFixture, answered bool) {
	t.Helper()
	var calls []chan *exchanger.Refusal
	for _, f := range fixtures {
		if answered {
			if got := f.call(pagePath); got != nil {
				t.Fatalf("got refusal %v before the crash, want an answer", got)
			}
		}
		f.hold.Store(true)
		calls = append(calls, f.holdCall(pagePath))
	}
	for _, f := range fixtures {
		f.crash()
	}
	for _, c := range calls {
		<-c
	}
}
