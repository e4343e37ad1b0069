package fleet_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/model"
)

var membershipSeeds = flag.Uint64("membership.seeds", 60, "number of seeds that TestRandomMembership plays")

// membership makes the harness list workers as their reports tell the platform.
type membership struct {
	*harness
	registry *model.Registry
	hosts    []*host
	// lifetimes numbers the IDs under which workers have started.
	lifetimes int
	// noListsUntil is the end of a period in which owners cannot read the list.
	noListsUntil time.Time
}

// host is what the platform sees of one worker.
type host struct {
	*model.Worker
	nextReport time.Time
	// cutUntil is the end of a period in which the worker does not reach the platform.
	cutUntil time.Time
	// leavesAt is when a draining worker ends; zero unless it drains.
	leavesAt time.Time
	// deaf workers report and never answer an owner.
	deaf bool
}

func newMembership(t *testing.T, seed uint64) *membership {
	m := &membership{harness: newHarness(t, seed, 5, core.Resources{}), registry: model.NewRegistry()}
	m.owners = nil
	for i, w := range m.workers {
		h := &host{Worker: w, deaf: i == 4 && m.rng.IntN(4) == 0}
		w.Unreachable = h.deaf
		m.hosts = append(m.hosts, h)
		m.start(h, true)
	}
	m.list = m.registryList
	m.addOwner()
	return m
}

// registryList returns the list that an owner reads, or false while none can.
func (m *membership) registryList() (fleet.WorkerList, bool) {
	uptime := time.Hour + m.now.Sub(startTime)
	return fleet.WorkerList{Workers: m.registry.List(m.now), RequestedAt: uptime, ReceivedAt: uptime}, !m.now.Before(m.noListsUntil)
}

// start starts a new incarnation at the worker's address, under a new ID or the same one.
func (m *membership) start(h *host, renamed bool) {
	if renamed {
		m.lifetimes++
		h.Info.Name = fmt.Sprintf("w%02d-%d", m.rng.IntN(100), m.lifetimes)
	}
	h.Restart(m.now)
	h.Info.Leaving, h.leavesAt, h.nextReport = false, time.Time{}, m.now
}

// step advances the workers' reports and the simulation by one tick.
func (m *membership) step() {
	for _, h := range m.hosts {
		if !h.leavesAt.IsZero() && m.now.After(h.leavesAt) {
			m.registry.Leave(h.Info.ID())
			h.Crash(m.now)
			h.leavesAt = time.Time{}
		}
		if h.Up && !m.now.Before(h.nextReport) && m.now.After(h.cutUntil) {
			m.registry.Report(m.now, h.Info)
			h.nextReport = m.now.Add(model.ReportInterval)
		}
	}
	m.tick()
}

// span returns a random time below limit.
func (m *membership) span(limit time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(limit)))
}

func (m *membership) injectMembershipFault() {
	h := m.hosts[m.rng.IntN(len(m.hosts))]
	switch m.rng.IntN(600) {
	case 0, 1, 2, 3, 4, 5:
		h.cutUntil = m.now.Add(m.span(12 * time.Second))
	case 6:
		// The platform hears of no worker, and entries lapse.
		for _, each := range m.hosts {
			each.cutUntil = m.now.Add(m.span(9 * time.Second))
		}
	case 7, 8, 9, 10:
		if h.Up {
			m.start(h, true)
		}
	case 11:
		if h.Up {
			m.start(h, false)
		}
	case 12:
		h.Crash(m.now)
	case 13, 14, 15, 16:
		if !h.Up {
			m.start(h, m.rng.IntN(2) == 0)
		}
	case 17, 18, 19, 20, 21, 22:
		if h.Up && h.leavesAt.IsZero() {
			h.Info.Leaving, h.nextReport = true, m.now
			h.leavesAt = m.now.Add(2500*time.Millisecond + m.span(8*time.Second))
			if m.rng.IntN(2) == 0 {
				// Its report that it is leaving is the last one.
				m.registry.Report(m.now, h.Info)
				h.cutUntil = h.leavesAt
			}
		}
	case 23:
		m.noListsUntil = m.now.Add(m.span(6 * time.Second))
	case 24:
		h.Unreachable = true
	case 25, 26, 27:
		h.Unreachable = h.deaf
	case 28:
		m.addOwner()
	case 29:
		m.currentOwner().stopped = true
		m.addOwner()
	case 30:
		// The new owner does not reach a worker at first.
		h.Unreachable = true
		m.currentOwner().stopped = true
		m.addOwner()
	}
}

func (m *membership) endMembershipFaults() {
	m.lossRate, m.noListsUntil = 0, time.Time{}
	for _, h := range m.hosts {
		h.cutUntil, h.Unreachable = time.Time{}, h.deaf
		if !h.Up || !h.leavesAt.IsZero() {
			m.start(h, true)
		}
	}
	if m.currentOwner().stopped {
		m.addOwner()
	}
}

// TestRandomMembership simulates lists that lack living workers, hold ended incarnations
// in any order of IDs and cannot be read for a while, draining workers, workers that never
// answer, and changes of owner at any moment (review/2 to review/5). Each case has its
// own random seed.
func TestRandomMembership(t *testing.T) {
	for seed := range *membershipSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			m := newMembership(t, seed)
			m.cutLists(seed)
			m.lossRate, m.delayRate = 0.03*m.rng.Float64(), m.rng.Float64()
			const jobCount, faultyTicks, calmTicks = 30, 1200, 3500
			for i := range faultyTicks {
				if i%40 == 0 && i/40 < jobCount {
					m.submit(m.longJob(i / 40))
				}
				m.injectMembershipFault()
				m.step()
			}
			m.endMembershipFaults()
			for range calmTicks {
				m.step()
			}
			m.checkCompleted(is, jobCount)
		})
	}
}

// longJob returns a random job, in half of the cases with tasks that outlast a change of
// owner.
func (m *membership) longJob(i int) jobs.Spec {
	spec := m.randomJob(i)
	if m.rng.IntN(2) == 0 {
		spec.Phases[0].Estimate = 3*time.Second + m.span(5*time.Second)
	}
	return spec
}

// randomJob returns a random job of one or two phases.
func (h *harness) randomJob(i int) jobs.Spec {
	spec := jobs.Spec{ID: core.JobID(fmt.Sprintf("j%d", i)), Payload: "x"}
	for p := range 1 + h.rng.IntN(2) {
		phase := jobs.Phase{
			Count: 1 + h.rng.IntN(4), Need: core.Resources{Cores: 500 + h.rng.Int64N(1500), Memory: 100},
			Estimate: time.Duration(200+h.rng.IntN(2500)) * time.Millisecond, Gang: h.rng.IntN(3) == 0,
		}
		if p > 0 {
			phase.After = []int{p - 1}
		}
		spec.Phases = append(spec.Phases, phase)
	}
	return spec
}
