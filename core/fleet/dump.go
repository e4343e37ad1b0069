package fleet

import (
	"cmp"
	"slices"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/jobs"
	"chicoryturn/core/policy"
)

// Dump is the scheduler's state for operators.
type Dump struct {
	Epoch core.Epoch
	// Confirmed is the age of the last confirmation of the ownership record, Unreached
	// the number of workers of earlier owners that this owner still waits for.
	Confirmed string
	Unreached int
	// Settled is set once every worker that an earlier owner may have used has
	// reported.
	Settled bool
	// Evacuated holds the evacuated zones, each with the version of its row.
	Evacuated policy.Zones `json:",omitempty"`
	Counts    Counts
	Used      map[core.Team]core.Resources
	Memory    MemoryUse
	Workers   []WorkerDump
	// Jobs holds the jobs that have not ended, the oldest first.
	Jobs []JobDump
}

// WorkerDump is the state of one worker.
type WorkerDump struct {
	Worker core.WorkerID
	State  string
	// Room is the worker's capacity, Free the part of it that is not in use.
	Room, Free core.Resources
	// Tasks counts the tasks placed on the worker, Strays the orphaned runs.
	Tasks, Strays     int
	Leaving, SetAside bool
	// Usable is set if tasks may be placed on the worker, Recorded if it is in
	// the stored roster.
	Usable, Recorded bool
	// Unreached is set while an earlier owner's worker has not answered this owner and
	// its runs have not certainly ended.
	Unreached bool
	// Hides is set while runs of earlier owners may have ended there that no list has named.
	Hides bool
	// Foreign counts the runs of unknown jobs.
	Foreign int
	// Heard is the time since the worker's last answer.
	Heard string
	// Incarnation is the worker's incarnation, Entry the one that its entry in the list is of.
	Incarnation, Entry time.Time
	// Taken is the number of the newest end handled, Acked that of the newest
	// end acknowledged.
	Taken, Acked uint64
	// Slow is the mean logarithm of actual over predicted run time.
	Slow float64
}

// JobDump is the state of one job that has not ended.
type JobDump struct {
	Job   core.JobID
	Team  core.Team
	Queue core.Queue
	State string
	Age   string
	// Left counts the occurrences that are not complete, Built those of them that hold
	// tasks in memory. Due is when the next one becomes due, empty if there is none.
	Left, Built int
	Due         string `json:",omitempty"`
	// Unnamed is set while the configuration does not name the job's queue.
	Unnamed bool `json:",omitempty"`
	Phases  []PhaseDump
}

// PhaseDump is the state of one open phase of a job.
type PhaseDump struct {
	Phase jobs.PhaseID
	// Left counts the tasks that have not succeeded, Live those that hold room
	// on a worker, Idle those that wait for placement.
	Left, Live, Idle int
	Gang             bool
	// Allowed counts the workers that may run the phase, Ready those of them
	// whose tickets are valid.
	Allowed, Ready int
	// Asking is set while an advice request is unanswered.
	Asking bool
}

// Dump returns the scheduler's state.
func (s *Scheduler) Dump() *Dump {
	d := &Dump{Epoch: s.epoch, Confirmed: s.recordAge().Round(time.Millisecond).String(), Unreached: s.Unreached(), Settled: s.allReported, Evacuated: s.evacuation.zones, Counts: s.counts, Used: map[core.Team]core.Resources{}, Memory: s.MemoryUse()}
	for t, r := range s.used {
		d.Used[t] = r
	}
	for _, w := range s.sortedWorkers {
		d.Workers = append(d.Workers, WorkerDump{
			Worker: w.id, State: workerChart.Name(w.state), Room: w.info.Capacity, Free: w.free, Tasks: len(w.tasks), Strays: len(w.orphans),
			Usable: w.usable(), Recorded: w.inRoster, Unreached: w.unreached(), Hides: w.hidesEnds, Foreign: len(w.unknownRuns),
			Leaving: w.info.Leaving, SetAside: s.now.Before(w.asideUntil), Heard: s.now.Sub(w.answeredAt).Round(time.Millisecond).String(),
			Incarnation: w.info.Incarnation, Entry: w.entryIncarnation,
			Taken: w.handledEnd, Acked: w.ackedEnd, Slow: w.slowness,
		})
	}
	var open []*Job
	for _, j := range s.jobs {
		if !j.ended() {
			open = append(open, j)
		}
	}
	slices.SortFunc(open, func(x, y *Job) int { return cmp.Compare(x.seq, y.seq) })
	for _, j := range open {
		d.Jobs = append(d.Jobs, j.dump())
	}
	return d
}

func (j *Job) dump() JobDump {
	out := JobDump{Job: j.Spec.ID, Team: j.Spec.Team, Queue: j.Spec.Queue, State: jobChart.Name(j.state), Age: j.scheduler.now.Sub(j.acceptedAt).Round(time.Millisecond).String(), Left: j.occurrencesLeft, Built: len(j.occurrences), Unnamed: j.scheduler.policy.Queues[j.Spec.Queue] == nil}
	if j.next < j.Spec.Occurrences() && !j.nextDue.IsZero() {
		out.Due = j.nextDue.UTC().Format(time.RFC3339)
	}
	for _, p := range j.builtPhases() {
		if !p.isOpen || p.tasksLeft == 0 {
			continue
		}
		d := PhaseDump{Phase: p.id, Left: p.tasksLeft, Live: p.tasksPlaced, Idle: p.tasksWaiting, Gang: p.spec.Gang, Allowed: len(p.advice.allowed), Asking: !p.advice.requestedAt.IsZero()}
		for _, t := range p.advice.allowed {
			if t.until.After(j.scheduler.now) {
				d.Ready++
			}
		}
		out.Phases = append(out.Phases, d)
	}
	return out
}
