// Package jobs describes jobs of phases: what a client asks for, the names of
// its tasks, and the progress that is recorded.
package jobs

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"chicoryturn/core"
)

const (
	// maxTasks bounds the tasks of one job, over all its occurrences.
	maxTasks = 100_000
	// maxText bounds the text handed to each task, in bytes.
	maxText = 4000
)

// SpecError reports a job that cannot be accepted.
type SpecError struct{ Reason string }

// Error implements error.
func (e *SpecError) Error() string { return "job: " + e.Reason }

// Phase is a set of like tasks.
type Phase struct {
	// Count is at least 1.
	Count int
	// Need is what each task takes of a worker's room.
	Need core.Resources
	// Estimate is a rough run time; it may be far off.
	Estimate time.Duration `json:",omitempty"`
	// After lists earlier phases that must have ended well before.
	After []int `json:",omitempty"`
	// Gang tasks start together and end together.
	Gang bool `json:",omitempty"`
	// SameRack tasks run slower if spread over racks.
	SameRack bool `json:",omitempty"`
	// Checkpoints is set for tasks that write checkpoints.
	Checkpoints bool `json:"Saves,omitempty"`
	// Speculative may run side by side; the first that ends counts.
	Speculative bool `json:"Copies,omitempty"`
	// LongRunning is set for tasks that run until the job is cancelled.
	LongRunning bool `json:"Lasts,omitempty"`
	// Filler is set for tasks that take only what others leave unused.
	Filler bool `json:"Fills,omitempty"`
	// Label is one that the worker must have; empty means any worker.
	Label string `json:",omitempty"`
	// Rack holds the data; tasks run slower elsewhere.
	Rack string `json:",omitempty"`
	// PerWorker bounds the tasks of the phase on one worker; 0 means no bound.
	PerWorker int `json:",omitempty"`
	// Image names what the tasks run.
	Image string `json:",omitempty"`
	// LatencyTarget is the latency bound of tasks that serve users.
	LatencyTarget time.Duration `json:"Target,omitempty"`
	// DisruptionBudget is how many lasting tasks the scheduler may take down at once; it
	// is absent if the client has set no budget.
	DisruptionBudget *int `json:"MayMiss,omitempty"`
}

// Spec is an accepted job as it is recorded. It never changes.
type Spec struct {
	ID    core.JobID
	Team  core.Team
	Queue core.Queue
	// Payload is handed to every task as it is.
	Payload string `json:"Text"`
	Phases  []Phase
	// Repeat is how often the phases run; 0 means once, at once.
	Repeat int           `json:",omitempty"`
	First  time.Time     `json:",omitzero"`
	Every  time.Duration `json:",omitempty"`
	// Accepted is the wall clock of the VM that accepted the job.
	Accepted time.Time `json:"Sent"`
	// FirstEpoch is the epoch of the first owner that may start any of the job: the VM
	// that accepted it knew of that owner before it recorded the job.
	FirstEpoch core.Epoch `json:"From,omitempty"`
}

// Validate reports why a job cannot be accepted.
func (s *Spec) Validate() error {
	if len(s.Payload) > maxText {
		return &SpecError{fmt.Sprintf("the text has %d bytes of at most %d", len(s.Payload), maxText)}
	}
	if len(s.Phases) == 0 {
		return &SpecError{"there is no phase"}
	}
	if s.Repeat < 0 || s.Every < 0 {
		return &SpecError{"the number of occurrences or their interval is negative"}
	}
	total := 0
	for i, p := range s.Phases {
		if p.Count < 1 || p.Count > maxTasks {
			return &SpecError{fmt.Sprintf("phase %d has %d tasks", i, p.Count)}
		}
		if p.Need.Cores < 0 || p.Need.Memory < 0 || p.Need.Accel < 0 || p.PerWorker < 0 {
			return &SpecError{fmt.Sprintf("phase %d asks for a negative amount", i)}
		}
		for _, a := range p.After {
			if a < 0 || a >= i {
				return &SpecError{fmt.Sprintf("phase %d waits for phase %d, which is not an earlier one", i, a)}
			}
		}
		total += p.Count
	}
	if n := total * s.Occurrences(); n > maxTasks {
		return &SpecError{fmt.Sprintf("the job has %d tasks of at most %d", n, maxTasks)}
	}
	return nil
}

// Occurrences returns how often the phases run; it is at least 1.
func (s *Spec) Occurrences() int { return max(s.Repeat, 1) }

// Due returns when an occurrence may start; zero means at once.
func (s *Spec) Due(occurrence int) time.Time {
	if s.Repeat == 0 {
		return time.Time{}
	}
	return s.First.Add(time.Duration(occurrence) * s.Every)
}

// CriticalPath returns the longest chain of estimated run times, with extra added for
// each phase.
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

// String returns the form job.occurrence.phase.
func (p PhaseID) String() string { return fmt.Sprintf("%s.%d.%d", p.Job, p.Occurrence, p.Phase) }

// TaskID names one task.
type TaskID struct {
	PhaseID
	Index int
}

// String returns the form job.occurrence.phase.index.
func (t TaskID) String() string { return t.PhaseID.String() + "." + strconv.Itoa(t.Index) }

// ParseTaskID is the inverse of TaskID.String.
func ParseTaskID(s string) (TaskID, bool) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, false
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return TaskID{}, false
		}
		n[i] = v
	}
	return TaskID{PhaseID{core.JobID(parts[0]), n[0], n[1]}, n[2]}, true
}

// State is how a job is shown to its client.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether a job in this state never changes again.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Progress is what is recorded of a job beside its spec.
type Progress struct {
	Job core.JobID
	// State is set once it is final.
	State State `json:",omitempty"`
	// Done holds a bit for each task that has ended well, in order of
	// occurrence, phase and index.
	Done []byte `json:",omitempty"`
	// FailedRuns holds the numbers of the failed runs of tasks by their position in
	// Done; those of a gang are kept at its first task. A run is kept once,
	// however often a worker reports its end.
	FailedRuns map[int][]uint64 `json:"Fails,omitempty"`
}

// SetDone marks the task at a position.
func (p *Progress) SetDone(at int) {
	for len(p.Done) <= at/8 {
		p.Done = append(p.Done, 0)
	}
	p.Done[at/8] |= 1 << (at % 8)
}

// IsDone reports whether the task at a position has ended well.
func (p *Progress) IsDone(at int) bool {
	return at/8 < len(p.Done) && p.Done[at/8]&(1<<(at%8)) != 0
}

// AddFailedRun keeps a failed run of the task at a position and reports whether it
// was not known yet.
func (p *Progress) AddFailedRun(at int, run uint64) bool {
	if slices.Contains(p.FailedRuns[at], run) {
		return false
	}
	if p.FailedRuns == nil {
		p.FailedRuns = map[int][]uint64{}
	}
	p.FailedRuns[at] = append(p.FailedRuns[at], run)
	return true
}

// Clone returns a copy that shares nothing.
func (p *Progress) Clone() Progress {
	c := Progress{Job: p.Job, State: p.State, Done: append([]byte(nil), p.Done...)}
	if len(p.FailedRuns) > 0 {
		c.FailedRuns = make(map[int][]uint64, len(p.FailedRuns))
		for k, v := range p.FailedRuns {
			c.FailedRuns[k] = slices.Clone(v)
		}
	}
	return c
}
