package parse_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/io/parse"
)

const validSettings = `vm = "entry1"
region = "hobart"
zone = "hobart-a"
platform = "10.0.0.5:7000"
callers = "10.0.1.1:7100"
peers = "10.0.1.1:7101"
ops = "10.0.1.1:7102"
session = "3s"
`

func TestSettings(t *testing.T) {
	is := is.New(t)
	s, err := parse.ReadSettings("s", []byte(validSettings), core.RoleGate)
	is.NoErr(err)
	is.Equal(s.SessionTTL, 3*time.Second)
	is.Equal(s.Public, s.Peers)
	is.Equal(s.Cells, 1)
}

func TestSettingsErrors(t *testing.T) {
	is := is.New(t)
	invalid := strings.NewReplacer(`"3s"`, `"3"`, `peers = "10.0.1.1:7101"`, `peers = "here:7101"`, `region = "hobart"`, "regoin = \"hobart\"").Replace(validSettings)
	_, err := parse.ReadSettings("s", []byte(invalid+"cells = 0\n"), core.RoleGate)
	is.True(err != nil)
	for _, want := range []string{
		`s:2: unknown name "regoin"`, `s:6: peers: "here:7101" is not an IP address with a port`,
		`s:8: session: "3" is not a time with a unit`, `s:9: cells: 0 is outside`, "region: is missing",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("missing %q in:\n%v", want, err)
		}
	}
}

// FuzzRules passes malformed files to Rules, which must return either rules or errors.
func FuzzRules(f *testing.F) {
	f.Add([]byte(validRules))
	f.Add([]byte("[team]\na = { share = 1e400 } # x"))
	f.Add([]byte("[[team]]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		set, err := parse.Rules("r", text)
		if (set == nil) == (err == nil) {
			t.Error("got neither or both of rules and errors")
		}
	})
}

// FuzzSettings passes malformed files to ReadSettings, which must not panic.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(_ *testing.T, text []byte) {
		_, _ = parse.ReadSettings("s", text, core.RoleSched)
	})
}
