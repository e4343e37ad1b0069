package record

import (
	"time"

	"chicoryturn/core"
)

const (
	// unconfirmedTTL is how long a Store remembers a job whose write had no answer. A
	// write in flight takes effect within seconds, and clients retry at once.
	unconfirmedTTL = time.Minute
	// maxUnconfirmed is the number of remembered jobs at which markUnconfirmed removes
	// the expired ones. Each job takes about 100 bytes.
	maxUnconfirmed = 4000
)

// markUnconfirmed remembers a job that may have been stored although its client
// received an unknown outcome.
func (s *Store) markUnconfirmed(id core.JobID) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unconfirmed) >= maxUnconfirmed {
		for id, at := range s.unconfirmed {
			if now.Sub(at) > unconfirmedTTL {
				delete(s.unconfirmed, id)
			}
		}
	}
	s.unconfirmed[id] = now
}

// refusal returns r, or a refusal with an unknown outcome if an earlier call may have
// stored the job.
func (s *Store) refusal(id core.JobID, r *core.RefusalError) *core.RefusalError {
	if !s.maybeStored(id) {
		return r
	}
	return core.RefuseUnknown(r.Code, r, "an earlier call may have stored the job")
}

// maybeStored reports whether an earlier call may have stored a job.
func (s *Store) maybeStored(id core.JobID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.unconfirmed[id]
	return ok && time.Since(at) <= unconfirmedTTL
}
