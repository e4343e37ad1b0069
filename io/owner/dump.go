package owner

import (
	"context"
	"time"

	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
)

// Dump is the control state for people.
type Dump struct {
	State   string
	Record  elect.Record `json:"Seat"`
	Version uint64
	Leaving bool
	// AdviceLoad is the expected length of the calls for advice that each VM has
	// not answered.
	AdviceLoad map[string]string `json:"Calls"`
	Scheduler  *fleet.Dump       `json:"Board,omitempty"`
}

// Dump returns the control state.
func (o *Owner) Dump(ctx context.Context) (Dump, error) {
	return ask(ctx, o, func(o *Owner, _ time.Time) Dump {
		d := Dump{State: o.reign.State(), Leaving: o.leaving, AdviceLoad: map[string]string{}}
		d.Record, d.Version = o.reign.Record()
		for name, l := range o.peers.byName {
			d.AdviceLoad[name] = l.load.String()
		}
		if o.board != nil {
			d.Scheduler = o.board.Dump()
		}
		return d
	})
}
