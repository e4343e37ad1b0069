package fleet_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/model"
)

var splitSeeds = flag.Uint64("split.seeds", 30, "number of seeds of TestRandomSplits")

// attempts is how often a task may fail.
const attempts = 3

// updateEnds computes doneEnds and spentEnds.
func (n *splitNetwork) updateEnds() {
	if n.endsAt.Equal(n.now) {
		return
	}
	n.endsAt, n.doneEnds, n.spentEnds = n.now, map[jobs.TaskID]time.Time{}, map[jobs.TaskID]time.Time{}
	failed := map[jobs.TaskID][]time.Time{}
	for _, w := range n.workers {
		for _, r := range w.Log {
			first, known := n.doneEnds[r.Task]
			switch {
			case r.AckedAt.IsZero():
			case r.Kind == fleet.EndDone && r.LapsedAt.IsZero() && (!known || r.End.Before(first)):
				n.doneEnds[r.Task] = r.End
			case r.Kind == fleet.EndFailed:
				failed[r.Task] = append(failed[r.Task], r.End)
			}
		}
	}
	for id, ends := range failed {
		if len(ends) >= attempts {
			slices.SortFunc(ends, time.Time.Compare)
			n.spentEnds[id] = ends[attempts-1]
		}
	}
}

// checkAcked fails the test if a run has started after a run of its task had ended as done,
// or as often as allowed as failed, and if these ends were acknowledged then or later. The
// lease of a worker may have lapsed before the acknowledgement of a run that is done.
func (n *splitNetwork) checkAcked(started *model.RunRecord) {
	n.t.Helper()
	n.updateEnds()
	if end, ok := n.doneEnds[started.Task]; ok && !started.At.Before(end) {
		n.t.Fatalf("TWICE: task %s ended as done at %s, which has been acknowledged, but run %d started at %s on %s", started.Task, end.Sub(startTime), started.Run, started.At.Sub(startTime), started.Worker)
	}
	if end, ok := n.spentEnds[started.Task]; ok && !started.At.Before(end) {
		n.t.Fatalf("BUDGET: task %s had failed %d times at %s, which has been acknowledged, but run %d started at %s on %s", started.Task, attempts, end.Sub(startTime), started.Run, started.At.Sub(startTime), started.Worker)
	}
}

// side is the side of an owner that is cut off.
type side struct {
	workers core.Set[*model.Worker]
	// disturbance is that of the links of later owners to these workers.
	disturbance
}

// splitPlay plays random splits of the network.
type splitPlay struct {
	*splitNetwork
	sides []side
	// size is how many workers are on the side of an owner that is cut off.
	size int
}

// newSplitPlay returns a play in which the owner keeps, of its workers, a minority, half,
// a majority or none, as the seed decides.
func newSplitPlay(t *testing.T, seed uint64) *splitPlay {
	p := &splitPlay{splitNetwork: newSplitNetwork(t, seed, 4+int(seed%3))}
	p.disturbNew = p.cutFromSides
	p.cutLists(seed)
	p.lossRate, p.delayRate, p.heldRate = 0.03*p.rng.Float64(), p.rng.Float64(), 0.3*p.rng.Float64()
	if p.rng.IntN(2) == 0 {
		p.maxSkew = 2 * time.Second
	}
	half := len(p.workers) / 2
	p.size = [...]int{1 + p.rng.IntN(max(half-1, 1)), half, half + 1 + p.rng.IntN(len(p.workers)-half), 0}[seed/3%4]
	return p
}

// pick returns one of several links.
func (p *splitPlay) pick(links ...link) link { return links[p.rng.IntN(len(links))] }

