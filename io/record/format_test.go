package record_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/budget"
	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/load"
	"chicoryturn/core/policy"
	"chicoryturn/io/record"
	"chicoryturn/io/table"
)

// oldRows returns the rows and messages encoded by build 1a3cc7e, the last one
// before Go identifiers were renamed. Stored rows are under "table/part/name".
func oldRows(t *testing.T) map[string]json.RawMessage {
	t.Helper()
	data, err := os.ReadFile("testdata/rows-1a3cc7e.json")
	if err != nil {
		t.Fatal(err)
	}
	var rows map[string]json.RawMessage
	if err := json.Unmarshal(data, &rows); err != nil {
		t.Fatal(err)
	}
	return rows
}

// compact returns JSON without white space between its tokens.
func compact(t *testing.T, data []byte) string {
	t.Helper()
	var out bytes.Buffer
	if err := json.Compact(&out, data); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// notStored is the field of fleet.WorkerInfo that rows leave out: it holds from one reading of
// the platform's list to the next.
const notStored = "ColdFor"

// markSet marks the path of v, and of each stored field below it, as true if the value
// is not zero, or as false if no earlier call has marked it as true.
func markSet(t *testing.T, set map[string]bool, path string, v reflect.Value) {
	t.Helper()
	set[path] = set[path] || !v.IsZero()
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			markSet(t, set, path, v.Elem())
		}
	case reflect.Slice:
		for i := range v.Len() {
			markSet(t, set, path+"[]", v.Index(i))
		}
	case reflect.Map:
		for _, k := range v.MapKeys() {
			markSet(t, set, path+"[]", v.MapIndex(k))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			switch f := v.Type().Field(i); {
			case f.Name == notStored && !v.Field(i).IsZero():
				t.Errorf("%s.%s is not to be stored, but a row holds it", path, f.Name)
			case f.IsExported() && f.Name != notStored:
				markSet(t, set, path+"."+f.Name, v.Field(i))
			}
		}
	}
}

// checkAllSet fails the test for each exported field that is zero in all values. A
// field that a later build adds needs a row written by that build.
func checkAllSet(t *testing.T, values ...any) {
	t.Helper()
	set := map[string]bool{}
	for _, v := range values {
		markSet(t, set, reflect.TypeOf(v).String(), reflect.ValueOf(v))
	}
	for path, ok := range set {
		if !ok {
			t.Errorf("%s is zero in all rows", path)
		}
	}
}

// second returns a time in a fixed minute.
func second(s int) time.Time { return time.Date(2026, 3, 4, 5, 6, s, 0, time.UTC) }

