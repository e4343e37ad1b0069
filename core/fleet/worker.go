package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chicoryturn/core"
	"chicoryturn/core/chart"
	"chicoryturn/core/jobs"
)

const (
	// minClockRate is the lowest rate of a worker's clock; the platform allows
	// clocks that are 2 % slow.
	minClockRate = 0.98
	// leaseSlack is added to a lease before it counts as expired, for rounding
	// on both sides.
	leaseSlack = 50 * time.Millisecond
	// maxClockAge bounds the age of a worker's answer for which its clock is extrapolated:
	// the rate of the clock is not known, and leaseSlack covers this much.
	maxClockAge = 2 * time.Second
	// goneDelay is how long a worker must be missing from the platform's list
	// before it counts as gone. Entries that lapse while the store is
	// unavailable reappear within 2 s of its return.
	goneDelay = 2500 * time.Millisecond
	// maxOwnerGap is the longest interval between two readings of the list by
	// the owner over which a worker that is missing from both counts as
	// continuously missing. The owner reads the list every 500 ms.
	maxOwnerGap = 1500 * time.Millisecond
	// maxFailedInRow is how many consecutive runs must fail on a worker before
	// it is set aside.
	maxFailedInRow = 3
	// minAside and maxAside bound the period for which a worker with failing
	// runs is set aside; the period doubles each time.
	minAside = 1 * time.Second
	maxAside = 8 * time.Second
)

// WorkerInfo is a worker as the platform lists it.
type WorkerInfo struct {
	core.VM
	Labels []string
	// LeavesIn is the least time until a leaving worker ends.
	LeavesIn time.Duration `json:"Left"`
	// Incarnation identifies the worker's incarnation; zero if the list does not
	// contain it.
	Incarnation time.Time `json:"Born"`
	// Renewals changes whenever the worker renews its entry.
	Renewals uint64 `json:"Beat"`
	// ColdFor is how much longer the worker is slow after its start, as of its entry. It is
	// not stored: a later owner takes it from the list.
	ColdFor time.Duration `json:"-"`
}

// WorkerList is one reading of the platform's list of workers.
type WorkerList struct {
	Workers []WorkerInfo
	// Unusable holds the entries that describe no usable worker, each with an ID that
	// no entry of Workers has.
	Unusable []UnusableEntry
	// RequestedAt and ReceivedAt are when the list was requested and received, on a
	// clock that counts suspensions of the VM; 0 if not known.
	RequestedAt, ReceivedAt time.Duration
}

// UnusableEntry is an entry of the platform's list that describes no usable worker.
type UnusableEntry struct {
	ID  core.WorkerID
	Err error
}

// ID returns the worker's name.
func (info WorkerInfo) ID() core.WorkerID { return core.WorkerID(info.Name) }

// orphanedRun is a run that holds room on a worker but is not wanted there and
// is being stopped.
type orphanedRun struct {
	task     jobs.TaskID
	run      uint64
	reserved core.Resources
	team     core.Team
	// stopSentAt is when its stop was last ordered, stopAckedAt when the worker
	// acknowledged it; zero if not.
	stopSentAt, stopAckedAt time.Time
}

