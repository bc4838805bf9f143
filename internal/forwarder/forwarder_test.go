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

// fakeLinks answers for each node by a script.
type fakeLinks struct {
	members []linker.Member
	down    map[string]bool
	// unchosen are nodes with a link that is not for calls.
	unchosen map[string]bool
	script   func(name string, c *exchanger.Call) *exchanger.Refusal
	sent     []string
}

func (l *fakeLinks) Changed() uint64 { return 1 }

func (l *fakeLinks) Peers() (peers []linker.Peer) {
	for _, m := range l.members {
		peers = append(peers, linker.Peer{Member: m, Chosen: !l.unchosen[m.Name], Up: !l.down[m.Name]})
	}
	return peers
}

func (l *fakeLinks) Send(_ context.Context, name string, c *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal) {
	l.sent = append(l.sent, name)
	if refusal := l.script(name, c); refusal != nil {
		return nil, refusal
	}
	return &exchanger.Reply{Status: 200, Server: name}, nil
}

func newFixture(t *testing.T, nodes int) (f *Forwarder, l *fakeLinks) {
	l = &fakeLinks{down: map[string]bool{}, script: func(string, *exchanger.Call) *exchanger.Refusal { return nil }}
	for i := range nodes {
		l.members = append(l.members, linker.Member{Name: fmt.Sprint("n", i), Incarnation: "1", Service: "desk", Domain: fmt.Sprint("d", i%3)})
	}
	f = New(Settings{
		Clock:       timekeeper.SystemClock{},
		Links:       l,
		Load:        func() guardian.Load { return guardian.Load{} },
		Logger:      logger.New(t.Output(), "info", "self"),
		RepeatRatio: 0.2,
		Repeat:      func(context.Context, map[string]float64) bool { return true },
		Self:        linker.Member{Name: "self", Incarnation: "1", Service: "board", Domain: "d0"},
		Table:       func() *director.Table { return director.NewTable(director.State{}) },
	}, "r")
	return f, l
}

// begin admits a call and forwards it, as the ingress does.
func begin(t *testing.T, f *Forwarder, c *exchanger.Call) *exchanger.Refusal {
	t.Helper()
	if refusal := f.Admit(c); refusal != nil {
		return refusal
	}
	_, refusal := f.Forward(t.Context(), c, &director.Route{Attempts: 1})
	return refusal
}

func call(repeatable bool) *exchanger.Call {
	now := time.Now()
	return &exchanger.Call{ID: "1", Service: "desk", Route: "book", Deadline: now.Add(5 * time.Second), Objective: now.Add(time.Second), Repeatable: repeatable}
}

