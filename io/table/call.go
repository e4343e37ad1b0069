package table

import (
	"context"
	"errors"

	"chicoryturn/io/guard"
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

// Do makes a call for another VM. A panic leaves its outcome unknown.
func Do(ctx context.Context, client Client, c Call) Outcome {
	o, err := guard.Call(func() (Outcome, error) { return do(ctx, client, c) })
	if err != nil {
		return failure(err)
	}
	return o
}

func do(ctx context.Context, client Client, c Call) (Outcome, error) {
	switch {
	case c.Write != nil:
		done, err := client.Write(ctx, *c.Write)
		return Outcome{Done: &done}, err
	case c.Read != nil:
		p, err := client.Read(ctx, *c.Read)
		return Outcome{Page: &p}, err
	case c.Feed != nil:
		ch, err := client.Feed(ctx, *c.Feed)
		return Outcome{Changes: &ch}, err
	}
	return Outcome{}, &RelayError{"the call is empty"}
}

// Matches reports whether o can be the outcome of a call: the outcomes of other VMs may
// be malformed.
func (o Outcome) Matches(c Call) bool {
	switch {
	case o.Err() != nil:
		return true
	case c.Write != nil:
		return o.Done != nil
	case c.Read != nil:
		return o.Page != nil
	default:
		return o.Changes != nil
	}
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

// Unreachable reports whether the call was not sent, since no connection could be made.
func (o Outcome) Unreachable() bool { return o.RefusedStatus == statusUnreachable }

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
