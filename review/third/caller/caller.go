// Package caller is a stand-in for a client: it sends requests over its own connections and
// reads the answers byte by byte as they come.
package caller

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

type (
	// Request is one attempt of a client.
	Request struct {
		// Method, Target and Host are those of the request.
		Method, Target, Host string
		// Attempt is the id of the attempt, Key the key of the tenant; empty for none.
		Attempt, Key string
		// Deadline is how long the client waits.
		Deadline time.Duration
		// Body is the body. With Chunked it is sent in chunks of a few kilobytes.
		Body    []byte
		Chunked bool
		// Header holds further fields.
		Header map[string]string
	}

	// Answer is what a client got.
	Answer struct {
		// Status is the status; 0 without an answer.
		Status int
		// Header holds the fields of the answer.
		Header http.Header
		// Body is what arrived of the body.
		Body []byte
		// Complete says that the whole answer arrived, Close that the connection ends with it.
		Complete, Close bool
		// Err is why no or no complete answer arrived.
		Err error
	}

	// Conn is a connection to a node.
	Conn struct {
		net.Conn

		reader *bufio.Reader
	}
)

// Dial opens a connection within a second.
func Dial(address string) (c *Conn, err error) {
	socket, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: socket, reader: bufio.NewReader(socket)}, nil
}

// Encode returns the bytes of a request.
func (r *Request) Encode() []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Flamingotack-Attempt-Id: %s\r\nX-Flamingotack-Deadline-Ms: %d\r\n", r.Method, r.Target, r.Host, r.Attempt, r.Deadline.Milliseconds())
	if r.Key != "" {
		fmt.Fprintf(&out, "Authorization: Bearer %s\r\n", r.Key)
	}
	for name, value := range r.Header {
		fmt.Fprintf(&out, "%s: %s\r\n", name, value)
	}
	switch {
	case r.Chunked:
		out.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for rest := r.Body; len(rest) > 0; {
			n := min(len(rest), 4<<10)
			fmt.Fprintf(&out, "%x\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		out.WriteString("0\r\n\r\n")
	case len(r.Body) > 0 || r.Method != http.MethodGet:
		fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n%s", len(r.Body), r.Body)
	default:
		out.WriteString("\r\n")
	}
	return out.Bytes()
}

// Read reads the next answer, until the deadline.
func (c *Conn) ReadAnswer(method string, deadline time.Time) (a Answer) {
	_ = c.SetReadDeadline(deadline)
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	a.Status, a.Header, a.Close = response.StatusCode, response.Header, response.Close
	a.Body, a.Err = io.ReadAll(response.Body)
	a.Complete = a.Err == nil
	return a
}

// Do sends a request over a new connection and returns the answer.
func Do(address string, r *Request) (a Answer) {
	c, err := Dial(address)
	if err != nil {
		return Answer{Err: err}
	}
	defer c.Close()
	deadline := time.Now().Add(r.Deadline + time.Second)
	_ = c.SetWriteDeadline(deadline)
	if _, err := c.Write(r.Encode()); err != nil {
		// The node may have answered before it read the body.
		if a := c.ReadAnswer(r.Method, time.Now().Add(time.Second)); a.Status != 0 {
			return a
		}
		return Answer{Err: err}
	}
	return c.ReadAnswer(r.Method, deadline)
}
