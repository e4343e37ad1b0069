package record_test

import (
	"context"
	"testing"
	"time"

	"chicoryturn/core/budget"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/policy"
	"chicoryturn/io/record"
	"chicoryturn/io/table"
)

// FuzzRows reads any text as the rows of a job, of its progress and of the roster, and
// schedules what is valid.
func FuzzRows(f *testing.F) {
	f.Add(`{"ID":"j","Team":"t","Queue":"q","Phases":[{"Count":2,"Need":{"Cores":1000}},{"Count":1,"After":[0],"Gang":true}]}`, `{"Job":"j","Done":"AQ==","Fails":{"1":[7]}}`, `{"Pages":1,"Hosts":[{"Name":"w"}]}`)
	f.Add(`{"ID":"j","Phases":[{"Count":1,"After":[7]}],"Repeat":9}`, `{"Job":"j","State":"odd","Fails":{"-1":[1]}}`, `{"Pages":-1}`)
	f.Fuzz(func(_ *testing.T, job, progress, roster string) {
		tbl := newFakeTable()
		for k, text := range map[table.Key]string{
			{Table: "job", Part: "p0", Name: "j"}:                job,
			{Table: "progress", Part: "fleet", Name: "j"}:        progress,
			{Table: "fleet", Part: "fleet", Name: "roster/0000"}: roster,
		} {
			tbl.rows[k] = table.Row{Key: k, Val: []byte(text), Version: 1}
		}
		snapshot, err := record.New(tbl).Load(context.Background(), budget.New(0, 0))
		if err != nil {
			return
		}
		now := time.Now()
		s := fleet.New(now, 2, fleet.Limits{Lease: 6 * time.Second, RemoteFactor: 1}, policy.New(1, []policy.Queue{{Name: "q", Service: "s", Attempts: 3}}, nil, nil, 0))
		s.RestoreRoster(snapshot.Roster)
		var valid []jobs.Spec
		for _, spec := range snapshot.Specs {
			if spec.Validate() == nil {
				valid = append(valid, spec)
			}
		}
		s.Load(now, valid, snapshot.Progress)
		s.Tick(now.Add(time.Second))
	})
}
