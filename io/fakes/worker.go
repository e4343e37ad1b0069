package fakes

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"chicoryturn/core"
	"chicoryturn/io/loop"
	"chicoryturn/io/work"
)

// WorkerFaults are the faults that a test can inject into a worker.
type WorkerFaults struct {
	// FailAll makes every task fail 1 ms after it starts.
	FailAll bool `json:"failall"`
	// Frozen leaves every heartbeat without an answer.
	Frozen bool `json:"frozen"`
	// Room, if set, is reported in place of the worker's true room.
	Room *work.Room `json:"room,omitempty"`
}

// TaskRecord is a worker's record of one start or end of a task.
type TaskRecord struct {
	Worker string    `json:"worker"`
	Task   string    `json:"task"`
	Team   string    `json:"team"`
	Need   work.Room `json:"need"`
	// Event is "start", or the state in which the run ended.
	Event string    `json:"event"`
	At    time.Time `json:"at"`
}

// WorkerRecord is the log of a worker. Overfull counts the starts after which the
// running tasks needed more than Room.
type WorkerRecord struct {
	Room     work.Room    `json:"room"`
	Overfull int          `json:"overfull"`
	Records  []TaskRecord `json:"records"`
}

// run is one start of a task.
type run struct {
	start     work.Start
	state     string
	startedAt time.Time
	elapsed   time.Duration
	// endsAt is when the run ends, in endState, unless it is stopped before.
	endsAt   time.Time
	endState string
	// changeSeq is the sequence number of the run's newest change.
	changeSeq uint64
	// usageFactor is the reported use as a multiple of the declared need. A run with
	// the factor 0 reports no use.
	usageFactor float64
	// usageReported is set once the run has lasted for usageDelay.
	usageReported bool
}

// usageDelay is the time from the start of a run until its use is reported.
const usageDelay = 500 * time.Millisecond

// longPoll is a heartbeat that the worker answers after the next change or at
// the deadline.
type longPoll struct {
	heartbeat work.Heartbeat
	deadline  time.Time
	reply     chan<- reply
}

// Worker fakes a VM that runs tasks under a lease. A task only occupies room for
// the duration in its command: "sleep 2s" ends as done, "fail 2s" as failed. A suffix
// such as " use=1.5" sets the reported use as a multiple of the declared need.
type Worker struct {
	loop      *loop.Loop
	name      string
	room      work.Room
	faults    WorkerFaults
	epoch     uint64
	lastOrder uint64
	lastSeq   uint64
	// startedAt identifies the worker's incarnation.
	startedAt time.Time
	// leaseEnd is the time of the newest stamp that a heartbeat returned, plus the
	// lease duration. Each report carries a stamp with the time of the report.
	leaseEnd  time.Time
	runs      map[string]*run
	longPolls []longPoll
	records   []TaskRecord
	overfull  int
}

// NewWorker returns a worker without tasks. It answers heartbeats once Run is
// called.
func NewWorker(ctx context.Context, name string, room work.Room) *Worker {
	return &Worker{loop: loop.New(ctx), name: name, room: room, startedAt: time.Now(), runs: map[string]*run{}}
}

// Run handles heartbeats and timers until the context that NewWorker received
// ends.
func (w *Worker) Run() error { return w.loop.Run(w) }

// heartbeatMsg carries a heartbeat to the control goroutine.
type heartbeatMsg struct {
	heartbeat work.Heartbeat
	// needsFull is set by handleHeartbeat if the report must contain all runs.
	needsFull bool
	reply     chan<- reply
}

// adminMsg asks the control goroutine to call do.
type adminMsg struct {
	do    func(w *Worker) reply
	reply chan<- reply
}

// Message implements loop.Message.
func (heartbeatMsg) Message() {}

// Message implements loop.Message.
func (adminMsg) Message() {}

// Handler returns the worker's HTTP interface.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /contact", func(rw http.ResponseWriter, r *http.Request) {
		var hb work.Heartbeat
		if err := json.NewDecoder(r.Body).Decode(&hb); err != nil {
			http.Error(rw, "malformed heartbeat", http.StatusBadRequest)
			return
		}
		w.answer(rw, r, func(c chan<- reply) loop.Message { return heartbeatMsg{heartbeat: hb, reply: c} })
	})
	mux.HandleFunc("GET /stand/record", func(rw http.ResponseWriter, r *http.Request) {
		w.runAdmin(rw, r, recordReply)
	})
	mux.HandleFunc("PUT /stand/habits", func(rw http.ResponseWriter, r *http.Request) {
		var f WorkerFaults
		body, _ := io.ReadAll(r.Body)
		if json.Unmarshal(body, &f) != nil {
			http.Error(rw, "malformed worker faults", http.StatusBadRequest)
			return
		}
		w.runAdmin(rw, r, func(w *Worker) reply { w.faults = f; return reply{} })
	})
	return mux
}

// Record returns a copy of the worker's log.
func (w *Worker) Record() WorkerRecord {
	a, _ := loop.Ask(context.Background(), w.loop, func(c chan<- reply) loop.Message { return adminMsg{recordReply, c} })
	r, _ := a.value.(WorkerRecord)
	return r
}

