package forwarder

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/guardian"
	"github.com/flamingotack/flamingotack/internal/linker"
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

// fakeLinks records the calls sent to each node and answers them with respond.
type fakeLinks struct {
	members []linker.Member
	down    map[string]bool
	// unselected are the nodes whose links are not for calls.
	unselected map[string]bool
	respond    func(name string, c *exchanger.Call) *exchanger.Refusal
	sent       []string
}

func (l *fakeLinks) PeersVersion() uint64 { return 1 }

func (l *fakeLinks) Peers() (peers []linker.Peer) {
	for _, m := range l.members {
		peers = append(peers, linker.Peer{Member: m, Selected: !l.unselected[m.Name], Connected: !l.down[m.Name]})
	}
	return peers
}

func (l *fakeLinks) Send(_ context.Context, name string, c *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal) {
	l.sent = append(l.sent, name)
	if refusal := l.respond(name, c); refusal != nil {
		return nil, refusal
	}
	return &exchanger.Reply{Status: 200, ServerNode: name}, nil
}

func newFixture(t *testing.T, nodes int) (f *Forwarder, l *fakeLinks) {
	l = &fakeLinks{down: map[string]bool{}, respond: func(string, *exchanger.Call) *exchanger.Refusal { return nil }}
	for i := range nodes {
		l.members = append(l.members, linker.Member{Name: fmt.Sprint("n", i), Incarnation: "1", Service: "desk", Domain: fmt.Sprint("d", i%3)})
	}
	f = New(Settings{
		Clock:              timekeeper.SystemClock{},
		Links:              l,
		LocalLoad:          func() guardian.LoadReport { return guardian.LoadReport{} },
		Logger:             logger.New(t.Output(), "info", "self"),
		RetryRatio:         0.2,
		SpendSharedRetries: func(context.Context, map[string]float64) bool { return true },
		Self:               linker.Member{Name: "self", Incarnation: "1", Service: "board", Domain: "d0"},
		Table:              func() *director.Table { return director.NewTable(director.State{}) },
	}, "r")
	return f, l
}

// admitAndForward admits a call and forwards it, as the ingress does.
func admitAndForward(t *testing.T, f *Forwarder, c *exchanger.Call) *exchanger.Refusal {
	t.Helper()
	if refusal := f.Admit(c); refusal != nil {
		return refusal
	}
	_, refusal := f.Forward(t.Context(), c, &director.Route{MaxAttempts: 1})
	return refusal
}

func newCall(idempotent bool) *exchanger.Call {
	now := time.Now()
	return &exchanger.Call{ID: "1", Service: "desk", Route: "book", Deadline: now.Add(5 * time.Second), ObjectiveDeadline: now.Add(time.Second), Idempotent: idempotent}
}

