// Package jobs describes jobs and their phases: the specification that a client
// submits, the names of the tasks, and the progress that is stored.
package jobs

import (
	"cmp"
	"fmt"
	"math"
	"math/bits"
	"strconv"
	"strings"
	"time"

	"chicoryturn/core"
)

const (
	// maxTasks bounds the tasks of one job, over all its occurrences.
	maxTasks = 100_000
	// MaxPayload bounds the payload of a job, in bytes.
	MaxPayload = 4000
	// jobBytes and phaseBytes are what a job and each of its phases take in memory, beside
	// their texts.
	jobBytes   = 1800
	phaseBytes = 320
	// maxAmount bounds each amount of room that a task needs, and maxDuration each
	// duration, so that sums over a job do not overflow.
	maxAmount   = 1 << 40
	maxDuration = 365 * 24 * time.Hour
	// maxYear bounds the year in which a repeated job starts; later times cannot be
	// stored.
	maxYear = 9000
)

// SpecError says why a job cannot be accepted.
type SpecError struct{ Reason string }

// Error implements error.
func (e *SpecError) Error() string { return "job: " + e.Reason }

// Phase is a set of identical tasks.
type Phase struct {
	// Count is the number of tasks; it is at least 1.
	Count int
	// Need is the room that each task takes on a worker.
	Need core.Resources
	// Estimate is the client's estimate of a task's run time; it may be far off.
	Estimate time.Duration `json:",omitempty"`
	// After lists the indexes of earlier phases that must complete before this one
	// starts.
	After []int `json:",omitempty"`
	// Gang is set if all tasks must start together and end together.
	Gang bool `json:",omitempty"`
	// SameRack is set if the tasks run slower when spread over several racks.
	SameRack bool `json:",omitempty"`
	// Checkpoints is set if the tasks write checkpoints.
	Checkpoints bool `json:"Saves,omitempty"`
	// Speculative is set if several runs of a task may be active at once; the first
	// to end counts.
	Speculative bool `json:"Copies,omitempty"`
	// LongRunning is set if the tasks run until the job is cancelled.
	LongRunning bool `json:"Lasts,omitempty"`
	// Filler is set if the tasks use only room that no other work needs.
	Filler bool `json:"Fills,omitempty"`
	// Label is a label that the worker must have; empty means any worker.
	Label string `json:",omitempty"`
	// Rack is the rack that holds the tasks' data; they run slower on other racks.
	Rack string `json:",omitempty"`
	// PerWorker bounds the tasks of the phase on one worker; 0 means no limit.
	PerWorker int `json:",omitempty"`
	// Image names the program image that the tasks run.
	Image string `json:",omitempty"`
	// LatencyTarget bounds the latency of tasks that serve users.
	LatencyTarget time.Duration `json:"Target,omitempty"`
	// DisruptionBudget is how many long-running tasks the scheduler may stop at once;
	// it is nil if the client has set no budget.
	DisruptionBudget *int `json:"MayMiss,omitempty"`
}

// Spec is an accepted job as it is stored. It is immutable.
type Spec struct {
	ID    core.JobID
	Team  core.Team
	Queue core.Queue
	// Payload is passed to every task unchanged.
	Payload string `json:"Text"`
	Phases  []Phase
	// Repeat is the number of occurrences of a repeated job; 0 means that the phases
	// run once and may start at once.
	Repeat int `json:",omitempty"`
	// First is when the first occurrence of a repeated job may start, Every the time
	// between two occurrences.
	First time.Time     `json:",omitzero"`
	Every time.Duration `json:",omitempty"`
	// Accepted is when the job was accepted, by the clock of the VM that accepted it.
	Accepted time.Time `json:"Sent"`
	// FirstEpoch is the epoch of the first owner that may start tasks of the job: the
	// VM that accepted the job knew that owner before it stored the job.
	FirstEpoch core.Epoch `json:"From,omitempty"`
	// Terms are nil in jobs of earlier builds.
	Terms *Terms `json:",omitempty"`
}