func recordReply(w *Worker) reply {
	return reply{value: WorkerRecord{w.room, w.overfull, append([]TaskRecord{}, w.records...)}}
}

// runAdmin calls do on the control goroutine and writes its reply.
func (w *Worker) runAdmin(rw http.ResponseWriter, r *http.Request, do func(w *Worker) reply) {
	w.answer(rw, r, func(c chan<- reply) loop.Message { return adminMsg{do, c} })
}

// answer sends the message that build returns to the control goroutine and writes
// the reply.
func (w *Worker) answer(rw http.ResponseWriter, r *http.Request, build func(c chan<- reply) loop.Message) {
	a, err := loop.Ask(r.Context(), w.loop, build)
	if err != nil {
		return
	}
	rw.WriteHeader(max(a.status, http.StatusOK))
	_ = json.NewEncoder(rw).Encode(a.value)
}

// Handle implements loop.Handler.
func (w *Worker) Handle(now time.Time, m loop.Message) {
	switch m := m.(type) {
	case adminMsg:
		m.reply <- m.do(w)
	case heartbeatMsg:
		if !w.faults.Frozen {
			w.handleHeartbeat(now, m)
		}
	}
}

// handleHeartbeat renews the lease and applies the orders of a heartbeat. It
// answers at once if there are changes, the report must contain all runs or the
// caller does not wait; otherwise it adds a long poll. It refuses a heartbeat of an
// old epoch with status 409.
func (w *Worker) handleHeartbeat(now time.Time, m heartbeatMsg) {
	hb := m.heartbeat
	w.updateRuns(now)
	if hb.Epoch < w.epoch {
		m.reply <- reply{status: http.StatusConflict}
		return
	}
	if hb.Epoch > w.epoch {
		w.epoch, w.lastOrder = hb.Epoch, 0
		m.needsFull = true
		w.answerLongPolls()
	}
	m.needsFull = m.needsFull || hb.Incarnation != w.incarnation() || hb.Stamp == ""
	mayStart := w.renew(now, hb)
	if hb.Order > w.lastOrder {
		w.lastOrder = hb.Order
		w.applyOrders(now, hb, mayStart)
	}
	wait, _ := time.ParseDuration(hb.Wait)
	if w.lastSeq > hb.After || wait <= 0 || m.needsFull {
		m.reply <- reply{value: w.report(now, hb.After, m.needsFull)}
		return
	}
	w.longPolls = append(w.longPolls, longPoll{hb, now.Add(wait), m.reply})
}

// renew extends the lease to the heartbeat's stamp plus TTL and reports whether that
// time is in the future, in which case new tasks may start. It ignores a stamp of
// another incarnation.
func (w *Worker) renew(now time.Time, hb work.Heartbeat) bool {
	var incarnation, age int64
	if n, err := fmt.Sscanf(hb.Stamp, "%d/%d", &incarnation, &age); err != nil || n != 2 || incarnation != w.startedAt.UnixNano() {
		return false
	}
	ttl, err := time.ParseDuration(hb.TTL)
	if err != nil {
		return false
	}
	until := w.startedAt.Add(time.Duration(age)).Add(ttl)
	if until.After(w.leaseEnd) {
		w.leaseEnd = until
	}
	return until.After(now)
}

// applyOrders carries out the acknowledgements and stops of a heartbeat, and its
// starts if mayStart is set.
func (w *Worker) applyOrders(now time.Time, hb work.Heartbeat, mayStart bool) {
	for _, a := range hb.Acks {
		if r := w.runs[a.Task]; r != nil && r.state != "running" && r.start.Run == a.Run {
			delete(w.runs, a.Task)
		}
	}
	for _, s := range hb.Stops {
		if r := w.runs[s.Task]; r != nil && r.state == "running" {
			if s.Kind == "slow" {
				w.throttle(r)
				continue
			}
			state := "stopped"
			if s.Kind == "saved" {
				state = "saved"
			}
			w.endRun(now, r, state)
		}
	}
	for _, s := range hb.Starts {
		if r := w.runs[s.Task]; mayStart && (r == nil || r.state != "running" && r.start.Run != s.Run) {
			w.startRun(now, s)
		}
	}
}

func (w *Worker) startRun(now time.Time, s work.Start) {
	r := &run{start: s, state: "running", startedAt: now, endState: "done"}
	duration := time.Duration(0)
	verb, arg, _ := strings.Cut(s.Command, " ")
	arg, factor, _ := strings.Cut(arg, " use=")
	r.usageFactor, _ = strconv.ParseFloat(factor, 64)
	if d, err := time.ParseDuration(arg); err == nil {
		duration = d
	}
	if checkpoint, err := time.ParseDuration(s.Checkpoint); err == nil {
		duration = max(duration-checkpoint, 0)
	}
	switch {
	case w.faults.FailAll:
		r.endState, duration = "failed", time.Millisecond
	case verb == "fail":
		r.endState = "failed"
	}
	r.endsAt = now.Add(duration)
	w.runs[s.Task] = r
	w.record(now, r, "start")
	if !w.reserved().FitsIn(w.room.Core()) {
		w.overfull++
		fmt.Printf("worker %s: OVERFULL: running tasks need %+v of %+v\n", w.name, w.reserved(), w.room)
	}
	w.markChanged(r)
}

