package cell

import (
	_ "embed"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/chart"
	"chicoryturn/core/rules"
)

//go:embed job.toml
var jobChartText []byte

// The chart, its events and states are set in init. The actions use them, so that
// initializers here would form an initialization cycle.
var (
	jobChart *chart.Machine[*Job]

	jobEventRestore, jobEventRecord, jobEventBegin, jobEventWait, jobEventEnd, jobEventCancel chart.Event
	jobStateEnded                                                                             chart.State
)

func init() {
	jobChart = chart.Must(chart.Load(jobChartText, nil, map[string]chart.Action[*Job]{
		"enqueue": (*Job).enqueueTasks,
		"cancel":  (*Job).cancelTasks,
		"finish":  (*Job).recordEnd,
		"archive": (*Job).archive,
	}))
	jobEventRestore = jobChart.Event("restore")
	jobEventRecord = jobChart.Event("record")
	jobEventBegin = jobChart.Event("begin")
	jobEventWait = jobChart.Event("wait")
	jobEventEnd = jobChart.Event("end")
	jobEventCancel = jobChart.Event("cancel")
	jobStateEnded = jobChart.State("ended")
}

// TaskSpec describes one task of a submitted job.
type TaskSpec struct {
	Need core.Resources
	// Estimate is the declared run time, which may be very inaccurate. Zero means
	// unknown.
	Estimate time.Duration `json:"Run"`
	// Command is passed to the worker unchanged.
	Command string
}

// JobSpec is an accepted job as it is stored in the journal. It never changes.
type JobSpec struct {
	ID    core.JobID
	Team  core.Team
	Queue core.Queue
	Kind  rules.Kind
	Tasks []TaskSpec
	// Submitted is the wall-clock time of the gate at submission.
	Submitted time.Time
	// Start is the deadline for the start of the job's tasks, and Due the deadline
	// for the end of the job. Zero means none.
	Start time.Time
	Due   time.Time
}

// Outcome is the result of a task or job.
type Outcome string

// The outcomes. A task that has not ended has the empty outcome.
const (
	Done      Outcome = "done"
	Failed    Outcome = "failed"
	Cancelled Outcome = "cancelled"
)

// Job is a job and its scheduling state in its cell.
type Job struct {
	Spec  JobSpec
	state chart.State
	cell  *Cell
	tasks []Task
	// queuedTasks holds the indices of the tasks in state queued. The last one
	// is placed next.
	queuedTasks []int
	// openTasks is the number of tasks that have not ended, and activeTasks the
	// number placed on a worker.
	openTasks, activeTasks int
	// latestStart is when the next task must start for the job to meet its
	// deadlines, or the time of submission under ByArrival. It orders the team's
	// queue.
	latestStart time.Time
	// seq is the order of submission. It breaks ties between equal latest
	// starts.
	seq uint64
	// queuedCores is the cores of all queued tasks, in thousandths of a core.
	queuedCores int64
	// inTeamQueue is set while the job is in its team's queue.
	inTeamQueue bool
	// cancelled is set once a cancellation has been accepted.
	cancelled bool
	// hasSucceeded is set once a task has ended with outcome done.
	hasSucceeded bool
	// firstStart is when the first task started, or zero.
	firstStart time.Time
	endedAt    time.Time
	// blockedReason is why the job cannot run on the present fleet, if it
	// cannot.
	blockedReason string
	// retryAfter delays the next attempt to place a gang after its reservation
	// has expired.
	retryAfter time.Time
}

// View is the state of a job for display.
type View struct {
	ID        core.JobID
	Team      core.Team
	Queue     core.Queue
	Kind      rules.Kind
	State     string
	Submitted time.Time
	Started   time.Time
	Ended     time.Time
	Due       time.Time
	Tasks     int
	// Running is the number of tasks placed on a worker, and Queued the number of
	// all other tasks that have not ended.
	Queued    int
	Running   int
	Done      int
	Failed    int
	Cancelled int
	// Blocked is the reason why the job cannot run on the present fleet, if any.
	Blocked string
}

