package fleet_test

import (
	"slices"
	"testing"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/model"
)

const (
	// failingImage names the program of tasks that fail in each run.
	failingImage = "fails"
	// flakyImage names that of tasks whose first run fails.
	flakyImage = "flaky"
	// storeTimeout and orderTimeout are how long an owner waits for an answer of the store
	// or of a worker, beyond the time that the worker may delay it.
	storeTimeout = time.Second
	orderTimeout = 700 * time.Millisecond
	// storeRetry is the time before a call to the store is made again.
	storeRetry = 150 * time.Millisecond
	// stampPause is how long after an outage of the store other processes do not go by
	// the time that the ownership record holds.
	stampPause = 3 * time.Second
)

// link is how calls pass from an owner to a worker or to the store.
type link uint8

const (
	linkOpen link = iota
	// linkMute carries calls, but no answers.
	linkMute
	// linkCut carries nothing; some calls come out of it seconds later.
	linkCut
	// linkRefusing is a store that refuses the calls of one process.
	linkRefusing
	// linkReadOnly is a store that one process can only read; its writes are lost.
	linkReadOnly
)

// pair names the link of an owner to a worker, or to the store if that is nil.
type pair struct {
	owner  *simOwner
	worker *model.Worker
}

// disturbance is what a link is until a time.
type disturbance struct {
	link  link
	until time.Time
}

// ownership is the ownership record in the store.
type ownership struct {
	version uint64
	epoch   core.Epoch
	// stamp is when the write of this version was sent.
	stamp time.Time
}

// claim is a write by which another process becomes the owner.
type claim struct {
	version uint64
	// seenAt is when that process first saw the version.
	seenAt, sentAt, arrivesAt time.Time
}

// storeWrite is a write of an owner.
type storeWrite struct {
	owner             *simOwner
	version           uint64
	sentAt, arrivesAt time.Time
	// answersAt is when the answer reaches the owner, if the link carries it; zero until
	// the store has handled the write.
	answersAt     time.Time
	held          bool
	progress      []jobs.Progress
	roster        []fleet.RosterEntry
	rosterVersion uint64
	// stored is set if the write has taken effect, refused if the store has refused it.
	// If neither is set, its condition did not hold.
	stored, refused bool
}

// storeCalls are the calls of one owner to the store.
type storeCalls struct {
	// version is that of the ownership record as last written or read.
	version uint64
	// nextCall is the earliest time of the next call, lastWrite when the last write was
	// known to be stored.
	nextCall, lastWrite time.Time
	// write is the one that waits for its answer, nil if none does.
	write *storeWrite
	// readSentAt is when the read that waits for its answer was sent; zero if none does.
	readSentAt, readAnswersAt time.Time
	// mustRead is set while the record must be read before the next write.
	mustRead bool
	// rosterVersion is that of the stored roster.
	rosterVersion uint64
}

// splitNetwork simulates a network in which each owner's link to each worker and to the
// store can be disturbed by itself. The owners write to the store as real ones do, and
// another process claims a record that is not renewed.
type splitNetwork struct {
	*harness
	links    map[pair]disturbance
	inFlight map[*simOwner][]*call
	calls    map[*simOwner]*storeCalls
	writes   []*storeWrite
	record   ownership
	claim    *claim
	// loadsAt is when the process that has claimed the record has read the stored state;
	// zero if none is reading it.
	loadsAt time.Time
	// seenVersion is the version of the record that other processes know, seenAt when they
	// first see it, claimWait how long they wait then.
	seenVersion uint64
	seenAt      time.Time
	claimWait   time.Duration
	// The store is down for all until storeDownUntil.
	storeDownUntil time.Time
	registry       *model.Registry
	// nextReport is when a worker reports to the platform next.
	nextReport map[*model.Worker]time.Time
	// heldRate is the share of the calls into a link that is cut which arrive seconds later.
	heldRate float64
	// disturbNew disturbs the links of a new owner.
	disturbNew func(o *simOwner)
	// doneEnds holds the first end of each task that is done, by its acknowledged runs
	// whose worker held its lease until the acknowledgement; spentEnds the end of the last
	// attempt of each task that has failed as often as it may. Both are computed at
	// endsAt.
	doneEnds, spentEnds map[jobs.TaskID]time.Time
	endsAt              time.Time
}

