package record

import (
	"time"

	"chicoryturn/core"
)

const (
	// unconfirmedTTL is how long a job that may have been recorded is remembered: the
	// store carries writes out within seconds, and clients ask again at once.
	unconfirmedTTL = time.Minute
	// maxUnconfirmed bounds the jobs remembered, at some 100 bytes each.
	maxUnconfirmed = 4000
)

// markUnconfirmed remembers that a job may have been recorded though its client was told
// that it is not known.
func (v *Store) markUnconfirmed(id core.JobID) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.unconfirmed) >= maxUnconfirmed {
		for id, at := range v.unconfirmed {
			if now.Sub(at) > unconfirmedTTL {
				delete(v.unconfirmed, id)
			}
		}
	}
	v.unconfirmed[id] = now
}

// refusal returns r, or that the outcome is not known if an earlier call for the
// job may have been recorded.
func (v *Store) refusal(id core.JobID, r *core.RefusalError) *core.RefusalError {
	v.mu.Lock()
	defer v.mu.Unlock()
	if at, ok := v.unconfirmed[id]; !ok || time.Since(at) > unconfirmedTTL {
		return r
	}
	return core.RefuseUnknown(r.Code, r, "an earlier call may have recorded the job")
}