// split cuts the current owner off from the store and from all workers but some.
func (p *splitPlay) split() {
	o := p.currentOwner()
	until := p.now.Add(500*time.Millisecond + p.span(19500*time.Millisecond))
	p.disturb(o, nil, p.pick(linkCut, linkCut, linkCut, linkMute, linkMute, linkRefusing, linkReadOnly), until)
	p.claimWait = []time.Duration{elect.TTL, elect.TTL, elect.TTL, elect.SuspectTTL, elect.SuspectTTL, elect.SuspectTTL, elect.SuspectTTL, 0}[p.rng.IntN(8)]
	near := side{core.NewSet[*model.Worker](), disturbance{p.pick(linkCut, linkCut, linkCut, linkCut, linkMute, linkOpen), until}}
	farLink := p.pick(linkCut, linkCut, linkMute)
	silent := p.rng.IntN(2) == 0
	for i, k := range p.rng.Perm(len(p.workers)) {
		w := p.workers[k]
		if i >= p.size {
			p.disturb(o, w, farLink, until)
			continue
		}
		near.workers.Add(w)
		if silent {
			p.nextReport[w] = until
		}
	}
	p.sides = append(p.sides, near)
	p.t.Logf("%s owner %d is cut off with %d of %d workers until %s (link %d)", p.now.Sub(startTime), len(p.owners), p.size, len(p.workers), until.Sub(startTime), near.link)
}

// cutFromSides disturbs the links of a new owner to the workers on its predecessors' sides.
func (p *splitPlay) cutFromSides(o *simOwner) {
	for _, s := range p.sides {
		for w := range s.workers {
			if p.now.Before(s.until) {
				p.disturb(o, w, s.link, s.until)
			}
		}
	}
}

// injectSplitFault injects a fault of a worker, a link or an owner in one of about 60 ticks.
func (p *splitPlay) injectSplitFault() {
	w := p.workers[p.rng.IntN(len(p.workers))]
	o := p.owners[p.rng.IntN(len(p.owners))]
	switch p.rng.IntN(600) {
	case 0:
		w.Crash(p.now)
	case 1, 2, 3:
		if !w.Up {
			w.Restart(p.now)
		}
	case 4, 5:
		// The worker restarts so quickly that no list shows it.
		if w.Up {
			w.Restart(p.now)
		}
	case 6:
		if p.rng.IntN(3) == 0 {
			p.disturb(o, w, linkOpen, p.now)
		}
	case 7, 8:
		p.disturb(o, w, p.pick(linkCut, linkMute), p.now.Add(300*time.Millisecond+p.span(3*time.Second)))
	case 9:
		if p.rng.IntN(4) == 0 {
			o.stopped = true
		}
	}
}

// endSplitFaults ends all faults.
func (p *splitPlay) endSplitFaults() {
	p.lossRate, p.heldRate, p.storeDownUntil = 0, 0, time.Time{}
	p.links, p.sides = map[pair]disturbance{}, nil
	for _, w := range p.workers {
		p.nextReport[w] = p.now
		if !w.Up {
			w.Restart(p.now)
		}
	}
}

// splitJob returns a random job. Half of them have tasks that outlast a change of owner, one
// in six has tasks that fail.
func (p *splitPlay) splitJob(i int) jobs.Spec {
	spec := p.randomJob(i)
	if p.rng.IntN(2) == 0 {
		spec.Phases[0].Estimate = 3*time.Second + p.span(5*time.Second)
	}
	if p.rng.IntN(6) == 0 {
		spec.Phases[p.rng.IntN(len(spec.Phases))].Image = failingImage
	}
	return spec
}

// checkEndedJobs checks that all jobs have completed, or failed if they have failing tasks.
func (p *splitPlay) checkEndedJobs(is *is.I, count int) {
	is.Helper()
	ended := 0
	for id, spec := range p.specs {
		want := jobs.Completed
		if slices.ContainsFunc(spec.Phases, func(ph jobs.Phase) bool { return ph.Image == failingImage }) {
			want = jobs.Failed
		}
		if p.storedProgress[id].State == want {
			ended++
		}
	}
	if ended != count {
		p.logState()
	}
	is.Equal(ended, count)
	is.Equal(p.currentOwner().scheduler.RefusedEvents(), nil)
}

