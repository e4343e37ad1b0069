// Package table describes the platform's transactional table as the product
// uses it: rows in tables and partitions, conditional transactions and a feed
// of changes.
package table

import (
	"fmt"
	"time"
)

// Key names a row.
type Key struct{ Table, Part, Name string }

// Row is one row with the version of its last change. A row that was dropped
// has Gone set and no value.
type Row struct {
	Key
	Val     []byte
	Version uint64
	Deleted bool `json:"Gone"`
}

// Check demands that a row still has a version; version 0 demands its absence.
type Check struct {
	Key
	Version uint64
}

// Put writes a row.
type Put struct {
	Key
	Val []byte
}

// Txn is applied whole if every check holds, and not at all otherwise. All its
// rows are in one partition.
type Txn struct {
	Checks  []Check
	Puts    []Put
	Deletes []Key `json:"Drops"`
}

// Page is a part of a table as of one moment.
type Page struct {
	Rows []Row
	// More is set if there are rows after the last one.
	More bool
	// Version is the newest version of the whole store, Now its steady clock.
	Version uint64
	Now     time.Duration
}

// Done is a transaction that has been applied.
type Done struct {
	// Version is that of the rows written, Now the store's steady clock.
	Version uint64
	Now     time.Duration
}

// Changes are the rows changed after a version.
type Changes struct {
	Rows []Row
	// Version is where to continue.
	Version uint64
}

// Range selects rows of one partition by name; To is not included.
type Range struct {
	Table, Part, From, To string
	// Limit bounds the rows of one page; 0 leaves it to the platform.
	Limit int
}

// Since selects the changes of a table after a version.
type Since struct {
	Table   string
	Version uint64
	// Wait is how long to wait for the first change.
	Wait time.Duration
}

// UnansweredError reports a call without an answer. A write may have taken effect,
// or may do so later if its checks still hold.
type UnansweredError struct{ Err error }

// Error implements error.
func (e *UnansweredError) Error() string { return fmt.Sprintf("the table does not answer: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnansweredError) Unwrap() error { return e.Err }

// RefusedError reports a call that surely had no effect.
type RefusedError struct {
	// Status is the HTTP status, or 0 if no connection could be made.
	Status int
	Err    error
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

// ConflictError reports that a check has failed and nothing was written. Rows
// holds the checked rows that exist.
type ConflictError struct{ Rows []Row }

// Error implements error.
func (e *ConflictError) Error() string { return fmt.Sprintf("%d checked rows differ", len(e.Rows)) }

// Find returns the present form of a checked row.
func (e *ConflictError) Find(k Key) (Row, bool) {
	for _, r := range e.Rows {
		if r.Key == k && !r.Deleted && r.Version > 0 {
			return r, true
		}
	}
	return Row{}, false
}

// CompactedError reports that the changes asked for are no longer kept.
type CompactedError struct{ Version uint64 }

// Error implements error.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("the changes after version %d are no longer kept", e.Version)
}

// FormatError reports a row or answer that cannot be read.
type FormatError struct {
	What string
	Err  error
}

// Error implements error.
func (e *FormatError) Error() string { return fmt.Sprintf("%s cannot be read: %v", e.What, e.Err) }

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.Err }
