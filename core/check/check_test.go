package check_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chicoryturn/core"
	"chicoryturn/core/check"
	"chicoryturn/core/policy"
)

// drawConfig returns a configuration without errors, in which each entry can match.
func drawConfig(t *rapid.T) check.Config {
	n := func(name string, least, most int) int { return rapid.IntRange(least, most).Draw(t, name) }
	ms := func(name string, least, most int) time.Duration {
		return time.Duration(n(name, least, most)) * time.Millisecond
	}
	c := check.Config{Version: core.Version(n("version", 2, 9)), Bounds: check.Bounds{
		MaxBody: 262144, MaxHeader: 16384, HeaderTimeout: ms("headers", 1, 3000), IdleTimeout: ms("idle", 3000, 15000), LargestJob: 4034,
	}}
	for i := range n("queues", 1, 15) {
		q := policy.Queue{
			Name: core.Queue(fmt.Sprint("q", i)), Host: "jobs.example", Prefix: fmt.Sprintf("/%d/", i), Service: core.Service(fmt.Sprint("s", i)),
			Priority: n("priority", 0, 2), Attempts: n("attempts", 1, 4), Slowdown: rapid.Float64Range(1, 4).Draw(t, "slowdown"),
			Latency: ms("latency", 1000, 3000), Timeout: ms("timeout", 0, 3000), Public: rapid.Bool().Draw(t, "public"),
		}
		if rapid.Bool().Draw(t, "advised") {
			q.Advisor = core.Some(policy.Advisor{Base: ms("base", 1, 600), PerWorker: ms("each", 0, 8), TicketTTL: ms("valid", 1000, 3000)})
		}
		c.Queues = append(c.Queues, q)
		c.Services = append(c.Services, policy.Service{Name: q.Service, Health: "/health"})
	}
	for i := range n("teams", 1, 4) {
		c.Teams = append(c.Teams, policy.Team{
			Name: core.Team(fmt.Sprint("t", i)), Keys: []string{fmt.Sprint("secret-", i)}, Weight: 1, Limit: core.Resources{Cores: int64(n("cores", 2, 9))},
		})
	}
	return c
}

func clone(c check.Config) check.Config {
	c.Queues, c.Teams, c.Services = slices.Clone(c.Queues), slices.Clone(c.Teams), slices.Clone(c.Services)
	return c
}

