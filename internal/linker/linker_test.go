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
	"github.com/flamingotack/flamingotack/internal/suspecter"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

type (
	// node is a Linker that records what it receives.
	node struct {
		*Linker
		member Member
		run    func(ctx context.Context, c *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal)

		mu    sync.Mutex
		state director.State
		// receivedStates counts the states that other nodes have sent.
		receivedStates     int
		directoryReachable bool
		load               guardian.LoadReport
		receivedLoads      map[string]guardian.LoadReport
		receivedFanOuts    map[string]map[string]FanOut
		suspects           suspecter.CrashTracker
	}

	// proxy forwards connections to a node and can stop doing so.
	proxy struct {
		net.Listener
		// dropping discards all data of the open connections from then on; paused
		// delays data while it is set.
		dropping, paused atomic.Bool
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

// startNodeAt starts a node that announces the given address.
func startNodeAt(t *testing.T, name string, l net.Listener, address string) *node {
	t.Helper()
	return startMember(t, Member{Name: name, Incarnation: name + "-1", Address: address, Service: "s", Domain: "d"}, l)
}

func startMember(t *testing.T, m Member, l net.Listener) *node {
	t.Helper()
	n := &node{
		member:        m,
		load:          guardian.LoadReport{Sequence: 1, Limit: 7, CapacitySlots: 7},
		receivedLoads: map[string]guardian.LoadReport{},

		receivedFanOuts: map[string]map[string]FanOut{},
	}
	n.Linker = New(n.member, timekeeper.SystemClock{}, logger.New(t.Output(), "info", m.Name), Handlers{
		FanOuts:            func() map[string]FanOut { return map[string]FanOut{"r": {Runs: 50, Calls: map[string]float64{"q": 2}}} },
		DirectoryReachable: n.getDirectoryReachable,
		GrantTokens:        func(_ context.Context, _ string, milliTokens int64, _ bool) int64 { return milliTokens / 2 },
		Load:               n.getLoad,
		CallHandler:        n,
		State:              n.getState,
		IsolatedSuspects: func() []suspecter.Suspect {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.suspects.Isolated(time.Now())
		},
		ReceiveSuspects: n.mergeSuspects,
		ReceiveFanOuts: func(m Member, fanOuts map[string]FanOut) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.receivedFanOuts[m.Name] = fanOuts
		},
		ReceiveLoad: func(m Member, l guardian.LoadReport) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.receivedLoads[m.Name] = l
		},
		ReceiveState: func(s director.State) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.receivedStates++
			n.state, _ = director.Merge(n.state, s)
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

// mergeSuspects returns the suspects that the node did not know.
func (n *node) mergeSuspects(received []suspecter.Suspect) (news []suspecter.Suspect) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range received {
		if n.suspects.Merge(time.Now(), p) {
			news = append(news, p)
		}
	}
	return news
}

func (n *node) getDirectoryReachable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.directoryReachable
}

func (n *node) getLoad() guardian.LoadReport {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.load
}

func (n *node) getState() director.State {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state
}

// startPair starts two nodes with links to each other.
func startPair(t *testing.T) (a, b *node) {
	t.Helper()
	a, b = startNode(t, "a"), startNode(t, "b")
	a.AddMember(b.member, false)
	await(t, func() bool { return a.Connected("b") && b.Connected("a") })
	return a, b
}

// Members returns the other members, sorted by name.
func (l *Linker) Members() []Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]Member, 0, len(l.links))
	for _, name := range slices.Sorted(maps.Keys(l.links)) {
		list = append(list, l.links[name].member)
	}
	return list
}

// Connected reports whether the link to a node has a session.
func (l *Linker) Connected(name string) bool {
	k := l.link(name)
	return k != nil && k.current.Load() != nil
}

// newCall returns a call whose deadline is left from now.
func newCall(left time.Duration) *exchanger.Call {
	return &exchanger.Call{ID: "1", Service: "s", Method: http.MethodPost, Target: "/x", Deadline: time.Now().Add(left)}
}

// await waits until done returns true and fails the test after 20 s.
func await(t *testing.T, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition still unmet after 20 s")
		}
	}
}

