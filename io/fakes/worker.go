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

// WorkerFaults are what a worker can be told to do wrong.
type WorkerFaults struct {
	// FailAll makes every task fail as soon as it starts.
	FailAll bool `json:"failall"`
	// Frozen makes the worker answer nothing.
	Frozen bool `json:"frozen"`
	// Room, if set, is reported in place of the true room.
	Room *work.Room `json:"room,omitempty"`
}

// TaskRecord is one start or end of a task, as the worker saw it.
type TaskRecord struct {
	Worker string    `json:"worker"`
	Task   string    `json:"task"`
	Team   string    `json:"team"`
	Need   work.Room `json:"need"`
	// Event is "start", or the state in which the task ended.
	Event string    `json:"event"`
	At    time.Time `json:"at"`
}

// WorkerRecord is all that a worker has seen.
type WorkerRecord struct {
	Room     work.Room    `json:"room"`
	Overfull int          `json:"overfull"`
	Records  []TaskRecord `json:"records"`
}

type run struct {
	start  work.Start
	state  string
	began  time.Time
	ran    time.Duration
	ends   time.Time
	ending string
	// seq is that of the newest change.
	seq uint64
	// use is by how much the task uses more than it declared; it is reported
	// once it has run for usageLag.
	use  float64
	seen bool
}

// usageLag is how long a worker takes to notice what a task uses.
const usageLag = 500 * time.Millisecond

type waiter struct {
	contact work.Heartbeat
	until   time.Time
	reply   chan<- reply
}

// Worker runs tasks under a lease; a task is a sleep.
type Worker struct {
	loop   *loop.Loop
	name   string
	room   work.Room
	habits WorkerFaults
	epoch  uint64
	order  uint64
	seq    uint64
	born   time.Time
	// lease ends a lease time after the newest stamp that came back was made.
	lease    time.Time
	tasks    map[string]*run
	waiters  []waiter
	records  []TaskRecord
	overfull int
}

// NewWorker returns a worker with nothing to do; Run runs it.
func NewWorker(ctx context.Context, name string, room work.Room) *Worker {
	return &Worker{loop: loop.New(ctx), name: name, room: room, born: time.Now(), tasks: map[string]*run{}}
}

// Run owns the worker's state until the context ends.
func (w *Worker) Run() error { return w.loop.Run(w) }

type contactMsg struct {
	contact work.Heartbeat
	// full is set when the sender has to be told every task.
	full  bool
	reply chan<- reply
}

type workerAdmin struct {
	do    func(w *Worker) reply
	reply chan<- reply
}

// Message implements loop.Message.
func (contactMsg) Message() {}

// Message implements loop.Message.
func (workerAdmin) Message() {}

// Handler returns the worker's HTTP interface.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /contact", func(rw http.ResponseWriter, r *http.Request) {
		var k work.Heartbeat
		if err := json.NewDecoder(r.Body).Decode(&k); err != nil {
			http.Error(rw, "malformed contact", http.StatusBadRequest)
			return
		}
		w.answer(rw, r, func(c chan<- reply) loop.Message { return contactMsg{contact: k, reply: c} })
	})
	mux.HandleFunc("GET /stand/record", func(rw http.ResponseWriter, r *http.Request) {
		w.admin(rw, r, workerRecord)
	})
	mux.HandleFunc("PUT /stand/habits", func(rw http.ResponseWriter, r *http.Request) {
		var h WorkerFaults
		body, _ := io.ReadAll(r.Body)
		if json.Unmarshal(body, &h) != nil {
			http.Error(rw, "malformed habits", http.StatusBadRequest)
			return
		}
		w.admin(rw, r, func(w *Worker) reply { w.habits = h; return reply{} })
	})
	return mux
}

// Record returns all that the worker has seen.
func (w *Worker) Record() WorkerRecord {
	a, _ := loop.Ask(context.Background(), w.loop, func(c chan<- reply) loop.Message { return workerAdmin{workerRecord, c} })
	r, _ := a.body.(WorkerRecord)
	return r
}

func workerRecord(w *Worker) reply {
	return reply{body: WorkerRecord{w.room, w.overfull, append([]TaskRecord{}, w.records...)}}
}

