// Package relayer forwards requests to the node's local backend server.
package relayer

import (
	"context"

	"github.com/flamingotack/flamingotack/internal/exchanger"
)

type (
	// Backend is the node's local backend server.
	Backend interface {
		// Send runs a request. token is the opaque call token that the
		// backend server presents when it calls other services. Canceling
		// ctx cancels the request, also while the answer's body is read. The
		// error is an *exchanger.Refusal; it says not run only when no byte
		// of the request left the node.
		Send(ctx context.Context, r *exchanger.Request, token string) (*exchanger.Answer, error)
		// Health requests the health that the backend server reports.
		Health(ctx context.Context) (Health, error)
	}

	// Health is the state that a backend server reports. It may be outdated
	// or wrong.
	Health struct {
		// Ready is false when the server does not accept new requests.
		Ready bool `json:"ready"`
		// Draining is true when the server is about to stop.
		Draining bool `json:"draining"`
		// Cold is true when the server has just started.
		Cold bool `json:"cold"`
		// LoadFraction is the fraction of slots in use, 0 to 1.
		LoadFraction float64 `json:"load"`
		// Slots is the number of requests that the server says it can run
		// concurrently; 0 when it does not say.
		Slots int `json:"slots"`
	}
)