// View returns the state of the job for display.
func (j *Job) View() View {
	v := View{
		ID: j.Spec.ID, Team: j.Spec.Team, Queue: j.Spec.Queue, Kind: j.Spec.Kind,
		State: jobChart.Name(j.state), Submitted: j.Spec.Submitted, Started: j.firstStart,
		Ended: j.endedAt, Due: j.Spec.Due, Tasks: len(j.tasks), Running: j.activeTasks, Blocked: j.blockedReason,
	}
	for i := range j.tasks {
		switch j.tasks[i].outcome {
		case Done:
			v.Done++
		case Failed:
			v.Failed++
		case Cancelled:
			v.Cancelled++
		}
	}
	v.Queued = len(j.tasks) - v.Running - v.Done - v.Failed - v.Cancelled
	if j.state == jobStateEnded {
		v.State = string(j.outcome())
	}
	return v
}

// outcome returns the outcome of an ended job: failed if any task failed,
// otherwise cancelled if any was cancelled.
func (j *Job) outcome() Outcome {
	worst := Done
	for i := range j.tasks {
		if o := j.tasks[i].outcome; o == Failed || (o == Cancelled && worst == Done) {
			worst = o
		}
	}
	return worst
}

func (j *Job) fire(ev chart.Event) { j.cell.recordRefused(jobChart.Fire(&j.state, ev, j)) }

// enqueueTasks queues the tasks of a recorded job that have not ended.
func (j *Job) enqueueTasks() {
	for i := len(j.tasks) - 1; i >= 0; i-- {
		t := &j.tasks[i]
		if t.outcome == "" && t.state == taskStateQueued {
			j.pushQueued(i)
		}
	}
	j.cell.enqueue(j)
	if j.openTasks == 0 {
		j.fire(jobEventEnd)
	}
}

// cancelTasks cancels every open task.
func (j *Job) cancelTasks() {
	j.cancelled = true
	j.cell.dequeue(j)
	j.queuedTasks, j.queuedCores = nil, 0
	for i := range j.tasks {
		t := &j.tasks[i]
		t.fire(taskEventCancel)
	}
}

// recordEnd writes the end of the job to the journal.
func (j *Job) recordEnd() {
	j.endedAt = j.cell.now
	j.cell.dequeue(j)
	j.cell.appendEntry(Entry{End: &JobEnd{Job: j.Spec.ID, At: j.endedAt}})
}

// archive keeps an ended job for display only.
func (j *Job) archive() {
	j.queuedTasks = nil
	j.cell.openJobs--
	j.cell.endedJobs = append(j.cell.endedJobs, j.Spec.ID)
}

// updateState fires the event that matches the numbers of open and active
// tasks.
func (j *Job) updateState() {
	switch {
	case j.openTasks == 0:
		j.fire(jobEventEnd)
	case j.activeTasks > 0:
		j.fire(jobEventBegin)
	default:
		j.fire(jobEventWait)
	}
}

// predictedRunTime returns the expected run time of the next task.
func (j *Job) predictedRunTime() time.Duration {
	if len(j.queuedTasks) == 0 {
		return 0
	}
	spec := &j.Spec.Tasks[j.queuedTasks[len(j.queuedTasks)-1]]
	return j.cell.estimator.Predict(j.Spec.Queue, spec.Estimate)
}

// computeLatestStart derives the latest start of the next task from the job's
// deadlines and the expected run time.
func (j *Job) computeLatestStart() time.Time {
	latest := j.Spec.Start
	if !j.Spec.Due.IsZero() {
		latest = core.Earlier(latest, j.Spec.Due.Add(-j.predictedRunTime()))
	}
	if latest.IsZero() {
		latest = j.Spec.Submitted.Add(defaultStartDelay)
	}
	return latest
}
