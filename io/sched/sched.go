// Package sched is the process that owns cells: it records their jobs, places
// their tasks and keeps their workers' leases.
package sched

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryturn/core"
	"chicoryturn/core/cell"
	"chicoryturn/core/ledger"
	"chicoryturn/core/member"
	"chicoryturn/io/agent"
	"chicoryturn/io/loop"
	"chicoryturn/io/work"
)

const (
	// tickEvery is how often leases are looked at.
	tickEvery = 100 * time.Millisecond
	// planEvery is the shortest time between two placement passes.
	planEvery = 5 * time.Millisecond
	// snapEvery is how many journal rows are written between two snapshots.
	snapEvery = 500
	// slackPart divides a team's limit into the part that a cell keeps at hand.
	slackPart = 16
	// loadTimeout is how long the reading of a journal may take.
	loadTimeout = 10 * time.Second
	// recordPause is how long a failed write of the journal is left alone.
	recordPause = 250 * time.Millisecond
)

// Store is the platform's service.
type Store interface {
	agent.Store
	DeleteObject(ctx context.Context, name string) error
}

// Workers calls worker VMs.
type Workers interface {
	Contact(ctx context.Context, k cell.Heartbeat) (cell.Report, error)
}

// Meter takes in what the sched measures.
type Meter interface {
	TaskWait(queue core.Queue, team core.Team, wait time.Duration)
	Plan(took time.Duration)
	Counts(cell core.CellID, c cell.Counts)
}

// tenure is one cell while this process owns it.
type tenure struct {
	claim member.Claim
	cell  *cell.Cell
	book  *ledger.Ledger
	// next numbers the journal row written next.
	next uint64
	// recording is set while a write of the journal or a snapshot is in flight.
	recording bool
	// doubt is set after a write without a reply: it is tried again as it was,
	// and its own row then counts as success.
	doubt     bool
	pauseTill time.Time
	sinceSnap int
	oldLogs   []string
	oldSnap   string
	waiting   map[core.JobID][]chan<- submitted
	lastPlan  time.Time
	releasing bool
}

// Sched is the control state of the process.
type Sched struct {
	loop      *loop.Loop
	Agent     *agent.Agent
	store     Store
	workers   Workers
	meter     Meter
	log       *logrus.Entry
	workerTTL time.Duration
	policy    cell.Policy
	tenures   map[core.CellID]*tenure
	// loading holds until when a cell's journal is not read again.
	loading  map[core.CellID]time.Time
	nextTick time.Time
	left     chan struct{}
	leaving  bool
	leftDone bool
}

// Option changes a sched under construction.
type Option func(*Sched)

// WithWorkerTTL sets how long a worker goes on without contact.
func WithWorkerTTL(ttl time.Duration) Option { return func(s *Sched) { s.workerTTL = ttl } }

// WithPolicy sets the placement policy.
func WithPolicy(p cell.Policy) Option { return func(s *Sched) { s.policy = p } }

// New returns a sched that owns nothing yet.
func New(l *loop.Loop, st Store, p agent.Peers, w Workers, m *member.Member, mt Meter, log *logrus.Entry, opts ...Option) *Sched {
	s := &Sched{
		loop: l, store: st, workers: w, meter: mt, log: log, workerTTL: cell.DefaultWorkerTTL,
		policy: cell.DefaultPolicy(), tenures: map[core.CellID]*tenure{}, loading: map[core.CellID]time.Time{},
		left: make(chan struct{}),
	}
	for _, o := range opts {
		o(s)
	}
	s.Agent = agent.New(l, st, p, s, m, log)
	return s
}

// Left is closed once a planned stop has handed everything over.
func (s *Sched) Left() <-chan struct{} { return s.left }

type (
	contacted struct {
		cell    core.CellID
		epoch   core.Epoch
		contact cell.Heartbeat
		report  cell.Report
		err     error
	}
	loaded struct {
		claim   member.Claim
		entries []cell.Entry
		next    uint64
		logs    []string
		err     error
	}
	recorded struct {
		cell  core.CellID
		epoch core.Epoch
		key   string
		err   error
	}
	snapped struct {
		cell    core.CellID
		epoch   core.Epoch
		claim   member.Claim
		version uint64
		err     error
	}
	leave struct{}
)

// Message implements loop.Message.
func (contacted) Message() {}

// Message implements loop.Message.
func (loaded) Message() {}

// Message implements loop.Message.
func (recorded) Message() {}

// Message implements loop.Message.
func (snapped) Message() {}

// Message implements loop.Message.
func (leave) Message() {}

// Leave begins a planned stop.
func (s *Sched) Leave() { _ = s.loop.Post(leave{}) }

// Handle implements loop.Handler.
func (s *Sched) Handle(now time.Time, m loop.Message) {
	if s.Agent.Handle(now, m) || s.Agent.HandleView(now, m) || s.asked(now, m) {
		return
	}
	switch m := m.(type) {
	case contacted:
		s.contacted(now, m)
	case loaded:
		s.loaded(now, m)
	case recorded:
		s.recorded(now, m)
	case snapped:
		s.snapped(now, m)
	case leave:
		s.log.Info("leaving: handing cells over")
		s.leaving = true
		s.Agent.Member.Drain()
	}
}

// Wake implements loop.Handler.
func (s *Sched) Wake(now time.Time) time.Time {
	next := s.Agent.Tick(now)
	s.follow(now)
	tick := !now.Before(s.nextTick)
	if tick {
		s.nextTick = now.Add(tickEvery)
	}
	live := s.Agent.Member.SessionValid(now)
	for _, t := range s.tenures {
		if live {
			next = core.Earlier(next, s.drive(now, t, tick))
		}
	}
	s.leave()
	return core.Earlier(next, s.nextTick)
}

