package load

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"chicoryturn/core"
)

// Reason is why a job is accepted or refused.
type Reason string

// The reasons for a decision.
const (
	// NoEstimate means that the owner has told of no wait, or nothing is predicted of such a job.
	NoEstimate Reason = "none"
	// Stale means that the owner's summary is too old.
	Stale Reason = "stale"
	// InTime means that the job may end while it is useful.
	InTime Reason = "in-time"
	// Room means that room is free that the job may use.
	Room Reason = "room"
	// QueueBehind means that the work of the queue and those before it takes too long, TeamBehind that
	// of the team under its limit. Such jobs are refused.
	QueueBehind Reason = "queue"
	TeamBehind  Reason = "team"
)

// Decision is a decision on a job with what it rests on.
type Decision struct {
	Reason Reason
	// Retry is the time after which the client of a refused job should return.
	Retry time.Duration
	// Wait is the estimate of the time to the first start, Slack how long the job may wait
	// and end while it is useful, Age the age of the estimate. All are 0 without an estimate.
	Wait, Slack, Age time.Duration
}

// Refused reports whether the job is refused.
func (d Decision) Refused() bool { return d.Reason == QueueBehind || d.Reason == TeamBehind }

// Door decides on one VM which jobs are accepted. Times are those of a clock that counts
// suspensions of the VM.
type Door struct {
	// summary is the owner's last summary, observed first at observedAt; nil if there is none.
	summary    *Summary
	observedAt time.Duration
	// paused is set after a pause until a summary has been observed.
	paused bool
	// accepted is the work of the jobs that this VM has accepted since, by line.
	accepted map[queue]Amount
	// thresholds holds, by line, which jobs are refused.
	thresholds map[queue]threshold
}

// line names a line of a summary; team is empty for that of a queue.
type line struct {
	team  core.Team
	queue core.Queue
}

// queue names those who wait by a line: narrow work or gangs.
type queue struct {
	line
	gang bool
}

// threshold is the slack below which jobs are refused. It follows the wait with hysteresis: it rises
// when the wait is above beginLevel times it, and falls when that is below endLevel times it. So once a
// job was refused, one like it is accepted only when the wait has fallen by a fifth.
type threshold time.Duration

// follow returns the threshold at a new wait.
func (t threshold) follow(wait time.Duration) threshold {
	return min(max(t, threshold(float64(wait)/beginLevel)), threshold(float64(wait)/endLevel))
}

// NewDoor returns a door without a summary, which accepts all jobs.
func NewDoor() *Door { return &Door{accepted: map[queue]Amount{}, thresholds: map[queue]threshold{}} }

// Observe handles the summary in a version of the ownership record; nil if the owner tells of no
// wait. Several versions may hold the same summary.
func (d *Door) Observe(now time.Duration, s *Summary) {
	if s != nil && d.summary != nil && s.Made.Equal(d.summary.Made) {
		return
	}
	d.summary, d.observedAt = s, now
	clear(d.accepted)
	if s == nil {
		clear(d.thresholds)
		return
	}
	if d.paused {
		d.paused, d.observedAt = false, now-staleAfter-1
		return
	}
	for q, t := range d.thresholds {
		found, ok := s.line(q.line)
		if t = t.follow(found.Wait(q.gang)); ok && t > 0 {
			d.thresholds[q] = t
		} else {
			delete(d.thresholds, q)
		}
	}
}

// Paused drops the summary after a pause of the process. The next one may have been read before
// the pause, and counts as stale.
func (d *Door) Paused() { d.summary, d.paused = nil, true }

func (s *Summary) line(l line) (Line, bool) {
	if l.team != "" {
		found, ok := s.Teams[l.team][l.queue]
		return found, ok
	}
	found, ok := s.Queues[l.queue]
	return found, ok
}

// Accepted records that a job has been stored. The owner counts no work of jobs of which nothing
// is predicted.
func (d *Door) Accepted(j Job) {
	if d.summary == nil || j.Useful <= 0 {
		return
	}
	for _, l := range []line{{"", j.Queue}, {j.Team, j.Queue}} {
		if _, ok := d.summary.line(l); ok {
			q := queue{l, j.Wide.Cores > 0}
			d.accepted[q] = d.accepted[q].Add(j.Work)
		}
	}
}