func (w *Worker) admin(rw http.ResponseWriter, r *http.Request, do func(w *Worker) reply) {
	w.answer(rw, r, func(c chan<- reply) loop.Message { return workerAdmin{do, c} })
}

func (w *Worker) answer(rw http.ResponseWriter, r *http.Request, build func(c chan<- reply) loop.Message) {
	a, err := loop.Ask(r.Context(), w.loop, build)
	if err != nil {
		return
	}
	rw.WriteHeader(max(a.status, http.StatusOK))
	_ = json.NewEncoder(rw).Encode(a.body)
}

// Handle implements loop.Handler.
func (w *Worker) Handle(now time.Time, m loop.Message) {
	switch m := m.(type) {
	case workerAdmin:
		m.reply <- m.do(w)
	case contactMsg:
		if !w.habits.Frozen {
			w.contact(now, m)
		}
	}
}

func (w *Worker) contact(now time.Time, m contactMsg) {
	k := m.contact
	w.expire(now)
	if k.Epoch < w.epoch {
		m.reply <- reply{status: http.StatusConflict}
		return
	}
	if k.Epoch > w.epoch {
		w.epoch, w.order = k.Epoch, 0
		m.full = true
		w.flush()
	}
	m.full = m.full || k.Incarnation != w.bornText() || k.Stamp == ""
	fresh := w.renew(now, k)
	if k.Order > w.order {
		w.order = k.Order
		w.obey(now, k, fresh)
	}
	wait, _ := time.ParseDuration(k.Wait)
	if w.seq > k.After || wait <= 0 || m.full {
		m.reply <- reply{body: w.report(now, k.After, m.full)}
		return
	}
	w.waiters = append(w.waiters, waiter{k, now.Add(wait), m.reply})
}

// renew extends the lease and reports whether the stamp is recent enough for
// new tasks.
func (w *Worker) renew(now time.Time, k work.Heartbeat) bool {
	var born, made int64
	if n, err := fmt.Sscanf(k.Stamp, "%d/%d", &born, &made); err != nil || n != 2 || born != w.born.UnixNano() {
		return false
	}
	ttl, err := time.ParseDuration(k.TTL)
	if err != nil {
		return false
	}
	until := w.born.Add(time.Duration(made)).Add(ttl)
	if until.After(w.lease) {
		w.lease = until
	}
	return until.After(now)
}

func (w *Worker) obey(now time.Time, k work.Heartbeat, fresh bool) {
	for _, a := range k.Acks {
		if t := w.tasks[a.Task]; t != nil && t.state != "running" && t.start.Run == a.Run {
			delete(w.tasks, a.Task)
		}
	}
	for _, s := range k.Stops {
		if t := w.tasks[s.Task]; t != nil && t.state == "running" {
			if s.How == "slow" {
				w.throttle(t)
				continue
			}
			state := "stopped"
			if s.How == "saved" {
				state = "saved"
			}
			w.end(now, t, state)
		}
	}
	for _, s := range k.Starts {
		if t := w.tasks[s.Task]; fresh && (t == nil || t.state != "running" && t.start.Run != s.Run) {
			w.start(now, s)
		}
	}
}

func (w *Worker) start(now time.Time, s work.Start) {
	t := &run{start: s, state: "running", began: now, ending: "done"}
	length := time.Duration(0)
	verb, arg, _ := strings.Cut(s.Command, " ")
	arg, use, _ := strings.Cut(arg, " use=")
	t.use, _ = strconv.ParseFloat(use, 64)
	if d, err := time.ParseDuration(arg); err == nil {
		length = d
	}
	if saved, err := time.ParseDuration(s.Saved); err == nil {
		length = max(length-saved, 0)
	}
	switch {
	case w.habits.FailAll:
		t.ending, length = "failed", time.Millisecond
	case verb == "fail":
		t.ending = "failed"
	}
	t.ends = now.Add(length)
	w.tasks[s.Task] = t
	w.record(now, t, "start")
	if !w.used().Fits(w.room.Core()) {
		w.overfull++
		fmt.Printf("worker %s: OVERFULL: %+v of %+v\n", w.name, w.used(), w.room)
	}
	w.news(t)
}

