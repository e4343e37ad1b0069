// Package record maps the stored state to rows of the platform's table. Accepted
// jobs and cancellations are spread over partitions by job name. The ownership
// record, the progress of jobs and the roster of workers share one partition, so
// that an owner can write them in one transaction on the condition that it still
// holds the ownership record.
package record

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chicoryturn/core"
	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/load"
	"chicoryturn/io/table"
)

const (
	jobTable      = "job"
	fleetTable    = "fleet"
	progressTable = "progress"
	// failedTable holds the pages of the jobs' failed runs. Its name sorts before
	// progressTable: of a write that takes several transactions, pages come first.
	failedTable = "failed"
	// cancelSuffix is appended to a job's name for the row of its cancellation.
	cancelSuffix = "/cancel"
	// fleetPart is the partition of all rows that an owner writes.
	fleetPart = "fleet"
	// ownerName is the name of the row of the ownership record.
	ownerName = "seat"
	// maxRowBytes bounds the value of a row, in bytes. The platform's limit is 65,536.
	maxRowBytes = 64 << 10
	// jobParts is the number of partitions of jobs, by hash of the name. A partition
	// executes its transactions one after another, in 8 ms each, or about 80 times as
	// long when the store is slow. Even then 256 partitions accept 400 jobs a second
	// if each comes from a different VM and needs its own transaction.
	jobParts = 256
)

// NameError reports a row that holds the state of another job than its name says.
type NameError struct{ Job string }

// Error implements error.
func (e *NameError) Error() string { return fmt.Sprintf("the row is about job %q", e.Job) }

// Reachability reports whether the table can be reached.
type Reachability interface {
	Unreachable() bool
}

// progressRangeStarts divide the progress rows into ranges of job names that are read
// in parallel. Names are mostly hexadecimal.
var progressRangeStarts = [...]string{"", "1", "2", "3", "4", "5", "6", "7", "8", "9", "a", "b", "c", "d", "e", "f"}

// Store reads and writes the rows of the fleet.
type Store struct {
	client       table.Client
	reachability Reachability

	// writerStarts carries the partitions for which Run must start a writer.
	writerStarts chan int
	// mu guards the fields below.
	mu sync.Mutex
	// unconfirmed holds the jobs that may have been stored although their clients
	// received an unknown outcome, each with the time of that answer.
	unconfirmed map[core.JobID]time.Time
	queues      [jobParts]partQueue
	// pager divides the roster of the latest epoch in which this process wrote as the
	// owner; nil before.
	pager *pager
	// loadedRoster holds the rows of the roster that Load has read last.
	loadedRoster [][]fleet.RosterEntry
	// closed is set when Run ends; enqueue then refuses all jobs.
	closed bool
}

// Option configures a Store.
type Option func(*Store)

// WithReachability makes Accept and State refuse calls at once while the table cannot be
// reached.
func WithReachability(r Reachability) Option { return func(s *Store) { s.reachability = r } }

