package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/io/advice"
)

const (
	// longCall is the length from which a call for advice is kept off half of
	// the VMs, so that short calls need not wait behind it.
	longCall = 200 * time.Millisecond
	// ahead is how much work a VM may have before it is given more: enough to
	// keep it busy over the way between regions and back.
	ahead = 80 * time.Millisecond
	// lostAfter times the length of a call, and lostGrace more, is when its
	// answer is no longer waited for.
	lostAfter = 4
	lostGrace = 1500 * time.Millisecond
)

// Peer is a VM that lends its turn at the placement policy.
type Peer interface {
	Name() string
	// RequestAdvice has the VM make a call; the result comes back by Advised.
	RequestAdvice(a fleet.AdviceRequest)
	// RoomHint tells which workers have room, for calls that the VM makes on its
	// own for the jobs that it takes.
	RoomHint(ids []core.WorkerID)
	// OwnerResigned tells that the seat is free.
	OwnerResigned()
}

// loan is a call that a VM is making.
type loan struct {
	cost  time.Duration
	until time.Time
}

// lent is what the owner knows of a peer's turn.
type lent struct {
	peer Peer
	// load is the expected length of the calls that have not been answered.
	load time.Duration
	asks map[jobs.PhaseID]loan
}

// peers are the VMs joined to the owner. It implements board.Turns.
type peers struct {
	byName map[string]*lent
	// list is sorted by name.
	list []*lent
	now  time.Time
}

func newPeers() *peers { return &peers{byName: map[string]*lent{}} }

func (p *peers) add(peer Peer) {
	p.drop(peer.Name())
	l := &lent{peer: peer, asks: map[jobs.PhaseID]loan{}}
	p.byName[peer.Name()] = l
	p.list = append(p.list, l)
	slices.SortFunc(p.list, func(a, b *lent) int { return cmp.Compare(a.peer.Name(), b.peer.Name()) })
}

func (p *peers) drop(name string) {
	l := p.byName[name]
	delete(p.byName, name)
	p.list = slices.DeleteFunc(p.list, func(o *lent) bool { return o == l })
}

// forget drops the loads, since their answers will not be taken in.
func (p *peers) forget() {
	for _, l := range p.list {
		l.load, l.asks = 0, map[jobs.PhaseID]loan{}
	}
}

func (p *peers) resigned() {
	for _, l := range p.list {
		l.peer.OwnerResigned()
	}
}

func (l *lent) lend(now time.Time, id jobs.PhaseID, cost time.Duration) {
	l.done(id)
	l.asks[id] = loan{cost, now.Add(lostAfter*cost + lostGrace)}
	l.load += cost
}

func (l *lent) done(id jobs.PhaseID) {
	l.load -= l.asks[id].cost
	delete(l.asks, id)
}

// expire forgets calls whose answers have been lost.
func (p *peers) expire(now time.Time) {
	p.now = now
	for _, l := range p.list {
		for id, a := range l.asks {
			if now.After(a.until) {
				l.done(id)
			}
		}
	}
}

// pick returns the VM that would answer a call first, nil if all are busy.
// Long calls use only the first half of the VMs.
func (p *peers) pick(cost time.Duration) *lent {
	list := p.list
	if cost >= longCall {
		list = list[:(len(list)+1)/2]
	}
	var best *lent
	for _, l := range list {
		// Short calls prefer the later VMs, which make no long ones.
		if l.load <= ahead && (best == nil || l.load <= best.load) {
			best = l
		}
	}
	return best
}

// Free implements board.Turns.
func (p *peers) Free(cost time.Duration) bool { return p.pick(cost) != nil }

// Spare implements board.Turns: it reports whether most VMs are idle.
func (p *peers) Spare() bool {
	idle := 0
	for _, l := range p.list {
		if l.load == 0 {
			idle++
		}
	}
	return idle > len(p.list)/2
}

// Take implements board.Turns.
func (p *peers) Take(a fleet.AdviceRequest) {
	l := p.pick(a.Cost)
	if l == nil {
		// A call may turn out longer than it seemed when its turn was asked for.
		l = p.pick(0)
	}
	l.lend(p.now, a.Phase, a.Cost)
	l.peer.RequestAdvice(a)
}

// AddPeer adds a VM that lends its turn.
func (o *Owner) AddPeer(p Peer) {
	o.post(func(o *Owner, now time.Time) {
		o.log.WithField("vm", p.Name()).Info("VM joined")
		o.peers.add(p)
		o.soon(now)
	})
}

// RemovePeer removes a VM; calls that it has not answered are made by others.
func (o *Owner) RemovePeer(p Peer) {
	o.post(func(o *Owner, now time.Time) {
		l := o.peers.byName[p.Name()]
		if l == nil || l.peer != p {
			return
		}
		o.log.WithField("vm", p.Name()).Info("VM parted")
		o.peers.drop(p.Name())
		if o.board == nil {
			return
		}
		for id := range l.asks {
			o.board.AdviceFailed(now, id)
		}
		o.soon(now)
	})
}

// hint tells the VMs where room is.
func (o *Owner) hint(now time.Time) {
	if now.Before(o.nextHint) {
		return
	}
	o.nextHint = now.Add(fleet.RoomHintInterval)
	ids := o.board.WorkersWithRoom(now)
	for _, l := range o.peers.list {
		l.peer.RoomHint(ids)
	}
}

// advise hands the board's calls for advice to the VMs.
func (o *Owner) advise(now time.Time) {
	o.peers.expire(now)
	o.board.AdviceRequests(now, o.peers)
}

// AdviceReceived takes in the result of a call that a VM has made.
func (o *Owner) AdviceReceived(vm string, r advice.Result) {
	o.post(func(o *Owner, now time.Time) {
		if l := o.peers.byName[vm]; l != nil {
			l.done(r.Request.Phase)
		}
		if o.board == nil {
			return
		}
		if r.Err != nil {
			o.log.WithError(r.Err).WithFields(logrus.Fields{"job": r.Request.Phase.Job, "vm": vm}).Warn("no advice")
			o.board.AdviceFailed(now, r.Request.Phase)
		} else {
			o.board.AdviceReceived(now, r.Request.Phase, r.Request.Workers, r.Allowed, r.TicketsLeft(now))
		}
		o.soon(now)
	})
}
