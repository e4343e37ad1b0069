package main

import (
	"fmt"
	"net/netip"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/cell"
	"chicoryturn/core/rules"
)

// unlimited implements cell.Limits without any limit.
type unlimited struct{}

// Available implements cell.Limits.
func (unlimited) Available(string) int64 { return 1 << 40 }

// Excess implements cell.Limits.
func (unlimited) Excess(string) int64 { return 0 }

// Use implements cell.Limits.
func (unlimited) Use(string, int64) {}

// SetDemand implements cell.Limits.
func (unlimited) SetDemand(string, int64) {}

// cellBench runs a cell in memory. Its workers answer every heartbeat at once.
type cellBench struct {
	cell  *cell.Cell
	now   time.Time
	seq   uint64
	jobs  int
	teams int
	tasks map[core.WorkerID][]cell.TaskReport
}

var workerRoom = core.Resources{Cores: 64000, Memory: 262144, Accel: 2}

// newCellBench returns a cell with live workers, every second of which has
// accelerators, and with teams that have equal shares.
func newCellBench(workers, teams int) *cellBench {
	bench := &cellBench{now: time.Now(), teams: teams, tasks: map[core.WorkerID][]cell.TaskReport{}}
	bench.cell = cell.New(core.CellID{Region: "r"}, 1, unlimited{})
	ruleSet := &rules.Set{Teams: map[core.Team]rules.Team{}}
	for i := range teams {
		ruleSet.Teams[teamName(i)] = rules.Team{Name: teamName(i), Share: 100 / float64(teams), Cores: 1 << 40}
	}
	bench.cell.SetRules(ruleSet)
	var vms []core.VM
	workerAddr := netip.MustParseAddrPort("127.0.0.1:1")
	for i := range workers {
		room := workerRoom
		if i%2 == 1 {
			room.Accel = 0
		}
		vms = append(vms, core.VM{Name: fmt.Sprintf("worker%05d", i), Kind: "worker", Addr: workerAddr, Region: "r", Capacity: room})
	}
	bench.cell.SetWorkers(bench.now, vms)
	bench.storeBatches()
	bench.answerHeartbeats()
	return bench
}

func teamName(i int) core.Team { return core.Team(fmt.Sprintf("team%02d", i)) }

// storeBatches marks all pending batches of the journal as stored.
func (b *cellBench) storeBatches() {
	for b.cell.Batch() != nil {
		b.cell.BatchStored(b.now)
	}
}

// submit adds jobs with the given number of tasks each.
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

// place runs placement passes until no more tasks can be placed, and returns the
// time taken.
func (b *cellBench) place() time.Duration {
	began := time.Now()
	for b.cell.Plan(b.now) {
	}
	return time.Since(began)
}

// answerHeartbeats answers all heartbeats that are due, and returns their number.
// The workers report every task that they were ordered to start as running.
func (b *cellBench) answerHeartbeats() int {
	heartbeats := b.cell.Heartbeats(b.now)
	for _, hb := range heartbeats {
		for _, order := range hb.Starts {
			b.tasks[hb.Worker] = append(b.tasks[hb.Worker], cell.TaskReport{Task: order.Task, Run: order.Run, State: cell.TaskRunning, Team: order.Team, Need: order.Need})
		}
		b.seq++
		b.cell.Report(b.now, hb, cell.Report{Stamp: "s", Incarnation: "b", Seq: b.seq, Full: true, Room: workerRoom, Tasks: b.tasks[hb.Worker]})
	}
	return len(heartbeats)
}
