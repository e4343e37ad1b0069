package record

import (
	"context"
	"slices"
	"strings"
	"sync"

	"golang.org/x/sync/errgroup"

	"chicoryturn/core"
	"chicoryturn/core/budget"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/load"
	"chicoryturn/io/table"
)

// failedRunBytes is what a failed run takes in memory.
const failedRunBytes = 64

// Snapshot holds the stored state, or the changes to it since a version.
type Snapshot struct {
	// Specs are the jobs that fit into memory, Parked the others. Of the jobs that have
	// ended Specs lacks the payload.
	Specs  []jobs.Spec
	Parked []fleet.Stub
	// Progress is that of Specs; of the jobs that have ended it holds the state alone.
	Progress map[core.JobID]jobs.Progress
	// Unreadable are the stored jobs of which the progress cannot be decoded. They are in
	// none of the fields above, as their tasks might run again.
	Unreadable []core.JobID
	Cancelled  []core.JobID
	Roster     []fleet.RosterEntry
	// RosterErrors holds one error for each row of the roster that could not be decoded.
	// Earlier owners may have used workers that Roster lacks.
	RosterErrors []error
	// Version is the version from which Changes continues. Nothing up to it is missing.
	Version uint64
	// Whole is set by Changes if it has read all changes up to the time of the call. An
	// answer with rows may be a part of them.
	Whole bool
	// RowErrors holds one error for each row that could not be decoded.
	RowErrors []error
	// filter selects the jobs of a load; nil keeps all of them.
	filter *filter
}

// filter keeps the jobs of a load that fit into memory, and parks the others.
type filter struct {
	mu     sync.Mutex
	budget *budget.Budget
}

func (f *filter) keep(s *Snapshot, spec *jobs.Spec) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if bytes := spec.Bytes(); f.budget.AdmitsOne(spec.Team, bytes) {
		f.budget.Charge(spec.Team, bytes)
		return true
	}
	s.Parked = append(s.Parked, fleet.NewStub(spec))
	return false
}

// Load reads the whole stored state. It reads partitions in parallel. It charges the jobs to
// a budget and parks those that it does not admit. It reads the progress after the jobs, so
// that a job without progress in the snapshot had none when the job was read. A page that
// cannot be read is read again; the error is that of the last of these reads.
func (s *Store) Load(ctx context.Context, b *budget.Budget) (*Snapshot, error) {
	out := &Snapshot{Progress: map[core.JobID]jobs.Progress{}}
	f := &filter{budget: b}
	found := make([]Snapshot, jobParts)
	pages := newPace(s.client)
	g, sub := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelReads)
	for p := range jobParts {
		found[p].filter = f
		g.Go(func() error {
			var err error
			found[p].Version, err = scan(sub, pages, table.Range{Table: jobTable, Part: partName(p)}, found[p].addJob)
			return err
		})
	}
	g.Go(func() error {
		rows, damaged, err := roster(sub, pages)
		out.Roster, out.RosterErrors = slices.Concat(rows...), damaged
		s.mu.Lock()
		s.loadedRoster = rows
		s.mu.Unlock()
		return err
	})
	if err := g.Wait(); err != nil {
		return nil, err
	}
	out.Version = found[0].Version
	for _, p := range found {
		out.Specs = append(out.Specs, p.Specs...)
		out.Parked = append(out.Parked, p.Parked...)
		out.Cancelled = append(out.Cancelled, p.Cancelled...)
		out.RowErrors = append(out.RowErrors, p.RowErrors...)
		out.Version = min(out.Version, p.Version)
	}
	unread, err := loadProgress(ctx, pages, out, b.Limit())
	if err != nil {
		return nil, err
	}
	out.applyProgress(unread, b.Limit() > 0)
	return out, nil
}

// applyProgress drops the jobs whose progress is unreadable, parks those whose progress is
// unread, marks the parked ones that have begun or ended, and, if memory is limited, drops what
// an ended job no longer needs.
func (s *Snapshot) applyProgress(unread core.Set[core.JobID], limited bool) {
	unreadable := core.NewSet(s.Unreadable...)
	s.Specs = slices.DeleteFunc(s.Specs, func(spec jobs.Spec) bool { return unreadable.Has(spec.ID) })
	s.Parked = slices.DeleteFunc(s.Parked, func(stub fleet.Stub) bool { return unreadable.Has(stub.ID) })
	s.Specs = slices.DeleteFunc(s.Specs, func(spec jobs.Spec) bool {
		if unread.Has(spec.ID) {
			s.Parked = append(s.Parked, fleet.NewStub(&spec))
		}
		return unread.Has(spec.ID)
	})
	for i, spec := range s.Specs {
		if limited && s.Progress[spec.ID].State.Final() {
			s.Specs[i].Payload = ""
		}
	}
	for i, stub := range s.Parked {
		recorded, started := s.Progress[stub.ID]
		s.Parked[i].Started = started || unread.Has(stub.ID)
		s.Parked[i].Ended = recorded.State.Final()
		delete(s.Progress, stub.ID)
	}
}

