package acceptor

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// progressBytes is how much a caller has to send before that is recorded as progress. Single
// bytes are not, so that a caller can't hold memory by sending them.
const progressBytes = 4 << 10

// socketReader reads from a connection. Read fails once remainingBytes is used up.
type socketReader struct {
	// remainingBytes is the number of bytes that may still be read.
	remainingBytes int64
	// onRead is called before each read. It may be nil.
	onRead func()
	// onBlock is called when a read has to wait for data.
	onBlock func()
	// onData is called with the bytes that were read. It may be nil. Its error ends the
	// read and all later ones until resume is called, as a bufio.Reader passes an error
	// on only once, and not at all if part of a line is in its buffer.
	onData    func([]byte) error
	onDataErr error
	// limitErr is the last error that shows a limit of the server and not a disconnect:
	// that of onData, errHeadTooLarge or os.ErrDeadlineExceeded. resume resets it.
	limitErr error
	// onProgress is called after each progressBytes that were read.
	onProgress func()
	// unrecordedBytes counts the bytes that were read since then.
	unrecordedBytes int

	socket net.Conn
	// raw is nil if the connection is not a socket of the operating system.
	raw syscall.RawConn
}

func newSocketReader(socket net.Conn) *socketReader {
	sr := &socketReader{socket: socket, onBlock: func() {}, onProgress: func() {}}
	if s, ok := socket.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			sr.raw = raw
		}
	}
	return sr
}

// Read reads once. It returns errHeadTooLarge if no bytes remain.
func (sr *socketReader) Read(p []byte) (n int, err error) {
	if sr.onRead != nil {
		sr.onRead()
	}
	if sr.onDataErr != nil {
		return 0, sr.onDataErr
	}
	if sr.remainingBytes <= 0 {
		sr.limitErr = errHeadTooLarge
		return 0, errHeadTooLarge
	}
	n, err = sr.read(p)
	sr.remainingBytes -= int64(n)
	if sr.unrecordedBytes += n; sr.unrecordedBytes >= progressBytes {
		sr.unrecordedBytes = 0
		sr.onProgress()
	}
	if n > 0 && sr.onData != nil {
		if sr.onDataErr = sr.onData(p[:n]); sr.onDataErr != nil {
			sr.limitErr = sr.onDataErr
			return 0, sr.onDataErr
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		sr.limitErr = err
	}
	return n, err
}

// resume lets reads go on after an error of onData, and forgets earlier errors.
func (sr *socketReader) resume() {
	sr.onDataErr, sr.limitErr = nil, nil
}

// read reads once. It uses the raw socket because net.Conn does not report when a read
// has to wait.
func (sr *socketReader) read(p []byte) (n int, err error) {
	if sr.raw == nil {
		sr.onBlock()
		return sr.socket.Read(p)
	}
	rawErr := sr.raw.Read(func(fd uintptr) (done bool) {
		for {
			n, err = syscall.Read(int(fd), p)
			if !errors.Is(err, syscall.EINTR) {
				break
			}
		}
		if errors.Is(err, syscall.EAGAIN) {
			sr.onBlock()
			return false
		}
		return true
	})
	switch {
	case rawErr != nil:
		return 0, rawErr
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: err}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}
