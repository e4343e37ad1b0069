package owner

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryturn/core"
	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
	"chicoryturn/io/clock"
	"chicoryturn/io/record"
	"chicoryturn/io/table"
)

// storeFactor times the way to the store and back is how much later a VM claims:
// each record of an owner takes that way, and reading what is recorded some ten.
// A slow store is no reason to wait beyond storeMost.
const (
	storeFactor = 3
	storeMost   = 300 * time.Millisecond
)

// dropRoom bounds the rows of progress written and dropped in one record; the
// platform takes 100 entries a transaction, with the seat and the roster.
const dropRoom = 80

func isTrimmed(err error) bool {
	var t *table.CompactedError
	return errors.As(err, &t)
}

// look reads the seat: now and then while others own the fleet, and after a
// write of our own without an answer.
func (o *Owner) look(now time.Time) {
	need := !o.reign.IsHolder() || o.reign.MustRead() || o.reign.Suspended()
	if o.reading || o.writing || o.leaving || !need || now.Before(o.nextLook) {
		return
	}
	o.reading = true
	o.call(func(ctx context.Context) func(*Owner, time.Time) {
		began := time.Now()
		l, err := o.vault.OwnerRecord(ctx)
		took := time.Since(began)
		return func(o *Owner, now time.Time) {
			o.reading = false
			o.nextLook = now.Add(elect.ReadInterval)
			if err != nil {
				o.nextLook = now.Add(retryPause)
				o.reign.ReadFailed(now)
				o.log.WithError(err).Warn("seat not read")
				return
			}
			o.looked(now, l, took)
		}
	})
}

func (o *Owner) looked(now time.Time, l elect.Observation, took time.Duration) {
	was := o.reign.IsHolder()
	s := l.Record
	o.reign.SetClaimDelay(o.patience + min(storeFactor*took, storeMost))
	claim := o.reign.Observe(now, l)
	if was && !o.reign.IsHolder() {
		o.dismiss("the seat has another holder")
	}
	o.tellSeat()
	switch {
	case claim:
		o.log.WithFields(logrus.Fields{"epoch": s.Epoch + 1, "last": s.VM, "version": l.Version, "took": took.String()}).Info("claiming the seat")
		o.nextWrite = now
		o.write(now)
	case o.reign.Loading() && !was:
		o.reload()
	case !o.reign.IsHolder() && (s.Holder == "" || o.reign.HolderSuspect()):
		// The seat is free: look again as soon as it may be claimed.
		o.nextLook = now.Add(retryPause)
	}
}

// tellSeat tells the process's other parts who owns the fleet.
func (o *Owner) tellSeat() {
	s, _ := o.reign.Record()
	if s.Holder == o.lastSeat.Holder && s.Epoch == o.lastSeat.Epoch {
		return
	}
	o.lastSeat = s
	o.log.WithFields(logrus.Fields{"epoch": s.Epoch, "owner": s.VM}).Info("owner known")
	o.onSeat(s, o.reign.IsHolder())
}

// OwnerLost has the seat looked at at once, since its holder does not answer;
// over is set if it seems to have ended.
func (o *Owner) OwnerLost(holder core.SessionID, over bool) {
	o.post(func(o *Owner, now time.Time) {
		o.nextLook = now
		o.reign.MarkSuspect(holder)
		if over {
			o.reign.MarkEnded(holder)
		}
	})
}

// OwnerFound tells that the owner answers.
func (o *Owner) OwnerFound() {
	o.post(func(o *Owner, _ time.Time) { o.reign.MarkSuspect("") })
}

// dismiss forgets the board after the seat has been lost.
func (o *Owner) dismiss(why string) {
	if o.board == nil {
		return
	}
	o.log.WithFields(logrus.Fields{"epoch": o.board.Epoch(), "because": why}).Warn("no longer the owner")
	o.board = nil
	o.newRoster, o.rosterVersion, o.drops = nil, 0, nil
	o.meter.Own(false)
	o.peers.forget()
}