func TestAttempts(t *testing.T) {
	notRun := func(reason exchanger.Reason) *exchanger.Refusal { return exchanger.NotRun(503, reason, "") }
	broken := exchanger.Unknown(502, exchanger.ReasonBroken, "")
	refusedCrash := exchanger.NotRun(503, exchanger.ReasonCrashRequest, "")
	refusedCrash.RetryAfter = time.Minute
	tests := []struct {
		name       string
		refusals   []*exchanger.Refusal
		idempotent bool
		attempts   int
		// sent is the number of nodes that get the call, and ran the value that
		// the caller gets; empty for an answer.
		sent int
		ran  exchanger.Ran
	}{
		{"first node answers", nil, false, 2, 1, ""},
		{"unavailable nodes cost no attempt", []*exchanger.Refusal{notRun(exchanger.ReasonDraining), notRun(exchanger.ReasonOutOfService)}, false, 1, 3, ""},
		{"overloaded node, one more is tried", []*exchanger.Refusal{notRun(exchanger.ReasonOverload), notRun(exchanger.ReasonOverload)}, false, 2, 2, exchanger.RanNo},
		{"broken, not idempotent", []*exchanger.Refusal{broken}, false, 3, 1, exchanger.RanUnknown},
		{"broken, idempotent", []*exchanger.Refusal{broken}, true, 2, 2, ""},
		{"memory of another node is short, idempotent", []*exchanger.Refusal{exchanger.Unknown(502, exchanger.ReasonMemory, "")}, true, 2, 2, ""},
		{"memory of another node is short, not idempotent", []*exchanger.Refusal{exchanger.Unknown(502, exchanger.ReasonMemory, "")}, false, 2, 1, exchanger.RanUnknown},
		{"memory of this node is short, idempotent", []*exchanger.Refusal{exchanger.LocalMemoryShort("")}, true, 2, 1, exchanger.RanUnknown},
		{"broken, no attempts left", []*exchanger.Refusal{broken, broken}, true, 2, 2, exchanger.RanUnknown},
		{"not run after broken is reported as unknown", []*exchanger.Refusal{broken, notRun(exchanger.ReasonOverload), notRun(exchanger.ReasonOverload)}, true, 3, 3, exchanger.RanUnknown},
		{"crash request is not tried on another node", []*exchanger.Refusal{exchanger.Unknown(502, exchanger.ReasonCrashRequest, "")}, true, 3, 1, exchanger.RanUnknown},
		{"refused crash request is not tried on another node", []*exchanger.Refusal{refusedCrash}, true, 3, 1, exchanger.RanNo},
		{"refusal by the server counts as an attempt", []*exchanger.Refusal{notRun(exchanger.ReasonServerFull)}, false, 1, 1, exchanger.RanNo},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, l := newFixture(t, 6)
			left := slices.Clone(tt.refusals)
			l.respond = func(string, *exchanger.Call) *exchanger.Refusal {
				if len(left) == 0 {
					return nil
				}
				next := left[0]
				left = left[1:]
				return next
			}
			_, refusal := f.Forward(t.Context(), newCall(tt.idempotent), &director.Route{MaxAttempts: tt.attempts})
			got := exchanger.Ran("")
			if refusal != nil {
				got = refusal.Ran
			}
			if got != tt.ran || len(l.sent) != tt.sent {
				t.Errorf("got ran %q after %d nodes, want %q after %d", got, len(l.sent), tt.ran, tt.sent)
			}
			unique := slices.Compact(slices.Sorted(slices.Values(l.sent)))
			if len(unique) != len(l.sent) {
				t.Errorf("got nodes %v, want each node at most once", l.sent)
			}
			if got == exchanger.RanNo && refusal.RetryAfter <= 0 {
				t.Errorf("got RetryAfter %s in a refusal as not run, want more than 0", refusal.RetryAfter)
			}
		})
	}
}

func TestDownNodesGetNoCalls(t *testing.T) {
	f, l := newFixture(t, 3)
	l.down["n0"], l.down["n1"] = true, true
	for range 20 {
		if _, refusal := f.Forward(t.Context(), newCall(false), &director.Route{MaxAttempts: 1}); refusal != nil {
			t.Fatal(refusal)
		}
	}
	if unique := slices.Compact(slices.Sorted(slices.Values(l.sent))); len(unique) != 1 || unique[0] != "n2" {
		t.Errorf("got nodes %v, want n2 only", unique)
	}
}

// TestSharedRefusalIsNotModified guards against writing RetryAfter into a refusal value
// that a node gives to several callers.
func TestSharedRefusalIsNotModified(t *testing.T) {
	f, l := newFixture(t, 1)
	shared := exchanger.NotRun(503, exchanger.ReasonDraining, "")
	l.respond = func(string, *exchanger.Call) *exchanger.Refusal { return shared }
	_, refusal := f.Forward(t.Context(), newCall(false), &director.Route{MaxAttempts: 1})
	if refusal == nil || refusal.RetryAfter <= 0 || shared.RetryAfter != 0 {
		t.Errorf("got %v with RetryAfter %s, shared refusal with %s; want it above 0 only in the first", refusal, refusal.RetryAfter, shared.RetryAfter)
	}
}