func newSplitNetwork(t *testing.T, seed uint64, workers int) *splitNetwork {
	n := &splitNetwork{
		harness: newHarness(t, seed, workers, core.Resources{}), links: map[pair]disturbance{}, inFlight: map[*simOwner][]*call{},
		calls: map[*simOwner]*storeCalls{}, registry: model.NewRegistry(), nextReport: map[*model.Worker]time.Time{},
		claimWait: elect.TTL, disturbNew: func(*simOwner) {},
	}
	n.network, n.list, n.checkEnded = n, n.registryList, n.checkAcked
	n.owners = nil
	n.report()
	n.record = ownership{version: 1, epoch: 1, stamp: n.now}
	n.load(n.now, n.now)
	return n
}

func (n *splitNetwork) span(limit time.Duration) time.Duration {
	return time.Duration(n.rng.Int64N(int64(limit)))
}

// disturb disturbs the link of an owner to a worker, or to the store if that is nil.
func (n *splitNetwork) disturb(o *simOwner, w *model.Worker, l link, until time.Time) {
	n.links[pair{o, w}] = disturbance{l, until}
}

func (n *splitNetwork) toWorker(o *simOwner, w *model.Worker) link {
	if d := n.links[pair{o, w}]; n.now.Before(d.until) {
		return d.link
	}
	return linkOpen
}

func (n *splitNetwork) storeDown() bool { return n.now.Before(n.storeDownUntil) }

func (n *splitNetwork) toStore(o *simOwner) link {
	if n.storeDown() {
		return linkCut
	}
	return n.toWorker(o, nil)
}

// reachesStore implements network.
func (n *splitNetwork) reachesStore(o *simOwner) bool {
	l := n.toStore(o)
	return l == linkOpen || l == linkReadOnly
}

// hears implements network. A VM on an owner's side of a cut may know a job that is stored.
func (n *splitNetwork) hears(o *simOwner) bool {
	if n.toStore(o) == linkOpen {
		return n.rng.IntN(3) > 0
	}
	return n.rng.IntN(30) == 0
}

func (n *splitNetwork) registryList() (fleet.WorkerList, bool) {
	uptime := time.Hour + n.now.Sub(startTime)
	return fleet.WorkerList{Workers: n.registry.List(n.now), RequestedAt: uptime, ReceivedAt: uptime}, true
}

// report lets the workers report to the platform.
func (n *splitNetwork) report() {
	for _, w := range n.workers {
		if w.Up && !n.storeDown() && !n.now.Before(n.nextReport[w]) {
			n.registry.Report(n.now, w.Info)
			n.nextReport[w] = n.now.Add(model.ReportInterval)
		}
	}
}

// step advances the store, the reports and the simulation by one tick.
func (n *splitNetwork) step() {
	n.report()
	n.storeWrites()
	n.watchRecord()
	n.tick()
}

// watchRecord lets another process claim a record that is not renewed, and own the fleet
// once it has read the stored state.
func (n *splitNetwork) watchRecord() {
	switch {
	case n.storeDown():
		n.seenVersion = 0
	case !n.loadsAt.IsZero():
		if !n.now.Before(n.loadsAt) {
			n.load(n.claim.seenAt, n.claim.sentAt)
			n.claim, n.loadsAt = nil, time.Time{}
		}
	case n.claim != nil:
		if n.now.Before(n.claim.arrivesAt) {
			return
		}
		if n.claim.version != n.record.version {
			n.claim = nil
			return
		}
		n.record = ownership{n.record.version + 1, n.record.epoch + 1, n.claim.sentAt}
		n.loadsAt = n.now.Add(50*time.Millisecond + n.span(500*time.Millisecond))
	case n.seenVersion != n.record.version:
		n.seenVersion, n.seenAt = n.record.version, n.now.Add(n.span(elect.ReadInterval))
	case !n.now.Before(n.seenAt):
		age := n.now.Sub(n.seenAt)
		if n.now.Sub(n.storeDownUntil) > stampPause {
			age = max(age, n.now.Sub(n.record.stamp))
		}
		if age >= n.wait() {
			n.claim = &claim{n.seenVersion, n.seenAt, n.now, n.now.Add(10*time.Millisecond + n.span(200*time.Millisecond))}
		}
	}
}

