package load

import (
	"math"

	"chicoryturn/core"
)

const (
	// Class k of Slots is a need of classBase, in thousandths of a core or MiB, times 2 to the
	// power of k/classesPerOctave. A need counts as the next smaller class, which finds at most a fifth
	// too much room.
	classBase        = 100
	classesPerOctave = 4
	classCount       = 48
	// maxSlots bounds a count, and with it what a summary takes.
	maxSlots = 999_999
)

// classNeeds holds the need of each class.
var classNeeds = func() (out [classCount]int64) {
	for k := range out {
		out[k] = int64(classBase * math.Pow(2, float64(k)/classesPerOctave))
	}
	return out
}()

// class returns the class that a need counts as.
func class(need int64) int {
	k := 0
	for k+1 < classCount && classNeeds[k+1] <= need {
		k++
	}
	return k
}

// Slots counts the tasks that fit into the free room of the workers of a service, for each class
// of needs by cores alone and by memory alone. Classes that fit nowhere are cut off.
type Slots struct{ Cores, Memory []int }

// Add adds the free room of one worker.
func (s *Slots) Add(free core.Resources) {
	add := func(slots []int, room int64) []int {
		for k, need := range classNeeds {
			n := int(max(room, 0) / need)
			if n == 0 {
				break
			}
			if k == len(slots) {
				slots = append(slots, 0)
			}
			slots[k] = min(slots[k]+n, maxSlots)
		}
		return slots
	}
	s.Cores, s.Memory = add(s.Cores, free.Cores), add(s.Memory, free.Memory)
}

// Count returns the largest number of tasks with a need that fit into the free room, of which other
// tasks take the amount taken. It is not known if all needs are below the first class.
func (s Slots) Count(need core.Resources, taken Amount) (n int, known bool) {
	n = math.MaxInt
	for _, d := range []struct {
		need, taken int64
		slots       []int
	}{{need.Cores, taken.Cores, s.Cores}, {need.Memory, taken.Memory, s.Memory}} {
		if d.need < classBase {
			continue
		}
		known = true
		fit := 0
		if k := class(d.need); k < len(d.slots) {
			fit = d.slots[k]
		}
		n = min(n, max(fit-int(d.taken/d.need), 0))
	}
	return n, known
}

// Waiting collects the needs of tasks that wait for room.
type Waiting struct{ cores, memory [classCount]int64 }

// Add adds tasks of a phase.
func (w *Waiting) Add(need core.Resources, tasks int) {
	n := int64(tasks)
	w.cores[class(need.Cores)] += need.Cores * n
	w.memory[class(need.Memory)] += need.Memory * n
}

// AddAll adds all that other holds.
func (w *Waiting) AddAll(other *Waiting) {
	for k := range classCount {
		w.cores[k] += other.cores[k]
		w.memory[k] += other.memory[k]
	}
}

// In returns the free room that the tasks can take. Room in pieces too small for them they leave
// to smaller ones.
func (w *Waiting) In(s Slots) Amount {
	in := func(sums [classCount]int64, slots []int) (total int64) {
		for k := classCount - 1; k >= 0; k-- {
			fit := int64(0)
			if k < len(slots) {
				fit = int64(slots[k]) * classNeeds[min(k+1, classCount-1)]
			}
			total = min(total+sums[k], max(total, fit))
		}
		return total
	}
	return Amount{in(w.cores, s.Cores), in(w.memory, s.Memory)}
}