// Worker is the scheduler's state of one worker.
type Worker struct {
	id        core.WorkerID
	scheduler *Scheduler
	// nameHash is a hash of the worker's name.
	nameHash uint64
	state    chart.State
	info     WorkerInfo
	// inherited is set if the worker was in the stored roster when this owner took
	// over. On no other worker can earlier owners have started runs.
	inherited bool
	// inRoster is set while this incarnation is in the stored roster, which a later
	// owner reads. Rosters older than rosterSince do not count.
	inRoster    bool
	rosterSince uint64
	// accounted is set while the worker's roster entry names the tasks that may run
	// there, accountedRuns, because it does not answer. Nothing is placed on it then.
	accounted     bool
	accountedRuns []jobs.TaskID
	// silentSince is when the worker missed the first heartbeat since its last answer.
	silentSince time.Time
	// since is the epoch in the worker's roster entry.
	since core.Epoch
	// heard is set once the worker has answered this owner or has ended, contactAt is when the last
	// heartbeat was sent that it has answered.
	heard     bool
	contactAt time.Time
	// inQuorum is set while this incarnation counts towards the quorum: every roster that
	// may be stored names it. Rosters older than quorumSince do not show that.
	inQuorum    bool
	quorumSince uint64
	// listed is set while the platform lists the worker; if it is not set,
	// missingSince is when the worker was first found missing.
	listed       bool
	missingSince time.Time
	// entryIncarnation is the incarnation that the last usable entry was of; zero before the
	// first one. What info holds of the worker but its Incarnation is from that entry.
	entryIncarnation time.Time
	// incarnationSince is when info.Incarnation became known; zero for the first one.
	incarnationSince time.Time
	// entryUnusable is set while the worker's entry in the list cannot be used. What
	// the last usable one said of the worker holds on, but nothing is placed on it.
	entryUnusable bool
	// renewedAfter is a time before the last renewal of the entry, on the clock of
	// WorkerList; 0 if this owner has seen no renewal.
	renewedAfter time.Duration
	// free is the room that neither tasks nor orphaned runs hold.
	free    core.Resources
	tasks   map[jobs.TaskID]*Task
	orphans []orphanedRun
	// unknownRuns holds the runs of jobs that the scheduler does not know.
	// While there are any, nothing is placed on the worker.
	unknownRuns map[jobs.TaskID]uint64
	// blockedSince is when the end of an unknown job's run began to keep later
	// ends from being handled; zero if none does. The worker had listed the ends up
	// to blockedThrough then.
	blockedSince   time.Time
	blockedThrough uint64
	// hidesEnds is set while runs of earlier owners may have ended there that no list has
	// named: the first list was cut off, none has been complete since, and no run that was
	// known then has ended, which would show that all earlier ends have been handled.
	hidesEnds bool

	// clock is the worker's clock in its last answer, which arrived at
	// answeredAt.
	clock      time.Duration
	answeredAt time.Time
	// incarnation is the one that answered last; zero if none has.
	incarnation time.Time
	// leaseUntil is the end of the longest lease sent, on the worker's clock.
	leaseUntil time.Duration

	// heartbeatInFlight is set while a heartbeat sent at heartbeatSentAt has no
	// answer.
	heartbeatInFlight bool
	heartbeatSentAt   time.Time
	// nextHeartbeat is the earliest time of the next heartbeat after a missed
	// one.
	nextHeartbeat time.Time
	// handledEnd is the number of the newest end handled, ackedEnd that of the
	// newest one acknowledged. The ends up to handledEnd may be acknowledged
	// once the change numbered ackableSeq is in the store.
	handledEnd, ackedEnd uint64
	ackableSeq           uint64
	ack                  ack

	// evacuated is set while the worker's zone is evacuated.
	evacuated bool
	// coldUntil is the time by which the worker has warmed up after its start; zero if its
	// entries have never shown it cold.
	coldUntil time.Time
	// slowness is the mean logarithm of actual over predicted run time.
	slowness float64
	// failedInRow counts the failed runs since the last successful one.
	failedInRow int
	// The worker is set aside until asideUntil, the last time for asidePeriod.
	asideUntil  time.Time
	asidePeriod time.Duration
}

func (w *Worker) fire(ev chart.Event) { w.scheduler.recordRefused(workerChart.Fire(&w.state, ev, w)) }

