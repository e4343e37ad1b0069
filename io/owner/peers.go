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
	// longRequest is the expected duration from which an advice request is sent only
	// to the first half of the VMs, so that short requests never queue behind it on
	// the others.
	longRequest = 200 * time.Millisecond
	// maxPeerLoad is the load up to which a VM is sent another request. It keeps the
	// VM busy for one round trip between regions.
	maxPeerLoad = 80 * time.Millisecond
	// An answer counts as lost when lostFactor times the expected duration of the
	// request plus lostGrace has passed.
	lostFactor = 4
	lostGrace  = 1500 * time.Millisecond
)

// Peer is a VM that sends advice requests to the placement advisor for the owner.
// The advisor serves one request of each VM at a time.
type Peer interface {
	Name() string
	// RequestAdvice makes the VM send a request to the advisor. The VM reports the
	// result with Owner.AdviceReceived.
	RequestAdvice(r fleet.AdviceRequest)
	// RoomHint sends the workers with room to the VM, which uses them in
	// requests for the jobs that it accepts.
	RoomHint(ids []core.WorkerID)
	// OwnerResigned notifies the VM that the owner has released the ownership record.
	OwnerResigned()
}

// inFlightRequest is an advice request that a VM has not answered.
type inFlightRequest struct {
	// cost is the expected duration of the request.
	cost time.Duration
	// deadline is when the answer counts as lost.
	deadline time.Time
}

// peerState holds the advice requests in flight on one VM.
type peerState struct {
	peer Peer
	// load is the sum of the costs of all requests in flight.
	load     time.Duration
	inFlight map[jobs.PhaseID]inFlightRequest
}

// peers holds the VMs that are connected to the owner. It implements
// fleet.AdvicePeers.
type peers struct {
	byName map[string]*peerState
	// list is sorted by name.
	list []*peerState
	// now is the time of the last call of expireRequests.
	now time.Time
}

func newPeers() *peers { return &peers{byName: map[string]*peerState{}} }

func (p *peers) add(peer Peer) {
	p.remove(peer.Name())
	s := &peerState{peer: peer, inFlight: map[jobs.PhaseID]inFlightRequest{}}
	p.byName[peer.Name()] = s
	p.list = append(p.list, s)
	slices.SortFunc(p.list, func(a, b *peerState) int { return cmp.Compare(a.peer.Name(), b.peer.Name()) })
}

func (p *peers) remove(name string) {
	s := p.byName[name]
	delete(p.byName, name)
	p.list = slices.DeleteFunc(p.list, func(other *peerState) bool { return other == s })
}

// resetLoads removes all requests in flight, since a process that is no longer the
// owner ignores their answers.
func (p *peers) resetLoads() {
	for _, s := range p.list {
		s.load, s.inFlight = 0, map[jobs.PhaseID]inFlightRequest{}
	}
}

func (p *peers) notifyResigned() {
	for _, s := range p.list {
		s.peer.OwnerResigned()
	}
}

func (s *peerState) addRequest(now time.Time, id jobs.PhaseID, cost time.Duration) {
	s.removeRequest(id)
	s.inFlight[id] = inFlightRequest{cost, now.Add(lostFactor*cost + lostGrace)}
	s.load += cost
}

func (s *peerState) removeRequest(id jobs.PhaseID) {
	s.load -= s.inFlight[id].cost
	delete(s.inFlight, id)
}

// expireRequests removes the requests whose answers count as lost.
func (p *peers) expireRequests(now time.Time) {
	p.now = now
	for _, s := range p.list {
		for id, r := range s.inFlight {
			if now.After(r.deadline) {
				s.removeRequest(id)
			}
		}
	}
}

// leastLoaded returns the VM with the lowest load for a request of the given cost,
// or nil if all loads exceed maxPeerLoad. It chooses from the first half of the VMs
// for a long request.
func (p *peers) leastLoaded(cost time.Duration) *peerState {
	list := p.list
	if cost >= longRequest {
		list = list[:(len(list)+1)/2]
	}
	var best *peerState
	for _, s := range list {
		// Of equal loads the last one wins, since long requests never use the
		// second half.
		if s.load <= maxPeerLoad && (best == nil || s.load <= best.load) {
			best = s
		}
	}
	return best
}

// HasCapacity implements fleet.AdvicePeers. It reports whether a VM accepts a request of
// the given cost.
func (p *peers) HasCapacity(cost time.Duration) bool { return p.leastLoaded(cost) != nil }

// MostlyIdle implements fleet.AdvicePeers. It reports whether most VMs are idle.
func (p *peers) MostlyIdle() bool {
	idle := 0
	for _, s := range p.list {
		if s.load == 0 {
			idle++
		}
	}
	return idle > len(p.list)/2
}

// Send implements fleet.AdvicePeers. It sends a request to the least loaded VM.
func (p *peers) Send(r fleet.AdviceRequest) {
	s := p.leastLoaded(r.Cost)
	if s == nil {
		// The scheduler calls HasCapacity before it knows the final cost of the
		// request, which may be long.
		s = p.leastLoaded(0)
	}
	s.addRequest(p.now, r.Phase, r.Cost)
	s.peer.RequestAdvice(r)
}

// AddPeer adds a VM that has connected to the owner.
func (o *Owner) AddPeer(p Peer) {
	o.post(func(o *Owner, now time.Time) {
		o.log.WithField("vm", p.Name()).Info("VM connected")
		o.peers.add(p)
		o.tickSoon(now)
	})
}

// RemovePeer removes a VM that has disconnected. The scheduler sends the VM's
// requests in flight to other VMs.
func (o *Owner) RemovePeer(p Peer) {
	o.post(func(o *Owner, now time.Time) {
		s := o.peers.byName[p.Name()]
		if s == nil || s.peer != p {
			return
		}
		o.log.WithField("vm", p.Name()).Info("VM disconnected")
		o.peers.remove(p.Name())
		if o.scheduler == nil {
			return
		}
		for id := range s.inFlight {
			o.scheduler.AdviceFailed(now, id)
		}
		o.tickSoon(now)
	})
}

// sendRoomHint sends the workers with room to all VMs, once per
// fleet.RoomHintInterval.
func (o *Owner) sendRoomHint(now time.Time) {
	if now.Before(o.nextHint) {
		return
	}
	o.nextHint = now.Add(fleet.RoomHintInterval)
	ids := o.scheduler.WorkersWithRoom(now)
	for _, s := range o.peers.list {
		s.peer.RoomHint(ids)
	}
}

// sendAdviceRequests sends the scheduler's advice requests to the VMs.
func (o *Owner) sendAdviceRequests(now time.Time) {
	o.peers.expireRequests(now)
	o.scheduler.AdviceRequests(now, o.peers)
}

// AdviceReceived handles the result of an advice request that a VM has made.
func (o *Owner) AdviceReceived(vm string, r advice.Result) {
	o.post(func(o *Owner, now time.Time) {
		if s := o.peers.byName[vm]; s != nil {
			s.removeRequest(r.Request.Phase)
		}
		if o.scheduler == nil {
			return
		}
		if r.Err != nil {
			o.log.WithError(r.Err).WithFields(logrus.Fields{"job": r.Request.Phase.Job, "vm": vm}).Warn("advice request failed")
			o.scheduler.AdviceFailed(now, r.Request.Phase)
		} else {
			o.scheduler.AdviceReceived(now, r.Request.Phase, r.Request.Workers, r.Allowed, r.TicketsLeft(now))
		}
		o.tickSoon(now)
	})
}