// throttle limits a task to its declared need: its reported use of cores and memory
// becomes 0.
func (w *Worker) throttle(r *run) {
	if r.usageFactor > 0 {
		r.usageFactor = 0
		w.markChanged(r)
	}
}

// reserved returns the sum of the declared needs of all running tasks.
func (w *Worker) reserved() core.Resources {
	sum := core.Resources{}
	for _, r := range w.runs {
		if r.state == "running" {
			sum = sum.Add(r.start.Need.Core())
		}
	}
	return sum
}

func (w *Worker) endRun(now time.Time, r *run, state string) {
	r.state, r.elapsed = state, now.Sub(r.startedAt)
	w.record(now, r, state)
	w.markChanged(r)
}

func (w *Worker) record(now time.Time, r *run, event string) {
	w.records = append(w.records, TaskRecord{w.name, r.start.Task, r.start.Team, r.start.Need, event, now})
}

// markChanged gives a run the next sequence number. The next call of Tick then
// answers the long polls.
func (w *Worker) markChanged(r *run) {
	w.lastSeq++
	r.changeSeq = w.lastSeq
}

// updateRuns ends the runs that have lasted for their full duration within the
// lease. Once the lease has expired, it stops all other runs.
func (w *Worker) updateRuns(now time.Time) {
	for _, id := range w.sortedTaskIDs() {
		r := w.runs[id]
		if r.state == "running" && !now.Before(r.endsAt) && r.endsAt.Before(w.leaseEnd) {
			w.endRun(r.endsAt, r, r.endState)
		}
	}
	if now.Before(w.leaseEnd) {
		return
	}
	for _, id := range w.sortedTaskIDs() {
		if r := w.runs[id]; r.state == "running" {
			w.endRun(now, r, "stopped")
		}
	}
}

func (w *Worker) sortedTaskIDs() []string {
	out := make([]string, 0, len(w.runs))
	for id := range w.runs {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}

func (w *Worker) incarnation() string { return strconv.FormatInt(w.startedAt.UnixNano(), 10) }

// report returns every run, or those that have changed since a sequence number.
func (w *Worker) report(now time.Time, after uint64, full bool) work.Report {
	out := work.Report{
		Incarnation: w.incarnation(), Full: full, Stamp: fmt.Sprintf("%d/%d", w.startedAt.UnixNano(), now.Sub(w.startedAt)), Seq: w.lastSeq, Room: w.room,
	}
	if w.faults.Room != nil {
		out.Room = *w.faults.Room
	}
	for _, id := range w.sortedTaskIDs() {
		r := w.runs[id]
		if !full && r.changeSeq <= after {
			continue
		}
		used := work.Room{}
		if r.usageReported {
			used = work.Room{
				Cores: int64(r.usageFactor * float64(r.start.Need.Cores)), Memory: int64(r.usageFactor * float64(r.start.Need.Memory)), Accel: r.start.Need.Accel,
			}
		}
		elapsed := r.elapsed
		if r.state == "running" {
			elapsed = now.Sub(r.startedAt)
		}
		out.Tasks = append(out.Tasks, work.Task{Task: id, Run: r.start.Run, State: r.state, Team: r.start.Team, Need: r.start.Need, Used: used, Elapsed: elapsed.String()})
	}
	return out
}

// answerLongPolls answers all long polls, those of an old epoch with status 409.
func (w *Worker) answerLongPolls() {
	for _, p := range w.longPolls {
		if p.heartbeat.Epoch < w.epoch {
			p.reply <- reply{status: http.StatusConflict}
		} else {
			p.reply <- reply{value: w.report(time.Now(), p.heartbeat.After, false)}
		}
	}
	w.longPolls = nil
}

// Tick implements loop.Handler.
func (w *Worker) Tick(now time.Time) time.Time {
	w.updateRuns(now)
	next := now.Add(idleInterval)
	for _, r := range w.runs {
		if r.state != "running" || r.usageReported || r.usageFactor == 0 {
			continue
		}
		if at := r.startedAt.Add(usageDelay); now.Before(at) {
			next = core.Earlier(next, at)
		} else {
			r.usageReported = true
			w.markChanged(r)
		}
	}
	if w.faults.Frozen {
		return next
	}
	pending := w.longPolls[:0]
	for _, p := range w.longPolls {
		if w.lastSeq > p.heartbeat.After || !now.Before(p.deadline) {
			p.reply <- reply{value: w.report(now, p.heartbeat.After, false)}
			continue
		}
		next = core.Earlier(next, p.deadline)
		pending = append(pending, p)
	}
	w.longPolls = pending
	for _, r := range w.runs {
		if r.state == "running" {
			next = core.Earlier(next, r.endsAt)
		}
	}
	if now.Before(w.leaseEnd) {
		next = core.Earlier(next, w.leaseEnd)
	}
	return next
}
