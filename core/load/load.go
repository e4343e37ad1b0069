// Package load predicts from what the owner knows of the open work when a new job would start,
// and decides on each VM whether the job can still end while it is useful to its client.
package load

import (
	"math"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/jobs"
)

// The thresholds of admission. The estimate of a wait is a lower bound: it counts only work of
// equal or higher rank that is still useful and has been opened, as if all room of the service did nothing
// else, and nothing that is accepted later.
const (
	// beginLevel is the estimated wait, over the time that a job may wait and still be useful, from
	// which on such jobs are refused; endLevel is that at which refusals end. Most run times are
	// within an eighth of the estimate, in the work in front and in the job itself.
	beginLevel = 1.25
	endLevel   = 1.0
	// MinWait is the shortest wait that the owner tells of. Above it, the work in front is more
	// than starts in flight and unanswered advice account for.
	MinWait = time.Second
	// staleAfter is the age from which on a summary is not used. Four renewals of the ownership
	// record are lost by then.
	staleAfter = 3 * time.Second
	// WarmUp is how long a new owner makes no summary: its workers have not all answered, and the
	// learned run times are those of the first ends.
	WarmUp = 5 * time.Second
	// MakeInterval is the shortest time between two summaries of an owner.
	MakeInterval = 500 * time.Millisecond
	// minRatio and maxRatio bound the ratio of learned to declared run time, so that few odd ends of
	// a queue refuse none of its jobs.
	minRatio, maxRatio = 0.5, 2
	// minSlackDivisor is the part of a job's useful time, as its divisor, that it may wait at
	// least, whatever it declares. It bounds what the width of a gang adds.
	minSlackDivisor = 2
	// turnTime is the time after which a gang's turn changes; see hasTurn.
	turnTime = time.Minute
)

// Amount is an amount of room, in thousandths of a core and MiB, or of work, which is room for a
// number of seconds.
type Amount struct{ Cores, Memory int64 }

// maxAmount bounds an amount, so that sums do not overflow.
const maxAmount = 1 << 52

// NewAmount returns an amount. What is out of range, it reduces to the range.
func NewAmount(cores, memory float64) Amount {
	bound := func(v float64) int64 { return int64(math.Round(min(max(v, 0), maxAmount))) }
	return Amount{bound(cores), bound(memory)}
}

// RoomOf returns the amount of room.
func RoomOf(r core.Resources) Amount { return NewAmount(float64(r.Cores), float64(r.Memory)) }

// Add returns the sum of a and o, at most maxAmount.
func (a Amount) Add(o Amount) Amount {
	return Amount{min(a.Cores+o.Cores, maxAmount), min(a.Memory+o.Memory, maxAmount)}
}

// Sub returns a minus o, at least 0.
func (a Amount) Sub(o Amount) Amount {
	return Amount{max(a.Cores-o.Cores, 0), max(a.Memory-o.Memory, 0)}
}

// Over returns the time in which room that is not zero does the work a.
func (a Amount) Over(room Amount) time.Duration {
	seconds := 0.0
	for _, d := range [][2]int64{{a.Cores, room.Cores}, {a.Memory, room.Memory}} {
		if d[1] > 0 {
			seconds = max(seconds, float64(d[0])/float64(d[1]))
		}
	}
	return time.Duration(min(seconds, maxSeconds) * float64(time.Second))
}

// maxSeconds bounds a wait.
const maxSeconds = 1 << 30

// Summary is what the owner tells all VMs of the open work. It is never changed in place.
type Summary struct {
	// Made is when the owner made it, by its clock. It tells one summary from the next; VMs compute
	// no age from it.
	Made time.Time
	// Queues holds the queues whose new jobs wait for at least MinWait, and Teams those of teams
	// whose own limit lets them wait for so long.
	Queues map[core.Queue]Line               `json:",omitempty"`
	Teams  map[core.Team]map[core.Queue]Line `json:",omitempty"`
	// Idle holds the free room of the services of Queues.
	Idle map[core.Service]Slots `json:",omitempty"`
}

