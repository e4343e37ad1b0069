// Command standin plays the cases of the review: it starts the project's program as
// separate processes, stands in for the platform, the minions and the clients, and
// checks a rule from what those have seen.
package main

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	memoryMb  = 284
	key       = "key-of-tenant-one"
	otherKey  = "key-of-tenant-two"
	host      = "jobs.example"
	prefix    = "/q/"
	graceTime = 6 * time.Second
)

// task says what the stand-ins know of a task that was submitted.
type task struct {
	need  amount
	work  time.Duration
	fails bool
}

// step is a step of a submission as clients send it, and what its tasks do.
type step struct {
	Count        int
	Cpu, MemMb   int64
	EstimateMs   int64
	After        []int  `json:",omitempty"`
	Constraints  string `json:",omitempty"`
	AntiAffinity int    `json:",omitempty"`
	LongRunning  bool   `json:",omitempty"`

	work  time.Duration
	fails bool
}

// schedule says when the steps of a submission run again.
type schedule struct {
	RepeatCount           int
	StartAtMs, IntervalMs int64
}

// submission is what a client has submitted and how it was answered.
type submission struct {
	id       string
	steps    []step
	accepted time.Time
}

// world holds all stand-ins and processes of one case.
type world struct {
	dir, program string
	trouble      bool
	began        time.Time
	service      string
	store        *store
	minions      []*minion
	nodes        []*node
	// roundTrip is the way from the nodes to the minions and back: 40 ms between
	// regions, 2 ms between the zones of one.
	roundTrip time.Duration
	client    *http.Client
	// onStart is called with each start, under the lock of its minion.
	onStart func(m *minion, r *run)

	mu     sync.Mutex
	record *os.File
	jobs   map[string]*submission
	order  []*submission
}

// abort ends the case as one that could not run.
func (w *world) abort(format string, args ...any) {
	w.note("cannot run: "+format, args...)
	w.close()
	os.Exit(2)
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a time as the record shows it.
func (w *world) at(t time.Time) string {
	if t.IsZero() {
		return "end"
	}
	return fmt.Sprintf("%.3f", t.Sub(w.began).Seconds())
}

func (w *world) task(name string) task {
	id, n := phaseOf(name)
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[id]
	if j == nil || n >= len(j.steps) {
		return task{}
	}
	s := j.steps[n]
	return task{need: amount{Cpu: s.Cpu, MemMb: s.MemMb}, work: s.work, fails: s.fails}
}

// configure writes a desired state with one queue and two tenants.
func (w *world) configure(version int, ceiling int64, attempts int) {
	w.store.put("op", "config", map[string]any{
		"Version": version,
		"Routes": []any{map[string]any{
			"Name": "q", "Host": host, "PathPrefix": prefix, "Service": w.service, "Priority": 1, "Attempts": attempts,
			"SlowdownFactor": 2.0, "TargetLatencyMs": 1200, "TimeoutMs": 3000,
		}},
		"Services": []any{map[string]any{"Name": w.service, "HealthPath": "/health", "Preconditions": false}},
		"Tenants": []any{
			map[string]any{"Name": "one", "ApiKeys": []string{key}, "Weight": 100, "Ceiling": amount{Cpu: ceiling}},
			map[string]any{"Name": "two", "ApiKeys": []string{otherKey}, "Weight": 100, "Ceiling": amount{}},
		},
		"Limits": map[string]any{"MaxBodyBytes": 262144},
	})
}

// call sends one request to a node and returns its status and body, 0 for none.
func (w *world) call(n *node, method, path, key string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+n.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	resp, err := w.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, text
}

// ready returns the nodes that the platform would send new channels to.
func (w *world) ready() []*node {
	var out []*node
	for _, n := range w.nodes {
		if n.isReady() {
			out = append(out, n)
		}
	}
	return out
}

func newID() string {
	b := make([]byte, 8)
	for i := range b {
		b[i] = byte(rand.IntN(256))
	}
	return hex.EncodeToString(b)
}

// try calls nodes in turn until one answers with something else than a refusal or
// nothing, as clients do.
func (w *world) try(method, path, key string, body []byte, patience time.Duration) (int, []byte) {
	end := time.Now().Add(patience)
	last := 0
	for time.Now().Before(end) {
		nodes := w.ready()
		if len(nodes) > 0 {
			n := nodes[rand.IntN(len(nodes))]
			status, text := w.call(n, method, path, key, body)
			if status != 0 && status != 429 && status < 500 {
				return status, text
			}
			last = status
		}
		time.Sleep(200 * time.Millisecond)
	}
	return last, nil
}

// submit hands a submission in and reports whether it was accepted.
func (w *world) submit(key string, steps ...step) (*submission, bool) {
	return w.submitRepeated(key, schedule{}, steps...)
}

// submitRepeated hands a submission in that runs at times, if s says so.
func (w *world) submitRepeated(key string, s schedule, steps ...step) (*submission, bool) {
	j := &submission{id: newID(), steps: steps}
	w.mu.Lock()
	w.jobs[j.id] = j
	w.order = append(w.order, j)
	w.mu.Unlock()
	fields := map[string]any{"Spec": "spec of " + j.id, "Phases": steps}
	if s.RepeatCount > 0 {
		fields["RepeatCount"], fields["StartAtMs"], fields["IntervalMs"] = s.RepeatCount, s.StartAtMs, s.IntervalMs
	}
	body, _ := json.Marshal(fields)
	status, _ := w.try("POST", prefix+j.id, key, body, 12*time.Second)
	w.note("sent POST %s, answered %d", j.id, status)
	if status/100 != 2 {
		return j, false
	}
	j.accepted = time.Now()
	return j, true
}

// state asks for the state of a submission.
func (w *world) state(key string, j *submission) string {
	status, text := w.try("GET", prefix+j.id, key, nil, 8*time.Second)
	var s struct{ State string }
	_ = json.Unmarshal(text, &s)
	if status == 200 {
		return s.State
	}
	return fmt.Sprint(status)
}

// all returns the runs on all minions, the earliest start first.
func (w *world) all() []run {
	var out []run
	for _, m := range w.minions {
		out = append(out, m.runs()...)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Start.Before(out[j].Start) })
	return out
}

