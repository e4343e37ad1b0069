package fleet

import (
	"net/netip"
	"time"

	"chicoryturn/core"
)

// misdirected holds the entries of the platform's list at whose address another worker
// has answered: entries of workers that have ended, until the platform removes them,
// and entries that name an address of another worker.
type misdirected map[core.WorkerID]misdirectedEntry

// misdirectedEntry is what tells an entry from a later one of the same name.
type misdirectedEntry struct {
	addr        netip.AddrPort
	incarnation time.Time
}

func (m misdirected) add(info WorkerInfo) {
	m[info.ID()] = misdirectedEntry{info.Addr, info.Incarnation}
}

func (m misdirected) has(info WorkerInfo) bool {
	e, ok := m[info.ID()]
	return ok && e.addr == info.Addr && e.incarnation.Equal(info.Incarnation)
}

// retain forgets the entries that the list no longer has.
func (m misdirected) retain(listed []WorkerInfo) {
	if len(m) == 0 {
		return
	}
	kept := core.NewSet[core.WorkerID]()
	for _, info := range listed {
		if m.has(info) {
			kept.Add(info.ID())
		}
	}
	for id := range m {
		if !kept.Has(id) {
			delete(m, id)
		}
	}
}
