package lint

import (
	"fmt"
	"maps"
	"slices"

	"chicoryturn/core/policy"
)

// Reasons why a change concerns jobs that have been accepted.
const (
	sortsAnew     = "the deadlines and the order of accepted jobs are set anew"
	movesTasks    = "waiting tasks of accepted jobs start on its workers"
	needsAdvice   = "waiting tasks of accepted jobs follow it"
	lowersLimit   = "tasks of accepted jobs wait while the team is above it; active runs continue"
	raisesLimit   = "more tasks of accepted jobs may start"
	keepsLimit    = "its accepted jobs keep its last limit"
	fewerAttempts = "accepted jobs fail at once if a task of theirs has already failed as often"
	moreAttempts  = "tasks of accepted jobs may fail more often"
)

func (c *checker) findChanges(current Config) {
	if c.next.Version != current.Version {
		c.add(Changes, Place{}, "version %d instead of %d", c.next.Version, current.Version)
	}
	pair(c, c.next.Queues, current.Queues, queueAt, c.compareQueue, c.queueRemoved)
	pair(c, c.next.Teams, current.Teams, teamAt, c.compareTeam, func(*policy.Team) string { return keepsLimit })
	pair(c, c.next.Services, current.Services, serviceAt, c.compareService, func(*policy.Service) string { return "" })
	b, old, at := c.next.Bounds, current.Bounds, Place{Kind: InLimits}
	differ(c, at, "size of a body", b.MaxBody, old.MaxBody, "")
	differ(c, at, "size of the headers", b.MaxHeader, old.MaxHeader, "")
	differ(c, at, "time for the headers", b.HeaderTimeout, old.HeaderTimeout, "")
	differ(c, at, "time of an idle connection", b.IdleTimeout, old.IdleTimeout, "")
}

// pair compares the entries of two lists that have the same name, and reports those that only one
// list has. Of several entries with one name the last counts, as in a policy.Policy.
func pair[T any](c *checker, next, current []T, place func(int, *T) Place, compare func(at Place, next, old *T), removed func(old *T) string) {
	byName := func(list []T) map[string]int {
		last := map[string]int{}
		for i := range list {
			last[place(i, &list[i]).Name] = i
		}
		return last
	}
	newest, olds := byName(next), byName(current)
	for _, name := range slices.Sorted(maps.Keys(newest)) {
		i := newest[name]
		if old, ok := olds[name]; ok {
			compare(place(i, &next[i]), &next[i], &current[old])
		} else {
			c.add(Changes, place(i, &next[i]), "added")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(olds)) {
		if _, ok := newest[name]; !ok {
			old := &current[olds[name]]
			c.addChange(place(-1, old), "removed", removed(old))
		}
	}
}

// queueRemoved returns what becomes of the jobs of a queue that is left out.
func (c *checker) queueRemoved(old *policy.Queue) string {
	if c.policy.NamesService(old.Service) {
		return "its accepted jobs keep its terms"
	}
	return fmt.Sprintf("nothing more of its accepted jobs starts, as service %q is left out as well", old.Service)
}

// addChange reports a change; a reason says what it means for accepted jobs.
func (c *checker) addChange(at Place, text, reason string) {
	if reason != "" {
		text += ": " + reason
	}
	c.findings = append(c.findings, Finding{Changes, at, reason != "", text})
}

// differ reports two values that are not the same.
func differ[T comparable](c *checker, at Place, name string, next, old T, reason string) {
	if next != old {
		c.addChange(at, fmt.Sprintf("%s %v instead of %v", name, next, old), reason)
	}
}

func (c *checker) compareQueue(at Place, next, old *policy.Queue) {
	differ(c, at, "host", next.Host, old.Host, "")
	differ(c, at, "prefix", next.Prefix, old.Prefix, "")
	differ(c, at, "service", next.Service, old.Service, movesTasks)
	differ(c, at, "priority", next.Priority, old.Priority, sortsAnew)
	reason := moreAttempts
	if next.Attempts < old.Attempts {
		reason = fewerAttempts
	}
	differ(c, at, "attempts", next.Attempts, old.Attempts, reason)
	differ(c, at, "slowdown", next.Slowdown, old.Slowdown, sortsAnew)
	differ(c, at, "target latency", next.Latency, old.Latency, sortsAnew)
	differ(c, at, "timeout", next.Timeout, old.Timeout, "")
	differ(c, at, "public", next.Public, old.Public, "")
	differ(c, at, "advisor", advisorText(next), advisorText(old), needsAdvice)
}

func advisorText(q *policy.Queue) string {
	a, ok := q.Advisor.Get()
	if !ok {
		return "none"
	}
	return fmt.Sprintf("(%s + %s per worker, tickets valid for %s)", a.Base, a.PerWorker, a.TicketTTL)
}

func (c *checker) compareTeam(at Place, next, old *policy.Team) {
	differ(c, at, "weight", next.Weight, old.Weight, "")
	c.compareLimit(at, "limit of cores", next.Limit.Cores, old.Limit.Cores)
	c.compareLimit(at, "limit of memory", next.Limit.Memory, old.Limit.Memory)
	c.compareLimit(at, "limit of accelerators", next.Limit.Accel, old.Limit.Accel)
	for _, k := range next.Keys {
		if !slices.Contains(old.Keys, k) {
			c.add(Changes, at, "key %s added", hash(k))
		}
	}
	for _, k := range old.Keys {
		if !slices.Contains(next.Keys, k) {
			c.add(Changes, at, "key %s removed", hash(k))
		}
	}
}

// compareLimit compares two limits, of which 0 means none.
func (c *checker) compareLimit(at Place, name string, next, old int64) {
	reason := raisesLimit
	if next > 0 && (old == 0 || next < old) {
		reason = lowersLimit
	}
	differ(c, at, name, next, old, reason)
}

func (c *checker) compareService(at Place, next, old *policy.Service) {
	differ(c, at, "refusal of overload", next.RefusesOverload, old.RefusesOverload, "")
	differ(c, at, "standby", next.Standby, old.Standby, "")
	differ(c, at, "health path", next.Health, old.Health, "")
}
