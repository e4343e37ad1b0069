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

// These messages carry requests of traffic goroutines to the control goroutine,
// and its replies.
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
		limit int
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

// Dump is the control state that the operators' page /dump shows.
type Dump struct {
	Agent   agent.Dump
	Mailbox int
	Cells   []CellDump
}

// CellDump is the state of one owned cell.
type CellDump struct {
	Load    cell.Status
	Pending int
	Journal uint64
	Workers []cell.WorkerView
	Jobs    []cell.View
}

// maxDumpJobs is the largest number of jobs of one cell in a dump.
const maxDumpJobs = 500

// handleRequest handles the requests of traffic goroutines and reports whether the
// message was one.
func (s *Sched) handleRequest(now time.Time, m loop.Message) bool {
	switch m := m.(type) {
	case submitRequest:
		s.submit(now, m)
	case cancelRequest:
		oc, err := s.cellOf(now, m.id)
		if err == nil {
			err = oc.cell.Cancel(now, m.id)
		}
		m.reply <- err
	case showRequest:
		m.reply <- s.show(now, m.id)
	case listRequest:
		var out []cell.View
		for _, oc := range s.cells {
			out = append(out, oc.cell.List(m.team, m.limit)...)
		}
		m.reply <- out
	case dumpRequest:
		m.reply <- s.dump()
	default:
		return false
	}
	return true
}

// cellOf returns the owned cell of a job.
func (s *Sched) cellOf(now time.Time, id core.JobID) (*ownedCell, error) {
	c, ok := id.Cell()
	if !ok {
		return nil, core.Refuse(core.CodeUnknownJob, "%q is not a job ID", id)
	}
	oc := s.cells[c]
	if oc == nil || oc.releasing || !s.Agent.Member.SessionValid(now) {
		r := core.Refuse(core.CodeNoOwner, "cell %s is not owned by this process", c)
		r.RetryAfter = time.Second
		return nil, r
	}
	return oc, nil
}

// submit adds a job to its cell. It replies at once to an error or a repeated
// submission, and otherwise once the job is stored.
func (s *Sched) submit(now time.Time, m submitRequest) {
	oc, err := s.cellOf(now, m.spec.ID)
	if err != nil {
		m.reply <- submitReply{err: err}
		return
	}
	added, err := oc.cell.Submit(now, m.spec)
	if err != nil || (!added && !oc.cell.IsRecording(m.spec.ID)) {
		m.reply <- submitReply{repeated: err == nil, err: err}
		return
	}
	oc.submitters[m.spec.ID] = append(oc.submitters[m.spec.ID], m.reply)
}

func (s *Sched) show(now time.Time, id core.JobID) showReply {
	oc, err := s.cellOf(now, id)
	if err != nil {
		return showReply{err: err}
	}
	v, ok := oc.cell.Job(id)
	if !ok {
		return showReply{err: core.Refuse(core.CodeUnknownJob, "no job %q", id)}
	}
	return showReply{view: v}
}

func (s *Sched) dump() Dump {
	d := Dump{Agent: s.Agent.Dump(), Mailbox: s.loop.Depth()}
	for _, oc := range s.cells {
		d.Cells = append(d.Cells, CellDump{
			Load: oc.cell.Status(), Pending: oc.cell.Pending(), Journal: oc.nextRow,
			Workers: oc.cell.Workers(), Jobs: oc.cell.List("", maxDumpJobs),
		})
	}
	return d
}

// Dump implements httpx.Process.
func (s *Sched) Dump(ctx context.Context) (any, error) {
	return loop.Ask(ctx, s.loop, func(c chan<- Dump) loop.Message { return dumpRequest{c} })
}

// Alive implements peer.Backend.
func (s *Sched) Alive(ctx context.Context) (peer.Alive, error) { return s.Agent.Alive(ctx) }

// RenewOrPromise implements peer.Backend.
func (s *Sched) RenewOrPromise(ctx context.Context, row member.Session, version uint64, resign bool) (member.Answer, error) {
	return s.Agent.RenewOrPromise(ctx, row, version, resign)
}

// Submit implements peer.Backend.
func (s *Sched) Submit(ctx context.Context, spec cell.JobSpec) (bool, error) {
	r, err := loop.Ask(ctx, s.loop, func(c chan<- submitReply) loop.Message { return submitRequest{spec, c} })
	if err != nil {
		return false, core.RefuseUnknown(core.CodeStoreUnavailable, err, "the job may or may not have been stored")
	}
	return r.repeated, r.err
}

// Cancel implements peer.Backend.
func (s *Sched) Cancel(ctx context.Context, id core.JobID) error {
	cancelErr, err := loop.Ask(ctx, s.loop, func(c chan<- error) loop.Message { return cancelRequest{id, c} })
	if err != nil {
		return err
	}
	return cancelErr
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
func (s *Sched) List(ctx context.Context, team core.Team, limit int) ([]cell.View, error) {
	return loop.Ask(ctx, s.loop, func(c chan<- []cell.View) loop.Message { return listRequest{team, limit, c} })
}