// TestConcurrentCallsShareLink sends calls concurrently, with bodies of one and of several
// frames.
func TestConcurrentCallsShareLink(t *testing.T) {
	a, b := startPair(t)
	b.run = func(_ context.Context, c *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal) {
		return &exchanger.Reply{Status: 200, Header: c.Header, Body: c.Body}, nil
	}
	var sent sync.WaitGroup
	for _, size := range []int{0, 1, 1000, maxFrameBodyBytes, maxFrameBodyBytes + 1, 3*maxFrameBodyBytes + 5} {
		sent.Go(func() {
			c := newCall(20 * time.Second)
			c.Header = http.Header{"X-Size": {fmt.Sprint(size)}}
			c.Body = bytes.Repeat([]byte{byte(size)}, size)
			reply, refusal := a.Send(t.Context(), "b", c)
			if refusal != nil {
				t.Errorf("size %d: got refusal %v, want a reply", size, refusal)
				return
			}
			if !bytes.Equal(reply.Body, c.Body) || reply.Header.Get("X-Size") != fmt.Sprint(size) || reply.ServerNode != "b" {
				t.Errorf("size %d: got a reply of %d bytes from %s, want the body and header of the call from b", size, len(reply.Body), reply.ServerNode)
			}
		})
	}
	sent.Wait()
}

// TestCanceledOrExpiredCallEndsRun guards against runs that outlive their caller: one call is
// canceled and one passes its deadline.
func TestCanceledOrExpiredCallEndsRun(t *testing.T) {
	a, b := startPair(t)
	ended := make(chan struct{}, 2)
	b.run = func(ctx context.Context, _ *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal) {
		<-ctx.Done()
		ended <- struct{}{}
		return nil, exchanger.Unknown(502, exchanger.ReasonCanceled, "")
	}
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	if _, refusal := a.Send(ctx, "b", newCall(20*time.Second)); refusal == nil || refusal.Ran != exchanger.RanUnknown {
		t.Errorf("got refusal %v, want one that may have run", refusal)
	}
	<-ended
	_, refusal := a.Send(t.Context(), "b", newCall(50*time.Millisecond))
	if refusal == nil || refusal.Ran != exchanger.RanUnknown {
		t.Errorf("got refusal %v, want one that may have run", refusal)
	}
	<-ended
}

// TestSilentLinkFailsCallAndRecovers drops all data to a node while a call runs there. The
// call ends as one that may have run, and new calls succeed once data passes again.
func TestSilentLinkFailsCallAndRecovers(t *testing.T) {
	a, b, p := startNodesWithProxy(t)
	running := make(chan struct{})
	b.run = func(ctx context.Context, c *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal) {
		if c.ID == "1" {
			close(running)
			<-ctx.Done()
		}
		return &exchanger.Reply{Status: 200}, nil
	}
	a.AddMember(b.member, false)
	await(t, func() bool { return a.Connected("b") })
	go func() {
		<-running
		p.dropping.Store(true)
	}()
	c := newCall(20 * time.Second)
	c.Idempotent = true
	if _, refusal := a.Send(t.Context(), "b", c); refusal == nil || refusal.Reason != exchanger.ReasonSilent || refusal.Ran != exchanger.RanUnknown {
		t.Fatalf("got refusal %v, want one for a silent link that may have run", refusal)
	}
	p.dropping.Store(false)
	c = newCall(20 * time.Second)
	c.ID = "2"
	await(t, func() bool {
		_, refusal := a.Send(t.Context(), "b", c)
		return refusal == nil
	})
}

// startNodesWithProxy starts two nodes, the second one behind a proxy.
func startNodesWithProxy(t *testing.T) (a, b *node, p *proxy) {
	t.Helper()
	a = startNode(t, "a")
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p = startProxy(t, l.Addr().String())
	return a, startNodeAt(t, "b", l, p.Addr().String()), p
}

// startProxy starts a proxy that forwards connections to an address.
func startProxy(t *testing.T, address string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{Listener: l}
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
			go p.forward(in, out)
			go p.forward(out, in)
		}
	}()
	return p
}