// follow opens and closes tenures as the membership says.
func (s *Sched) follow(now time.Time) {
	owned, loading, releasing := s.Agent.Member.Owned()
	keep := core.NewSet[core.CellID]()
	for _, c := range owned {
		keep.Add(c.Cell)
	}
	for _, c := range releasing {
		keep.Add(c.Cell)
		if t := s.tenures[c.Cell]; t != nil {
			t.releasing = true
		}
	}
	for _, c := range loading {
		keep.Add(c.Cell)
		if now.After(s.loading[c.Cell]) {
			s.load(c)
		}
	}
	for id, t := range s.tenures {
		if !keep.Has(id) {
			s.close(id, t)
		}
	}
}

func (s *Sched) close(id core.CellID, t *tenure) {
	s.log.Infof("cell %s is no longer owned here", id)
	delete(s.tenures, id)
	s.Agent.RemoveLedger(t.book)
	for _, list := range t.waiting {
		for _, c := range list {
			c <- submitted{err: core.RefuseUnknown(core.CodeOwner, nil, "cell %s has changed hands", id)}
		}
	}
}

// drive lets one cell decide and sends what it has decided.
func (s *Sched) drive(now time.Time, t *tenure, tick bool) time.Time {
	if t.releasing {
		s.release(now, t)
		return now.Add(tickEvery)
	}
	if tick {
		t.cell.Tick(now)
		s.meter.Counts(t.claim.Cell, t.cell.Counts())
	}
	next := time.Time{}
	if now.Sub(t.lastPlan) >= planEvery {
		began := time.Now()
		if t.cell.Plan(now) {
			next = now.Add(planEvery)
		}
		s.meter.Plan(time.Since(began))
		t.lastPlan = now
	} else {
		next = t.lastPlan.Add(planEvery)
	}
	for _, k := range t.cell.Heartbeats(now) {
		s.contact(t, k)
	}
	s.record(now, t)
	s.observe(t)
	return next
}

func (s *Sched) observe(t *tenure) {
	s.Agent.LogRefusals(t.cell.Refusals())
	for _, w := range t.cell.Waits() {
		s.meter.TaskWait(w.Queue, w.Team, w.Time)
	}
}

func (s *Sched) contact(t *tenure, k cell.Heartbeat) {
	id, epoch := t.claim.Cell, t.claim.Epoch
	s.loop.Go(func(ctx context.Context) loop.Message {
		r, err := s.workers.Contact(ctx, k)
		return contacted{id, epoch, k, r, err}
	})
}

func (s *Sched) contacted(now time.Time, m contacted) {
	t := s.tenures[m.cell]
	if t == nil || t.claim.Epoch != m.epoch || t.releasing {
		return
	}
	var stale *work.StaleError
	switch {
	case errors.As(m.err, &stale):
		s.log.WithError(m.err).Warnf("cell %s has a newer owner", m.cell)
		s.Agent.Member.Lost(m.cell)
		s.follow(now)
	case m.err != nil:
		s.log.WithError(m.err).Debug("contact missed")
		t.cell.HeartbeatFailed(now, m.contact)
	default:
		t.cell.Report(now, m.contact, m.report)
	}
}

// ConfigChanged implements agent.Host.
func (s *Sched) ConfigChanged(time.Time) {
	for _, t := range s.tenures {
		s.applyRules(t)
	}
}

// VMsChanged implements agent.Host.
func (s *Sched) VMsChanged(now time.Time, _ []core.VM) {
	for _, t := range s.tenures {
		s.applyVMs(now, t)
	}
}

// BookRead implements agent.Host: it tells each cell what teams use elsewhere.
func (s *Sched) BookRead(time.Time) {
	fleet := int64(0)
	for _, vm := range s.Agent.VMs() {
		fleet += vm.Room.Cores
	}
	for _, t := range s.tenures {
		for team := range s.Agent.Conf.Rules().Teams {
			name := cell.LimitName(team)
			t.cell.SetRemoteUse(team, t.book.Total(name)-t.book.Held(name), fleet)
		}
	}
}

func (s *Sched) applyRules(t *tenure) {
	set := s.Agent.Conf.Rules()
	t.cell.SetRules(set)
	rows := core.NewSet[string]()
	for name, team := range set.Teams {
		rows.Add(cell.LimitName(name))
		t.book.Declare(cell.LimitName(name), team.Cores, team.Cores/slackPart)
	}
	t.book.ZeroTotals(rows.Has)
}

func (s *Sched) applyVMs(now time.Time, t *tenure) {
	if !s.Agent.Listed() {
		return
	}
	t.cell.SetWorkers(now, workersOf(s.Agent.VMs(), t.claim.Cell, s.Agent.Member.Cells()))
}

// workersOf returns the workers that belong to a cell.
func workersOf(vms []core.VM, id core.CellID, cells int) []core.VM {
	var out []core.VM
	for _, vm := range vms {
		if vm.Kind == "worker" && vm.Region == id.Region && cell.IndexOf(core.WorkerID(vm.Name), cells) == id.Index {
			out = append(out, vm)
		}
	}
	return out
}

func (s *Sched) leave() {
	if !s.leaving || s.leftDone || len(s.tenures) > 0 {
		return
	}
	s.leftDone = true
	s.Agent.DeleteSession(s.left)
}