// wait returns how long the record must be unchanged for a claim.
func (n *splitNetwork) wait() time.Duration {
	if o := n.currentOwner(); o.stopped || n.toStore(o) == linkOpen {
		return elect.TTL
	}
	return n.claimWait
}

// load creates the owner that the record names, which has first seen the record of its
// predecessor at seenAt and sent its claim at claimedAt.
func (n *splitNetwork) load(seenAt, claimedAt time.Time) {
	n.startOwner(seenAt, claimedAt)
	o := n.currentOwner()
	o.scheduler.JobsRead(n.nowOf(o))
	n.calls[o] = &storeCalls{version: n.record.version, lastWrite: n.now}
	n.disturbNew(o)
}

// storeWrites lets the store handle the writes that have arrived.
func (n *splitNetwork) storeWrites() {
	n.writes = slices.DeleteFunc(n.writes, func(w *storeWrite) bool {
		if n.now.Before(w.arrivesAt) {
			return false
		}
		if !w.held {
			switch n.toStore(w.owner) {
			case linkCut, linkReadOnly:
				w.held = n.rng.Float64() < n.heldRate
				w.arrivesAt = n.now.Add(time.Second + n.span(8*time.Second))
				return !w.held
			case linkRefusing:
				w.refused = true
			}
		}
		if !w.refused && w.version == n.record.version {
			w.stored = true
			n.record.version++
			n.record.stamp = w.sentAt
			n.storeProgress(w.progress)
			if w.roster != nil {
				n.storedRoster = w.roster
			}
		}
		w.answersAt = n.now.Add(5*time.Millisecond + n.span(200*time.Millisecond))
		return true
	})
}

// writeBatch implements network.
func (n *splitNetwork) writeBatch(o *simOwner) {
	switch c := n.calls[o]; {
	case c.write != nil:
		n.answerWrite(o, c)
	case !c.readSentAt.IsZero():
		n.answerRead(o, c)
	case n.now.Before(c.nextCall):
	case c.mustRead:
		c.readSentAt, c.readAnswersAt = n.now, n.now.Add(10*time.Millisecond+n.span(200*time.Millisecond))
	default:
		n.sendWrite(o, c)
	}
}

func (n *splitNetwork) sendWrite(o *simOwner, c *storeCalls) {
	w := &storeWrite{owner: o, version: c.version, sentAt: n.now, progress: o.scheduler.Batch()}
	if o.scheduler.RosterVersion() != c.rosterVersion {
		w.roster, w.rosterVersion = o.scheduler.Roster()
	}
	if !o.scheduler.WantsConfirmation() && len(w.progress) == 0 && w.roster == nil && n.now.Sub(c.lastWrite) < elect.RenewInterval {
		return
	}
	w.arrivesAt = n.now.Add(5*time.Millisecond + n.span(200*time.Millisecond))
	c.write, n.writes = w, append(n.writes, w)
}

// answerWrite handles the answer to a write of an owner, or that there is none.
func (n *splitNetwork) answerWrite(o *simOwner, c *storeCalls) {
	w := c.write
	l := n.toStore(o)
	answered := !w.answersAt.IsZero() && !n.now.Before(w.answersAt) && (l == linkOpen || l == linkRefusing)
	if !answered && n.now.Sub(w.sentAt) <= storeTimeout {
		return
	}
	c.write = nil
	if answered && w.stored {
		c.version, c.lastWrite = w.version+1, n.now
		o.scheduler.Renewed(w.sentAt.Add(o.skew))
		o.scheduler.BatchStored(n.nowOf(o))
		if w.roster != nil {
			c.rosterVersion = w.rosterVersion
			o.scheduler.RosterStored(w.roster, w.rosterVersion)
		}
		return
	}
	o.scheduler.BatchFailed()
	c.nextCall = n.now.Add(storeRetry)
	if answered && w.refused {
		return
	}
	c.mustRead = true
	o.suspended = o.suspended || answered
}

