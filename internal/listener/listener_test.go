package listener

import (
	"errors"
	"net"
	"testing"
)

func TestCloseKeepsQueuedConnections(t *testing.T) {
	const count = 5
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var callers []net.Conn
	for range count {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		callers = append(callers, conn)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	for i := range count {
		conn, err := l.Accept()
		if err != nil {
			t.Fatalf("connection %d: got error %v, want it accepted", i, err)
		}
		defer conn.Close()
		if _, err := conn.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	for i, conn := range callers {
		got := make([]byte, 1)
		if _, err := conn.Read(got); err != nil || got[0] != 'x' {
			t.Errorf("caller %d: got %q, error %v, want x", i, got, err)
		}
	}
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("after the last connection: got error %v, want %v", err, net.ErrClosed)
	}
}
