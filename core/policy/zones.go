package policy

import (
	"maps"
	"slices"

	"chicoryturn/core"
)

// Zones are the zones that the operator has evacuated, each with the version of its row. The
// zero value holds none. A set is not changed once it has been passed on.
type Zones map[core.Zone]uint64

// Has reports whether a zone is evacuated.
func (z Zones) Has(zone core.Zone) bool {
	_, ok := z[zone]
	return ok
}

// Equal reports whether two sets hold the same zones by the same rows.
func (z Zones) Equal(other Zones) bool { return maps.Equal(z, other) }

// Sorted returns the zones in order of their names.
func (z Zones) Sorted() []core.Zone { return slices.Sorted(maps.Keys(z)) }

// Directives are what operators have set, as of one version of the store. Whoever has the
// configuration thus has the evacuated zones as well.
type Directives struct {
	// Policy is the configuration; nil if none has been read that can be used.
	Policy *Policy
	// PolicyErr is why the newest configuration cannot be used; nil if it can be or if there
	// is none. Policy is then an earlier one.
	PolicyErr error
	Evacuated Zones
	// Version is the version of the store after which changes are not included.
	Version uint64
}