// Validate reports why a job cannot be accepted.
func (s *Spec) Validate() error {
	if len(s.Payload) > MaxPayload {
		return &SpecError{fmt.Sprintf("payload of %d bytes exceeds the limit of %d", len(s.Payload), MaxPayload)}
	}
	if len(s.Phases) == 0 {
		return &SpecError{"no phase is defined"}
	}
	if s.Repeat < 0 || s.Repeat > maxTasks || s.Every < 0 || s.Every > maxDuration || s.First.Year() > maxYear {
		return &SpecError{"the number of occurrences, their interval or their start is out of range"}
	}
	total, estimate := 0, time.Duration(0)
	for i, p := range s.Phases {
		if p.Count < 1 || p.Count > maxTasks {
			return &SpecError{fmt.Sprintf("phase %d has an invalid number of tasks: %d", i, p.Count)}
		}
		if err := p.validateAmounts(); err != "" {
			return &SpecError{fmt.Sprintf("phase %d has %s", i, err)}
		}
		for _, a := range p.After {
			if a < 0 || a >= i {
				return &SpecError{fmt.Sprintf("phase %d depends on phase %d, which is not an earlier phase", i, a)}
			}
		}
		total += p.Count
		if estimate += p.Estimate; estimate > maxDuration {
			return &SpecError{"the sum of all estimates is out of range"}
		}
	}
	if n := total * s.Occurrences(); n > maxTasks {
		return &SpecError{fmt.Sprintf("%d tasks exceed the limit of %d", n, maxTasks)}
	}
	return nil
}

// validateAmounts returns which amount of the phase is out of range, or "".
func (p *Phase) validateAmounts() string {
	for _, n := range []int64{p.Need.Cores, p.Need.Memory, p.Need.Accel} {
		if n < 0 || n > maxAmount {
			return "a resource amount out of range"
		}
	}
	for _, d := range []time.Duration{p.Estimate, p.LatencyTarget} {
		if d < 0 || d > maxDuration {
			return "an estimate or latency target out of range"
		}
	}
	if p.PerWorker < 0 {
		return "a negative number of tasks per worker"
	}
	return ""
}

// Occurrences returns how often the phases run, which is at least once.
func (s *Spec) Occurrences() int { return max(s.Repeat, 1) }

// TasksPerOccurrence returns the number of tasks of one occurrence.
func (s *Spec) TasksPerOccurrence() int {
	n := 0
	for _, p := range s.Phases {
		n += p.Count
	}
	return n
}

// Bytes returns an upper bound of the memory that the job takes until it has ended, beside
// the tasks that run.
func (s *Spec) Bytes() int64 {
	n := jobBytes + len(s.Payload) + len(s.ID) + len(s.Team) + len(s.Queue) + s.TasksPerOccurrence()*s.Occurrences()/8
	if s.Terms != nil {
		n += termsBytes + len(s.Terms.Service)
	}
	for _, p := range s.Phases {
		n += phaseBytes + 8*len(p.After) + len(p.Label) + len(p.Rack) + len(p.Image)
	}
	return int64(n)
}

// Has reports whether the job has a task with the given ID.
func (s *Spec) Has(id TaskID) bool {
	return id.Job == s.ID && id.Occurrence < s.Occurrences() && id.Phase < len(s.Phases) && id.Index < s.Phases[id.Phase].Count
}

// Due returns when an occurrence may start; zero means at once. It never decreases from
// one occurrence to the next.
func (s *Spec) Due(occurrence int) time.Time {
	if s.Repeat == 0 {
		return time.Time{}
	}
	delay := time.Duration(math.MaxInt64)
	if occurrence == 0 || s.Every <= delay/time.Duration(occurrence) {
		delay = time.Duration(occurrence) * s.Every
	}
	return s.First.Add(delay)
}

// CriticalPath returns the estimated run time of the longest chain of dependent
// phases, with extra added to each phase.
func (s *Spec) CriticalPath(extra time.Duration) time.Duration {
	ends := make([]time.Duration, len(s.Phases))
	longest := time.Duration(0)
	for i, p := range s.Phases {
		for _, a := range p.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += p.Estimate + extra
		longest = max(longest, ends[i])
	}
	return longest
}

// PhaseID names one phase of one occurrence of a job.
type PhaseID struct {
	Job        core.JobID
	Occurrence int
	Phase      int
}

// idBytes is the length up to which the text of an ID needs one allocation.
const idBytes = 64

