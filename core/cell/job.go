package cell

import (
	_ "embed"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/chart"
	"chicoryturn/core/rules"
)

//go:embed job.toml
var jobText []byte

// The chart and its names are bound in init, as the actions use them in turn.
var (
	jobChart *chart.Machine[*Job]

	jobRestore, jobRecord, jobBegin, jobWait, jobEnd, jobCancel chart.Event
	jobEnded                                                    chart.State
)

func init() {
	jobChart = chart.Must(chart.Load(jobText, nil, map[string]chart.Action[*Job]{
		"admit":  (*Job).admit,
		"halt":   (*Job).halt,
		"finish": (*Job).finish,
		"forget": (*Job).forget,
	}))
	jobRestore = jobChart.Event("restore")
	jobRecord = jobChart.Event("record")
	jobBegin = jobChart.Event("begin")
	jobWait = jobChart.Event("wait")
	jobEnd = jobChart.Event("end")
	jobCancel = jobChart.Event("cancel")
	jobEnded = jobChart.State("ended")
}

// TaskSpec is what a submitter asks for one task.
type TaskSpec struct {
	Need core.Resources
	// Estimate is the declared run time; it may be far off. Zero means unknown.
	Estimate time.Duration `json:"Run"`
	// Command is passed to the worker as it is.
	Command string
}

// JobSpec is an accepted job as it is recorded. It never changes.
type JobSpec struct {
	ID    core.JobID
	Team  core.Team
	Queue core.Queue
	Kind  rules.Kind
	Tasks []TaskSpec
	// Submitted is the gate's wall clock at submission.
	Submitted time.Time
	// Start is when the first task is owed its start, Due when the job is owed
	// its end; zero means never.
	Start time.Time
	Due   time.Time
}

// Outcome is how a task or job ended.
type Outcome string

// The outcomes. An open task has the empty outcome.
const (
	Done      Outcome = "done"
	Failed    Outcome = "failed"
	Cancelled Outcome = "cancelled"
)

// Job is a job in its cell.
type Job struct {
	Spec  JobSpec
	state chart.State
	cell  *Cell
	tasks []Task
	// queued holds the indices of the tasks in state queued, the next one last.
	queued []int
	// open counts the tasks that have not ended, active those on a worker.
	open, active int
	// latest is when the next task must start to keep what is owed.
	latest time.Time
	// seq breaks ties in the order of the queue.
	seq uint64
	// cores sums the queued tasks, in thousandths of a core.
	cores int64
	// inQueue is set while the job is in its team's queue.
	inQueue bool
	// cancelled is set once a cancellation has been accepted.
	cancelled bool
	// succeeded is set once any task has ended well.
	succeeded bool
	// firstStart is zero until a task has started.
	firstStart time.Time
	ended      time.Time
	// blocked says why the job cannot run on the present fleet, if it cannot.
	blocked string
	// retryAfter holds a gang back after its reservation has expired.
	retryAfter time.Time
}

// View is a job as it is shown to people.
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
	Queued    int
	Running   int
	Done      int
	Failed    int
	Cancelled int
	// Blocked says why the job cannot run on the present fleet.
	Blocked string
}

// View returns the job for display.
func (j *Job) View() View {
	v := View{
		ID: j.Spec.ID, Team: j.Spec.Team, Queue: j.Spec.Queue, Kind: j.Spec.Kind,
		State: jobChart.Name(j.state), Submitted: j.Spec.Submitted, Started: j.firstStart,
		Ended: j.ended, Due: j.Spec.Due, Tasks: len(j.tasks), Running: j.active, Blocked: j.blocked,
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
	if j.state == jobEnded {
		v.State = string(j.outcome())
	}
	return v
}

func (j *Job) outcome() Outcome {
	worst := Done
	for i := range j.tasks {
		if o := j.tasks[i].outcome; o == Failed || (o == Cancelled && worst == Done) {
			worst = o
		}
	}
	return worst
}

func (j *Job) fire(ev chart.Event) { j.cell.note(jobChart.Fire(&j.state, ev, j)) }

// admit queues the tasks of a recorded job that have not ended.
func (j *Job) admit() {
	for i := len(j.tasks) - 1; i >= 0; i-- {
		t := &j.tasks[i]
		if t.outcome == "" && t.state == taskQueued {
			j.push(i)
		}
	}
	j.cell.enqueue(j)
	if j.open == 0 {
		j.fire(jobEnd)
	}
}

// halt cancels every open task.
func (j *Job) halt() {
	j.cancelled = true
	j.cell.dequeue(j)
	j.queued, j.cores = nil, 0
	for i := range j.tasks {
		t := &j.tasks[i]
		t.fire(taskCancel)
	}
}

// finish writes the end of the job to the journal.
func (j *Job) finish() {
	j.ended = j.cell.now
	j.cell.dequeue(j)
	j.cell.write(Entry{End: &JobEnd{Job: j.Spec.ID, At: j.ended}})
}

// forget keeps an ended job only for display.
func (j *Job) forget() {
	j.queued = nil
	j.cell.openJobs--
	j.cell.endedOrder = append(j.cell.endedOrder, j.Spec.ID)
}

// settle follows a change in the number of open or active tasks.
func (j *Job) settle() {
	switch {
	case j.open == 0:
		j.fire(jobEnd)
	case j.active > 0:
		j.fire(jobBegin)
	default:
		j.fire(jobWait)
	}
}

// predicted returns the learned run time of the next task.
func (j *Job) predicted() time.Duration {
	if len(j.queued) == 0 {
		return 0
	}
	spec := &j.Spec.Tasks[j.queued[len(j.queued)-1]]
	return j.cell.guess.Predict(j.Spec.Queue, spec.Estimate)
}

// due works out the latest start of the next task from what is owed and from
// the learned run time.
func (j *Job) due() time.Time {
	latest := j.Spec.Start
	if !j.Spec.Due.IsZero() {
		latest = core.Earlier(latest, j.Spec.Due.Add(-j.predicted()))
	}
	if latest.IsZero() {
		latest = j.Spec.Submitted.Add(unhurried)
	}
	return latest
}