// deposed follows the news of a later owner from a worker.
func (o *Owner) deposed(now time.Time, why string) {
	o.reign.Superseded()
	o.dismiss(why)
	o.nextLook = now
}

// yields gives way to a later owner that a job has named, and reports whether it
// has.
func (o *Owner) yields(now time.Time) bool {
	later := o.board.LaterEpoch()
	if later <= o.heeded {
		return false
	}
	o.heeded = later
	o.deposed(now, "a job names a later owner")
	return true
}

// write claims or renews the seat, with the progress that waits.
func (o *Owner) write(now time.Time) {
	if o.writing || o.reading || o.leaving || o.reign.MustRead() || now.Before(o.nextWrite) {
		return
	}
	claiming := o.reign.State() == "claiming"
	if !claiming && !o.reign.IsHolder() {
		return
	}
	seat, version := o.reign.NextRecord(now)
	rec := record.OwnerWrite{Record: seat, Version: version}
	if o.board != nil {
		rec.Progress = o.board.Batch()
		rec.Roster = o.newRoster
		if len(rec.Progress)+len(o.drops) <= dropRoom {
			rec.Deletes = o.drops
		}
	}
	due := claiming || len(rec.Progress) > 0 || len(rec.Deletes) > 0 || rec.Roster != nil || now.Sub(o.wroteAt) >= elect.RenewInterval
	if !due {
		return
	}
	o.writing = true
	epoch, roster := seat.Epoch, o.rosterVersion
	o.call(func(ctx context.Context) func(*Owner, time.Time) {
		began := time.Now()
		done, err := o.vault.Write(ctx, rec)
		took := time.Since(began)
		return func(o *Owner, now time.Time) {
			o.writing = false
			o.meter.Record(len(rec.Progress), took)
			o.wrote(now, rec, roster, done, epoch, err)
		}
	})
}

// wrote follows the outcome of a write; roster is the version of the list of
// workers in it.
func (o *Owner) wrote(now time.Time, rec record.OwnerWrite, roster uint64, done table.Done, epoch core.Epoch, err error) {
	same := o.board != nil && o.board.Epoch() == epoch
	o.nextWrite = now.Add(recordPause)
	var conflict *table.ConflictError
	switch {
	case err == nil:
		was := o.reign.IsHolder()
		o.reign.WriteSucceeded(now, rec.Record, done.Version, done.Now)
		o.wroteAt = now
		o.tellSeat()
		if !was && o.reign.Loading() {
			o.reload()
		}
		if same {
			o.board.BatchStored(now)
			o.rosterWritten(rec.Roster, roster)
			if rec.Deletes != nil {
				o.drops = nil
			}
			o.soon(now)
		}
		return
	case errors.As(err, &conflict):
		// Either another process has the seat or an earlier write of ours, which
		// had no answer, has been carried out late: the row tells.
		o.log.WithError(err).Warn("seat has changed")
		o.reign.WriteUnknown()
		o.nextLook = now
	case record.Refused(err):
		o.log.WithError(err).Warn("record refused")
		o.reign.WriteRefused()
		o.nextWrite = now.Add(retryPause)
	default:
		o.log.WithError(err).Warn("record not confirmed")
		o.reign.WriteUnknown()
		o.nextLook = now
		o.nextWrite = now.Add(retryPause)
	}
	if same {
		// Writing the same progress again does no harm.
		o.board.BatchFailed()
	}
}

// rosterWritten follows the record of a list of workers. One that has changed
// since is still to be recorded.
func (o *Owner) rosterWritten(r []fleet.WorkerInfo, version uint64) {
	if r == nil {
		return
	}
	if version == o.rosterVersion {
		o.newRoster = nil
	}
	o.board.RosterStored(r)
	o.checkRoster()
}

