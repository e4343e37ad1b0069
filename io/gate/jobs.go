package gate

import (
	"bytes"
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/cell"
	"chicoryturn/core/rules"
	"chicoryturn/io/httpx"
	"chicoryturn/io/loop"
)

const (
	maxJobBody = 4 << 20
	// ownerTimeout is how long a gate looks for the owner of a cell.
	ownerTimeout       = 10 * time.Second
	ownerRetryInterval = 150 * time.Millisecond
	// ownerCallTimeout bounds one call to an owner; the owner's journal may be slow.
	ownerCallTimeout = 4 * time.Second
	defaultListSize  = 100
	milliPerCore     = 1000
)

// JobRequest is the body that submits a job.
type JobRequest struct {
	Queue string        `json:"queue"`
	Team  string        `json:"team,omitempty"`
	Tasks []TaskRequest `json:"tasks"`
}

// TaskRequest asks for one task, or for Count alike.
type TaskRequest struct {
	Count int `json:"count,omitempty"`
	// Cores may be a fraction; Memory is in MiB.
	Cores   float64 `json:"cores"`
	Memory  int64   `json:"memory"`
	Accel   int64   `json:"accel,omitempty"`
	Run     string  `json:"run,omitempty"`
	Command string  `json:"command"`
}

// JobView is a job as it is shown.
type JobView struct {
	ID        string     `json:"id"`
	Team      string     `json:"team"`
	Queue     string     `json:"queue"`
	Kind      string     `json:"kind"`
	State     string     `json:"state"`
	Submitted time.Time  `json:"submitted"`
	Started   *time.Time `json:"started,omitempty"`
	Ended     *time.Time `json:"ended,omitempty"`
	Due       *time.Time `json:"due,omitempty"`
	Tasks     int        `json:"tasks"`
	Queued    int        `json:"queued"`
	Running   int        `json:"running"`
	Done      int        `json:"done"`
	Failed    int        `json:"failed"`
	Cancelled int        `json:"cancelled"`
	Blocked   string     `json:"blocked,omitempty"`
}

// Submitted is the answer to an accepted job.
type Submitted struct {
	ID string `json:"id"`
	// Repeated is set when the job had been accepted before.
	Repeated bool `json:"repeated,omitempty"`
}

func timePtr(t time.Time) *time.Time {
	if t.IsZero() {
		return nil
	}
	return &t
}

func newJobView(v cell.View) JobView {
	return JobView{
		string(v.ID), string(v.Team), string(v.Queue), string(v.Kind), v.State, v.Submitted, timePtr(v.Started),
		timePtr(v.Ended), timePtr(v.Due), v.Tasks, v.Queued, v.Running, v.Done, v.Failed, v.Cancelled, v.Blocked,
	}
}

// parseJob reads the body that submits a job.
func parseJob(text []byte) (JobRequest, []cell.TaskSpec, error) {
	var req JobRequest
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&req); err != nil {
		e := core.Refuse(core.CodeBadInput, "the body is not a job")
		e.Err = err
		return req, nil, e
	}
	var tasks []cell.TaskSpec
	for i, t := range req.Tasks {
		run := time.Duration(0)
		if t.Run != "" {
			var err error
			if run, err = time.ParseDuration(t.Run); err != nil || run < 0 {
				return req, nil, core.Refuse(core.CodeBadInput, "task %d: run %q is not a time span such as \"90s\"", i, t.Run)
			}
		}
		count := max(t.Count, 1)
		if t.Count < 0 || len(tasks)+count > cell.MaxTasks {
			return req, nil, core.Refuse(core.CodeTooLarge, "a job has at most %d tasks", cell.MaxTasks)
		}
		if !(t.Cores > 0) || t.Cores > 1e6 || t.Memory < 0 || t.Accel < 0 {
			return req, nil, core.Refuse(core.CodeBadInput, "task %d needs a positive number of cores and no negative amount", i)
		}
		spec := cell.TaskSpec{
			Need:     core.Resources{Cores: int64(math.Ceil(t.Cores * milliPerCore)), Memory: t.Memory, Accel: t.Accel},
			Estimate: run, Command: t.Command,
		}
		for range count {
			tasks = append(tasks, spec)
		}
	}
	if len(tasks) == 0 {
		return req, nil, core.Refuse(core.CodeBadInput, "a job has at least one task")
	}
	return req, tasks, nil
}

func (g *Gate) serveSubmit(w http.ResponseWriter, r *http.Request) {
	sub, err := g.submit(w, r)
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	httpx.WriteJSON(w, http.StatusAccepted, sub)
}