// Decide decides on a job. Wall is the time of day, by which the turns of wide gangs change.
func (d *Door) Decide(now time.Duration, wall time.Time, j Job) Decision {
	if d.summary == nil || j.Useful <= 0 {
		return Decision{Reason: NoEstimate}
	}
	out := Decision{Reason: NoEstimate, Age: now - d.observedAt}
	if out.Age > staleAfter {
		out.Reason = Stale
		return out
	}
	for _, l := range []line{{j.Team, j.Queue}, {"", j.Queue}} {
		found, ok := d.summary.line(l)
		if !ok {
			continue
		}
		found.Ahead = found.Ahead.Add(d.accepted[queue{l, false}])
		found.Gangs = found.Gangs.Add(d.accepted[queue{l, true}])
		out = d.decideLine(out, l, found, j, wall)
		if out.Refused() {
			return out
		}
	}
	return out
}

// decideLine decides on a job by one line.
func (d *Door) decideLine(out Decision, l line, found Line, j Job, wall time.Time) Decision {
	q := queue{l, found.standsBehind(j)}
	out.Wait, out.Slack = found.Wait(q.gang), found.slack(j, wall)
	t := d.thresholds[q].follow(out.Wait)
	d.thresholds[q] = t
	out.Reason = InTime
	switch {
	case out.Slack >= time.Duration(t):
		return out
	case d.hasRoom(l, found, j):
		out.Reason = Room
		return out
	}
	out.Reason = QueueBehind
	if l.team != "" {
		out.Reason = TeamBehind
	}
	out.Retry = retryAfter(out.Wait-time.Duration(endLevel*float64(out.Slack)), j.ID)
	return out
}

// slack returns how long the job may wait for its first start and end while it is useful.
func (l Line) slack(j Job, wall time.Time) time.Duration {
	ratio := 1.0
	if l.Ratio > 0 {
		ratio = min(max(l.Ratio, minRatio), maxRatio)
	}
	slack := j.Useful - time.Duration(ratio*float64(j.Run))
	if !hasTurn(j.ID, wall) {
		slack -= l.Gather(j.Wide)
	}
	return max(slack, j.Useful/minSlackDivisor)
}

// hasTurn reports whether a gang is judged by the work in front of it alone. Its width would
// otherwise shut it out for as long as narrower jobs keep the wait near the level of refusal. In each
// turnTime, half of all jobs have their turn.
func hasTurn(id core.JobID, wall time.Time) bool {
	return hash(id, uint64(wall.Unix())/uint64(turnTime/time.Second))&1 == 0
}

// hasRoom reports whether room is free that the job may use and that no work in front of it would
// take.
func (d *Door) hasRoom(l line, found Line, j Job) bool {
	if l.team != "" {
		for _, x := range [][4]int64{
			{found.Room.Cores, found.Free.Cores, found.Waiting.Cores, j.Need.Cores}, {found.Room.Memory, found.Free.Memory, found.Waiting.Memory, j.Need.Memory},
		} {
			if x[0] > 0 && x[3] > 0 && x[1] < x[2]+x[3]*int64(j.Together) {
				return false
			}
		}
		return true
	}
	slots, known := d.summary.Idle[j.Service].Count(j.Need, found.Waiting)
	return !known || slots >= j.Together
}

// retryAfter returns the time after which the client of a job should return if the wait must fall
// by excess. Work in front is done as time passes; a hash of the ID spreads the clients over as long
// again, so that they neither return together nor all before there is room.
func retryAfter(excess time.Duration, id core.JobID) time.Duration {
	base := min(max(excess, MinRetry), maxReturn)
	spread := max(base, minSpread)
	return base + time.Duration(float64(spread)*(float64(hash(id, 0))/math.MaxUint64))
}

// hash returns a hash of a job's ID and a salt.
func hash(id core.JobID, salt uint64) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(id), salt))
}
