package cell_test

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/cell"
	"chicoryturn/core/rules"
)

var (
	addr     = netip.MustParseAddrPort("127.0.0.1:1")
	capacity = core.Resources{Cores: 8000, Memory: 8192}
	id       = core.CellID{Region: "r"}
)

// limits is a fake of cell.Limits with fixed parts; a limit without a part is
// practically unlimited.
type limits struct{ parts, used map[string]int64 }

func newLimits() *limits { return &limits{map[string]int64{}, map[string]int64{}} }

func (l *limits) Available(name string) int64 {
	if part, ok := l.parts[name]; ok {
		return part - l.used[name]
	}
	return 1 << 40
}
func (l *limits) Excess(string) int64      { return 0 }
func (l *limits) Use(name string, n int64) { l.used[name] += n }
func (l *limits) SetDemand(string, int64)  {}

// harness is a cell with simulated workers, which answer heartbeats when the
// test calls answerHeartbeats.
type harness struct {
	t      *testing.T
	cell   *cell.Cell
	limits *limits
	now    time.Time
	seq    uint64
	tasks  map[core.WorkerID]map[core.TaskID]cell.TaskReport
	unsent []cell.Heartbeat
}

func newHarness(t testing.TB, workers int, entries []cell.Entry) *harness {
	h := &harness{limits: newLimits(), now: time.Now(), tasks: map[core.WorkerID]map[core.TaskID]cell.TaskReport{}}
	h.cell = cell.New(id, 1, h.limits)
	h.cell.SetRules(&rules.Set{Teams: map[core.Team]rules.Team{"a": {Share: 60}, "b": {Share: 40}}})
	h.cell.LoadJournal(h.now, entries)
	var vms []core.VM
	for i := range workers {
		vms = append(vms, core.VM{Name: fmt.Sprintf("w%d", i), Kind: "worker", Addr: addr, Region: "r", Capacity: capacity})
	}
	h.cell.SetWorkers(h.now, vms)
	h.storeBatches()
	if t, ok := t.(*testing.T); ok {
		h.t = t
	}
	return h
}

// storeBatches stores all pending journal entries.
func (h *harness) storeBatches() {
	for h.cell.Batch() != nil {
		h.cell.BatchStored(h.now)
	}
}

// answerHeartbeats delivers all heartbeats. Reachable workers carry out the
// orders and report; for the others the heartbeat fails.
func (h *harness) answerHeartbeats(reachable func(core.WorkerID) bool) {
	for _, hb := range append(h.unsent, h.cell.Heartbeats(h.now)...) {
		if !reachable(hb.Worker) {
			h.cell.HeartbeatFailed(h.now, hb)
			continue
		}
		tasks := h.tasks[hb.Worker]
		if tasks == nil {
			tasks = map[core.TaskID]cell.TaskReport{}
			h.tasks[hb.Worker] = tasks
		}
		for _, s := range hb.Starts {
			tasks[s.Task] = cell.TaskReport{Task: s.Task, Run: s.Run, State: cell.TaskRunning, Team: s.Team, Need: s.Need}
		}
		for _, s := range hb.Stops {
			if report, ok := tasks[s.Task]; ok && s.Kind == cell.StopThrottle {
				report.Used = core.Resources{}
				tasks[s.Task] = report
			} else if ok && report.State == cell.TaskRunning {
				report.State = cell.TaskStopped
				if s.Kind == cell.StopCheckpoint {
					report.State = cell.TaskCheckpointed
				}
				tasks[s.Task] = report
			}
		}
		for _, a := range hb.Acks {
			if tasks[a.Task].Run == a.Run {
				delete(tasks, a.Task)
			}
		}
		h.seq++
		answer := cell.Report{Stamp: "s", Incarnation: "b", Seq: h.seq, Full: true, Room: capacity}
		for _, report := range tasks {
			answer.Tasks = append(answer.Tasks, report)
		}
		h.cell.Report(h.now, hb, answer)
	}
	h.unsent = nil
	h.storeBatches()
}

func allWorkers(core.WorkerID) bool { return true }