func TestAttempts(t *testing.T) {
	notRun := func(reason exchanger.Reason) *exchanger.Refusal { return exchanger.NotRun(503, reason, "") }
	broken := exchanger.Unknown(502, exchanger.ReasonBroken, "")
	tests := []struct {
		name       string
		refusals   []*exchanger.Refusal
		repeatable bool
		attempts   int
		// sent is the number of nodes that get the call, ran what the caller
		// is told; empty for an answer.
		sent int
		ran  exchanger.Ran
	}{
		{"first one answers", nil, false, 2, 1, ""},
		{"leaving nodes cost nothing", []*exchanger.Refusal{notRun(exchanger.ReasonDraining), notRun(exchanger.ReasonOutOfService)}, false, 1, 3, ""},
		{"full node, one more is asked", []*exchanger.Refusal{notRun(exchanger.ReasonOverload), notRun(exchanger.ReasonOverload)}, false, 2, 2, exchanger.RanNo},
		{"broken, may run once", []*exchanger.Refusal{broken}, false, 3, 1, exchanger.RanUnknown},
		{"broken, may run again", []*exchanger.Refusal{broken}, true, 2, 2, ""},
		{"broken, attempts are spent", []*exchanger.Refusal{broken, broken}, true, 2, 2, exchanger.RanUnknown},
		{"not run after broken is not called not run", []*exchanger.Refusal{broken, notRun(exchanger.ReasonOverload), notRun(exchanger.ReasonOverload)}, true, 3, 3, exchanger.RanUnknown},
		{"turned away by the server counts as an attempt", []*exchanger.Refusal{notRun(exchanger.ReasonServerFull)}, false, 1, 1, exchanger.RanNo},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, l := newFixture(t, 6)
			left := slices.Clone(tt.refusals)
			l.script = func(string, *exchanger.Call) *exchanger.Refusal {
				if len(left) == 0 {
					return nil
				}
				next := left[0]
				left = left[1:]
				return next
			}
			_, refusal := f.Forward(t.Context(), call(tt.repeatable), &director.Route{Attempts: tt.attempts})
			got := exchanger.Ran("")
			if refusal != nil {
				got = refusal.Ran
			}
			if got != tt.ran || len(l.sent) != tt.sent {
				t.Errorf("got ran %q after %d nodes, want %q after %d", got, len(l.sent), tt.ran, tt.sent)
			}
			unique := slices.Compact(slices.Sorted(slices.Values(l.sent)))
			if len(unique) != len(l.sent) {
				t.Errorf("got nodes %v, want each once", l.sent)
			}
			if got == exchanger.RanNo && refusal.RetryAfter <= 0 {
				t.Error("got no time to come back with a refusal as not run, want one")
			}
		})
	}
}

func TestNodesThatAreDownGetNothing(t *testing.T) {
	f, l := newFixture(t, 3)
	l.down["n0"], l.down["n1"] = true, true
	for range 20 {
		if _, refusal := f.Forward(t.Context(), call(false), &director.Route{Attempts: 1}); refusal != nil {
			t.Fatal(refusal)
		}
	}
	if unique := slices.Compact(slices.Sorted(slices.Values(l.sent))); len(unique) != 1 || unique[0] != "n2" {
		t.Errorf("got nodes %v, want n2 only", unique)
	}
}

// TestRefusalIsNotShared checks that the time to come back is not written into a
// refusal that a guard gives to several callers.
func TestRefusalIsNotShared(t *testing.T) {
	f, l := newFixture(t, 1)
	shared := exchanger.NotRun(503, exchanger.ReasonDraining, "")
	l.script = func(string, *exchanger.Call) *exchanger.Refusal { return shared }
	_, refusal := f.Forward(t.Context(), call(false), &director.Route{Attempts: 1})
	if refusal == nil || refusal.RetryAfter <= 0 || shared.RetryAfter != 0 {
		t.Errorf("got %v with %s, shared with %s; want only the first with a time", refusal, refusal.RetryAfter, shared.RetryAfter)
	}
}

// TestOverloadBelowRefusesAtTheRoot lets a deep service be offered twice what it
// bears: requests whose trees lead there are refused before any call, and one
// that comes back goes before the others.
func TestOverloadBelowRefusesAtTheRoot(t *testing.T) {
	f, l := newFixture(t, 3)
	deep := linker.Member{Name: "n9", Incarnation: "1", Service: "deep", Domain: "d0"}
	l.members = append(l.members, deep)
	table := director.NewTable(director.State{Config: &director.Config{Routes: []director.Route{
		{Name: "feed", Parts: []director.Part{{Service: "deep", Weight: 1}}},
	}}})
	f.Table = func() *director.Table { return table }
	f.TakeFans(l.members[0], map[string]linker.Fans{"book": {Runs: 100, Calls: map[string]float64{"feed": 5}}})
	refused := 0
	for i := range 400 {
		f.TakeLoad(deep, guardian.Load{Sequence: uint64(i + 1), Limit: 10, Bears: 10, Offered: 20, Service: 50 * time.Millisecond})
		f.measured = time.Time{}
		c := call(false)
		c.Target = fmt.Sprint("/", i)
		if refusal := begin(t, f, c); refusal != nil {
			refused++
			if refusal.Ran != exchanger.RanNo || refusal.Reason != exchanger.ReasonOverload {
				t.Fatalf("got refusal %v, want one for overload that says not run", refusal)
			}
		}
	}
	if refused < 100 {
		t.Errorf("got %d of 400 refused, want at least 100", refused)
	}
	if got := len(l.sent) + refused; got != 400 {
		t.Errorf("got %d calls sent or refused, want 400: a refused one must not be sent", got)
	}
}

