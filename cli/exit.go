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
	CodeConflict    Code = 4 // another writer was faster
	CodeUnavailable Code = 5 // the store was not reached; nothing was written
	CodeUnknown     Code = 6 // it is unknown whether a write took effect
	CodeNotFound    Code = 7
	CodeDiffers     Code = 8 // diff --exit-code found differences
	CodeDegraded    Code = 9 // status found problems or processes that are behind
)

// ExitError is an error with an exit code.
type ExitError struct {
	Code Code
	Err  error
}

func (e *ExitError) Error() string { return e.Err.Error() }

func (e *ExitError) Unwrap() error { return e.Err }

// ExitErrorf returns an error with an exit code.
func ExitErrorf(code Code, format string, args ...any) error {
	return &ExitError{Code: code, Err: fmt.Errorf(format, args...)}
}

// CodeOf returns the exit code of a command's error.
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
