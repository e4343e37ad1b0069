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
	addr = netip.MustParseAddrPort("127.0.0.1:1")
	room = core.Resources{Cores: 8000, Memory: 8192}
	id   = core.CellID{Region: "r"}
)

// limits grants a fixed part of every limit.
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

// harness is a cell with workers that answer when told to.
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
	r := &harness{limits: newLimits(), now: time.Now(), tasks: map[core.WorkerID]map[core.TaskID]cell.TaskReport{}}
	r.cell = cell.New(id, 1, r.limits)
	r.cell.SetRules(&rules.Set{Teams: map[core.Team]rules.Team{"a": {Share: 60}, "b": {Share: 40}}})
	r.cell.Load(r.now, entries)
	var vms []core.VM
	for i := range workers {
		vms = append(vms, core.VM{Name: fmt.Sprintf("w%d", i), Kind: "worker", Addr: addr, Region: "r", Room: room})
	}
	r.cell.SetWorkers(r.now, vms)
	r.storeBatches()
	if t, ok := t.(*testing.T); ok {
		r.t = t
	}
	return r
}

func (r *harness) storeBatches() {
	for r.cell.Batch() != nil {
		r.cell.BatchStored(r.now)
	}
}

// answerHeartbeats sends all contacts; the workers that hear run what they are told.
func (r *harness) answerHeartbeats(hears func(core.WorkerID) bool) {
	for _, k := range append(r.unsent, r.cell.Heartbeats(r.now)...) {
		if !hears(k.Worker) {
			r.cell.HeartbeatFailed(r.now, k)
			continue
		}
		held := r.tasks[k.Worker]
		if held == nil {
			held = map[core.TaskID]cell.TaskReport{}
			r.tasks[k.Worker] = held
		}
		for _, s := range k.Starts {
			held[s.Task] = cell.TaskReport{Task: s.Task, Run: s.Run, State: cell.TaskRunning, Team: s.Team, Need: s.Need}
		}
		for _, s := range k.Stops {
			if x, ok := held[s.Task]; ok && s.How == cell.StopThrottle {
				x.Used = core.Resources{}
				held[s.Task] = x
			} else if ok && x.State == cell.TaskRunning {
				x.State = cell.TaskStopped
				if s.How == cell.StopCheckpoint {
					x.State = cell.TaskCheckpointed
				}
				held[s.Task] = x
			}
		}
		for _, a := range k.Acks {
			if held[a.Task].Run == a.Run {
				delete(held, a.Task)
			}
		}
		r.seq++
		rep := cell.Report{Stamp: "s", Incarnation: "b", Seq: r.seq, Full: true, Room: room}
		for _, x := range held {
			rep.Tasks = append(rep.Tasks, x)
		}
		r.cell.Report(r.now, k, rep)
	}
	r.unsent = nil
	r.storeBatches()
}

func allWorkers(core.WorkerID) bool { return true }

// runRounds lets placement and messages come to rest.
func (r *harness) runRounds() {
	for range 10 {
		r.cell.Plan(r.now)
		r.answerHeartbeats(allWorkers)
		r.storeBatches()
	}
}

func newSpec(name string, team core.Team, kind rules.Kind, tasks int, need core.Resources) cell.JobSpec {
	s := cell.JobSpec{ID: core.NewJobID(id, name), Team: team, Queue: "q", Kind: kind, Submitted: time.Now()}
	for range tasks {
		s.Tasks = append(s.Tasks, cell.TaskSpec{Need: need, Estimate: time.Minute})
	}
	return s
}

func (r *harness) submit(s cell.JobSpec) {
	r.t.Helper()
	if _, err := r.cell.Submit(r.now, s); err != nil {
		r.t.Fatal(err)
	}
	r.storeBatches()
}

func (r *harness) running(name string) int {
	v, _ := r.cell.Show(core.NewJobID(id, name))
	return v.Running
}

// TestHeldTasks shows that a new owner starts no older task while a worker that may
// run it has not been heard of, but starts new work at once.
func TestHeldTasks(t *testing.T) {
	is := is.New(t)
	old := newSpec("old", "a", rules.Batch, 1, core.Resources{Cores: 1000})
	r := newHarness(t, 2, []cell.Entry{{Worker: "w0"}, {Worker: "w1"}, {Accept: &old}})
	hears := func(w core.WorkerID) bool { return w == "w0" }
	r.answerHeartbeats(hears)
	r.submit(newSpec("new", "a", rules.Batch, 1, core.Resources{Cores: 1000}))
	r.cell.Plan(r.now)
	r.answerHeartbeats(hears)
	is.Equal(r.running("old"), 0)
	is.Equal(r.running("new"), 1)
	r.now = r.now.Add(7 * time.Second) // the silent worker's lease has surely ended
	r.answerHeartbeats(hears)
	r.cell.Tick(r.now)
	r.cell.Plan(r.now)
	is.Equal(r.running("old"), 1)
}

