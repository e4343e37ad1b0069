package load

import (
	"cmp"
	"slices"
	"time"

	"chicoryturn/core"
)

// Summaries are bounded by these numbers of bytes, as JSON. The ownership record shares a row of
// 64 KiB with what up to 256 teams take of the owner's memory.
const (
	maxBytes  = 12 << 10
	lineBytes = 470
	// slotBytes is what a number in Slots takes, escapedByte a byte of a name at most.
	slotBytes   = 8
	escapedByte = 6
)

// Builder collects the lines of a summary.
type Builder struct {
	made    time.Time
	entries []entry
}

type entry struct {
	line
	value   Line
	service core.Service
	idle    Slots
}

// NewBuilder returns a builder of a summary that is made at a time.
func NewBuilder(made time.Time) *Builder { return &Builder{made: made} }

// AddQueue adds what new jobs of a queue wait for, with the free room of its service.
func (b *Builder) AddQueue(service core.Service, q core.Queue, l Line, idle Slots) {
	b.add(entry{line{"", q}, l, service, idle})
}

// AddTeam adds what new jobs of a team wait for in a queue under its limit.
func (b *Builder) AddTeam(team core.Team, q core.Queue, l Line) {
	b.add(entry{line: line{team, q}, value: l})
}

func (b *Builder) add(e entry) {
	if e.value.Wait(true) >= MinWait {
		b.entries = append(b.entries, e)
	}
}

// Summary returns the lines as far as there is room for them, those with the longest wait first, or
// nil if there are none. Jobs without a line are accepted.
func (b *Builder) Summary() *Summary {
	slices.SortFunc(b.entries, func(x, y entry) int {
		return cmp.Or(cmp.Compare(x.team, ""), cmp.Compare(y.value.Wait(true), x.value.Wait(true)), cmp.Compare(x.team, y.team), cmp.Compare(x.queue, y.queue))
	})
	out := &Summary{Made: b.made, Queues: map[core.Queue]Line{}, Teams: map[core.Team]map[core.Queue]Line{}, Idle: map[core.Service]Slots{}}
	bytes := 0
	for _, e := range b.entries {
		_, hasIdle := out.Idle[e.service]
		size := lineBytes + escapedByte*(len(e.team)+len(e.queue))
		if e.team == "" && !hasIdle {
			size += escapedByte*len(e.service) + slotBytes*(len(e.idle.Cores)+len(e.idle.Memory))
		}
		switch bytes += size; {
		case bytes > maxBytes:
			bytes -= size
		case e.team == "":
			out.Queues[e.queue], out.Idle[e.service] = e.value, e.idle
		case out.Teams[e.team] == nil:
			out.Teams[e.team] = map[core.Queue]Line{e.queue: e.value}
		default:
			out.Teams[e.team][e.queue] = e.value
		}
	}
	if len(out.Queues)+len(out.Teams) == 0 {
		return nil
	}
	return out
}
