package parse_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/rules"
	"chicoryturn/io/parse"
)

const validRules = `[team]
foundry = { share = 40, cores = 600, slots = 120 } # Ruth Tanner, foundry floor
press = { share = 20, cores = 100, slots = 60 } # Ada Voss, presses

[queue]
cure = { kind = "batch", teams = ["foundry"], due = "4h", cores = 2 } # Ruth Tanner
angle = { kind = "answer", service = "angle", wait = "500ms", run = "2s" } # Ada Voss
`

func TestRules(t *testing.T) {
	is := is.New(t)
	set, err := parse.Rules("rules.toml", []byte(validRules))
	is.NoErr(err)
	is.Equal(set.Teams["foundry"].Cores, int64(600000))
	is.Equal(set.Teams["foundry"].RequestedBy, "Ruth Tanner, foundry floor")
	is.Equal(set.Queues["cure"].Due, 4*time.Hour)
	is.Equal(set.Queues["angle"].Kind, rules.Answer)
	is.Equal(set.Queues["angle"].Line, 7)
}

func TestRulesErrors(t *testing.T) {
	tests := map[string]struct {
		line string
		at   int
		want string
	}{
		"no comment":     {`x = { kind = "batch" }`, 8, "no comment"},
		"empty comment":  {`x = { kind = "batch" } #  `, 8, "no comment"},
		"unknown team":   {`x = { kind = "batch", teams = ["who"] } # a`, 8, "unknown team"},
		"unknown name":   {`x = { kind = "batch", tems = ["press"] } # a`, 8, "unknown name"},
		"unknown kind":   {`x = { kind = "bath" } # a`, 8, "unknown kind"},
		"small limit":    {`x = { kind = "batch", teams = ["press"], cores = 101 } # a`, 8, "below its smallest task"},
		"bad span":       {`x = { kind = "batch", due = "4 hours" } # a`, 8, "time span"},
		"duplicate":      {`cure = { kind = "batch" } # a`, 8, ""},
		"no service":     {`x = { kind = "answer" } # a`, 8, "needs a service"},
		"run too long":   {`x = { kind = "answer", service = "s", run = "1h" } # a`, 8, "at most"},
		"not one line":   {"x.kind = \"batch\" # a", 8, "one line"},
		"not TOML":       {`x = { kind = `, 8, ""},
		"shares over":    {"[team.more]\nshare = 50 # a", 8, "one line"},
		"negative value": {`x = { kind = "batch", start = "-1s" } # a`, 8, "negative"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := parse.Rules("r", []byte(validRules+tt.line+"\n"))
			var errs core.LineErrors
			is.True(errors.As(err, &errs))
			found := false
			for _, e := range errs {
				found = found || (e.Line >= tt.at && strings.Contains(e.Reason, tt.want))
			}
			if !found {
				t.Fatalf("got %v, want line %d and %q", err, tt.at, tt.want)
			}
		})
	}
}

func TestRulesShares(t *testing.T) {
	is := is.New(t)
	_, err := parse.Rules("r", []byte("[team]\na = { share = 60 } # x\nb = { share = 41 } # y\n"))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "r:3: team b: shares add up to 101 percent"))
}
