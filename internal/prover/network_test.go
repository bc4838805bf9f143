package prover

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
)

type (
	// network forwards the connections between nodes. It identifies a node by
	// the IP address that its connections come from.
	network struct {
		mu          sync.Mutex
		partitioned map[direction]bool
		connections map[*proxiedConn]struct{}
	}

	// direction is a direction between two nodes.
	direction struct {
		fromIP, toIP netip.Addr
	}

	// peerProxy accepts the connections to the peer address of one node.
	peerProxy struct {
		address  string
		network  *network
		toIP     netip.Addr
		mu       sync.Mutex
		upstream string
	}

	// proxiedConn is one connection from a node through a peerProxy to another.
	proxiedConn struct {
		conns       [2]net.Conn
		direction   direction
		silenced    chan struct{}
		silenceOnce sync.Once
	}
)

func newNetwork() *network {
	return &network{partitioned: map[direction]bool{}, connections: map[*proxiedConn]struct{}{}}
}

// openPeerProxy starts a proxy in front of the node with IP address to. It
// closes connections at once until setUpstream is called.
func (n *network) openPeerProxy(t *testing.T, to netip.Addr) *peerProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	p := &peerProxy{address: listener.Addr().String(), network: n, toIP: to}
	go p.accept(listener)
	return p
}

// setPartitioned cuts or restores both directions between two nodes. Cutting
// closes the open connections.
func (n *network) setPartitioned(a, b netip.Addr, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range []direction{{a, b}, {b, a}} {
		n.partitioned[d] = partitioned
		for c := range n.connections {
			if partitioned && c.direction == d {
				c.close()
			}
		}
	}
}

// silenceConnections makes every open connection to a node discard its data
// without closing; new connections work. It returns the number of connections.
func (n *network) silenceConnections(to netip.Addr) (count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.connections {
		if c.direction.toIP == to {
			c.silenceOnce.Do(func() { close(c.silenced) })
			count++
		}
	}
	return count
}

func (p *peerProxy) setUpstream(upstream string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstream = upstream
}

func (p *peerProxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

func (p *peerProxy) forward(conn net.Conn) {
	from := netip.MustParseAddrPort(conn.RemoteAddr().String()).Addr()
	p.mu.Lock()
	upstream := p.upstream
	p.mu.Unlock()
	if upstream == "" || p.network.isPartitioned(direction{from, p.toIP}) {
		conn.Close()
		return
	}
	upstreamConn, err := net.Dial("tcp", upstream)
	if err != nil {
		conn.Close()
		return
	}
	c := &proxiedConn{conns: [2]net.Conn{conn, upstreamConn}, direction: direction{from, p.toIP}, silenced: make(chan struct{})}
	p.network.addConnection(c)
	defer p.network.removeConnection(c)
	c.forward()
}

func (n *network) addConnection(c *proxiedConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.connections[c] = struct{}{}
	if n.partitioned[c.direction] {
		c.close()
	}
}

func (n *network) isPartitioned(d direction) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned[d]
}

func (n *network) removeConnection(c *proxiedConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.connections, c)
}

func (c *proxiedConn) forward() {
	var g sync.WaitGroup
	g.Go(func() { c.copyData(c.conns[0], c.conns[1]) })
	g.Go(func() { c.copyData(c.conns[1], c.conns[0]) })
	g.Wait()
	c.close()
}

func (c *proxiedConn) close() {
	for _, end := range c.conns {
		end.Close()
	}
}

// copyData copies until one end closes. A silenced connection discards what it
// reads.
func (c *proxiedConn) copyData(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-c.silenced:
			_, _ = io.Copy(io.Discard, from)
			return
		default:
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	c.close()
}
