package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chicoryturn/core"
	"chicoryturn/core/jobs"
	"chicoryturn/core/policy"
)

const (
	// RoomHintInterval is the time between two hints of where room is, in which a
	// third of the fleet's short tasks end.
	RoomHintInterval = 250 * time.Millisecond
	// RoomHintTTL is how long a hint is used.
	RoomHintTTL = 4 * RoomHintInterval
	// roomHintDivisor of a worker's room must be free for it to be in a hint.
	roomHintDivisor = 6
	// maxRoomHint bounds the workers of a hint, for the links between VMs.
	maxRoomHint = 100
)

// WorkersWithRoom returns workers on which a task of common size finds room. VMs that
// take jobs ask for advice on these before the owner has heard of the job.
func (b *Scheduler) WorkersWithRoom(now time.Time) []core.WorkerID {
	b.now = now
	var out []core.WorkerID
	for _, w := range b.sortedWorkers {
		room := w.info.Room
		if w.usable() && w.free.Cores >= room.Cores/roomHintDivisor && w.free.Memory >= room.Memory/roomHintDivisor {
			out = append(out, w.id)
		}
	}
	if len(out) > maxRoomHint {
		shuffleByHash(out, uint64(now.UnixNano()))
		out = out[:maxRoomHint]
	}
	return out
}

// shuffleByHash orders workers by a hash that differs by seed.
func shuffleByHash(ids []core.WorkerID, seed uint64) {
	order := make(map[core.WorkerID]uint64, len(ids))
	for _, id := range ids {
		order[id] = (xxhash.Sum64String(string(id)) ^ seed) * hashMultiplier
	}
	slices.SortFunc(ids, func(x, y core.WorkerID) int { return cmp.Compare(order[x], order[y]) })
}

// EarlyCandidates returns the workers that a VM names in its own call for the first
// phase of a job that it has just taken, of those that may have room.
func EarlyCandidates(spec *jobs.Spec, p policy.Advice, candidates []core.WorkerID) []core.WorkerID {
	out := slices.Clone(candidates)
	shuffleByHash(out, xxhash.Sum64String(string(spec.ID)))
	return out[:min(len(out), earlyRequestSize(p, spec.Phases[0].Count))]
}

// earlyRequestSize is how many workers a call names that knows neither how much room
// each of them has nor how many are likely to be allowed.
func earlyRequestSize(p policy.Advice, tasks int) int {
	return min(max(int(math.Ceil(requestMargin*float64(tasks)/priorAllowedShare)), cheapRequestSize(p)), maxRequestWorkers)
}

// cheapRequestSize is how many workers a call names at least: naming them takes half
// as long as the call does anyway.
func cheapRequestSize(p policy.Advice) int {
	if p.PerWorker <= 0 {
		return maxRequestWorkers
	}
	return min(max(int(p.Base/(2*p.PerWorker)), minRequestWorkers), maxRequestWorkers)
}
