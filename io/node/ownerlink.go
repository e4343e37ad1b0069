package node

import (
	"context"
	"sync/atomic"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/io/advice"
	"chicoryturn/io/entry"
	"chicoryturn/io/link"
	"chicoryturn/io/owner"
	"chicoryturn/io/table"
)

// ownerLink passes the entry's messages to the owner: over the link, or
// directly if this process is the owner. It forwards table calls to the owner's
// VM, or from the owner to a connected VM.
type ownerLink struct {
	vm      string
	owner   *owner.Owner
	client  *link.Client
	server  *link.Server
	isOwner atomic.Bool
}

// Forward implements relay.Forwarder.
func (l *ownerLink) Forward(ctx context.Context, c table.Call) (table.Outcome, error) {
	if l.isOwner.Load() {
		return l.server.Forward(ctx, c)
	}
	return l.client.Forward(ctx, c)
}

// JobAccepted implements entry.OwnerLink.
func (l *ownerLink) JobAccepted(spec jobs.Spec, advicePending bool) {
	if !l.isOwner.Load() {
		l.client.JobAccepted(spec, advicePending)
		return
	}
	requester := ""
	if advicePending {
		requester = l.vm
	}
	l.owner.JobAccepted(spec, requester)
}

// ReportAdvice implements entry.OwnerLink.
func (l *ownerLink) ReportAdvice(r advice.Result) {
	if l.isOwner.Load() {
		l.owner.AdviceReceived(l.vm, r)
		return
	}
	l.client.ReportAdvice(r)
}

// Connected implements entry.OwnerLink.
func (l *ownerLink) Connected() bool {
	if l.isOwner.Load() {
		return l.server.HasPeers()
	}
	return l.client.Connected()
}

// JobCancelled implements entry.OwnerLink.
func (l *ownerLink) JobCancelled(id core.JobID) {
	if l.isOwner.Load() {
		l.owner.JobCancelled(id)
		return
	}
	l.client.JobCancelled(id)
}

// State implements entry.OwnerLink.
func (l *ownerLink) State(ctx context.Context, id core.JobID) (jobs.State, bool, error) {
	if !l.isOwner.Load() {
		return l.client.State(ctx, id)
	}
	state, known, isOwner, err := l.owner.State(ctx, id)
	return state, known && isOwner, err
}

// Pending implements entry.OwnerLink.
func (l *ownerLink) Pending(ctx context.Context, q core.Queue) (int, bool, error) {
	if !l.isOwner.Load() {
		return l.client.Pending(ctx, q)
	}
	return l.owner.Pending(ctx, q)
}

// localPeer represents this VM as a peer of the owner in the same process.
type localPeer struct {
	vm     string
	advice *advice.Client
	owner  *owner.Owner
	entry  *entry.Entry
}

// Name implements owner.Peer.
func (l *localPeer) Name() string { return l.vm }

// RequestAdvice implements owner.Peer.
func (l *localPeer) RequestAdvice(a fleet.AdviceRequest) {
	l.advice.Request(a, func(r advice.Result) { l.owner.AdviceReceived(l.vm, r) })
}

// RoomHint implements owner.Peer.
func (l *localPeer) RoomHint(ids []core.WorkerID) { l.entry.SetRoomHint(ids) }

// OwnerResigned implements owner.Peer.
func (*localPeer) OwnerResigned() {}
