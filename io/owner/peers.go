package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryturn/core/board"
	"chicoryturn/core/jobs"
	"chicoryturn/io/guide"
)

const (
	// longCall is the length from which a call for advice is kept off half of
	// the VMs, so that short calls need not wait behind it.
	longCall = 200 * time.Millisecond
)

// Peer is a VM that lends its turn at the placement policy.
type Peer interface {
	Name() string
	// Advise has the VM make a call; the result comes back by Advised.
	Advise(a board.Ask)
	// Resigned tells that the seat is free.
	Resigned()
}

// lent is what the owner knows of a peer's turn.
type lent struct {
	peer Peer
	// load is the expected length of the calls that have not been answered.
	load time.Duration
	asks map[jobs.PhaseID]time.Duration
}

// peers are the VMs joined to the owner.
type peers struct{ byName map[string]*lent }

func newPeers() *peers { return &peers{map[string]*lent{}} }

// forget drops the loads, since their answers will not be taken in.
func (p *peers) forget() {
	for _, l := range p.byName {
		l.load, l.asks = 0, map[jobs.PhaseID]time.Duration{}
	}
}

func (p *peers) resigned() {
	for _, l := range p.byName {
		l.peer.Resigned()
	}
}

func (l *lent) add(id jobs.PhaseID, cost time.Duration) {
	l.asks[id] = cost
	l.load += cost
}

func (l *lent) done(id jobs.PhaseID) {
	l.load -= l.asks[id]
	delete(l.asks, id)
}

// pick returns the peer that would answer a call first. Long calls use only
// the first half of the peers.
func (p *peers) pick(cost time.Duration) *lent {
	list := make([]*lent, 0, len(p.byName))
	for _, l := range p.byName {
		list = append(list, l)
	}
	slices.SortFunc(list, func(a, b *lent) int { return cmp.Compare(a.peer.Name(), b.peer.Name()) })
	if cost >= longCall {
		list = list[:(len(list)+1)/2]
	}
	var best *lent
	for _, l := range list {
		if best == nil || l.load <= best.load {
			best = l
		}
	}
	return best
}

// Join adds a VM that lends its turn.
func (o *Owner) Join(p Peer) {
	o.post(func(o *Owner, now time.Time) {
		o.log.WithField("vm", p.Name()).Info("VM joined")
		o.peers.byName[p.Name()] = &lent{peer: p, asks: map[jobs.PhaseID]time.Duration{}}
		o.soon(now)
	})
}

// Part removes a VM; calls that it has not answered are made by others.
func (o *Owner) Part(p Peer) {
	o.post(func(o *Owner, now time.Time) {
		l := o.peers.byName[p.Name()]
		if l == nil || l.peer != p {
			return
		}
		o.log.WithField("vm", p.Name()).Info("VM parted")
		delete(o.peers.byName, p.Name())
		if o.board == nil {
			return
		}
		for id := range l.asks {
			o.board.Unadvised(now, id)
		}
		o.soon(now)
	})
}

// advise hands the board's calls for advice to the VMs.
func (o *Owner) advise(now time.Time) {
	if len(o.peers.byName) == 0 {
		return
	}
	for _, a := range o.board.Asks(now) {
		l := o.peers.pick(a.Cost)
		l.add(a.Phase, a.Cost)
		l.peer.Advise(a)
	}
}

// Advised takes in the result of a call that a VM has made.
func (o *Owner) Advised(vm string, r guide.Result) {
	o.post(func(o *Owner, now time.Time) {
		if l := o.peers.byName[vm]; l != nil {
			l.done(r.Ask.Phase)
		}
		if o.board == nil {
			return
		}
		if r.Err != nil {
			o.log.WithError(r.Err).WithFields(logrus.Fields{"job": r.Ask.Phase.Job, "vm": vm}).Warn("no advice")
			o.board.Unadvised(now, r.Ask.Phase)
		} else {
			o.board.Advised(now, r.Ask.Phase, r.Ask.Workers, r.Allowed, r.Valid)
		}
		o.soon(now)
	})
}
