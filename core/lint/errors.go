package lint

import (
	"crypto/sha256"
	"fmt"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/policy"
)

const (
	// maxDuration bounds each duration, as in jobs: multiples of it do not overflow.
	maxDuration = 365 * 24 * time.Hour
	// hashBytes is how much of a key's hash is shown: enough to tell keys apart.
	hashBytes = 4
)

// hash names a key in a report without telling it.
func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return fmt.Sprintf("%x", sum[:hashBytes])
}

func (c *checker) findErrors() {
	services := core.NewSet[core.Service]()
	seen := map[Place]int{}
	for i := range c.next.Services {
		s := &c.next.Services[i]
		services.Add(s.Name)
		c.checkName(serviceAt(i, s), seen)
	}
	for i := range c.next.Queues {
		q := &c.next.Queues[i]
		at := queueAt(i, q)
		c.checkName(at, seen)
		c.checkQueue(at, q)
		if !services.Has(q.Service) {
			c.add(Errors, at, "service %q is not defined", q.Service)
		}
	}
	owners := map[string]int{}
	for i := range c.next.Teams {
		t := &c.next.Teams[i]
		at := teamAt(i, t)
		c.checkName(at, seen)
		checkAmount(c, at, "weight", t.Weight)
		checkAmount(c, at, "limit of cores", t.Limit.Cores)
		checkAmount(c, at, "limit of memory", t.Limit.Memory)
		checkAmount(c, at, "limit of accelerators", t.Limit.Accel)
		for _, k := range t.Keys {
			if k == "" {
				c.add(Errors, at, "a key is empty: calls without a key count as calls of this team")
				continue
			}
			if first, ok := owners[k]; ok && first != i {
				c.add(Errors, at, "key %s is also a key of team %d, %q; the last team has it", hash(k), first, c.next.Teams[first].Name)
			}
			owners[k] = i
		}
	}
	b, at := c.next.Bounds, Place{Kind: InLimits}
	checkAmount(c, at, "size of a body", b.MaxBody)
	checkAmount(c, at, "size of the headers", b.MaxHeader)
	c.checkDuration(at, "time for the headers", b.HeaderTimeout)
	c.checkDuration(at, "time of an idle connection", b.IdleTimeout)
}

// checkName checks that an entry has a name that no earlier entry of its list has.
func (c *checker) checkName(at Place, seen map[Place]int) {
	key := Place{Kind: at.Kind, Name: at.Name}
	first, ok := seen[key]
	switch {
	case at.Name == "":
		c.add(Errors, at, "the %s has no name", at.Kind)
	case ok:
		c.add(Errors, at, "%s %d has the same name", at.Kind, first)
	default:
		seen[key] = at.Index
	}
}

func (c *checker) checkQueue(at Place, q *policy.Queue) {
	if q.Attempts < 1 {
		c.add(Errors, at, "attempts %d is below 1", q.Attempts)
	}
	checkAmount(c, at, "priority", q.Priority)
	checkAmount(c, at, "slowdown", q.Slowdown)
	c.checkDuration(at, "target latency", q.Latency)
	c.checkDuration(at, "timeout", q.Timeout)
	if a, ok := q.Advisor.Get(); ok {
		c.checkDuration(at, "time of an advice request", a.Base)
		c.checkDuration(at, "time of an advice request per worker", a.PerWorker)
		c.checkDuration(at, "validity of a ticket", a.TicketTTL)
	}
}

func checkAmount[T int | int64 | float64](c *checker, at Place, name string, amount T) {
	if amount < 0 {
		c.add(Errors, at, "%s %v is negative", name, amount)
	}
}

func (c *checker) checkDuration(at Place, name string, d time.Duration) {
	if d < 0 || d > maxDuration {
		c.add(Errors, at, "%s %s is out of range: 0 to %s", name, d, maxDuration)
	}
}