// loadProgress reads the progress of all jobs with their failed runs. That of jobs that have
// not ended takes at most limit bytes, 0 for any number; the others are in unread. Of jobs
// that have ended it keeps the state alone, if there is a limit.
func loadProgress(ctx context.Context, pages reader, out *Snapshot, limit int64) (unread core.Set[core.JobID], _ error) {
	var mu sync.Mutex
	used := int64(0)
	unread = core.Set[core.JobID]{}
	g, sub := errgroup.WithContext(ctx)
	var failed []table.Row
	g.Go(func() error {
		_, err := scan(sub, pages, table.Range{Table: failedTable, Part: fleetPart}, func(row table.Row) { failed = append(failed, row) })
		return err
	})
	for i, from := range progressRangeStarts {
		to := ""
		if i+1 < len(progressRangeStarts) {
			to = progressRangeStarts[i+1]
		}
		g.Go(func() error {
			_, err := scan(sub, pages, table.Range{Table: progressTable, Part: fleetPart, From: from, To: to}, func(row table.Row) {
				p, err := decodeProgress(row)
				mu.Lock()
				defer mu.Unlock()
				switch size := progressBytes(&p); {
				case err != nil:
					out.RowErrors = append(out.RowErrors, err)
					out.Unreadable = append(out.Unreadable, core.JobID(row.Name))
				case limit > 0 && p.State.Final():
					out.Progress[p.Job] = jobs.Progress{Job: p.Job, State: p.State}
				case limit > 0 && used+size > limit:
					unread.Add(p.Job)
				default:
					used += size
					out.Progress[p.Job] = p
				}
			})
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	if limit > 0 {
		limit = max(limit-used, 1)
	}
	out.addFailed(failed, unread, limit)
	return unread, nil
}

// progressBytes returns about what the progress of a job takes in memory.
func progressBytes(p *jobs.Progress) int64 {
	n := len(p.Done)
	for _, runs := range p.FailedRuns {
		n += failedRunBytes + 8*len(runs)
	}
	return int64(n)
}

// Jobs reads single jobs with their progress. The result lacks those that are not stored and
// those whose progress cannot be decoded.
func (s *Store) Jobs(ctx context.Context, ids []core.JobID) (*Snapshot, error) {
	out := &Snapshot{Progress: map[core.JobID]jobs.Progress{}}
	var mu sync.Mutex
	g, sub := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelReads)
	for _, id := range ids {
		g.Go(func() error {
			progress, failed, err := s.jobRows(sub, id)
			if err != nil {
				return err
			}
			row, err := s.get(sub, jobKey(id))
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			if !out.addStored(progress, failed) {
				delete(out.Progress, id)
				return nil
			}
			if row.Version > 0 {
				out.addJob(row)
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return out, nil
}

// Find returns the stored job that a call repeats, if there is one. A job of another team or
// queue with the same name is a RefusalError.
func (s *Store) Find(ctx context.Context, spec jobs.Spec) (stored jobs.Spec, found bool, err error) {
	row, err := s.get(ctx, jobKey(spec.ID))
	switch {
	case err != nil:
		return jobs.Spec{}, false, err
	case row.Version > 0:
		r := (&pendingJob{spec: spec}).resolveConflict(row)
		return r.spec, r.err == nil, r.err
	case s.maybeStored(spec.ID):
		return jobs.Spec{}, false, load.StoreSilent.Refuse(nil, "an earlier call may have stored the job")
	}
	return jobs.Spec{}, false, nil
}

// addJob adds a row of the job table, which is a job or a cancellation.
func (s *Snapshot) addJob(row table.Row) {
	if id, ok := strings.CutSuffix(row.Name, cancelSuffix); ok {
		s.Cancelled = append(s.Cancelled, core.JobID(id))
		return
	}
	var spec jobs.Spec
	if err := decode(row, &spec); err != nil {
		s.RowErrors = append(s.RowErrors, err)
		return
	}
	if string(spec.ID) != row.Name {
		s.RowErrors = append(s.RowErrors, &table.FormatError{Subject: row.Table + "/" + row.Name, Err: &NameError{string(spec.ID)}})
		return
	}
	if s.filter == nil || s.filter.keep(s, &spec) {
		s.Specs = append(s.Specs, spec)
	}
}

// addProgress adds a row of the progress table. It reports whether the row could be decoded.
func (s *Snapshot) addProgress(row table.Row) bool {
	p, err := decodeProgress(row)
	if err != nil {
		s.RowErrors = append(s.RowErrors, err)
		return false
	}
	s.Progress[p.Job] = p
	return true
}

// decodeProgress decodes a row of the progress table.
func decodeProgress(row table.Row) (jobs.Progress, error) {
	var p jobs.Progress
	if err := decode(row, &p); err != nil {
		return p, err
	}
	if string(p.Job) != row.Name {
		return p, &table.FormatError{Subject: row.Table + "/" + row.Name, Err: &NameError{string(p.Job)}}
	}
	sortFailedRuns(&p)
	return p, nil
}

// reader reads pages of rows.
type reader interface {
	Read(ctx context.Context, r table.Range) (table.Page, error)
}

// scan calls add with each row of a range, page by page. It returns the version of the
// first page, after which the feed holds every change that the scan may have missed.
func scan(ctx context.Context, client reader, in table.Range, add func(table.Row)) (uint64, error) {
	first := uint64(0)
	for {
		p, err := client.Read(ctx, in)
		if err != nil {
			return 0, err
		}
		if first == 0 {
			first = p.Version
		}
		for _, r := range p.Rows {
			add(r)
		}
		var more bool
		if in, more, err = p.Rest(in); err != nil || !more {
			return first, err
		}
	}
}
