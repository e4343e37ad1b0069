package owner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryturn/core/fleet"
	"chicoryturn/io/clock"
	"chicoryturn/io/guard"
)

// maxOrderAge is the longest time between the decision on an order and its
// sending, including time during which the machine was suspended or the process
// was stopped. Goroutines start within a few ms, so an older order means that the
// process did not run and may have been replaced as the owner.
const maxOrderAge = 300 * time.Millisecond

// dispatch sends each order on a separate goroutine.
func (o *Owner) dispatch(orders []fleet.Order) {
	decided := clock.BootTime()
	for _, ord := range orders {
		o.async(func(ctx context.Context) func(*Owner, time.Time) {
			sent := time.Now()
			if clock.BootTime()-decided > maxOrderAge {
				return o.replyHandler(ord, sent, fleet.RunLists{}, fleet.ReplyNotSent, nil)
			}
			var lists fleet.RunLists
			// A panic leaves open what the worker does.
			r := fleet.ReplyUnanswered
			err := guard.Do(func() (err error) {
				switch ord.Kind {
				case fleet.OrderStart:
					r, err = o.workers.Start(ctx, ord)
				case fleet.OrderStop:
					r, err = o.workers.Stop(ctx, ord)
				case fleet.OrderHeartbeat:
					lists, r, err = o.workers.Heartbeat(ctx, ord)
				}
				return err
			})
			o.meter.Call(callNames[ord.Kind], r.String(), time.Since(sent))
			return o.replyHandler(ord, sent, lists, r, err)
		})
	}
}

// callNames holds the values of the metric label "call" and of the log field
// "order".
var callNames = map[fleet.OrderKind]string{fleet.OrderStart: "start", fleet.OrderStop: "stop", fleet.OrderHeartbeat: "hold"}

// replyHandler returns the function that applies the outcome of an order to the
// scheduler. It discards outcomes of orders from another epoch.
func (o *Owner) replyHandler(ord fleet.Order, sent time.Time, lists fleet.RunLists, r fleet.Reply, err error) func(*Owner, time.Time) {
	return func(o *Owner, now time.Time) {
		if o.scheduler == nil || o.scheduler.Epoch() != ord.Epoch {
			return
		}
		if err != nil {
			o.log.WithError(err).WithFields(logrus.Fields{"worker": ord.Worker, "order": callNames[ord.Kind], "reply": r.String(), "epoch": ord.Epoch}).Warn("order not confirmed")
		}
		if r == fleet.ReplyOtherIncarnation {
			o.scheduler.IncarnationEnded(now, ord.Info)
		}
		switch {
		case r == fleet.ReplyFenced:
			o.stepDown(now, "worker "+string(ord.Worker)+" has seen a later owner")
			return
		case ord.Kind == fleet.OrderStart:
			o.scheduler.StartAnswered(now, ord.Worker, ord.Task, ord.Run, r)
		case ord.Kind == fleet.OrderStop:
			o.scheduler.StopAnswered(now, ord.Worker, ord.Task, ord.Run, r)
		case r == fleet.ReplyOK:
			o.scheduler.HeartbeatAnswered(now, ord.Worker, sent, lists)
			o.stageRoster()
		default:
			o.scheduler.HeartbeatFailed(now, ord.Worker)
		}
		if o.scheduler.UnknownJobSeen() {
			o.nextChangesRead = now
		}
		o.tickSoon(now)
	}
}
