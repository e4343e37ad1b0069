package record_test

import (
	"context"
	"fmt"
	"math"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core/budget"
	"chicoryturn/io/adapt"
	"chicoryturn/io/record"
	"chicoryturn/io/table"
)

const (
	// linkBytes is what a link of 10 Mbit/s carries in a second.
	linkBytes = 10e6 / 8
	// linkSegment is the unit in which the answers on a link take turns.
	linkSegment = 1460
	// linkReadTimeout is after how long the platform's client ends a read.
	linkReadTimeout = 1500 * time.Millisecond
	// valueOverhead is by how much a row's value is longer on the wire.
	valueOverhead = 4.0 / 3
)

// slowLink is a table whose answers to reads share a link of 10 Mbit/s. As through package
// relay, a read that its caller has given up goes on, and reports its late answer.
type slowLink struct {
	*fakeTable
	// busy holds a token while a segment is on the link.
	busy chan struct{}
	// latency is added to each read.
	latency time.Duration
}

// newSlowLink returns a table for use in a bubble of synctest, in which time stands still after
// the test.
func newSlowLink(t *testing.T, tbl *fakeTable) *slowLink {
	t.Helper()
	t.Cleanup(func() { time.Sleep(2 * linkReadTimeout) })
	return &slowLink{fakeTable: tbl, busy: make(chan struct{}, 1)}
}

func (l *slowLink) Read(ctx context.Context, r table.Range) (table.Page, error) {
	began := time.Now()
	type answer struct {
		page table.Page
		err  error
	}
	answered := make(chan answer, 1)
	go func() {
		page, err := l.fakeTable.Read(ctx, r)
		size := 0.0
		for _, row := range page.Rows {
			size += valueOverhead * float64(len(row.Val))
		}
		time.Sleep(l.latency)
		for ; size > 0 && time.Since(began) < linkReadTimeout; size -= linkSegment {
			l.busy <- struct{}{}
			time.Sleep(time.Duration(float64(time.Second) * linkSegment / linkBytes))
			<-l.busy
		}
		if size > 0 || time.Since(began) >= linkReadTimeout {
			err = &table.UnansweredError{Err: context.DeadlineExceeded}
		}
		if err == nil && ctx.Err() != nil {
			table.ReportLate(ctx, time.Since(began), table.Outcome{Page: &page})
		}
		answered <- answer{page, err}
	}()
	select {
	case a := <-answered:
		return a.page, a.err
	case <-ctx.Done():
		return table.Page{}, &table.UnansweredError{Err: ctx.Err()}
	}
}

// storeJobs stores jobs with a payload of the given size.
func storeJobs(t *testing.T, is *is.I, tbl *fakeTable, n, payload int) {
	t.Helper()
	s := startStore(t, tbl)
	for i := range n {
		spec := newSpec(fmt.Sprint("j", i), "t")
		spec.Payload = strings.Repeat("x", payload)
		is.NoErr(accept(t.Context(), s, spec))
	}
}

// TestLoadOnSlowLink guards against an owner that never finishes its load: the answers that it
// awaits at a time must not take longer on its link than a read may.
func TestLoadOnSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tbl := newFakeTable()
		storeJobs(t, is, tbl, 3000, 3500)
		client := adapt.New(newSlowLink(t, tbl))
		began := time.Now()
		snapshot, err := record.New(client).Load(t.Context(), budget.New(64<<20, 1))
		t.Logf("loaded in %v", time.Since(began))
		is.NoErr(err)
		is.Equal(len(snapshot.Specs), 3000)
		is.True(time.Since(began) < 20*time.Second) // the link needs 11 s for 14 MB
	})
}

// TestLoadFromSlowStore guards against loads that take long because a store that is slow, but not
// by load, is read with few reads at a time.
func TestLoadFromSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tbl := newFakeTable()
		storeJobs(t, is, tbl, 500, 100)
		l := newSlowLink(t, tbl)
		l.latency = 600 * time.Millisecond
		began := time.Now()
		_, err := record.New(adapt.New(l)).Load(t.Context(), budget.New(64<<20, 1))
		t.Logf("loaded in %v", time.Since(began))
		is.NoErr(err)
		is.True(time.Since(began) < 12*time.Second)
	})
}

// flakyTable refuses the first reads of each page.
type flakyTable struct {
	*fakeTable
	refusals int
	mu       sync.Mutex
	reads    map[table.Range]int
}

func (f *flakyTable) Read(ctx context.Context, r table.Range) (table.Page, error) {
	f.mu.Lock()
	f.reads[r]++
	n := f.reads[r]
	f.mu.Unlock()
	if n <= f.refusals {
		return table.Page{}, &table.RefusedError{Status: 503}
	}
	return f.fakeTable.Read(ctx, r)
}

// TestLoadKeepsPages guards against a load that begins anew because of one page: it reads each page
// once without a failure, and a page that always fails ends it.
func TestLoadKeepsPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tbl := newFakeTable()
		storeJobs(t, is, tbl, 500, 100)
		f := &flakyTable{fakeTable: tbl, refusals: 2, reads: map[table.Range]int{}}
		snapshot, err := record.New(f).Load(t.Context(), budget.New(64<<20, 1))
		is.NoErr(err)
		is.Equal(len(snapshot.Specs), 500)
		for _, n := range f.reads {
			is.Equal(n, 3)
		}
		f.refusals = math.MaxInt
		_, err = record.New(f).Load(t.Context(), budget.New(64<<20, 1))
		is.True(record.Refused(err))
	})
}