// runRounds runs enough rounds of placement and heartbeats to reach a stable
// state.
func (h *harness) runRounds() {
	for range 10 {
		h.cell.Plan(h.now)
		h.answerHeartbeats(allWorkers)
		h.storeBatches()
	}
}

func newSpec(name string, team core.Team, kind rules.Kind, tasks int, need core.Resources) cell.JobSpec {
	s := cell.JobSpec{ID: core.NewJobID(id, name), Team: team, Queue: "q", Kind: kind, Submitted: time.Now()}
	for range tasks {
		s.Tasks = append(s.Tasks, cell.TaskSpec{Need: need, Estimate: time.Minute})
	}
	return s
}

func (h *harness) submit(s cell.JobSpec) {
	h.t.Helper()
	if _, err := h.cell.Submit(h.now, s); err != nil {
		h.t.Fatal(err)
	}
	h.storeBatches()
}

// running returns the number of placed tasks of a job.
func (h *harness) running(name string) int {
	v, _ := h.cell.Job(core.NewJobID(id, name))
	return v.Running
}

// TestHeldTasks checks that a new owner does not start an older task while a
// worker that may run it has not reported, but starts new work at once.
// Starting it too early would run the task twice.
func TestHeldTasks(t *testing.T) {
	is := is.New(t)
	old := newSpec("old", "a", rules.Batch, 1, core.Resources{Cores: 1000})
	h := newHarness(t, 2, []cell.Entry{{Worker: "w0"}, {Worker: "w1"}, {Accept: &old}})
	reachable := func(w core.WorkerID) bool { return w == "w0" }
	h.answerHeartbeats(reachable)
	h.submit(newSpec("new", "a", rules.Batch, 1, core.Resources{Cores: 1000}))
	h.cell.Plan(h.now)
	h.answerHeartbeats(reachable)
	is.Equal(h.running("old"), 0)
	is.Equal(h.running("new"), 1)
	h.now = h.now.Add(7 * time.Second) // the lease of w1 has certainly ended
	h.answerHeartbeats(reachable)
	h.cell.Tick(h.now)
	h.cell.Plan(h.now)
	is.Equal(h.running("old"), 1)
}

// TestAdopt checks that a new owner takes over a task that a worker reports as
// running.
func TestAdopt(t *testing.T) {
	is := is.New(t)
	old := newSpec("old", "a", rules.Batch, 1, core.Resources{Cores: 1000})
	h := newHarness(t, 1, []cell.Entry{{Worker: "w0"}, {Accept: &old}})
	task := core.TaskID{Job: old.ID}
	h.tasks["w0"] = map[core.TaskID]cell.TaskReport{task: {Task: task, State: cell.TaskRunning, Team: "a", Need: core.Resources{Cores: 1000}}}
	h.runRounds()
	is.Equal(h.running("old"), 1)
	is.Equal(h.limits.used[cell.LimitName("a")], int64(1000))
}

// TestOrphanedRun checks that a task that was cancelled while its worker had no
// owner is stopped there, and that it takes room until it has stopped.
func TestOrphanedRun(t *testing.T) {
	is := is.New(t)
	old := newSpec("old", "a", rules.Batch, 1, core.Resources{Cores: 8000})
	h := newHarness(t, 1, []cell.Entry{{Worker: "w0"}, {Accept: &old}, {Cancel: old.ID}})
	task := core.TaskID{Job: old.ID}
	h.tasks["w0"] = map[core.TaskID]cell.TaskReport{task: {Task: task, State: cell.TaskRunning, Team: "a", Need: core.Resources{Cores: 8000}}}
	h.answerHeartbeats(allWorkers)
	is.Equal(h.limits.used[cell.LimitName("a")], int64(8000))
	h.submit(newSpec("new", "a", rules.Batch, 1, core.Resources{Cores: 1000}))
	h.cell.Plan(h.now)
	is.Equal(h.running("new"), 0) // there is no room yet
	h.runRounds()
	is.Equal(h.running("new"), 1)
}

