package core

import (
	"fmt"
	"time"
)

// Execution tells a caller whether its request or job was executed.
type Execution string

// The values of Execution.
const (
	Executed         Execution = "yes"
	NotExecuted      Execution = "no"
	ExecutionUnknown Execution = "unknown"
)

// Code classifies a refusal; the codes are part of the public API.
type Code string

// The refusal codes.
const (
	CodeBadInput          Code = "bad-input"
	CodeBadKey            Code = "bad-key"
	CodeUnknownQueue      Code = "unknown-queue"
	CodeUnknownTeam       Code = "unknown-team"
	CodeUnknownJob        Code = "unknown-job"
	CodeTooLarge          Code = "too-large"
	CodeBusy              Code = "busy"
	CodeTimeout           Code = "timeout"
	CodeOverLimit         Code = "over-limit"
	CodeOverload          Code = "overload"
	CodeLeaving           Code = "leaving"
	CodeStoreUnavailable  Code = "store-unavailable"
	CodeNoOwner           Code = "no-owner"
	CodeStaleEpoch        Code = "stale-epoch"
	CodeConflict          Code = "conflict"
	CodeTargetFailed      Code = "target-failed"
	CodeAlreadySent       Code = "already-sent"
	CodeConfigUnconfirmed Code = "config-unconfirmed"
)

// RefusalError is the only error type that callers and operators receive.
type RefusalError struct {
	Code Code
	// Execution is NotExecuted unless a byte of the request may have reached a
	// target.
	Execution Execution
	Reason    string
	// RetryAfter is the delay before a retry, or zero if a retry cannot succeed.
	RetryAfter time.Duration
	// Err is the underlying error, if any.
	Err error
}

// Error implements error.
func (e *RefusalError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s: %s: %v", e.Code, e.Reason, e.Err)
	}
	return fmt.Sprintf("%s: %s", e.Code, e.Reason)
}

// Unwrap returns the underlying error.
func (e *RefusalError) Unwrap() error { return e.Err }

// Refuse returns a refusal of work that was certainly not executed.
func Refuse(code Code, format string, args ...any) *RefusalError {
	return &RefusalError{Code: code, Execution: NotExecuted, Reason: fmt.Sprintf(format, args...)}
}

// RefuseUnknown returns a refusal of work that may have been executed.
func RefuseUnknown(code Code, err error, format string, args ...any) *RefusalError {
	return &RefusalError{Code: code, Execution: ExecutionUnknown, Reason: fmt.Sprintf(format, args...), Err: err}
}

// LineError is an error at one line of a text file.
type LineError struct {
	File   string
	Line   int
	Reason string
}

// Error implements error.
func (e *LineError) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason) }

// LineErrors holds all errors of a text file.
type LineErrors []*LineError

// Error implements error.
func (e LineErrors) Error() string {
	out := ""
	for i, line := range e {
		if i > 0 {
			out += "\n"
		}
		out += line.Error()
	}
	return out
}
