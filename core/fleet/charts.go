package fleet

import (
	_ "embed"

	"chicoryturn/core/chart"
)

//go:embed task.toml
var taskText []byte

//go:embed job.toml
var jobText []byte

//go:embed worker.toml
var workerText []byte

// The charts, states and events are bound in init: the actions refer to these
// variables, so initializing them here would be a cycle.
var (
	taskChart   *chart.Machine[*Task]
	jobChart    *chart.Machine[*Job]
	workerChart *chart.Machine[*Worker]

	taskRecover, taskClear, taskFound, taskPlace, taskAccepted, taskRefused, taskUnanswered chart.Event
	taskStop, taskEndDone, taskEndFailed, taskCut, taskDrop                                 chart.Event

	taskWaiting, taskHeld, taskStarting, taskDoubtful, taskRunning, taskStopping, taskLeaving, taskDone, taskDropped chart.State

	jobBegin, jobComplete, jobFail, jobCancel, jobRestore, jobRecorded chart.Event
	jobQueued, jobRunning, jobClosing, jobClosed                       chart.State

	workerAnswer, workerMiss, workerLapse, workerVanish             chart.Event
	workerFresh, workerLive, workerSilent, workerLapsed, workerGone chart.State
)

func init() {
	taskChart = chart.Must(chart.Load(taskText, nil, map[string]chart.Action[*Task]{
		"track":   (*Task).addUnresolved,
		"untrack": (*Task).removeUnresolved,
		"reserve": (*Task).reserve,
		"release": (*Task).release,
		"begin":   (*Task).markStarted,
		"stop":    (*Task).orderStop,
		"finish":  (*Task).markDone,
		"count":   (*Task).countFailure,
		"verify":  (*Task).verify,
	}))
	for name, ev := range map[string]*chart.Event{
		"recover": &taskRecover, "clear": &taskClear, "found": &taskFound, "place": &taskPlace,
		"accepted": &taskAccepted, "refused": &taskRefused, "unanswered": &taskUnanswered, "stop": &taskStop,
		"done": &taskEndDone, "failed": &taskEndFailed, "cut": &taskCut, "drop": &taskDrop,
	} {
		*ev = taskChart.Event(name)
	}
	for name, st := range map[string]*chart.State{
		"waiting": &taskWaiting, "held": &taskHeld, "starting": &taskStarting, "doubtful": &taskDoubtful,
		"running": &taskRunning, "stopping": &taskStopping, "leaving": &taskLeaving, "done": &taskDone, "dropped": &taskDropped,
	} {
		*st = taskChart.State(name)
	}

	jobChart = chart.Must(chart.Load(jobText, nil, map[string]chart.Action[*Job]{"drop": (*Job).dropTasks}))
	for name, ev := range map[string]*chart.Event{
		"begin": &jobBegin, "complete": &jobComplete, "fail": &jobFail, "cancel": &jobCancel,
		"restore": &jobRestore, "recorded": &jobRecorded,
	} {
		*ev = jobChart.Event(name)
	}
	for name, st := range map[string]*chart.State{
		"queued": &jobQueued, "running": &jobRunning, "closing": &jobClosing, "closed": &jobClosed,
	} {
		*st = jobChart.State(name)
	}

	workerChart = chart.Must(chart.Load(workerText, nil, map[string]chart.Action[*Worker]{"end": (*Worker).endRuns, "roster": (*Worker).changeRoster}))
	for name, ev := range map[string]*chart.Event{
		"answer": &workerAnswer, "miss": &workerMiss, "lapse": &workerLapse, "vanish": &workerVanish,
	} {
		*ev = workerChart.Event(name)
	}
	for name, st := range map[string]*chart.State{
		"fresh": &workerFresh, "live": &workerLive, "silent": &workerSilent, "lapsed": &workerLapsed, "gone": &workerGone,
	} {
		*st = workerChart.State(name)
	}
}

// Charts returns the names and drawings of this package's charts.
func Charts() []string {
	return []string{"run", taskChart.Draw(), "work", jobChart.Draw(), "lease", workerChart.Draw()}
}
