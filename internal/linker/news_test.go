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
	// largeDeploymentNodes is the size of a large deployment, and
	// maxControlBytesPerSecond what a node may send and receive there to exchange
	// loads with all other nodes.
	largeDeploymentNodes     = 420
	maxControlBytesPerSecond = 8 << 10
	meshNodes                = 8
)

type (
	// countingListener counts the bytes received and sent over its connections.
	countingListener struct {
		net.Listener
		bytes *atomic.Int64
	}

	// countingConn is a connection of a countingListener.
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

// startMesh starts nodes that are all linked to each other.
func startMesh(t *testing.T, bytes *atomic.Int64) (nodes []*node) {
	t.Helper()
	for i := range meshNodes {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		n := startNodeAt(t, fmt.Sprint("n", i), countingListener{l, bytes}, l.Addr().String())
		for _, m := range nodes {
			n.AddMember(m.member, true)
			m.AddMember(n.member, true)
		}
		nodes = append(nodes, n)
	}
	await(t, func() bool {
		for _, a := range nodes {
			for _, b := range nodes {
				if a != b && !a.Connected(b.member.Name) {
					return false
				}
			}
		}
		return true
	})
	return nodes
}

// TestIdleTrafficIsBounded checks that the traffic of a pair of nodes, scaled to a large
// deployment in which nothing changes, fits the bandwidth that a node may use.
func TestIdleTrafficIsBounded(t *testing.T) {
	const rounds = 3
	var bytes atomic.Int64
	startMesh(t, &bytes)
	time.Sleep(2 * fanOutInterval)
	before := bytes.Load()
	time.Sleep(rounds * loadInterval)
	// Each link carries one load a round; the time may cover one more round.
	links := meshNodes * (meshNodes - 1)
	perLoad := float64(bytes.Load()-before) / float64((rounds+1)*links)
	// A node sends its load to all others and receives theirs.
	interval := max(loadInterval, loadIntervalPerLink*(largeDeploymentNodes-1))
	want := maxControlBytesPerSecond * interval.Seconds() / (2 * (largeDeploymentNodes - 1))
	if perLoad > want {
		t.Errorf("got %.1f bytes for each load, want at most %.1f", perLoad, want)
	}
}

// TestStateIsFetchedFromOneNode guards against a state that is sent by every node to a node
// that joins with an older one.
func TestStateIsFetchedFromOneNode(t *testing.T) {
	var bytes atomic.Int64
	nodes := startMesh(t, &bytes)
	for _, n := range nodes {
		n.mu.Lock()
		n.state = director.State{Revision: 9, Config: &director.Config{Version: 4}}
		n.mu.Unlock()
	}
	late := startNode(t, "late")
	for _, n := range nodes {
		late.AddMember(n.member, true)
		n.AddMember(late.member, true)
	}
	await(t, func() bool { return late.getState().Revision == 9 && len(late.Members()) == meshNodes })
	time.Sleep(2 * loadInterval)
	late.mu.Lock()
	defer late.mu.Unlock()
	if late.receivedStates > 2 {
		t.Errorf("received the state %d times, want once, or twice if the first reply was slow", late.receivedStates)
	}
}

// TestLoadAfterOverloadSpreadsFast guards against nodes that keep an old load of a backend
// server after its overload has ended: its limit rises at once, as that of a cold one does.
func TestLoadAfterOverloadSpreadsFast(t *testing.T) {
	a, b := startPair(t)
	setLoad := func(l guardian.LoadReport) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.load = l
	}
	known := func() guardian.LoadReport {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.receivedLoads["b"]
	}
	setLoad(guardian.LoadReport{Sequence: 2, Limit: 2, CapacitySlots: 2, OfferedSlots: 20})
	await(t, func() bool { return known().Limit == 2 })
	// The last load at overload has just been received.
	for i := range 4 {
		limit := 200 + i
		setLoad(guardian.LoadReport{Sequence: uint64(3 + i), Limit: limit, CapacitySlots: float64(limit), OfferedSlots: 2})
		changed := time.Now()
		await(t, func() bool { return known().Limit == limit })
		if got, want := time.Since(changed), 3*checkInterval; got > want {
			t.Errorf("change %d: received after %s, want at most %s", i, got, want)
		}
	}
}

// TestHandlersMayCallLinker guards against a deadlock: ReceiveFanOuts asks for the members
// while it runs, as the forwarder does under its lock.
func TestHandlersMayCallLinker(t *testing.T) {
	asked := make(chan int, 1)
	var n *Linker
	n = New(Member{Name: "a", Incarnation: "a-1", Address: "127.0.0.1:1"}, timekeeper.SystemClock{}, logger.New(t.Output(), "info", "a"), Handlers{
		FanOuts:            func() map[string]FanOut { return map[string]FanOut{"r": {Runs: 50}} },
		DirectoryReachable: func() bool { return false },
		Load:               func() guardian.LoadReport { return guardian.LoadReport{} },
		State:              func() director.State { return director.State{} },
		ReceiveFanOuts: func(Member, map[string]FanOut) {
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
		t.Errorf("got %d members while the fan-outs were received, want 0 at once", got)
	}
	cancel()
	running.Wait()
}

// TestFanOutsDiffer checks which changes of the fan-outs are sent.
func TestFanOutsDiffer(t *testing.T) {
	fanOuts := func(runs, ledger, index float64) map[string]FanOut {
		return map[string]FanOut{"book": {Runs: runs, Calls: map[string]float64{"ledger": ledger, "index": index}}}
	}
	previous := fanOuts(50, 2, 0.1)
	tests := []struct {
		name    string
		present map[string]FanOut
		want    bool
	}{
		{"same", fanOuts(50, 2, 0.1), false},
		{"change below the thresholds", fanOuts(60, 2.1, 0.12), false},
		{"change above the thresholds", fanOuts(50, 2.5, 0.1), true},
		{"missing called route", map[string]FanOut{"book": {Runs: 50, Calls: map[string]float64{"ledger": 2}}}, true},
		{"runs more than doubled", fanOuts(120, 2, 0.1), true},
		{"additional route", map[string]FanOut{"book": previous["book"], "view": {Runs: 1}}, true},
		{"none", nil, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := FanOutsDiffer(previous, tt.present); got != tt.want {
				t.Errorf("got %t, want %t", got, tt.want)
			}
		})
	}
}
