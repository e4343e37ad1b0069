package core

import (
	"fmt"
	"time"
)

// Execution says what is known about whether a request or job ran.
type Execution string

// The three answers that a caller can get about its own request.
const (
	Executed         Execution = "yes"
	NotExecuted      Execution = "no"
	ExecutionUnknown Execution = "unknown"
)

// Code classifies a refusal; it is part of the public interface.
type Code string

// The codes of all refusals.
const (
	CodeBadInput Code = "bad-input"
	CodeBadKey   Code = "bad-key"
	CodeNoQueue  Code = "unknown-queue"
	CodeNoTeam   Code = "unknown-team"
	CodeNoJob    Code = "unknown-job"
	CodeTooLarge Code = "too-large"
	CodeBusy     Code = "busy"
	CodeTimeout  Code = "timeout"
	CodeLimit    Code = "over-limit"
	CodeLeaving  Code = "leaving"
	CodeStore    Code = "store-unavailable"
	CodeOwner    Code = "no-owner"
	CodeStale    Code = "stale-epoch"
	CodeConflict Code = "conflict"
	CodeTarget   Code = "target-failed"
	CodeRepeat   Code = "already-sent"
	CodeConfig   Code = "config-unconfirmed"
)

// RefusalError is the one error type that reaches callers and operators.
type RefusalError struct {
	Code Code
	// Execution is RunNo unless a byte of the request may have reached a target.
	Execution Execution
	Reason    string
	// RetryAfter is zero when a retry does not help.
	RetryAfter time.Duration
	// Err is the cause, if any.
	Err error
}

// Error implements error.
func (e *RefusalError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s: %s: %v", e.Code, e.Reason, e.Err)
	}
	return fmt.Sprintf("%s: %s", e.Code, e.Reason)
}

// Unwrap returns the cause.
func (e *RefusalError) Unwrap() error { return e.Err }

// Refuse returns a refusal of work that surely did not run.
func Refuse(code Code, format string, args ...any) *RefusalError {
	return &RefusalError{Code: code, Execution: NotExecuted, Reason: fmt.Sprintf(format, args...)}
}

// RefuseUnknown returns a refusal of work that may have run.
func RefuseUnknown(code Code, err error, format string, args ...any) *RefusalError {
	return &RefusalError{Code: code, Execution: ExecutionUnknown, Reason: fmt.Sprintf(format, args...), Err: err}
}

// LineError is a fault of a text file at one line.
type LineError struct {
	File   string
	Line   int
	Reason string
}

// Error implements error.
func (e *LineError) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason) }

// LineErrors collects every fault of a text file.
type LineErrors []*LineError

// Error implements error.
func (e LineErrors) Error() string {
	out := ""
	for i, l := range e {
		if i > 0 {
			out += "\n"
		}
		out += l.Error()
	}
	return out
}
