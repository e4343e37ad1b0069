package owner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryturn/core/board"
	"chicoryturn/io/clock"
)

// orderAge is how long after its decision an order may still be sent, suspensions
// and stops of the process included: goroutines start within a few ms, and an
// owner that was stopped may have been replaced.
const orderAge = 300 * time.Millisecond

// dispatch sends orders, each on a goroutine of its own.
func (o *Owner) dispatch(orders []board.Order) {
	decided := clock.Counting()
	for _, ord := range orders {
		o.call(func(ctx context.Context) func(*Owner, time.Time) {
			sent := time.Now()
			if clock.Counting()-decided > orderAge {
				return o.answered(ord, sent, board.Lists{}, board.ReplyUnsent, nil)
			}
			var lists board.Lists
			var r board.Reply
			var err error
			switch ord.Kind {
			case board.OrderStart:
				r, err = o.workers.Start(ctx, ord)
			case board.OrderStop:
				r, err = o.workers.Stop(ctx, ord)
			case board.OrderHold:
				lists, r, err = o.workers.Hold(ctx, ord)
			}
			o.meter.Call(kinds[ord.Kind], r.String(), time.Since(sent))
			return o.answered(ord, sent, lists, r, err)
		})
	}
}

var kinds = map[board.OrderKind]string{board.OrderStart: "start", board.OrderStop: "stop", board.OrderHold: "hold"}

// answered returns what to do with the outcome of an order.
func (o *Owner) answered(ord board.Order, sent time.Time, l board.Lists, r board.Reply, err error) func(*Owner, time.Time) {
	return func(o *Owner, now time.Time) {
		if o.board == nil || o.board.Epoch() != ord.Epoch {
			return
		}
		if err != nil {
			o.log.WithError(err).WithFields(logrus.Fields{"worker": ord.Worker, "order": kinds[ord.Kind], "reply": r.String()}).Warn("order not confirmed")
		}
		switch {
		case r == board.ReplyFenced:
			o.deposed(now, "worker "+string(ord.Worker)+" knows a later owner")
			return
		case ord.Kind == board.OrderStart:
			o.board.Started(now, ord.Worker, ord.Task, ord.Run, r)
		case ord.Kind == board.OrderStop:
			o.board.Stopped(now, ord.Worker, ord.Task, ord.Run, r)
		case r == board.ReplyDone:
			o.board.Held(now, ord.Worker, sent, l)
			o.checkRoster()
		case r == board.ReplyStranger:
			o.board.Replaced(now, ord.Worker)
		default:
			o.board.Silent(now, ord.Worker)
		}
		if o.board.Missed() {
			o.nextNews = now
		}
		o.soon(now)
	}
}
