package acceptor

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// input reads a connection. It fails once more was read than is left.
type input struct {
	// left is the number of bytes that may still be read.
	left int64
	// blocked is called when a read has to wait for the caller.
	blocked func()

	socket net.Conn
	// raw is nil where the connection is no socket of the operating system.
	raw syscall.RawConn
}

func newInput(socket net.Conn) *input {
	in := &input{socket: socket, blocked: func() {}}
	if s, ok := socket.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			in.raw = raw
		}
	}
	return in
}

// Read reads at most what is left.
func (in *input) Read(p []byte) (n int, err error) {
	if in.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err = in.read(p)
	in.left -= int64(n)
	return n, err
}

// read reads once. It waits by itself, as net.Conn does not tell when it has to.
func (in *input) read(p []byte) (n int, err error) {
	if in.raw == nil {
		in.blocked()
		return in.socket.Read(p)
	}
	failed := in.raw.Read(func(fd uintptr) (done bool) {
		for {
			n, err = syscall.Read(int(fd), p)
			if !errors.Is(err, syscall.EINTR) {
				break
			}
		}
		if errors.Is(err, syscall.EAGAIN) {
			in.blocked()
			return false
		}
		return true
	})
	switch {
	case failed != nil:
		return 0, failed
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: err}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}
