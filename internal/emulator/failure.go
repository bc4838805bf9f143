package emulator

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/recorder"
)

const problemType = "application/problem+json"

// failure tells how a call without a whole answer ended.
func failure(ctx context.Context, err error) recorder.CallOutcome {
	var operation *net.OpError
	switch {
	case ctx.Err() != nil:
		return recorder.CallTimedOut
	case errors.As(err, &operation) && operation.Op == "dial":
		return recorder.CallUnreachable
	default:
		return recorder.CallConnectionLost
	}
}