// TestDownstreamOverloadRefusesNewChains offers a downstream service twice its capacity.
// Requests whose call trees include it must be refused before any call is sent.
func TestDownstreamOverloadRefusesNewChains(t *testing.T) {
	f, l := newFixture(t, 3)
	deep := linker.Member{Name: "n9", Incarnation: "1", Service: "deep", Domain: "d0"}
	l.members = append(l.members, deep)
	table := director.NewTable(director.State{Config: &director.Config{Routes: []director.Route{
		{Name: "feed", WeightedServices: []director.WeightedService{{Service: "deep", Weight: 1}}},
	}}})
	f.Table = func() *director.Table { return table }
	f.UpdateFanOuts(l.members[0], map[string]linker.FanOut{"book": {Runs: 100, Calls: map[string]float64{"feed": 5}}})
	refused := 0
	for i := range 400 {
		f.UpdateLoad(deep, guardian.LoadReport{Sequence: uint64(i + 1), Limit: 10, CapacitySlots: 10, OfferedSlots: 20, MeanServiceTime: 50 * time.Millisecond})
		f.pressureUpdatedAt = time.Time{}
		c := newCall(false)
		c.Target = fmt.Sprint("/", i)
		if refusal := admitAndForward(t, f, c); refusal != nil {
			refused++
			if refusal.Ran != exchanger.RanNo || refusal.Reason != exchanger.ReasonOverload {
				t.Fatalf("got refusal %v, want one for overload that says not run", refusal)
			}
		}
	}
	if refused < 100 {
		t.Errorf("got %d of 400 requests refused, want at least 100", refused)
	}
	if got := len(l.sent) + refused; got != 400 {
		t.Errorf("got %d calls sent or refused, want 400: a refused request must not be sent", got)
	}
}

// TestRefusedCallersReturnWhenServersAreWarm refuses requests because the servers of a
// downstream service are cold. Callers must be told to return when half of its capacity is
// warm, also if they would return earlier on their own.
func TestRefusedCallersReturnWhenServersAreWarm(t *testing.T) {
	const firstWarm, lastWarm = 900 * time.Millisecond, 1200 * time.Millisecond
	f, l := newFixture(t, 3)
	table := director.NewTable(director.State{Config: &director.Config{Routes: []director.Route{
		{Name: "feed", WeightedServices: []director.WeightedService{{Service: "deep", Weight: 1}}},
	}}})
	f.Table = func() *director.Table { return table }
	f.UpdateFanOuts(l.members[0], map[string]linker.FanOut{"book": {Runs: 100, Calls: map[string]float64{"feed": 5}}})
	started := time.Now()
	for i, warmAfter := range []time.Duration{firstWarm, lastWarm, lastWarm} {
		deep := linker.Member{Name: fmt.Sprint("deep", i), Incarnation: "1", Service: "deep", Domain: "d0"}
		l.members = append(l.members, deep)
		f.UpdateLoad(deep, guardian.LoadReport{Sequence: 1, Limit: 1, CapacitySlots: 1, WarmSlots: 50, OfferedSlots: 20, WarmupRemaining: warmAfter, MeanServiceTime: 50 * time.Millisecond})
	}
	refused := 0
	for i := range 100 {
		c := newCall(false)
		c.Target = fmt.Sprint("/", i)
		c.CallerDeadline = c.Deadline
		refusal := f.Admit(c)
		if refusal == nil {
			continue
		}
		refused++
		if at := time.Now().Add(refusal.RetryAfter); at.Before(started.Add(lastWarm)) {
			t.Errorf("got a return %s before most servers are warm", started.Add(lastWarm).Sub(at))
		}
	}
	if refused < 50 {
		t.Errorf("got %d of 100 requests refused, want at least half", refused)
	}
}

