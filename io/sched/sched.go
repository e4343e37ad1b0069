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
	// tickInterval is how often leases are looked at.
	tickInterval = 100 * time.Millisecond
	// minPlanInterval is the shortest time between two placement passes.
	minPlanInterval = 5 * time.Millisecond
	// rowsPerSnapshot is how many journal rows are written between two snapshots.
	rowsPerSnapshot = 500
	// slackDivisor divides a team's limit into the part that a cell keeps at hand.
	slackDivisor = 16
	// loadTimeout is how long the reading of a journal may take.
	loadTimeout = 10 * time.Second
	// retryDelay is how long a failed write of the journal is left alone.
	retryDelay = 250 * time.Millisecond
)

// Store is the platform's service.
type Store interface {
	agent.Store
	DeleteObject(ctx context.Context, name string) error
}

// Workers calls worker VMs.
type Workers interface {
	Heartbeat(ctx context.Context, k cell.Heartbeat) (cell.Report, error)
}

// Meter takes in what the sched measures.
type Meter interface {
	TaskWait(queue core.Queue, team core.Team, wait time.Duration)
	Placement(took time.Duration)
	Counts(cell core.CellID, c cell.Counts)
}

// ownedCell is one cell while this process owns it.
type ownedCell struct {
	claim  member.Claim
	cell   *cell.Cell
	ledger *ledger.Ledger
	// nextRow numbers the journal row written next.
	nextRow uint64
	// writing is set while a write of the journal or a snapshot is in flight.
	writing bool
	// outcomeUnknown is set after a write without a reply: it is tried again as it was,
	// and its own row then counts as success.
	outcomeUnknown    bool
	retryAt           time.Time
	rowsSinceSnapshot int
	journalKeys       []string
	snapshot          string
	submitters        map[core.JobID][]chan<- submitReply
	lastPlan          time.Time
	releasing         bool
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
	cells     map[core.CellID]*ownedCell
	// nextLoad holds until when a cell's journal is not read again.
	nextLoad      map[core.CellID]time.Time
	nextTick      time.Time
	drained       chan struct{}
	draining      bool
	sessionEnding bool
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
		policy: cell.DefaultPolicy(), cells: map[core.CellID]*ownedCell{}, nextLoad: map[core.CellID]time.Time{},
		drained: make(chan struct{}),
	}
	for _, o := range opts {
		o(s)
	}
	s.Agent = agent.New(l, st, p, s, m, log)
	return s
}

// Left is closed once a planned stop has handed everything over.
func (s *Sched) Left() <-chan struct{} { return s.drained }

type (
	heartbeatResult struct {
		cell      core.CellID
		epoch     core.Epoch
		heartbeat cell.Heartbeat
		report    cell.Report
		err       error
	}
	loadResult struct {
		claim   member.Claim
		entries []cell.Entry
		nextRow uint64
		keys    []string
		err     error
	}
	journalResult struct {
		cell  core.CellID
		epoch core.Epoch
		key   string
		err   error
	}
	snapshotResult struct {
		cell    core.CellID
		epoch   core.Epoch
		claim   member.Claim
		version uint64
		err     error
	}
	drainRequest struct{}
)

// Message implements loop.Message.
func (heartbeatResult) Message() {}

// Message implements loop.Message.
func (loadResult) Message() {}

// Message implements loop.Message.
func (journalResult) Message() {}

// Message implements loop.Message.
func (snapshotResult) Message() {}

// Message implements loop.Message.
func (drainRequest) Message() {}

// Leave begins a planned stop.
func (s *Sched) Leave() { _ = s.loop.Post(drainRequest{}) }

// Handle implements loop.Handler.
func (s *Sched) Handle(now time.Time, m loop.Message) {
	if s.Agent.Handle(now, m) || s.Agent.HandleView(now, m) || s.handleRequest(now, m) {
		return
	}
	switch m := m.(type) {
	case heartbeatResult:
		s.handleHeartbeat(now, m)
	case loadResult:
		s.handleLoad(now, m)
	case journalResult:
		s.handleJournal(now, m)
	case snapshotResult:
		s.handleSnapshot(now, m)
	case drainRequest:
		s.log.Info("leaving: handing cells over")
		s.draining = true
		s.Agent.Member.Drain()
	}
}

// Wake implements loop.Handler.
func (s *Sched) Wake(now time.Time) time.Time {
	next := s.Agent.Tick(now)
	s.syncOwnership(now)
	tick := !now.Before(s.nextTick)
	if tick {
		s.nextTick = now.Add(tickInterval)
	}
	live := s.Agent.Member.SessionValid(now)
	for _, t := range s.cells {
		if live {
			next = core.Earlier(next, s.advance(now, t, tick))
		}
	}
	s.finishDrain()
	return core.Earlier(next, s.nextTick)
}

