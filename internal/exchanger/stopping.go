package exchanger

import (
	"context"
	"errors"
)

// ErrStopping is the cause of the contexts of the requests that a node ends because it stops.
var ErrStopping = errors.New("the node stops")

// Stopping reports whether ctx was canceled because the node stops.
func Stopping(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), ErrStopping)
}
