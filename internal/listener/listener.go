// Package listener closes listening sockets without losing the connections in
// the accept queue.
package listener

import (
	"net"
	"os"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// DrainingListener is a TCP listener that delivers the connections in the
// system's accept queue when it closes. An ordinary close resets them, and their
// callers can't know whether a request ran. It is safe for concurrent use.
type DrainingListener struct {
	*net.TCPListener

	closeOnce sync.Once
	closeErr  error
	queued    chan net.Conn
}

// Listen returns a *DrainingListener at an IP address with a port.
func Listen(address string) (l net.Listener, err error) {
	defer func() { err = errors.Wrapf(err, "listen at %s", address) }()
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return Wrap(inner.(*net.TCPListener)), nil
}

// Wrap returns a *DrainingListener that takes ownership of the listener.
func Wrap(inner *net.TCPListener) *DrainingListener {
	return &DrainingListener{TCPListener: inner, queued: make(chan net.Conn)}
}

// Accept returns the next connection. After Close it returns the connections
// that were in the accept queue, and then net.ErrClosed.
func (l *DrainingListener) Accept() (conn net.Conn, err error) {
	conn, err = l.TCPListener.Accept()
	if !errors.Is(err, net.ErrClosed) {
		return conn, err
	}
	if queued, found := <-l.queued; found {
		return queued, nil
	}
	return nil, err
}

// Close unblocks Accept, accepts the queued connections and closes the socket at
// once, so that hardly any connection arrives in between.
func (l *DrainingListener) Close() error {
	l.closeOnce.Do(func() {
		// The duplicate keeps the socket open until Accept has released its
		// descriptor, which takes as long as its goroutine needs to be scheduled.
		duplicate, err := l.duplicateSocket()
		l.closeErr = errors.CombineErrors(l.TCPListener.Close(), err)
		if err != nil {
			close(l.queued)
			return
		}
		descriptors := acceptQueued(duplicate)
		l.closeErr = errors.CombineErrors(l.closeErr, unix.Close(duplicate))
		go l.deliver(descriptors)
	})
	return l.closeErr
}

func (l *DrainingListener) duplicateSocket() (duplicate int, err error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return 0, err
	}
	var controlErr error
	err = raw.Control(func(fd uintptr) {
		duplicate, controlErr = unix.FcntlInt(fd, unix.F_DUPFD_CLOEXEC, 0)
	})
	return duplicate, errors.CombineErrors(err, controlErr)
}

// deliver passes the connections to Accept and then closes the channel, so that
// Accept returns net.ErrClosed.
func (l *DrainingListener) deliver(descriptors []int) {
	defer close(l.queued)
	for _, d := range descriptors {
		file := os.NewFile(uintptr(d), "connection")
		conn, err := net.FileConn(file)
		_ = file.Close()
		if err == nil {
			l.queued <- conn
		}
	}
}

// acceptQueued accepts every connection in a socket's queue.
func acceptQueued(fd int) (descriptors []int) {
	for {
		d, _, err := unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if errors.Is(err, unix.EINTR) || errors.Is(err, unix.ECONNABORTED) {
			continue
		}
		if err != nil {
			return descriptors
		}
		descriptors = append(descriptors, d)
	}
}
