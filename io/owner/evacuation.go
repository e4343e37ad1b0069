package owner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryturn/core"
	"chicoryturn/core/jobs"
	"chicoryturn/core/policy"
	"chicoryturn/io/clock"
)

// directives is what operators have set, as this process has last read it.
type directives struct {
	// policy is nil until the process has read a configuration. It then has the evacuated
	// zones of the same read, or later ones.
	policy    *policy.Policy
	evacuated policy.Zones
	// readAt is the boot time at which the last read that succeeded was sent, resumedAt that
	// of the end of the last suspension.
	readAt, resumedAt time.Duration
}

// SetDirectives replaces the configuration, if it is newer, and the evacuated zones, as a read that
// was sent at the boot time readAt has shown them. Both take effect together.
func (o *Owner) SetDirectives(d policy.Directives, readAt time.Duration) {
	o.post(func(o *Owner, now time.Time) {
		last := o.directives
		o.directives.evacuated, o.directives.readAt = d.Evacuated, readAt
		isNewer := d.Policy != nil && (last.policy == nil || d.Policy.Version > last.policy.Version)
		if isNewer {
			o.directives.policy = d.Policy
			o.election.Configured()
		}
		if !d.Evacuated.Equal(last.evacuated) {
			o.applyEvacuated(now, last.evacuated)
		}
		switch loaded := o.unappliedSnapshot; {
		case !isNewer:
		case o.scheduler != nil:
			o.scheduler.SetPolicy(d.Policy)
			o.tickSoon(now)
		case loaded != nil:
			o.handleSnapshot(now, *loaded)
		}
	})
}

// applyEvacuated applies the evacuated zones, which were others before, and logs the difference.
func (o *Owner) applyEvacuated(now time.Time, last policy.Zones) {
	zones := o.directives.evacuated
	withdrawn := map[core.Zone]int{}
	if o.scheduler != nil {
		o.scheduler.SetEvacuated(now, zones)
		withdrawn = o.withdrawEvacuated(now)
		o.tickSoon(now)
	}
	o.meter.Evacuated(len(zones))
	for _, z := range zones.Sorted() {
		if !last.Has(z) || last[z] != zones[z] {
			o.log.WithFields(logrus.Fields{"zone": z, "version": zones[z], "withdrawn": withdrawn[z], "owning": o.scheduler != nil}).Info("zone is evacuated")
		}
	}
	for _, z := range last.Sorted() {
		if !zones.Has(z) {
			o.log.WithFields(logrus.Fields{"zone": z, "version": last[z], "owning": o.scheduler != nil}).Info("zone is no longer evacuated")
		}
	}
}

// withdrawEvacuated withdraws the starts on workers of evacuated zones that have not been written to
// a connection, and returns how many there were in each zone.
func (o *Owner) withdrawEvacuated(now time.Time) map[core.Zone]int {
	withdrawn := map[core.Zone]int{}
	total := 0
	for _, task := range slices.SortedFunc(maps.Keys(o.permits), jobs.TaskID.Compare) {
		p := o.permits[task]
		zone, ok := o.scheduler.InEvacuatedZone(p.worker)
		if !ok || !p.withdraw() {
			continue
		}
		delete(o.permits, task)
		o.scheduler.StartWithdrawn(now, p.worker, task, p.run)
		withdrawn[zone]++
		total++
	}
	// Their permits are withdrawn, here or earlier.
	for _, e := range o.lanes.Withdraw(func(w core.WorkerID) bool { _, ok := o.scheduler.InEvacuatedZone(w); return ok }) {
		o.scheduler.StartWithdrawn(now, e.Worker, e.Task, e.Run)
	}
	o.meter.Withdrawn(total)
	return withdrawn
}

// checkEvacuatedAge tells the scheduler how old the evacuated zones are that it knows. The time
// since the confirmation of the record leaves out suspensions, which makes that later than it was;
// after one, the record is confirmed before anything is started.
func (o *Owner) checkEvacuatedAge() {
	confirmed := clock.BootTime() - time.Since(o.scheduler.ConfirmedAt())
	o.scheduler.EvacuatedRead(confirmed-o.directives.readAt, cmp.Compare(o.directives.resumedAt, o.directives.readAt) > 0)
}