// TestRootIsNotBegunWithoutServersBelow lets every server of a deep service
// leave: requests that need it are refused before any call, others go on, and
// all do as soon as one server is back or a node's state is not known.
func TestRootIsNotBegunWithoutServersBelow(t *testing.T) {
	closed := guardian.Load{Sequence: 1, Closed: true}
	open := guardian.Load{Sequence: 1, Limit: 10}
	tests := []struct {
		name string
		// loads are those of the deep service's nodes; nil stands for a node
		// that tells nothing.
		loads []*guardian.Load
		fan   float64
		want  bool
	}{
		{"no nodes are left", nil, 2, false},
		{"all are closed", []*guardian.Load{&closed, &closed}, 2, false},
		{"one is open", []*guardian.Load{&closed, &open}, 2, true},
		{"one tells nothing", []*guardian.Load{&closed, nil}, 2, true},
		{"few requests need it", []*guardian.Load{&closed}, 0.3, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, l := newFixture(t, 3)
			table := director.NewTable(director.State{Config: &director.Config{Routes: []director.Route{
				{Name: "feed", Parts: []director.Part{{Service: "deep", Weight: 1}}},
			}}})
			f.Table = func() *director.Table { return table }
			for i := range tt.loads {
				l.members = append(l.members, linker.Member{Name: fmt.Sprint("deep", i), Incarnation: "1", Service: "deep", Domain: "d0"})
			}
			f.TakeFans(l.members[0], map[string]linker.Fans{"book": {Runs: 100, Calls: map[string]float64{"feed": tt.fan}}})
			for i, load := range tt.loads {
				if load != nil {
					f.TakeLoad(l.members[3+i], *load)
				}
			}
			refusal := begin(t, f, call(false))
			if got := refusal == nil; got != tt.want {
				t.Fatalf("got begun %t (%v), want %t", got, refusal, tt.want)
			}
			if refusal == nil {
				return
			}
			if refusal.Reason != exchanger.ReasonNoServer || refusal.Ran != exchanger.RanNo || refusal.RetryAfter <= 0 || len(l.sent) != 0 {
				t.Errorf("got %v after %d calls, want a refusal as not run, with a time to come back, before any call", refusal, len(l.sent))
			}
		})
	}
}

// TestFansOfFewRuns lets a node that has just started, and has seen more calls
// than runs, tell of its fans beside one that has run for long.
func TestFansOfFewRuns(t *testing.T) {
	calls := func(runs, n float64) map[string]linker.Fans {
		return map[string]linker.Fans{"book": {Runs: runs, Calls: map[string]float64{"feed": n}}}
	}
	tests := []struct {
		name     string
		told     []map[string]linker.Fans
		from, to float64
	}{
		{"few runs alone", []map[string]linker.Fans{calls(3, 9)}, 0, 0},
		{"few and many", []map[string]linker.Fans{calls(3, 9), calls(300, 1)}, 1, 1.1},
		{"many without calls", []map[string]linker.Fans{calls(100, 1), {"book": {Runs: 300}}}, 0.25, 0.25},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, l := newFixture(t, 3)
			for i, fans := range tt.told {
				f.TakeFans(l.members[i], fans)
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			if got := f.meanFans("book")["feed"]; got < tt.from || got > tt.to {
				t.Errorf("got %.2f calls a run, want %.2f to %.2f", got, tt.from, tt.to)
			}
		})
	}
}

