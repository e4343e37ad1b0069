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
	// startTimeout bounds each step of the wait for a deployment to become ready;
	// endTimeout bounds the wait for each job to end.
	startTimeout = 30 * time.Second
	endTimeout   = 60 * time.Second
	pollInterval = 50 * time.Millisecond
)

// TimeoutError reports a condition that was not met before the deadline.
type TimeoutError struct {
	Condition string
	// LastErr is the error of the last check of the condition.
	LastErr error
}

// Error implements error.
func (e *TimeoutError) Error() string {
	return fmt.Sprintf("condition not met in time: %s (last error: %v)", e.Condition, e.LastErr)
}

// InvariantError reports violated invariants.
type InvariantError struct{ Violations []check.Violation }

// Error implements error.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("%d invariant violations, the first: %s", len(e.Violations), e.Violations[0])
}

// WaitUntil calls cond at intervals until cond returns nil. If the time-out or the
// context ends before, it returns a *TimeoutError.
func WaitUntil(ctx context.Context, timeout time.Duration, condition string, cond func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var lastErr error
	for {
		if lastErr = cond(ctx); lastErr == nil {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return &TimeoutError{condition, lastErr}
		}
	}
}

// Workload describes the requests and jobs that a driver sends to a deployment.
type Workload struct {
	// Duration is the time during which new requests and jobs are sent.
	Duration time.Duration
	Requests []RequestStream
	Jobs     []JobStream
	// Seed initializes the random choice of gates, work times and run times.
	Seed uint64
}

// RequestStream describes requests that are sent at a steady rate.
type RequestStream struct {
	Queue core.Queue
	Team  core.Team
	// Interval is the time between two requests. WorkTime is the mean time that the
	// target takes for one; the times vary between 0.5 and 1.5 times the mean.
	Interval, WorkTime time.Duration
}

// JobStream describes jobs of equal tasks that are submitted at a steady rate.
type JobStream struct {
	Queue core.Queue
	Team  core.Team
	// Interval is the time between two jobs.
	Interval time.Duration
	// TasksPerJob is the number of tasks of one job.
	TasksPerJob int
	Cores       float64
	Memory      int64
	// RunTime is the mean run time of the tasks. The run times of the jobs vary between
	// 0.5 and 1.5 times the mean.
	RunTime time.Duration
	// EstimateError is the largest factor by which the declared run time of a job
	// may be above or below its run time. The declared time is exact if it is 1 or
	// less.
	EstimateError float64
}

// submittedJob is a job that was accepted.
type submittedJob struct {
	id          string
	stream      JobStream
	submittedAt time.Time
	taskCount   int
}

// Fleet provides the logs of a deployment's workers and targets.
type Fleet interface {
	WorkerRecords() []fakes.WorkerRecord
	TargetRecords() []fakes.TargetRecord
}

// Driver sends a workload to a deployment and collects the results.
type Driver struct {
	fleet    Fleet
	addrs    deploy.Addresses
	capacity core.Resources
	client   *http.Client
	callers  map[core.Team]*Caller
	rules    *rules.Set
	mu       sync.Mutex
	results  []Result
	// jobs are the accepted jobs.
	jobs []submittedJob
	// refused counts the refused jobs of each queue.
	refused map[core.Queue]int
	// sendStart and sendEnd are the times at which SendWorkload starts and ends.
	sendStart time.Time
	sendEnd   time.Time
}

// Open pushes the rules of a plan to a deployment and creates a key for each team.
// It returns once every process is ready and uses this configuration.
func Open(ctx context.Context, f Fleet, addrs deploy.Addresses, p deploy.Plan) (*Driver, error) {
	d := &Driver{
		fleet: f, addrs: addrs, capacity: p.Capacity(), client: NewClient(),
		callers: map[core.Team]*Caller{}, refused: map[core.Queue]int{},
	}
	ruleSet, err := parse.Rules(p.Name, p.Rules())
	if err != nil {
		return nil, err
	}
	d.rules = ruleSet
	err = WaitUntil(ctx, startTimeout, "a gate accepts the rules", func(ctx context.Context) error {
		return callJSON(ctx, d.client, http.MethodPost, addrs.GateOps[0], "/rules", "", p.Rules(), nil)
	})
	if err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for team := range ruleSet.Teams {
		var granted httpx.ChangeResult
		err := WaitUntil(ctx, startTimeout, "a gate grants a key", func(ctx context.Context) error {
			return callJSON(ctx, d.client, http.MethodPost, addrs.GateOps[0], "/keys?team="+string(team), "", nil, &granted)
		})
		if err != nil {
			return nil, err
		}
		d.callers[team] = &Caller{http: d.client, gates: addrs.Callers, rng: rng, Team: team, Key: granted.Key}
	}
	return d, d.waitReady(ctx)
}