// syncOwnership opens and closes tenures as the membership says.
func (s *Sched) syncOwnership(now time.Time) {
	owned, loading, releasing := s.Agent.Member.Owned()
	keep := core.NewSet[core.CellID]()
	for _, c := range owned {
		keep.Add(c.Cell)
	}
	for _, c := range releasing {
		keep.Add(c.Cell)
		if t := s.cells[c.Cell]; t != nil {
			t.releasing = true
		}
	}
	for _, c := range loading {
		keep.Add(c.Cell)
		if now.After(s.nextLoad[c.Cell]) {
			s.readJournal(c)
		}
	}
	for id, t := range s.cells {
		if !keep.Has(id) {
			s.closeCell(id, t)
		}
	}
}

func (s *Sched) closeCell(id core.CellID, t *ownedCell) {
	s.log.Infof("cell %s is no longer owned here", id)
	delete(s.cells, id)
	s.Agent.RemoveLedger(t.ledger)
	for _, list := range t.submitters {
		for _, c := range list {
			c <- submitReply{err: core.RefuseUnknown(core.CodeOwner, nil, "cell %s has changed hands", id)}
		}
	}
}

// advance lets one cell decide and sends what it has decided.
func (s *Sched) advance(now time.Time, t *ownedCell, tick bool) time.Time {
	if t.releasing {
		s.releaseCell(now, t)
		return now.Add(tickInterval)
	}
	if tick {
		t.cell.Tick(now)
		s.meter.Counts(t.claim.Cell, t.cell.Counts())
	}
	next := time.Time{}
	if now.Sub(t.lastPlan) >= minPlanInterval {
		began := time.Now()
		if t.cell.Plan(now) {
			next = now.Add(minPlanInterval)
		}
		s.meter.Placement(time.Since(began))
		t.lastPlan = now
	} else {
		next = t.lastPlan.Add(minPlanInterval)
	}
	for _, k := range t.cell.Heartbeats(now) {
		s.sendHeartbeat(t, k)
	}
	s.writeJournal(now, t)
	s.reportMetrics(t)
	return next
}

func (s *Sched) reportMetrics(t *ownedCell) {
	s.Agent.LogRefusals(t.cell.Refusals())
	for _, w := range t.cell.Waits() {
		s.meter.TaskWait(w.Queue, w.Team, w.Time)
	}
}

func (s *Sched) sendHeartbeat(t *ownedCell, k cell.Heartbeat) {
	id, epoch := t.claim.Cell, t.claim.Epoch
	s.loop.Go(func(ctx context.Context) loop.Message {
		r, err := s.workers.Heartbeat(ctx, k)
		return heartbeatResult{id, epoch, k, r, err}
	})
}

func (s *Sched) handleHeartbeat(now time.Time, m heartbeatResult) {
	t := s.cells[m.cell]
	if t == nil || t.claim.Epoch != m.epoch || t.releasing {
		return
	}
	var stale *work.StaleError
	switch {
	case errors.As(m.err, &stale):
		s.log.WithError(m.err).Warnf("cell %s has a newer owner", m.cell)
		s.Agent.Member.Lost(m.cell)
		s.syncOwnership(now)
	case m.err != nil:
		s.log.WithError(m.err).Debug("contact missed")
		t.cell.HeartbeatFailed(now, m.heartbeat)
	default:
		t.cell.Report(now, m.heartbeat, m.report)
	}
}

// ConfigChanged implements agent.Host.
func (s *Sched) ConfigChanged(time.Time) {
	for _, t := range s.cells {
		s.applyRules(t)
	}
}

// VMsChanged implements agent.Host.
func (s *Sched) VMsChanged(now time.Time, _ []core.VM) {
	for _, t := range s.cells {
		s.applyVMs(now, t)
	}
}

// BookRead implements agent.Host: it tells each cell what teams use elsewhere.
func (s *Sched) BookRead(time.Time) {
	fleet := int64(0)
	for _, vm := range s.Agent.VMs() {
		fleet += vm.Room.Cores
	}
	for _, t := range s.cells {
		for team := range s.Agent.Conf.Rules().Teams {
			name := cell.LimitName(team)
			t.cell.SetRemoteUse(team, t.ledger.Total(name)-t.ledger.Held(name), fleet)
		}
	}
}

func (s *Sched) applyRules(t *ownedCell) {
	set := s.Agent.Conf.Rules()
	t.cell.SetRules(set)
	rows := core.NewSet[string]()
	for name, team := range set.Teams {
		rows.Add(cell.LimitName(name))
		t.ledger.Declare(cell.LimitName(name), team.Cores, team.Cores/slackDivisor)
	}
	t.ledger.ZeroTotals(rows.Has)
}

func (s *Sched) applyVMs(now time.Time, t *ownedCell) {
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

func (s *Sched) finishDrain() {
	if !s.draining || s.sessionEnding || len(s.cells) > 0 {
		return
	}
	s.sessionEnding = true
	s.Agent.DeleteSession(s.drained)
}
