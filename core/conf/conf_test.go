package conf_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/conf"
	"chicoryturn/core/rules"
)

func testRules() *rules.Set {
	return &rules.Set{
		Teams: map[core.Team]rules.Team{"press": {}, "office": {}},
		Queues: map[core.Queue]rules.Queue{
			"angle": {Name: "angle", Kind: rules.Answer, Teams: []core.Team{"press"}},
			"query": {Name: "query", Kind: rules.Answer, Public: true},
		},
	}
}

func newConfig(t *testing.T) (*conf.Config, time.Time) {
	t.Helper()
	c, now := conf.New(), time.Now()
	changes := []conf.Change{
		{Version: 1, Kind: conf.PushRules, Rules: testRules()},
		{Version: 2, Kind: conf.GrantKey, Key: &conf.Key{ID: "p", Team: "press", Hash: conf.HashSecret("s")}},
		{Version: 3, Kind: conf.GrantKey, Key: &conf.Key{ID: "o", Team: "office", Hash: conf.HashSecret("s")}},
	}
	for _, change := range changes {
		if err := c.Apply(change); err != nil {
			t.Fatal(err)
		}
	}
	c.Confirm(now)
	return c, now
}

func TestAdmit(t *testing.T) {
	tests := map[string]struct {
		queue core.Queue
		team  core.Team
		key   string
		age   time.Duration // time since the configuration was confirmed
		want  core.Code
	}{
		"own key":          {"angle", "", "p.s", 0, ""},
		"own key and name": {"angle", "press", "p.s", 0, ""},
		"other's name":     {"angle", "office", "p.s", 0, core.CodeBadKey},
		"other's queue":    {"angle", "", "o.s", 0, core.CodeBadKey},
		"wrong secret":     {"angle", "", "p.t", 0, core.CodeBadKey},
		"no key":           {"angle", "press", "", 0, core.CodeBadKey},
		"not a key":        {"angle", "press", "ps", 0, core.CodeBadKey},
		"open queue":       {"query", "office", "", 0, ""},
		"open, no team":    {"query", "", "", 0, core.CodeUnknownTeam},
		"no such queue":    {"nope", "press", "p.s", 0, core.CodeUnknownQueue},
		"unconfirmed":      {"angle", "", "p.s", conf.MaxConfirmAge + time.Second, core.CodeConfigUnconfirmed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, now := newConfig(t)
			_, _, err := c.Admit(now.Add(tt.age), tt.queue, tt.team, tt.key)
			if tt.want == "" {
				is.NoErr(err)
				return
			}
			var refused *core.RefusalError
			is.True(errors.As(err, &refused))
			is.Equal(refused.Code, tt.want)
			is.Equal(refused.Execution, core.NotExecuted)
		})
	}
}

func TestVersions(t *testing.T) {
	is := is.New(t)
	c, now := newConfig(t)
	is.True(c.Apply(conf.Change{Version: 5, Kind: conf.PushRules, Rules: testRules()}) != nil) // version 4 is missing
	is.NoErr(c.Apply(conf.Change{Version: 2, Kind: conf.WithdrawKey, Key: &conf.Key{ID: "p"}}))
	is.Equal(c.Version(), core.Version(3)) // an older change is ignored
	is.NoErr(c.Apply(conf.Change{Version: 4, Kind: conf.WithdrawKey, Key: &conf.Key{ID: "p"}}))
	_, _, err := c.Admit(now, "angle", "", "p.s")
	is.True(err != nil) // the key is withdrawn
}
