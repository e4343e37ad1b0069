// Package sched implements the sched process, which owns cells: it stores their
// jobs, places their tasks and renews the leases of their workers.
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
	// tickInterval is how often a cell checks leases and other deadlines.
	tickInterval = 100 * time.Millisecond
	// minPlanInterval is the shortest time between two placement passes of a cell.
	minPlanInterval = 5 * time.Millisecond
	// rowsPerSnapshot is how many journal rows a cell writes between two snapshots.
	rowsPerSnapshot = 500
	// slackDivisor divides a team's limit to get the unused part of it that a cell
	// keeps while no other cell needs it.
	slackDivisor = 16
	// loadTimeout is how long loading a cell may take before it is started again.
	loadTimeout = 10 * time.Second
	// retryDelay is the wait before a cell is loaded again, and before a journal
	// write or the release of a cell is retried.
	retryDelay = 250 * time.Millisecond
)

// Store is the platform's table and object store.
type Store interface {
	agent.Store
	DeleteObject(ctx context.Context, name string) error
}

// Workers sends heartbeats to worker VMs.
type Workers interface {
	Heartbeat(ctx context.Context, h cell.Heartbeat) (cell.Report, error)
}

// Meter records the metrics of a sched.
type Meter interface {
	TaskWait(queue core.Queue, team core.Team, wait time.Duration)
	Placement(took time.Duration)
	Counts(cell core.CellID, c cell.Counts)
}

// ownedCell is the state of a cell that this process owns or is releasing.
type ownedCell struct {
	claim  member.Claim
	cell   *cell.Cell
	ledger *ledger.Ledger
	// nextRow is the number of the next journal row.
	nextRow uint64
	// writing is set while a write of the journal or a snapshot is in flight.
	writing bool
	// outcomeUnknown is set after a journal write without a reply. The same batch
	// is then written again, and a conflict with its own row counts as success.
	outcomeUnknown    bool
	retryAt           time.Time
	rowsSinceSnapshot int
	// journalKeys are the keys of the journal rows that the next snapshot deletes.
	journalKeys []string
	// snapshot is the object name of the stored snapshot; it is empty if there is
	// none.
	snapshot string
	// submitters are the callers that wait until their job is stored.
	submitters map[core.JobID][]chan<- submitReply
	lastPlan   time.Time
	releasing  bool
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
	// nextLoad is the earliest time at which each cell is loaded again.
	nextLoad map[core.CellID]time.Time
	nextTick time.Time
	// drained is closed once the session has been deleted or its deletion has failed.
	drained  chan struct{}
	draining bool
	// sessionEnding is set once the deletion of the session has started.
	sessionEnding bool
}

// Option configures a sched in New.
type Option func(*Sched)

// WithWorkerTTL sets the length of a worker's lease.
func WithWorkerTTL(ttl time.Duration) Option { return func(s *Sched) { s.workerTTL = ttl } }

// WithPolicy sets the placement policy.
func WithPolicy(p cell.Policy) Option { return func(s *Sched) { s.policy = p } }

// New returns a sched that owns no cells yet.
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

// Drained returns a channel that is closed once the drain is complete.
func (s *Sched) Drained() <-chan struct{} { return s.drained }

// These messages carry the results of I/O to the control goroutine.
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
	// drainRequest starts the drain.
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

// Drain starts the drain, in which the sched releases its cells and then deletes its
// session.
func (s *Sched) Drain() { _ = s.loop.Post(drainRequest{}) }

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
		s.log.Info("draining: releasing all cells")
		s.draining = true
		s.Agent.Member.Drain()
	}
}

// Tick implements loop.Handler.
func (s *Sched) Tick(now time.Time) time.Time {
	next := s.Agent.Tick(now)
	s.syncOwnership(now)
	tickDue := !now.Before(s.nextTick)
	if tickDue {
		s.nextTick = now.Add(tickInterval)
	}
	sessionValid := s.Agent.Member.SessionValid(now)
	for _, oc := range s.cells {
		if sessionValid {
			next = core.Earlier(next, s.advance(now, oc, tickDue))
		}
	}
	s.finishDrain()
	return core.Earlier(next, s.nextTick)
}

// syncOwnership loads newly claimed cells, marks the cells that this process
// releases and closes those that it no longer owns.
func (s *Sched) syncOwnership(now time.Time) {
	owned, loading, releasing := s.Agent.Member.Owned()
	kept := core.NewSet[core.CellID]()
	for _, c := range owned {
		kept.Add(c.Cell)
	}
	for _, c := range releasing {
		kept.Add(c.Cell)
		if oc := s.cells[c.Cell]; oc != nil {
			oc.releasing = true
		}
	}
	for _, c := range loading {
		kept.Add(c.Cell)
		if now.After(s.nextLoad[c.Cell]) {
			s.loadCell(c)
		}
	}
	for id, oc := range s.cells {
		if !kept.Has(id) {
			s.closeCell(id, oc)
		}
	}
}

// closeCell drops the state of a cell that this process no longer owns. Its
// submitters learn that the outcome is unknown.
func (s *Sched) closeCell(id core.CellID, oc *ownedCell) {
	s.log.Infof("cell %s is no longer owned by this process", id)
	delete(s.cells, id)
	s.Agent.RemoveLedger(oc.ledger)
	for _, list := range oc.submitters {
		for _, c := range list {
			c <- submitReply{err: core.RefuseUnknown(core.CodeNoOwner, nil, "cell %s changed owners before the store confirmed the job", id)}
		}
	}
}

