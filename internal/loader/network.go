package loader

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	chunkBytes       = 16 << 10
	chunkQueueLength = 64
)

type (
	// chunk is data in transit.
	chunk struct {
		dueAt time.Time
		data  []byte
		err   error
	}

	// delayedConn is a connection with a delay in both directions, which can
	// become silent permanently. It ignores read and write deadlines.
	delayedConn struct {
		net.Conn
		delay     time.Duration
		silent    atomic.Bool
		closeOnce sync.Once
		closed    chan struct{}
		received  chan chunk
		outgoing  chan chunk
		unread    []byte
	}

	// network delays the connections between nodes in different failure
	// domains.
	network struct {
		domainDelay time.Duration

		mu              sync.Mutex
		domainByAddress map[string]string
		// openConns maps the open connections to the addresses that they were
		// dialed to.
		openConns map[*delayedConn]string
	}
)

func newNetwork(delay time.Duration) *network {
	return &network{domainDelay: delay, domainByAddress: map[string]string{}, openConns: map[*delayedConn]string{}}
}

// setDomain sets the failure domain of an address.
func (n *network) setDomain(address, domain string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.domainByAddress[address] = domain
}

// silenceConnections makes the open connections to an address silent
// permanently.
func (n *network) silenceConnections(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for d, to := range n.openConns {
		if to == address {
			d.silent.Store(true)
		}
	}
}

// wrapper returns a function that wraps the connections dialed by a node of a
// failure domain.
func (n *network) wrapper(domain string) func(address string, conn net.Conn) net.Conn {
	return func(address string, conn net.Conn) net.Conn {
		n.mu.Lock()
		defer n.mu.Unlock()
		d := &delayedConn{Conn: conn, closed: make(chan struct{})}
		if to, known := n.domainByAddress[address]; known && to != domain && n.domainDelay > 0 {
			d.delay = n.domainDelay
			d.received, d.outgoing = make(chan chunk, chunkQueueLength), make(chan chunk, chunkQueueLength)
			go d.receive()
			go d.transmit()
		}
		n.openConns[d] = address
		go func() {
			<-d.closed
			n.mu.Lock()
			defer n.mu.Unlock()
			delete(n.openConns, d)
		}()
		return d
	}
}

// Close closes the connection.
func (d *delayedConn) Close() error {
	d.closeOnce.Do(func() { close(d.closed) })
	return d.Conn.Close()
}

// Read reads data that has arrived.
func (d *delayedConn) Read(p []byte) (n int, err error) {
	if d.delay == 0 {
		return d.readDirect(p)
	}
	if len(d.unread) == 0 {
		c, open := d.nextChunk()
		if !open {
			return 0, net.ErrClosed
		}
		if c.err != nil {
			return 0, c.err
		}
		d.unread = c.data
	}
	n = copy(p, d.unread)
	d.unread = d.unread[n:]
	return n, nil
}

// Write sends data after the delay.
func (d *delayedConn) Write(p []byte) (n int, err error) {
	if d.silent.Load() {
		return len(p), nil
	}
	if d.delay == 0 {
		return d.Conn.Write(p)
	}
	c := chunk{dueAt: time.Now().Add(d.delay), data: append([]byte(nil), p...)}
	select {
	case d.outgoing <- c:
		return len(p), nil
	case <-d.closed:
		return 0, net.ErrClosed
	}
}

// nextChunk waits for the next chunk that is not lost. open is false if the
// connection is closed.
func (d *delayedConn) nextChunk() (c chunk, open bool) {
	for {
		select {
		case c = <-d.received:
		case <-d.closed:
			return chunk{}, false
		}
		time.Sleep(time.Until(c.dueAt))
		if !d.silent.Load() {
			return c, true
		}
	}
}

func (d *delayedConn) readDirect(p []byte) (n int, err error) {
	for {
		n, err = d.Conn.Read(p)
		if !d.silent.Load() {
			return n, err
		}
		if err != nil {
			<-d.closed
			return 0, net.ErrClosed
		}
	}
}

func (d *delayedConn) receive() {
	for {
		data := make([]byte, chunkBytes)
		n, err := d.Conn.Read(data)
		c := chunk{dueAt: time.Now().Add(d.delay), data: data[:n]}
		if n == 0 {
			c.err = err
		}
		select {
		case d.received <- c:
		case <-d.closed:
			return
		}
		if err != nil && n == 0 {
			return
		}
	}
}

func (d *delayedConn) transmit() {
	for {
		select {
		case c := <-d.outgoing:
			time.Sleep(time.Until(c.dueAt))
			if _, err := d.Conn.Write(c.data); err != nil {
				return
			}
		case <-d.closed:
			return
		}
	}
}
