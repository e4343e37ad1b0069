package main

import (
	"fmt"
	"net/netip"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/cell"
	"chicoryturn/core/rules"
)

// unlimited grants every team whatever it asks for.
type unlimited struct{}

// Available implements cell.Limits.
func (unlimited) Available(string) int64 { return 1 << 40 }

// Excess implements cell.Limits.
func (unlimited) Excess(string) int64 { return 0 }

// Use implements cell.Limits.
func (unlimited) Use(string, int64) {}

// SetDemand implements cell.Limits.
func (unlimited) SetDemand(string, int64) {}

// cellBench is a cell whose workers answer at once, without messages.
type cellBench struct {
	cell  *cell.Cell
	now   time.Time
	seq   uint64
	jobs  int
	teams int
	tasks map[core.WorkerID][]cell.TaskReport
}

var workerRoom = core.Resources{Cores: 64000, Memory: 262144, Accel: 2}

func newCellBench(workers, teams int) *cellBench {
	b := &cellBench{now: time.Now(), teams: teams, tasks: map[core.WorkerID][]cell.TaskReport{}}
	b.cell = cell.New(core.CellID{Region: "r"}, 1, unlimited{})
	set := &rules.Set{Teams: map[core.Team]rules.Team{}}
	for i := range teams {
		set.Teams[teamName(i)] = rules.Team{Name: teamName(i), Share: 100 / float64(teams), Cores: 1 << 40}
	}
	b.cell.SetRules(set)
	var vms []core.VM
	addr := netip.MustParseAddrPort("127.0.0.1:1")
	for i := range workers {
		r := workerRoom
		if i%2 == 1 {
			r.Accel = 0
		}
		vms = append(vms, core.VM{Name: fmt.Sprintf("worker%05d", i), Kind: "worker", Addr: addr, Region: "r", Room: r})
	}
	b.cell.SetWorkers(b.now, vms)
	b.storeBatches()
	b.answerHeartbeats()
	return b
}

func teamName(i int) core.Team { return core.Team(fmt.Sprintf("team%02d", i)) }

func (b *cellBench) storeBatches() {
	for b.cell.Batch() != nil {
		b.cell.BatchStored(b.now)
	}
}

// submit adds jobs of some tasks each.
func (b *cellBench) submit(jobs, tasks int, need core.Resources) error {
	for range jobs {
		b.jobs++
		spec := cell.JobSpec{
			ID: core.NewJobID(core.CellID{Region: "r"}, fmt.Sprintf("job%07d", b.jobs)), Team: teamName(b.jobs % b.teams),
			Queue: "sweep", Kind: rules.Batch, Submitted: b.now,
		}
		for range tasks {
			spec.Tasks = append(spec.Tasks, cell.TaskSpec{Need: need, Estimate: time.Minute, Command: "sleep 60s"})
		}
		if _, err := b.cell.Submit(b.now, spec); err != nil {
			return err
		}
	}
	b.storeBatches()
	return nil
}

// place runs placement until nothing more can be placed.
func (b *cellBench) place() time.Duration {
	began := time.Now()
	for b.cell.Plan(b.now) {
	}
	return time.Since(began)
}

// answerHeartbeats lets every contacted worker report what it was told to run.
func (b *cellBench) answerHeartbeats() int {
	contacts := b.cell.Heartbeats(b.now)
	for _, k := range contacts {
		for _, s := range k.Starts {
			b.tasks[k.Worker] = append(b.tasks[k.Worker], cell.TaskReport{Task: s.Task, Run: s.Run, State: cell.TaskRunning, Team: s.Team, Need: s.Need})
		}
		b.seq++
		b.cell.Report(b.now, k, cell.Report{Stamp: "s", Incarnation: "b", Seq: b.seq, Full: true, Room: workerRoom, Tasks: b.tasks[k.Worker]})
	}
	return len(contacts)
}