// New returns a Store on a table. Accept blocks unless Run runs on another goroutine.
func New(client table.Client, opts ...Option) *Store {
	s := &Store{client: client, writerStarts: make(chan int, jobParts), unconfirmed: map[core.JobID]time.Time{}}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Unreachable reports whether the table cannot be reached.
func (s *Store) Unreachable() bool { return s.reachability != nil && s.reachability.Unreachable() }

// unreachableError returns the refusal of a call while the table cannot be reached.
// Clients can retry through another VM instead of waiting for the table.
func (s *Store) unreachableError() *core.RefusalError {
	return load.StoreUnreachable.Refuse(nil, "this VM cannot reach the store")
}

// RowSizeError reports a row that has not been written, since its value is larger than the
// store takes. The other rows of the write have not been written either.
type RowSizeError struct {
	// Job is the job whose progress the row holds, empty for another row.
	Job core.JobID
	// Name is the table and the name of the row, Bytes the size of its value.
	Name  string
	Bytes int
}

// Error implements error.
func (e *RowSizeError) Error() string {
	return fmt.Sprintf("%s takes %d bytes in the store; the limit is %d", e.Name, e.Bytes, maxRowBytes)
}

// Refused reports whether err means that a call certainly had no effect.
func Refused(err error) bool {
	var refused *table.RefusedError
	var unanswered *table.UnansweredError
	var size *RowSizeError
	return errors.As(err, &size) || errors.As(err, &refused) && !errors.As(err, &unanswered)
}

// Rejected reports whether err means that the store does not take what a write holds, now or
// later. If Refused does not report it as well, a part of the write has taken effect.
func Rejected(err error) bool {
	var refused *table.RefusedError
	var size *RowSizeError
	return errors.As(err, &size) || errors.As(err, &refused) && refused.IsFinal()
}

func partOf(id core.JobID) int { return int(xxhash.Sum64String(string(id)) % jobParts) }

func jobKey(id core.JobID) table.Key {
	return table.Key{Table: jobTable, Part: partName(partOf(id)), Name: string(id)}
}

func cancelKey(id core.JobID) table.Key {
	return table.Key{Table: jobTable, Part: partName(partOf(id)), Name: string(id) + cancelSuffix}
}

func progressKey(id core.JobID) table.Key {
	return table.Key{Table: progressTable, Part: fleetPart, Name: string(id)}
}

func failedKey(id core.JobID, page int) table.Key {
	return table.Key{Table: failedTable, Part: fleetPart, Name: fmt.Sprintf("%s/%04d", id, page)}
}

func ownerKey() table.Key {
	return table.Key{Table: fleetTable, Part: fleetPart, Name: ownerName}
}

func partName(i int) string { return "p" + strconv.Itoa(i) }

// encode returns a write of val in JSON under a key.
func encode(k table.Key, val any) (table.Put, error) {
	text, err := json.Marshal(val)
	if err != nil {
		return table.Put{}, &table.FormatError{Subject: k.Table + "/" + k.Name, Err: err}
	}
	return table.Put{Key: k, Val: text}, nil
}

// decode parses the JSON value of a row.
func decode(r table.Row, val any) error {
	if err := json.Unmarshal(r.Val, val); err != nil {
		return &table.FormatError{Subject: r.Table + "/" + r.Name, Err: err}
	}
	return nil
}

// get reads one row. Its version is 0 if there is no such row.
func (s *Store) get(ctx context.Context, k table.Key) (table.Row, error) {
	r, _, err := s.getWithClock(ctx, k)
	return r, err
}

// getWithClock reads one row and the store's clock. The range that it reads excludes
// its end, so that it holds only the row named k.Name.
func (s *Store) getWithClock(ctx context.Context, k table.Key) (table.Row, time.Duration, error) {
	p, err := s.client.Read(ctx, table.Range{Table: k.Table, Part: k.Part, From: k.Name, To: k.Name + "\x01", Limit: 1})
	if err != nil || len(p.Rows) == 0 {
		return table.Row{}, p.Now, err
	}
	return p.Rows[0], p.Now, nil
}

// OwnerRecord reads the ownership record.
func (s *Store) OwnerRecord(ctx context.Context) (elect.Observation, error) {
	r, clock, err := s.getWithClock(ctx, ownerKey())
	obs := elect.Observation{Version: r.Version, Clock: clock}
	if err != nil || r.Version == 0 {
		return obs, err
	}
	return obs, decode(r, &obs.Record)
}

// Delete deletes the job and cancellation rows of jobs whose retention period has
// passed. The owner deletes their progress rows with its next write. After a failure
// the remaining rows stay until a later owner finds and deletes them.
func (s *Store) Delete(ctx context.Context, ids []core.JobID) error {
	byPart := map[int]*table.Txn{}
	for _, id := range ids {
		p := partOf(id)
		if byPart[p] == nil {
			byPart[p] = &table.Txn{}
		}
		byPart[p].Deletes = append(byPart[p].Deletes, jobKey(id), cancelKey(id))
	}
	for _, t := range byPart {
		if _, err := s.client.Write(ctx, *t); err != nil {
			return err
		}
	}
	return nil
}

// Changes reads the jobs and cancellations stored after a version. The next call
// continues from the Version of the result. The owner finds here the jobs of VMs that
// failed before they notified it.
func (s *Store) Changes(ctx context.Context, after uint64) (Snapshot, error) {
	out := Snapshot{Version: after}
	ch, err := s.client.Feed(ctx, table.FeedRequest{Table: jobTable, Version: after})
	if err != nil {
		return out, err
	}
	for _, r := range ch.Rows {
		if !r.Deleted {
			out.addJob(r)
		}
	}
	out.Version, out.Whole = max(ch.Version, after), len(ch.Rows) == 0
	return out, nil
}

// State returns the state of a job as clients see it, from the stored rows alone.
func (s *Store) State(ctx context.Context, id core.JobID) (jobs.State, error) {
	if s.Unreachable() {
		return "", s.unreachableError()
	}
	row, err := s.get(ctx, jobKey(id))
	if err != nil {
		return "", err
	}
	if row.Version == 0 {
		return "", core.Refuse(core.CodeUnknownJob, "there is no job %s", id)
	}
	prog, err := s.get(ctx, progressKey(id))
	if err != nil {
		return "", err
	}
	if prog.Version == 0 {
		return jobs.Queued, nil
	}
	var p jobs.Progress
	if err := decode(prog, &p); err != nil {
		return "", err
	}
	if p.State != "" {
		return p.State, nil
	}
	return jobs.Running, nil
}

// Cancel stores a cancellation. Cancelling a job again has no effect.
func (s *Store) Cancel(ctx context.Context, id core.JobID, now time.Time) error {
	row, err := s.get(ctx, jobKey(id))
	if err != nil {
		return err
	}
	if row.Version == 0 {
		return core.Refuse(core.CodeUnknownJob, "there is no job %s", id)
	}
	put, err := encode(cancelKey(id), now)
	if err != nil {
		return err
	}
	_, err = s.client.Write(ctx, table.Txn{Checks: []table.Check{{Key: cancelKey(id)}}, Puts: []table.Put{put}})
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		// The row exists, so the job has been cancelled before.
		return nil
	}
	return err
}
