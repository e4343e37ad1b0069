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
	// longRequest is the length from which a call for advice is kept off half of
	// the VMs, so that short calls need not wait behind it.
	longRequest = 200 * time.Millisecond
	// maxPeerLoad is how much work a VM may have before it is given more: enough to
	// keep it busy over the way between regions and back.
	maxPeerLoad = 80 * time.Millisecond
	// lostFactor times the length of a call, and lostGrace more, is when its
	// answer is no longer waited for.
	lostFactor = 4
	lostGrace  = 1500 * time.Millisecond
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

// inFlightRequest is a call that a VM is making.
type inFlightRequest struct {
	cost     time.Duration
	deadline time.Time
}

// peerState is what the owner knows of a peer's turn.
type peerState struct {
	peer Peer
	// load is the expected length of the calls that have not been answered.
	load     time.Duration
	inFlight map[jobs.PhaseID]inFlightRequest
}

// peers are the VMs joined to the owner. It implements board.Turns.
type peers struct {
	byName map[string]*peerState
	// list is sorted by name.
	list []*peerState
	now  time.Time
}

func newPeers() *peers { return &peers{byName: map[string]*peerState{}} }

func (p *peers) add(peer Peer) {
	p.remove(peer.Name())
	l := &peerState{peer: peer, inFlight: map[jobs.PhaseID]inFlightRequest{}}
	p.byName[peer.Name()] = l
	p.list = append(p.list, l)
	slices.SortFunc(p.list, func(a, b *peerState) int { return cmp.Compare(a.peer.Name(), b.peer.Name()) })
}

func (p *peers) remove(name string) {
	l := p.byName[name]
	delete(p.byName, name)
	p.list = slices.DeleteFunc(p.list, func(o *peerState) bool { return o == l })
}

// resetLoads drops the loads, since their answers will not be taken in.
func (p *peers) resetLoads() {
	for _, l := range p.list {
		l.load, l.inFlight = 0, map[jobs.PhaseID]inFlightRequest{}
	}
}

func (p *peers) notifyResigned() {
	for _, l := range p.list {
		l.peer.OwnerResigned()
	}
}

func (l *peerState) addRequest(now time.Time, id jobs.PhaseID, cost time.Duration) {
	l.removeRequest(id)
	l.inFlight[id] = inFlightRequest{cost, now.Add(lostFactor*cost + lostGrace)}
	l.load += cost
}

func (l *peerState) removeRequest(id jobs.PhaseID) {
	l.load -= l.inFlight[id].cost
	delete(l.inFlight, id)
}

// expireRequests forgets calls whose answers have been lost.
func (p *peers) expireRequests(now time.Time) {
	p.now = now
	for _, l := range p.list {
		for id, a := range l.inFlight {
			if now.After(a.deadline) {
				l.removeRequest(id)
			}
		}
	}
}

// leastLoaded returns the VM that would answer a call first, nil if all are busy.
// Long calls use only the first half of the VMs.
func (p *peers) leastLoaded(cost time.Duration) *peerState {
	list := p.list
	if cost >= longRequest {
		list = list[:(len(list)+1)/2]
	}
	var best *peerState
	for _, l := range list {
		// Short calls prefer the later VMs, which make no long ones.
		if l.load <= maxPeerLoad && (best == nil || l.load <= best.load) {
			best = l
		}
	}
	return best
}

// Free implements board.Turns.
func (p *peers) Free(cost time.Duration) bool { return p.leastLoaded(cost) != nil }

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
	l := p.leastLoaded(a.Cost)
	if l == nil {
		// A call may turn out longer than it seemed when its turn was asked for.
		l = p.leastLoaded(0)
	}
	l.addRequest(p.now, a.Phase, a.Cost)
	l.peer.RequestAdvice(a)
}

// AddPeer adds a VM that lends its turn.
func (o *Owner) AddPeer(p Peer) {
	o.post(func(o *Owner, now time.Time) {
		o.log.WithField("vm", p.Name()).Info("VM joined")
		o.peers.add(p)
		o.tickSoon(now)
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
		o.peers.remove(p.Name())
		if o.scheduler == nil {
			return
		}
		for id := range l.inFlight {
			o.scheduler.AdviceFailed(now, id)
		}
		o.tickSoon(now)
	})
}

// sendRoomHint tells the VMs where room is.
func (o *Owner) sendRoomHint(now time.Time) {
	if now.Before(o.nextHint) {
		return
	}
	o.nextHint = now.Add(fleet.RoomHintInterval)
	ids := o.scheduler.WorkersWithRoom(now)
	for _, l := range o.peers.list {
		l.peer.RoomHint(ids)
	}
}

// sendAdviceRequests hands the board's calls for advice to the VMs.
func (o *Owner) sendAdviceRequests(now time.Time) {
	o.peers.expireRequests(now)
	o.scheduler.AdviceRequests(now, o.peers)
}

// AdviceReceived takes in the result of a call that a VM has made.
func (o *Owner) AdviceReceived(vm string, r advice.Result) {
	o.post(func(o *Owner, now time.Time) {
		if l := o.peers.byName[vm]; l != nil {
			l.removeRequest(r.Request.Phase)
		}
		if o.scheduler == nil {
			return
		}
		if r.Err != nil {
			o.log.WithError(r.Err).WithFields(logrus.Fields{"job": r.Request.Phase.Job, "vm": vm}).Warn("no advice")
			o.scheduler.AdviceFailed(now, r.Request.Phase)
		} else {
			o.scheduler.AdviceReceived(now, r.Request.Phase, r.Request.Workers, r.Allowed, r.TicketsLeft(now))
		}
		o.tickSoon(now)
	})
}