// Caller returns the caller of a team.
func (d *Driver) Caller(t core.Team) *Caller { return d.callers[t] }

// AddResult adds the result of a request to those that Summary and Violations
// use. Tests call it for requests that they send themselves.
func (d *Driver) AddResult(res Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.results = append(d.results, res)
}

// waitReady waits until every process is ready and has the rules and all keys. The
// rules and each team's key add one version each to the configuration.
func (d *Driver) waitReady(ctx context.Context) error {
	for _, addr := range append(append([]netip.AddrPort{}, d.addrs.GateOps...), d.addrs.SchedOps...) {
		err := WaitUntil(ctx, startTimeout, "all processes are ready", func(ctx context.Context) error {
			var c httpx.Config
			if err := callJSON(ctx, d.client, http.MethodGet, addr, "/config", "", nil, &c); err != nil {
				return err
			}
			if int(c.Lowest) < len(d.rules.Teams)+1 {
				return &TimeoutError{Condition: "all processes have the newest configuration"}
			}
			return callJSON(ctx, d.client, http.MethodGet, addr, "/ready", "", nil, nil)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// RunWorkload sends a workload and waits until its requests are answered and its
// jobs have ended.
func (d *Driver) RunWorkload(ctx context.Context, w Workload) error {
	if err := d.SendWorkload(ctx, w); err != nil {
		return err
	}
	return d.WaitJobs(ctx)
}

// SendWorkload sends a workload and waits until its requests are answered, but not until
// its jobs have ended.
func (d *Driver) SendWorkload(ctx context.Context, w Workload) error {
	d.sendStart = time.Now()
	group, gctx := errgroup.WithContext(ctx)
	for i, stream := range w.Requests {
		group.Go(func() error {
			d.sendRequests(gctx, stream, w.Duration, rand.New(rand.NewPCG(w.Seed, uint64(i))))
			return nil
		})
	}
	for i, stream := range w.Jobs {
		group.Go(func() error {
			// The offset keeps the random numbers of job streams apart from those of
			// request streams.
			return d.submitJobs(gctx, stream, w.Duration, rand.New(rand.NewPCG(w.Seed, uint64(1000+i))))
		})
	}
	err := group.Wait()
	d.sendEnd = time.Now()
	return err
}

// sendRequests sends the requests of a stream, each on its own goroutine, and waits
// for the answers. It does not wait if the context ends while it sends.
func (d *Driver) sendRequests(ctx context.Context, s RequestStream, duration time.Duration, rng *rand.Rand) {
	ticker := time.NewTicker(s.Interval)
	defer ticker.Stop()
	group, ctx := errgroup.WithContext(ctx)
	c := d.callers[s.Team]
	for n := 0; time.Since(d.sendStart) < duration; n++ {
		gateAddr := d.addrs.Callers[rng.IntN(len(d.addrs.Callers))]
		workTime := time.Duration((0.5 + rng.Float64()) * float64(s.WorkTime))
		id := fmt.Sprintf("%s-%s-%d", s.Queue, s.Team, n)
		group.Go(func() error {
			d.AddResult(c.Call(ctx, gateAddr, s.Queue, id, workTime, nil))
			return nil
		})
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
	_ = group.Wait()
}

// submitJobs submits the jobs of a stream.
func (d *Driver) submitJobs(ctx context.Context, s JobStream, duration time.Duration, rng *rand.Rand) error {
	ticker := time.NewTicker(s.Interval)
	defer ticker.Stop()
	for time.Since(d.sendStart) < duration {
		gateAddr := d.addrs.Callers[rng.IntN(len(d.addrs.Callers))]
		if err := d.submitJob(ctx, gateAddr, s, rng); err != nil {
			return err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// submitJob submits one job. A refusal is counted and is not an error.
func (d *Driver) submitJob(ctx context.Context, gateAddr netip.AddrPort, s JobStream, rng *rand.Rand) error {
	estimateFactor := 1.0
	if s.EstimateError > 1 {
		estimateFactor = 1 / s.EstimateError * pow(s.EstimateError*s.EstimateError, rng.Float64())
	}
	runTime := time.Duration((0.5 + rng.Float64()) * float64(s.RunTime))
	job := gate.JobRequest{Queue: string(s.Queue), Tasks: []gate.TaskRequest{{
		Count: s.TasksPerJob, Cores: s.Cores, Memory: s.Memory,
		Run: time.Duration(float64(runTime) * estimateFactor).Round(time.Millisecond).String(), Command: "sleep " + runTime.String(),
	}}}
	submittedAt := time.Now()
	id, err := d.callers[s.Team].Submit(ctx, gateAddr, job)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.refused[s.Queue]++
		return nil
	}
	d.jobs = append(d.jobs, submittedJob{id, s, submittedAt, s.TasksPerJob})
	return nil
}

// WaitJobs waits until all accepted jobs have ended, except those of daemon queues.
func (d *Driver) WaitJobs(ctx context.Context) error {
	for _, j := range d.jobs {
		if d.rules.Queues[j.stream.Queue].Kind == rules.Daemon {
			continue
		}
		c := d.callers[j.stream.Team]
		err := WaitUntil(ctx, endTimeout, "job "+j.id+" ends", func(ctx context.Context) error {
			v, err := c.Job(ctx, c.randomGate(), j.id)
			if err != nil {
				return err
			}
			if v.State != "done" {
				return &TimeoutError{Condition: fmt.Sprintf("state done (now %s, %d of %d tasks done)", v.State, v.Done, v.Tasks)}
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// Violations returns all violations of invariants during the run.
func (d *Driver) Violations() []check.Violation {
	coreLimits, requestLimits := map[core.Team]int64{}, map[core.Team]int64{}
	for name, t := range d.rules.Teams {
		coreLimits[name], requestLimits[name] = t.Cores, t.Slots
	}
	log := check.NewLog(d.fleet.WorkerRecords())
	violations := log.Violations(coreLimits)
	notRepeatable := core.NewSet[string]()
	for _, res := range d.results {
		if !d.rules.Queues[res.Queue].Retry {
			notRepeatable.Add(res.ID)
		}
	}
	targets := d.fleet.TargetRecords()
	violations = append(violations, check.TargetViolations(targets, notRepeatable)...)
	violations = append(violations, check.RequestViolations(targets, requestLimits)...)
	done := log.Done()
	for _, j := range d.jobs {
		for i := range j.taskCount {
			id := core.TaskID{Job: core.JobID(j.id), Index: i}.String()
			if !done.Has(id) && d.rules.Queues[j.stream.Queue].Kind != rules.Daemon {
				violations = append(violations, check.Violation{Invariant: check.LostTask, Detail: "task " + id, At: j.submittedAt})
			}
		}
	}
	return violations
}

// Run starts a deployment, runs a workload on it and prints the report. It returns an
// *InvariantError if an invariant was violated.
func Run(ctx context.Context, out io.Writer, p deploy.Plan, w Workload) error {
	fmt.Fprintf(out, "%s: starting %d gates, %d scheds, %d workers, %d targets\n", p.Name,
		p.Gates*len(p.Regions), p.Scheds*len(p.Regions), p.Workers, p.Targets)
	d, err := deploy.Start(ctx, p)
	if err != nil {
		return err
	}
	driver, err := Open(ctx, d, d.Addresses, p)
	if err == nil {
		fmt.Fprintf(out, "%s: all processes are ready; sending requests and jobs for %s\n", p.Name, w.Duration)
		err = driver.RunWorkload(ctx, w)
	}
	if err != nil {
		_ = d.Stop()
		return err
	}
	driver.Report(out)
	violations := driver.Violations()
	if err := d.Stop(); err != nil {
		return err
	}
	if len(violations) > 0 {
		return &InvariantError{violations}
	}
	fmt.Fprintf(out, "%s: no invariant was violated\n\n", p.Name)
	return nil
}

// AcceptedJobs returns the IDs of the accepted jobs of a queue.
func (d *Driver) AcceptedJobs(q core.Queue) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for _, j := range d.jobs {
		if j.stream.Queue == q {
			out = append(out, j.id)
		}
	}
	return out
}

// Results returns the results of all requests so far.
func (d *Driver) Results() []Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Result{}, d.results...)
}