// answerRead handles the answer to a read of the record, or that there is none.
func (n *splitNetwork) answerRead(o *simOwner, c *storeCalls) {
	if n.now.Before(c.readAnswersAt) {
		return
	}
	sentAt := c.readSentAt
	c.readSentAt, c.nextCall = time.Time{}, n.now.Add(storeRetry)
	if !n.reachesStore(o) {
		return
	}
	if n.record.epoch != o.scheduler.Epoch() {
		o.stopped = true
		return
	}
	c.version, c.mustRead, o.suspended = n.record.version, false, false
	o.scheduler.Confirmed(sentAt.Add(o.skew))
}

// callState is how far a call to a worker has come.
type callState uint8

const (
	callTravels callState = iota
	// callWaits is a heartbeat whose answer the worker delays.
	callWaits
	callAnswered
	callLost
)

// call is an order on its way to a worker, and its answer.
type call struct {
	sentOrder
	state callState
	// held is set once the call has arrived at a link that is cut.
	held bool
	// timedOut is set once the owner no longer waits for the answer.
	timedOut bool
	// until is when the worker answers at the latest, or when the answer arrives.
	until       time.Time
	incarnation time.Time
	lists       fleet.RunLists
	reply       fleet.Reply
}

// sendOrders implements network.
func (n *splitNetwork) sendOrders(o *simOwner) {
	n.harness.sendOrders(o)
	for _, sent := range o.inFlight {
		n.inFlight[o] = append(n.inFlight[o], &call{sentOrder: sent})
	}
	o.inFlight = nil
}

// deliverOrders implements network.
func (n *splitNetwork) deliverOrders(o *simOwner) {
	calls := n.inFlight[o]
	n.inFlight[o] = nil
	for _, c := range calls {
		if !c.timedOut && !o.stopped && n.now.Sub(c.sentAt) > orderTimeout+c.order.Wait {
			c.timedOut = true
			n.answer(o, c.sentOrder, fleet.RunLists{}, fleet.ReplyUnanswered)
		}
		if !n.advanceCall(o, c) {
			n.inFlight[o] = append(n.inFlight[o], c)
		}
	}
}

// advanceCall advances a call to a worker and reports whether it is over.
func (n *splitNetwork) advanceCall(o *simOwner, c *call) bool {
	w := n.workerAt(c.order)
	if c.state == callTravels && !n.now.Before(c.arrivesAt) {
		if !c.held && n.toWorker(o, w) == linkCut {
			c.held, c.unanswered = true, true
			c.arrivesAt = n.now.Add(time.Second + n.span(8*time.Second))
			if n.rng.Float64() >= n.heldRate {
				c.state = callLost
			}
			return false
		}
		c.lists, c.reply = n.carryOut(c.sentOrder)
		c.state, c.until, c.incarnation = callWaits, n.now, w.Info.Incarnation
		if c.order.Kind == fleet.OrderHeartbeat && c.reply == fleet.ReplyOK {
			c.until = n.now.Add(c.order.Wait)
		}
	}
	if c.state == callWaits {
		restarted := !w.Up || !w.Info.Incarnation.Equal(c.incarnation)
		if c.order.Kind == fleet.OrderHeartbeat && c.reply == fleet.ReplyOK && !restarted {
			c.lists = w.Lists()
		}
		if !restarted && len(c.lists.Ended) == 0 && n.now.Before(c.until) {
			return false
		}
		if restarted {
			c.reply = fleet.ReplyUnanswered
		}
		c.state, c.until = callAnswered, n.now.Add(n.answerDelay())
	}
	if c.state == callAnswered && !n.now.Before(c.until) {
		if c.unanswered || n.toWorker(o, w) != linkOpen {
			c.state = callLost
		} else {
			if !c.timedOut && !o.stopped {
				n.answer(o, c.sentOrder, c.lists, c.reply)
			}
			return true
		}
	}
	return c.state == callLost && (c.timedOut || o.stopped)
}

// answerDelay returns how long an answer takes; one in fifty is slow.
func (n *splitNetwork) answerDelay() time.Duration {
	if n.rng.IntN(50) == 0 {
		return n.span(600 * time.Millisecond)
	}
	return n.span(60 * time.Millisecond)
}
