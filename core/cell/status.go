package cell

import (
	"slices"

	"chicoryturn/core"
)

// TeamLoad is what a team runs and waits for in a cell, in thousandths of a
// core.
type TeamLoad struct {
	Team   core.Team
	Cores  int64
	Queued int64
}

// Load is a cell's state for display.
type Load struct {
	Cell          core.CellID
	Epoch         core.Epoch
	Workers, Live int
	Total, Free   core.Resources
	// Queued and Running count tasks.
	Queued, Running int
	Teams           []TeamLoad
}

// State returns the cell's state for display.
func (c *Cell) State() Load {
	l := Load{Cell: c.id, Epoch: c.epoch, Workers: len(c.workersByID), Total: c.totalRoom(), Free: c.roomIndex.Free()}
	for _, w := range c.workersByID {
		if w.state == workerStateLive {
			l.Live++
		}
		l.Running += len(w.tasks)
	}
	for _, j := range c.jobs {
		l.Queued += len(j.queuedTasks)
	}
	for team, line := range c.teamQueues {
		l.Teams = append(l.Teams, TeamLoad{team, c.shares.Used(team).Cores, line.queuedCores})
	}
	slices.SortFunc(l.Teams, func(a, b TeamLoad) int {
		if a.Team < b.Team {
			return -1
		}
		return 1
	})
	return l
}

// WorkerView is a worker for display.
type WorkerView struct {
	Name          core.WorkerID
	State, Health string
	Leaving       bool
	Free, Room    core.Resources
	Tasks         int
	Orphans       int
}

// Workers returns the workers for display.
func (c *Cell) Workers() []WorkerView {
	out := make([]WorkerView, 0, len(c.workersByID))
	for _, w := range c.workersByID {
		out = append(out, WorkerView{
			w.id, workerChart.Name(w.state), healthChart.Name(w.health), w.leaving, w.free, w.room, len(w.tasks), len(w.orphans),
		})
	}
	return out
}