// throttle holds a task to what it declared.
func (w *Worker) throttle(t *run) {
	if t.use > 0 {
		t.use = 0
		w.news(t)
	}
}

func (w *Worker) used() core.Resources {
	sum := core.Resources{}
	for _, t := range w.tasks {
		if t.state == "running" {
			sum = sum.Add(t.start.Need.Core())
		}
	}
	return sum
}

func (w *Worker) end(now time.Time, t *run, state string) {
	t.state, t.ran = state, now.Sub(t.began)
	w.record(now, t, state)
	w.news(t)
}

func (w *Worker) record(now time.Time, t *run, event string) {
	w.records = append(w.records, TaskRecord{w.name, t.start.Task, t.start.Team, t.start.Need, event, now})
}

// news answers the waiting calls on the next wake.
func (w *Worker) news(t *run) {
	w.seq++
	t.seq = w.seq
}

// expire stops every task when the lease has ended.
func (w *Worker) expire(now time.Time) {
	for _, id := range w.ids() {
		t := w.tasks[id]
		if t.state == "running" && !now.Before(t.ends) && t.ends.Before(w.lease) {
			w.end(t.ends, t, t.ending)
		}
	}
	if now.Before(w.lease) {
		return
	}
	for _, id := range w.ids() {
		if t := w.tasks[id]; t.state == "running" {
			w.end(now, t, "stopped")
		}
	}
}

func (w *Worker) ids() []string {
	out := make([]string, 0, len(w.tasks))
	for id := range w.tasks {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}

func (w *Worker) bornText() string { return strconv.FormatInt(w.born.UnixNano(), 10) }

// report returns every task, or those that have changed after a sequence
// number.
func (w *Worker) report(now time.Time, after uint64, full bool) work.Report {
	r := work.Report{
		Incarnation: w.bornText(), Full: full, Stamp: fmt.Sprintf("%d/%d", w.born.UnixNano(), now.Sub(w.born)), Seq: w.seq, Room: w.room,
	}
	if w.habits.Room != nil {
		r.Room = *w.habits.Room
	}
	for _, id := range w.ids() {
		t := w.tasks[id]
		if !full && t.seq <= after {
			continue
		}
		used := work.Room{}
		if t.seen {
			used = work.Room{
				Cores: int64(t.use * float64(t.start.Need.Cores)), Memory: int64(t.use * float64(t.start.Need.Memory)), Accel: t.start.Need.Accel,
			}
		}
		ran := t.ran
		if t.state == "running" {
			ran = now.Sub(t.began)
		}
		r.Tasks = append(r.Tasks, work.Task{Task: id, Run: t.start.Run, State: t.state, Team: t.start.Team, Need: t.start.Need, Used: used, Elapsed: ran.String()})
	}
	return r
}

// flush answers all waiting calls.
func (w *Worker) flush() {
	for _, q := range w.waiters {
		if q.contact.Epoch < w.epoch {
			q.reply <- reply{status: http.StatusConflict}
		} else {
			q.reply <- reply{body: w.report(time.Now(), q.contact.After, false)}
		}
	}
	w.waiters = nil
}

// Wake implements loop.Handler.
func (w *Worker) Wake(now time.Time) time.Time {
	w.expire(now)
	next := now.Add(idleWake)
	for _, t := range w.tasks {
		if t.state != "running" || t.seen || t.use == 0 {
			continue
		}
		if due := t.began.Add(usageLag); now.Before(due) {
			next = core.Earlier(next, due)
		} else {
			t.seen = true
			w.news(t)
		}
	}
	if w.habits.Frozen {
		return next
	}
	keep := w.waiters[:0]
	for _, q := range w.waiters {
		if w.seq > q.contact.After || !now.Before(q.until) {
			q.reply <- reply{body: w.report(now, q.contact.After, false)}
			continue
		}
		next = core.Earlier(next, q.until)
		keep = append(keep, q)
	}
	w.waiters = keep
	for _, t := range w.tasks {
		if t.state == "running" {
			next = core.Earlier(next, t.ends)
		}
	}
	if now.Before(w.lease) {
		next = core.Earlier(next, w.lease)
	}
	return next
}
