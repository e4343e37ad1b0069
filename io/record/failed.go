package record

import (
	"context"
	"slices"
	"strings"

	"golang.org/x/sync/errgroup"

	"chicoryturn/core"
	"chicoryturn/core/jobs"
	"chicoryturn/io/table"
)

// This file stores the failed runs of jobs, in pages of consecutive tasks beside the rows of
// the progress. The rows of earlier builds hold them themselves.

// failedPage is one row of a job's failed runs.
type failedPage struct {
	Job  core.JobID
	Page int
	// Fails and Older are FailedRuns and OlderRuns of jobs.Progress for the tasks of the page.
	Fails map[int][]uint64
	Older map[int]int `json:",omitempty"`
}

// addProgressRows adds the rows that store a change of a job's progress, and returns the rows
// that it deletes: a job that has ended needs its failed runs no longer.
func addProgressRows(rows map[table.Key]any, change jobs.Progress) (deletes []table.Key) {
	for _, page := range change.Pages {
		k := failedKey(change.Job, page)
		if p := change.Change([]int{page}); len(p.FailedRuns) > 0 && !change.State.Final() {
			rows[k] = failedPage{change.Job, page, p.FailedRuns, p.OlderRuns}
		} else {
			deletes = append(deletes, k)
		}
	}
	if len(change.Pages) == 0 || change.State != "" || len(change.Done) > 0 {
		rows[progressKey(change.Job)] = jobs.Progress{Job: change.Job, State: change.State, Done: change.Done}
	}
	return deletes
}

// jobOfProgress returns the job whose progress or failed runs a row holds, or "".
func jobOfProgress(k table.Key) core.JobID {
	switch k.Table {
	case progressTable:
		return core.JobID(k.Name)
	case failedTable:
		id, _, _ := strings.Cut(k.Name, "/")
		return core.JobID(id)
	}
	return ""
}

// decodeFailedPage decodes a row of failed runs into the progress of a job that has nothing else.
func decodeFailedPage(row table.Row) (jobs.Progress, error) {
	var page failedPage
	if err := decode(row, &page); err != nil {
		return jobs.Progress{}, err
	}
	p := jobs.Progress{Job: page.Job, FailedRuns: page.Fails, OlderRuns: page.Older, Pages: []int{page.Page}}
	if failedKey(page.Job, page.Page).Name != row.Name || slices.ContainsFunc(p.FailedPages(), func(i int) bool { return i != page.Page }) {
		return p, &table.FormatError{Subject: row.Table + "/" + row.Name, Err: &NameError{string(page.Job)}}
	}
	return p, nil
}

// addFailed adds the rows of failed runs to the progress in the snapshot, unless the job is
// in unread. It adds the jobs to unread for which limit bytes are too few; 0 is no limit.
func (s *Snapshot) addFailed(rows []table.Row, unread core.Set[core.JobID], limit int64) {
	used := int64(0)
	for _, row := range rows {
		page, err := decodeFailedPage(row)
		used += progressBytes(&page)
		switch {
		case err != nil:
			s.RowErrors = append(s.RowErrors, err)
			s.Unreadable = append(s.Unreadable, jobOfProgress(row.Key))
		case unread.Has(page.Job):
		case limit > 0 && used > limit && !s.Progress[page.Job].State.Final():
			unread.Add(page.Job)
			delete(s.Progress, page.Job)
		default:
			s.mergeFailed(page)
		}
	}
}

// mergeFailed adds a page of failed runs to the progress of its job. If the row of an earlier
// build holds failed runs, too, those of both count. Of a job that has ended the runs remain to be
// deleted.
func (s *Snapshot) mergeFailed(page jobs.Progress) {
	p, ok := s.Progress[page.Job]
	if !ok {
		p.Job = page.Job
	}
	if len(p.Pages) == 0 {
		p.Merge(&page)
	} else {
		for position, runs := range page.FailedRuns {
			p.AddFailedRuns(position, runs, page.OlderRuns[position])
		}
	}
	s.Progress[page.Job] = p
}

// jobRows reads the rows of the progress and of the failed runs of a job.
func (s *Store) jobRows(ctx context.Context, id core.JobID) (progress table.Row, failed []table.Row, err error) {
	var g errgroup.Group
	g.Go(func() (err error) {
		progress, err = s.get(ctx, progressKey(id))
		return err
	})
	g.Go(func() error {
		in := table.Range{Table: failedTable, Part: fleetPart, From: string(id) + "/", To: string(id) + "0"}
		_, err := scan(ctx, s.client, in, func(row table.Row) { failed = append(failed, row) })
		return err
	})
	err = g.Wait()
	return progress, failed, err
}

// addStored adds the rows of a job's progress. It reports whether all could be decoded.
func (s *Snapshot) addStored(progress table.Row, failed []table.Row) bool {
	if progress.Version > 0 && !s.addProgress(progress) {
		return false
	}
	for _, row := range failed {
		page, err := decodeFailedPage(row)
		if err != nil {
			s.RowErrors = append(s.RowErrors, err)
			return false
		}
		s.mergeFailed(page)
	}
	return true
}

// sortFailedRuns brings the failed runs of a row of an earlier build into their order, and
// marks their pages as not stored.
func sortFailedRuns(p *jobs.Progress) {
	runs := p.FailedRuns
	p.FailedRuns = nil
	for position := range runs {
		p.AddFailedRuns(position, runs[position], 0)
	}
	if !p.State.Final() {
		p.Pages = p.FailedPages()
	}
}
