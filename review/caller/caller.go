// Package caller stands in for the clients on an instance.
package caller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/flamingotack/flamingotack/review/recorder"
)

type (
	// Caller sends requests to the node of an instance. Create it with New. It is safe for
	// concurrent use.
	Caller struct {
		address  string
		recorder *recorder.Recorder
		client   *http.Client
	}

	// Request is one attempt of a client.
	Request struct {
		// Method, Host and Path are those of the HTTP request.
		Method, Host, Path string
		// Key is the tenant's key.
		Key string
		// Body is the whole body.
		Body []byte
		// Deadline is how long the client waits.
		Deadline time.Duration
	}

	// Answer is what the client sees.
	Answer struct {
		// ID is the attempt.
		ID string
		// Status is the HTTP status; 0 if no whole answer came.
		Status int
		// Body is the body.
		Body string
		// SentAt is when the request was sent.
		SentAt time.Time
		// Err is the reason for which no whole answer came.
		Err error
	}
)

var attempts atomic.Int64

// nextAttempt returns the id of a new attempt.
func nextAttempt() string {
	return fmt.Sprintf("%016x", 0x9c41d07b00000000+uint64(attempts.Add(1)))
}

// New returns a caller of the node at an address, which opens a connection for each request.
func New(address string, r *recorder.Recorder) *Caller {
	transport := &http.Transport{
		DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
	return &Caller{address: address, recorder: r, client: &http.Client{Transport: transport}}
}

// Send sends a request and returns its answer.
func (c *Caller) Send(r Request) (a Answer) {
	a.ID = nextAttempt()
	ctx, cancel := context.WithTimeout(context.Background(), r.Deadline+500*time.Millisecond)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, r.Method, "http://"+c.address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		a.Err = err
		return a
	}
	httpRequest.Host = r.Host
	httpRequest.Header.Set("X-Flamingotack-Attempt-Id", a.ID)
	httpRequest.Header.Set("X-Flamingotack-Deadline-Ms", fmt.Sprint(r.Deadline.Milliseconds()))
	httpRequest.Header.Set("Authorization", "Bearer "+r.Key)
	a.SentAt = time.Now()
	c.recorder.Printf("sent %s to %s: %s %s, body of %d bytes", a.ID, c.address, r.Method, r.Path, len(r.Body))
	a.Status, a.Body, a.Err = c.roundTrip(httpRequest)
	if a.Err != nil {
		c.recorder.Printf("no answer to %s: %v", a.ID, a.Err)
	} else {
		c.recorder.Printf("answered %s: status %d %.60q", a.ID, a.Status, a.Body)
	}
	return a
}

func (c *Caller) roundTrip(r *http.Request) (status int, body string, err error) {
	response, err := c.client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", err
	}
	return response.StatusCode, string(data), nil
}