// SetWorkers updates the workers from a new list of the platform. It adds none of a
// service that the configuration does not name: its entry may be another system's.
func (s *Scheduler) SetWorkers(now time.Time, list WorkerList) {
	s.now = now
	if s.lists.endedBefore(list) {
		s.lists.since = list.RequestedAt
	}
	listed := map[core.WorkerID]bool{}
	s.misdirected.retain(list.Workers)
	for _, e := range list.Unusable {
		if w := s.workers[e.ID]; w != nil {
			listed[e.ID] = true
			w.entryUnusable, w.missingSince = true, time.Time{}
		}
	}
	for _, info := range list.Workers {
		id := info.ID()
		w := s.workers[id]
		if s.misdirected.has(info) || w == nil && !s.policy.NamesService(info.Service) {
			continue
		}
		listed[id] = true
		if w == nil {
			w = s.addWorker(id, info)
		}
		if w.contradicts(info) {
			w.entryUnusable, w.missingSince = true, time.Time{}
			continue
		}
		w.updateInfo(info)
	}
	for _, w := range slices.Clone(s.sortedWorkers) {
		if !listed[w.id] {
			w.handleUnlisted(list.ReceivedAt)
		}
	}
	s.listedAt = now
	s.lists.requestedAt, s.lists.receivedAt, s.lists.broken = list.RequestedAt, list.ReceivedAt, false
	s.removeGone()
	s.resolveRecovered()
	s.needsPlacement = true
}

// ListFailed records that the list of workers could not be read.
func (s *Scheduler) ListFailed() { s.lists.broken = true }

func (s *Scheduler) addWorker(id core.WorkerID, info WorkerInfo) *Worker {
	w := &Worker{id: id, scheduler: s, nameHash: xxhash.Sum64String(string(id)), state: workerChart.Start(), info: info, free: info.Capacity, tasks: map[jobs.TaskID]*Task{}}
	if s.authority.settledAt.IsZero() {
		w.since = s.epoch
	}
	w.noteCold(info)
	w.noteZone()
	s.workers[id] = w
	w.changeRoster()
	i, _ := slices.BinarySearchFunc(s.sortedWorkers, id, func(o *Worker, id core.WorkerID) int { return cmp.Compare(o.id, id) })
	s.sortedWorkers = slices.Insert(s.sortedWorkers, i, w)
	return w
}

// contradicts reports whether an entry names another address for the incarnation that is
// known, or for none: a worker changes its address only by a new start.
func (w *Worker) contradicts(info WorkerInfo) bool {
	known := w.info.Incarnation
	return info.Addr != w.info.Addr && !known.IsZero() && (info.Incarnation.IsZero() || info.Incarnation.Equal(known))
}

// updateInfo updates the worker from its entry in the platform's list. An entry that
// differs from the one in the list before has been renewed since that was requested. An
// owner's first list shows no renewal: the stored roster may hold any older entry.
func (w *Worker) updateInfo(info WorkerInfo) {
	if info.Renewals != w.info.Renewals {
		w.renewedAfter = w.scheduler.lists.requestedAt
	}
	if info.Renewals != w.info.Renewals || info.ColdFor != w.info.ColdFor {
		w.noteCold(info)
	}
	w.listed, w.entryUnusable, w.missingSince = true, false, time.Time{}
	if info.Capacity != w.info.Capacity {
		w.free = w.free.Add(info.Capacity).Sub(w.info.Capacity)
	}
	if w.incarnation.IsZero() {
		if !w.info.Incarnation.Equal(info.Incarnation) {
			w.noteEnded()
		}
		w.setIncarnation(info.Incarnation, "its entry names it")
	}
	w.setEntryIncarnation(info.Incarnation)
	// The incarnation that the worker itself reports is newer than the list.
	info.Incarnation = w.info.Incarnation
	w.info = info
	w.noteZone()
}

// handleUnlisted handles a list without the worker, on which nothing is placed any
// more. A worker that still answers keeps its runs. One that does not is gone at once
// if it has drained, and otherwise after goneDelay if it has no runs or if they have
// certainly ended.
func (w *Worker) handleUnlisted(listReceivedAt time.Duration) {
	s := w.scheduler
	w.listed = false
	if w.missingSince.IsZero() || !s.listedAt.IsZero() && s.now.Sub(s.listedAt) > maxOwnerGap {
		w.missingSince = s.now
	}
	var reason proof
	switch {
	case w.state != workerLive && w.hasDrained(listReceivedAt):
		reason = proofDrained
	case s.now.Sub(w.missingSince) < goneDelay:
		return
	case w.state == workerSilent && w.hasNoRuns():
		reason = proofIdle
	case w.state == workerLapsed:
		reason = proofLease
	default:
		return
	}
	s.logDecision(Decision{Event: "worker is gone", Worker: w.id, Reason: string(reason)})
	w.fire(workerVanish)
}

