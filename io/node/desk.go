package node

import (
	"context"
	"sync/atomic"

	"chicoryturn/core"
	"chicoryturn/core/board"
	"chicoryturn/core/jobs"
	"chicoryturn/io/entry"
	"chicoryturn/io/guide"
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

// Carry implements relay.Carrier.
func (d *desk) Carry(ctx context.Context, c table.Call) (table.Outcome, error) {
	if d.mine.Load() {
		return d.rpc.Carry(ctx, c)
	}
	return d.link.Carry(ctx, c)
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
func (d *desk) Advised(r guide.Result) {
	if d.mine.Load() {
		d.owner.Advised(d.vm, r)
		return
	}
	d.link.Advised(r)
}

// Joined implements entry.Link.
func (d *desk) Joined() bool {
	if d.mine.Load() {
		return d.rpc.Joined()
	}
	return d.link.Joined()
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
	guide *guide.Guide
	owner *owner.Owner
	entry *entry.Entry
}

// Name implements owner.Peer.
func (l *local) Name() string { return l.vm }

// Advise implements owner.Peer.
func (l *local) Advise(a board.Ask) {
	l.guide.Ask(a, func(r guide.Result) { l.owner.Advised(l.vm, r) })
}

// Roomy implements owner.Peer.
func (l *local) Roomy(ids []core.WorkerID) { l.entry.SetRoomy(ids) }

// Resigned implements owner.Peer.
func (*local) Resigned() {}
