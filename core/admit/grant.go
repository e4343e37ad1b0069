package admit

import (
	"cmp"
	"slices"

	"chicoryturn/core"
)

// grantSlots grants slots to waiting requests while slots are available.
func (c *Controller) grantSlots() []Event {
	var out []Event
	for service := range c.waiting {
		for {
			r, t := c.nextGrant(service)
			if r == nil {
				break
			}
			c.removeWaiting(r)
			r.target = t
			c.fireRequest(r, requestGrant)
			c.waits = append(c.waits, Wait{r.spec.Rule.Name, c.now.Sub(r.arrivedAt)})
			out = append(out, Event{ID: r.spec.ID, Target: core.Some(t.vm)})
		}
	}
	return out
}

// nextGrant returns the request of a service to be granted a slot next, and its
// target, or nil. The team that uses least in relation to its share comes first;
// within a team, the request that has been queued longest.
func (c *Controller) nextGrant(s core.Service) (*request, *target) {
	byTeam := c.waiting[s]
	teams := make([]core.Team, 0, len(byTeam))
	for team := range byTeam {
		teams = append(teams, team)
	}
	slices.SortFunc(teams, func(a, b core.Team) int {
		return cmp.Or(cmp.Compare(c.weightedUsage(a), c.weightedUsage(b)), cmp.Compare(a, b))
	})
	// localFull is set once a request that must stay in this region has found no target.
	localFull := false
	for _, team := range teams {
		if c.allocator.Available(CallsRow(team)) <= 0 {
			continue
		}
		for _, r := range byTeam[team] {
			mayUseRemote := c.mayUseRemote(r)
			if localFull && !mayUseRemote {
				continue
			}
			if t := c.pickTarget(r); t != nil {
				return r, t
			}
			switch {
			case len(r.excluded) > 0:
			case mayUseRemote:
				// No other request of the service finds a target either.
				return nil, nil
			default:
				localFull = true
			}
		}
	}
	return nil, nil
}
