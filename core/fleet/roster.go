package fleet

import (
	"strings"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/jobs"
)

const (
	// accountDelay is the silence of a worker after which its roster entry names the
	// tasks that may run there. Most silences are one lost answer and end sooner.
	accountDelay = time.Second
	// maxEntryText bounds the bytes of such an entry's texts: the worker's service and
	// labels and the IDs of the tasks. 64 entries share a row of 64 KiB.
	maxEntryText = 400
)

// RosterEntry is a worker of the stored roster: earlier owners may have started runs there.
type RosterEntry struct {
	WorkerInfo
	// Since is the epoch of the owner that has added the worker while an earlier owner
	// might still have acted; 0 for all others.
	Since core.Epoch `json:",omitempty"`
	// Silent is set if the worker did not answer the owner that stored the entry. No
	// other tasks than those in Runs can be active there or have ended there unrecorded.
	Silent bool          `json:",omitempty"`
	Runs   []jobs.TaskID `json:",omitempty"`
}

// RestoreRoster adds the workers of the stored roster, which earlier owners may
// have used.
func (s *Scheduler) RestoreRoster(entries []RosterEntry) {
	for _, e := range entries {
		if s.workers[e.ID()] == nil {
			w := s.addWorker(e.ID(), e.WorkerInfo)
			w.inherited, w.accounted, w.accountedRuns = true, e.Silent, e.Runs
			w.since, w.inQuorum = e.Since, true
			s.authority.inherit(e.Since)
			s.reach.inherited++
		}
	}
	s.authority.settledAt = time.Time{}
	s.authority.rosterStored(entries)
}

// RosterVersion returns a number that changes whenever the roster does.
func (s *Scheduler) RosterVersion() uint64 { return s.rosterVersion }

// Roster returns the workers that must report to a later owner before it starts
// tasks that this owner may have started, and the version of this roster. It lacks
// the workers whose runs have certainly ended.
func (s *Scheduler) Roster() ([]RosterEntry, uint64) {
	out := make([]RosterEntry, 0, len(s.sortedWorkers))
	for _, w := range s.sortedWorkers {
		if w.state != workerLapsed {
			out = append(out, RosterEntry{WorkerInfo: w.info, Since: w.since, Silent: w.accounted, Runs: w.accountedRuns})
		}
	}
	s.authority.rosterStaged(out)
	return out, s.rosterVersion
}

// changeRoster records that the worker's entry in the roster must be written anew, or that
// it has none any longer: a roster that is being written does not count for it.
func (w *Worker) changeRoster() {
	w.scheduler.rosterVersion++
	w.inRoster, w.rosterSince = false, w.scheduler.rosterVersion
}

// leaveQuorum excludes the worker from the quorum until the next version of the roster is
// stored.
func (w *Worker) leaveQuorum() {
	w.inQuorum, w.quorumSince = false, w.scheduler.rosterVersion+1
}

// RosterStored records which incarnations of workers are in the stored roster of a version.
// Tasks are placed on no others: an owner that does not know that it has been
// replaced can store nothing, and so uses no worker that its successor does not
// know.
func (s *Scheduler) RosterStored(roster []RosterEntry, version uint64) {
	s.authority.rosterStored(roster)
	stored := make(map[core.WorkerID]time.Time, len(roster))
	for _, e := range roster {
		stored[e.ID()] = e.Incarnation
	}
	for _, w := range s.sortedWorkers {
		incarnation, ok := stored[w.id]
		isStored := ok && incarnation.Equal(w.info.Incarnation)
		w.inRoster = isStored && version >= w.rosterSince
		w.inQuorum = isStored && version >= w.quorumSince
	}
	s.needsPlacement = true
}

// accountForSilent names the tasks that may run on workers that have been silent for
// accountDelay in their roster entries, so that a later owner holds back only these for
// them.
func (s *Scheduler) accountForSilent() {
	for _, w := range s.sortedWorkers {
		if w.accounted || w.state != workerSilent || s.now.Sub(w.silentSince) < accountDelay {
			continue
		}
		if runs, ok := w.possibleRuns(); ok {
			w.accounted, w.accountedRuns = true, runs
			w.changeRoster()
		}
	}
}

// possibleRuns returns all tasks that may run on a silent worker, or have ended there
// unrecorded. It reports false if they are not known or too many for the roster.
func (w *Worker) possibleRuns() ([]jobs.TaskID, bool) {
	if w.ackableSeq > w.scheduler.storedSeq || len(w.unknownRuns) > 0 || w.hidesEnds || !w.blockedSince.IsZero() {
		return nil, false
	}
	var out []jobs.TaskID
	for _, t := range w.sortedTasks() {
		out = append(out, t.ID())
	}
	for _, o := range w.orphans {
		out = append(out, o.task)
	}
	size := len(w.info.Service) + len(strings.Join(w.info.Labels, ""))
	for _, id := range out {
		size += len(id.String())
	}
	return out, size <= maxEntryText
}

// endAccount withdraws what the worker's roster entry says of its runs, as it answers.
func (w *Worker) endAccount() {
	if w.accounted {
		w.accounted, w.accountedRuns = false, nil
		w.changeRoster()
	}
}