// TestStoredRowFormat guards against a renamed field or table key that changes a
// stored row, so that a VM cannot read the rows of earlier builds. It loads the
// rows of build 1a3cc7e, compares each field, and writes the same rows again.
func TestStoredRowFormat(t *testing.T) {
	is := is.New(t)
	budgets := []int{13, 33}
	specs := map[core.JobID]jobs.Spec{
		"full": {
			ID: "full", Team: "red", Queue: "bulk", Payload: "payload", Repeat: 2, First: second(1), Every: 3,
			Accepted: second(4), FirstEpoch: 5,
			Phases: []jobs.Phase{{
				Count: 6, Need: core.Resources{Cores: 7, Memory: 8, Accel: 9}, Estimate: 10, After: []int{11},
				Gang: true, SameRack: true, Checkpoints: true, Speculative: true, LongRunning: true, Filler: true,
				Label: "label-1", Rack: "rack-1", PerWorker: 12, Image: "image-1", LatencyTarget: 14,
				DisruptionBudget: &budgets[0],
			}, {
				Count: 26, Need: core.Resources{Cores: 27, Memory: 28, Accel: 29}, Estimate: 30, After: []int{31, 35},
				Gang: true, SameRack: true, Checkpoints: true, Speculative: true, LongRunning: true, Filler: true,
				Label: "label-2", Rack: "rack-2", PerWorker: 32, Image: "image-2", LatencyTarget: 34,
				DisruptionBudget: &budgets[1],
			}},
		},
		// Each phase sets one flag, so that two flags with exchanged keys differ.
		"flags": {
			ID: "flags", Team: "blue", Queue: "fast", Payload: "payload-2", Accepted: second(6),
			Phases: []jobs.Phase{
				{Count: 1, Gang: true}, {Count: 2, SameRack: true}, {Count: 3, Checkpoints: true},
				{Count: 4, Speculative: true}, {Count: 5, LongRunning: true}, {Count: 6, Filler: true},
			},
		},
	}
	progress := jobs.Progress{
		Job: "full", State: jobs.Failed, Done: []byte{15, 16}, FailedRuns: map[int][]uint64{17: {18, 19}, 20: {21}},
	}
	owner := elect.Record{
		Holder: "sched-1", VM: "entry-1", Addr: netip.MustParseAddrPort("10.0.0.2:72"), Epoch: 22, WriteNumber: 23, Stamp: 24,
	}
	roster := []fleet.RosterEntry{{WorkerInfo: fleet.WorkerInfo{
		VM: core.VM{
			Name: "worker-1", Kind: "worker", Addr: netip.MustParseAddrPort("10.0.0.1:71"), Region: "hobart",
			Zone: "hobart-a", Rack: "rack-3", Leaving: true, Capacity: core.Resources{Cores: 41, Memory: 42, Accel: 43},
			Service: "svc-1", Slots: 44,
		},
		Labels: []string{"label-3"}, LeavesIn: 45, Incarnation: second(40), Renewals: 46,
	}}, {WorkerInfo: fleet.WorkerInfo{
		VM: core.VM{
			Name: "worker-2", Kind: "worker", Addr: netip.MustParseAddrPort("10.0.0.1:71"), Region: "hobart",
			Zone: "hobart-a", Rack: "rack-4", Leaving: true, Capacity: core.Resources{Cores: 51, Memory: 52, Accel: 53},
			Service: "svc-2", Slots: 54,
		},
		Labels: []string{"label-4"}, LeavesIn: 55, Incarnation: second(50), Renewals: 56,
	}}}

	old := newFakeTable()
	old.version = 1
	for name, val := range oldRows(t) {
		if parts := strings.SplitN(name, "/", 3); len(parts) == 3 {
			k := table.Key{Table: parts[0], Part: parts[1], Name: parts[2]}
			old.rows[k] = table.Row{Key: k, Val: val, Version: 1}
		}
	}
	is.Equal(len(old.rows), 6) // two jobs, a cancellation, progress, owner, roster

	store := startStore(t, old)
	snap, err := store.Load(context.Background(), budget.New(0, 0))
	is.NoErr(err)
	is.Equal(snap.RowErrors, nil)
	loaded := map[core.JobID]jobs.Spec{}
	for _, s := range snap.Specs {
		loaded[s.ID] = s
	}
	is.Equal(loaded, specs)
	is.Equal(snap.Cancelled, []core.JobID{"flags"})
	is.Equal(snap.Progress, map[core.JobID]jobs.Progress{"full": progress})
	is.Equal(snap.Roster, roster)
	obs, err := store.OwnerRecord(context.Background())
	is.NoErr(err)
	is.Equal(obs.Record, owner)
	checkAllSet(t, loaded["full"].Phases[0])
	checkAllSet(t, loaded["full"].Phases[1])
	checkAllSet(t, loaded["full"], termsSpec)                                                           // that build had no Terms
	checkAllSet(t, snap.Progress["full"], jobs.Progress{OlderRuns: map[int]int{1: 1}, Pages: []int{1}}) // that build had no others, Pages is not stored
	checkAllSet(t, snap.Roster[0].WorkerInfo)                                                           // that build had no other fields
	checkAllSet(t, snap.Roster[1].WorkerInfo)
	checkAllSet(t, obs.Record, heldRecord(t)) // that build had no Held, Load, Yields and Delay

	again := newFakeTable()
	store = startStore(t, again)
	for _, s := range snap.Specs {
		_, err := store.Accept(timeoutContext(t, 5*time.Second), s)
		is.NoErr(err)
	}
	is.NoErr(store.Cancel(context.Background(), "flags", second(7)))
	_, err = store.Write(context.Background(), record.OwnerWrite{
		Record: obs.Record, Progress: []jobs.Progress{snap.Progress["full"]}, Roster: snap.Roster,
	})
	is.NoErr(err)
	is.Equal(len(again.rows), len(old.rows))
	for k, row := range old.rows {
		want := compact(t, row.Val)
		if k.Table == "progress" {
			// Failed runs have rows of their own now, and a job that has ended needs none.
			want = strings.Replace(want, `,"Fails":{"17":[18,19],"20":[21]}`, "", 1)
		}
		is.Equal(string(again.rows[k].Val), want)
	}
}

