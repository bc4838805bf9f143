package dialer

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClose is the state of a connection that was reset, as the operating system numbers it.
const tcpClose = 7

// Conn is a TCP connection on which no reset passes for the end of the stream. The system
// tells a reset once only: if a Write gets the error, a concurrent Read gets io.EOF. An end of
// the stream that is followed by a reset at once may count as a reset too.
type Conn struct {
	*net.TCPConn
}

// WrapConn returns a *Conn that takes ownership of a TCP connection, and other connections
// unchanged.
func WrapConn(c net.Conn) net.Conn {
	if tcp, ok := c.(*net.TCPConn); ok {
		return &Conn{TCPConn: tcp}
	}
	return c
}

// Read reads as net.Conn does. The error is ECONNRESET instead of io.EOF if the connection was
// reset.
func (c *Conn) Read(p []byte) (n int, err error) {
	n, err = c.TCPConn.Read(p)
	if errors.Is(err, io.EOF) && !c.endedByPeer() {
		return n, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	}
	return n, err
}

// WriteTo writes what is read to w. It replaces the method of net.TCPConn, which does not call
// Read.
func (c *Conn) WriteTo(w io.Writer) (n int64, err error) {
	return io.Copy(w, struct{ io.Reader }{c})
}

// endedByPeer reports whether the stream has ended without a reset. It is false if the system
// does not tell, such as after a concurrent Close.
func (c *Conn) endedByPeer() (ended bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = err == nil && info.State != tcpClose
	})
	return ended
}
