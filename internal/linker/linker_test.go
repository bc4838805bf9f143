package linker

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/guardian"
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

type (
	// node is a Linker with what it was told.
	node struct {
		*Linker
		member Member
		run    func(ctx context.Context, c *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal)

		mu    sync.Mutex
		state director.State
		// states counts the states that others sent.
		states  int
		follows bool
		load    guardian.Load
		loads   map[string]guardian.Load
	}

	// wire is a listener in front of a node that can fall silent.
	wire struct {
		net.Listener
		// silent loses what comes, for good; held keeps it back for a while.
		silent, held atomic.Bool
	}
)

func (n *node) HandleCall(ctx context.Context, c *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal) {
	return n.run(ctx, c)
}

func startNode(t *testing.T, name string) *node {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return startNodeAt(t, name, l, l.Addr().String())
}

// startNodeAt starts a node that tells others that address.
func startNodeAt(t *testing.T, name string, l net.Listener, address string) *node {
	t.Helper()
	return startMember(t, Member{Name: name, Incarnation: name + "-1", Address: address, Service: "s", Domain: "d"}, l)
}

func startMember(t *testing.T, m Member, l net.Listener) *node {
	t.Helper()
	n := &node{
		member: m,
		load:   guardian.Load{Sequence: 1, Limit: 7, Bears: 7},
		loads:  map[string]guardian.Load{},
	}
	n.Linker = New(n.member, timekeeper.SystemClock{}, logger.New(t.Output(), "info", m.Name), Handlers{
		Fans:     func() map[string]Fans { return map[string]Fans{"r": {Runs: 50, Calls: map[string]float64{"q": 2}}} },
		Follows:  n.getFollows,
		Grant:    func(_ context.Context, _ string, tokens int64, _ bool) int64 { return tokens / 2 },
		Load:     n.getLoad,
		Run:      n,
		State:    n.getState,
		TakeFans: func(Member, map[string]Fans) {},
		TakeLoad: func(m Member, l guardian.Load) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.loads[m.Name] = l
		},
		TakeState: func(s director.State) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.states++
			if s.Revision > n.state.Revision {
				n.state = s
			}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { n.Run(ctx) })
	running.Go(func() { n.Serve(ctx, l) })
	t.Cleanup(func() {
		cancel()
		l.Close()
		running.Wait()
	})
	return n
}

func (n *node) getFollows() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.follows
}

func (n *node) getLoad() guardian.Load {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.load
}

func (n *node) getState() director.State {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state
}

func pair(t *testing.T) (a, b *node) {
	t.Helper()
	a, b = startNode(t, "a"), startNode(t, "b")
	a.Meet(b.member, false)
	await(t, func() bool { return a.Up("b") && b.Up("a") })
	return a, b
}

// Members returns the other members, in order of their names.
func (l *Linker) Members() []Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]Member, 0, len(l.links))
	for _, name := range slices.Sorted(maps.Keys(l.links)) {
		list = append(list, l.links[name].member)
	}
	return list
}

// Up reports whether a link to a node stands.
func (l *Linker) Up(name string) bool {
	k := l.link(name)
	return k != nil && k.current.Load() != nil
}

func call(left time.Duration) *exchanger.Call {
	return &exchanger.Call{ID: "1", Service: "s", Method: http.MethodPost, Target: "/x", Deadline: time.Now().Add(left)}
}

func await(t *testing.T, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("got no end of the wait, want one")
		}
	}
}

// TestCallsOverOneLink sends calls at once, with bodies of less than and of
// several frames.
func TestCallsOverOneLink(t *testing.T) {
	a, b := pair(t)
	b.run = func(_ context.Context, c *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal) {
		return &exchanger.Reply{Status: 200, Header: c.Header, Body: c.Body}, nil
	}
	var sent sync.WaitGroup
	for _, size := range []int{0, 1, 1000, frameBytes, frameBytes + 1, 3*frameBytes + 5} {
		sent.Go(func() {
			c := call(20 * time.Second)
			c.Header = http.Header{"X-Size": {fmt.Sprint(size)}}
			c.Body = bytes.Repeat([]byte{byte(size)}, size)
			reply, refusal := a.Send(t.Context(), "b", c)
			if refusal != nil {
				t.Errorf("size %d: got refusal %v, want a reply", size, refusal)
				return
			}
			if !bytes.Equal(reply.Body, c.Body) || reply.Header.Get("X-Size") != fmt.Sprint(size) || reply.Server != "b" {
				t.Errorf("size %d: got another reply, %d bytes from %s", size, len(reply.Body), reply.Server)
			}
		})
	}
	sent.Wait()
}

