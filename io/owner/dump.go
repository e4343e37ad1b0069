package owner

import (
	"context"
	"time"

	"chicoryturn/core/board"
	"chicoryturn/core/reign"
)

// Dump is the control state for people.
type Dump struct {
	State   string
	Seat    reign.Seat
	Version uint64
	Leaving bool
	// Calls is the expected length of the calls for advice that each VM has
	// not answered.
	Calls map[string]string
	Board *board.Dump `json:",omitempty"`
}

// Dump returns the control state.
func (o *Owner) Dump(ctx context.Context) (Dump, error) {
	return ask(ctx, o, func(o *Owner, _ time.Time) Dump {
		d := Dump{State: o.reign.State(), Leaving: o.leaving, Calls: map[string]string{}}
		d.Seat, d.Version = o.reign.Seat()
		for name, l := range o.peers.byName {
			d.Calls[name] = l.load.String()
		}
		if o.board != nil {
			d.Board = o.board.Dump()
		}
		return d
	})
}