// TestAdopt shows that a new owner takes over a task that it finds running.
func TestAdopt(t *testing.T) {
	is := is.New(t)
	old := newSpec("old", "a", rules.Batch, 1, core.Resources{Cores: 1000})
	r := newHarness(t, 1, []cell.Entry{{Worker: "w0"}, {Accept: &old}})
	task := core.TaskID{Job: old.ID}
	r.tasks["w0"] = map[core.TaskID]cell.TaskReport{task: {Task: task, State: cell.TaskRunning, Team: "a", Need: core.Resources{Cores: 1000}}}
	r.runRounds()
	is.Equal(r.running("old"), 1)
	is.Equal(r.limits.used[cell.LimitName("a")], int64(1000))
}

// TestOrphanedRun shows that a task that was cancelled while nobody owned its worker
// is stopped there, and counted until it has stopped.
func TestOrphanedRun(t *testing.T) {
	is := is.New(t)
	old := newSpec("old", "a", rules.Batch, 1, core.Resources{Cores: 8000})
	r := newHarness(t, 1, []cell.Entry{{Worker: "w0"}, {Accept: &old}, {Cancel: old.ID}})
	task := core.TaskID{Job: old.ID}
	r.tasks["w0"] = map[core.TaskID]cell.TaskReport{task: {Task: task, State: cell.TaskRunning, Team: "a", Need: core.Resources{Cores: 8000}}}
	r.answerHeartbeats(allWorkers)
	is.Equal(r.limits.used[cell.LimitName("a")], int64(8000))
	r.submit(newSpec("new", "a", rules.Batch, 1, core.Resources{Cores: 1000}))
	r.cell.Plan(r.now)
	is.Equal(r.running("new"), 0) // there is no room yet
	r.runRounds()
	is.Equal(r.running("new"), 1)
}

// TestShares shows that a full cell is divided by the shares.
func TestShares(t *testing.T) {
	is := is.New(t)
	r := newHarness(t, 10, nil)
	r.answerHeartbeats(allWorkers)
	r.submit(newSpec("a", "a", rules.Batch, 200, core.Resources{Cores: 1000}))
	r.submit(newSpec("b", "b", rules.Batch, 200, core.Resources{Cores: 1000}))
	r.runRounds()
	is.Equal(r.running("a"), 48)
	is.Equal(r.running("b"), 32)
}

// TestGang shows that a gang takes all of its room or none, and that its
// reservation keeps room that small work would take for longer.
func TestGang(t *testing.T) {
	is := is.New(t)
	r := newHarness(t, 2, nil)
	r.answerHeartbeats(allWorkers)
	r.submit(newSpec("small", "a", rules.Batch, 1, core.Resources{Cores: 1000}))
	r.runRounds()
	r.submit(newSpec("gang", "b", rules.Gang, 2, core.Resources{Cores: 8000}))
	r.runRounds()
	is.Equal(r.running("gang"), 0)
	late := newSpec("late", "a", rules.Batch, 20, core.Resources{Cores: 1000})
	for i := range late.Tasks {
		late.Tasks[i].Estimate = time.Hour
	}
	r.submit(late)
	r.runRounds()
	is.True(r.running("late") <= 8) // the reserved workers stay free for the gang
}

// TestTooLarge shows the typed refusal of a job that can never run.
func TestTooLarge(t *testing.T) {
	is := is.New(t)
	r := newHarness(t, 2, nil)
	_, err := r.cell.Submit(r.now, newSpec("x", "a", rules.Batch, 1, core.Resources{Cores: 9000}))
	var refused *core.RefusalError
	is.True(errors.As(err, &refused))
	is.Equal(refused.Code, core.CodeTooLarge)
}

// TestSnapshot shows that a cell is rebuilt from its own snapshot.
func TestSnapshot(t *testing.T) {
	is := is.New(t)
	r := newHarness(t, 2, nil)
	r.answerHeartbeats(allWorkers)
	r.submit(newSpec("one", "a", rules.Batch, 3, core.Resources{Cores: 1000}))
	r.runRounds()
	again := newHarness(t, 2, r.cell.Snapshot().Entries)
	again.tasks = r.tasks
	again.runRounds()
	is.Equal(again.running("one"), 3)
}