// TestLeavingCallerEndsTheRun cancels a call, and lets one run out of time.
func TestLeavingCallerEndsTheRun(t *testing.T) {
	a, b := pair(t)
	ended := make(chan struct{}, 2)
	b.run = func(ctx context.Context, _ *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal) {
		<-ctx.Done()
		ended <- struct{}{}
		return nil, exchanger.Unknown(502, exchanger.ReasonCanceled, "")
	}
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	if _, refusal := a.Send(ctx, "b", call(20*time.Second)); refusal == nil || refusal.Ran != exchanger.RanUnknown {
		t.Errorf("got refusal %v, want one that may have run", refusal)
	}
	<-ended
	_, refusal := a.Send(t.Context(), "b", call(50*time.Millisecond))
	if refusal == nil || refusal.Ran != exchanger.RanUnknown {
		t.Errorf("got refusal %v, want one that may have run", refusal)
	}
	<-ended
}

// TestLinkThatFallsSilent lets the way to a node carry nothing any more while a
// call runs there: the call ends as one that may have run, and new ones pass once
// the way is back.
func TestLinkThatFallsSilent(t *testing.T) {
	a, b, w := overWire(t)
	running := make(chan struct{})
	b.run = func(ctx context.Context, c *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal) {
		if c.ID == "1" {
			close(running)
			<-ctx.Done()
		}
		return &exchanger.Reply{Status: 200}, nil
	}
	a.Meet(b.member, false)
	await(t, func() bool { return a.Up("b") })
	go func() {
		<-running
		w.silent.Store(true)
	}()
	c := call(20 * time.Second)
	c.Repeatable = true
	if _, refusal := a.Send(t.Context(), "b", c); refusal == nil || refusal.Reason != exchanger.ReasonSilent || refusal.Ran != exchanger.RanUnknown {
		t.Fatalf("got refusal %v, want one for a silent link that may have run", refusal)
	}
	w.silent.Store(false)
	c = call(20 * time.Second)
	c.ID = "2"
	await(t, func() bool {
		_, refusal := a.Send(t.Context(), "b", c)
		return refusal == nil
	})
}

// overWire starts two nodes, the second one behind a wire.
func overWire(t *testing.T) (a, b *node, w *wire) {
	t.Helper()
	a = startNode(t, "a")
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w = startWire(t, l.Addr().String())
	return a, startNodeAt(t, "b", l, w.Addr().String()), w
}

// startWire passes connections on to an address.
func startWire(t *testing.T, address string) *wire {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &wire{Listener: l}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp4", address)
			if err != nil {
				in.Close()
				continue
			}
			go w.pass(in, out)
			go w.pass(out, in)
		}
	}()
	return w
}

