package table

import (
	"context"
	"errors"
)

// Client carries out calls of the table.
type Client interface {
	Write(ctx context.Context, t Txn) (Done, error)
	Read(ctx context.Context, r Range) (Page, error)
	Feed(ctx context.Context, s Since) (Changes, error)
}

// Call is one call as it is handed to another VM; exactly one field is set.
type Call struct {
	Write *Txn   `json:",omitempty"`
	Read  *Range `json:",omitempty"`
	Feed  *Since `json:",omitempty"`
}

// Outcome is the result of a call that another VM has carried out.
type Outcome struct {
	Done          *Done           `json:",omitempty"`
	Page          *Page           `json:",omitempty"`
	Changes       *Changes        `json:",omitempty"`
	RefusedStatus int             `json:"Refused,omitempty"`
	Conflict      *ConflictError  `json:",omitempty"`
	Compacted     *CompactedError `json:"Trimmed,omitempty"`
	// NoAnswer says why nothing is known of the outcome.
	NoAnswer string `json:"Down,omitempty"`
}

// RelayError says why another VM could not carry out a call.
type RelayError struct{ Reason string }

// Error implements error.
func (e *RelayError) Error() string { return "relayed call: " + e.Reason }

// unreached stands for the status of a call that found no connection.
const unreached = -1

// Do carries out a call for another VM.
func Do(ctx context.Context, d Client, c Call) Outcome {
	var o Outcome
	var err error
	switch {
	case c.Write != nil:
		var done Done
		done, err = d.Write(ctx, *c.Write)
		o.Done = &done
	case c.Read != nil:
		var p Page
		p, err = d.Read(ctx, *c.Read)
		o.Page = &p
	case c.Feed != nil:
		var ch Changes
		ch, err = d.Feed(ctx, *c.Feed)
		o.Changes = &ch
	}
	if err != nil {
		return failure(err)
	}
	return o
}

func failure(err error) Outcome {
	var o Outcome
	var refused *RefusedError
	switch {
	case errors.As(err, &o.Conflict), errors.As(err, &o.Compacted):
	case errors.As(err, &refused) && refused.Status > 0:
		o.RefusedStatus = refused.Status
	case errors.As(err, &refused):
		o.RefusedStatus = unreached
	default:
		o.NoAnswer = err.Error()
	}
	return o
}

// NotSent returns the outcome of a call that was surely not made.
func NotSent() Outcome { return Outcome{RefusedStatus: unreached} }

// Answered reports whether the table itself has dealt with or refused the call.
func (o Outcome) Answered() bool { return o.NoAnswer == "" && o.RefusedStatus != unreached }

// Err returns the error of a call that has failed.
func (o Outcome) Err() error {
	switch {
	case o.Conflict != nil:
		return o.Conflict
	case o.Compacted != nil:
		return o.Compacted
	case o.RefusedStatus == unreached:
		return &RefusedError{Err: &RelayError{"the other VM does not reach the table"}}
	case o.RefusedStatus != 0:
		return &RefusedError{Status: o.RefusedStatus}
	case o.NoAnswer != "":
		return &UnansweredError{&RelayError{o.NoAnswer}}
	}
	return nil
}
