package record_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/budget"
	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/io/record"
	"chicoryturn/io/table"
)

// TestLargeRoster writes a roster that is too large for one row, then shorter ones
// whose rows replace only a part of the older rows.
func TestLargeRoster(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := startStore(t, newFakeTable())
	version := uint64(0)
	for _, count := range []int{700, 350, 3, 0} {
		workers := []fleet.RosterEntry{}
		for i := range count {
			workers = append(workers, fleet.RosterEntry{WorkerInfo: fleet.WorkerInfo{VM: core.VM{Name: fmt.Sprintf("i-%010d", i), Zone: "some-data-centre-a", Region: "some-region", Service: "a-service"}, Labels: []string{"a", "r1-22"}}})
		}
		done, err := s.Write(ctx, record.OwnerWrite{Record: elect.Record{Holder: "x"}, Version: version, Roster: workers})
		is.NoErr(err)
		version = done.Version
		snapshot, err := s.Load(ctx, budget.New(0, 0))
		is.NoErr(err)
		is.Equal(len(snapshot.Roster), count)
	}
}

// TestRosterOfLongTexts guards against a row of the roster that the store refuses, and with it each
// write of the owner, since other writers have left entries with texts as long as they may be,
// which JSON escapes. While the workers are silent, the entries name tasks as well.
func TestRosterOfLongTexts(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := startStore(t, newFakeTable())
	workers := rosterOf(numbersTo(200)...)
	version := uint64(0)
	for _, silent := range []bool{false, true} {
		for i := range workers {
			w := &workers[i]
			w.Name = strings.Repeat("<", 190) + fmt.Sprintf("%010d", i)
			w.Labels = []string{"a", strings.Repeat("<", 380)}
			w.Rack = w.Labels[1]
			if w.Silent = silent; silent {
				w.Runs = []jobs.TaskID{{PhaseID: jobs.PhaseID{Job: "0123456789abcdef"}, Index: i}}
			}
		}
		done, err := s.Write(ctx, record.OwnerWrite{Record: elect.Record{Holder: "x", Epoch: 1}, Version: version, Roster: workers})
		is.NoErr(err)
		version = done.Version
	}
	snapshot, err := s.Load(ctx, budget.New(0, 0))
	is.NoErr(err)
	is.Equal(len(snapshot.Roster), 200)
}

// rosterOf returns a roster of workers with the given numbers.
func rosterOf(numbers ...int) []fleet.RosterEntry {
	workers := []fleet.RosterEntry{}
	for _, i := range numbers {
		workers = append(workers, fleet.RosterEntry{WorkerInfo: fleet.WorkerInfo{
			VM:     core.VM{Name: fmt.Sprintf("i-%010d", i), Zone: "some-data-centre-a", Region: "some-region", Service: "a-service", Capacity: core.Resources{Cores: 64000, Memory: 262144}},
			Labels: []string{"a", "r1-22"}, Incarnation: time.UnixMilli(1), Renewals: uint64(i),
		}})
	}
	return workers
}

