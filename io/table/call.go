package table

import (
	"context"
	"errors"
)

// Doer carries out calls of the table.
type Doer interface {
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
	Done     *Done          `json:",omitempty"`
	Page     *Page          `json:",omitempty"`
	Changes  *Changes       `json:",omitempty"`
	Refused  int            `json:",omitempty"`
	Conflict *ConflictError `json:",omitempty"`
	Trimmed  *TrimmedError  `json:",omitempty"`
	// Down says why nothing is known of the outcome.
	Down string `json:",omitempty"`
}

// RelayError says why another VM could not carry out a call.
type RelayError struct{ Reason string }

// Error implements error.
func (e *RelayError) Error() string { return "relayed call: " + e.Reason }

// unreached stands for the status of a call that found no connection.
const unreached = -1

// Do carries out a call for another VM.
func Do(ctx context.Context, d Doer, c Call) Outcome {
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
	case errors.As(err, &o.Conflict), errors.As(err, &o.Trimmed):
	case errors.As(err, &refused) && refused.Status > 0:
		o.Refused = refused.Status
	case errors.As(err, &refused):
		o.Refused = unreached
	default:
		o.Down = err.Error()
	}
	return o
}

// Unreached returns the outcome of a call that was surely not made.
func Unreached() Outcome { return Outcome{Refused: unreached} }

// Answered reports whether the table itself has dealt with or refused the call.
func (o Outcome) Answered() bool { return o.Down == "" && o.Refused != unreached }

// Err returns the error of a call that has failed.
func (o Outcome) Err() error {
	switch {
	case o.Conflict != nil:
		return o.Conflict
	case o.Trimmed != nil:
		return o.Trimmed
	case o.Refused == unreached:
		return &RefusedError{Err: &RelayError{"the other VM does not reach the table"}}
	case o.Refused != 0:
		return &RefusedError{Status: o.Refused}
	case o.Down != "":
		return &DownError{&RelayError{o.Down}}
	}
	return nil
}
