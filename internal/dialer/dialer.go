// Package dialer dials TCP connections with keep-alive probes, so that the
// operating system closes an unresponsive connection within a few seconds.
package dialer

import (
	"net"
	"time"
)

const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

// KeepAliveConfig returns the settings of the probes on idle connections.
func KeepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}
}

// New returns a dialer whose attempts to connect fail after timeout.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAliveConfig()}
}
