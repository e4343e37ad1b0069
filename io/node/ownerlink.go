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

// desk brings what the entry has for the owner to it: across the link, or
// directly if this process is the owner.
type desk struct {
	vm    string
	owner *owner.Owner
	link  *link.Client
	rpc   *link.Server
	mine  atomic.Bool
}

// Forward implements relay.Carrier.
func (d *desk) Forward(ctx context.Context, c table.Call) (table.Outcome, error) {
	if d.mine.Load() {
		return d.rpc.Forward(ctx, c)
	}
	return d.link.Forward(ctx, c)
}

// Accepted implements entry.Link.
func (d *desk) Accepted(spec jobs.Spec, asking bool) {
	if !d.mine.Load() {
		d.link.Accepted(spec, asking)
		return
	}
	from := ""
	if asking {
		from = d.vm
	}
	d.owner.Accepted(spec, from)
}

// Advised implements entry.Link.
func (d *desk) Advised(r advice.Result) {
	if d.mine.Load() {
		d.owner.AdviceReceived(d.vm, r)
		return
	}
	d.link.Advised(r)
}

// Connected implements entry.Link.
func (d *desk) Connected() bool {
	if d.mine.Load() {
		return d.rpc.Joined()
	}
	return d.link.Connected()
}

// Cancelled implements entry.Link.
func (d *desk) Cancelled(id core.JobID) {
	if d.mine.Load() {
		d.owner.Cancelled(id)
		return
	}
	d.link.Cancelled(id)
}

// State implements entry.Link.
func (d *desk) State(ctx context.Context, id core.JobID) (jobs.State, bool, error) {
	if !d.mine.Load() {
		return d.link.State(ctx, id)
	}
	s, known, mine, err := d.owner.State(ctx, id)
	return s, known && mine, err
}

// Pending implements entry.Link.
func (d *desk) Pending(ctx context.Context, q core.Queue) (int, bool, error) {
	if !d.mine.Load() {
		return d.link.Pending(ctx, q)
	}
	return d.owner.Pending(ctx, q)
}

// local is the process's own turn at the placement policy.
type local struct {
	vm    string
	guide *advice.Client
	owner *owner.Owner
	entry *entry.Entry
}

// Name implements owner.Peer.
func (l *local) Name() string { return l.vm }

// RequestAdvice implements owner.Peer.
func (l *local) RequestAdvice(a fleet.AdviceRequest) {
	l.guide.Request(a, func(r advice.Result) { l.owner.AdviceReceived(l.vm, r) })
}

// RoomHint implements owner.Peer.
func (l *local) RoomHint(ids []core.WorkerID) { l.entry.SetRoomHint(ids) }

// OwnerResigned implements owner.Peer.
func (*local) OwnerResigned() {}