// dump writes all runs to the record.
func (w *world) dump() {
	for _, r := range w.all() {
		w.note("run %s %d on %s from %s to %s %s", r.Task, r.Run, r.Minion, w.at(r.Start), w.at(r.End), r.How)
	}
}

// waitUntil waits for a condition and reports whether it came true.
func waitUntil(most time.Duration, f func() bool) bool {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

// running returns the runs of a job that go on.
func (w *world) running(j *submission) []run {
	var out []run
	for _, r := range w.all() {
		if r.End.IsZero() && (j == nil || r.job() == j.id) {
			out = append(out, r)
		}
	}
	return out
}

// owner returns the node whose name the system's ownership row holds.
func (w *world) owner() *node {
	r, ok := w.store.get("fleet", "fleet", "seat")
	var seat struct{ Holder, VM string }
	if !ok || json.Unmarshal(r.Value, &seat) != nil || seat.Holder == "" {
		return nil
	}
	for _, n := range w.nodes {
		if n.name == seat.VM {
			return n
		}
	}
	return nil
}

// begin starts the store, the desired state, minions and nodes, and waits until all
// nodes are ready and one of them has taken a submission.
func (w *world) begin(nodes int, ceiling int64, attempts int, minions func()) {
	var err error
	if w.store, err = newStore(); err != nil {
		w.abort("store: %v", err)
	}
	w.service = "svc" + newID()[:6]
	w.configure(1, ceiling, attempts)
	minions()
	var seeds []string
	for i := range nodes {
		w.nodes = append(w.nodes, newNode(w, i))
	}
	for _, n := range w.nodes[:min(3, len(w.nodes))] {
		seeds = append(seeds, n.control)
	}
	for _, n := range w.nodes {
		n.write(seeds)
		n.start()
	}
	if !waitUntil(15*time.Second, func() bool { return len(w.ready()) == len(w.nodes) && w.owner() != nil }) {
		w.abort("the nodes are not ready")
	}
	j, ok := w.submit(otherKey, step{Count: 1, Cpu: 100, MemMb: 100, EstimateMs: 100, work: 50 * time.Millisecond})
	if !ok || !waitUntil(10*time.Second, func() bool { return w.state(otherKey, j) == "completed" }) {
		w.abort("the first submission did not complete")
	}
	w.note("ready; the owner is %s", w.owner().name)
}

func (w *world) close() {
	for _, n := range w.nodes {
		n.end()
	}
	_ = os.RemoveAll(w.dir)
}

// node is one process of the system and the platform's view of it.
type node struct {
	w                           *world
	name, front, probe, control string
	ephemeral                   int
	file, log                   string

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	closing bool
}

// freePorts returns n free neighbouring ports of 127.0.0.1, below those that the kernel
// gives to connections.
func freePorts(n int) (int, bool) {
	for range 200 {
		base, held := 10000+rand.IntN(22000), []net.Listener{}
		for i := range n {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+i))
			if err != nil {
				break
			}
			held = append(held, l)
		}
		for _, l := range held {
			_ = l.Close()
		}
		if len(held) == n {
			return base, true
		}
	}
	return 0, false
}

