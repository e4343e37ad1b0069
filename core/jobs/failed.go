package jobs

import (
	"maps"
	"slices"
)

// This file bounds what is kept of failed runs. They are stored in pages, so that no row grows
// with the number of tasks, and a page does not grow with the number of failures.

const (
	// pageTasks is the number of consecutive tasks whose failed runs form a page.
	pageTasks = 64
	// maxFailedRuns bounds the failed runs of a task that are kept by number: in decimal
	// digits a page with them takes at most 45 KB.
	maxFailedRuns = 32
)

// PageOf returns the page that holds the failed runs of the task at a position.
func PageOf(position int) int { return position / pageTasks }

// AddFailedRun adds a failed run of the task at a position in Done and reports whether it is
// new. Of a task with more than maxFailedRuns of them, a run older than those that are kept by
// number counts as known.
func (p *Progress) AddFailedRun(position int, run uint64) bool {
	runs := p.FailedRuns[position]
	i, known := slices.BinarySearch(runs, run)
	isFull := len(runs) >= maxFailedRuns
	if known || isFull && i == 0 {
		return false
	}
	if p.FailedRuns == nil {
		p.FailedRuns = map[int][]uint64{}
	}
	runs = slices.Insert(runs, i, run)
	if isFull {
		p.addOlderRuns(position, len(runs)-maxFailedRuns)
		runs = runs[len(runs)-maxFailedRuns:]
	}
	p.FailedRuns[position] = runs
	return true
}

// AddFailedRuns adds failed runs of the task at a position in Done, and a number of older ones.
func (p *Progress) AddFailedRuns(position int, runs []uint64, older int) {
	for _, run := range runs {
		p.AddFailedRun(position, run)
	}
	if older > 0 {
		p.addOlderRuns(position, older)
	}
}

func (p *Progress) addOlderRuns(position, n int) {
	if p.OlderRuns == nil {
		p.OlderRuns = map[int]int{}
	}
	p.OlderRuns[position] += n
}

// CountFailedRuns returns how many runs of the task at a position in Done have failed.
func (p *Progress) CountFailedRuns(position int) int {
	return len(p.FailedRuns[position]) + p.OlderRuns[position]
}

// FailedPages returns the pages that hold failed runs, in ascending order.
func (p *Progress) FailedPages() []int {
	pages := map[int]struct{}{}
	for position := range p.FailedRuns {
		pages[PageOf(position)] = struct{}{}
	}
	return slices.Sorted(maps.Keys(pages))
}

// Change returns a copy of the progress that holds of the failed runs only the given pages.
func (p *Progress) Change(pages []int) Progress {
	c := Progress{Job: p.Job, State: p.State, Done: slices.Clone(p.Done), Pages: pages}
	for _, page := range pages {
		c.copyPage(p, page)
	}
	return c
}

// Merge applies a change to the progress.
func (p *Progress) Merge(change *Progress) {
	p.Job = change.Job
	if change.State != "" || len(change.Done) > 0 {
		p.State, p.Done = change.State, slices.Clone(change.Done)
	}
	for _, page := range change.Pages {
		for position := page * pageTasks; position < (page+1)*pageTasks; position++ {
			delete(p.FailedRuns, position)
			delete(p.OlderRuns, position)
		}
		p.copyPage(change, page)
	}
}

// copyPage adds the failed runs of a page of another progress.
func (p *Progress) copyPage(from *Progress, page int) {
	for position := page * pageTasks; position < (page+1)*pageTasks; position++ {
		if runs := from.FailedRuns[position]; len(runs) > 0 {
			if p.FailedRuns == nil {
				p.FailedRuns = map[int][]uint64{}
			}
			p.FailedRuns[position] = slices.Clone(runs)
		}
		if n := from.OlderRuns[position]; n > 0 {
			p.addOlderRuns(position, n)
		}
	}
}

// Clone returns a deep copy.
func (p *Progress) Clone() Progress {
	c := Progress{Job: p.Job, State: p.State, Done: slices.Clone(p.Done), OlderRuns: maps.Clone(p.OlderRuns), Pages: slices.Clone(p.Pages)}
	if len(p.FailedRuns) > 0 {
		c.FailedRuns = make(map[int][]uint64, len(p.FailedRuns))
		for k, v := range p.FailedRuns {
			c.FailedRuns[k] = slices.Clone(v)
		}
	}
	return c
}
