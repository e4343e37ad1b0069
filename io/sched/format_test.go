package sched_test

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/cell"
	"chicoryturn/core/ledger"
	"chicoryturn/core/member"
	"chicoryturn/core/rules"
)

// markSet marks the path of v, and of each field below it, as true if the value
// is not zero, or as false if no earlier call has marked it as true.
func markSet(set map[string]bool, path string, v reflect.Value) {
	set[path] = set[path] || !v.IsZero()
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			markSet(set, path, v.Elem())
		}
	case reflect.Slice:
		for i := range v.Len() {
			markSet(set, path+"[]", v.Index(i))
		}
	case reflect.Map:
		for _, k := range v.MapKeys() {
			markSet(set, path+"[]", v.MapIndex(k))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() {
				markSet(set, path+"."+f.Name, v.Field(i))
			}
		}
	}
}

// second returns a time in a fixed minute.
func second(s int) time.Time { return time.Date(2026, 3, 4, 5, 6, s, 0, time.UTC) }

// TestStoredRowFormat guards against a renamed field that changes a stored row,
// so that a sched cannot read the rows of earlier builds. It decodes rows that
// build 1a3cc7e encoded, the last one before Go identifiers were renamed,
// compares each field, and encodes the same rows again.
func TestStoredRowFormat(t *testing.T) {
	tests := []struct {
		name string
		want any
	}{
		{"snapshot", cell.Snapshot{Entries: []cell.Entry{
			{Accept: &cell.JobSpec{
				ID: "hobart.1.job", Team: "red", Queue: "bulk", Kind: rules.Gang,
				Tasks: []cell.TaskSpec{
					{Need: core.Resources{Cores: 2, Memory: 3, Accel: 4}, Estimate: 5, Command: "command-1"},
					{Need: core.Resources{Cores: 6, Memory: 7, Accel: 8}, Estimate: 9, Command: "command-2"},
				},
				Submitted: second(10), Start: second(11), Due: second(12),
			}},
			{Task: &cell.TaskEnd{Job: "hobart.1.task", Index: 13, Outcome: cell.Failed}},
			{End: &cell.JobEnd{Job: "hobart.1.end", At: second(14)}},
			{Cancel: "hobart.1.cancel"},
			{Worker: "worker-1"},
			{Gone: "worker-2"},
		}}},
		{"session", member.Session{
			Process: core.Process{
				ID: "sched-1", VM: "entry-1", Role: core.RoleSched, Region: "hobart", Zone: "hobart-a",
				Peer: netip.MustParseAddrPort("10.0.0.1:71"),
			},
			Renewals: 15, Config: 16, Leaving: true,
		}},
		{"claim", member.Claim{
			Cell: core.CellID{Region: "hobart", Index: 1}, Owner: "sched-1", Epoch: 17, Offer: "sched-2",
			Snap: "snap/hobart/1/17-18", Log: 18,
		}},
		{"ledger", ledger.Row{
			Total: 19,
			Parts: map[ledger.Holder]int64{"hobart/1": 20, "hobart/2": 21},
			Wants: map[ledger.Holder]int64{"hobart/1": 22, "hobart/3": 23},
		}},
	}
	data, err := os.ReadFile("testdata/rows-1a3cc7e.json")
	is.New(t).NoErr(err)
	var rows map[string]json.RawMessage
	is.New(t).NoErr(json.Unmarshal(data, &rows))
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got := reflect.New(reflect.TypeOf(tt.want))
			is.NoErr(json.Unmarshal(rows[tt.name], got.Interface()))
			is.Equal(got.Elem().Interface(), tt.want)

			// Each entry of the snapshot sets one field; together they set all fields. A
			// field that a later build adds needs a row written by that build.
			set := map[string]bool{}
			markSet(set, tt.name, got.Elem())
			for path, ok := range set {
				if !ok {
					t.Errorf("%s is zero in the whole row", path)
				}
			}

			encoded, err := json.Marshal(got.Interface())
			is.NoErr(err)
			var old bytes.Buffer
			is.NoErr(json.Compact(&old, rows[tt.name]))
			is.Equal(string(encoded), old.String())
		})
	}
}
