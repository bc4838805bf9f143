package invoker

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxSkipped bounds the answers to former requests that come before the
	// right one.
	maxSkipped = 4
	// inlineBytes is the size up to which a body is written before the answer
	// is read.
	inlineBytes = 2 << 10
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 64 << 20
	readBytes      = 4 << 10
)

var (
	errTooLarge = errors.New("answer is too large")
	errUnnamed  = errors.New("answer names another request")
)

// conn is one connection to the backend server.
type conn struct {
	socket net.Conn
	reader *bufio.Reader
	// used is when the last answer ended, and limit how long after that the
	// connection may be used again.
	used  time.Time
	limit time.Duration
	// spent is set when the connection must not be used again.
	spent bool
}

func newConn(socket net.Conn) *conn {
	return &conn{socket: socket, reader: bufio.NewReaderSize(socket, readBytes), limit: idleLimit}
}

// clean reports whether the connection is open and has nothing to read: bytes
// that come between two answers belong to no request.
func (c *conn) clean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.socket.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		clean = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && clean
}

// exchange sends the request and reads its answer.
func (c *conn) exchange(r *Request, idField string) (a *Answer, err error) {
	head := appendRequest(make([]byte, 0, 512+len(r.Body)), r)
	written := make(chan error, 1)
	if len(r.Body) <= inlineBytes {
		_, err := c.socket.Write(append(head, r.Body...))
		written <- err
	} else {
		go func() {
			_, err := c.socket.Write(append(head, r.Body...))
			written <- err
		}()
	}
	a, err = c.readAnswer(r, idField)
	if err != nil {
		return nil, err
	}
	select {
	case err := <-written:
		c.spent = c.spent || err != nil
	default:
		// The server answered early. The rest of the body would have to
		// follow on this connection.
		c.spent = true
	}
	return a, nil
}

// readAnswer reads answers until the one to this request.
func (c *conn) readAnswer(r *Request, idField string) (a *Answer, err error) {
	for range maxSkipped {
		a, err = c.readOne(r.Method)
		if err != nil {
			return nil, err
		}
		named := a.Header.Get(idField)
		if r.ID == "" || named == r.ID {
			c.spent = c.spent || c.reader.Buffered() > 0
			return a, nil
		}
		if named == "" && a.Status >= http.StatusBadRequest {
			c.spent = true
			return a, nil
		}
		c.spent = true
	}
	return nil, errUnnamed
}

func (c *conn) readOne(method string) (a *Answer, err error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		return c.readBody(response)
	}
}

func (c *conn) readBody(response *http.Response) (a *Answer, err error) {
	defer response.Body.Close()
	a = &Answer{Status: response.StatusCode, Header: response.Header}
	switch {
	case response.ContentLength > maxAnswerBytes:
		return nil, errTooLarge
	case response.ContentLength >= 0:
		a.Body = make([]byte, response.ContentLength)
		_, err = io.ReadFull(response.Body, a.Body)
	default:
		a.Body, err = io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
		if len(a.Body) > maxAnswerBytes {
			err = errTooLarge
		}
	}
	if err != nil {
		return nil, err
	}
	c.spent = c.spent || response.Close
	c.limit = idleLimit
	if seconds := keepAlive(response.Header); seconds > 0 {
		c.limit = time.Duration(idlePart * float64(seconds) * float64(time.Second))
	}
	return a, nil
}

// keepAlive returns for how many seconds the server keeps an idle connection; 0
// when it does not say.
func keepAlive(h http.Header) (seconds int) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout="); found {
			seconds, _ = strconv.Atoi(text)
		}
	}
	return seconds
}

func appendRequest(out []byte, r *Request) []byte {
	out = append(out, r.Method...)
	out = append(out, ' ')
	out = append(out, r.Target...)
	out = append(out, " HTTP/1.1\r\nHost: "...)
	out = append(out, r.Host...)
	out = append(out, "\r\n"...)
	for name, values := range r.Header {
		if replaced(r.Extra, name) {
			continue
		}
		for _, v := range values {
			out = appendField(out, name, v)
		}
	}
	for _, f := range r.Extra {
		if f.Value != "" {
			out = appendField(out, f.Name, f.Value)
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, int64(len(r.Body)), 10)
		out = append(out, "\r\n"...)
	}
	return append(out, "\r\n"...)
}

func appendField(out []byte, name, value string) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = append(out, value...)
	return append(out, "\r\n"...)
}

func replaced(fields []Field, name string) bool {
	for i := range fields {
		if fields[i].Name == name {
			return true
		}
	}
	return false
}
