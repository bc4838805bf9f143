package decoder

import (
	"net"
	"sync"
)

type (
	// recordingConn is a connection that keeps what arrives while a head is expected. Its methods
	// are safe for concurrent use.
	recordingConn struct {
		net.Conn
		// mu guards current and what it holds.
		mu sync.Mutex
		// current keeps what arrives; nil if nothing does.
		current *recording
	}

	// recording is what arrives for one request. net/http may hand the connection on to the next
	// request before the response to this one, which has no body, is returned.
	recording struct {
		bytes []byte
	}
)

// Read reads as net.Conn does.
func (c *recordingConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil {
		c.current.bytes = append(c.current.bytes, p[:n]...)
	}
	return n, err
}

// startRecording is called before a request is written. A recording for an earlier request ends.
func (c *recordingConn) startRecording() (r *recording) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = &recording{}
	return c.current
}

// stopRecording ends a recording, if it has not ended, and returns what has arrived in it.
func (c *recordingConn) stopRecording(r *recording) (recorded []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == r {
		c.current = nil
	}
	return r.bytes
}
