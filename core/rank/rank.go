// Package rank orders work that waits for room. When there is too little, what comes last is
// what costs clients least, by its deadline, its priority, its team's share and the room that it takes.
package rank

import (
	"cmp"
	"math"
	"time"
)

// urgentSlack is the slack below which the size of on-time work no longer puts it behind: large
// jobs get their turn before they are late.
const urgentSlack = time.Second

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

// Classes is the number of classes.
const Classes = 3

var classNames = [Classes]string{"on-time", "late", "useless"}

// String returns the name used in logs and metrics.
func (c Class) String() string { return classNames[c] }

// Claim is what the place of a phase in the order depends on.
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

// Class returns what the end of the job is worth if the phase starts now.
func (c Claim) Class() Class {
	switch {
	case !c.Ends.After(c.Deadline):
		return OnTime
	case !c.Ends.After(c.UsefulUntil):
		return Late
	}
	return Useless
}

// Key is the place of a claim in the order.
type Key struct {
	class    Class
	priority int
	surplus  bool
	// relaxed is set for on-time work that need not start within urgentSlack.
	relaxed bool
	// size is the power of two of the work. Predictions change a little all the time, which must
	// not change the order of like jobs.
	size int
	// slack is how long the phase can wait and its job end by its deadline.
	slack time.Duration
}

// Key returns the place of the claim.
func (c Claim) Key() Key {
	k := Key{class: c.Class(), priority: c.Priority, surplus: c.Surplus, slack: c.Deadline.Sub(c.Ends)}
	k.relaxed = k.class == OnTime && k.slack > urgentSlack
	if c.Work > 1 {
		k.size = int(math.Log2(c.Work))
	}
	return k
}

// Class returns the class of the claim.
func (k Key) Class() Class { return k.class }

// Compare returns a negative number if k comes before o. Of work of one class, priority and
// share, that which must start now comes first, then the smaller, since the same room then lets more
// jobs end on time, and of equal sizes that which must start earlier.
func (k Key) Compare(o Key) int {
	if c := cmp.Compare(k.class, o.class); c != 0 {
		return c
	}
	if c := cmp.Compare(k.priority, o.priority); c != 0 {
		return c
	}
	if c := compareFlags(k.surplus, o.surplus); c != 0 {
		return c
	}
	if c := compareFlags(k.relaxed, o.relaxed); c != 0 {
		return c
	}
	if c := cmp.Compare(k.size, o.size); c != 0 {
		return c
	}
	return cmp.Compare(k.slack, o.slack)
}

// compareFlags puts what has no flag first.
func compareFlags(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	}
	return 1
}
