package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// attempts counts the requests of all clients, for their ids.
var attempts atomic.Int64

type (
	// clientRequest is one request of a client.
	clientRequest struct {
		method, host, path, key string
		deadline                time.Duration
		body                    []byte
	}

	// clientAnswer is what a client gets. Without an answer, status is 0.
	clientAnswer struct {
		id     string
		sentAt time.Duration
		status int
		seal   string
		bytes  int
		// err is what ended the request without a complete answer.
		err error
	}

	// clientConn is a connection of a client to a node.
	clientConn struct {
		conn   net.Conn
		reader *bufio.Reader
	}
)

// newAttemptID returns an id that no other request has.
func newAttemptID() string {
	return fmt.Sprintf("%016x", attempts.Add(1))
}

// dialNode opens a connection to a node.
func dialNode(address string) (c *clientConn, err error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// close closes the connection.
func (c *clientConn) close() {
	c.conn.Close()
}

// roundTrip sends a request and reads its answer. keep reports whether the connection may be
// used again.
func (c *clientConn) roundTrip(rec *recorder, r *clientRequest) (a clientAnswer, keep bool) {
	a.id, a.sentAt = newAttemptID(), rec.since()
	_ = c.conn.SetDeadline(time.Now().Add(r.deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", r.method, r.path, r.host, headerAttempt, a.id, headerDeadline, r.deadline.Milliseconds())
	if r.key != "" {
		head += "Authorization: Bearer " + r.key + "\r\n"
	}
	if r.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	if _, a.err = c.conn.Write(append([]byte(head+"\r\n"), r.body...)); a.err != nil {
		return a, false
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		a.err = err
		return a, false
	}
	defer response.Body.Close()
	read, err := io.Copy(io.Discard, response.Body)
	a.bytes, a.err = int(read), err
	a.status, a.seal = response.StatusCode, response.Header.Get(headerSeal)
	return a, err == nil && !response.Close
}

// sendOnce sends a request on a new connection.
func sendOnce(rec *recorder, address string, r *clientRequest) clientAnswer {
	c, err := dialNode(address)
	if err != nil {
		return clientAnswer{sentAt: rec.since(), err: err}
	}
	defer c.close()
	a, _ := c.roundTrip(rec, r)
	return a
}

// sendSteadily sends requests to a node at a rate, on connections that are used for one request
// each, until ctx ends. It does not wait for answers before it sends the next request.
func sendSteadily(ctx context.Context, rec *recorder, address string, perSecond float64, r *clientRequest, onAnswer func(clientAnswer)) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			go func() { onAnswer(sendOnce(rec, address, r)) }()
		}
	}
}
