package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"chicoryturn/core"
	"chicoryturn/core/rules"
	"chicoryturn/io/check"
	"chicoryturn/io/deploy"
	"chicoryturn/io/fakes"
	"chicoryturn/io/gate"
	"chicoryturn/io/httpx"
	"chicoryturn/io/parse"
)

const (
	// startWait bounds the time until all processes are ready, endWait that
	// until all work has ended.
	startWait = 30 * time.Second
	endWait   = 60 * time.Second
	pollPause = 50 * time.Millisecond
)

// TimeoutError reports a condition that did not come true in time.
type TimeoutError struct {
	What string
	Last error
}

// Error implements error.
func (e *TimeoutError) Error() string { return fmt.Sprintf("timed out: %s (last: %v)", e.What, e.Last) }

// BrokenError reports invariants that did not hold.
type BrokenError struct{ Faults []check.Violation }

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("%d broken invariants, the first: %s", len(e.Faults), e.Faults[0])
}

// Until waits for a condition.
func Until(ctx context.Context, most time.Duration, what string, cond func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	tick := time.NewTicker(pollPause)
	defer tick.Stop()
	var last error
	for {
		if last = cond(ctx); last == nil {
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return &TimeoutError{what, last}
		}
	}
}

// Workload is the work that a run offers.
type Workload struct {
	// Duration is how long work is offered.
	Duration time.Duration
	// Calls offers requests, Jobs jobs.
	Calls []RequestStream
	Jobs  []JobStream
	Seed  uint64
}

// RequestStream is a stream of requests.
type RequestStream struct {
	Queue core.Queue
	Team  core.Team
	// Every is the time between two requests; Work is how long one takes.
	Every, Work time.Duration
}

// JobStream is a stream of jobs of equal tasks.
type JobStream struct {
	Queue core.Queue
	Team  core.Team
	Every time.Duration
	// Count is the number of tasks of one job.
	Count  int
	Cores  float64
	Memory int64
	// Run is how long a task runs; Off is by what factor the declared time may
	// differ from it.
	Run           time.Duration
	EstimateError float64
}

// submittedJob is a job that was accepted.
type submittedJob struct {
	id    string
	load  JobStream
	at    time.Time
	tasks int
}

// Fleet is a running deployment.
type Fleet interface {
	WorkerRecords() []fakes.WorkerRecord
	TargetRecords() []fakes.TargetRecord
}

// Run is one run of a load on a deployment.
type Run struct {
	fleet   Fleet
	doors   deploy.Addresses
	total   core.Resources
	client  *http.Client
	callers map[core.Team]*Caller
	set     *rules.Set
	mu      sync.Mutex
	results []Result
	jobs    []submittedJob
	refused map[core.Queue]int
	began   time.Time
	ended   time.Time
}

// Open waits for a deployment, pushes its rules and grants a key to each team.
func Open(ctx context.Context, f Fleet, doors deploy.Addresses, p deploy.Plan) (*Run, error) {
	r := &Run{
		fleet: f, doors: doors, total: p.Total(), client: NewClient(),
		callers: map[core.Team]*Caller{}, refused: map[core.Queue]int{},
	}
	set, err := parse.Rules(p.Name, p.Rules())
	if err != nil {
		return nil, err
	}
	r.set = set
	err = Until(ctx, startWait, "the operators' pages answer", func(ctx context.Context) error {
		return send(ctx, r.client, http.MethodPost, doors.Ops[0], "/rules", "", p.Rules(), nil)
	})
	if err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for team := range set.Teams {
		var granted httpx.Pushed
		err := Until(ctx, startWait, "a key is granted", func(ctx context.Context) error {
			return send(ctx, r.client, http.MethodPost, doors.Ops[0], "/keys?team="+string(team), "", nil, &granted)
		})
		if err != nil {
			return nil, err
		}
		r.callers[team] = &Caller{http: r.client, gates: doors.Callers, rng: rng, Team: team, Key: granted.Key}
	}
	return r, r.await(ctx)
}

// Caller returns the callers of a team.
func (r *Run) Caller(t core.Team) *Caller { return r.callers[t] }

// AddResult adds a request that was sent outside of a load to the run's checks.
func (r *Run) AddResult(res Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, res)
}

