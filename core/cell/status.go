package cell

import (
	"slices"

	"chicoryturn/core"
)

// TeamStatus holds the cores that a team uses and the cores of its queued tasks in
// a cell, in thousandths of a core.
type TeamStatus struct {
	Team   core.Team
	Cores  int64
	Queued int64
}

// Status is the state of a cell for display.
type Status struct {
	Cell          core.CellID
	Epoch         core.Epoch
	Workers, Live int
	// Total is the capacity of all workers, and Free the room on those on which
	// tasks may be placed now.
	Total, Free core.Resources
	// Queued is the number of queued tasks, and Running the number of tasks placed
	// on a worker.
	Queued, Running int
	Teams           []TeamStatus
}

// Status returns the state of the cell for display.
func (c *Cell) Status() Status {
	status := Status{Cell: c.id, Epoch: c.epoch, Workers: len(c.workersByID), Total: c.totalCapacity(), Free: c.roomIndex.Free()}
	for _, w := range c.workersByID {
		if w.state == workerStateLive {
			status.Live++
		}
		status.Running += len(w.tasks)
	}
	for _, j := range c.jobs {
		status.Queued += len(j.queuedTasks)
	}
	for team, queue := range c.teamQueues {
		status.Teams = append(status.Teams, TeamStatus{team, c.shares.Used(team).Cores, queue.queuedCores})
	}
	slices.SortFunc(status.Teams, func(a, b TeamStatus) int {
		if a.Team < b.Team {
			return -1
		}
		return 1
	})
	return status
}

// WorkerView is the state of a worker for display.
type WorkerView struct {
	Name          core.WorkerID
	State, Health string
	Leaving       bool
	// Free is the worker's room, and Room its capacity.
	Free, Room core.Resources
	Tasks      int
	Orphans    int
}

// Workers returns the state of each worker for display.
func (c *Cell) Workers() []WorkerView {
	out := make([]WorkerView, 0, len(c.workersByID))
	for _, w := range c.workersByID {
		out = append(out, WorkerView{
			w.id, workerChart.Name(w.state), healthChart.Name(w.health), w.leaving, w.free, w.capacity, len(w.tasks), len(w.orphans),
		})
	}
	return out
}
