package acceptor

import "net"

// input reads a connection. It fails once more was read than is left.
type input struct {
	socket net.Conn
	// left is the number of bytes that may still be read.
	left int64
}

func newInput(socket net.Conn) *input {
	return &input{socket: socket}
}

// Read reads at most what is left.
func (in *input) Read(p []byte) (n int, err error) {
	if in.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err = in.socket.Read(p)
	in.left -= int64(n)
	return n, err
}
