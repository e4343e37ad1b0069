package table

import (
	"context"
	"errors"
)

// Client makes calls to the table.
type Client interface {
	Write(ctx context.Context, t Txn) (WriteResult, error)
	Read(ctx context.Context, r Range) (Page, error)
	Feed(ctx context.Context, f FeedRequest) (Changes, error)
}

// Call is one table call, as it is forwarded to another VM. Exactly one field
// is set.
type Call struct {
	Write *Txn         `json:",omitempty"`
	Read  *Range       `json:",omitempty"`
	Feed  *FeedRequest `json:",omitempty"`
}

// Outcome is the result of a call that another VM has made. Exactly one field is
// set.
type Outcome struct {
	Done          *WriteResult    `json:",omitempty"`
	Page          *Page           `json:",omitempty"`
	Changes       *Changes        `json:",omitempty"`
	RefusedStatus int             `json:"Refused,omitempty"`
	Conflict      *ConflictError  `json:",omitempty"`
	Compacted     *CompactedError `json:"Trimmed,omitempty"`
	// NoAnswer is the reason why the call has no answer; it may or may not have
	// taken effect.
	NoAnswer string `json:"Down,omitempty"`
}

// RelayError reports why another VM could not make a call.
type RelayError struct{ Reason string }

// Error implements error.
func (e *RelayError) Error() string { return "relayed call: " + e.Reason }

// statusUnreachable is the RefusedStatus of a call for which no connection
// could be made.
const statusUnreachable = -1

// Do makes a call for another VM.
func Do(ctx context.Context, client Client, c Call) Outcome {
	var o Outcome
	var err error
	switch {
	case c.Write != nil:
		var done WriteResult
		done, err = client.Write(ctx, *c.Write)
		o.Done = &done
	case c.Read != nil:
		var p Page
		p, err = client.Read(ctx, *c.Read)
		o.Page = &p
	case c.Feed != nil:
		var ch Changes
		ch, err = client.Feed(ctx, *c.Feed)
		o.Changes = &ch
	}
	if err != nil {
		return failure(err)
	}
	return o
}

// failure returns the outcome of a call that has failed with err.
func failure(err error) Outcome {
	var o Outcome
	var refused *RefusedError
	switch {
	case errors.As(err, &o.Conflict), errors.As(err, &o.Compacted):
	case errors.As(err, &refused) && refused.Status > 0:
		o.RefusedStatus = refused.Status
	case errors.As(err, &refused):
		o.RefusedStatus = statusUnreachable
	default:
		o.NoAnswer = err.Error()
	}
	return o
}

// NotSent returns the outcome of a call that was not sent.
func NotSent() Outcome { return Outcome{RefusedStatus: statusUnreachable} }

// Answered reports whether the table processed or refused the call.
func (o Outcome) Answered() bool { return o.NoAnswer == "" && o.RefusedStatus != statusUnreachable }

// Err returns the error of a failed call, or nil.
func (o Outcome) Err() error {
	switch {
	case o.Conflict != nil:
		return o.Conflict
	case o.Compacted != nil:
		return o.Compacted
	case o.RefusedStatus == statusUnreachable:
		return &RefusedError{Err: &RelayError{"the other VM cannot reach the table"}}
	case o.RefusedStatus != 0:
		return &RefusedError{Status: o.RefusedStatus}
	case o.NoAnswer != "":
		return &UnansweredError{&RelayError{o.NoAnswer}}
	}
	return nil
}