// TestShares checks that a full cell is divided according to the teams' shares.
func TestShares(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 10, nil)
	h.answerHeartbeats(allWorkers)
	h.submit(newSpec("a", "a", rules.Batch, 200, core.Resources{Cores: 1000}))
	h.submit(newSpec("b", "b", rules.Batch, 200, core.Resources{Cores: 1000}))
	h.runRounds()
	is.Equal(h.running("a"), 48)
	is.Equal(h.running("b"), 32)
}

// TestGang checks that a gang is placed completely or not at all, and that its
// reservation keeps room free that long tasks would otherwise take.
func TestGang(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 2, nil)
	h.answerHeartbeats(allWorkers)
	h.submit(newSpec("small", "a", rules.Batch, 1, core.Resources{Cores: 1000}))
	h.runRounds()
	h.submit(newSpec("gang", "b", rules.Gang, 2, core.Resources{Cores: 8000}))
	h.runRounds()
	is.Equal(h.running("gang"), 0)
	late := newSpec("late", "a", rules.Batch, 20, core.Resources{Cores: 1000})
	for i := range late.Tasks {
		late.Tasks[i].Estimate = time.Hour
	}
	h.submit(late)
	h.runRounds()
	is.True(h.running("late") <= 8) // a reserved worker stays free for the gang
}

// TestTooLarge checks the refusal code of a job that can never run.
func TestTooLarge(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 2, nil)
	_, err := h.cell.Submit(h.now, newSpec("x", "a", rules.Batch, 1, core.Resources{Cores: 9000}))
	var refused *core.RefusalError
	is.True(errors.As(err, &refused))
	is.Equal(refused.Code, core.CodeTooLarge)
}

// TestSnapshot checks that a cell is rebuilt from its own snapshot.
func TestSnapshot(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 2, nil)
	h.answerHeartbeats(allWorkers)
	h.submit(newSpec("one", "a", rules.Batch, 3, core.Resources{Cores: 1000}))
	h.runRounds()
	restored := newHarness(t, 2, h.cell.Snapshot().Entries)
	restored.tasks = h.tasks
	restored.runRounds()
	is.Equal(restored.running("one"), 3)
}

// TestDecisionTime checks that a placement among 13,000 workers takes at most a
// millisecond on average; about ten microseconds are usual.
func TestDecisionTime(t *testing.T) {
	h := newHarness(t, 13000, nil)
	h.answerHeartbeats(allWorkers)
	for i := range 100 {
		h.submit(newSpec(fmt.Sprint(i), "a", rules.Batch, 100, core.Resources{Cores: 2000, Memory: 1024}))
	}
	began := time.Now()
	for h.cell.Plan(h.now) {
	}
	perPlacement := time.Since(began) / time.Duration(h.cell.Counts().Starts)
	if perPlacement > time.Millisecond {
		t.Errorf("a placement takes %s on average, want at most 1ms", perPlacement)
	}
}

// TestRemovedWorker checks that a new owner does not start older tasks until the
// lease of a worker that was removed from the list before the takeover has
// expired, and that the worker is then removed from the journal.
func TestRemovedWorker(t *testing.T) {
	is := is.New(t)
	old := newSpec("old", "a", rules.Batch, 1, core.Resources{Cores: 1000})
	h := newHarness(t, 1, []cell.Entry{{Worker: "w0"}, {Worker: "lost"}, {Accept: &old}})
	h.answerHeartbeats(allWorkers)
	h.cell.Plan(h.now)
	is.Equal(h.running("old"), 0) // the removed worker may still run it
	h.now = h.now.Add(7 * time.Second)
	h.answerHeartbeats(allWorkers)
	h.cell.Tick(h.now)
	h.storeBatches()
	h.runRounds()
	is.Equal(h.running("old"), 1)
	for _, e := range h.cell.Snapshot().Entries {
		is.True(e.Worker != "lost")
	}
}

