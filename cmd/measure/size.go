package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"runtime"
	"text/tabwriter"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/conf"
	"chicoryturn/core/ledger"
	"chicoryturn/core/member"
	"chicoryturn/core/rules"
	"chicoryturn/io/work"
)

// point is a value measured at one size.
type point struct{ size, value float64 }

// fitLine fits a line to points by least squares.
func fitLine(points []point) (slope, intercept float64) {
	n, sx, sy, sxx, sxy := float64(len(points)), 0.0, 0.0, 0.0, 0.0
	for _, p := range points {
		sx, sy, sxx, sxy = sx+p.size, sy+p.value, sxx+p.size*p.size, sxy+p.size*p.value
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return slope, (sy - slope*sx) / n
}

// heapBytes returns the size of the live heap.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// measureHeap measures the heap that the result of build takes, at several sizes.
func measureHeap(sizes []int, build func(n int) any) []point {
	var out []point
	for _, n := range sizes {
		before := heapBytes()
		value := build(n)
		out = append(out, point{float64(n), heapBytes() - before})
		runtime.KeepAlive(value)
	}
	return out
}

// measureTime measures the mean microseconds of one call of the function that
// build returns, at several sizes.
func measureTime(sizes []int, build func(n int) func()) []point {
	const rounds = 20
	var out []point
	for _, n := range sizes {
		call := build(n)
		began := time.Now()
		for range rounds {
			call()
		}
		out = append(out, point{float64(n), float64(time.Since(began).Microseconds()) / rounds})
	}
	return out
}

// sizeMetric is a quantity that is measured at several sizes and projected to a
// larger one.
type sizeMetric struct {
	name, unit    string
	points        []point
	projectedSize float64
}

// measureSize prints how memory and time grow with size.
func measureSize(context.Context) error {
	metrics := []sizeMetric{
		{"memory per worker", "B", measureHeap([]int{50, 200, 800, 3200}, func(n int) any { return newCellBench(n, 77) }), 13000},
		{"memory per running task", "B", measureHeap([]int{1000, 4000, 16000}, runningTasks), 310000},
		{"memory per queued job of 10 tasks", "B", measureHeap([]int{200, 800, 3200}, queuedJobs), 25000},
		{"memory per team and rule", "B", measureHeap([]int{77, 308, 1232}, func(n int) any { return configWithTeams(n) }), 77},
		{"memory per key", "B", measureHeap([]int{100, 400, 1600}, func(n int) any { return configWithKeys(n) }), 1000},
		{"memory per peer", "B", measureHeap([]int{50, 200, 800}, func(n int) any { return memberWithPeers(n) }), 120},
		{"time of one lease check, per worker", "µs", measureTime([]int{50, 200, 800, 3200}, func(n int) func() {
			b := newCellBench(n, 77)
			return func() { b.cell.Tick(b.now) }
		}), 13000},
		{"time of one session scan, per peer", "µs", measureTime([]int{50, 200, 800}, func(n int) func() {
			m, rows := memberWithPeers(n), sessionRows(n)
			return func() { m.Scanned(time.Now(), time.Now(), rows, nil) }
		}), 120},
		{"time of one ledger pass, per row", "µs", measureTime([]int{77, 308, 1232}, func(n int) func() {
			b := ledgerWithRows(n)
			return func() { b.Applied(b.Plan(), nil, false) }
		}), 154},
		{"bytes of one heartbeat, per task on the worker", "B", heartbeatBytes([]int{0, 24, 96}), 24},
		{"bytes of one session row read, per peer", "B", sessionRowBytes([]int{50, 200, 800}), 120},
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "quantity\tmeasured at\tper unit\tfixed\tat the projected size\t")
	for _, metric := range metrics {
		slope, intercept := fitLine(metric.points)
		sizes := ""
		for _, p := range metric.points {
			sizes += fmt.Sprintf(" %.0f", p.size)
		}
		fmt.Fprintf(table, "%s\t%s\t%.4g %s\t%.4g %s\t%.0f: %.4g %s\t\n", metric.name, sizes, slope, metric.unit, intercept, metric.unit, metric.projectedSize, intercept+slope*metric.projectedSize, metric.unit)
	}
	_ = table.Flush()
	return measurePlacement()
}

// runningTasks returns a cell that runs n tasks.
func runningTasks(n int) any {
	b := newCellBench(800, 77)
	_ = b.submit(n/10, 10, core.Resources{Cores: 500, Memory: 512})
	b.place()
	b.answerHeartbeats()
	return b
}

// queuedJobs returns a cell with n queued jobs and a single worker.
func queuedJobs(n int) any {
	b := newCellBench(1, 77)
	_ = b.submit(n, 10, core.Resources{Cores: 64000, Memory: 512})
	return b
}

func configWithTeams(n int) *conf.Config {
	ruleSet := &rules.Set{Teams: map[core.Team]rules.Team{}, Queues: map[core.Queue]rules.Queue{}}
	for i := range n {
		name := fmt.Sprintf("team%05d", i)
		ruleSet.Teams[core.Team(name)] = rules.Team{Name: core.Team(name), RequestedBy: "somebody " + name}
		ruleSet.Queues[core.Queue(name)] = rules.Queue{Name: core.Queue(name), RequestedBy: "somebody " + name, Teams: []core.Team{core.Team(name)}}
	}
	config := conf.New()
	config.Restore(1, ruleSet, nil)
	return config
}

func configWithKeys(n int) *conf.Config {
	config := conf.New()
	for i := range n {
		_ = config.Apply(conf.Change{Version: core.Version(i + 1), Kind: conf.GrantKey, Key: &conf.Key{
			ID: fmt.Sprintf("%016d", i), Team: "team", Hash: conf.HashSecret(fmt.Sprint(i)),
		}})
	}
	return config
}

func newProcess(i int) core.Process {
	return core.Process{
		ID: core.SessionID(fmt.Sprintf("entry%05d/sched/0123456789ab", i)), VM: fmt.Sprintf("entry%05d", i), Role: core.RoleSched,
		Region: "hobart", Zone: "hobart-a", Peer: netip.MustParseAddrPort("10.0.0.1:7101"),
	}
}

func sessionRows(n int) []core.Row[member.Session] {
	var out []core.Row[member.Session]
	for i := range n {
		out = append(out, core.Row[member.Session]{Val: member.Session{Process: newProcess(i + 1), Renewals: 7, Config: 9}, Version: uint64(i + 1)})
	}
	return out
}

func memberWithPeers(n int) *member.Member {
	m := member.New(newProcess(0), member.WithCells(16))
	m.Scanned(time.Now(), time.Now(), sessionRows(n), nil)
	return m
}

// ledgerWithRows returns a ledger with n rows that all have some demand.
func ledgerWithRows(n int) *ledger.Ledger {
	l := ledger.New("hobart/0")
	for i := range n {
		name := fmt.Sprintf("cores/team%05d", i)
		l.Declare(name, 100000, 1000)
		l.SetDemand(name, int64(i))
	}
	return l
}

func heartbeatBytes(sizes []int) []point {
	var out []point
	for _, n := range sizes {
		report := work.Report{Stamp: "1796378400000000000/3600000000000", Seq: 1e6, Room: work.Room{Cores: 64000, Memory: 262144}}
		for i := range n {
			report.Tasks = append(report.Tasks, work.Task{
				Task: fmt.Sprintf("hobart.0.ABCDEFGHIJKLMNOP.%d", i), State: "running", Team: "foundry",
				Need: work.Room{Cores: 2000, Memory: 4096}, Elapsed: "3h12m10.123456789s",
			})
		}
		heartbeat := work.Heartbeat{Cell: "hobart/0", Epoch: 12, Order: 1e6, Stamp: report.Stamp, TTL: "6s", After: 1e6, Wait: "2s"}
		reportText, reportErr := json.Marshal(report)
		heartbeatText, heartbeatErr := json.Marshal(heartbeat)
		if reportErr == nil && heartbeatErr == nil {
			out = append(out, point{float64(n), float64(len(reportText) + len(heartbeatText) + httpHeaderBytes)})
		}
	}
	return out
}

// httpHeaderBytes is the approximate size of the headers of one HTTP request and
// its response.
const httpHeaderBytes = 300

func sessionRowBytes(sizes []int) []point {
	var out []point
	for _, n := range sizes {
		total := httpHeaderBytes
		for _, s := range sessionRows(n) {
			text, err := json.Marshal(s.Val)
			if err == nil {
				total += len(text) + len(`{"key":"m/session/","val":,"version":123456},`) + len(s.Val.Process.ID)
			}
		}
		out = append(out, point{float64(n), float64(total)})
	}
	return out
}

// measurePlacement measures the speed of placement at several numbers of workers.
func measurePlacement() error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "workers\ttasks placed\tdecisions/s\tµs/decision\t")
	for _, n := range []int{50, 200, 800, 3200, 13000} {
		bench := newCellBench(n, 77)
		count := min(n*24, 40000)
		if err := bench.submit(count/10, 10, core.Resources{Cores: 2000, Memory: 4096}); err != nil {
			return err
		}
		elapsed := bench.place()
		placed := float64(bench.cell.Counts().Starts)
		fmt.Fprintf(table, "%d\t%.0f\t%.0f\t%.2f\t\n", n, placed, placed/elapsed.Seconds(), float64(elapsed.Microseconds())/placed)
	}
	return table.Flush()
}
