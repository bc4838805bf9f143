// Package emulator emulates the platform's log service, backend servers and an
// operator's certificate authority. Faults can be injected while they run.
package emulator

import (
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// RunningServer is an HTTP server that listens.
type RunningServer struct {
	listener net.Listener
	server   *http.Server
}

// Close closes all connections and the listener.
func (r *RunningServer) Close() error {
	return r.server.Close()
}

// Address returns the IP address and port.
func (r *RunningServer) Address() string {
	return r.listener.Addr().String()
}

// URL returns the address as a URL without a trailing slash.
func (r *RunningServer) URL() string {
	return "http://" + r.Address()
}

func startServer(address string, h http.Handler) (running *RunningServer, err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	running = &RunningServer{listener: listener, server: newServer(h)}
	go func() { _ = running.server.Serve(listener) }()
	return running, nil
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
}
