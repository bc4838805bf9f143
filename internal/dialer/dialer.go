// Package dialer sets TCP connections up that the operating system watches, so
// that one that went silent ends within some seconds.
package dialer

import (
	"net"
	"time"
)

const (
	keepIdle     = time.Second
	keepInterval = time.Second
	keepCount    = 2
)

// KeepAlive returns how connections are probed while they carry nothing.
func KeepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepIdle, Interval: keepInterval, Count: keepCount}
}

// New returns a dialer that gives up after timeout.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAliveConfig()}
}
