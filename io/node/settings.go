// Package node assembles the process that runs on every VM: the servers for
// clients, probes, other VMs and operators, the leader election and, on the VM
// that is elected, the owner of the fleet.
package node

import (
	"net/netip"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
)

// Settings configure one process.
type Settings struct {
	// VM is the name of the process's VM.
	VM     string
	Zone   core.Zone
	Region core.Region
	// Callers, Probes, Peers and Ops are the addresses for clients, readiness
	// probes, other VMs and operators.
	Callers, Probes, Peers, Ops netip.AddrPort
	// CoreShare is the share of a core that the process may use, LinkMbps the VM's
	// network bandwidth; 0 means not set.
	CoreShare float64
	LinkMbps  float64
	Limits    fleet.Limits
	// MaxFiles is the number of descriptors that the process may open; 0 means as many as the
	// system lets it.
	MaxFiles int
	// Grace is the time between the order to stop and a forced stop.
	Grace time.Duration
	// LogLevel is the lowest log level that is written.
	LogLevel string
}
