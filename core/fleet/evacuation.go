package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/elect"
	"chicoryturn/core/jobs"
	"chicoryturn/core/policy"
)

const (
	// MaxStartAge is the longest time between the decision on a start and the moment at
	// which it is written to a connection. After as long a stall of its control goroutine an
	// owner must confirm its record.
	MaxStartAge = elect.SuspectTTL
	// staleDivisor divides a bound that is not much longer than MaxStartAge.
	staleDivisor = 2
	// coldScore is what a cold worker's score is higher by. All else adds up to less: the
	// settings bound RemoteFactor by 1e9.
	coldScore = 1e12
	// maxNamedZones bounds the zones that a reason names.
	maxNamedZones = 5
	// staleReason says why nothing starts.
	staleReason = "the evacuated zones have not been read for too long, though the store answers"
	// EventWithdrawn means that a start has not been sent and will not be, since the zone of
	// its worker has been evacuated.
	EventWithdrawn = "start withdrawn"
)

// evacuation is what the scheduler knows of evacuated zones.
type evacuation struct {
	// zones holds the evacuated zones as last read.
	zones policy.Zones
	// stale is set while a zone may have been evacuated for too long without this owner
	// having read it. Nothing is started then.
	stale bool
}

// SetEvacuated replaces the zones that the operator has evacuated. Nothing is started on their
// workers, and no advice request names them. Their active runs go on.
func (s *Scheduler) SetEvacuated(now time.Time, zones policy.Zones) {
	s.now = now
	s.evacuation.zones = zones
	for _, w := range s.sortedWorkers {
		w.noteZone()
	}
	s.needsPlacement = true
}

// EvacuatedRead records how long before the last confirmation of the ownership record the last
// read of the evacuated zones was sent, and whether the VM has been suspended since. If the store
// has answered the one and not the other, starts are held back in time for Limits.Evacuate, which
// its disturbances may extend, but not suspensions. While it answers neither, the last zones apply.
func (s *Scheduler) EvacuatedRead(beforeConfirmation time.Duration, suspended bool) {
	bound := s.limits.Evacuate
	if !suspended {
		bound += s.limits.EvacuateSkew
	}
	stale := s.limits.Evacuate > 0 && beforeConfirmation > max(bound-MaxStartAge, bound/staleDivisor)
	if stale == s.evacuation.stale {
		return
	}
	s.evacuation.stale = stale
	s.needsPlacement = true
	event := "evacuated zones are known again"
	if stale {
		event = "evacuated zones may have changed; starts are held back"
	}
	s.logDecision(Decision{Event: event, Wait: beforeConfirmation})
}

// InEvacuatedZone reports whether a worker is in a zone that is evacuated.
func (s *Scheduler) InEvacuatedZone(worker core.WorkerID) (core.Zone, bool) {
	w := s.workers[worker]
	if w == nil || !w.evacuated {
		return "", false
	}
	return w.info.Zone, true
}

// StartWithdrawn records that a start on a worker of an evacuated zone certainly has not been sent
// and will not be. Its task waits again, and with it its whole gang.
func (s *Scheduler) StartWithdrawn(now time.Time, worker core.WorkerID, id jobs.TaskID, run uint64) {
	s.now = now
	s.endStart(startID{worker, id, run})
	t := s.placedTask(worker, id, run)
	if t == nil {
		return
	}
	s.logDecision(Decision{Job: id.Job, Event: EventWithdrawn, Worker: worker, Task: id.String(), Run: run, Reason: fmt.Sprintf("zone %s is evacuated", t.worker.info.Zone)})
	t.fire(taskRefused)
}

// noteZone records whether the worker's zone is evacuated.
func (w *Worker) noteZone() { w.evacuated = w.scheduler.evacuation.zones.Has(w.info.Zone) }

// withEvacuation returns the reason why the phase waits, with the evacuated zones if they have a
// part in it.
func (p *phase) withEvacuation(reason string) string {
	s := p.job.scheduler
	queue := p.queue()
	if len(s.evacuation.zones) == 0 || queue == nil {
		return reason
	}
	inZones, others := 0, 0
	zones := core.Set[core.Zone]{}
	for _, w := range s.sortedWorkers {
		switch {
		case !w.listed || !p.suits(w, queue):
		case w.evacuated:
			inZones++
			zones.Add(w.info.Zone)
		default:
			others++
		}
	}
	if inZones == 0 {
		return reason
	}
	var names []string
	for _, z := range s.evacuation.zones.Sorted() {
		if zones.Has(z) {
			names = append(names, string(z))
		}
	}
	text := strings.Join(names[:min(len(names), maxNamedZones)], ", ")
	if len(names) > maxNamedZones {
		text += fmt.Sprintf(" and %d more", len(names)-maxNamedZones)
	}
	if others == 0 {
		return "all workers that may run it are in evacuated zones: " + text
	}
	return fmt.Sprintf("%s; workers in evacuated zones (%s): %d", reason, text, inZones)
}

// noteCold takes over from the worker's entry how long it is slow. An entry that no longer says so
// does not change that it was.
func (w *Worker) noteCold(info WorkerInfo) {
	now := w.scheduler.now
	switch {
	case info.ColdFor > 0:
		w.coldUntil = now.Add(info.ColdFor)
	case w.isCold():
		w.coldUntil = now
	}
}

// isCold reports whether the worker is slow after its start.
func (w *Worker) isCold() bool {
	return !w.coldUntil.IsZero() && w.scheduler.now.Before(w.coldUntil)
}

// ranCold reports whether the task's run has been slowed down by a cold worker.
func (t *Task) ranCold() bool { return t.startedAt.Before(t.worker.coldUntil) }

// warmOf returns the workers that are not cold; the cold ones are last.
func warmOf(workers []freeWorker) []freeWorker {
	if i := slices.IndexFunc(workers, func(f freeWorker) bool { return f.worker.isCold() }); i >= 0 {
		return workers[:i]
	}
	return workers
}
