package owner_test

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"chicoryturn/core"
	"chicoryturn/core/budget"
	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/policy"
	"chicoryturn/io/record"
)

// linesHook keeps the log lines.
type linesHook struct {
	mu    sync.Mutex
	lines []*logrus.Entry
}

func (*linesHook) Levels() []logrus.Level { return logrus.AllLevels }

func (h *linesHook) Fire(e *logrus.Entry) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lines = append(h.lines, e)
	return nil
}

// withMessage returns the lines with a message.
func (h *linesHook) withMessage(msg string) []*logrus.Entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []*logrus.Entry
	for _, e := range h.lines {
		if e.Message == msg {
			out = append(out, e)
		}
	}
	return out
}

// handOver is a fake of the store, of one worker and of the metrics. Another process holds the
// ownership record at first; the worker ends each run at once.
type handOver struct {
	delayedStore
	mu        sync.Mutex
	ends      []fleet.EndedRun
	claims    []elect.ClaimReason
	recordAge time.Duration
	unreached int
}

func (*handOver) Load(context.Context, *budget.Budget) (*record.Snapshot, error) {
	return &record.Snapshot{}, nil
}

func (*handOver) Changes(context.Context, uint64) (record.Snapshot, error) {
	return record.Snapshot{Version: 1, Specs: []jobs.Spec{{
		ID: "j", Team: "t", Queue: "q", FirstEpoch: 5, Phases: []jobs.Phase{{Count: 1, Need: core.Resources{Cores: 1000}, Estimate: time.Second}},
	}}}, nil
}

func (*handOver) Workers(context.Context) (fleet.WorkerList, error) {
	return fleet.WorkerList{Workers: []fleet.WorkerInfo{{
		VM: core.VM{Name: "w", Service: "s", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Capacity: core.Resources{Cores: 4000}}, Incarnation: oldIncarnation,
	}}}, nil
}

func (h *handOver) Start(_ context.Context, o fleet.Order, _ func() bool) (fleet.Reply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ends = append(h.ends, fleet.EndedRun{Number: 17, Task: o.Task, Run: o.Run, Kind: fleet.EndDone, Reason: "done"})
	return fleet.ReplyOK, nil
}

func (h *handOver) Heartbeat(_ context.Context, o fleet.Order) (fleet.RunLists, fleet.Reply, error) {
	time.Sleep(20 * time.Millisecond)
	h.mu.Lock()
	defer h.mu.Unlock()
	if o.AckedEnd >= 17 {
		h.ends = nil
	}
	return fleet.RunLists{Clock: time.Since(testStart) + time.Minute, Incarnation: oldIncarnation, Ended: h.ends}, fleet.ReplyOK, nil
}

func (h *handOver) Claim(reason elect.ClaimReason) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.claims = append(h.claims, reason)
}

func (h *handOver) Authority(recordAge time.Duration, unreached int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordAge, h.unreached = recordAge, unreached
}

var testStart = time.Now()

// durationField returns a field of a log line as a duration.
func durationField(t *testing.T, e *logrus.Entry, name string) time.Duration {
	t.Helper()
	text, _ := e.Data[name].(string)
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Errorf("field %s of %q: %v", name, e.Message, err)
	}
	return d
}

// TestHandOverIsLogged guards against logs from which it can't be seen by which right an owner
// gave its orders, and who acknowledged an end.
func TestHandOverIsLogged(t *testing.T) {
	is := is.New(t)
	row := &sharedRow{record: elect.Record{Holder: "former", VM: "former", Epoch: 4, WriteNumber: 1}, version: 1}
	h := &handOver{delayedStore: delayedStore{fakeDeps: &fakeDeps{}, row: row, delay: 2 * time.Millisecond}}
	hook := &linesHook{}
	startOwner(t, h, "successor", policy.New(1,
		[]policy.Queue{{Name: "q", Host: "h", Prefix: "/", Service: "s", Attempts: 3, Slowdown: 2, Latency: time.Second}},
		[]policy.Team{{Name: "t", Weight: 1}}, []policy.Service{{Name: "s"}}, 0), withHook(hook))
	for end := time.Now().Add(10 * time.Second); len(hook.withMessage(fleet.EventAcked)) == 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}

	for _, msg := range []string{"claiming ownership", "owning the fleet"} {
		lines := hook.withMessage(msg)
		is.Equal(len(lines), 1)
		is.Equal(lines[0].Data["epoch"], core.Epoch(5))
		is.Equal(lines[0].Data["because"], elect.ClaimExpired)
		is.True(durationField(t, lines[0], "age") >= elect.TTL)
	}
	for _, msg := range []string{fleet.EventPlaced, fleet.EventRunEnded + "done", fleet.EventAcked} {
		lines := hook.withMessage(msg)
		is.Equal(len(lines), 1)
		is.Equal(lines[0].Data["epoch"], core.Epoch(5))
		is.True(durationField(t, lines[0], "confirmed") < elect.TTL)
		is.Equal(lines[0].Data["worker"], core.WorkerID("w"))
	}
	is.Equal(hook.withMessage(fleet.EventRunEnded + "done")[0].Data["end"], uint64(17))
	acked := hook.withMessage(fleet.EventAcked)[0]
	is.Equal(acked.Data["from"], uint64(17))
	is.Equal(acked.Data["to"], uint64(17))
	h.mu.Lock()
	is.Equal(h.claims, []elect.ClaimReason{elect.ClaimExpired})
	is.True(h.recordAge > 0)
	h.mu.Unlock()

	// The next owner claims the record.
	row.mu.Lock()
	row.record, row.version = elect.Record{Holder: "next", VM: "next", Epoch: 6, WriteNumber: 1}, row.version+1
	row.mu.Unlock()
	for end := time.Now().Add(10 * time.Second); len(hook.withMessage("no longer the owner")) == 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	lost := hook.withMessage("no longer the owner")
	is.Equal(len(lost), 1)
	age := durationField(t, lost[0], "confirmed")
	is.True(age > 0 && age < elect.TTL)
	h.mu.Lock()
	defer h.mu.Unlock()
	is.Equal(h.recordAge, time.Duration(0))
	is.Equal(h.unreached, 0)
}