// await waits until every process runs the newest configuration.
func (r *Run) await(ctx context.Context) error {
	for _, at := range append(append([]netip.AddrPort{}, r.doors.Ops...), r.doors.Scheds...) {
		err := Until(ctx, startWait, "every process is ready", func(ctx context.Context) error {
			var c httpx.Config
			if err := send(ctx, r.client, http.MethodGet, at, "/config", "", nil, &c); err != nil {
				return err
			}
			if int(c.Lowest) < len(r.set.Teams)+1 {
				return &TimeoutError{What: "configuration"}
			}
			return send(ctx, r.client, http.MethodGet, at, "/ready", "", nil, nil)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// RunWorkload offers a load and waits until all of its work has ended.
func (r *Run) RunWorkload(ctx context.Context, l Workload) error {
	if err := r.Submit(ctx, l); err != nil {
		return err
	}
	return r.WaitJobs(ctx)
}

// Submit offers a load and waits until all of its requests are answered.
func (r *Run) Submit(ctx context.Context, l Workload) error {
	r.began = time.Now()
	group, gctx := errgroup.WithContext(ctx)
	for i, c := range l.Calls {
		group.Go(func() error { r.stream(gctx, c, l.Duration, rand.New(rand.NewPCG(l.Seed, uint64(i)))); return nil })
	}
	for i, j := range l.Jobs {
		group.Go(func() error { return r.submits(gctx, j, l.Duration, rand.New(rand.NewPCG(l.Seed, uint64(1000+i)))) })
	}
	err := group.Wait()
	r.ended = time.Now()
	return err
}

// stream sends requests at a steady rate, each on a goroutine of its own.
func (r *Run) stream(ctx context.Context, l RequestStream, most time.Duration, rng *rand.Rand) {
	tick := time.NewTicker(l.Every)
	defer tick.Stop()
	group, ctx := errgroup.WithContext(ctx)
	c := r.callers[l.Team]
	for n := 0; time.Since(r.began) < most; n++ {
		at := r.doors.Callers[rng.IntN(len(r.doors.Callers))]
		work := time.Duration((0.5 + rng.Float64()) * float64(l.Work))
		id := fmt.Sprintf("%s-%s-%d", l.Queue, l.Team, n)
		group.Go(func() error {
			r.AddResult(c.Call(ctx, at, l.Queue, id, work, nil))
			return nil
		})
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
	_ = group.Wait()
}

func (r *Run) submits(ctx context.Context, l JobStream, most time.Duration, rng *rand.Rand) error {
	tick := time.NewTicker(l.Every)
	defer tick.Stop()
	for time.Since(r.began) < most {
		at := r.doors.Callers[rng.IntN(len(r.doors.Callers))]
		if err := r.submit(ctx, at, l, rng); err != nil {
			return err
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (r *Run) submit(ctx context.Context, at netip.AddrPort, l JobStream, rng *rand.Rand) error {
	off := 1.0
	if l.EstimateError > 1 {
		off = 1 / l.EstimateError * pow(l.EstimateError*l.EstimateError, rng.Float64())
	}
	run := time.Duration((0.5 + rng.Float64()) * float64(l.Run))
	job := gate.JobRequest{Queue: string(l.Queue), Tasks: []gate.TaskRequest{{
		Count: l.Count, Cores: l.Cores, Memory: l.Memory,
		Run: time.Duration(float64(run) * off).Round(time.Millisecond).String(), Command: "sleep " + run.String(),
	}}}
	began := time.Now()
	id, err := r.callers[l.Team].Submit(ctx, at, job)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.refused[l.Queue]++
		return nil
	}
	r.jobs = append(r.jobs, submittedJob{id, l, began, l.Count})
	return nil
}

// WaitJobs waits until every accepted job has ended.
func (r *Run) WaitJobs(ctx context.Context) error {
	for _, j := range r.jobs {
		if r.set.Queues[j.load.Queue].Kind == rules.Daemon {
			continue
		}
		c := r.callers[j.load.Team]
		err := Until(ctx, endWait, "job "+j.id+" ends", func(ctx context.Context) error {
			v, err := c.Show(ctx, c.any(), j.id)
			if err != nil {
				return err
			}
			if v.State != "done" {
				return &TimeoutError{What: fmt.Sprintf("state %s, %d of %d done", v.State, v.Done, v.Tasks)}
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// Violations returns every broken invariant of the run.
func (r *Run) Violations() []check.Violation {
	limits, calls := map[core.Team]int64{}, map[core.Team]int64{}
	for name, t := range r.set.Teams {
		limits[name], calls[name] = t.Cores, t.Slots
	}
	log := check.NewLog(r.fleet.WorkerRecords())
	faults := log.Violations(limits)
	once := core.NewSet[string]()
	for _, res := range r.results {
		if !r.set.Queues[res.Queue].Repeat {
			once.Add(res.ID)
		}
	}
	targets := r.fleet.TargetRecords()
	faults = append(faults, check.Targets(targets, once)...)
	faults = append(faults, check.Calls(targets, calls)...)
	done := log.Done()
	for _, j := range r.jobs {
		for i := range j.tasks {
			id := core.TaskID{Job: core.JobID(j.id), Index: i}.String()
			if !done.Has(id) && r.set.Queues[j.load.Queue].Kind != rules.Daemon {
				faults = append(faults, check.Violation{Invariant: check.Lost, What: "task " + id, At: j.at})
			}
		}
	}
	return faults
}

// Show runs the demonstration of one deployment and prints its tables.
func Show(ctx context.Context, out io.Writer, p deploy.Plan, l Workload) error {
	fmt.Fprintf(out, "%s: starting %d gates, %d scheds, %d workers, %d targets\n", p.Name,
		p.Gates*len(p.Regions), p.Scheds*len(p.Regions), p.Workers, p.Targets)
	s, err := deploy.Start(ctx, p)
	if err != nil {
		return err
	}
	r, err := Open(ctx, s, s.Addresses, p)
	if err == nil {
		fmt.Fprintf(out, "%s: rules and keys are in force; offering work for %s\n", p.Name, l.Duration)
		err = r.RunWorkload(ctx, l)
	}
	if err != nil {
		_ = s.Stop()
		return err
	}
	r.Report(out)
	faults := r.Violations()
	if err := s.Stop(); err != nil {
		return err
	}
	if len(faults) > 0 {
		return &BrokenError{faults}
	}
	fmt.Fprintf(out, "%s: every invariant held\n\n", p.Name)
	return nil
}

// AcceptedIn returns the names of the accepted jobs of a queue.
func (r *Run) AcceptedIn(q core.Queue) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, j := range r.jobs {
		if j.load.Queue == q {
			out = append(out, j.id)
		}
	}
	return out
}

// Results returns the answers to all requests so far.
func (r *Run) Results() []Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Result{}, r.results...)
}
