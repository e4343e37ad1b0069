// Package rank orders work that waits for room. When there is too little, what comes last is
// what costs clients least, by its deadline, its priority, its team's share and the room that it takes.
package rank

import (
	"cmp"
	"math"
	"time"
)

// Class says what the end of a job is still worth to its client.
type Class uint8

// The classes, the most urgent first.
const (
	// OnTime means that the job can end by its deadline.
	OnTime Class = iota
	// Late means that its end can still be of use.
	Late
	// Useless means that it ends too late to be of use. It runs all the same, since it was
	// accepted.
	Useless
)

// Claim is what the place of a phase depends on.
type Claim struct {
	// Ends is when its job is expected to end if the phase starts now.
	Ends time.Time
	// Deadline is when its job must end to be on time, UsefulUntil to be of any use.
	Deadline, UsefulUntil time.Time
	// Priority is that of its queue; 0 comes first.
	Priority int
	// Surplus is set if its team has submitted the job in excess of its share.
	Surplus bool
	// Work is what the tasks that have not succeeded take, in core-seconds.
	Work float64
}

// Key is the place of a claim in the order.
type Key struct {
	class    Class
	priority int
	surplus  bool
	// size is the power of two of the work. Predictions change a little all the time, which must
	// not change the order of like jobs.
	size  int
	slack time.Duration
}

// Key returns the place of the claim.
func (c Claim) Key() Key {
	k := Key{class: Useless, priority: c.Priority, surplus: c.Surplus, slack: c.Deadline.Sub(c.Ends)}
	if c.Work > 1 {
		k.size = int(math.Log2(c.Work))
	}
	switch {
	case !c.Ends.After(c.Deadline):
		k.class = OnTime
	case !c.Ends.After(c.UsefulUntil):
		k.class = Late
	}
	return k
}

// Compare returns a negative number if k comes before o. Of work of one class, priority and
// surplus the smaller comes first, since the same room then lets more jobs end on time, and of equal
// sizes that which must start first.
func (k Key) Compare(o Key) int {
	if c := cmp.Compare(k.class, o.class); c != 0 {
		return c
	}
	if c := cmp.Compare(k.priority, o.priority); c != 0 {
		return c
	}
	if k.surplus != o.surplus {
		if o.surplus {
			return -1
		}
		return 1
	}
	if c := cmp.Compare(k.size, o.size); c != 0 {
		return c
	}
	return cmp.Compare(k.slack, o.slack)
}