func numbersTo(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// TestRosterOfLargeFleet writes the roster of 13,000 workers, which takes several
// transactions, with the progress of many large jobs. One worker more and one less must
// then cost a few rows.
func TestRosterOfLargeFleet(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	tbl := newFakeTable()
	s := startStore(t, tbl)
	var progress []jobs.Progress
	for i := range 90 {
		p := jobs.Progress{Job: core.JobID(fmt.Sprintf("%016x", i))}
		for task := range 900 {
			p.AddFailedRun(task, 1<<20)
		}
		p.Pages = p.FailedPages()
		progress = append(progress, p)
	}
	numbers := numbersTo(13000)
	done, err := s.Write(ctx, record.OwnerWrite{Record: elect.Record{Holder: "x", Epoch: 1}, Progress: progress, Roster: rosterOf(numbers...)})
	is.NoErr(err)
	snapshot, err := s.Load(ctx, budget.New(0, 0))
	is.NoErr(err)
	is.Equal(len(snapshot.Roster), 13000)
	is.Equal(len(snapshot.Progress), 90)

	tbl.written = 0
	_, err = s.Write(ctx, record.OwnerWrite{Record: elect.Record{Holder: "x", Epoch: 1, WriteNumber: 2}, Version: done.Version, Roster: rosterOf(append(numbers[1:], 13000)...)})
	is.NoErr(err)
	is.True(tbl.written < 4*64<<10)
	snapshot, err = s.Load(ctx, budget.New(0, 0))
	is.NoErr(err)
	is.Equal(len(snapshot.Roster), 13000)
}

// TestRosterAfterPartialWrite lets the second transaction of a new owner's roster fail.
// Whatever has been stored, no worker of the earlier roster that is still in use may be
// missing.
func TestRosterAfterPartialWrite(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	tbl := newFakeTable()
	done, err := startStore(t, tbl).Write(ctx, record.OwnerWrite{Record: elect.Record{Holder: "x", Epoch: 1}, Roster: rosterOf(numbersTo(6000)...)})
	is.NoErr(err)
	s := startStore(t, tbl)
	done, err = s.Write(ctx, record.OwnerWrite{Record: elect.Record{Holder: "y", Epoch: 2}, Version: done.Version})
	is.NoErr(err)
	_, err = s.Load(ctx, budget.New(0, 0))
	is.NoErr(err)
	var kept []int
	for i := range 6000 {
		if i%3 != 0 {
			kept = append(kept, i)
		}
	}
	tbl.failAfter = tbl.writes + 1
	write := record.OwnerWrite{Record: elect.Record{Holder: "y", Epoch: 2, WriteNumber: 2}, Version: done.Version, Roster: rosterOf(kept...)}
	_, err = s.Write(ctx, write)
	var unanswered *table.UnansweredError
	is.True(errors.As(err, &unanswered)) // the ownership record has a new version
	snapshot, err := s.Load(ctx, budget.New(0, 0))
	is.NoErr(err)
	stored := core.NewSet[core.WorkerID]()
	for _, w := range snapshot.Roster {
		stored.Add(w.ID())
	}
	for _, w := range write.Roster {
		is.True(stored.Has(w.ID()))
	}
	tbl.failAfter = 0
	obs, err := s.OwnerRecord(ctx)
	is.NoErr(err)
	write.Version = obs.Version
	_, err = s.Write(ctx, write)
	is.NoErr(err)
	snapshot, err = s.Load(ctx, budget.New(0, 0))
	is.NoErr(err)
	is.Equal(len(snapshot.Roster), 4000)
}

// TestClearedMarkIsWritten guards against a roster whose entries go on naming the epoch of an
// owner that was not settled, since nothing else in their rows has changed.
func TestClearedMarkIsWritten(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := startStore(t, newFakeTable())
	roster := rosterOf(1, 2)
	roster[1].Since = 2
	done, err := s.Write(ctx, record.OwnerWrite{Record: elect.Record{Holder: "x", Epoch: 2}, Roster: roster})
	is.NoErr(err)
	roster = rosterOf(1, 2)
	_, err = s.Write(ctx, record.OwnerWrite{Record: elect.Record{Holder: "x", Epoch: 2}, Version: done.Version, Roster: roster})
	is.NoErr(err)
	snapshot, err := s.Load(ctx, budget.New(0, 0))
	is.NoErr(err)
	for _, e := range snapshot.Roster {
		is.Equal(e.Since, core.Epoch(0))
	}
}

// TestDamagedRoster guards against a row of the roster that cannot be decoded and keeps
// every owner from loading the stored state for ever. The other rows are read, and the
// next write replaces the row.
func TestDamagedRoster(t *testing.T) {
	for name, row := range map[string]string{"the first row": "roster/0000", "another row": "roster/0001"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			tbl := newFakeTable()
			done, err := startStore(t, tbl).Write(ctx, record.OwnerWrite{Record: elect.Record{Holder: "x", Epoch: 1}, Roster: rosterOf(numbersTo(150)...)})
			is.NoErr(err)
			k := table.Key{Table: "fleet", Part: "fleet", Name: row}
			tbl.rows[k] = table.Row{Key: k, Val: []byte(`{"Pages":"three"}`), Version: tbl.rows[k].Version}
			s := startStore(t, tbl)
			snap, err := s.Load(ctx, budget.New(0, 0))
			is.NoErr(err)
			is.Equal(len(snap.RosterErrors), 1)
			is.Equal(len(snap.Roster), 150-64)
			_, err = s.Write(ctx, record.OwnerWrite{Record: elect.Record{Holder: "y", Epoch: 2}, Version: done.Version, Roster: rosterOf(numbersTo(150)...)})
			is.NoErr(err)
			snap, err = startStore(t, tbl).Load(ctx, budget.New(0, 0))
			is.NoErr(err)
			is.Equal(len(snap.RosterErrors), 0)
			is.Equal(len(snap.Roster), 150)
		})
	}
}
