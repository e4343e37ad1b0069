package chart_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"chicoryturn/core/admit"
	"chicoryturn/core/cell"
	"chicoryturn/core/chart"
	"chicoryturn/core/conf"
	"chicoryturn/core/member"
)

const doorChart = `chart = "door"
start = "shut"
events = ["push", "pull"]
[[state]]
name = "shut"
step = [{ on = "push", to = "open", if = "free", do = ["count"] }, { on = "push", to = "shut" }]
ignore = ["pull"]
[[state]]
name = "open"
step = [{ on = "pull", to = "shut" }]
refuse = ["push"]
`

type door struct {
	free  bool
	count int
}

func load(text string) (*chart.Machine[*door], error) {
	return chart.Load(
		[]byte(text),
		map[string]chart.Guard[*door]{"free": func(d *door) bool { return d.free }},
		map[string]chart.Action[*door]{"count": func(d *door) { d.count++ }},
	)
}

func TestFire(t *testing.T) {
	is := is.New(t)
	m, err := load(doorChart)
	is.NoErr(err)
	d := &door{}
	state := m.Start()
	is.NoErr(m.Fire(&state, m.Event("push"), d))
	is.Equal(m.Name(state), "shut") // the guard returns false
	d.free = true
	is.NoErr(m.Fire(&state, m.Event("push"), d))
	is.Equal(m.Name(state), "open")
	is.Equal(d.count, 1)
	var refused *chart.RefusedError
	is.True(errors.As(m.Fire(&state, m.Event("push"), d), &refused))
}

func TestLoadFaults(t *testing.T) {
	tests := map[string]struct{ from, to, want string }{
		"unknown guard":  {`if = "free"`, `if = "fee"`, "unknown guard"},
		"unknown action": {`["count"]`, `["cont"]`, "unknown action"},
		"unknown state":  {`to = "open"`, `to = "ajar"`, "unknown state"},
		"unknown event":  {`ignore = ["pull"]`, `ignore = ["pul"]`, "unknown event"},
		"undecided":      {`ignore = ["pull"]`, ``, "undecided"},
		"twice":          {`refuse = ["push"]`, `refuse = ["push", "pull"]`, "twice"},
		"unreachable":    {`to = "open"`, `to = "shut"`, "cannot be reached"},
		"unused guard":   {`, if = "free"`, ``, "after an unguarded"},
		"unknown name":   {`chart =`, `chat =`, "not readable"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := load(strings.Replace(doorChart, tt.from, tt.to, 1))
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got %v, want %q", err, tt.want)
			}
		})
	}
}

// TestCharts loads and draws every chart of the program.
func TestCharts(t *testing.T) {
	is := is.New(t)
	n := 0
	for _, list := range [][]string{cell.Charts(), member.Charts(), admit.Charts(), conf.Charts()} {
		for i := 0; i < len(list); i += 2 {
			is.True(strings.Contains(list[i+1], "start: "))
			n++
		}
	}
	is.Equal(n, 10)
}
