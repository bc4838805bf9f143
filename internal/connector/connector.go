// Package connector maintains DRPC connections to other nodes.
package connector

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"

	"github.com/flamingotack/flamingotack/internal/messenger"
)

const (
	pingInterval        = time.Second
	dialTimeout         = 500 * time.Millisecond
	idleTimeout         = 30 * time.Second
	maxIdleConnsPerNode = 256
	// maxSpareConnsPerNode idle connections to a node are kept for idleTimeout;
	// the surplus that a surge leaves behind is kept for surplusIdleTimeout.
	maxSpareConnsPerNode = 4
	surplusIdleTimeout   = 2 * time.Second
	pingTimeout          = 500 * time.Millisecond
)

type (
	// Connector is a pool of connections to other nodes. It pings idle
	// connections, so that a silent one is replaced before a request uses it. It
	// is safe for concurrent use.
	Connector struct {
		// WrapConn, if set before use, wraps each connection dialed to an
		// address.
		WrapConn func(address string, conn net.Conn) net.Conn
		// SecureConn, if set before use, upgrades each dialed connection to a
		// TLS connection.
		SecureConn func(ctx context.Context, conn net.Conn) (net.Conn, error)

		localAddr net.Addr

		mu     sync.Mutex
		closed bool
		// silenceReportedAt is when a connection was last reported silent.
		silenceReportedAt time.Time
		// idleConns are the idle connections by node address, the most recently
		// used last.
		idleConns map[string][]*idleConn
	}

	// DialError reports that no connection to a node was established, so that
	// nothing was sent.
	DialError struct {
		// Address is the node's address.
		Address string
		// Cause is the error of the dial.
		Cause error
	}

	// Connection is a connection in use.
	Connection struct {
		messenger.DRPCNodeClient

		address   string
		conn      *drpcconn.Conn
		connector *Connector
	}

	idleConn struct {
		conn      *drpcconn.Conn
		usedAt    time.Time
		checkedAt time.Time
	}
)

// New returns a Connector whose connections have the IP address of address, in
// the form IP:port, as their source. If address is invalid, or its IP address is
// unspecified or 127.0.0.1, the system chooses the source: it uses 127.0.0.1 by
// itself, and binding to it would reserve a port.
func New(address string) *Connector {
	c := &Connector{idleConns: map[string][]*idleConn{}}
	localAddr, err := netip.ParseAddrPort(address)
	if err == nil && !localAddr.Addr().IsUnspecified() && localAddr.Addr() != netip.AddrFrom4([4]byte{127, 0, 0, 1}) {
		c.localAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(localAddr.Addr(), 0))
	}
	return c
}

// Call makes one call to the node at address within timeout. The error is a
// *DialError or the error of f.
func Call[T any](ctx context.Context, c *Connector, address string, timeout time.Duration, f func(context.Context, messenger.DRPCNodeClient) (T, error)) (result T, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := c.Connect(ctx, address)
	if err != nil {
		return result, err
	}
	result, err = f(ctx, conn)
	if ctx.Err() != nil {
		conn.ReleaseAfterPing()
		return result, err
	}
	conn.Release(true)
	return result, err
}

// Close closes the idle connections. Connections in use are closed on release.
func (c *Connector) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conns := range c.idleConns {
		for _, i := range conns {
			_ = i.conn.Close()
		}
	}
	c.idleConns = map[string][]*idleConn{}
}

// Connect returns a connection to the node at address. The error is a
// *DialError.
func (c *Connector) Connect(ctx context.Context, address string) (*Connection, error) {
	conn := c.takeIdle(address)
	if conn == nil {
		dialed, err := c.dialInBackground(ctx, address)
		if err != nil {
			return nil, &DialError{Address: address, Cause: err}
		}
		conn = dialed
	}
	return &Connection{
		DRPCNodeClient: messenger.NewDRPCNodeClient(conn),
		address:        address,
		conn:           conn,
		connector:      c,
	}, nil
}

// Run pings idle connections until ctx ends. It returns nil.
func (c *Connector) Run(ctx context.Context) error {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			c.pingIdle(ctx, now)
		}
	}
}

