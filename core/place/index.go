// Package place finds the worker on which a task fits best.
package place

import (
	"github.com/google/btree"

	"chicoryturn/core"
)

const (
	// A treeDegree of 32 keeps a tree node within a few cache lines.
	treeDegree = 32
	// scanLimit is the number of workers examined for one task. It bounds the
	// time of a placement in a large cell.
	scanLimit = 48
	// deepScanLimit replaces scanLimit while no examined worker fits, for example
	// because most workers with enough free cores lack memory.
	deepScanLimit = 2048
)

// entry is a worker in a tree, ordered by its free cores.
type entry struct {
	cores  int64
	id     core.WorkerID
	worker *worker
}

// worker is the room and the capacity of one worker.
type worker struct {
	free, total core.Resources
}

func less(a, b entry) bool {
	if a.cores != b.cores {
		return a.cores < b.cores
	}
	return a.id < b.id
}

// Index orders workers by free cores. Workers with accelerators are in a separate
// tree, so that tasks that need no accelerator use them only if no other worker
// has room.
type Index struct {
	plain, accel *btree.BTreeG[entry]
	workers      map[core.WorkerID]*worker
	free, total  core.Resources
}

// New returns an empty index.
func New() *Index {
	return &Index{
		plain:   btree.NewG(treeDegree, less),
		accel:   btree.NewG(treeDegree, less),
		workers: map[core.WorkerID]*worker{},
	}
}

func (x *Index) tree(w *worker) *btree.BTreeG[entry] {
	if w.total.Accel > 0 {
		return x.accel
	}
	return x.plain
}

// Put adds a worker with its room and capacity or updates them.
func (x *Index) Put(id core.WorkerID, free, total core.Resources) {
	if w, ok := x.workers[id]; ok && w.total == total {
		x.tree(w).Delete(entry{w.free.Cores, id, w})
		x.free = x.free.Sub(w.free).Add(free)
		w.free = free
		x.tree(w).ReplaceOrInsert(entry{free.Cores, id, w})
		return
	}
	x.Remove(id)
	w := &worker{free, total}
	x.workers[id] = w
	x.free, x.total = x.free.Add(free), x.total.Add(total)
	x.tree(w).ReplaceOrInsert(entry{free.Cores, id, w})
}

// Remove removes a worker.
func (x *Index) Remove(id core.WorkerID) {
	w, ok := x.workers[id]
	if !ok {
		return
	}
	x.tree(w).Delete(entry{w.free.Cores, id, w})
	x.free, x.total = x.free.Sub(w.free), x.total.Sub(w.total)
	delete(x.workers, id)
}

// Free returns the sum of the room of all workers.
func (x *Index) Free() core.Resources { return x.free }

// Total returns the sum of the capacity of all workers.
func (x *Index) Total() core.Resources { return x.total }

// Len returns the number of workers.
func (x *Index) Len() int { return len(x.workers) }

// BestFit returns the worker with the least waste once need is placed on it, among
// the workers that allow accepts. It prefers workers without accelerators. To save
// time it examines only the scanLimit workers with the fewest sufficient free cores,
// or up to deepScanLimit if none of these fits.
func (x *Index) BestFit(need core.Resources, allow func(core.WorkerID) bool) (core.WorkerID, bool) {
	if need.Accel == 0 {
		if id, ok := bestInTree(x.plain, need, allow); ok {
			return id, true
		}
	}
	return bestInTree(x.accel, need, allow)
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
			if need.FitsIn(e.worker.free) && allow(e.id) {
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

// bestInTree returns the result of BestFit for one of the trees.
func bestInTree(tree *btree.BTreeG[entry], need core.Resources, allow func(core.WorkerID) bool) (core.WorkerID, bool) {
	var found core.WorkerID
	leastWaste := 0.0
	examined := 0
	tree.AscendGreaterOrEqual(entry{cores: need.Cores}, func(e entry) bool {
		examined++
		if need.FitsIn(e.worker.free) && allow(e.id) {
			if wasted := waste(e.worker, need); found == "" || wasted < leastWaste {
				found, leastWaste = e.id, wasted
			}
		}
		return examined < scanLimit || (found == "" && examined < deepScanLimit)
	})
	return found, found != ""
}

// waste scores the room that would be left on a worker. A remainder with cores and
// memory out of proportion scores higher, because a worker that has run out of one
// resource cannot use the rest of the others.
func waste(w *worker, need core.Resources) float64 {
	left := w.free.Sub(need)
	cores, memory := fraction(left.Cores, w.total.Cores), fraction(left.Memory, w.total.Memory)
	return cores + memory + max(cores-memory, memory-cores) + fraction(left.Accel, w.total.Accel)
}

func fraction(n, total int64) float64 {
	if total == 0 {
		return 0
	}
	return float64(n) / float64(total)
}