// String returns the form job.occurrence.phase.
func (p PhaseID) String() string { return string(p.appendText(make([]byte, 0, idBytes))) }

func (p PhaseID) appendText(b []byte) []byte {
	b = append(append(b, p.Job...), '.')
	b = append(strconv.AppendInt(b, int64(p.Occurrence), 10), '.')
	return strconv.AppendInt(b, int64(p.Phase), 10)
}

// TaskID names one task.
type TaskID struct {
	PhaseID
	Index int
}

// String returns the form job.occurrence.phase.index.
func (t TaskID) String() string { return string(t.appendText(make([]byte, 0, idBytes))) }

func (t TaskID) appendText(b []byte) []byte {
	return strconv.AppendInt(append(t.PhaseID.appendText(b), '.'), int64(t.Index), 10)
}

// Compare orders tasks by job, occurrence, phase and index.
func (t TaskID) Compare(other TaskID) int {
	return cmp.Or(cmp.Compare(t.Job, other.Job), cmp.Compare(t.Occurrence, other.Occurrence), cmp.Compare(t.Phase, other.Phase), cmp.Compare(t.Index, other.Index))
}

// ParseTaskID is the inverse of TaskID.String.
func ParseTaskID(s string) (TaskID, bool) {
	job, rest, _ := strings.Cut(s, ".")
	if job == "" {
		return TaskID{}, false
	}
	var n [3]int
	for i := range n {
		part, after, hasMore := strings.Cut(rest, ".")
		v, err := strconv.Atoi(part)
		if isLast := i == len(n)-1; err != nil || v < 0 || hasMore == isLast {
			return TaskID{}, false
		}
		n[i], rest = v, after
	}
	return TaskID{PhaseID{core.JobID(job), n[0], n[1]}, n[2]}, true
}

// TaskIDError reports a text that is not a task's ID.
type TaskIDError struct{ Text string }

// Error implements error.
func (e *TaskIDError) Error() string { return "not a task's ID: " + strconv.Quote(e.Text) }

// MarshalText implements encoding.TextMarshaler.
func (t TaskID) MarshalText() ([]byte, error) { return t.appendText(nil), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns a TaskIDError.
func (t *TaskID) UnmarshalText(text []byte) error {
	id, ok := ParseTaskID(string(text))
	if !ok {
		return &TaskIDError{string(text)}
	}
	*t = id
	return nil
}

// State is a job's state as clients see it.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state is one in which a job stays.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Progress is the part of a job that changes and is stored next to its Spec.
type Progress struct {
	Job core.JobID
	// State is empty until it is final.
	State State `json:",omitempty"`
	// Done has one bit for each task, ordered by occurrence, phase and index. The
	// bit is set once the task is done.
	Done []byte `json:",omitempty"`
	// FailedRuns maps a task's position in Done to the numbers of its failed runs, in
	// ascending order and at most maxFailedRuns. The failed runs of a gang are kept at its
	// first task. Each run is kept once, even if a worker reports its end several times.
	FailedRuns map[int][]uint64 `json:"Fails,omitempty"`
	// OlderRuns counts by position the failed runs of lower numbers, which are not kept.
	OlderRuns map[int]int `json:"Older,omitempty"`
	// Pages are the pages of FailedRuns and OlderRuns that must be stored, in ascending
	// order. In a change of the progress these fields hold no other pages.
	Pages []int `json:"-"`
}

// SetDone marks the task at a position in Done as done.
func (p *Progress) SetDone(position int) {
	for len(p.Done) <= position/8 {
		p.Done = append(p.Done, 0)
	}
	p.Done[position/8] |= 1 << (position % 8)
}

// IsDone reports whether the task at a position in Done is done.
func (p *Progress) IsDone(position int) bool {
	return position/8 < len(p.Done) && p.Done[position/8]&(1<<(position%8)) != 0
}

// CountDone returns how many of the tasks at the positions from first to before end are
// done.
func (p *Progress) CountDone(first, end int) int {
	n := 0
	end = min(end, 8*len(p.Done))
	for position := first; position < end; position++ {
		if position%8 == 0 && position+8 <= end {
			n += bits.OnesCount8(p.Done[position/8])
			position += 7
			continue
		}
		if p.IsDone(position) {
			n++
		}
	}
	return n
}
