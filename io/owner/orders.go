package owner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryturn/core/fleet"
	"chicoryturn/core/lanes"
	"chicoryturn/io/clock"
	"chicoryturn/io/guard"
	"chicoryturn/io/timer"
)

// maxOrderAge is the longest time between an order's turn and the beginning of its
// sending, including time during which the machine was suspended or the process
// was stopped. Goroutines start within a few ms, so an older order means that the
// process did not run and may have been replaced as the owner.
const maxOrderAge = 300 * time.Millisecond

// lateStart is the time from the decision on a start to its sending, and from there to the
// answer, from which on its answer is logged.
const lateStart = 200 * time.Millisecond

// outcome is what became of an order.
type outcome struct {
	// sentAt is when the order was sent, delay the time from the decision until then, took
	// the time from then to the answer. The delay includes suspensions of the VM.
	sentAt      time.Time
	delay, took time.Duration
	lists       fleet.RunLists
	reply       fleet.Reply
	err         error
}

// dispatch sends heartbeats and queues starts and stops, which were decided at the given boot
// time.
func (o *Owner) dispatch(orders []fleet.Order, decided time.Duration) {
	launched := clock.BootTime()
	for _, ord := range orders {
		o.permitOrder(ord, decided)
		e := lanes.Entry{Order: ord, Decided: decided}
		if ord.Kind == fleet.OrderHeartbeat {
			o.launch(e, nil, launched)
		} else {
			o.lanes.Add(e)
		}
	}
}

// sendQueued sends the orders whose turn has come. Those that no longer hold end unsent.
func (o *Owner) sendQueued(now time.Time) {
	entries := o.lanes.Next(now)
	if len(entries) == 0 {
		return
	}
	launched := clock.BootTime()
	for _, e := range entries {
		p := o.permits[e.Task]
		if p != nil && p.run != e.Run {
			// It is that of another run.
			p = nil
		}
		switch {
		case e.Kind == fleet.OrderStop:
			o.launch(e, nil, launched)
		case p == nil || p.used.Load():
			out := outcome{sentAt: now, delay: launched - e.Decided, reply: fleet.ReplyNotSent, err: &WithdrawnError{}}
			replyHandler(e.Order, p, nil, out)(o, now)
		default:
			o.launch(e, p, launched)
		}
	}
}

// launch sends an order on a goroutine of its own. P is the permit of a start. Launched is the boot
// time at which the turn of this order, and of others, has come: reading it is a system call.
func (o *Owner) launch(e lanes.Entry, p *permit, launched time.Duration) {
	o.async(func(ctx context.Context) func(*Owner, time.Time) {
		begins := clock.BootTime()
		out := outcome{sentAt: time.Now(), delay: begins - e.Decided, reply: fleet.ReplyNotSent}
		if begins-launched > maxOrderAge {
			return replyHandler(e.Order, p, nil, out)
		}
		var call *heartbeatCall
		if e.Kind == fleet.OrderHeartbeat {
			var wait *timer.Wait[*heartbeatCall]
			ctx, call, wait = o.watchHeartbeat(ctx, e.Order)
			defer call.cancel()
			defer wait.Stop()
		}
		o.send(ctx, e.Order, p, &out)
		return replyHandler(e.Order, p, call, out)
	})
}

// WithdrawnError reports a start that was withdrawn while it was queued.
type WithdrawnError struct{}

// Error implements error.
func (*WithdrawnError) Error() string { return "withdrawn before its turn" }

// send sends an order and fills in its outcome. P is the permit of a start.
func (o *Owner) send(ctx context.Context, ord fleet.Order, p *permit, out *outcome) {
	// A panic leaves open what the worker does.
	out.reply = fleet.ReplyUnanswered
	out.err = guard.Do(func() (err error) {
		switch ord.Kind {
		case fleet.OrderStart:
			out.reply, err = o.workers.Start(ctx, ord, p.take)
		case fleet.OrderStop:
			out.reply, err = o.workers.Stop(ctx, ord)
		case fleet.OrderHeartbeat:
			out.lists, out.reply, err = o.workers.Heartbeat(ctx, ord)
		}
		return err
	})
	out.took = time.Since(out.sentAt)
	if p != nil && out.reply == fleet.ReplyUnanswered && p.withdraw() {
		out.reply = fleet.ReplyNotSent
	}
	o.meter.Call(callNames[ord.Kind], out.reply.String(), out.took)
	if p == nil {
		return
	}
	if delay := time.Duration(p.delay.Load()); delay > 0 {
		out.took -= delay - out.delay
		out.delay = delay
	}
}