// Error returns the address and the cause.
func (e *DialError) Error() string {
	return "connect to node " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error {
	return e.Cause
}

// ReportSilent records that the connection went silent. The same cause may have
// silenced other connections, so those that are idle now are reused only after a
// ping.
func (c *Connection) ReportSilent() {
	c.connector.mu.Lock()
	defer c.connector.mu.Unlock()
	c.connector.silenceReportedAt = time.Now()
}

// ReleaseAfterPing returns the connection to the pool once it answers a ping. It
// is for calls that ended before the other node sent a message.
func (c *Connection) ReleaseAfterPing() {
	i := &idleConn{conn: c.conn, usedAt: time.Now()}
	go c.connector.ping(context.Background(), c.address, i)
}

// Release returns the connection to the pool, or closes it when it is not
// healthy. A connection whose call was canceled is healthy: it is reused once the
// cancellation has been sent.
func (c *Connection) Release(healthy bool) {
	if !healthy {
		_ = c.conn.Close()
		return
	}
	c.connector.addUsed(c.address, c.conn)
}

// pingIdle pings the connections that were idle for pingInterval and closes
// those that were idle for too long.
func (c *Connector) pingIdle(ctx context.Context, now time.Time) {
	for address, conns := range c.takeConnsToPing(now) {
		for _, i := range conns {
			go c.ping(ctx, address, i)
		}
	}
}

func (c *Connector) takeConnsToPing(now time.Time) map[string][]*idleConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	due := map[string][]*idleConn{}
	for address, conns := range c.idleConns {
		kept := conns[:0]
		surplus := len(conns) - maxSpareConnsPerNode
		for n, i := range conns {
			switch {
			case now.Sub(i.usedAt) > idleTimeout, n < surplus && now.Sub(i.usedAt) > surplusIdleTimeout:
				_ = i.conn.Close()
			case now.Sub(i.checkedAt) >= pingInterval, i.checkedAt.Before(c.silenceReportedAt):
				due[address] = append(due[address], i)
			default:
				kept = append(kept, i)
			}
		}
		if len(kept) == 0 {
			delete(c.idleConns, address)
			continue
		}
		c.idleConns[address] = kept
	}
	return due
}

func (c *Connector) ping(ctx context.Context, address string, i *idleConn) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err := messenger.NewDRPCNodeClient(i.conn).Ping(ctx, &messenger.PingRequest{})
	if err != nil {
		_ = i.conn.Close()
		c.closeIdle(address)
		return
	}
	i.checkedAt = time.Now()
	c.addIdle(address, i)
}

func (c *Connector) closeIdle(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range c.idleConns[address] {
		_ = i.conn.Close()
	}
	delete(c.idleConns, address)
}

func (c *Connector) addUsed(address string, conn *drpcconn.Conn) {
	now := time.Now()
	c.addIdle(address, &idleConn{conn: conn, usedAt: now, checkedAt: now})
}

func (c *Connector) addIdle(address string, i *idleConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idleConns[address]) >= maxIdleConnsPerNode || isClosed(i.conn.Closed()) {
		_ = i.conn.Close()
		return
	}
	conns := c.idleConns[address]
	at, _ := slices.BinarySearchFunc(conns, i.usedAt, func(other *idleConn, usedAt time.Time) int {
		return other.usedAt.Compare(usedAt)
	})
	c.idleConns[address] = slices.Insert(conns, at, i)
}

// takeIdle returns the most recently used idle connection that was checked since
// the last reported silence and has sent the cancellation of its last call; nil
// without one.
func (c *Connector) takeIdle(address string) *drpcconn.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idleConns[address]
	for i := len(conns) - 1; i >= 0; i-- {
		conn := conns[i].conn
		closed := isClosed(conn.Closed())
		if !closed && (conns[i].checkedAt.Before(c.silenceReportedAt) || !isClosed(conn.Unblocked())) {
			continue
		}
		conns = slices.Delete(conns, i, i+1)
		c.idleConns[address] = conns
		if !closed {
			return conn
		}
	}
	return nil
}

// dialInBackground dials and stops waiting when ctx ends. The dial continues, and
// its connection is kept for the next caller. Otherwise, callers with timeouts
// shorter than the setup of a connection would never get one.
func (c *Connector) dialInBackground(ctx context.Context, address string) (*drpcconn.Conn, error) {
	type result struct {
		conn *drpcconn.Conn
		err  error
	}
	dialed := make(chan result)
	go func() {
		conn, err := c.dial(context.WithoutCancel(ctx), address)
		select {
		case dialed <- result{conn, err}:
		case <-ctx.Done():
			if err == nil {
				c.addUsed(address, conn)
			}
		}
	}()
	select {
	case r := <-dialed:
		return r.conn, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *Connector) dial(ctx context.Context, address string) (conn *drpcconn.Conn, err error) {
	defer func() { err = errors.Wrap(err, "dial") }()
	dialer := &net.Dialer{Timeout: dialTimeout, LocalAddr: c.localAddr}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if c.WrapConn != nil {
		raw = c.WrapConn(address, raw)
	}
	if raw, err = c.secure(ctx, raw); err != nil {
		return nil, err
	}
	options := drpcconn.Options{Manager: drpcmanager.Options{
		SoftCancel:      true,
		SoftCancelGrace: pingTimeout,
	}}
	return drpcconn.NewWithOptions(raw, options), nil
}

// secure upgrades conn to a TLS connection, so that a failure of the handshake is
// known before a request is sent.
func (c *Connector) secure(ctx context.Context, conn net.Conn) (secured net.Conn, err error) {
	if c.SecureConn == nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return c.SecureConn(ctx, conn)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
