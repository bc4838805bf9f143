package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/flamingotack/flamingotack/review/recorder"
)

// Kept sends requests one after the other over a connection that it keeps open. It opens a
// new one after a failure and never sends an attempt twice. It is not safe for concurrent
// use. Create it with NewKept.
type Kept struct {
	address  string
	recorder *recorder.Recorder
	socket   net.Conn
	reader   *bufio.Reader
	// answered says that the present connection has carried an answer.
	answered bool
}

// NewKept returns a client of the node at an address, which is not connected yet.
func NewKept(address string, r *recorder.Recorder) *Kept {
	return &Kept{address: address, recorder: r}
}

// Close closes the connection.
func (k *Kept) Close() {
	if k.socket != nil {
		k.socket.Close()
		k.socket = nil
	}
}

// Send sends a request and returns its answer. kept reports whether it went over a
// connection that had carried an answer before.
func (k *Kept) Send(r Request) (a Answer, kept bool) {
	a.ID = nextAttempt()
	if k.socket == nil {
		k.socket, a.Err = net.DialTimeout("tcp4", k.address, time.Second)
		if a.Err != nil {
			return a, false
		}
		k.reader, k.answered = bufio.NewReader(k.socket), false
	}
	kept = k.answered
	a.SentAt = time.Now()
	k.recorder.Printf("sent %s to %s on a connection kept=%t: %s %s, body of %d bytes", a.ID, k.address, kept, r.Method, r.Path, len(r.Body))
	a.Status, a.Body, a.Err = k.exchange(&r, a.ID)
	if a.Err != nil {
		k.recorder.Printf("no answer to %s: %v", a.ID, a.Err)
		k.Close()
		return a, kept
	}
	k.recorder.Printf("answered %s: status %d %.60q", a.ID, a.Status, a.Body)
	return a, kept
}

// exchange writes a request and reads its answer.
func (k *Kept) exchange(r *Request, id string) (status int, body string, err error) {
	_ = k.socket.SetDeadline(time.Now().Add(r.Deadline + 500*time.Millisecond))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Flamingotack-Attempt-Id: %s\r\nX-Flamingotack-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
		r.Method, r.Path, r.Host, id, r.Deadline.Milliseconds(), r.Key, len(r.Body))
	if _, err := k.socket.Write(append([]byte(head), r.Body...)); err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(k.reader, &http.Request{Method: r.Method})
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", err
	}
	k.answered = true
	if response.Close {
		k.Close()
	}
	return response.StatusCode, string(data), nil
}