// heldRow is an ownership record with the fields that later builds have added.
const heldRow = `{"Holder":"sched-1","VM":"entry-1","Addr":"10.0.0.2:72","Epoch":22,"Beat":23,"Stamp":24,` +
	`"Held":{"Rest":25,"Own":29,"Shared":26,"Teams":{"red":{"Bytes":27,"Rate":28}}},"Load":{"Made":"2026-03-04T05:06:07Z","Queues":{"bulk":{"Ahead":{"Cores":41,"Memory":42},"Room":{"Cores":43,"Memory":44},"Gangs":{"Cores":64,"Memory":65},"Width":{"Cores":66,"Memory":67},"Waiting":{"Cores":45,"Memory":46},"Free":{"Cores":49,"Memory":50},"Run":47,"Ratio":48}},` +
	`"Teams":{"red":{"bulk":{"Ahead":{"Cores":51,"Memory":52},"Room":{"Cores":53,"Memory":54},"Gangs":{"Cores":68,"Memory":69},"Width":{"Cores":70,"Memory":71},"Waiting":{"Cores":55,"Memory":56},"Free":{"Cores":57,"Memory":58},"Run":59,"Ratio":60}}},` +
	`"Idle":{"svc-1":{"Cores":[61,62],"Memory":[63]}}},"Yields":30,"Delay":31}`

// heldRecord returns the record of heldRow.
func heldRecord(t *testing.T) elect.Record {
	t.Helper()
	var rec elect.Record
	if err := json.Unmarshal([]byte(heldRow), &rec); err != nil {
		t.Fatal(err)
	}
	return rec
}

// termsSpec is a job with the terms that later builds have added, termsRow its row.
var termsSpec = jobs.Spec{
	ID: "j", Phases: []jobs.Phase{{Count: 1}},
	Terms: &jobs.Terms{
		Service: "svc-1", Priority: 1, Attempts: 2, Slowdown: 3, Latency: 4,
		Advisor: &policy.Advisor{Base: 5, PerWorker: 6, TicketTTL: 7}, Limit: core.Resources{Cores: 8, Memory: 9, Accel: 10},
	},
}

const termsRow = `{"ID":"j","Team":"","Queue":"","Text":"","Phases":[{"Count":1,"Need":{"Cores":0,"Memory":0,"Accel":0}}],"Sent":"0001-01-01T00:00:00Z",` +
	`"Terms":{"Service":"svc-1","Priority":1,"Attempts":2,"Slowdown":3,"Latency":4,"Advisor":{"Base":5,"Each":6,"Valid":7},"Ceiling":{"Cores":8,"Memory":9,"Accel":10}}}`

// TestTermsFormat guards against a change of how a job tells the terms of its queue.
func TestTermsFormat(t *testing.T) {
	is := is.New(t)
	tbl := newFakeTable()
	s := startStore(t, tbl)
	is.NoErr(accept(context.Background(), s, termsSpec))
	loaded, err := s.Jobs(context.Background(), []core.JobID{"j"})
	is.NoErr(err)
	is.Equal(loaded.Specs, []jobs.Spec{termsSpec})
	for _, row := range tbl.rows {
		is.Equal(string(row.Val), termsRow)
	}
}

// TestHeldFormat guards against a change of how the ownership record tells what the accepted
// jobs take, what new ones wait for, and how many owners have yielded.
func TestHeldFormat(t *testing.T) {
	is := is.New(t)
	rec := heldRecord(t)
	is.Equal(rec.Held, &budget.Summary{Rest: 25, Own: 29, Shared: 26, Teams: map[core.Team]budget.TeamUse{"red": {Bytes: 27, Rate: 28}}})
	is.Equal(rec.Yields, 30)
	is.Equal(rec.Load, &load.Summary{
		Made: second(7),
		Queues: map[core.Queue]load.Line{"bulk": {
			Ahead: load.Amount{Cores: 41, Memory: 42}, Room: load.Amount{Cores: 43, Memory: 44}, Gangs: load.Amount{Cores: 64, Memory: 65}, Width: load.Amount{Cores: 66, Memory: 67}, Waiting: load.Amount{Cores: 45, Memory: 46}, Free: load.Amount{Cores: 49, Memory: 50}, Run: 47, Ratio: 48,
		}},
		Teams: map[core.Team]map[core.Queue]load.Line{"red": {"bulk": {
			Ahead: load.Amount{Cores: 51, Memory: 52}, Room: load.Amount{Cores: 53, Memory: 54}, Gangs: load.Amount{Cores: 68, Memory: 69}, Width: load.Amount{Cores: 70, Memory: 71}, Waiting: load.Amount{Cores: 55, Memory: 56}, Free: load.Amount{Cores: 57, Memory: 58}, Run: 59, Ratio: 60,
		}}},
		Idle: map[core.Service]load.Slots{"svc-1": {Cores: []int{61, 62}, Memory: []int{63}}},
	})
	tbl := newFakeTable()
	_, err := startStore(t, tbl).Write(context.Background(), record.OwnerWrite{Record: rec})
	is.NoErr(err)
	is.Equal(string(tbl.rows[table.Key{Table: "fleet", Part: "fleet", Name: "seat"}].Val), heldRow)
}