func (g *Gate) submit(w http.ResponseWriter, r *http.Request) (Submitted, error) {
	text, err := httpx.ReadBody(w, r, maxJobBody)
	if err != nil {
		return Submitted{}, err
	}
	req, tasks, err := parseJob(text)
	if err != nil {
		return Submitted{}, err
	}
	claimed, key := credentials(r)
	if claimed == "" {
		claimed = core.Team(req.Team)
	}
	team, rule, err := g.authorize(r.Context(), core.Queue(req.Queue), claimed, key)
	if err != nil {
		return Submitted{}, err
	}
	if rule.Kind == rules.Answer {
		return Submitted{}, core.Refuse(core.CodeBadInput, "queue %q takes requests, not jobs", req.Queue)
	}
	spec := newJobSpec(team, rule, tasks, time.Now().UTC())
	if err := g.chooseCell(r, &spec); err != nil {
		return Submitted{}, err
	}
	repeated, err := g.submitToOwner(r.Context(), spec)
	return Submitted{string(spec.ID), repeated}, err
}

func newJobSpec(team core.Team, rule *rules.Queue, tasks []cell.TaskSpec, now time.Time) cell.JobSpec {
	spec := cell.JobSpec{Team: team, Queue: rule.Name, Kind: rule.Kind, Tasks: tasks, Submitted: now}
	if rule.Start > 0 {
		spec.Start = now.Add(rule.Start)
	}
	if rule.Due > 0 {
		spec.Due = now.Add(rule.Due)
	}
	return spec
}

// chooseCell names the job and with it the cell. Under an idempotency key, the
// choice is recorded first, so that a repetition through any gate finds it.
func (g *Gate) chooseCell(r *http.Request, spec *cell.JobSpec) error {
	needs := make([]core.Resources, 0, len(spec.Tasks))
	for _, t := range spec.Tasks {
		needs = append(needs, t.Need)
	}
	places, err := loop.Ask(r.Context(), g.loop, func(c chan<- []core.CellID) loop.Message { return cellsRequest{needs, c} })
	if err != nil {
		return core.Refuse(core.CodeLeaving, "this gate has stopped")
	}
	if len(places) == 0 {
		return core.Refuse(core.CodeTooLarge, "no worker of the fleet is large enough for every task")
	}
	spec.ID = core.NewJobID(places[0], rand.Text()[:16])
	key := r.Header.Get(idempotencyHeader)
	if key == "" {
		return nil
	}
	v := g.intents.record(r.Context(), intentKey("job", spec.Team, key), intent{
		Gate: g.Agent.Name(), Nonce: rand.Text(), Job: spec.ID, At: spec.Submitted,
	})
	if v.err != nil {
		e := core.Refuse(core.CodeStore, "the idempotency key cannot be recorded")
		e.Err = v.err
		return e
	}
	if !v.isFirst {
		spec.ID = v.earlier.Job
	}
	return nil
}

// candidateCells returns the cells with a worker large enough for each task, those of
// the own region first and in turn.
func (g *Gate) candidateCells(needs []core.Resources) []core.CellID {
	largest := map[core.CellID][]core.Resources{}
	for _, vm := range g.Agent.VMs() {
		if vm.Kind == "worker" && !vm.Leaving {
			id := core.CellID{Region: vm.Region, Index: cell.IndexOf(core.WorkerID(vm.Name), g.Agent.Member.Cells())}
			if !slices.Contains(largest[id], vm.Room) {
				largest[id] = append(largest[id], vm.Room)
			}
		}
	}
	var out []core.CellID
	for id, rooms := range largest {
		if allFit(needs, rooms) {
			out = append(out, id)
		}
	}
	g.rotation++
	self := g.Agent.Member.Self().Region
	slices.SortFunc(out, func(a, b core.CellID) int {
		return cmp.Or(cmp.Compare(remoteRank(a, self), remoteRank(b, self)), cmp.Compare(g.rotated(a), g.rotated(b)), cmp.Compare(a.Region, b.Region))
	})
	return out
}

func (g *Gate) rotated(id core.CellID) int { return (id.Index + g.rotation) % g.Agent.Member.Cells() }

func remoteRank(id core.CellID, self core.Region) int {
	if id.Region == self {
		return 0
	}
	return 1
}

func allFit(needs, rooms []core.Resources) bool {
	for _, n := range needs {
		if !slices.ContainsFunc(rooms, n.Fits) {
			return false
		}
	}
	return true
}

