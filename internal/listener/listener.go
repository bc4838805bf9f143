// Package listener closes listening sockets without losing the connections
// that wait to be accepted.
package listener

import (
	"net"
	"os"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Retiring is a TCP listener that hands out the connections that wait in the
// system's queue before it closes. An ordinary close resets them, and their
// callers can't know whether a request ran. It is safe for concurrent use.
type DrainingListener struct {
	*net.TCPListener

	once    sync.Once
	err     error
	waiting chan net.Conn
}

// Listen returns a *Retiring at an address, an IP number with a port.
func Listen(address string) (l net.Listener, err error) {
	defer func() { err = errors.Wrapf(err, "listen at %s", address) }()
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return Wrap(inner.(*net.TCPListener)), nil
}

// Wrap returns a *Retiring that takes the listener over.
func Wrap(inner *net.TCPListener) *DrainingListener {
	return &DrainingListener{TCPListener: inner, waiting: make(chan net.Conn)}
}

// Accept returns the next connection; after Close, those that waited.
func (l *DrainingListener) Accept() (conn net.Conn, err error) {
	conn, err = l.TCPListener.Accept()
	if !errors.Is(err, net.ErrClosed) {
		return conn, err
	}
	if waiting, found := <-l.waiting; found {
		return waiting, nil
	}
	return nil, err
}

// Close ends Accept's wait, takes the waiting connections over and closes the
// socket at once, so that hardly any can come between.
func (l *DrainingListener) Close() error {
	l.once.Do(func() {
		// The copy keeps the socket open while Accept lets go of it, which
		// takes as long as its goroutine needs to be scheduled.
		copied, err := l.copySocket()
		l.err = errors.CombineErrors(l.TCPListener.Close(), err)
		if err != nil {
			close(l.waiting)
			return
		}
		descriptors := acceptAll(copied)
		l.err = errors.CombineErrors(l.err, unix.Close(copied))
		go l.handOut(descriptors)
	})
	return l.err
}

func (l *DrainingListener) copySocket() (copied int, err error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return 0, err
	}
	var copyError error
	err = raw.Control(func(fd uintptr) {
		copied, copyError = unix.FcntlInt(fd, unix.F_DUPFD_CLOEXEC, 0)
	})
	return copied, errors.CombineErrors(err, copyError)
}

// handOut passes the connections to Accept, which then reports the end.
func (l *DrainingListener) handOut(descriptors []int) {
	defer close(l.waiting)
	for _, d := range descriptors {
		file := os.NewFile(uintptr(d), "connection")
		conn, err := net.FileConn(file)
		_ = file.Close()
		if err == nil {
			l.waiting <- conn
		}
	}
}

// acceptAll takes every connection out of a socket's queue.
func acceptAll(fd int) (descriptors []int) {
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
