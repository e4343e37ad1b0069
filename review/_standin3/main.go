// Command standin3 plays a case of the review: it is the platform's store, the minions and the
// requesters, and starts the processes of the system. It exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	held, broken, notRun = 0, 1, 2

	tenantKey = "6x73d3zji9n73hh2b9wu"
	queueHost = "nony24.example"
	prefix    = "/lohu930/"
	service   = "huvo11a"
	zone      = "ktm-patan"
)

// env is what all cases use.
type env struct {
	dir     string
	trouble bool
	store   *store
	minions []*minion
	nodes   []*node
	began   time.Time

	mu     sync.Mutex
	record *os.File
}

// logf writes a line to the record.
func (e *env) logf(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(e.record, "%8.3f s  %s\n", time.Since(e.began).Seconds(), fmt.Sprintf(format, args...))
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE FOLDER")
		return notRun
	}
	cases := map[string]func(*env) (int, error){"label": playLabel, "lasting": playLasting, "failing": playFailing, "volume": playVolume}
	f := cases[os.Args[1]]
	if f == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return notRun
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		} else {
			fmt.Println(dir)
		}
	}()
	e := &env{dir: dir, trouble: os.Getenv("TROUBLE") != "0", store: newStore(), began: time.Now(), record: record}
	defer func() {
		for _, n := range e.nodes {
			n.kill()
		}
	}()
	status, err := f(e)
	if err != nil {
		e.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	e.logf("exit %d", status)
	return status
}

// listen serves a handler at a free loopback port and returns its address.
func listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String(), nil
}

// startNodes starts n processes of the system and waits until they are ready.
func (e *env) startNodes(n int) error {
	addr, err := listen(e.store.handler())
	if err != nil {
		return err
	}
	for i := range n {
		p, err := newNode(e.dir, i, addr, "")
		if err != nil {
			return err
		}
		if err := p.start(e.dir); err != nil {
			return err
		}
		e.nodes = append(e.nodes, p)
	}
	for _, p := range e.nodes {
		if !eventually(15*time.Second, p.ready) {
			return fmt.Errorf("%s is not ready", p.name)
		}
	}
	e.logf("%d nodes are ready", n)
	return nil
}

// config returns a desired state with one queue without Recommendation.
func config(version int) map[string]any {
	return map[string]any{
		"Version":  version,
		"Routes":   []any{map[string]any{"Name": "r-one", "Host": queueHost, "PathPrefix": prefix, "Type": "non_idempotent", "TimeoutMs": 3000, "TargetLatencyMs": 3000, "Priority": 1, "Service": service, "Attempts": 3, "SlowdownFactor": 4.0, "Public": false}},
		"Services": []any{map[string]any{"Name": service, "HealthPath": "/healthz", "MaxConnections": 64, "Protocol": "h1", "Tls": false, "Preconditions": false, "Standby": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []any{map[string]any{"Name": "kaje80", "ApiKeys": []string{tenantKey}, "Priority": 1, "Weight": 40, "Ceiling": map[string]int{"Cpu": 443319, "MemMb": 541315, "Gpu": 0}}},
	}
}

func eventually(d time.Duration, f func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}