// reload reads all that is recorded, after a claim or when the feed of changes
// has been cut. One reading at a time is enough, and takes seconds on a full
// record.
func (o *Owner) reload() {
	if o.reloading {
		return
	}
	o.reloading = true
	seat, _ := o.reign.Record()
	epoch := seat.Epoch
	o.call(func(ctx context.Context) func(*Owner, time.Time) {
		began := time.Now()
		rec, err := o.vault.Load(ctx)
		took := time.Since(began)
		return func(o *Owner, now time.Time) {
			o.reloading = false
			if !o.reign.IsHolder() {
				return
			}
			if seat, _ := o.reign.Record(); seat.Epoch != epoch {
				o.reload()
				return
			}
			if err != nil {
				o.log.WithError(err).Warn("record not loaded")
				o.loadLater()
				return
			}
			o.loaded(now, reading{epoch, rec, took})
		}
	})
}

// reading is all that is recorded, as an owner under an epoch has read it.
type reading struct {
	epoch core.Epoch
	rec   *record.Snapshot
	took  time.Duration
}

// loadLater repeats a failed load.
func (o *Owner) loadLater() {
	o.call(func(ctx context.Context) func(*Owner, time.Time) {
		if !clock.Sleep(ctx, retryPause) {
			return nil
		}
		return func(o *Owner, _ time.Time) {
			if o.reign.IsHolder() {
				o.reload()
			}
		}
	})
}

func (o *Owner) loaded(now time.Time, r reading) {
	o.unruled = nil
	epoch, rec := r.epoch, r.rec
	if seat, _ := o.reign.Record(); !o.reign.IsHolder() || seat.Epoch != epoch {
		return
	}
	for _, e := range rec.Unread {
		o.log.WithError(e).Error("recorded row left out")
	}
	if o.policy == nil {
		// Without a configuration nothing can be decided. What is recorded
		// meanwhile comes with the news.
		o.unruled = &r
		return
	}
	if o.board == nil {
		var opts []fleet.Option
		if epoch == o.reigned {
			opts = append(opts, fleet.WithLostState())
		}
		o.board, o.reigned = fleet.New(now, epoch, o.limits, o.policy, opts...), epoch
		o.board.Recover(rec.Roster, o.absence.Since())
		o.newRoster, o.rosterVersion = nil, 0
		o.meter.Own(true)
	}
	o.board.Load(now, rec.Specs, rec.Progress)
	for _, id := range rec.Cancelled {
		o.board.Cancel(now, id)
	}
	if o.yields(now) {
		return
	}
	if !o.hostsAt.IsZero() {
		o.board.SetWorkers(now, o.listed)
	}
	o.checkRoster()
	o.newsAfter = rec.Version
	o.nextHosts, o.nextNews, o.nextPlan = now, now, now
	o.reign.StateLoaded()
	o.log.WithFields(logrus.Fields{"epoch": epoch, "jobs": len(rec.Specs), "workers": len(o.listed), "took": r.took.Round(time.Millisecond).String()}).Info("owning the fleet")
	o.onSeat(o.lastSeat, true)
}

// resign frees the seat for another process.
func (o *Owner) resign() {
	if !o.reign.IsHolder() {
		o.reign.Drain()
		close(o.left)
		return
	}
	if o.writing {
		// The write in flight decides the version of the next one.
		o.call(func(ctx context.Context) func(*Owner, time.Time) {
			clock.Sleep(ctx, recordPause)
			return func(o *Owner, _ time.Time) { o.resign() }
		})
		return
	}
	seat, version := o.reign.ResignRecord()
	rec := record.OwnerWrite{Record: seat, Version: version}
	if o.board != nil {
		rec.Progress = o.board.Batch()
	}
	o.writing = true
	o.dismiss("the process is stopping")
	o.call(func(ctx context.Context) func(*Owner, time.Time) {
		_, err := o.vault.Write(ctx, rec)
		return func(o *Owner, _ time.Time) {
			o.writing = false
			o.log.WithField("error", err).Info("seat given up")
			o.reign.Drain()
			o.peers.resigned()
			close(o.left)
		}
	})
}