// TestAllocationFollowsUse checks that a task that uses more than it declared takes
// the room that it uses, and that all of it is freed when the task ends.
func TestAllocationFollowsUse(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, nil)
	h.answerHeartbeats(allWorkers)
	h.submit(newSpec("big", "a", rules.Batch, 1, core.Resources{Cores: 1000, Memory: 100}))
	h.runRounds()
	task := core.TaskID{Job: core.NewJobID(id, "big")}
	report := h.tasks["w0"][task]
	report.Used = core.Resources{Cores: 7000, Memory: 100}
	h.tasks["w0"][task] = report
	h.submit(newSpec("next", "b", rules.Batch, 2, core.Resources{Cores: 1000}))
	h.answerHeartbeats(allWorkers)
	h.runRounds()
	is.Equal(h.running("next"), 1) // 8 cores minus the 7 in use
	report.State, report.Used = cell.TaskDone, core.Resources{}
	h.tasks["w0"][task] = report
	h.runRounds()
	is.Equal(h.running("next"), 2)
	is.Equal(h.limits.used[cell.LimitName("a")], int64(0))
}

// TestLateReport checks that a report of an earlier run of a task does not end
// the current run. The report is processed a second time after the task has
// been placed again.
func TestLateReport(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, nil)
	h.answerHeartbeats(allWorkers)
	h.submit(newSpec("one", "a", rules.Batch, 1, core.Resources{Cores: 1000}))
	h.runRounds()
	task := core.TaskID{Job: core.NewJobID(id, "one")}
	first := h.tasks["w0"][task]
	first.State = cell.TaskStopped
	lateReport := cell.Report{Stamp: "s", Incarnation: "b", Seq: h.seq + 1, Room: capacity, Tasks: []cell.TaskReport{first}}
	h.seq++
	hb := cell.Heartbeat{Worker: "w0", Wait: time.Second, Stamp: "s"}
	h.cell.Report(h.now, hb, lateReport)
	is.Equal(h.running("one"), 0)
	h.cell.Plan(h.now)
	is.Equal(h.running("one"), 1)
	h.cell.Report(h.now, hb, lateReport)
	is.Equal(h.running("one"), 1)
}

// TestStoredAcknowledgement cancels a running task. Its stop must be acknowledged only
// once the outcome is stored, since the worker then forgets the run.
func TestStoredAcknowledgement(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, nil)
	h.answerHeartbeats(allWorkers)
	h.submit(newSpec("one", "a", rules.Batch, 1, core.Resources{Cores: 1000}))
	h.runRounds()
	is.NoErr(h.cell.Cancel(h.now, core.NewJobID(id, "one")))
	h.storeBatches()
	stopped := h.tasks["w0"][core.TaskID{Job: core.NewJobID(id, "one")}]
	stopped.State = cell.TaskStopped
	acks := func() int {
		n := 0
		h.now = h.now.Add(2 * time.Second)
		for _, hb := range h.cell.Heartbeats(h.now) {
			n += len(hb.Acks)
			h.seq++
			h.cell.Report(h.now, hb, cell.Report{Stamp: "s", Incarnation: "b", Seq: h.seq, Room: capacity, Tasks: []cell.TaskReport{stopped}})
		}
		return n
	}
	acks()
	is.Equal(acks(), 0)
	h.storeBatches()
	is.True(acks() > 0)
}

// TestThrottle checks that a task whose use makes its worker overcommitted is
// throttled to what it declared.
func TestThrottle(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, nil)
	h.answerHeartbeats(allWorkers)
	h.submit(newSpec("big", "a", rules.Batch, 1, core.Resources{Cores: 1000, Memory: 100}))
	h.submit(newSpec("rest", "b", rules.Batch, 7, core.Resources{Cores: 1000, Memory: 100}))
	h.runRounds()
	task := core.TaskID{Job: core.NewJobID(id, "big")}
	report := h.tasks["w0"][task]
	report.Used = core.Resources{Cores: 3000, Memory: 100}
	h.tasks["w0"][task] = report
	h.runRounds()
	is.Equal(h.tasks["w0"][task].Used, core.Resources{})
	is.Equal(h.limits.used[cell.LimitName("a")], int64(1000))
	is.Equal(h.running("rest"), 7)
}