// callNames holds the values of the metric label "call" and of the log field
// "order".
var callNames = map[fleet.OrderKind]string{fleet.OrderStart: "start", fleet.OrderStop: "stop", fleet.OrderHeartbeat: "hold"}

// replyHandler returns the function that applies the outcome of an order to the
// scheduler. It discards outcomes of orders from another epoch. P is the permit of a start,
// call a heartbeat that was sent.
func replyHandler(ord fleet.Order, p *permit, call *heartbeatCall, out outcome) func(*Owner, time.Time) {
	return func(o *Owner, now time.Time) {
		overdue := call != nil && o.heartbeatEnded(call)
		if p != nil && o.permits[ord.Task] == p {
			delete(o.permits, ord.Task)
		}
		isCurrent := o.scheduler != nil && o.scheduler.Epoch() == ord.Epoch
		o.logOutcome(ord, out, isCurrent)
		if !isCurrent {
			return
		}
		if ord.Kind != fleet.OrderHeartbeat {
			o.lanes.Done(ord, out.reply, out.took)
		}
		if out.reply == fleet.ReplyOtherIncarnation {
			o.scheduler.IncarnationEnded(now, ord.Info)
		}
		switch {
		case out.reply == fleet.ReplyFenced:
			o.stepDown(now, "worker "+string(ord.Worker)+" has seen a later owner")
			return
		case ord.Kind == fleet.OrderStart:
			o.scheduler.StartAnswered(now, ord.Worker, ord.Task, ord.Run, out.reply)
		case ord.Kind == fleet.OrderStop:
			o.scheduler.StopAnswered(now, ord.Worker, ord.Task, ord.Run, out.reply)
		case out.reply == fleet.ReplyOK:
			o.scheduler.HeartbeatAnswered(now, ord.Worker, out.sentAt, out.lists)
			o.stageRoster()
		case !overdue:
			o.scheduler.HeartbeatFailed(now, ord.Worker)
		}
		if o.scheduler.UnknownJobSeen() {
			o.nextChangesRead = now
		}
		o.tickSoon(now)
	}
}

// logOutcome logs the outcome of an order that is not confirmed, and of a start also if it is
// late or if its owner's epoch has ended meanwhile. The other starts have a line for the
// decision alone.
func (o *Owner) logOutcome(ord fleet.Order, out outcome, isCurrent bool) {
	isStart := ord.Kind == fleet.OrderStart
	switch {
	case !isStart && out.err != nil && isCurrent:
		o.outcomeFields(ord, out).WithField("order", callNames[ord.Kind]).Warn("order not confirmed")
	case !isStart:
	case !isCurrent:
		o.outcomeFields(ord, out).Warn("start answered after the end of its epoch")
	case out.reply != fleet.ReplyOK:
		o.outcomeFields(ord, out).Warn("start not confirmed")
	case max(out.delay, out.took) > lateStart:
		o.outcomeFields(ord, out).Info("start confirmed late")
	}
}

// outcomeFields returns a log entry with the fields of an outcome. Most outcomes have no line.
func (o *Owner) outcomeFields(ord fleet.Order, out outcome) *logrus.Entry {
	f := logrus.Fields{"worker": ord.Worker, "epoch": ord.Epoch, "sent": ageText(out.delay), "after": ageText(out.took), "reply": out.reply.String()}
	if !ord.Info.Incarnation.IsZero() {
		f["incarnation"] = ord.Info.Incarnation.UnixMilli()
	}
	if ord.Kind != fleet.OrderHeartbeat {
		f["job"], f["task"], f["run"] = ord.Task.Job, ord.Task.String(), ord.Run
	}
	if out.err != nil {
		f[logrus.ErrorKey] = out.err
	}
	return o.log.WithFields(f)
}
