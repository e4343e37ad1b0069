// Package place finds the worker on which a task fits best.
package place

import (
	"github.com/google/btree"

	"chicoryturn/core"
)

const (
	// A treeDegree of 32 keeps a tree node within a few cache lines.
	treeDegree = 32
	// scanLimit bounds the workers examined for one task.
	scanLimit = 48
	// deepScanLimit replaces scanLimit while no examined worker fits.
	deepScanLimit = 2048
)

// entry is a worker in a tree, ordered by its free cores.
type entry struct {
	cores    int64
	id       core.WorkerID
	capacity *capacity
}

type capacity struct {
	free, total core.Resources
}

func less(a, b entry) bool {
	if a.cores != b.cores {
		return a.cores < b.cores
	}
	return a.id < b.id
}

// Index orders workers by free cores. Workers with accelerators are in a tree of
// their own, so that tasks that need no accelerator use them only if no other
// worker has room.
type Index struct {
	plain, accel *btree.BTreeG[entry]
	workers      map[core.WorkerID]*capacity
	free, total  core.Resources
}

// New returns an empty index.
func New() *Index {
	return &Index{
		plain:   btree.NewG(treeDegree, less),
		accel:   btree.NewG(treeDegree, less),
		workers: map[core.WorkerID]*capacity{},
	}
}

func (x *Index) tree(c *capacity) *btree.BTreeG[entry] {
	if c.total.Accel > 0 {
		return x.accel
	}
	return x.plain
}

// Put adds a worker or updates its free and total room.
func (x *Index) Put(id core.WorkerID, free, total core.Resources) {
	if c, ok := x.workers[id]; ok && c.total == total {
		x.tree(c).Delete(entry{c.free.Cores, id, c})
		x.free = x.free.Sub(c.free).Add(free)
		c.free = free
		x.tree(c).ReplaceOrInsert(entry{free.Cores, id, c})
		return
	}
	x.Remove(id)
	c := &capacity{free, total}
	x.workers[id] = c
	x.free, x.total = x.free.Add(free), x.total.Add(total)
	x.tree(c).ReplaceOrInsert(entry{free.Cores, id, c})
}

// Remove removes a worker.
func (x *Index) Remove(id core.WorkerID) {
	c, ok := x.workers[id]
	if !ok {
		return
	}
	x.tree(c).Delete(entry{c.free.Cores, id, c})
	x.free, x.total = x.free.Sub(c.free), x.total.Sub(c.total)
	delete(x.workers, id)
}

// Free returns the free room of all workers.
func (x *Index) Free() core.Resources { return x.free }

// Total returns the total room of all workers.
func (x *Index) Total() core.Resources { return x.total }

// Len returns the number of workers.
func (x *Index) Len() int { return len(x.workers) }

// BestFit returns the worker with the least waste once need is placed on it, among
// the workers that allow accepts. It compares only the first scanLimit workers with
// enough free cores, and prefers workers without accelerators.
func (x *Index) BestFit(need core.Resources, allow func(core.WorkerID) bool) (core.WorkerID, bool) {
	if need.Accel == 0 {
		if id, ok := best(x.plain, need, allow); ok {
			return id, true
		}
	}
	return best(x.accel, need, allow)
}

// WorstFit returns the worker with the most free cores among those that have room
// for need and that allow accepts. It prefers workers without accelerators. It is
// the baseline to which BestFit is compared.
func (x *Index) WorstFit(need core.Resources, allow func(core.WorkerID) bool) (core.WorkerID, bool) {
	var found core.WorkerID
	for _, tree := range []*btree.BTreeG[entry]{x.plain, x.accel} {
		tree.DescendLessOrEqual(entry{cores: 1 << 62}, func(e entry) bool {
			if e.cores < need.Cores {
				return false
			}
			if need.FitsIn(e.capacity.free) && allow(e.id) {
				found = e.id
			}
			return found == ""
		})
		if found != "" {
			return found, true
		}
	}
	return "", false
}

func best(tree *btree.BTreeG[entry], need core.Resources, allow func(core.WorkerID) bool) (core.WorkerID, bool) {
	var found core.WorkerID
	leastWaste := 0.0
	examined := 0
	tree.AscendGreaterOrEqual(entry{cores: need.Cores}, func(e entry) bool {
		examined++
		if need.FitsIn(e.capacity.free) && allow(e.id) {
			if w := waste(e.capacity, need); found == "" || w < leastWaste {
				found, leastWaste = e.id, w
			}
		}
		return examined < scanLimit || (found == "" && examined < deepScanLimit)
	})
	return found, found != ""
}

// waste scores the room that would be left on a worker. A remainder with cores and
// memory out of proportion scores higher, because a worker that has run out of one
// resource cannot use the rest of the others.
func waste(c *capacity, need core.Resources) float64 {
	left := c.free.Sub(need)
	cores, memory := fraction(left.Cores, c.total.Cores), fraction(left.Memory, c.total.Memory)
	return cores + memory + max(cores-memory, memory-cores) + fraction(left.Accel, c.total.Accel)
}

func fraction(n, total int64) float64 {
	if total == 0 {
		return 0
	}
	return float64(n) / float64(total)
}
