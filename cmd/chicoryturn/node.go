package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"

	"github.com/VictoriaMetrics/metrics"

	"chicoryturn/io/entry"
	"chicoryturn/io/node"
	"chicoryturn/io/table"
	"chicoryturn/platform"
)

// nodeCommand returns the subcommand that runs the process of one VM on the users'
// platform.
func nodeCommand() *command {
	return &command{
		name:  "node",
		about: "Runs on every VM of the platform: accepts jobs and, if elected leader, schedules the fleet.",
		run: func(ctx context.Context) error {
			local, err := platform.LoadSettings()
			if err != nil {
				return &InputError{err.Error()}
			}
			store := platform.NewStore(local.StoreAddr)
			registerStoreMetrics(store)
			workers := platform.NewWorkerClient()
			registerWorkerMetrics(workers)
			reload := make(chan os.Signal, 1)
			signal.Notify(reload, syscall.SIGHUP)
			// SIGINT or SIGTERM starts a drain; the process exits once the drain
			// has finished.
			return node.Run(context.WithoutCancel(ctx), local.Node, node.Platform{
				Store:         store,
				Lister:        func(client table.Client) node.Lister { return platform.NewLister(client, local.Zones) },
				Workers:       workers,
				Advisor:       platform.NewAdvisorClient(local.AdvisorAddr),
				CallerHandler: func(e *entry.Entry) http.Handler { return platform.CallerHandler(e) },
				ProbeHandler:  func(e *entry.Entry) http.Handler { return platform.ReadinessHandler(e) },
				Settings: func() (node.Settings, error) {
					local, err := platform.LoadSettings()
					return local.Node, err
				},
				ReloadSignal: reload,
			}, ctx.Done())
		},
	}
}

// registerStoreMetrics exports the counters of calls to the platform's table.
func registerStoreMetrics(store *platform.Store) {
	for name, counter := range map[string]*atomic.Uint64{"writes": &store.Writes, "reads": &store.Reads, "failures": &store.Failures} {
		metrics.NewGauge(fmt.Sprintf("chicoryturn_store_%s_total", name), func() float64 { return float64(counter.Load()) })
	}
}

// registerWorkerMetrics exports the counts of the connections to workers.
func registerWorkerMetrics(workers *platform.WorkerClient) {
	n := workers.Conns()
	for name, counter := range map[string]*atomic.Uint64{"": &n.Open, "_opened_total": &n.Opened, "_lost_total": &n.Lost} {
		metrics.NewGauge("chicoryturn_worker_connections"+name, func() float64 { return float64(counter.Load()) })
	}
}