// edits are single changes of a configuration, each with the finding that it must give.
var edits = []struct {
	edit    func(c *check.Config)
	group   check.Group
	text    string
	running bool
}{
	{func(c *check.Config) { c.Version-- }, check.Errors, "is not above version", false},
	{func(c *check.Config) { c.Queues[0].Name = "" }, check.Errors, "has no name", false},
	{func(c *check.Config) { c.Queues = append(c.Queues, c.Queues[0]) }, check.Errors, "queue 0 has the same name", false},
	{func(c *check.Config) { c.Teams = append(c.Teams, c.Teams[0]) }, check.Errors, "team 0 has the same name", false},
	{func(c *check.Config) { c.Services = append(c.Services, c.Services[0]) }, check.Errors, "service 0 has the same name", false},
	{func(c *check.Config) { c.Services = c.Services[1:] }, check.Errors, `service "s0" is not defined`, false},
	{func(c *check.Config) { c.Queues[0].Attempts = 0 }, check.Errors, "attempts 0 is below 1", false},
	{func(c *check.Config) { c.Queues[0].Slowdown = -1 }, check.Errors, "slowdown -1 is negative", false},
	{func(c *check.Config) { c.Queues[0].Latency = 1e18 }, check.Errors, "target latency", false},
	{func(c *check.Config) { c.Queues[0].Advisor = core.Some(policy.Advisor{Base: -1}) }, check.Errors, "out of range", false},
	{func(c *check.Config) { c.Teams[0].Limit.Memory = -1 }, check.Errors, "limit of memory -1 is negative", false},
	{func(c *check.Config) { c.Teams[0].Keys = []string{""} }, check.Errors, "a key is empty", false},
	{func(c *check.Config) { c.Teams = append(c.Teams, policy.Team{Name: "new", Keys: c.Teams[0].Keys}) }, check.Errors, "is also a key of team 0", false},
	{func(c *check.Config) { c.Bounds.MaxBody = -1 }, check.Errors, "size of a body -1 is negative", false},
	{func(c *check.Config) { q := c.Queues[0]; q.Name = "new"; c.Queues = append(c.Queues, q) }, check.Unmatched, "has the same host and prefix", false},
	{func(c *check.Config) { c.Queues[0].Host = "jobs.example:80" }, check.Unmatched, "has a port", false},
	{func(c *check.Config) { c.Queues[0].Host = "Jobs.example" }, check.Unmatched, "not in lower case", false},
	{func(c *check.Config) { c.Queues[0].Prefix = "" }, check.Unmatched, "the prefix is empty", false},
	{func(c *check.Config) { c.Queues[0].Prefix = "q/" }, check.Unmatched, "does not begin with a slash", false},
	{func(c *check.Config) { c.Teams[0].Keys = nil }, check.Unmatched, "the team has no keys", false},
	{func(c *check.Config) { c.Teams, c.Queues[0].Public = nil, false }, check.Unmatched, "no team has a key", false},
	{func(c *check.Config) { c.Services = append(c.Services, policy.Service{Name: "new"}) }, check.Unmatched, "no queue uses", false},
	{func(c *check.Config) { c.Queues[0].Timeout = time.Minute }, check.Limits, "after which a job with a short run time", false},
	{func(c *check.Config) { c.Queues[0].Slowdown, c.Queues[0].Latency = 0.5, 0 }, check.Limits, "no job can be on time", false},
	{func(c *check.Config) { c.Queues[0].Advisor = core.Some(policy.Advisor{Base: 900, TicketTTL: 900}) }, check.Limits, "due for renewal", false},
	{func(c *check.Config) { c.Bounds.MaxBody = 0 }, check.Limits, "the default", false},
	{func(c *check.Config) { c.Bounds.MaxBody = 4033 }, check.Limits, "largest payload", false},
	{func(c *check.Config) { c.Bounds.HeaderTimeout = time.Minute }, check.Limits, "may be idle", false},
	{func(c *check.Config) { c.Queues[0].Attempts = 5 }, check.Changes, "may fail more often", true},
	{func(c *check.Config) { c.Queues[0].Attempts = 0 }, check.Changes, "accepted jobs fail at once", true},
	{func(c *check.Config) { c.Queues[0].Priority += 3 }, check.Changes, "priority", true},
	{func(c *check.Config) { c.Queues[0].Prefix = "/new/" }, check.Changes, "prefix /new/ instead of /0/", false},
	{func(c *check.Config) { c.Queues = c.Queues[1:] }, check.Changes, "removed: its accepted jobs keep its terms", true},
	{func(c *check.Config) { c.Queues, c.Services = c.Queues[1:], c.Services[1:] }, check.Changes, "nothing more of its accepted jobs starts", true},
	{func(c *check.Config) { c.Teams = c.Teams[1:] }, check.Changes, "keep its last limit", true},
	{func(c *check.Config) { c.Teams[0].Limit.Cores = 1 }, check.Changes, "wait while the team is above it", true},
	{func(c *check.Config) { c.Teams[0].Limit.Cores = 0 }, check.Changes, "may start", true},
	{func(c *check.Config) { c.Teams[0].Limit.Memory = 5 }, check.Changes, "wait while the team is above it", true},
	{func(c *check.Config) { c.Teams[0].Keys = []string{"secret-new"} }, check.Changes, "key aa8a4774 added", false},
	{func(c *check.Config) { c.Services[0].Standby = true }, check.Changes, "standby true instead of false", false},
	{func(c *check.Config) { c.Bounds.MaxBody++ }, check.Changes, "size of a body", false},
}

// TestEdits guards against findings on a faultless configuration and against mistakes that are not
// reported: each edit of a random configuration gives its finding. No finding tells a key.
func TestEdits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		c := drawConfig(t)
		is.Equal(len(check.Run(c, core.Option[check.Config]{})), 0)
		next := clone(c)
		next.Version++
		findings := check.Run(next, core.Some(c))
		is.Equal(len(findings), 1)
		is.Equal(findings[0].Group, check.Changes)
		for _, e := range edits {
			edited := clone(next)
			e.edit(&edited)
			findings = check.Run(edited, core.Some(c))
			if !slices.ContainsFunc(findings, func(f check.Finding) bool {
				return f.Group == e.group && f.Running == e.running && strings.Contains(f.Text, e.text)
			}) {
				t.Errorf("no finding %q in %s: %v", e.text, e.group, findings)
			}
			is.True(!strings.Contains(fmt.Sprint(findings), "secret-"))
		}
	})
}
