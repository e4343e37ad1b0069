// Package record lays out in the platform's table what the product records: the
// accepted jobs and cancellations by name, and the owner's seat with the
// progress of jobs and the roster of workers in one partition, so that every
// record of an owner depends on its seat.
package record

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"chicoryturn/core"
	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/io/table"
)

const (
	jobTable      = "job"
	fleetTable    = "fleet"
	progressTable = "progress"
	// cancelSuffix marks the row of a cancellation, beside that of its job.
	cancelSuffix = "/cancel"
	// fleetPart holds all that an owner writes.
	fleetPart = "fleet"
	ownerName = "seat"
	// rosterName begins the names of the rows that list the workers in use, each
	// with rosterPart of them: a row holds at most 64 KiB.
	rosterName     = "roster"
	rosterPageSize = 64
	// maxRowBytes bounds the value of a row, in bytes; the platform's own bound is
	// 65,536.
	maxRowBytes = 64 << 10
	// jobParts divides the jobs by name. A partition takes its transactions one
	// after another, in 8 ms each, and in some 80 times as long when the store is
	// slow: 256 then carry 400 jobs a second, each from another VM.
	jobParts = 256
	// clientRetryAfter is when a client that was refused should come back: clients come
	// back through any VM, and most cuts spare some.
	clientRetryAfter = time.Second
	// maxParallelReads bounds the partitions read side by side.
	maxParallelReads = 32
)

// Reachability tells whether the table can be reached.
type Reachability interface {
	Unreachable() bool
}

// progressRangeStarts divide the names of jobs into ranges that are read side by side;
// names are mostly hexadecimal.
var progressRangeStarts = [...]string{"", "1", "2", "3", "4", "5", "6", "7", "8", "9", "a", "b", "c", "d", "e", "f"}

// Store reads and writes the product's rows.
type Store struct {
	client       table.Client
	reachability Reachability

	// writerStarts names the partitions whose writers must begin.
	writerStarts chan int
	// mu guards all below.
	mu sync.Mutex
	// unconfirmed holds since when jobs may have been recorded that clients were told
	// are not known to be.
	unconfirmed map[core.JobID]time.Time
	queues      [jobParts]partQueue
	// closed is set once Run has, and nothing is written any more.
	closed bool
}

// Option changes a vault under construction.
type Option func(*Store)

// WithReach has calls of clients refused at once while the store cannot be
// reached.
func WithReach(r Reachability) Option { return func(v *Store) { v.reachability = r } }

// New returns a vault over a store. Run must be called for jobs to be accepted.
func New(s table.Client, opts ...Option) *Store {
	v := &Store{client: s, writerStarts: make(chan int, jobParts), unconfirmed: map[core.JobID]time.Time{}}
	for _, o := range opts {
		o(v)
	}
	return v
}

// Unreachable reports whether the store cannot be reached.
func (v *Store) Unreachable() bool { return v.reachability != nil && v.reachability.Unreachable() }

// unreachableError returns the refusal of a call that would only wait for a store that
// cannot be reached; clients come back through other VMs.
func (v *Store) unreachableError() *core.RefusalError {
	r := core.Refuse(core.CodeStore, "this VM does not reach the store")
	r.RetryAfter = clientRetryAfter
	return r
}