// TestCanceledCallsAreNotSent guards against work for callers that have left: no
// node gets a call that is canceled already.
func TestCanceledCallsAreNotSent(t *testing.T) {
	f, l := newFixture(t, 3)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, refusal := f.Forward(ctx, call(true), &director.Route{Attempts: 2})
	if refusal == nil || refusal.Reason != exchanger.ReasonCanceled || refusal.Ran != exchanger.RanNo {
		t.Errorf("got refusal %v, want one that says canceled and not run", refusal)
	}
	if len(l.sent) > 0 {
		t.Errorf("got the call sent to %v, want none", l.sent)
	}
}

// TestChainsAfterALossOfAllNodes starts a node that nobody tells any fan: with those
// that were kept it knows the calls of a chain before the first one runs.
func TestChainsAfterALossOfAllNodes(t *testing.T) {
	table := director.NewTable(director.State{Config: &director.Config{Routes: []director.Route{
		{Name: "feed", Parts: []director.Part{{Service: "deep", Weight: 1}}},
	}}})
	known := func(f *Forwarder) float64 {
		f.Table = func() *director.Table { return table }
		f.mu.Lock()
		defer f.mu.Unlock()
		f.refresh()
		return f.tree("book", "desk")[branch{"feed", "deep"}].calls
	}
	before, l := newFixture(t, 3)
	before.TakeFans(l.members[0], map[string]linker.Fans{"book": {Runs: 100, Calls: map[string]float64{"feed": 4}}, "rare": {Runs: 1}})
	before.Admit(call(false))
	before.TakeLoad(l.members[0], guardian.Load{Sequence: 1, Limit: 40, Bears: 40, Offered: 30})
	before.measure(time.Now().Add(time.Second))
	kept := before.Memory()
	if len(kept.Fans) != 1 || kept.Work["desk"] != 30 {
		t.Errorf("got %v, want the fans of book alone and the work of desk", kept)
	}
	after, l := newFixture(t, 3)
	if got := known(after); got != 0 {
		t.Errorf("got %.1f calls before anything is known, want 0", got)
	}
	after.Recall(kept)
	if got := known(after); got != 4 {
		t.Errorf("got %.1f calls by what was kept, want 4", got)
	}
	after.TakeFans(l.members[0], map[string]linker.Fans{"book": {Runs: 990, Calls: map[string]float64{"feed": 2}}})
	if got := known(after); got > 2.1 {
		t.Errorf("got %.2f calls by what is seen now, want at most 2.1", got)
	}
	if after.Leaf("book") || after.Leaf("rare") {
		t.Error("got a leaf for a route with calls, or for one of which too little is known")
	}
	after.TakeFans(l.members[1], map[string]linker.Fans{"feed": {Runs: 100, Calls: map[string]float64{}}})
	if !after.Leaf("feed") {
		t.Error("got no leaf for a route whose runs make no calls")
	}
	if got := after.Memory().Fans["book"].Calls["feed"]; got > 2.1 {
		t.Errorf("got %.2f calls to be kept, want at most 2.1", got)
	}
}

// TestLinksThatAreNotForCalls gives a node links to delegates beside those that were
// chosen for a service: no call goes there, and what the service is offered is worked out
// from the chosen ones alone.
func TestLinksThatAreNotForCalls(t *testing.T) {
	f, l := newFixture(t, 4)
	l.unchosen = map[string]bool{"n2": true, "n3": true}
	for i, m := range l.members {
		f.TakeLoad(m, guardian.Load{Sequence: 1, Limit: 10, Bears: 10, Offered: float64(1 + i)})
	}
	for range 40 {
		if refusal := begin(t, f, call(false)); refusal != nil {
			t.Fatal(refusal)
		}
	}
	for _, name := range l.sent {
		if l.unchosen[name] {
			t.Fatalf("got a call sent to %s, want it sent to a chosen node", name)
		}
	}
	// Two of four nodes are chosen; they are offered 1 and 2.
	if got := f.Memory().Work["desk"]; got != 6 {
		t.Errorf("got work %.1f for all nodes of the service, want 6", got)
	}
}