// TestDecisionTime bounds a decision with 13,000 workers by the stated target
// of milliseconds; it takes some ten microseconds.
func TestDecisionTime(t *testing.T) {
	r := newHarness(t, 13000, nil)
	r.answerHeartbeats(allWorkers)
	for i := range 100 {
		r.submit(newSpec(fmt.Sprint(i), "a", rules.Batch, 100, core.Resources{Cores: 2000, Memory: 1024}))
	}
	began := time.Now()
	for r.cell.Plan(r.now) {
	}
	each := time.Since(began) / time.Duration(r.cell.Counts().Starts)
	if each > time.Millisecond {
		t.Errorf("a decision takes %s", each)
	}
}

// TestRemovedWorker shows that a worker that left the list before the take-over is
// waited for once and then forgotten.
func TestRemovedWorker(t *testing.T) {
	is := is.New(t)
	old := newSpec("old", "a", rules.Batch, 1, core.Resources{Cores: 1000})
	r := newHarness(t, 1, []cell.Entry{{Worker: "w0"}, {Worker: "lost"}, {Accept: &old}})
	r.answerHeartbeats(allWorkers)
	r.cell.Plan(r.now)
	is.Equal(r.running("old"), 0) // the lost worker may still run it
	r.now = r.now.Add(7 * time.Second)
	r.answerHeartbeats(allWorkers)
	r.cell.Tick(r.now)
	r.storeBatches()
	r.runRounds()
	is.Equal(r.running("old"), 1)
	for _, e := range r.cell.Snapshot().Entries {
		is.True(e.Worker != "lost")
	}
}

// TestRecharge shows that a task that uses more than it declared takes the
// room that it uses, and gives all of it back.
func TestRecharge(t *testing.T) {
	is := is.New(t)
	r := newHarness(t, 1, nil)
	r.answerHeartbeats(allWorkers)
	r.submit(newSpec("big", "a", rules.Batch, 1, core.Resources{Cores: 1000, Memory: 100}))
	r.runRounds()
	task := core.TaskID{Job: core.NewJobID(id, "big")}
	seen := r.tasks["w0"][task]
	seen.Used = core.Resources{Cores: 7000, Memory: 100}
	r.tasks["w0"][task] = seen
	r.submit(newSpec("next", "b", rules.Batch, 2, core.Resources{Cores: 1000}))
	r.answerHeartbeats(allWorkers)
	r.runRounds()
	is.Equal(r.running("next"), 1) // 8 cores less the 7 in use
	seen.State, seen.Used = cell.TaskDone, core.Resources{}
	r.tasks["w0"][task] = seen
	r.runRounds()
	is.Equal(r.running("next"), 2)
	is.Equal(r.limits.used[cell.LimitName("a")], int64(0))
}

// TestLateReport shows that a report of an earlier run of a task, processed
// once more after the task has been placed again, does not end the new run.
func TestLateReport(t *testing.T) {
	is := is.New(t)
	r := newHarness(t, 1, nil)
	r.answerHeartbeats(allWorkers)
	r.submit(newSpec("one", "a", rules.Batch, 1, core.Resources{Cores: 1000}))
	r.runRounds()
	task := core.TaskID{Job: core.NewJobID(id, "one")}
	first := r.tasks["w0"][task]
	first.State = cell.TaskStopped
	late := cell.Report{Stamp: "s", Incarnation: "b", Seq: r.seq + 1, Room: room, Tasks: []cell.TaskReport{first}}
	r.seq++
	k := cell.Heartbeat{Worker: "w0", Wait: time.Second, Stamp: "s"}
	r.cell.Report(r.now, k, late)
	is.Equal(r.running("one"), 0)
	r.cell.Plan(r.now)
	is.Equal(r.running("one"), 1)
	r.cell.Report(r.now, k, late)
	is.Equal(r.running("one"), 1)
}

// TestThrottle shows that a task that fills its worker beyond its room is
// throttled to what it declared.
func TestThrottle(t *testing.T) {
	is := is.New(t)
	r := newHarness(t, 1, nil)
	r.answerHeartbeats(allWorkers)
	r.submit(newSpec("big", "a", rules.Batch, 1, core.Resources{Cores: 1000, Memory: 100}))
	r.submit(newSpec("rest", "b", rules.Batch, 7, core.Resources{Cores: 1000, Memory: 100}))
	r.runRounds()
	task := core.TaskID{Job: core.NewJobID(id, "big")}
	seen := r.tasks["w0"][task]
	seen.Used = core.Resources{Cores: 3000, Memory: 100}
	r.tasks["w0"][task] = seen
	r.runRounds()
	is.Equal(r.tasks["w0"][task].Used, core.Resources{})
	is.Equal(r.limits.used[cell.LimitName("a")], int64(1000))
	is.Equal(r.running("rest"), 7)
}