// removeGone removes the workers that are gone.
func (s *Scheduler) removeGone() {
	s.sortedWorkers = slices.DeleteFunc(s.sortedWorkers, func(w *Worker) bool {
		if w.state == workerGone {
			delete(s.workers, w.id)
			s.expireTicketsOf(w.id)
			w.markHeard()
			s.rosterVersion++
		}
		return w.state == workerGone
	})
}

// endRuns handles the end of all runs on a worker that is gone or whose lease
// has lapsed.
func (w *Worker) endRuns() {
	w.scheduler.counts.Lapses++
	w.noteEnded()
	w.leaveQuorum()
	for _, t := range w.sortedTasks() {
		w.scheduler.logDecision(Decision{Job: t.phase.id.Job, Event: "run lost with its worker", Worker: w.id, Task: t.ID().String(), Run: t.run, Reason: workerChart.Name(w.state)})
		t.fire(taskCut)
	}
	for _, o := range w.orphans {
		w.releaseOrphan(o)
	}
	w.orphans = nil
	w.unknownRuns, w.blockedSince, w.hidesEnds = nil, time.Time{}, false
}

// sortedTasks returns the tasks in order of their IDs, for deterministic decisions.
func (w *Worker) sortedTasks() []*Task {
	out := make([]*Task, 0, len(w.tasks))
	for _, t := range w.tasks {
		out = append(out, t)
	}
	sortTasks(out)
	return out
}

func sortTasks(tasks []*Task) {
	slices.SortFunc(tasks, func(a, b *Task) int { return a.ID().Compare(b.ID()) })
}

func (w *Worker) addOrphan(o orphanedRun) {
	w.orphans = append(w.orphans, o)
	w.free = w.free.Sub(o.reserved)
	w.scheduler.chargeTeam(o.team, o.reserved)
	w.stopOrphan(len(w.orphans) - 1)
}

func (w *Worker) releaseOrphan(o orphanedRun) {
	w.free = w.free.Add(o.reserved)
	w.scheduler.creditTeam(o.team, o.reserved)
}

func (w *Worker) stopOrphan(i int) {
	o := &w.orphans[i]
	if o.stopSentAt.IsZero() {
		w.scheduler.logDecision(Decision{Job: o.task.Job, Event: "stop ordered", Worker: w.id, Task: o.task.String(), Run: o.run, Reason: "orphaned run"})
	}
	o.stopSentAt = w.scheduler.now
	w.scheduler.stopRepeat.schedule(w.scheduler.now)
	w.scheduler.counts.Stops++
	w.scheduler.addOrder(Order{Kind: OrderStop, Worker: w.id, Task: o.task, Run: o.run})
}

// extendLease returns the end of a full lease that starts now, on the worker's
// clock, and records it in leaseUntil.
func (w *Worker) extendLease() time.Duration {
	if w.answeredAt.IsZero() {
		return 0
	}
	end := w.clock + min(w.scheduler.now.Sub(w.answeredAt), maxClockAge) + w.scheduler.limits.Lease
	w.leaseUntil = max(w.leaseUntil, end)
	return end
}

// hasCurrentEntry reports whether the list has a usable entry of the incarnation that answers. One of
// another incarnation tells nothing of the service, the labels, the room or the place of this one.
func (w *Worker) hasCurrentEntry() bool {
	return w.listed && !w.entryUnusable && w.entryIncarnation.Equal(w.info.Incarnation)
}

// usable reports whether tasks may be placed on the worker.
func (w *Worker) usable() bool {
	return w.state == workerLive && w.hasCurrentEntry() && !w.evacuated && w.inRoster && !w.info.Leaving && len(w.unknownRuns) == 0 && !w.scheduler.now.Before(w.asideUntil)
}
