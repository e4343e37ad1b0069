package fleet_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core/elect"
)

var suspensionSeeds = flag.Uint64("suspension.seeds", 8, "number of seeds of TestRandomSuspensions")

// suspension is a time during which an owner's VM stands still.
type suspension struct {
	length time.Duration
	until  time.Time
}

// suspensionPlay plays splits in which the VMs of owners are suspended as well. An owner's clock
// doesn't count that time.
type suspensionPlay struct {
	*splitPlay
	suspensions map[*simOwner]suspension
}

func newSuspensionPlay(t *testing.T, seed uint64) *suspensionPlay {
	p := &suspensionPlay{newSplitPlay(t, seed), map[*simOwner]suspension{}}
	p.network = p
	return p
}

// suspend suspends an owner for a number of whole ticks, as the sending times of its calls
// are moved by whole ticks meanwhile.
func (p *suspensionPlay) suspend(o *simOwner, length time.Duration) {
	length = length.Truncate(tickInterval)
	if _, ok := p.suspensions[o]; ok || o.stopped {
		return
	}
	p.suspensions[o] = suspension{length, p.now.Add(length)}
	o.suspended = true
	p.t.Logf("%s owner %d is suspended for %s", p.now.Sub(startTime), o.scheduler.Epoch(), length)
}

func (p *suspensionPlay) isSuspended(o *simOwner) bool { return p.now.Before(p.suspensions[o].until) }

// resume lets an owner go on, which reads its record before it sends orders.
func (p *suspensionPlay) resume(o *simOwner, s suspension) {
	delete(p.suspensions, o)
	o.skew -= s.length
	o.suspended = true
	o.scheduler.Suspended(p.nowOf(o), s.length)
	c := p.calls[o]
	c.mustRead, c.readSentAt, c.nextCall = true, time.Time{}, p.now
}

// deliverOrders implements network. Answers wait for a suspended owner, and its timers stand
// still.
func (p *suspensionPlay) deliverOrders(o *simOwner) {
	if s, ok := p.suspensions[o]; ok && !o.stopped {
		for _, c := range p.inFlight[o] {
			if !c.held {
				c.sentAt = c.sentAt.Add(tickInterval)
			}
			if p.isSuspended(o) && c.state == callAnswered && !p.now.Before(c.until) {
				c.until = p.now.Add(tickInterval)
			}
		}
		// The clock by which the first answers afterwards are dated has not counted the suspension.
		if !p.isSuspended(o) {
			p.resume(o, s)
		}
	}
	p.splitPlay.deliverOrders(o)
}

// writeBatch implements network.
func (p *suspensionPlay) writeBatch(o *simOwner) {
	if !p.isSuspended(o) {
		p.splitPlay.writeBatch(o)
	}
}

// reachesStore implements network.
func (p *suspensionPlay) reachesStore(o *simOwner) bool {
	return !p.isSuspended(o) && p.splitPlay.reachesStore(o)
}

// hears implements network.
func (p *suspensionPlay) hears(o *simOwner) bool {
	return !p.isSuspended(o) && p.splitPlay.hears(o)
}

// TestRandomSuspensions simulates owners that are cut off with some workers and whose VMs are
// suspended for up to four seconds, as their successors take over. Each case has its own random
// seed.
func TestRandomSuspensions(t *testing.T) {
	for seed := range *suspensionSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p := newSuspensionPlay(t, seed)
			const faultyTicks, calmTicks = 2200, 3500
			jobCount := 7 * len(p.workers)
			submitted, nextSplit := 0, 150+p.rng.IntN(250)
			for i := range faultyTicks {
				if i >= 36*submitted && submitted < jobCount {
					p.submit(p.splitJob(submitted))
					submitted++
				}
				o := p.currentOwner()
				if i == nextSplit && !o.stopped {
					nextSplit += 200 + p.rng.IntN(600)
					p.split()
					if p.rng.IntN(2) == 0 {
						// It can read its record after it has resumed, and not renew it.
						p.disturb(o, nil, linkReadOnly, p.now.Add(8*time.Second))
						p.claimWait = elect.TTL
					}
					p.suspend(o, 300*time.Millisecond+p.span(3700*time.Millisecond))
				}
				if p.rng.IntN(400) == 0 {
					p.suspend(p.owners[p.rng.IntN(len(p.owners))], 100*time.Millisecond+p.span(4*time.Second))
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