// silentRow is a row of the roster with the fields that later builds have added.
const silentRow = `{"Pages":1,"Hosts":[{"Name":"worker-1","Kind":"","Addr":"10.0.0.1:71","Region":"","Zone":"","Rack":"","Leaving":false,` +
	`"Room":{"Cores":0,"Memory":0,"Accel":0},"Service":"","Slots":0,"Labels":null,"Left":0,"Born":"2026-03-04T05:06:40Z","Beat":0,` +
	`"Since":5,"Silent":true,"Runs":["full.1.2.3"]}]}`

// TestSilentEntryFormat guards against a change of how the roster names the tasks that may
// run on a silent worker.
func TestSilentEntryFormat(t *testing.T) {
	is := is.New(t)
	stored := newFakeTable()
	k := table.Key{Table: "fleet", Part: "fleet", Name: "roster/0000"}
	stored.rows[k] = table.Row{Key: k, Val: []byte(silentRow), Version: 1}
	snap, err := startStore(t, stored).Load(context.Background(), budget.New(0, 0))
	is.NoErr(err)
	is.Equal(snap.Roster, []fleet.RosterEntry{{
		WorkerInfo: fleet.WorkerInfo{VM: core.VM{Name: "worker-1", Addr: netip.MustParseAddrPort("10.0.0.1:71")}, Incarnation: second(40)},
		Since:      5, Silent: true, Runs: []jobs.TaskID{{PhaseID: jobs.PhaseID{Job: "full", Occurrence: 1, Phase: 2}, Index: 3}},
	}})
	again := newFakeTable()
	_, err = startStore(t, again).Write(context.Background(), record.OwnerWrite{Record: elect.Record{Epoch: 1}, Roster: snap.Roster})
	is.NoErr(err)
	is.Equal(string(again.rows[k].Val), silentRow)
}

// TestTableMessageFormat guards against a renamed field that changes a call or
// an outcome, so that VMs of different builds cannot make calls for each other.
func TestTableMessageFormat(t *testing.T) {
	key := func(n string) table.Key { return table.Key{Table: "table-" + n, Part: "part-" + n, Name: "name-" + n} }
	row := func(n string, version uint64) table.Row {
		return table.Row{Key: key(n), Val: []byte("val-" + n), Version: version, Deleted: true}
	}
	tests := []struct {
		name string
		want any
	}{
		{"call:write", table.Call{Write: &table.Txn{
			Checks:  []table.Check{{Key: key("1"), Version: 2}},
			Puts:    []table.Put{{Key: key("3"), Val: []byte("val-3")}},
			Deletes: []table.Key{key("4")},
		}}},
		{"call:read", table.Call{Read: &table.Range{Table: "table-5", Part: "part-5", From: "from", To: "to", Limit: 6}}},
		{"call:feed", table.Call{Feed: &table.FeedRequest{Table: "table-7", Version: 8, Wait: 9}}},
		{"outcome:done", table.Outcome{Done: &table.WriteResult{Version: 1, Now: 2}}},
		{"outcome:page", table.Outcome{Page: &table.Page{Rows: []table.Row{row("3", 4)}, More: true, Version: 5, Now: 6}}},
		{"outcome:changes", table.Outcome{Changes: &table.Changes{Rows: []table.Row{row("7", 8)}, Version: 9}}},
		{"outcome:refused", table.Outcome{RefusedStatus: 503}},
		{"outcome:conflict", table.Outcome{Conflict: &table.ConflictError{Rows: []table.Row{row("10", 11)}}}},
		{"outcome:trimmed", table.Outcome{Compacted: &table.CompactedError{Version: 12}}},
		{"outcome:down", table.Outcome{NoAnswer: "reason"}},
	}
	rows := oldRows(t)
	var decoded []any
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got := reflect.New(reflect.TypeOf(tt.want))
			is.NoErr(json.Unmarshal(rows[tt.name], got.Interface()))
			is.Equal(got.Elem().Interface(), tt.want)
			data, err := json.Marshal(got.Interface())
			is.NoErr(err)
			is.Equal(string(data), compact(t, rows[tt.name]))
			decoded = append(decoded, got.Elem().Interface())
		})
	}
	// Each call and each outcome sets one field; together they set all fields.
	checkAllSet(t, decoded...)
}
