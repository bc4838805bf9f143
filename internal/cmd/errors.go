package cmd

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/operator"
	"github.com/flamingotack/flamingotack/internal/parser"
)

// The exit codes.
const (
	// ExitOK says that the command succeeded.
	ExitOK = 0
	// ExitFailed says that the command failed.
	ExitFailed = 1
	// ExitUsage says that the command line, a manifest or a settings file is
	// wrong.
	ExitUsage = 2
	// ExitConflict says that another operator's change was accepted first.
	ExitConflict = 3
	// ExitLogUnreachable says that the log can't be reached: nothing was done, or
	// the outcome is unknown.
	ExitLogUnreachable = 4
	// ExitNotInForce says that a change is accepted but not in force on every node
	// in time, or that a node does not answer.
	ExitNotInForce = 5
)

// UsageError says that the command line is wrong.
type UsageError struct {
	// Cause says what is wrong with the command line.
	Cause error
}

// Error returns the cause's text.
func (e *UsageError) Error() string {
	return e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error {
	return e.Cause
}

func exitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case isA[*UsageError](err), isA[*parser.FieldError](err):
		return ExitUsage
	case isA[*operator.ConflictError](err):
		return ExitConflict
	case isA[*operator.LogUnreachableError](err):
		return ExitLogUnreachable
	case isA[*operator.LaggingNodesError](err):
		return ExitNotInForce
	default:
		return ExitFailed
	}
}

func isA[E error](err error) bool {
	var target E
	return errors.As(err, &target)
}

func usageErrorf(format string, args ...any) error {
	return &UsageError{Cause: fmt.Errorf(format, args...)}
}