// TestClosedDownstreamServiceRefusesNewChains closes every server of a downstream
// service. Requests that depend on it must be refused before any call. Other requests
// are admitted, and so are all as soon as one server is open or the state of a node is
// unknown.
func TestClosedDownstreamServiceRefusesNewChains(t *testing.T) {
	closed := guardian.LoadReport{Sequence: 1, Closed: true}
	open := guardian.LoadReport{Sequence: 1, Limit: 10}
	tests := []struct {
		name string
		// loads are the loads of the downstream service's nodes; nil stands for a
		// node that reports nothing.
		loads []*guardian.LoadReport
		// callsPerRun is the mean number of calls of the downstream service per run
		// of the request's route.
		callsPerRun float64
		// want reports whether the request is admitted.
		want bool
	}{
		{"no nodes", nil, 2, false},
		{"all nodes closed", []*guardian.LoadReport{&closed, &closed}, 2, false},
		{"one node open", []*guardian.LoadReport{&closed, &open}, 2, true},
		{"one node reports nothing", []*guardian.LoadReport{&closed, nil}, 2, true},
		{"few requests depend on it", []*guardian.LoadReport{&closed}, 0.3, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, l := newFixture(t, 3)
			table := director.NewTable(director.State{Config: &director.Config{Routes: []director.Route{
				{Name: "feed", WeightedServices: []director.WeightedService{{Service: "deep", Weight: 1}}},
			}}})
			f.Table = func() *director.Table { return table }
			for i := range tt.loads {
				l.members = append(l.members, linker.Member{Name: fmt.Sprint("deep", i), Incarnation: "1", Service: "deep", Domain: "d0"})
			}
			f.UpdateFanOuts(l.members[0], map[string]linker.FanOut{"book": {Runs: 100, Calls: map[string]float64{"feed": tt.callsPerRun}}})
			for i, load := range tt.loads {
				if load != nil {
					f.UpdateLoad(l.members[3+i], *load)
				}
			}
			refusal := admitAndForward(t, f, newCall(false))
			if got := refusal == nil; got != tt.want {
				t.Fatalf("got admitted %t (%v), want %t", got, refusal, tt.want)
			}
			if refusal == nil {
				return
			}
			if refusal.Reason != exchanger.ReasonNoServer || refusal.Ran != exchanger.RanNo || refusal.RetryAfter <= 0 || len(l.sent) != 0 {
				t.Errorf("got %v with RetryAfter %s after %d calls, want %s, ran %s, RetryAfter above 0, before any call", refusal, refusal.RetryAfter, len(l.sent), exchanger.ReasonNoServer, exchanger.RanNo)
			}
		})
	}
}

// TestFanOutsAreWeightedByRuns guards against a wrong mean from a node that has just
// started and has seen more calls than runs: its fan-out must count little beside that
// of a node with many runs.
func TestFanOutsAreWeightedByRuns(t *testing.T) {
	calls := func(runs, n float64) map[string]linker.FanOut {
		return map[string]linker.FanOut{"book": {Runs: runs, Calls: map[string]float64{"feed": n}}}
	}
	tests := []struct {
		name     string
		reported []map[string]linker.FanOut
		from, to float64
	}{
		{"few runs only", []map[string]linker.FanOut{calls(3, 9)}, 0, 0},
		{"few and many runs", []map[string]linker.FanOut{calls(3, 9), calls(300, 1)}, 1, 1.1},
		{"many runs without calls", []map[string]linker.FanOut{calls(100, 1), {"book": {Runs: 300}}}, 0.25, 0.25},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, l := newFixture(t, 3)
			for i, fanOuts := range tt.reported {
				f.UpdateFanOuts(l.members[i], fanOuts)
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			if got := f.meanFanOut("book")["feed"]; got < tt.from || got > tt.to {
				t.Errorf("got %.2f calls per run, want %.2f to %.2f", got, tt.from, tt.to)
			}
		})
	}
}

// TestCanceledCallsAreNotSent guards against work for callers that have gone away: a call
// that is already canceled must not be sent to any node.
func TestCanceledCallsAreNotSent(t *testing.T) {
	f, l := newFixture(t, 3)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, refusal := f.Forward(ctx, newCall(true), &director.Route{MaxAttempts: 2})
	if refusal == nil || refusal.Reason != exchanger.ReasonCanceled || refusal.Ran != exchanger.RanNo {
		t.Errorf("got refusal %v, want %s, ran %s", refusal, exchanger.ReasonCanceled, exchanger.RanNo)
	}
	if len(l.sent) > 0 {
		t.Errorf("got the call sent to %v, want it sent to no node", l.sent)
	}
}