// Line is what a new job of a queue waits for.
type Line struct {
	// Ahead is the open work in front of a new job, Room what does that work: the workers of the
	// service, or the limit of the team. An amount of 0 in Room bounds nothing.
	Ahead, Room Amount
	// Gangs is the work of gangs that stands only in front of gangs, since narrower work is started while
	// a gang waits until all of its room is free. Width is the mean room of these gangs.
	Gangs Amount `json:",omitzero"`
	Width Amount `json:",omitzero"`
	// Waiting is the room that tasks in front of a new job wait for, and that they would take at once.
	Waiting Amount
	// Free is what the team's limit leaves; 0 in the line of a queue.
	Free Amount `json:",omitzero"`
	// Run is the mean run time of the tasks that hold the room; Ratio is that of the learned to
	// the declared run times of the queue.
	Run   time.Duration
	Ratio float64
}

// Wait returns the expected time from the acceptance of a new job to the first start of any of its
// tasks, for a gang without what its own width adds.
func (l Line) Wait(gang bool) time.Duration {
	ahead := l.Ahead
	if gang {
		ahead = ahead.Add(l.Gangs)
	}
	return ahead.Over(l.Room)
}

// standsBehind reports whether the job waits for the gangs as well: much narrower gangs are started
// while wide ones wait.
func (l Line) standsBehind(j Job) bool { return j.Wide.Cores > 0 && j.Wide.Cores >= l.Width.Cores/2 }

// Gather returns the expected time in which room for wide comes together, once it is the turn of
// a gang: at the rate at which the tasks that hold the room end.
func (l Line) Gather(wide Amount) time.Duration {
	share := min(wide.Over(l.Room).Seconds(), 1)
	return time.Duration(share * float64(l.Run))
}

// Job is what the decision on a job depends on.
type Job struct {
	ID      core.JobID
	Team    core.Team
	Queue   core.Queue
	Service core.Service
	// Useful is the time from its acceptance after which its end is worth nothing to its client;
	// 0 if that, or the room that may run the job, is not known.
	Useful time.Duration
	// Run is the declared run time of its critical path, Work what the tasks of the phases take that
	// are open from the beginning.
	Run  time.Duration
	Work Amount
	// Need and Together are those of the narrowest phase that can start first: what one task
	// takes, and how many start together.
	Need     core.Resources
	Together int
	// Wide is the room of the widest gang.
	Wide Amount
}

// NewJob returns what the decision on a job depends on. Nothing is predicted of jobs that repeat or
// whose tasks run on, use only room that is left, or may run only on some workers.
func NewJob(spec *jobs.Spec, service core.Service, useful time.Duration) Job {
	j := Job{ID: spec.ID, Team: spec.Team, Queue: spec.Queue, Service: service, Useful: useful, Run: spec.CriticalPath(0)}
	if spec.Repeat > 0 {
		j.Useful = 0
	}
	var narrowest Amount
	for i, p := range spec.Phases {
		if !Predictable(&spec.Phases[i]) {
			j.Useful = 0
		}
		count, seconds := float64(p.Count), p.Estimate.Seconds()
		if len(p.After) == 0 {
			j.Work = j.Work.Add(NewAmount(count*float64(p.Need.Cores)*seconds, count*float64(p.Need.Memory)*seconds))
		}
		together := 1
		if p.Gang {
			together = p.Count
		}
		room := NewAmount(float64(together)*float64(p.Need.Cores), float64(together)*float64(p.Need.Memory))
		if p.Gang && room.Cores >= j.Wide.Cores {
			j.Wide = room
		}
		if len(p.After) == 0 && (j.Together == 0 || room.Cores < narrowest.Cores) {
			j.Need, j.Together, narrowest = p.Need, together, room
		}
	}
	return j
}

// Predictable reports whether a phase waits for room in its turn, and any worker may run it.
func Predictable(p *jobs.Phase) bool {
	return !p.LongRunning && !p.Filler && p.Label == "" && p.PerWorker == 0 && p.Need.Accel == 0
}
