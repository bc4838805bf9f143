package decoder

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/dialer"
)

type (
	// DialFunc opens a TCP connection.
	DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

	// Transport is an http.RoundTripper for HTTP/1.1 and HTTP/1.0 that returns only responses
	// whose head ReadHead accepts. net/http joins folded lines and drops a second length before
	// anybody can see them. No reset passes for the end of a response. Create it with
	// NewTransport. It is safe for concurrent use.
	Transport struct {
		// base opens only connections that are a *recordingConn.
		base *http.Transport
	}

	// exchange is a request on a connection.
	exchange struct {
		conn *recordingConn
		// head begins with the head of the response.
		head *recording
	}
)

// NewTransport returns a Transport that takes ownership of base and opens its connections with
// dial. base must not use a proxy. Its limit of the bytes of a head bounds what is kept for the
// check.
func NewTransport(base *http.Transport, dial DialFunc) *Transport {
	dialTCP := func(ctx context.Context, network, address string) (conn net.Conn, err error) {
		if conn, err = dial(ctx, network, address); err != nil {
			return nil, err
		}
		return dialer.WrapConn(conn), nil
	}
	base.DialContext = recordDialed(dialTCP)
	base.DialTLSContext = recordDialed(func(ctx context.Context, network, address string) (net.Conn, error) {
		return dialTLS(ctx, dialTCP, base.TLSClientConfig, network, address)
	})
	return &Transport{base: base}
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() {
	t.base.CloseIdleConnections()
}

// RoundTrip sends a request and returns the response. The error is an *InvalidResponseError if
// the server sent bytes that are none and net/http takes for one; the connection is closed then.
func (t *Transport) RoundTrip(request *http.Request) (response *http.Response, err error) {
	var last atomic.Pointer[exchange]
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		c := i.Conn.(*recordingConn)
		last.Store(&exchange{conn: c, head: c.startRecording()})
	}}
	response, err = t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	x := last.Load()
	if err := checkHead(x.conn.stopRecording(x.head), request.Method); err != nil {
		x.conn.Close()
		response.Body.Close()
		return nil, err
	}
	return response, nil
}

// checkHead returns an *InvalidResponseError if recorded, which begins with the head of a
// response to a request with that method, does not begin with a valid one.
func checkHead(recorded []byte, method string) error {
	var invalid *InvalidResponseError
	h, err := ReadHead(bufio.NewReader(bytes.NewReader(recorded)))
	switch {
	case errors.As(err, &invalid):
		return err
	case err != nil:
		return &InvalidResponseError{Detail: "head without an end"}
	case method == http.MethodHead:
		return nil
	}
	return h.CheckBody()
}

// recordDialed returns a function that opens connections with dial, each a *recordingConn.
func recordDialed(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (conn net.Conn, err error) {
		if conn, err = dial(ctx, network, address); err != nil {
			return nil, err
		}
		return &recordingConn{Conn: conn}, nil
	}
}

// dialTLS opens a TLS connection over one that dial opens.
func dialTLS(ctx context.Context, dial DialFunc, config *tls.Config, network, address string) (conn net.Conn, err error) {
	defer func() { err = errors.Wrapf(err, "open TLS connection to %s", address) }()
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	if config = config.Clone(); config == nil {
		config = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	if config.ServerName == "" {
		config.ServerName = host
	}
	if conn, err = dial(ctx, network, address); err != nil {
		return nil, err
	}
	secure := tls.Client(conn, config)
	if err := secure.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return secure, nil
}
