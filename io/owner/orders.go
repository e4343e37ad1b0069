package owner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryturn/core/fleet"
	"chicoryturn/io/clock"
)

// orderAge is how long after its decision an order may still be sent, suspensions
// and stops of the process included: goroutines start within a few ms, and an
// owner that was stopped may have been replaced.
const orderAge = 300 * time.Millisecond

// dispatch sends orders, each on a goroutine of its own.
func (o *Owner) dispatch(orders []fleet.Order) {
	decided := clock.BootTime()
	for _, ord := range orders {
		o.call(func(ctx context.Context) func(*Owner, time.Time) {
			sent := time.Now()
			if clock.BootTime()-decided > orderAge {
				return o.answered(ord, sent, fleet.RunLists{}, fleet.ReplyNotSent, nil)
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
			o.meter.Call(kinds[ord.Kind], r.String(), time.Since(sent))
			return o.answered(ord, sent, lists, r, err)
		})
	}
}

var kinds = map[fleet.OrderKind]string{fleet.OrderStart: "start", fleet.OrderStop: "stop", fleet.OrderHeartbeat: "hold"}

// answered returns what to do with the outcome of an order.
func (o *Owner) answered(ord fleet.Order, sent time.Time, l fleet.RunLists, r fleet.Reply, err error) func(*Owner, time.Time) {
	return func(o *Owner, now time.Time) {
		if o.board == nil || o.board.Epoch() != ord.Epoch {
			return
		}
		if err != nil {
			o.log.WithError(err).WithFields(logrus.Fields{"worker": ord.Worker, "order": kinds[ord.Kind], "reply": r.String()}).Warn("order not confirmed")
		}
		switch {
		case r == fleet.ReplyFenced:
			o.deposed(now, "worker "+string(ord.Worker)+" knows a later owner")
			return
		case ord.Kind == fleet.OrderStart:
			o.board.StartAnswered(now, ord.Worker, ord.Task, ord.Run, r)
		case ord.Kind == fleet.OrderStop:
			o.board.StopAnswered(now, ord.Worker, ord.Task, ord.Run, r)
		case r == fleet.ReplyOK:
			o.board.HeartbeatAnswered(now, ord.Worker, sent, l)
			o.checkRoster()
		case r == fleet.ReplyOtherIncarnation:
			o.board.IncarnationEnded(now, ord.Worker)
		default:
			o.board.HeartbeatFailed(now, ord.Worker)
		}
		if o.board.UnknownJobSeen() {
			o.nextNews = now
		}
		o.soon(now)
	}
}
