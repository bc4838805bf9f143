package emulator

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/recorder"
)

const problemContentType = "application/problem+json"

// outcomeOfError returns the outcome of a call that got no whole answer.
func outcomeOfError(ctx context.Context, err error) recorder.CallOutcome {
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
