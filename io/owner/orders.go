package owner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryturn/core/fleet"
	"chicoryturn/io/clock"
)

// maxOrderAge is how long after its decision an order may still be sent, suspensions
// and stops of the process included: goroutines start within a few ms, and an
// owner that was stopped may have been replaced.
const maxOrderAge = 300 * time.Millisecond

// dispatch sends orders, each on a goroutine of its own.
func (o *Owner) dispatch(orders []fleet.Order) {
	decided := clock.BootTime()
	for _, ord := range orders {
		o.async(func(ctx context.Context) func(*Owner, time.Time) {
			sent := time.Now()
			if clock.BootTime()-decided > maxOrderAge {
				return o.replyHandler(ord, sent, fleet.RunLists{}, fleet.ReplyNotSent, nil)
			}
			var lists fleet.RunLists
			var r fleet.Reply
			var err error
			switch ord.Kind {
			case fleet.OrderStart:
				r, err = o.workers.Start(ctx, ord)
			case fleet.OrderStop:
				r, err = o.workers.Stop(ctx, ord)
			case fleet.OrderHeartbeat:
				lists, r, err = o.workers.Heartbeat(ctx, ord)
			}
			o.meter.Call(callNames[ord.Kind], r.String(), time.Since(sent))
			return o.replyHandler(ord, sent, lists, r, err)
		})
	}
}

var callNames = map[fleet.OrderKind]string{fleet.OrderStart: "start", fleet.OrderStop: "stop", fleet.OrderHeartbeat: "hold"}

// replyHandler returns what to do with the outcome of an order.
func (o *Owner) replyHandler(ord fleet.Order, sent time.Time, l fleet.RunLists, r fleet.Reply, err error) func(*Owner, time.Time) {
	return func(o *Owner, now time.Time) {
		if o.scheduler == nil || o.scheduler.Epoch() != ord.Epoch {
			return
		}
		if err != nil {
			o.log.WithError(err).WithFields(logrus.Fields{"worker": ord.Worker, "order": callNames[ord.Kind], "reply": r.String()}).Warn("order not confirmed")
		}
		switch {
		case r == fleet.ReplyFenced:
			o.stepDown(now, "worker "+string(ord.Worker)+" knows a later owner")
			return
		case ord.Kind == fleet.OrderStart:
			o.scheduler.StartAnswered(now, ord.Worker, ord.Task, ord.Run, r)
		case ord.Kind == fleet.OrderStop:
			o.scheduler.StopAnswered(now, ord.Worker, ord.Task, ord.Run, r)
		case r == fleet.ReplyOK:
			o.scheduler.HeartbeatAnswered(now, ord.Worker, sent, l)
			o.stageRoster()
		case r == fleet.ReplyOtherIncarnation:
			o.scheduler.IncarnationEnded(now, ord.Worker)
		default:
			o.scheduler.HeartbeatFailed(now, ord.Worker)
		}
		if o.scheduler.UnknownJobSeen() {
			o.nextChangesRead = now
		}
		o.tickSoon(now)
	}
}