// TestRandomSplits simulates owners that are cut off from the store for up to 20 seconds
// together with none, some or most of the workers, and goes on while successors hold the
// others, with outages of the store, restarts, and late orders and writes. Each case has its
// own random seed.
func TestRandomSplits(t *testing.T) {
	for seed := range *splitSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p := newSplitPlay(t, seed)
			const faultyTicks, calmTicks = 2200, 3500
			jobCount := 7 * len(p.workers)
			// Up to three splits follow one another.
			splits := []int{150 + p.rng.IntN(250)}
			for range p.rng.IntN(3) {
				splits = append(splits, splits[len(splits)-1]+100+p.rng.IntN(600))
			}
			outage := -1
			if p.rng.IntN(5) == 0 {
				outage = p.rng.IntN(faultyTicks)
			}
			submitted := 0
			for i := range faultyTicks {
				if i >= 36*submitted && submitted < jobCount && !p.storeDown() {
					p.submit(p.splitJob(submitted))
					submitted++
				}
				if slices.Contains(splits, i) && !p.currentOwner().stopped {
					p.split()
				}
				if i == outage {
					p.storeDownUntil = p.now.Add(time.Second + p.span(9*time.Second))
				}
				p.injectSplitFault()
				p.step()
			}
			p.endSplitFaults()
			for range calmTicks {
				p.step()
			}
			p.checkEndedJobs(is, submitted)
		})
	}
}

// TestOutageOfStoreStopsNoStarts guards against an owner that starts no waiting tasks while
// the store is away for all, so that it cannot have a successor.
func TestOutageOfStoreStopsNoStarts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	n := newSplitNetwork(t, 1, 4)
	for i := range 30 {
		spec := newJob(fmt.Sprintf("j%d", i), 8, false)
		n.submit(spec)
	}
	for n.now.Sub(startTime) < 2*time.Second {
		n.step()
	}
	downAt := n.now
	n.storeDownUntil = downAt.Add(8 * time.Second)
	for n.storeDown() {
		n.step()
	}
	late := 0
	for _, w := range n.workers {
		for _, r := range w.Log {
			if r.At.Sub(downAt) > 5*time.Second {
				late++
			}
		}
	}
	is.True(late > 10)
	is.Equal(len(n.owners), 1)
	for range 1500 {
		n.step()
	}
	n.checkCompleted(is, 30)
}

// tickCutOff runs the scheduler of an owner that cannot confirm its record and returns the
// tasks that it starts.
func (f *fixture) tickCutOff() []jobs.TaskID {
	f.Scheduler.Tick(f.now)
	var out []jobs.TaskID
	for _, o := range f.Orders() {
		if o.Kind == fleet.OrderStart {
			out = append(out, o.Task)
		}
	}
	return out
}

// TestOwnerBehindCutRestartsNothing guards against an owner behind a cut that starts the task
// of a worker beyond it again, when its own lease there has expired: a successor may have
// extended it.
func TestOwnerBehindCutRestartsNothing(t *testing.T) {
	for name, workers := range map[string]int{"with half of the workers": 2, "with most of the workers": 4} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1, workers)
			first := f.startTask()
			for range 200 {
				f.advance(100 * time.Millisecond)
				for _, w := range f.workers {
					if w.ID() == first.Worker {
						f.HeartbeatFailed(f.now, w.ID())
					} else {
						f.heartbeat(w, nil, nil)
					}
				}
				is.Equal(len(f.tickCutOff()), 0)
			}
		})
	}
}

// TestSuccessorAwaitsLeasesOfOwnerBehindCut guards against a new owner that starts tasks again
// 7.2 s after its load although most workers have not answered it: its predecessor may go on
// extending their leases behind a cut.
func TestSuccessorAwaitsLeasesOfOwnerBehindCut(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 4)
	f.takeOver(f.workers)
	f.SetWorkers(f.now, f.list(f.workers))
	f.RosterStored(f.Roster())
	for range 200 {
		for i, w := range f.workers {
			if i == 0 {
				f.heartbeat(w, nil, nil)
			} else {
				f.HeartbeatFailed(f.now, w.ID())
			}
		}
		is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
		f.advance(100 * time.Millisecond)
	}
	for _, w := range f.workers {
		f.heartbeat(w, nil, nil)
	}
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 1)
}
