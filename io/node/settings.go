// Package node assembles the process that runs on every VM: the clients' door,
// the watch over the seat and, while it holds it, the owner of the fleet.
package node

import (
	"net/netip"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
)

// Settings are what a process is told about itself.
type Settings struct {
	// VM names the VM.
	VM     string
	Zone   core.Zone
	Region core.Region
	// Callers and Probes are where clients and readiness probes come in; Peers
	// is where other VMs do, Ops where operators do.
	Callers, Probes, Peers, Ops netip.AddrPort
	// CoreShare is the part of a core that the process may use, Memory the bytes,
	// Link the megabits a second of the VM's network; 0 means not told.
	CoreShare float64
	Memory    int64
	LinkMbps  float64
	Limits    fleet.Limits
	// Grace is the time between the order to stop and the end by force.
	Grace time.Duration
	// Level is the least severe level that is logged.
	Level string
}