func (w *wire) pass(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 4096)
	lost := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		for w.held.Load() {
			time.Sleep(time.Millisecond)
		}
		// What once fell silent stays silent.
		lost = lost || w.silent.Load()
		if lost {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// TestUnreachableNodeHasNotRun checks the one word that lets a call go elsewhere.
func TestUnreachableNodeHasNotRun(t *testing.T) {
	a := startNode(t, "a")
	if _, refusal := a.Send(t.Context(), "x", call(time.Second)); refusal == nil || refusal.Ran != exchanger.RanNo {
		t.Errorf("got refusal %v for an unknown node, want one that says not run", refusal)
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a.Meet(Member{Name: "b", Incarnation: "b-1", Address: l.Addr().String()}, false)
	l.Close()
	if _, refusal := a.Send(t.Context(), "b", call(time.Second)); refusal == nil || refusal.Ran != exchanger.RanNo {
		t.Errorf("got refusal %v for a node that is down, want one that says not run", refusal)
	}
}

// TestNodesTellEachOther checks that members, loads and the newest configuration
// spread without any store.
func TestNodesTellEachOther(t *testing.T) {
	a, b, c := startNode(t, "a"), startNode(t, "b"), startNode(t, "c")
	c.mu.Lock()
	c.state = director.State{Revision: 9, Config: &director.Config{Version: 4}}
	c.mu.Unlock()
	b.Meet(c.member, false)
	await(t, func() bool { return b.Up("c") })
	a.Meet(b.member, false)
	await(t, func() bool { return a.Up("c") && c.Up("a") })
	await(t, func() bool { return a.getState().Revision == 9 && b.getState().Revision == 9 })
	if got := a.getState().Config.Version; got != 4 {
		t.Errorf("got configuration %d, want 4", got)
	}
	await(t, func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.loads["b"].Limit == 7 && a.loads["c"].Limit == 7
	})
}

// TestNodeThatLeavesIsNotMetAgain lets others tell of a node that has left.
func TestNodeThatLeavesIsNotMetAgain(t *testing.T) {
	a, b := pair(t)
	b.Leave()
	await(t, func() bool { return len(a.Members()) == 0 })
	a.Meet(b.member, false)
	if got := a.Members(); len(got) != 0 {
		t.Errorf("got members %v, want none", got)
	}
}

func TestAskForTokens(t *testing.T) {
	a, _ := pair(t)
	if got := a.Ask(t.Context(), "b", "pond", 1000, false); got != 500 {
		t.Errorf("got %d, want 500", got)
	}
	if got := a.Ask(t.Context(), "b", "pond", 0, true); got != 0 {
		t.Errorf("got %d of nothing, want 0", got)
	}
}

// TestCallsOnALinkThatJustBroke guards against calls that wait for their deadline: the
// session is closed after the call has taken it and before the call is queued.
func TestCallsOnALinkThatJustBroke(t *testing.T) {
	a, _ := pair(t)
	k := a.link("b")
	s := k.current.Load()
	s.close()
	// Once the link stands anew, the end of the old session is done with.
	await(t, func() bool { now := k.current.Load(); return now != nil && now != s })
	k.current.Store(s)
	started := time.Now()
	if _, refusal := k.send(t.Context(), call(10*time.Second)); refusal == nil || refusal.Ran != exchanger.RanNo || refusal.Reason != exchanger.ReasonUnreachable {
		t.Errorf("got refusal %v, want one that says not run", refusal)
	}
	if got := time.Since(started); got > 5*time.Second {
		t.Errorf("got the refusal after %s, want it at once", got)
	}
}

// TestAnswerAfterASilence guards against work that is given up because its node was
// silent for a while, as one that was paused: what must not run twice is waited for, what
// may be repeated ends so that it can be, and new calls take a new session at once.
func TestAnswerAfterASilence(t *testing.T) {
	a, b, w := overWire(t)
	running := make(chan struct{}, 2)
	release := make(chan struct{})
	b.run = func(context.Context, *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal) {
		running <- struct{}{}
		<-release
		return &exchanger.Reply{Status: 200}, nil
	}
	a.Meet(b.member, false)
	await(t, func() bool { return a.Up("b") })
	first := a.link("b").current.Load()
	answers := make(chan *exchanger.Reply, 1)
	go func() {
		reply, _ := a.Send(t.Context(), "b", call(20*time.Second))
		answers <- reply
	}()
	refusals := make(chan *exchanger.Refusal, 1)
	go func() {
		c := call(20 * time.Second)
		c.Repeatable = true
		_, refusal := a.Send(t.Context(), "b", c)
		refusals <- refusal
	}()
	<-running
	<-running
	w.held.Store(true)
	if got := <-refusals; got == nil || got.Reason != exchanger.ReasonSilent || got.Ran != exchanger.RanUnknown {
		t.Errorf("got refusal %v, want one for a silent link that may have run", got)
	}
	if a.link("b").current.Load() == first {
		t.Error("got the silent session still in use, want none or a new one")
	}
	close(release)
	w.held.Store(false)
	if got := <-answers; got == nil || got.Status != 200 {
		t.Errorf("got answer %v, want the one that came after the silence", got)
	}
	await(t, func() bool { return first.ended() })
}
