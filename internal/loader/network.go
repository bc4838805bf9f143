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
		openConns       map[*delayedConn]string
	}
)

func newNetwork(delay time.Duration) *network {
	return &network{domainDelay: delay, domainByAddress: map[string]string{}, openConns: map[*delayedConn]string{}}
}

// setDomain sets the failure domain of an address.
func (k *network) setDomain(address, domain string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.domainByAddress[address] = domain
}

// silenceConnections makes the open connections to an address silent
// permanently.
func (k *network) silenceConnections(address string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for l, to := range k.openConns {
		if to == address {
			l.silent.Store(true)
		}
	}
}

// wrapper returns a function that wraps the connections dialed by a node of a
// failure domain.
func (k *network) wrapper(domain string) func(address string, conn net.Conn) net.Conn {
	return func(address string, conn net.Conn) net.Conn {
		k.mu.Lock()
		defer k.mu.Unlock()
		l := &delayedConn{Conn: conn, closed: make(chan struct{})}
		if to, known := k.domainByAddress[address]; known && to != domain && k.domainDelay > 0 {
			l.delay = k.domainDelay
			l.received, l.outgoing = make(chan chunk, chunkQueueLength), make(chan chunk, chunkQueueLength)
			go l.receive()
			go l.transmit()
		}
		k.openConns[l] = address
		go func() {
			<-l.closed
			k.mu.Lock()
			defer k.mu.Unlock()
			delete(k.openConns, l)
		}()
		return l
	}
}

// Close closes the connection.
func (l *delayedConn) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Conn.Close()
}

// Read reads data that has arrived.
func (l *delayedConn) Read(p []byte) (n int, err error) {
	if l.delay == 0 {
		return l.readDirect(p)
	}
	if len(l.unread) == 0 {
		c, open := l.nextChunk()
		if !open {
			return 0, net.ErrClosed
		}
		if c.err != nil {
			return 0, c.err
		}
		l.unread = c.data
	}
	n = copy(p, l.unread)
	l.unread = l.unread[n:]
	return n, nil
}

// Write sends data after the delay.
func (l *delayedConn) Write(p []byte) (n int, err error) {
	if l.silent.Load() {
		return len(p), nil
	}
	if l.delay == 0 {
		return l.Conn.Write(p)
	}
	c := chunk{dueAt: time.Now().Add(l.delay), data: append([]byte(nil), p...)}
	select {
	case l.outgoing <- c:
		return len(p), nil
	case <-l.closed:
		return 0, net.ErrClosed
	}
}

// nextChunk waits for the next chunk that is not lost. open is false if the
// connection is closed.
func (l *delayedConn) nextChunk() (c chunk, open bool) {
	for {
		select {
		case c = <-l.received:
		case <-l.closed:
			return chunk{}, false
		}
		time.Sleep(time.Until(c.dueAt))
		if !l.silent.Load() {
			return c, true
		}
	}
}

func (l *delayedConn) readDirect(p []byte) (n int, err error) {
	for {
		n, err = l.Conn.Read(p)
		if !l.silent.Load() {
			return n, err
		}
		if err != nil {
			<-l.closed
			return 0, net.ErrClosed
		}
	}
}

func (l *delayedConn) receive() {
	for {
		data := make([]byte, chunkBytes)
		n, err := l.Conn.Read(data)
		c := chunk{dueAt: time.Now().Add(l.delay), data: data[:n]}
		if n == 0 {
			c.err = err
		}
		select {
		case l.received <- c:
		case <-l.closed:
			return
		}
		if err != nil && n == 0 {
			return
		}
	}
}

func (l *delayedConn) transmit() {
	for {
		select {
		case c := <-l.outgoing:
			time.Sleep(time.Until(c.dueAt))
			if _, err := l.Conn.Write(c.data); err != nil {
				return
			}
		case <-l.closed:
			return
		}
	}
}
