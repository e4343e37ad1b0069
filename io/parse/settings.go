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
	// minDuration and maxDuration are the limits of every duration in the settings.
	minDuration = 500 * time.Millisecond
	maxDuration = 10 * time.Minute
	// minMemory, maxMemory and defaultMemory are in megabytes.
	minMemory, maxMemory, defaultMemory = 64, 1 << 20, 128
	// minFiles is the least number of descriptors.
	minFiles = 512
	// maxCells is the largest number of cells in a region.
	maxCells = 1024
)

// Settings are the settings of one process.
type Settings struct {
	VM       string
	Region   core.Region
	Zone     core.Zone
	Platform netip.AddrPort
	// Callers is the address for callers. Only gates use it.
	Callers netip.AddrPort
	// Peers is the address for the other processes of the system.
	Peers netip.AddrPort
	// Ops is the address for operators.
	Ops netip.AddrPort
	// Public is the address at which other processes reach Peers.
	Public netip.AddrPort
	// Cells is the number of cells of every region. It is the same in all processes.
	Cells int
	// SessionTTL is the length of the lease of a process.
	SessionTTL time.Duration
	// WorkerTTL is the length of the lease of a worker.
	WorkerTTL time.Duration
	// DrainTimeout is the longest duration of a planned stop.
	DrainTimeout time.Duration
	// Memory is what the process may use, in bytes, and Files how many descriptors; 0 means as
	// many as the system lets it open.
	Memory int64
	Files  int
	// LogLevel is the lowest level of log lines, and LogFormat their form, text or
	// json.
	LogLevel  string
	LogFormat string
}

// Setting describes one setting in the help text.
type Setting struct {
	Name, Unit, Default, About string
}

// SettingTable lists all settings in the order of the help text.
var SettingTable = []Setting{
	{"vm", "name", "", "name of this VM in the platform's list"},
	{"region", "name", "", "region of this VM"},
	{"zone", "name", "", "data centre of this VM"},
	{"platform", "IP:port", "", "address of the platform's table service, object store and list of VMs"},
	{"callers", "IP:port", "", "address on which a gate answers callers (gates only)"},
	{"peers", "IP:port", "", "address on which this process answers the system's other processes"},
	{"public", "IP:port", "peers", "address at which the other processes reach this one, if it differs from peers"},
	{"ops", "IP:port", "", "address on which this process answers operators"},
	{"cells", "count", "1", "number of cells in every region; the same on all VMs"},
	{"session", "time", member.DefaultTTL.String(), "lease of a process: how long it may fail to renew its session before its cells are taken over"},
	{"worker", "time", cell.DefaultWorkerTTL.String(), "lease of a worker: how long it runs tasks without a heartbeat before it stops them"},
	{"drain", "time", "30s", "how long a planned stop waits for requests in flight and the release of cells"},
	{"memory", "MB", "128", "memory of the process, from which the limits of its connections follow"},
	{"files", "count", "that of the system", "descriptors of the process, from which the limits of its connections follow"},
	{"level", "debug, info, warn, error", "info", "lowest level of log lines"},
	{"form", "text, json", "text", "form of log lines"},
}

// settingsFile is the TOML form of Settings.
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
	Memory   int    `toml:"memory"`
	Files    int    `toml:"files"`
	Level    string `toml:"level"`
	Form     string `toml:"form"`
}

// settingsChecker parses the values of one settings file and collects the errors.
type settingsChecker struct {
	file string
	// lines are the line numbers of the settings by name.
	lines map[string]int
	errs  core.LineErrors
}

// addError adds an error at the line of a setting, or at line 1 if it is not set.
func (c *settingsChecker) addError(name, format string, args ...any) {
	line := max(c.lines[name], 1)
	c.errs = append(c.errs, &core.LineError{File: c.file, Line: line, Reason: name + ": " + fmt.Sprintf(format, args...)})
}

// name checks a name. Names are parts of session IDs, keys and cell IDs, in which dots
// and slashes separate the parts.
func (c *settingsChecker) name(name, val string) string {
	if val == "" {
		c.addError(name, "is missing")
	}
	if strings.ContainsAny(val, ". /") {
		c.addError(name, "%q must not contain a dot, slash or space", val)
	}
	return val
}

// addr parses an address.
func (c *settingsChecker) addr(name, val string, required bool) netip.AddrPort {
	if val == "" {
		if required {
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

// duration parses a time and checks its limits.
func (c *settingsChecker) duration(name, val string) time.Duration {
	d, err := time.ParseDuration(val)
	if err != nil {
		c.addError(name, "%q is not a time with a unit, such as \"3s\"", val)
	} else if d < minDuration || d > maxDuration {
		c.addError(name, "%s is outside %s to %s", d, minDuration, maxDuration)
	}
	return d
}

// oneOf checks that a value is in a comma-separated list.
func (c *settingsChecker) oneOf(name, val, list string) string {
	for _, allowed := range strings.Split(list, ", ") {
		if val == allowed {
			return val
		}
	}
	c.addError(name, "%q is none of %s", val, list)
	return val
}

// ReadSettings parses and checks the settings file of a process. The address for
// callers is required only for gates. The error, if any, is a core.LineErrors with
// all errors of the file.
func ReadSettings(file string, text []byte, role core.Role) (Settings, error) {
	f := settingsFile{
		Cells: 1, Session: member.DefaultTTL.String(), Worker: cell.DefaultWorkerTTL.String(),
		Drain: "30s", Memory: defaultMemory, Level: "info", Form: "text",
	}
	c := &settingsChecker{file: file, lines: settingLines(text)}
	if err := decode(text, &f); err != nil {
		c.errs = append(c.errs, lineErrors(file, err)...)
	}
	s := Settings{
		VM: c.name("vm", f.VM), Region: core.Region(c.name("region", f.Region)), Zone: core.Zone(c.name("zone", f.Zone)),
		Platform: c.addr("platform", f.Platform, true), Callers: c.addr("callers", f.Callers, role == core.RoleGate),
		Peers: c.addr("peers", f.Peers, true), Ops: c.addr("ops", f.Ops, true),
		Cells: f.Cells, SessionTTL: c.duration("session", f.Session), WorkerTTL: c.duration("worker", f.Worker),
		DrainTimeout: c.duration("drain", f.Drain), LogLevel: c.oneOf("level", f.Level, "debug, info, warn, error"),
		LogFormat: c.oneOf("form", f.Form, "text, json"),
	}
	if s.Public = c.addr("public", f.Public, false); !s.Public.IsValid() {
		s.Public = s.Peers
	}
	s.Memory, s.Files = int64(f.Memory)<<20, f.Files
	if f.Memory < minMemory || f.Memory > maxMemory {
		c.addError("memory", "%d MB is outside %d to %d", f.Memory, minMemory, maxMemory)
	}
	if f.Files != 0 && f.Files < minFiles {
		c.addError("files", "%d is below %d", f.Files, minFiles)
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

// settingLines returns the line numbers of the settings by name.
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