// forward copies data until a connection ends.
func (p *proxy) forward(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 4096)
	dropped := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		for p.paused.Load() {
			time.Sleep(time.Millisecond)
		}
		// A connection that has dropped data never forwards again.
		dropped = dropped || p.dropping.Load()
		if dropped {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// TestUnreachableNodeReportsNotRun checks that the refusal says not run, as only that lets a
// call be sent to another node.
func TestUnreachableNodeReportsNotRun(t *testing.T) {
	a := startNode(t, "a")
	if _, refusal := a.Send(t.Context(), "x", newCall(time.Second)); refusal == nil || refusal.Ran != exchanger.RanNo {
		t.Errorf("got refusal %v for an unknown node, want one that says not run", refusal)
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a.AddMember(Member{Name: "b", Incarnation: "b-1", Address: l.Addr().String(), Service: "s", Domain: "d"}, false)
	l.Close()
	if _, refusal := a.Send(t.Context(), "b", newCall(time.Second)); refusal == nil || refusal.Ran != exchanger.RanNo {
		t.Errorf("got refusal %v for a node that is down, want one that says not run", refusal)
	}
}

// TestMembersLoadsAndStateSpread checks that members, loads and the newest configuration
// spread without a store.
func TestMembersLoadsAndStateSpread(t *testing.T) {
	a, b, c := startNode(t, "a"), startNode(t, "b"), startNode(t, "c")
	c.mu.Lock()
	c.state = director.State{Revision: 9, Config: &director.Config{Version: 4}}
	c.mu.Unlock()
	b.AddMember(c.member, false)
	await(t, func() bool { return b.Connected("c") })
	a.AddMember(b.member, false)
	await(t, func() bool { return a.Connected("c") && c.Connected("a") })
	await(t, func() bool { return a.getState().Revision == 9 && b.getState().Revision == 9 })
	if got := a.getState().Config.Version; got != 4 {
		t.Errorf("got configuration %d, want 4", got)
	}
	await(t, func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.receivedLoads["b"].Limit == 7 && a.receivedLoads["c"].Limit == 7
	})
}

// TestDepartedNodeIsNotReadded guards against members that stay known after they have left,
// because late news of another node add them again.
func TestDepartedNodeIsNotReadded(t *testing.T) {
	a, b := startPair(t)
	b.Leave()
	await(t, func() bool { return len(a.Members()) == 0 })
	a.AddMember(b.member, false)
	if got := a.Members(); len(got) != 0 {
		t.Errorf("got members %v, want none", got)
	}
}

func TestRequestTokens(t *testing.T) {
	a, _ := startPair(t)
	if got := a.RequestTokens(t.Context(), "b", "pond", 1000, false); got != 500 {
		t.Errorf("got %d, want 500", got)
	}
	if got := a.RequestTokens(t.Context(), "b", "pond", 0, true); got != 0 {
		t.Errorf("got %d for a request of 0 tokens, want 0", got)
	}
}

// TestCallOnClosedSessionFailsAtOnce guards against calls that wait for their deadline
// because the session is closed between the start of the exchange and the queueing of the
// call.
func TestCallOnClosedSessionFailsAtOnce(t *testing.T) {
	a, _ := startPair(t)
	k := a.link("b")
	s := k.current.Load()
	s.close()
	// Once a new session is established, the end of the old one has been handled.
	await(t, func() bool { now := k.current.Load(); return now != nil && now != s })
	k.current.Store(s)
	started := time.Now()
	if _, refusal := k.send(t.Context(), newCall(10*time.Second)); refusal == nil || refusal.Ran != exchanger.RanNo || refusal.Reason != exchanger.ReasonUnreachable {
		t.Errorf("got refusal %v, want one that says not run", refusal)
	}
	if got := time.Since(started); got > 5*time.Second {
		t.Errorf("got the refusal after %s, want it at once", got)
	}
}

// TestReplyAfterSilenceIsDelivered guards against work that is given up because its node was
// silent for a while, for example paused. The reply of a call that must not run twice is
// awaited, an idempotent call ends so that it can be retried, and new calls do not use the
// silent session.
func TestReplyAfterSilenceIsDelivered(t *testing.T) {
	a, b, p := startNodesWithProxy(t)
	running := make(chan struct{}, 2)
	release := make(chan struct{})
	b.run = func(context.Context, *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal) {
		running <- struct{}{}
		<-release
		return &exchanger.Reply{Status: 200}, nil
	}
	a.AddMember(b.member, false)
	await(t, func() bool { return a.Connected("b") })
	first := a.link("b").current.Load()
	answers := make(chan *exchanger.Reply, 1)
	go func() {
		reply, _ := a.Send(t.Context(), "b", newCall(20*time.Second))
		answers <- reply
	}()
	refusals := make(chan *exchanger.Refusal, 1)
	go func() {
		c := newCall(20 * time.Second)
		c.Idempotent = true
		_, refusal := a.Send(t.Context(), "b", c)
		refusals <- refusal
	}()
	<-running
	<-running
	p.paused.Store(true)
	if got := <-refusals; got == nil || got.Reason != exchanger.ReasonSilent || got.Ran != exchanger.RanUnknown {
		t.Errorf("got refusal %v, want one for a silent link that may have run", got)
	}
	if a.link("b").current.Load() == first {
		t.Error("got the silent session still in use, want none or a new one")
	}
	close(release)
	p.paused.Store(false)
	if got := <-answers; got == nil || got.Status != 200 {
		t.Errorf("got reply %v, want the one sent after the silence", got)
	}
	await(t, func() bool { return first.isClosed() })
}
