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
	// RoomHintInterval is the time between two room hints. About a third of the
	// fleet's short tasks end in one interval.
	RoomHintInterval = 250 * time.Millisecond
	// RoomHintTTL is how long a room hint is used.
	RoomHintTTL = 4 * RoomHintInterval
	// A room hint names workers with at least 1/roomHintDivisor of their
	// capacity free.
	roomHintDivisor = 6
	// maxRoomHint bounds the workers of a hint, to limit traffic between the
	// VMs.
	maxRoomHint = 100
)

// WorkersWithRoom returns the workers with room for a task of common size. VMs
// that accept jobs request advice on these workers before the owner has
// received the job.
func (s *Scheduler) WorkersWithRoom(now time.Time) []core.WorkerID {
	s.now = now
	var out []core.WorkerID
	for _, w := range s.sortedWorkers {
		capacity := w.info.Capacity
		if w.usable() && w.free.Cores >= capacity.Cores/roomHintDivisor && w.free.Memory >= capacity.Memory/roomHintDivisor {
			out = append(out, w.id)
		}
	}
	if len(out) > maxRoomHint {
		shuffleByHash(out, uint64(now.UnixNano()))
		out = out[:maxRoomHint]
	}
	return out
}

// shuffleByHash orders workers by a hash of their names and the seed.
func shuffleByHash(ids []core.WorkerID, seed uint64) {
	order := make(map[core.WorkerID]uint64, len(ids))
	for _, id := range ids {
		order[id] = (xxhash.Sum64String(string(id)) ^ seed) * hashMultiplier
	}
	slices.SortFunc(ids, func(x, y core.WorkerID) int { return cmp.Compare(order[x], order[y]) })
}

// EarlyCandidates selects the workers that a VM names when it requests advice
// for the first phase of a job that it has just accepted. The candidates are
// those of the last room hint.
func EarlyCandidates(spec *jobs.Spec, advisor policy.Advisor, candidates []core.WorkerID) []core.WorkerID {
	out := slices.Clone(candidates)
	shuffleByHash(out, xxhash.Sum64String(string(spec.ID)))
	return out[:min(len(out), earlyRequestSize(advisor, spec.Phases[0].Count))]
}

// earlyRequestSize returns how many workers a request names if neither their
// room nor the share that the advisor allows is known.
func earlyRequestSize(advisor policy.Advisor, tasks int) int {
	return min(max(int(math.Ceil(requestMargin*float64(tasks)/priorAllowedShare)), cheapRequestSize(advisor)), maxRequestWorkers)
}

// cheapRequestSize returns the fewest workers that a request names, if there
// are as many: naming them takes only half as long as the call's base time.
func cheapRequestSize(advisor policy.Advisor) int {
	if advisor.PerWorker <= 0 {
		return maxRequestWorkers
	}
	return min(max(int(advisor.Base/(2*advisor.PerWorker)), minRequestWorkers), maxRequestWorkers)
}
