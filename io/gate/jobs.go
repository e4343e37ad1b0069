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
	"chicoryturn/io/once"
)

const (
	// maxJobBody bounds the body that submits a job, in bytes.
	maxJobBody = 4 << 20
	// ownerTimeout bounds the time until a cell's owner has answered, all
	// attempts included.
	ownerTimeout       = 10 * time.Second
	ownerRetryInterval = 150 * time.Millisecond
	// ownerCallTimeout bounds one call to an owner, which may wait for a slow
	// write of its journal.
	ownerCallTimeout = 4 * time.Second
	// defaultListSize is the number of jobs listed if the caller names none.
	defaultListSize = 100
	// milliPerCore converts cores to the thousandths in which they are counted.
	milliPerCore = 1000
)

// JobRequest is the body that submits a job.
type JobRequest struct {
	Queue string        `json:"queue"`
	Team  string        `json:"team,omitempty"`
	Tasks []TaskRequest `json:"tasks"`
}

// TaskRequest describes one task, or Count equal tasks.
type TaskRequest struct {
	Count int `json:"count,omitempty"`
	// Cores may be a fraction; Memory is in MiB.
	Cores  float64 `json:"cores"`
	Memory int64   `json:"memory"`
	// Accel is the number of accelerators.
	Accel int64 `json:"accel,omitempty"`
	// Run is the estimated run time, such as "90s".
	Run     string `json:"run,omitempty"`
	Command string `json:"command"`
}

// JobView is a job as callers see it.
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
	// Repeated is set if the job had already been accepted.
	Repeated bool `json:"repeated,omitempty"`
}

// timePtr returns nil for the zero time, so that JSON omits it.
func timePtr(t time.Time) *time.Time {
	if t.IsZero() {
		return nil
	}
	return &t
}

// newJobView converts the view of a job that its owner returned.
func newJobView(v cell.View) JobView {
	return JobView{
		string(v.ID), string(v.Team), string(v.Queue), string(v.Kind), v.State, v.Submitted, timePtr(v.Started),
		timePtr(v.Ended), timePtr(v.Due), v.Tasks, v.Queued, v.Running, v.Done, v.Failed, v.Cancelled, v.Blocked,
	}
}

