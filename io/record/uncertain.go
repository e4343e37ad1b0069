package record

import (
	"time"

	"chicoryturn/core"
)

const (
	// doubtTime is how long a job that may have been recorded is remembered: the
	// store carries writes out within seconds, and clients ask again at once.
	doubtTime = time.Minute
	// doubtMost bounds the jobs remembered, at some 100 bytes each.
	doubtMost = 4000
)

// doubt remembers that a job may have been recorded though its client was told
// that it is not known.
func (v *Store) doubt(id core.JobID) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.doubts) >= doubtMost {
		for id, at := range v.doubts {
			if now.Sub(at) > doubtTime {
				delete(v.doubts, id)
			}
		}
	}
	v.doubts[id] = now
}

// refusal returns r, or that the outcome is not known if an earlier call for the
// job may have been recorded.
func (v *Store) refusal(id core.JobID, r *core.RefusalError) *core.RefusalError {
	v.mu.Lock()
	defer v.mu.Unlock()
	if at, ok := v.doubts[id]; !ok || time.Since(at) > doubtTime {
		return r
	}
	return core.RefuseUnknown(r.Code, r, "an earlier call may have recorded the job")
}
