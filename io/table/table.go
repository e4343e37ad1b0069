// Package table describes the platform's transactional table as this system
// uses it: rows in tables and partitions, conditional transactions and a feed
// of changes.
package table

import (
	"fmt"
	"time"
)

// Key names a row.
type Key struct{ Table, Part, Name string }

// Row is one row with the version of its last change. A deleted row has Deleted
// set and no value.
type Row struct {
	Key
	Val     []byte
	Version uint64
	Deleted bool `json:"Gone"`
}

// Check is the condition that a row still has this version; version 0 means
// that the row must not exist.
type Check struct {
	Key
	Version uint64
}

// Put writes a row.
type Put struct {
	Key
	Val []byte
}

// Txn is a transaction: it is applied as a whole if every check holds, and not
// at all otherwise. All its rows are in one partition.
type Txn struct {
	Checks  []Check
	Puts    []Put
	Deletes []Key `json:"Drops"`
}

// Page is a consistent read of a part of a table.
type Page struct {
	Rows []Row
	// More is set if the range has further rows.
	More bool
	// Version is the newest version of the whole store, Now the store's
	// monotonic clock.
	Version uint64
	Now     time.Duration
}

// EmptyPageError reports a page that holds no rows although the range has more: where it goes
// on is not known, and what follows must not count as absent.
type EmptyPageError struct{ Table string }

// Error implements error.
func (e *EmptyPageError) Error() string {
	return "a page of table " + e.Table + " has no rows, but more follow"
}

// Rest returns the part of a range that follows the page, and whether there is any. The error is
// an EmptyPageError.
func (p Page) Rest(r Range) (rest Range, more bool, err error) {
	if !p.More {
		return r, false, nil
	}
	if len(p.Rows) == 0 {
		return r, false, &EmptyPageError{r.Table}
	}
	// A range includes From; the suffix makes it start after the last row.
	r.From = p.Rows[len(p.Rows)-1].Name + "\x01"
	return r, true, nil
}

// WriteResult is the result of an applied transaction.
type WriteResult struct {
	// Version is the version of the rows written, Now the store's monotonic
	// clock.
	Version uint64
	Now     time.Duration
}

// Changes are the rows changed after a version.
type Changes struct {
	Rows []Row
	// Version is the version from which the next call continues.
	Version uint64
}

// Range selects the rows of one partition whose names lie between From,
// included, and To, excluded.
type Range struct {
	Table, Part, From, To string
	// Limit bounds the rows of one page; 0 means the platform's own limit.
	Limit int
}

// FeedRequest selects the changes of a table after a version.
type FeedRequest struct {
	Table   string
	Version uint64
	// Wait bounds the wait for the first change.
	Wait time.Duration
}

// UnansweredError reports a call without an answer. A write may have taken
// effect, and may still take effect if its checks hold.
type UnansweredError struct{ Err error }

// Error implements error.
func (e *UnansweredError) Error() string { return fmt.Sprintf("the table does not answer: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnansweredError) Unwrap() error { return e.Err }

// RefusedError reports a call that had no effect.
type RefusedError struct {
	// Status is the HTTP status, or 0 if no connection could be made.
	Status int
	Err    error
}

// IsFinal reports whether the table would refuse the same call again.
func (e *RefusedError) IsFinal() bool {
	const firstClientError, firstServerError = 400, 500
	const requestTimeout, tooManyRequests = 408, 429
	return e.Status >= firstClientError && e.Status < firstServerError && e.Status != requestTimeout && e.Status != tooManyRequests
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("the table cannot be reached: %v", e.Err)
	}
	return fmt.Sprintf("the table refuses the call with status %d", e.Status)
}

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Err }

// ConflictError reports that a check failed and nothing was written. Rows holds
// the checked rows that exist.
type ConflictError struct{ Rows []Row }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("a check failed; %d checked rows exist", len(e.Rows))
}

// Find returns the current state of a checked row, if the row exists.
func (e *ConflictError) Find(k Key) (Row, bool) {
	for _, r := range e.Rows {
		if r.Key == k && !r.Deleted && r.Version > 0 {
			return r, true
		}
	}
	return Row{}, false
}

// CompactedError reports that the feed no longer keeps the requested changes.
type CompactedError struct{ Version uint64 }

// Error implements error.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("the feed no longer keeps the changes after version %d", e.Version)
}

// FormatError reports a row or answer that cannot be decoded; Subject names
// it.
type FormatError struct {
	Subject string
	Err     error
}

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("%s cannot be decoded: %v", e.Subject, e.Err)
}

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.Err }
