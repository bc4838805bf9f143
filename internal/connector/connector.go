// Package connector keeps drpc connections to other nodes.
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
	checkInterval = time.Second
	dialTimeout   = 500 * time.Millisecond
	idleLimit     = 30 * time.Second
	maxIdle       = 256
	// spareIdle connections to a node stay for idleLimit, those that a surge
	// left behind for surplusLimit.
	spareIdle    = 4
	surplusLimit = 2 * time.Second
	pingTimeout  = 500 * time.Millisecond
)

type (
	// Connector keeps idle connections to other nodes and pings them, so
	// that a silent one is replaced before a request runs into it. It is
	// safe for concurrent use.
	Connector struct {
		// Wrap, when it is set before use, stands between the Connector and
		// each connection that was dialed to an address.
		WrapConn func(address string, conn net.Conn) net.Conn
		// Secure, when it is set before use, makes each dialed connection a
		// TLS connection.
		SecureConn func(ctx context.Context, conn net.Conn) (net.Conn, error)

		source net.Addr

		mu     sync.Mutex
		closed bool
		// doubted is when a connection was last found silent.
		doubted time.Time
		// idle holds the connections to each node, the one used last at the
		// end.
		idle map[string][]*idleConn
	}

	// DialError says that no connection to a node came about, so that
	// nothing was sent.
	DialError struct {
		// Address is the node's address.
		Address string
		// Cause is the error of the dial.
		Cause error
	}

	// Link is a connection in use.
	Connection struct {
		messenger.DRPCNodeClient

		address string
		conn    *drpcconn.Conn
		owner   *Connector
	}

	idleConn struct {
		conn    *drpcconn.Conn
		used    time.Time
		checked time.Time
	}
)

// New returns a Connector whose connections leave from the IP number of an
// address, an IP number with a port; from any when it is unspecified or
// 127.0.0.1, which the system takes by itself without setting a port aside.
func New(address string) *Connector {
	c := &Connector{idle: map[string][]*idleConn{}}
	local, err := netip.ParseAddrPort(address)
	if err == nil && !local.Addr().IsUnspecified() && local.Addr() != netip.AddrFrom4([4]byte{127, 0, 0, 1}) {
		c.source = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local.Addr(), 0))
	}
	return c
}

// Call makes one call to the node at address within timeout.
func Call[T any](ctx context.Context, c *Connector, address string, timeout time.Duration, f func(context.Context, messenger.DRPCNodeClient) (T, error)) (result T, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	link, err := c.Connect(ctx, address)
	if err != nil {
		return result, err
	}
	result, err = f(ctx, link)
	if ctx.Err() != nil {
		link.ReleaseAfterPing()
		return result, err
	}
	link.Release(true)
	return result, err
}

// Close closes the idle connections; those in use close on release.
func (c *Connector) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conns := range c.idle {
		for _, i := range conns {
			_ = i.conn.Close()
		}
	}
	c.idle = map[string][]*idleConn{}
}

// Link returns a connection to the node at address. The error is a
// *DialError.
func (c *Connector) Connect(ctx context.Context, address string) (*Connection, error) {
	conn := c.take(address)
	if conn == nil {
		dialed, err := c.dialOn(ctx, address)
		if err != nil {
			return nil, &DialError{Address: address, Cause: err}
		}
		conn = dialed
	}
	return &Connection{
		DRPCNodeClient: messenger.NewDRPCNodeClient(conn),
		address:        address,
		conn:           conn,
		owner:          c,
	}, nil
}

// Run pings idle connections until ctx ends.
func (c *Connector) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			c.check(ctx, now)
		}
	}
}

// Error names the address and the cause.
func (e *DialError) Error() string {
	return "connect to node " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error {
	return e.Cause
}

// Doubt says that the connection went silent. What silenced it may have lost
// track of others too, so those that are idle now are used again only after a
// ping.
func (l *Connection) ReportSilent() {
	l.owner.mu.Lock()
	defer l.owner.mu.Unlock()
	l.owner.doubted = time.Now()
}

// Recheck gives the connection back once it answers a ping. It serves for calls
// that ended before the other node had said anything.
func (l *Connection) ReleaseAfterPing() {
	i := &idleConn{conn: l.conn, used: time.Now()}
	go l.owner.ping(context.Background(), l.address, i)
}

// Release gives the connection back, or closes it when it is not healthy. One
// whose call was canceled is healthy: it serves again once the cancellation has
// been sent.
func (l *Connection) Release(healthy bool) {
	if !healthy {
		_ = l.conn.Close()
		return
	}
	l.owner.put(l.address, l.conn)
}

// check pings the connections that were idle for an interval and closes those
// that were idle for too long.
func (c *Connector) check(ctx context.Context, now time.Time) {
	for address, conns := range c.due(now) {
		for _, i := range conns {
			go c.ping(ctx, address, i)
		}
	}
}

func (c *Connector) due(now time.Time) map[string][]*idleConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	due := map[string][]*idleConn{}
	for address, conns := range c.idle {
		kept := conns[:0]
		surplus := len(conns) - spareIdle
		for n, i := range conns {
			switch {
			case now.Sub(i.used) > idleLimit, n < surplus && now.Sub(i.used) > surplusLimit:
				_ = i.conn.Close()
			case now.Sub(i.checked) >= checkInterval, i.checked.Before(c.doubted):
				due[address] = append(due[address], i)
			default:
				kept = append(kept, i)
			}
		}
		if len(kept) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = kept
	}
	return due
}

func (c *Connector) ping(ctx context.Context, address string, i *idleConn) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err := messenger.NewDRPCNodeClient(i.conn).Ping(ctx, &messenger.PingRequest{})
	if err != nil {
		_ = i.conn.Close()
		c.forget(address)
		return
	}
	i.checked = time.Now()
	c.add(address, i)
}

func (c *Connector) forget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range c.idle[address] {
		_ = i.conn.Close()
	}
	delete(c.idle, address)
}

func (c *Connector) put(address string, conn *drpcconn.Conn) {
	now := time.Now()
	c.add(address, &idleConn{conn: conn, used: now, checked: now})
}

func (c *Connector) add(address string, i *idleConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle[address]) >= maxIdle || isClosed(i.conn.Closed()) {
		_ = i.conn.Close()
		return
	}
	conns := c.idle[address]
	at, _ := slices.BinarySearchFunc(conns, i.used, func(other *idleConn, used time.Time) int {
		return other.used.Compare(used)
	})
	c.idle[address] = slices.Insert(conns, at, i)
}

// take returns the idle connection that was used last, is not in doubt and has
// sent the cancellation of its last call; nil without one.
func (c *Connector) take(address string) *drpcconn.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[address]
	for i := len(conns) - 1; i >= 0; i-- {
		conn := conns[i].conn
		closed := isClosed(conn.Closed())
		if !closed && (conns[i].checked.Before(c.doubted) || !isClosed(conn.Unblocked())) {
			continue
		}
		conns = slices.Delete(conns, i, i+1)
		c.idle[address] = conns
		if !closed {
			return conn
		}
	}
	return nil
}

// dialOn dials and gives up when ctx ends. The connection is set up all the same and
// kept for the next caller: else callers whose patience is shorter than that takes
// would never get one.
func (c *Connector) dialOn(ctx context.Context, address string) (*drpcconn.Conn, error) {
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
				c.put(address, conn)
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
	dialer := &net.Dialer{Timeout: dialTimeout, LocalAddr: c.source}
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

// secure makes conn a TLS connection, so that the failure of that is known
// before a request is sent.
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
