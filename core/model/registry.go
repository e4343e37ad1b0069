package model

import (
	"cmp"
	"slices"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
)

const (
	// ReportInterval is the time between two reports of a worker to the platform.
	ReportInterval = 1500 * time.Millisecond
	// ListTimeout is the silence after which the platform drops a worker's entry.
	ListTimeout = 3 * ReportInterval
)

// Registry simulates the platform's list of workers, as their reports make it: it lacks
// living workers that do not reach the platform, and holds ended ones until their
// entries time out.
type Registry struct {
	entries map[core.WorkerID]entry
	// version counts the reports.
	version uint64
}

type entry struct {
	info       fleet.WorkerInfo
	reportedAt time.Time
}

// NewRegistry returns an empty list.
func NewRegistry() *Registry { return &Registry{entries: map[core.WorkerID]entry{}} }

// Report adds or renews the entry of a worker.
func (r *Registry) Report(now time.Time, info fleet.WorkerInfo) {
	r.version++
	info.Renewals = r.version
	r.entries[info.ID()] = entry{info, now}
}

// Leave removes the entry of a worker that has drained.
func (r *Registry) Leave(id core.WorkerID) { delete(r.entries, id) }

// List returns the entries that have not timed out, sorted by ID.
func (r *Registry) List(now time.Time) []fleet.WorkerInfo {
	var out []fleet.WorkerInfo
	for id, e := range r.entries {
		if now.Sub(e.reportedAt) >= ListTimeout {
			delete(r.entries, id)
			continue
		}
		out = append(out, e.info)
	}
	slices.SortFunc(out, func(a, b fleet.WorkerInfo) int { return cmp.Compare(a.ID(), b.ID()) })
	return out
}
