// Package relayer passes requests to the backend server beside the node.
package relayer

import (
	"context"

	"github.com/flamingotack/flamingotack/internal/exchanger"
)

type (
	// Backend is the backend server beside the node.
	Backend interface {
		// Send runs a request. token is the opaque call token that the
		// backend server presents when it calls further services. Ending ctx
		// cancels the request, also while the answer's body is read. The
		// error is a *exchanger.Refusal; it says not run only when no byte
		// of the request left the node.
		Send(ctx context.Context, r *exchanger.Request, token string) (*exchanger.Answer, error)
		// Health asks for the backend server's own word on its state.
		Health(ctx context.Context) (Health, error)
	}

	// Health is what a backend server says of itself. It may lag or mislead.
	Health struct {
		// Ready is false when the server wants no new work.
		Ready bool `json:"ready"`
		// Draining says that the server is about to stop.
		Draining bool `json:"draining"`
		// Cold says that the server has just started.
		Cold bool `json:"cold"`
		// Load is the part of the slots in use, 0 to 1.
		LoadFraction float64 `json:"load"`
		// Slots is the number of requests that it says it can run at once;
		// 0 when it says nothing.
		Slots int `json:"slots"`
	}
)
