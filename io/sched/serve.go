package sched

import (
	"context"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/cell"
	"chicoryturn/core/member"
	"chicoryturn/io/agent"
	"chicoryturn/io/loop"
	"chicoryturn/io/peer"
)

type (
	submitReply struct {
		repeated bool
		err      error
	}
	submitRequest struct {
		spec  cell.JobSpec
		reply chan<- submitReply
	}
	cancelRequest struct {
		id    core.JobID
		reply chan<- error
	}
	showReply struct {
		view cell.View
		err  error
	}
	showRequest struct {
		id    core.JobID
		reply chan<- showReply
	}
	listRequest struct {
		team  core.Team
		most  int
		reply chan<- []cell.View
	}
	dumpRequest struct{ reply chan<- Dump }
)

// Message implements loop.Message.
func (submitRequest) Message() {}

// Message implements loop.Message.
func (cancelRequest) Message() {}

// Message implements loop.Message.
func (showRequest) Message() {}

// Message implements loop.Message.
func (listRequest) Message() {}

// Message implements loop.Message.
func (dumpRequest) Message() {}

// Dump is the whole control state for people.
type Dump struct {
	Agent   agent.Dump
	Mailbox int
	Cells   []CellDump
}

// CellDump is one owned cell.
type CellDump struct {
	Load    cell.Load
	Pending int
	Journal uint64
	Workers []cell.WorkerView
	Jobs    []cell.View
}

// dumpJobs bounds the jobs of one cell in a dump.
const dumpJobs = 500

// handleRequest answers the questions of traffic goroutines.
func (s *Sched) handleRequest(now time.Time, m loop.Message) bool {
	switch m := m.(type) {
	case submitRequest:
		s.submit(now, m)
	case cancelRequest:
		t, err := s.cellOf(now, m.id)
		if err == nil {
			err = t.cell.Cancel(now, m.id)
		}
		m.reply <- err
	case showRequest:
		m.reply <- s.show(now, m.id)
	case listRequest:
		var out []cell.View
		for _, t := range s.cells {
			out = append(out, t.cell.List(m.team, m.most)...)
		}
		m.reply <- out
	case dumpRequest:
		m.reply <- s.dump()
	default:
		return false
	}
	return true
}

// cellOf returns the tenure that a job belongs to.
func (s *Sched) cellOf(now time.Time, id core.JobID) (*ownedCell, error) {
	c, ok := id.Cell()
	if !ok {
		return nil, core.Refuse(core.CodeNoJob, "%q is not the name of a job", id)
	}
	t := s.cells[c]
	if t == nil || t.releasing || !s.Agent.Member.SessionValid(now) {
		r := core.Refuse(core.CodeOwner, "cell %s is not owned here", c)
		r.RetryAfter = time.Second
		return nil, r
	}
	return t, nil
}

func (s *Sched) submit(now time.Time, m submitRequest) {
	t, err := s.cellOf(now, m.spec.ID)
	if err != nil {
		m.reply <- submitReply{err: err}
		return
	}
	fresh, err := t.cell.Submit(now, m.spec)
	if err != nil || (!fresh && !t.cell.Recording(m.spec.ID)) {
		m.reply <- submitReply{repeated: err == nil, err: err}
		return
	}
	t.submitters[m.spec.ID] = append(t.submitters[m.spec.ID], m.reply)
}

func (s *Sched) show(now time.Time, id core.JobID) showReply {
	t, err := s.cellOf(now, id)
	if err != nil {
		return showReply{err: err}
	}
	v, ok := t.cell.Show(id)
	if !ok {
		return showReply{err: core.Refuse(core.CodeNoJob, "no job %q", id)}
	}
	return showReply{view: v}
}

func (s *Sched) dump() Dump {
	d := Dump{Agent: s.Agent.Dump(), Mailbox: s.loop.Depth()}
	for _, t := range s.cells {
		d.Cells = append(d.Cells, CellDump{
			Load: t.cell.State(), Pending: t.cell.Pending(), Journal: t.nextRow,
			Workers: t.cell.Workers(), Jobs: t.cell.List("", dumpJobs),
		})
	}
	return d
}

// Dump returns the whole control state; it is called by traffic goroutines.
func (s *Sched) Dump(ctx context.Context) (any, error) {
	return loop.Ask(ctx, s.loop, func(c chan<- Dump) loop.Message { return dumpRequest{c} })
}

// Alive implements peer.Backend.
func (s *Sched) Alive(ctx context.Context) (peer.Alive, error) { return s.Agent.Alive(ctx) }

// Hold implements peer.Backend.
func (s *Sched) Hold(ctx context.Context, row member.Session, version uint64, resign bool) (member.Answer, error) {
	return s.Agent.RenewOrPromise(ctx, row, version, resign)
}

// Submit implements peer.Backend.
func (s *Sched) Submit(ctx context.Context, spec cell.JobSpec) (bool, error) {
	r, err := loop.Ask(ctx, s.loop, func(c chan<- submitReply) loop.Message { return submitRequest{spec, c} })
	if err != nil {
		return false, core.RefuseUnknown(core.CodeStore, err, "the job may or may not have been recorded")
	}
	return r.repeated, r.err
}

// Cancel implements peer.Backend.
func (s *Sched) Cancel(ctx context.Context, id core.JobID) error {
	refused, err := loop.Ask(ctx, s.loop, func(c chan<- error) loop.Message { return cancelRequest{id, c} })
	if err != nil {
		return err
	}
	return refused
}

// Show implements peer.Backend.
func (s *Sched) Show(ctx context.Context, id core.JobID) (cell.View, error) {
	r, err := loop.Ask(ctx, s.loop, func(c chan<- showReply) loop.Message { return showRequest{id, c} })
	if err != nil {
		return cell.View{}, err
	}
	return r.view, r.err
}

// List implements peer.Backend.
func (s *Sched) List(ctx context.Context, team core.Team, most int) ([]cell.View, error) {
	return loop.Ask(ctx, s.loop, func(c chan<- []cell.View) loop.Message { return listRequest{team, most, c} })
}
