// Package share ranks teams by how far each one's use is below its share of the
// fleet.
package share

import (
	"chicoryturn/core"
	"chicoryturn/core/rules"
)

// minShare is the share, in percent, of a team without one. It keeps Rank finite,
// and ranks such a team behind all teams with a share once it uses any room.
const minShare = 0.01

// Table holds the share and the use of each team.
type Table struct {
	// total is the capacity of this cell.
	total  core.Resources
	shares map[core.Team]float64
	// used is the use of each team in this cell.
	used map[core.Team]core.Resources
	// remote is the part of each team's limit that other cells hold, in
	// thousandths of a core, as last read from the store. It counts as the
	// team's use in these cells.
	remote map[core.Team]int64
	// fleetCores is the capacity of the whole fleet in thousandths of a core.
	fleetCores int64
}

// New returns an empty table.
func New() *Table {
	return &Table{
		shares: map[core.Team]float64{},
		used:   map[core.Team]core.Resources{},
		remote: map[core.Team]int64{},
	}
}

// SetRules takes the shares from the rules in force.
func (t *Table) SetRules(set *rules.Set) {
	t.shares = make(map[core.Team]float64, len(set.Teams))
	for name, team := range set.Teams {
		t.shares[name] = max(team.Share, minShare)
	}
}

// SetShare sets one team's share in percent.
func (t *Table) SetShare(team core.Team, percent float64) { t.shares[team] = max(percent, minShare) }

// SetTotal sets the capacity of this cell.
func (t *Table) SetTotal(total core.Resources) { t.total = total }

// SetRemoteUse sets the cores that count as a team's use in other cells and the
// capacity of the whole fleet, both in thousandths of a core.
func (t *Table) SetRemoteUse(team core.Team, cores, fleetCores int64) {
	t.remote[team] = cores
	t.fleetCores = fleetCores
}

// AddUse adds r to a team's use in this cell; negative amounts reduce it.
func (t *Table) AddUse(team core.Team, r core.Resources) { t.used[team] = t.used[team].Add(r) }

// Used returns a team's use in this cell.
func (t *Table) Used(team core.Team) core.Resources { return t.used[team] }

// DominantShare returns the part of the whole fleet that a team uses: its use of
// this cell's scarcest resource, scaled to the fleet, plus its cores in other cells.
func (t *Table) DominantShare(team core.Team) float64 {
	local := t.used[team].Dominant(t.total)
	if t.fleetCores <= 0 {
		return local
	}
	fleet := float64(t.fleetCores)
	return local*float64(t.total.Cores)/fleet + float64(t.remote[team])/fleet
}

// Share returns a team's share as a fraction.
func (t *Table) Share(team core.Team) float64 {
	return max(t.shares[team], minShare) / 100
}

// Rank returns a team's use divided by its share. The team with the lowest rank is
// the furthest below its share.
func (t *Table) Rank(team core.Team) float64 { return t.DominantShare(team) / t.Share(team) }
