package fleet

import (
	"slices"

	"chicoryturn/core"
	"chicoryturn/core/jobs"
)

// maxScannedRuns is up to how many runs a runSet is searched one by one, which is faster than an
// index for the lists of most workers.
const maxScannedRuns = 16

// runID names a run.
type runID struct {
	task jobs.TaskID
	run  uint64
}

// runSet is a set of runs that is used again for each answer.
type runSet struct {
	runs []runID
	// index holds the runs if there are more than maxScannedRuns; otherwise it is nil.
	index core.Set[runID]
}

func (s *runSet) reset() { s.runs, s.index = s.runs[:0], nil }

func (s *runSet) add(r runID) {
	s.runs = append(s.runs, r)
	switch {
	case s.index != nil:
		s.index.Add(r)
	case len(s.runs) > maxScannedRuns:
		s.index = make(core.Set[runID], 2*len(s.runs))
		for _, other := range s.runs {
			s.index.Add(other)
		}
	}
}

func (s *runSet) has(r runID) bool {
	if s.index != nil {
		return s.index.Has(r)
	}
	// Most runs differ in their index.
	return slices.ContainsFunc(s.runs, func(other runID) bool { return other.task.Index == r.task.Index && other == r })
}
