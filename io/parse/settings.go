package parse

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2/unstable"

	"chicoryturn/core"
	"chicoryturn/core/cell"
	"chicoryturn/core/member"
)

const (
	minDuration = 500 * time.Millisecond
	maxDuration = 10 * time.Minute
	maxCells    = 1024
)

// Settings are those of one process.
type Settings struct {
	VM       string
	Region   core.Region
	Zone     core.Zone
	Platform netip.AddrPort
	// Callers is used by gates only.
	Callers netip.AddrPort
	Peers   netip.AddrPort
	Ops     netip.AddrPort
	// Public is where other processes reach Peers, if that differs.
	Public netip.AddrPort
	// Cells is the number of cells of every region; it is the same everywhere.
	Cells   int
	Session time.Duration
	Worker  time.Duration
	Drain   time.Duration
	Level   string
	Form    string
}

// Setting describes one name of the settings file.
type Setting struct {
	Name, Unit, Default, About string
}

// SettingTable lists every setting in the order in which help shows them.
var SettingTable = []Setting{
	{"vm", "name", "", "name of this VM in the platform's list"},
	{"region", "name", "", "region of this VM"},
	{"zone", "name", "", "data centre of this VM"},
	{"platform", "IP:port", "", "address of the platform's table service, object store and list of VMs"},
	{"callers", "IP:port", "", "address on which a gate answers callers (gates only)"},
	{"peers", "IP:port", "", "address on which this process answers the system's other processes"},
	{"public", "IP:port", "peers", "address at which the other processes reach this one, if it is not peers"},
	{"ops", "IP:port", "", "address on which this process answers operators"},
	{"cells", "count", "1", "number of cells in every region; the same on all VMs"},
	{"session", "time", member.DefaultTTL.String(), "how long a process may be silent before its cells are taken over"},
	{"worker", "time", cell.DefaultWorkerTTL.String(), "how long a worker goes on without contact before it stops its tasks"},
	{"drain", "time", "30s", "how long a planned stop waits for requests in flight and hand-overs"},
	{"level", "debug, info, warn, error", "info", "least level of log lines"},
	{"form", "text, json", "text", "form of log lines"},
}

type settingsFile struct {
	VM       string `toml:"vm"`
	Region   string `toml:"region"`
	Zone     string `toml:"zone"`
	Platform string `toml:"platform"`
	Callers  string `toml:"callers"`
	Peers    string `toml:"peers"`
	Public   string `toml:"public"`
	Ops      string `toml:"ops"`
	Cells    int    `toml:"cells"`
	Session  string `toml:"session"`
	Worker   string `toml:"worker"`
	Drain    string `toml:"drain"`
	Level    string `toml:"level"`
	Form     string `toml:"form"`
}

// settingsChecker gathers the faults of one settings file.
type settingsChecker struct {
	file  string
	lines map[string]int
	errs  core.LineErrors
}

func (c *settingsChecker) addError(name, format string, args ...any) {
	line := max(c.lines[name], 1)
	c.errs = append(c.errs, &core.LineError{File: c.file, Line: line, Reason: name + ": " + fmt.Sprintf(format, args...)})
}

func (c *settingsChecker) name(name, val string) string {
	if val == "" {
		c.addError(name, "is missing")
	}
	if strings.ContainsAny(val, ". /") {
		c.addError(name, "%q must not contain a dot, slash or space", val)
	}
	return val
}

func (c *settingsChecker) addr(name, val string, need bool) netip.AddrPort {
	if val == "" {
		if need {
			c.addError(name, "is missing")
		}
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(val)
	if err != nil {
		c.addError(name, "%q is not an IP address with a port", val)
	}
	return a
}

func (c *settingsChecker) duration(name, val string) time.Duration {
	d, err := time.ParseDuration(val)
	if err != nil {
		c.addError(name, "%q is not a time with a unit, such as \"3s\"", val)
	} else if d < minDuration || d > maxDuration {
		c.addError(name, "%s is outside %s to %s", d, minDuration, maxDuration)
	}
	return d
}

func (c *settingsChecker) oneOf(name, val, list string) string {
	for _, ok := range strings.Split(list, ", ") {
		if val == ok {
			return val
		}
	}
	c.addError(name, "%q is none of %s", val, list)
	return val
}

// ReadSettings reads the settings of a process; gates need one address more.
// The error, if any, is core.LineErrors with every fault of the file.
func ReadSettings(file string, text []byte, role core.Role) (Settings, error) {
	f := settingsFile{
		Cells: 1, Session: member.DefaultTTL.String(), Worker: cell.DefaultWorkerTTL.String(),
		Drain: "30s", Level: "info", Form: "text",
	}
	c := &settingsChecker{file: file, lines: settingLines(text)}
	if err := decode(text, &f); err != nil {
		c.errs = append(c.errs, lineErrors(file, err)...)
	}
	s := Settings{
		VM: c.name("vm", f.VM), Region: core.Region(c.name("region", f.Region)), Zone: core.Zone(c.name("zone", f.Zone)),
		Platform: c.addr("platform", f.Platform, true), Callers: c.addr("callers", f.Callers, role == core.RoleGate),
		Peers: c.addr("peers", f.Peers, true), Ops: c.addr("ops", f.Ops, true),
		Cells: f.Cells, Session: c.duration("session", f.Session), Worker: c.duration("worker", f.Worker),
		Drain: c.duration("drain", f.Drain), Level: c.oneOf("level", f.Level, "debug, info, warn, error"),
		Form: c.oneOf("form", f.Form, "text, json"),
	}
	if s.Public = c.addr("public", f.Public, false); !s.Public.IsValid() {
		s.Public = s.Peers
	}
	if f.Cells < 1 || f.Cells > maxCells {
		c.addError("cells", "%d is outside 1 to %d", f.Cells, maxCells)
	}
	if s.Peers.IsValid() && (s.Peers == s.Ops || s.Peers == s.Callers) {
		c.addError("peers", "is the same address as another one")
	}
	if len(c.errs) > 0 {
		return Settings{}, c.errs
	}
	return s, nil
}

// settingLines finds the line of every name.
func settingLines(text []byte) map[string]int {
	lines := map[string]int{}
	p := unstable.Parser{}
	p.Reset(text)
	for p.NextExpression() {
		if e := p.Expression(); e.Kind == unstable.KeyValue {
			lines[keyName(e.Key())] = lineOf(text, e)
		}
	}
	return lines
}