// advance makes the decisions of one cell that are due, sends and stores their
// results, and returns when to call it again.
func (s *Sched) advance(now time.Time, oc *ownedCell, tickDue bool) time.Time {
	if oc.releasing {
		s.releaseCell(now, oc)
		return now.Add(tickInterval)
	}
	if tickDue {
		oc.cell.Tick(now)
		s.meter.Counts(oc.claim.Cell, oc.cell.Counts())
	}
	next := time.Time{}
	if now.Sub(oc.lastPlan) >= minPlanInterval {
		began := time.Now()
		if oc.cell.Plan(now) {
			next = now.Add(minPlanInterval)
		}
		s.meter.Placement(time.Since(began))
		oc.lastPlan = now
	} else {
		next = oc.lastPlan.Add(minPlanInterval)
	}
	for _, h := range oc.cell.Heartbeats(now) {
		s.sendHeartbeat(oc, h)
	}
	s.writeJournal(now, oc)
	s.reportMetrics(oc)
	return next
}

// reportMetrics logs refused events of a cell and records the wait times of its
// started tasks.
func (s *Sched) reportMetrics(oc *ownedCell) {
	s.Agent.LogRefusals(oc.cell.RefusedEvents())
	for _, w := range oc.cell.TaskWaits() {
		s.meter.TaskWait(w.Queue, w.Team, w.Time)
	}
}

// sendHeartbeat sends a heartbeat to a worker on another goroutine.
func (s *Sched) sendHeartbeat(oc *ownedCell, h cell.Heartbeat) {
	id, epoch := oc.claim.Cell, oc.claim.Epoch
	s.loop.Go(func(ctx context.Context) loop.Message {
		r, err := s.workers.Heartbeat(ctx, h)
		return heartbeatResult{id, epoch, h, r, err}
	})
}

// handleHeartbeat handles the result of a heartbeat. A worker that has accepted a
// newer epoch proves that this process has lost the cell.
func (s *Sched) handleHeartbeat(now time.Time, m heartbeatResult) {
	oc := s.cells[m.cell]
	if oc == nil || oc.claim.Epoch != m.epoch || oc.releasing {
		return
	}
	var stale *work.StaleEpochError
	switch {
	case errors.As(m.err, &stale):
		s.log.WithError(m.err).Warnf("cell %s is owned by a newer epoch", m.cell)
		s.Agent.Member.CellLost(m.cell)
		s.syncOwnership(now)
	case m.err != nil:
		s.log.WithError(m.err).Debug("heartbeat failed")
		oc.cell.HeartbeatFailed(now, m.heartbeat)
	default:
		oc.cell.Report(now, m.heartbeat, m.report)
	}
}

// ConfigChanged implements agent.Callbacks.
func (s *Sched) ConfigChanged(time.Time) {
	for _, oc := range s.cells {
		s.applyRules(oc)
	}
}

// VMsChanged implements agent.Callbacks.
func (s *Sched) VMsChanged(now time.Time, _ []core.VM) {
	for _, oc := range s.cells {
		s.applyVMs(now, oc)
	}
}

// LedgerRead implements agent.Callbacks. It gives each cell the parts of the teams'
// limits that other cells hold, and the cores of all VMs.
func (s *Sched) LedgerRead(time.Time) {
	fleetCores := int64(0)
	for _, vm := range s.Agent.VMs() {
		fleetCores += vm.Capacity.Cores
	}
	for _, oc := range s.cells {
		for team := range s.Agent.Config.Rules().Teams {
			name := cell.LimitName(team)
			oc.cell.SetRemoteUse(team, oc.ledger.Allocated(name)-oc.ledger.Held(name), fleetCores)
		}
	}
}

// applyRules gives a cell the rules in force and declares the teams' limits in its
// ledger.
func (s *Sched) applyRules(oc *ownedCell) {
	set := s.Agent.Config.Rules()
	oc.cell.SetRules(set)
	limits := core.NewSet[string]()
	for name, team := range set.Teams {
		limits.Add(cell.LimitName(name))
		oc.ledger.Declare(cell.LimitName(name), team.Cores, team.Cores/slackDivisor)
	}
	oc.ledger.ZeroTotals(limits.Has)
}

// applyVMs gives a cell its workers from the list of VMs.
func (s *Sched) applyVMs(now time.Time, oc *ownedCell) {
	if !s.Agent.VMsRead() {
		return
	}
	oc.cell.SetWorkers(now, workersOf(s.Agent.VMs(), oc.claim.Cell, s.Agent.Member.CellCount()))
}

// workersOf returns the worker VMs that belong to a cell.
func workersOf(vms []core.VM, id core.CellID, cells int) []core.VM {
	var out []core.VM
	for _, vm := range vms {
		if vm.Kind == "worker" && vm.Region == id.Region && cell.IndexOf(core.WorkerID(vm.Name), cells) == id.Index {
			out = append(out, vm)
		}
	}
	return out
}

// finishDrain deletes the session of a draining process that has released its
// last cell.
func (s *Sched) finishDrain() {
	if !s.draining || s.sessionEnding || len(s.cells) > 0 {
		return
	}
	s.sessionEnding = true
	s.Agent.DeleteSession(s.drained)
}
