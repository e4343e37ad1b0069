package fleet

import (
	"cmp"
	"slices"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/jobs"
)

// Dump is the board's state for people.
type Dump struct {
	Epoch   core.Epoch
	Settled bool
	Counts  Counts
	Used    map[core.Team]core.Resources
	Workers []WorkerDump
	// Jobs holds the jobs that have not ended, the oldest first.
	Jobs []JobDump
}

// WorkerDump is one worker.
type WorkerDump struct {
	Worker            core.WorkerID
	State             string
	Room, Free        core.Resources
	Tasks, Strays     int
	Leaving, SetAside bool
	// Usable is set if tasks may be placed there, Recorded if the worker is in
	// the roster in the store.
	Usable, Recorded bool
	// Foreign counts the runs of unknown jobs.
	Foreign      int
	Heard        string
	Taken, Acked uint64
	Slow         float64
}

// JobDump is one job that has not ended.
type JobDump struct {
	Job    core.JobID
	Team   core.Team
	Queue  core.Queue
	State  string
	Age    string
	Phases []PhaseDump
}

// PhaseDump is one open phase of a job.
type PhaseDump struct {
	Phase            jobs.PhaseID
	Left, Live, Idle int
	Gang             bool
	// Allowed is how many workers may run it; Ready how many tickets are good.
	Allowed, Ready int
	Asking         bool
}

// Dump returns the state.
func (b *Scheduler) Dump() *Dump {
	d := &Dump{Epoch: b.epoch, Settled: b.settled, Counts: b.counts, Used: map[core.Team]core.Resources{}}
	for t, r := range b.used {
		d.Used[t] = r
	}
	for _, w := range b.sortedWorkers {
		d.Workers = append(d.Workers, WorkerDump{
			Worker: w.id, State: workerChart.Name(w.state), Room: w.info.Room, Free: w.free, Tasks: len(w.tasks), Strays: len(w.orphans),
			Usable: w.usable(), Recorded: w.inRoster, Foreign: len(w.unknownRuns),
			Leaving: w.info.Leaving, SetAside: b.now.Before(w.asideUntil), Heard: b.now.Sub(w.answeredAt).Round(time.Millisecond).String(),
			Taken: w.takenEnd, Acked: w.ackedEnd, Slow: w.slowness,
		})
	}
	var open []*Job
	for _, j := range b.jobs {
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
	out := JobDump{Job: j.Spec.ID, Team: j.Spec.Team, Queue: j.Spec.Queue, State: jobChart.Name(j.state), Age: j.scheduler.now.Sub(j.arrivedAt).Round(time.Millisecond).String()}
	for _, u := range j.phases {
		if !u.isOpen || u.tasksLeft == 0 {
			continue
		}
		p := PhaseDump{Phase: u.id, Left: u.tasksLeft, Live: u.tasksPlaced, Idle: u.tasksWaiting, Gang: u.spec.Gang, Allowed: len(u.advice.allowed), Asking: !u.advice.requestedAt.IsZero()}
		for _, t := range u.advice.allowed {
			if t.until.After(j.scheduler.now) {
				p.Ready++
			}
		}
		out.Phases = append(out.Phases, p)
	}
	return out
}