// parseJob parses the body that submits a job, and returns it with one TaskSpec
// per task.
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
		estimate := time.Duration(0)
		if t.Run != "" {
			var err error
			if estimate, err = time.ParseDuration(t.Run); err != nil || estimate < 0 {
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
			Estimate: estimate, Command: t.Command,
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
	submitted, err := g.submit(w, r)
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	httpx.WriteJSON(w, http.StatusAccepted, submitted)
}

// submit parses and authorizes a job, chooses its cell and submits it to the
// cell's owner.
func (g *Gate) submit(w http.ResponseWriter, r *http.Request) (Submitted, error) {
	text, err := httpx.ReadBody(w, r, maxJobBody)
	if err != nil {
		return Submitted{}, err
	}
	req, tasks, err := parseJob(text)
	if err != nil {
		return Submitted{}, err
	}
	claimedTeam, key := credentials(r)
	if claimedTeam == "" {
		claimedTeam = core.Team(req.Team)
	}
	team, rule, err := g.authorize(r.Context(), core.Queue(req.Queue), claimedTeam, key)
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

// newJobSpec returns a job without an ID, with the deadlines that the queue's
// rule sets.
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

// chooseCell chooses the job's cell and sets the job's ID, which contains the
// cell. If the caller sent an idempotency key, the ID is recorded under it first,
// so that a retry through any gate submits the job under the same ID.
func (g *Gate) chooseCell(r *http.Request, spec *cell.JobSpec) error {
	needs := make([]core.Resources, 0, len(spec.Tasks))
	for _, t := range spec.Tasks {
		needs = append(needs, t.Need)
	}
	cells, err := loop.Ask(r.Context(), g.loop, func(c chan<- []core.CellID) loop.Message { return cellsRequest{needs, c} })
	if err != nil {
		return core.Refuse(core.CodeLeaving, "this gate has stopped")
	}
	if len(cells) == 0 {
		return core.Refuse(core.CodeTooLarge, "no cell has a large enough worker for each task")
	}
	spec.ID = core.NewJobID(cells[0], rand.Text()[:16])
	key := r.Header.Get(idempotencyHeader)
	if key == "" {
		return nil
	}
	result := g.intents.Record(r.Context(), once.Key("job", spec.Team, key), once.Intent{
		Gate: g.Agent.InitialSession(), Nonce: rand.Text(), Job: spec.ID, At: spec.Submitted,
	})
	if result.Err != nil {
		e := core.Refuse(core.CodeStoreUnavailable, "the idempotency key cannot be recorded")
		e.Err = result.Err
		return e
	}
	if !result.IsFirst {
		spec.ID = result.Earlier.Job
	}
	return nil
}

// candidateCells returns the cells that have, for each task, a worker large
// enough for it. Cells of the gate's region come first. Within a region, the first
// cell changes with each call.
func (g *Gate) candidateCells(needs []core.Resources) []core.CellID {
	// sizes holds the distinct sizes of each cell's workers.
	sizes := map[core.CellID][]core.Resources{}
	for _, vm := range g.Agent.VMs() {
		if vm.Kind == "worker" && !vm.Leaving {
			id := core.CellID{Region: vm.Region, Index: cell.IndexOf(core.WorkerID(vm.Name), g.Agent.Member.CellCount())}
			if !slices.Contains(sizes[id], vm.Capacity) {
				sizes[id] = append(sizes[id], vm.Capacity)
			}
		}
	}
	var out []core.CellID
	for id, cellSizes := range sizes {
		if allFit(needs, cellSizes) {
			out = append(out, id)
		}
	}
	g.rotation++
	self := g.Agent.Member.Self().Region
	slices.SortFunc(out, func(a, b core.CellID) int {
		return cmp.Or(cmp.Compare(remoteRank(a, self), remoteRank(b, self)), cmp.Compare(g.rotatedIndex(a), g.rotatedIndex(b)), cmp.Compare(a.Region, b.Region))
	})
	return out
}

// rotatedIndex returns a cell's position in the current rotation.
func (g *Gate) rotatedIndex(id core.CellID) int {
	return (id.Index + g.rotation) % g.Agent.Member.CellCount()
}

// remoteRank returns 0 for a cell of the region self and 1 for any other.
func remoteRank(id core.CellID, self core.Region) int {
	if id.Region == self {
		return 0
	}
	return 1
}

// allFit reports whether each need fits into at least one of the sizes.
func allFit(needs, sizes []core.Resources) bool {
	for _, n := range needs {
		if !slices.ContainsFunc(sizes, n.FitsIn) {
			return false
		}
	}
	return true
}

// submitToOwner submits a job to the owner of its cell and reports whether the
// owner had recorded it before. Submission is idempotent by the job's ID, so it is
// retried until an owner has recorded or refused the job.
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
	if errors.As(err, &r) && r.Code == core.CodeNoOwner {
		if !sent {
			return false, core.Refuse(core.CodeNoOwner, "no process owns the cell of job %s", spec.ID)
		}
		return false, core.RefuseUnknown(core.CodeNoOwner, err, "job %s may or may not have been recorded; look it up by its ID", spec.ID)
	}
	return repeated, err
}

// callOwner calls the owner of a job's cell. If the cell has no owner, or the
// process called does not answer or no longer owns the cell, it looks up the
// owner again and retries until ownerTimeout has passed.
func (g *Gate) callOwner(ctx context.Context, id core.JobID, do func(ctx context.Context, owner core.Process) error) error {
	cellID, ok := id.Cell()
	if !ok {
		return core.Refuse(core.CodeUnknownJob, "%q is not a job ID", id)
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	for {
		owners, err := loop.Ask(ctx, g.loop, func(r chan<- ownersReply) loop.Message { return ownersRequest{r} })
		if err != nil {
			return core.Refuse(core.CodeNoOwner, "no process owns cell %s", cellID)
		}
		lastErr := error(core.Refuse(core.CodeNoOwner, "no process owns cell %s", cellID))
		if owner, ok := owners.cells[cellID]; ok {
			callCtx, cancelCall := context.WithTimeout(ctx, ownerCallTimeout)
			lastErr = do(callCtx, owner)
			cancelCall()
		}
		var r *core.RefusalError
		if !errors.As(lastErr, &r) || r.Code != core.CodeNoOwner {
			return lastErr
		}
		if !sleep(ctx, ownerRetryInterval) {
			return lastErr
		}
	}
}

// sleep waits for d and reports whether d has passed before the context ended.
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

// authTeam returns the team of the key in a request's headers.
func (g *Gate) authTeam(r *http.Request) (core.Team, error) {
	_, key := credentials(r)
	result, err := loop.Ask(r.Context(), g.loop, func(c chan<- authResult) loop.Message { return teamRequest{key, c} })
	if err != nil {
		return "", core.Refuse(core.CodeLeaving, "this gate has stopped")
	}
	return result.team, result.err
}

func (g *Gate) serveShow(w http.ResponseWriter, r *http.Request) {
	v, err := g.teamJob(r)
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	httpx.WriteJSON(w, http.StatusOK, newJobView(v))
}

// teamJob returns the job that a request names. It refuses if the job belongs to
// another team than the key in the request's headers.
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
		err = core.Refuse(core.CodeUnknownJob, "no job %q", id)
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
	limit, err := strconv.Atoi(r.URL.Query().Get("most"))
	if err != nil || limit <= 0 {
		limit = defaultListSize
	}
	views, err := g.list(r.Context(), team, limit)
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

// list returns a team's newest jobs, newest first. Jobs of scheds that do not
// answer are missing.
func (g *Gate) list(ctx context.Context, team core.Team, limit int) ([]cell.View, error) {
	owners, err := loop.Ask(ctx, g.loop, func(r chan<- ownersReply) loop.Message { return ownersRequest{r} })
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	var out []cell.View
	for _, p := range owners.peers {
		if p.Role != core.RoleSched {
			continue
		}
		views, err := g.peers.List(ctx, p, team, limit)
		if err != nil {
			g.log.WithError(err).Debugf("listing the jobs of %s failed", p.ID)
			continue
		}
		out = append(out, views...)
	}
	slices.SortFunc(out, func(a, b cell.View) int { return b.Submitted.Compare(a.Submitted) })
	return out[:min(len(out), limit)], nil
}
