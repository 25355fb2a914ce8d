package interpreter

import (
	"errors"
	"fmt"
)

// ErrMalformed reports a line from the interpreter that is not a JSON object of the protocol.
var ErrMalformed = errors.New("malformed notice")

// ErrLineTooLong reports a line that is longer than any valid notice.
var ErrLineTooLong = fmt.Errorf("line of over %d bytes", maxLineBytes)

// errConnectTimeout reports a connection attempt that the interpreter's host did not answer within connectTimeout.
var errConnectTimeout = errors.New("connection attempt timed out")

// ProtocolError reports a line from the interpreter that could not be parsed. The connection must be closed, since the
// content of the line is lost.
type ProtocolError struct {
	Field string // the field whose value is invalid; empty if the line as a whole is invalid
	Err   error
}

// Error implements error.
func (e *ProtocolError) Error() string {
	if e.Field == "" {
		return "interpreter: " + e.Err.Error()
	}
	return fmt.Sprintf("interpreter: field %s: %v", e.Field, e.Err)
}

// Unwrap returns the cause.
func (e *ProtocolError) Unwrap() error { return e.Err }

// RejectedCommandError reports a command that the interpreter rejected.
type RejectedCommandError struct {
	Command string // the operation, such as APPLY
	ID      string // the ID of the run, or the tag of the query
}

// Error implements error.
func (e *RejectedCommandError) Error() string { return e.Command + " " + e.ID }