// TestRestoreAfterLossOfAllNodes starts a node while no other node can report fan-outs.
// With the restored state it must know the calls of a chain before the first chain runs.
func TestRestoreAfterLossOfAllNodes(t *testing.T) {
	table := director.NewTable(director.State{Config: &director.Config{Routes: []director.Route{
		{Name: "feed", WeightedServices: []director.WeightedService{{Service: "deep", Weight: 1}}},
	}}})
	feedCalls := func(f *Forwarder) float64 {
		f.Table = func() *director.Table { return table }
		f.mu.Lock()
		defer f.mu.Unlock()
		f.refreshPeers()
		return f.callTree("book", "desk")[callEdge{"feed", "deep"}].mean
	}
	before, l := newFixture(t, 3)
	before.UpdateFanOuts(l.members[0], map[string]linker.FanOut{"book": {Runs: 100, Calls: map[string]float64{"feed": 4}}, "rare": {Runs: 1}})
	before.Admit(newCall(false))
	before.UpdateLoad(l.members[0], guardian.LoadReport{Sequence: 1, Limit: 40, CapacitySlots: 40, OfferedSlots: 30})
	before.updatePressure(time.Now().Add(time.Second))
	stored := before.LearnedState()
	if len(stored.FanOuts) != 1 || stored.OfferedSlots["desk"] != 30 {
		t.Errorf("got state %v, want the fan-out of route book only and 30 offered slots for desk", stored)
	}
	after, l := newFixture(t, 3)
	if got := feedCalls(after); got != 0 {
		t.Errorf("got %.1f calls before any fan-out is known, want 0", got)
	}
	after.Restore(stored)
	if got := feedCalls(after); got != 4 {
		t.Errorf("got %.1f calls from the restored state, want 4", got)
	}
	after.UpdateFanOuts(l.members[0], map[string]linker.FanOut{"book": {Runs: 990, Calls: map[string]float64{"feed": 2}}})
	if got := feedCalls(after); got > 2.1 {
		t.Errorf("got %.2f calls after a current report, want at most 2.1", got)
	}
	if after.IsLeafRoute("book") || after.IsLeafRoute("rare") {
		t.Error("got a leaf for a route with calls, or for a route with too few known runs, want none")
	}
	after.UpdateFanOuts(l.members[1], map[string]linker.FanOut{"feed": {Runs: 100, Calls: map[string]float64{}}})
	if !after.IsLeafRoute("feed") {
		t.Error("got no leaf for a route whose runs make no calls, want one")
	}
	if got := after.LearnedState().FanOuts["book"].Calls["feed"]; got > 2.1 {
		t.Errorf("got %.2f calls in the state to store, want at most 2.1", got)
	}
}

// TestUnselectedNodesGetNoCalls gives a node links to delegates besides those that are
// selected for calls to a service. No call may go to the delegates, and the offered load
// of the service must be computed from the selected nodes only.
func TestUnselectedNodesGetNoCalls(t *testing.T) {
	f, l := newFixture(t, 4)
	l.unselected = map[string]bool{"n2": true, "n3": true}
	for i, m := range l.members {
		f.UpdateLoad(m, guardian.LoadReport{Sequence: 1, Limit: 10, CapacitySlots: 10, OfferedSlots: float64(1 + i)})
	}
	for range 40 {
		if refusal := admitAndForward(t, f, newCall(false)); refusal != nil {
			t.Fatal(refusal)
		}
	}
	for _, name := range l.sent {
		if l.unselected[name] {
			t.Fatalf("got a call sent to %s, want it sent to a selected node", name)
		}
	}
	// Two of four nodes are selected; they are offered 1 and 2 slots.
	if got := f.LearnedState().OfferedSlots["desk"]; got != 6 {
		t.Errorf("got %.1f offered slots for all nodes of the service, want 6", got)
	}
}
