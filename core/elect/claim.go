package elect

import "time"

// ClaimReason is why a process could claim the ownership record.
type ClaimReason string

// The reasons for a claim.
const (
	// ClaimNoRecord means that there was no record.
	ClaimNoRecord ClaimReason = "no-record"
	// ClaimResigned means that the last owner had resigned.
	ClaimResigned ClaimReason = "resigned"
	// ClaimSameVM means that an earlier process on the claimant's VM held the record.
	ClaimSameVM ClaimReason = "same-vm"
	// ClaimStateLost means that the claimant itself held the record and has lost the state
	// of its epoch.
	ClaimStateLost ClaimReason = "state-lost"
	// ClaimEnded means that the holder seemed to have ended.
	ClaimEnded ClaimReason = "ended"
	// ClaimSuspected means that the record had not changed for SuspectTTL and its holder
	// did not answer.
	ClaimSuspected ClaimReason = "suspected"
	// ClaimFitter means that the holder has a much longer claim delay than the claimant: it
	// became the owner while no fitter process could.
	ClaimFitter ClaimReason = "fitter"
	// ClaimExpired means that the record had not changed for TTL.
	ClaimExpired ClaimReason = "expired"
)

const (
	// minAdvantage is by how much the holder's claim delay must exceed that of a process
	// which claims the record for that alone, holderTime how long it must have seen the
	// holder before.
	minAdvantage = time.Second
	holderTime   = 5 * time.Second
)

// isFitter reports whether this process should own the fleet rather than the holder of the
// record. One that does not reach the holder may be cut off from the workers, too.
func (e *Election) isFitter(now time.Time) bool {
	return e.configured && e.reachedHolder == e.record.Holder && e.record.Delay-e.self.Delay >= minAdvantage && e.standBack(now) == 0 && now.Sub(e.holderSeenAt) >= holderTime
}

// Claim is a claim of the ownership record.
type Claim struct {
	Reason ClaimReason
	// RecordAge is for how long the record was known to have been unchanged.
	RecordAge time.Duration
}

// Claim returns the last claim of this process; its reason is empty before the first.
func (e *Election) Claim() Claim { return e.claim }
