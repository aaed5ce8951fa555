package cli

import (
	"errors"
	"fmt"

	"hyssoploom/dialect"
)

// Code is an exit code of the command line, documented in docs/exit-codes.md.
type Code int

// The exit codes.
const (
	CodeOK          Code = 0
	CodeFailure     Code = 1 // any failure without a code of its own
	CodeUsage       Code = 2
	CodeInvalid     Code = 3 // declarations or stored records are invalid
	CodeConflict    Code = 4 // another writer changed a record first
	CodeUnavailable Code = 5 // the store could not be reached; records reported as unavailable were not written
	CodeUnknown     Code = 6 // a write may or may not have taken effect
	CodeNotFound    Code = 7
	CodeDiffers     Code = 8  // diff --exit-code found differences
	CodeDegraded    Code = 9  // status found invalid records or processes that are not current
	CodeDoubtful    Code = 10 // platform check found entries that never match or limits that contradict each other, and no error
)

// ExitError is an error with an exit code.
type ExitError struct {
	Code Code
	Err  error
}

func (e *ExitError) Error() string { return e.Err.Error() }

func (e *ExitError) Unwrap() error { return e.Err }

// ExitErrorf returns an *ExitError with a formatted message.
func ExitErrorf(code Code, format string, args ...any) error {
	return &ExitError{Code: code, Err: fmt.Errorf(format, args...)}
}

// CodeOf returns the exit code for the error of a command.
func CodeOf(err error) Code {
	var exit *ExitError
	var conflict *dialect.ConflictError
	switch {
	case err == nil:
		return CodeOK
	case errors.As(err, &exit):
		return exit.Code
	case errors.As(err, &conflict):
		return CodeConflict
	case errors.Is(err, dialect.ErrUnavailable):
		return CodeUnavailable
	case errors.Is(err, dialect.ErrUnknownOutcome):
		return CodeUnknown
	case errors.Is(err, dialect.ErrNotFound):
		return CodeNotFound
	}
	return CodeFailure
}
