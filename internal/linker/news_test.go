package linker

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/guardian"
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// largeNodes and controlBytes are the size and the rate in bytes a second
	// that a node may use there to keep in touch with all others.
	largeNodes   = 420
	controlBytes = 8 << 10
	meshNodes    = 8
)

// countingListener counts the bytes that come in and go out over its connections.
type (
	countingListener struct {
		net.Listener
		bytes *atomic.Int64
	}

	countingConn struct {
		net.Conn
		bytes *atomic.Int64
	}
)

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

func (c countingConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (n int, err error) {
	n, err = c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// startMesh starts nodes that all know each other.
func startMesh(t *testing.T, bytes *atomic.Int64) (nodes []*node) {
	t.Helper()
	for i := range meshNodes {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		n := startNodeAt(t, fmt.Sprint("n", i), countingListener{l, bytes}, l.Addr().String())
		for _, m := range nodes {
			n.Meet(m.member, true)
			m.Meet(n.member, true)
		}
		nodes = append(nodes, n)
	}
	await(t, func() bool {
		for _, a := range nodes {
			for _, b := range nodes {
				if a != b && !a.Up(b.member.Name) {
					return false
				}
			}
		}
		return true
	})
	return nodes
}

// TestNodesAtRestTellLittle is the load of a large deployment in which nothing
// changes: what a pair of nodes sends must fit what a node may use for all.
func TestNodesAtRestTellLittle(t *testing.T) {
	const rounds = 3
	var bytes atomic.Int64
	startMesh(t, &bytes)
	time.Sleep(2 * fansInterval)
	before := bytes.Load()
	time.Sleep(rounds * loadInterval)
	// Each link sends one load a round; one more round may fall into the time.
	links := meshNodes * (meshNodes - 1)
	perLoad := float64(bytes.Load()-before) / float64((rounds+1)*links)
	// A node sends and takes the loads of all others.
	interval := max(loadInterval, calmPerLink*(largeNodes-1))
	want := controlBytes * interval.Seconds() / (2 * (largeNodes - 1))
	if perLoad > want {
		t.Errorf("got %.1f bytes for each load, want at most %.1f", perLoad, want)
	}
}

// TestStateComesFromOneNode lets a node that acts on an old state meet many that
// act on a newer one.
func TestStateComesFromOneNode(t *testing.T) {
	var bytes atomic.Int64
	nodes := startMesh(t, &bytes)
	for _, n := range nodes {
		n.mu.Lock()
		n.state = director.State{Revision: 9, Config: &director.Config{Version: 4}}
		n.mu.Unlock()
	}
	late := startNode(t, "late")
	for _, n := range nodes {
		late.Meet(n.member, true)
		n.Meet(late.member, true)
	}
	await(t, func() bool { return late.getState().Revision == 9 && len(late.Members()) == meshNodes })
	time.Sleep(2 * loadInterval)
	late.mu.Lock()
	defer late.mu.Unlock()
	if late.states > 2 {
		t.Errorf("got the state %d times, want it once, or twice if the first was slow", late.states)
	}
}

// TestEndOfPressureIsToldSoon lets a backend server that had too much work bear
// much more at once, as one does that was cold.
func TestEndOfPressureIsToldSoon(t *testing.T) {
	a, b := pair(t)
	setLoad := func(l guardian.Load) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.load = l
	}
	known := func() guardian.Load {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.loads["b"]
	}
	setLoad(guardian.Load{Sequence: 2, Limit: 2, Bears: 2, Offered: 20})
	await(t, func() bool { return known().Limit == 2 })
	// The last load under pressure was told just now.
	for i := range 4 {
		limit := 200 + i
		setLoad(guardian.Load{Sequence: uint64(3 + i), Limit: limit, Bears: float64(limit), Offered: 2})
		changed := time.Now()
		await(t, func() bool { return known().Limit == limit })
		if got, want := time.Since(changed), 3*checkInterval; got > want {
			t.Errorf("change %d: got to know after %s, want at most %s", i, got, want)
		}
	}
}

// TestHandlersMayAskTheLinker lets who takes the node's own fans ask for the
// members meanwhile, as the forwarder does under its lock.
func TestHandlersMayAskTheLinker(t *testing.T) {
	asked := make(chan int, 1)
	var n *Linker
	n = New(Member{Name: "a", Incarnation: "a-1", Address: "127.0.0.1:1"}, timekeeper.SystemClock{}, logger.New(t.Output(), "info", "a"), Handlers{
		Fans:    func() map[string]Fans { return map[string]Fans{"r": {Runs: 50}} },
		Follows: func() bool { return false },
		Load:    func() guardian.Load { return guardian.Load{} },
		State:   func() director.State { return director.State{} },
		TakeFans: func(Member, map[string]Fans) {
			members := make(chan int, 1)
			go func() { members <- len(n.Members()) }()
			select {
			case count := <-members:
				asked <- count
			case <-time.After(time.Second):
				asked <- -1
			}
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { n.Run(ctx) })
	if got := <-asked; got != 0 {
		t.Errorf("got %d members while the fans were taken, want 0 at once", got)
	}
	cancel()
	running.Wait()
}

// TestFansDiffer checks which changes of the fans are told.
func TestFansDiffer(t *testing.T) {
	fans := func(runs, ledger, index float64) map[string]Fans {
		return map[string]Fans{"book": {Runs: runs, Calls: map[string]float64{"ledger": ledger, "index": index}}}
	}
	told := fans(50, 2, 0.1)
	tests := []struct {
		name    string
		present map[string]Fans
		want    bool
	}{
		{"same", fans(50, 2, 0.1), false},
		{"a little more", fans(60, 2.1, 0.12), false},
		{"much more", fans(50, 2.5, 0.1), true},
		{"one less", map[string]Fans{"book": {Runs: 50, Calls: map[string]float64{"ledger": 2}}}, true},
		{"rest on many more runs", fans(120, 2, 0.1), true},
		{"another route", map[string]Fans{"book": told["book"], "view": {Runs: 1}}, true},
		{"nothing", nil, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := FansDiffer(told, tt.present); got != tt.want {
				t.Errorf("got %t, want %t", got, tt.want)
			}
		})
	}
}
