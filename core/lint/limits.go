package lint

import (
	"net/netip"
	"strings"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/policy"
)

func (c *checker) findUnmatched() {
	used, keys := core.NewSet[core.Service](), 0
	for i := range c.next.Teams {
		t := &c.next.Teams[i]
		keys += len(t.Keys)
		if len(t.Keys) == 0 {
			c.add(Unmatched, teamAt(i, t), "the team has no keys: no call counts as its call")
		}
	}
	for i := range c.next.Queues {
		q := &c.next.Queues[i]
		used.Add(q.Service)
		c.checkRoute(queueAt(i, q), q)
		if keys == 0 && !q.Public {
			c.add(Unmatched, queueAt(i, q), "no team has a key and the queue is not public: every call is refused")
		}
	}
	for i := range c.next.Services {
		if s := &c.next.Services[i]; !used.Has(s.Name) {
			c.add(Unmatched, serviceAt(i, s), "no queue uses the service")
		}
	}
}

// checkRoute checks that a call can reach the queue. Hosts are compared exactly, after a port has
// been cut from that of the call.
func (c *checker) checkRoute(at Place, q *policy.Queue) {
	switch {
	case q.Host == "":
		c.add(Unmatched, at, "the host is empty: clients name one")
	case hasPort(q.Host):
		c.add(Unmatched, at, "host %q has a port, which is cut from the host of each call", q.Host)
	case strings.ToLower(q.Host) != q.Host:
		c.add(Unmatched, at, "host %q is not in lower case, as clients send it; case counts", q.Host)
	}
	switch {
	case q.Prefix == "":
		c.add(Unmatched, at, "the prefix is empty: the job ID of a call would begin with a slash, and it is refused")
	case q.Prefix[0] != '/':
		c.add(Unmatched, at, "prefix %q does not begin with a slash, as each path does", q.Prefix)
	}
	winner, _, ok := c.policy.Route(q.Host, q.Prefix)
	if !ok || winner == q {
		return
	}
	for i := range c.next.Queues {
		if winner == &c.next.Queues[i] {
			c.add(Unmatched, at, "queue %d, %q, has the same host and prefix and gets all calls", i, winner.Name)
		}
	}
}

// hasPort reports whether a host ends in a port. An IPv6 address has colons but no port.
func hasPort(host string) bool {
	_, err := netip.ParseAddr(strings.Trim(host, "[]"))
	return err != nil && strings.Contains(host, ":")
}

func (c *checker) findContradictions() {
	for i := range c.next.Queues {
		q := &c.next.Queues[i]
		at := queueAt(i, q)
		if useful := fleet.UsefulFor(&jobs.Spec{}, q); useful > 0 && q.Timeout > useful {
			c.add(Limits, at, "timeout %s is above %s, after which a job with a short run time is worth nothing", q.Timeout, useful)
		}
		if q.Slowdown > 0 && q.Slowdown < 1 && q.Latency == 0 {
			c.add(Limits, at, "slowdown %v is below 1 without a target latency: no job can be on time", q.Slowdown)
		}
		if a, ok := q.Advisor.Get(); ok && a.TicketTTL <= fleet.MinTicketTTL(a) {
			c.add(Limits, at, "tickets are valid for %s, but are renewed from %s before they expire: each is due for renewal when it arrives",
				a.TicketTTL, fleet.MinTicketTTL(a))
		}
	}
	b, at := c.next.Bounds, Place{Kind: InLimits}
	switch {
	case b.MaxBody == 0:
		c.add(Limits, at, "the size of a body is 0 or missing: the default of %d bytes applies", b.DefaultBody)
	case b.MaxBody > 0 && b.MaxBody < b.LargestJob:
		c.add(Limits, at, "a body of at most %d bytes cannot hold a job with the largest payload, which takes %d", b.MaxBody, b.LargestJob)
	}
	if b.IdleTimeout > 0 && b.HeaderTimeout > b.IdleTimeout {
		c.add(Limits, at, "the headers may take %s, but a connection may be idle for only %s", b.HeaderTimeout, b.IdleTimeout)
	}
}