func newNode(w *world, i int) *node {
	base, ok := freePorts(5)
	if !ok {
		w.abort("no free ports")
	}
	addr := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", base+i) }
	n := &node{w: w, name: fmt.Sprintf("edge-z1-%d", i+1), front: addr(0), probe: addr(1), control: addr(2), ephemeral: base + 3}
	n.file, n.log = filepath.Join(w.dir, n.name+".toml"), filepath.Join(w.dir, n.name+".log")
	return n
}

// write writes the settings file of a small deployment.
func (n *node) write(seeds []string) {
	list, _ := json.Marshal(seeds)
	text := fmt.Sprintf(`NodeName = %q
Role = "node"
MachineClass = "edge"
Serves = ["edge"]
Ip = "127.0.0.1"
Zone = "z1"
Region = "r1"
EphemeralPorts = [%d,%d]
Seeds = %s
Bootstrap = true
LossCounts = false
Discovery = "platform"
Entrypoint = "vip"
HeartbeatMs = 1500
Policies = ["base","drain","config","cost","recover","sched","tenants","quota","platform"]
Commands = "request"
[Zones]
z1 = "r1"
z2 = "r2"
[ListenAddrs]
Frontend = %q
Readiness = %q
Control = %q
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = %d
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
ContactMs = 4000
AckMs = 5000
DrainMs = 2500
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 2500
RecoveryS = 12
HoldMaxMs = 6000
StopTimeoutMs = 400
GangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
RemotePenalty = 2
QuotaOverage = 0.1
[platform]
Address = %q
form = "table"
WritesPerS = 800
ReadsPerS = 2000
TxnMs = 8.0
AppendPerS = 150
RowBytes = 65536
CrossShard = false
HistoryS = 20
`, n.name, n.ephemeral, n.ephemeral+1, list, n.front, n.probe, n.control, memoryMb, n.w.store.addr)
	if err := os.WriteFile(n.file, []byte(text), 0o600); err != nil {
		n.w.abort("settings: %v", err)
	}
}

// start starts the process with the command of the deploy file. It is started again
// after a short delay however it ends.
func (n *node) start() {
	if err := n.launch(); err != nil {
		n.w.abort("%s: %v", n.name, err)
	}
}

func (n *node) launch() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closing {
		return nil
	}
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(n.w.program, "node")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.w.dir, "CHICORYTURN_NODE_FILE=" + n.file}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd, n.done = cmd, make(chan struct{})
	done := n.done
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		n.w.note("process of %s ended: %v", n.name, err)
		close(done)
		time.Sleep(time.Second)
		n.start()
	}()
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		n.w.note("signal %d to %s", s, n.name)
		_ = n.cmd.Process.Signal(s)
	}
}

// stop stops the process as the platform does: SIGTERM, and SIGKILL after the grace
// period.
func (n *node) stop() {
	n.mu.Lock()
	cmd, done := n.cmd, n.done
	n.mu.Unlock()
	n.signal(syscall.SIGTERM)
	go func() {
		select {
		case <-done:
		case <-time.After(graceTime):
			_ = cmd.Process.Kill()
		}
	}()
}

// memory returns the memory that the process holds, in MB, and the highest so far.
func (n *node) memory() (now, peak int64) {
	n.mu.Lock()
	pid := n.cmd.Process.Pid
	n.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		_, _ = fmt.Sscanf(line, "VmRSS: %d", &now)
		_, _ = fmt.Sscanf(line, "VmHWM: %d", &peak)
	}
	return now / 1024, peak / 1024
}

// limitMemory kills the process whenever it exceeds memoryMb, as the platform does, and
// counts how often.
func (n *node) limitMemory(killed *atomic.Int64) {
	for range time.Tick(20 * time.Millisecond) {
		if now, _ := n.memory(); now > memoryMb {
			n.mu.Lock()
			process, done := n.cmd.Process, n.done
			n.mu.Unlock()
			n.w.note("%s holds %d MB of %d; it is killed", n.name, now, memoryMb)
			_ = process.Kill()
			<-done
			killed.Add(1)
		}
	}
}

// end kills the process for good.
func (n *node) end() {
	n.mu.Lock()
	n.closing = true
	cmd, done := n.cmd, n.done
	n.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-done
	}
}

var probes = &http.Client{Timeout: 500 * time.Millisecond}

func (n *node) isReady() bool {
	resp, err := probes.Get("http://" + n.probe + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
