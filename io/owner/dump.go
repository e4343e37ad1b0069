package owner

import (
	"context"
	"time"

	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
)

// Dump is the control state as operators read it.
type Dump struct {
	// State is the state of the leader election, Record the ownership record as last
	// seen, and Version the version of that record.
	State   string
	Record  elect.Record `json:"Seat"`
	Version uint64
	// ClaimReason and ClaimAge are why this process could claim the record last, and how
	// old the record was that it replaced; empty before its first claim.
	ClaimReason elect.ClaimReason `json:",omitempty"`
	ClaimAge    string            `json:",omitempty"`
	Draining    bool              `json:"Leaving"`
	// AdviceLoad is the expected duration of the advice requests in flight on each
	// VM.
	AdviceLoad map[string]string `json:"Calls"`
	Scheduler  *fleet.Dump       `json:"Board,omitempty"`
}

// Dump returns the control state.
func (o *Owner) Dump(ctx context.Context) (Dump, error) {
	return query(ctx, o, func(o *Owner, _ time.Time) Dump {
		d := Dump{State: o.election.State(), Draining: o.draining, AdviceLoad: map[string]string{}}
		d.Record, d.Version = o.election.Record()
		if c := o.election.Claim(); c.Reason != "" {
			d.ClaimReason, d.ClaimAge = c.Reason, ageText(c.RecordAge)
		}
		for name, s := range o.peers.byName {
			d.AdviceLoad[name] = s.load.String()
		}
		if o.scheduler != nil {
			d.Scheduler = o.scheduler.Dump()
		}
		return d
	})
}