// Refused reports whether a call surely had no effect.
func Refused(err error) bool {
	var r *table.RefusedError
	return errors.As(err, &r)
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

func ownerKey() table.Key {
	return table.Key{Table: fleetTable, Part: fleetPart, Name: ownerName}
}

func rosterKey(page int) table.Key {
	return table.Key{Table: fleetTable, Part: fleetPart, Name: fmt.Sprintf("%s/%04d", rosterName, page)}
}

// rosterPage is one row of the list of workers in use.
type rosterPage struct {
	// Pages is how many rows the list has; later ones are of an older list.
	Pages   int
	Workers []fleet.WorkerInfo `json:"Hosts"`
}

func partName(i int) string { return "p" + strconv.Itoa(i) }

func encode(k table.Key, val any) (table.Put, error) {
	text, err := json.Marshal(val)
	if err != nil {
		return table.Put{}, &table.FormatError{What: k.Table + "/" + k.Name, Err: err}
	}
	return table.Put{Key: k, Val: text}, nil
}

func decode(r table.Row, val any) error {
	if err := json.Unmarshal(r.Val, val); err != nil {
		return &table.FormatError{What: r.Table + "/" + r.Name, Err: err}
	}
	return nil
}

// get reads one row; version 0 means that there is none.
func (v *Store) get(ctx context.Context, k table.Key) (table.Row, error) {
	r, _, err := v.getWithClock(ctx, k)
	return r, err
}

// getWithClock reads one row, and the store's clock.
func (v *Store) getWithClock(ctx context.Context, k table.Key) (table.Row, time.Duration, error) {
	p, err := v.client.Read(ctx, table.Range{Table: k.Table, Part: k.Part, From: k.Name, To: k.Name + "\x01", Limit: 1})
	if err != nil || len(p.Rows) == 0 {
		return table.Row{}, p.Now, err
	}
	return p.Rows[0], p.Now, nil
}

// OwnerRecord reads the owner's row.
func (v *Store) OwnerRecord(ctx context.Context) (elect.Observation, error) {
	r, now, err := v.getWithClock(ctx, ownerKey())
	l := elect.Observation{Version: r.Version, Clock: now}
	if err != nil || r.Version == 0 {
		return l, err
	}
	return l, decode(r, &l.Record)
}

// OwnerWrite is one write of an owner.
type OwnerWrite struct {
	Record elect.Record
	// Version is that of the row that Seat replaces.
	Version  uint64
	Progress []jobs.Progress
	// Deletes are jobs whose progress is deleted.
	Deletes []core.JobID
	// Roster is written if it is not nil.
	Roster []fleet.WorkerInfo
}

// Write stores a record on the condition that the seat has not changed.
func (v *Store) Write(ctx context.Context, r OwnerWrite) (table.Done, error) {
	t := table.Txn{Checks: []table.Check{{Key: ownerKey(), Version: r.Version}}}
	rows := map[table.Key]any{ownerKey(): r.Record}
	if r.Roster != nil {
		pages := slices.Collect(slices.Chunk(r.Roster, rosterPageSize))
		for i, hosts := range pages {
			rows[rosterKey(i)] = rosterPage{len(pages), hosts}
		}
		if len(pages) == 0 {
			rows[rosterKey(0)] = rosterPage{}
		}
	}
	for _, p := range r.Progress {
		rows[progressKey(p.Job)] = p
	}
	for k, val := range rows {
		p, err := encode(k, val)
		if err != nil {
			return table.Done{}, err
		}
		t.Puts = append(t.Puts, p)
	}
	for _, id := range r.Deletes {
		t.Deletes = append(t.Deletes, progressKey(id))
	}
	return v.client.Write(ctx, t)
}

// Delete deletes the rows of jobs that nobody may ask for any more, but for
// their progress, which an owner's next record drops. What fails is left; a
// later owner finds it again.
func (v *Store) Delete(ctx context.Context, ids []core.JobID) error {
	byPart := map[int]*table.Txn{}
	for _, id := range ids {
		p := partOf(id)
		if byPart[p] == nil {
			byPart[p] = &table.Txn{}
		}
		byPart[p].Deletes = append(byPart[p].Deletes, jobKey(id), cancelKey(id))
	}
	for _, t := range byPart {
		if _, err := v.client.Write(ctx, *t); err != nil {
			return err
		}
	}
	return nil
}

// Snapshot is all that a new owner takes over.
type Snapshot struct {
	Specs     []jobs.Spec
	Progress  map[core.JobID]jobs.Progress
	Cancelled []core.JobID
	Roster    []fleet.WorkerInfo
	// Version is where the feed of news goes on.
	Version uint64
	// RowErrors are rows that could not be read; they are left out.
	RowErrors []error
}

// Load reads all that is recorded. The partitions are read side by side; the
// progress is read after the jobs, so that a job without progress had none.
func (v *Store) Load(ctx context.Context) (*Snapshot, error) {
	out := &Snapshot{Progress: map[core.JobID]jobs.Progress{}}
	var found [jobParts]Snapshot
	g, sub := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelReads)
	for p := range jobParts {
		g.Go(func() error {
			var err error
			found[p].Version, err = v.scan(sub, table.Range{Table: jobTable, Part: partName(p)}, found[p].addJob)
			return err
		})
	}
	g.Go(func() error {
		var err error
		out.Roster, err = v.roster(sub)
		return err
	})
	if err := g.Wait(); err != nil {
		return nil, err
	}
	out.Version = found[0].Version
	for _, f := range found {
		out.Specs = append(out.Specs, f.Specs...)
		out.Cancelled = append(out.Cancelled, f.Cancelled...)
		out.RowErrors = append(out.RowErrors, f.RowErrors...)
		out.Version = min(out.Version, f.Version)
	}
	var progress [len(progressRangeStarts)]Snapshot
	g, sub = errgroup.WithContext(ctx)
	for i, from := range progressRangeStarts {
		to := ""
		if i+1 < len(progressRangeStarts) {
			to = progressRangeStarts[i+1]
		}
		progress[i].Progress = map[core.JobID]jobs.Progress{}
		g.Go(func() error {
			_, err := v.scan(sub, table.Range{Table: progressTable, Part: fleetPart, From: from, To: to}, progress[i].addProgress)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	for _, p := range progress {
		maps.Copy(out.Progress, p.Progress)
		out.RowErrors = append(out.RowErrors, p.RowErrors...)
	}
	return out, nil
}

// roster reads the list of workers in use.
func (v *Store) roster(ctx context.Context) ([]fleet.WorkerInfo, error) {
	p, err := v.client.Read(ctx, table.Range{Table: fleetTable, Part: fleetPart, From: rosterName, To: rosterName + "0"})
	if err != nil {
		return nil, err
	}
	var out []fleet.WorkerInfo
	pages := 0
	for i, row := range p.Rows {
		var page rosterPage
		if err := decode(row, &page); err != nil {
			return nil, err
		}
		if i == 0 {
			pages = page.Pages
		}
		if i < pages {
			out = append(out, page.Workers...)
		}
	}
	return out, nil
}

// addJob takes in a row of the table of jobs: a job or a cancellation.
func (r *Snapshot) addJob(row table.Row) {
	if id, ok := strings.CutSuffix(row.Name, cancelSuffix); ok {
		r.Cancelled = append(r.Cancelled, core.JobID(id))
		return
	}
	var s jobs.Spec
	if err := decode(row, &s); err != nil {
		r.RowErrors = append(r.RowErrors, err)
		return
	}
	r.Specs = append(r.Specs, s)
}

func (r *Snapshot) addProgress(row table.Row) {
	var p jobs.Progress
	if err := decode(row, &p); err != nil {
		r.RowErrors = append(r.RowErrors, err)
		return
	}
	r.Progress[p.Job] = p
}

// scan reads all rows of a range and returns the version from which its feed
// misses nothing.
func (v *Store) scan(ctx context.Context, in table.Range, each func(table.Row)) (uint64, error) {
	first := uint64(0)
	for {
		p, err := v.client.Read(ctx, in)
		if err != nil {
			return 0, err
		}
		if first == 0 {
			first = p.Version
		}
		for _, r := range p.Rows {
			each(r)
		}
		if !p.More || len(p.Rows) == 0 {
			return first, nil
		}
		in.From = p.Rows[len(p.Rows)-1].Name + "\x01"
	}
}

// Changes reads the jobs and cancellations recorded since a version; those that
// come back go on from its own. It catches what a VM that has died meanwhile
// could not tell.
func (v *Store) Changes(ctx context.Context, after uint64) (Snapshot, error) {
	out := Snapshot{Version: after}
	ch, err := v.client.Feed(ctx, table.Since{Table: jobTable, Version: after})
	if err != nil {
		return out, err
	}
	for _, r := range ch.Rows {
		if !r.Deleted {
			out.addJob(r)
		}
	}
	out.Version = max(ch.Version, after)
	return out, nil
}

// State reads how a job is to be shown, from the record alone.
func (v *Store) State(ctx context.Context, id core.JobID) (jobs.State, error) {
	if v.Unreachable() {
		return "", v.unreachableError()
	}
	row, err := v.get(ctx, jobKey(id))
	if err != nil {
		return "", err
	}
	if row.Version == 0 {
		return "", core.Refuse(core.CodeNoJob, "there is no job %s", id)
	}
	prog, err := v.get(ctx, progressKey(id))
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

// Cancel records a cancellation.
func (v *Store) Cancel(ctx context.Context, id core.JobID, now time.Time) error {
	row, err := v.get(ctx, jobKey(id))
	if err != nil {
		return err
	}
	if row.Version == 0 {
		return core.Refuse(core.CodeNoJob, "there is no job %s", id)
	}
	put, err := encode(cancelKey(id), now)
	if err != nil {
		return err
	}
	_, err = v.client.Write(ctx, table.Txn{Checks: []table.Check{{Key: cancelKey(id)}}, Puts: []table.Put{put}})
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		// The row exists: the job has been cancelled before.
		return nil
	}
	return err
}
