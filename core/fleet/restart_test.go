package fleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core/fleet"
)

func TestRebornWorker(t *testing.T) {
	is := is.New(t)
	d := newDesk(1, 1)
	d.open()
	old := d.Roster()
	reborn := d.hosts[0]
	reborn.Incarnation = d.now
	d.pass(time.Second)
	d.held(reborn, nil, nil)
	d.Accept(d.now, plain("j", 1, false))
	is.Equal(len(d.plan(fleet.OrderStart)), 0)
	d.RosterStored(old) // a record that was on its way
	is.Equal(len(d.plan(fleet.OrderStart)), 0)
	d.RosterStored(d.Roster())
	is.Equal(len(d.plan(fleet.OrderStart)), 1)
}

func TestRebornBeforeFirstAnswer(t *testing.T) {
	for name, listed := range map[string]bool{"told by its answer": false, "told by the list": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDesk(1, 1)
			d.SetWorkers(d.now, d.hosts)
			d.RosterStored(d.Roster())
			reborn := d.hosts[0]
			reborn.Incarnation = d.now
			d.pass(time.Second)
			if listed {
				d.SetWorkers(d.now, []fleet.WorkerInfo{reborn})
			}
			d.held(reborn, nil, nil)
			d.Accept(d.now, plain("j", 1, false))
			is.Equal(len(d.plan(fleet.OrderStart)), 0)
			is.Equal(d.Roster()[0].Incarnation, reborn.Incarnation)
			d.RosterStored(d.Roster())
			is.Equal(len(d.plan(fleet.OrderStart)), 1)
		})
	}
}

func TestStartOnRebornWorker(t *testing.T) {
	for name, there := range map[string]bool{"on the new incarnation": true, "on the old one": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDesk(1, 2)
			d.open()
			d.Accept(d.now, plain("j", 1, false))
			s := d.plan(fleet.OrderStart)[0]
			d.begin([]fleet.Order{s})
			d.pass(100 * time.Millisecond)
			h := s.Info
			h.Incarnation = d.now
			var active []fleet.ActiveRun
			if there {
				active = []fleet.ActiveRun{{Task: s.Task, Run: s.Run, Percent: 10}}
			}
			d.held(h, active, nil)
			for _, other := range d.hosts {
				if other.ID() != s.Worker {
					d.held(other, nil, nil)
				}
			}
			is.Equal(len(d.plan(fleet.OrderStart)) == 0, there)
			if there {
				d.pass(time.Second)
				d.held(h, nil, done(1, s))
				is.Equal(len(d.plan(fleet.OrderStart)), 0)
				is.Equal(len(d.Batch()), 1) // the job's end
			}
		})
	}
}

func TestUnansweredStartOnRebornWorker(t *testing.T) {
	is := is.New(t)
	d := newDesk(1, 2)
	d.open()
	d.Accept(d.now, plain("j", 1, false))
	s := d.plan(fleet.OrderStart)[0]
	d.StartAnswered(d.now, s.Worker, s.Task, s.Run, fleet.ReplyUnanswered)
	is.Equal(len(d.Orders()), 1)                                  // a stop
	d.StopAnswered(d.now, s.Worker, s.Task, s.Run, fleet.ReplyOK) // by the old one
	d.pass(100 * time.Millisecond)
	h := s.Info
	h.Incarnation = d.now
	answer := func() {
		for _, other := range d.hosts {
			if other.ID() != s.Worker {
				d.held(other, nil, nil)
			}
		}
		d.held(h, nil, nil)
	}
	answer()
	d.Tick(d.now)
	stops := 0
	for _, o := range d.Orders() {
		is.True(o.Kind != fleet.OrderStart)
		if o.Kind == fleet.OrderStop {
			stops++
		}
	}
	is.Equal(stops, 1)
	d.StopAnswered(d.now, s.Worker, s.Task, s.Run, fleet.ReplyOK)
	d.pass(100 * time.Millisecond)
	answer()
	is.Equal(len(d.plan(fleet.OrderStart)), 1)
}

// TestStaleAcknowledgement plays ends that are recorded a while after they were
// listed: the worker may have started again meanwhile, and numbers its ends anew.
// It must not be told to forget ends by the old numbers.
func TestStaleAcknowledgement(t *testing.T) {
	is := is.New(t)
	d := newDesk(1, 1)
	d.open()
	d.Accept(d.now, plain("j", 1, false))
	s := d.plan(fleet.OrderStart)[0]
	d.begin([]fleet.Order{s})
	d.pass(time.Second)
	d.held(d.hosts[0], nil, done(1, s))
	is.Equal(len(d.Batch()), 1)
	is.Equal(len(d.plan(fleet.OrderHeartbeat)), 0)
	d.pass(time.Second)
	d.BatchStored(d.now)
	holds := d.plan(fleet.OrderHeartbeat)
	is.Equal(len(holds), 1)
	is.Equal(holds[0].AckedEnd, uint64(0)) // it has not been heard of for a second
	d.held(d.hosts[0], nil, done(1, s))
	is.Equal(d.plan(fleet.OrderHeartbeat)[0].AckedEnd, uint64(1))
}