// submitToOwner gives a job to the owner of its cell. A submission is idempotent by its
// name, so it is repeated until an owner has recorded or refused it.
func (g *Gate) submitToOwner(ctx context.Context, spec cell.JobSpec) (bool, error) {
	repeated := false
	sent := false
	err := g.callOwner(ctx, spec.ID, func(ctx context.Context, owner core.Process) error {
		sent = true
		var err error
		repeated, err = g.peers.Submit(ctx, owner, spec)
		return err
	})
	var r *core.RefusalError
	if errors.As(err, &r) && r.Code == core.CodeOwner {
		if !sent {
			return false, core.Refuse(core.CodeOwner, "no process owns the cell of job %s", spec.ID)
		}
		return false, core.RefuseUnknown(core.CodeOwner, err, "job %s may or may not have been recorded; ask for it by name", spec.ID)
	}
	return repeated, err
}

// callOwner calls the owner of a job's cell, following it while it moves.
func (g *Gate) callOwner(ctx context.Context, id core.JobID, do func(ctx context.Context, owner core.Process) error) error {
	c, ok := id.Cell()
	if !ok {
		return core.Refuse(core.CodeNoJob, "%q is not the name of a job", id)
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	for {
		o, err := loop.Ask(ctx, g.loop, func(r chan<- ownersReply) loop.Message { return ownersRequest{r} })
		if err != nil {
			return core.Refuse(core.CodeOwner, "no process owns cell %s", c)
		}
		last := error(core.Refuse(core.CodeOwner, "no process owns cell %s", c))
		if owner, ok := o.cells[c]; ok {
			call, done := context.WithTimeout(ctx, ownerCallTimeout)
			last = do(call, owner)
			done()
		}
		var r *core.RefusalError
		if !errors.As(last, &r) || r.Code != core.CodeOwner {
			return last
		}
		if !sleep(ctx, ownerRetryInterval) {
			return last
		}
	}
}

// sleep waits unless the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// authTeam returns the team whose key a caller shows.
func (g *Gate) authTeam(r *http.Request) (core.Team, error) {
	_, key := credentials(r)
	a, err := loop.Ask(r.Context(), g.loop, func(c chan<- authResult) loop.Message { return teamRequest{key, c} })
	if err != nil {
		return "", core.Refuse(core.CodeLeaving, "this gate has stopped")
	}
	return a.team, a.err
}

func (g *Gate) serveShow(w http.ResponseWriter, r *http.Request) {
	v, err := g.teamJob(r)
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	httpx.WriteJSON(w, http.StatusOK, newJobView(v))
}

// teamJob returns a job if it belongs to the team whose key is shown.
func (g *Gate) teamJob(r *http.Request) (cell.View, error) {
	team, err := g.authTeam(r)
	if err != nil {
		return cell.View{}, err
	}
	id := core.JobID(r.PathValue("id"))
	var v cell.View
	err = g.callOwner(r.Context(), id, func(ctx context.Context, owner core.Process) error {
		var err error
		v, err = g.peers.Show(ctx, owner, id)
		return err
	})
	if err == nil && v.Team != team {
		err = core.Refuse(core.CodeNoJob, "no job %q", id)
	}
	return v, err
}

func (g *Gate) serveCancel(w http.ResponseWriter, r *http.Request) {
	v, err := g.teamJob(r)
	if err == nil {
		err = g.callOwner(r.Context(), v.ID, func(ctx context.Context, owner core.Process) error {
			return g.peers.Cancel(ctx, owner, v.ID)
		})
	}
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	httpx.WriteJSON(w, http.StatusAccepted, Submitted{ID: string(v.ID)})
}

func (g *Gate) serveList(w http.ResponseWriter, r *http.Request) {
	team, err := g.authTeam(r)
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	most, err := strconv.Atoi(r.URL.Query().Get("most"))
	if err != nil || most <= 0 {
		most = defaultListSize
	}
	views, err := g.list(r.Context(), team, most)
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	out := []JobView{}
	for _, v := range views {
		out = append(out, newJobView(v))
	}
	httpx.WriteJSON(w, http.StatusOK, out)
}

// list gathers the newest jobs of every sched that answers.
func (g *Gate) list(ctx context.Context, team core.Team, most int) ([]cell.View, error) {
	o, err := loop.Ask(ctx, g.loop, func(r chan<- ownersReply) loop.Message { return ownersRequest{r} })
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	var out []cell.View
	for _, p := range o.peers {
		if p.Role != core.RoleSched {
			continue
		}
		views, err := g.peers.List(ctx, p, team, most)
		if err != nil {
			g.log.WithError(err).Debugf("%s does not list its jobs", p.ID)
			continue
		}
		out = append(out, views...)
	}
	slices.SortFunc(out, func(a, b cell.View) int { return b.Submitted.Compare(a.Submitted) })
	return out[:min(len(out), most)], nil
}
