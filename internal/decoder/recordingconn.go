package decoder

import (
	"net"
	"sync"
)

// recordingConn is a connection that keeps what arrives while a head is expected. Its methods
// are safe for concurrent use.
type recordingConn struct {
	net.Conn
	// mu guards the other fields.
	mu sync.Mutex
	// recorded is what has arrived since startRecording. It is nil unless recording is set.
	recorded  []byte
	recording bool
}

// Read reads as net.Conn does.
func (c *recordingConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.recording {
		c.recorded = append(c.recorded, p[:n]...)
	}
	return n, err
}

// startRecording is called before a request is written.
func (c *recordingConn) startRecording() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recorded, c.recording = nil, true
}

// stopRecording returns what has arrived since startRecording.
func (c *recordingConn) stopRecording() (recorded []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	recorded = c.recorded
	c.recorded, c.recording = nil, false
	return recorded
}
