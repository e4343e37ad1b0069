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
	// ClaimExpired means that the record had not changed for TTL.
	ClaimExpired ClaimReason = "expired"
)

// Claim is a claim of the ownership record.
type Claim struct {
	Reason ClaimReason
	// RecordAge is for how long the record was known to have been unchanged.
	RecordAge time.Duration
}

// Claim returns the last claim of this process; its reason is empty before the first.
func (e *Election) Claim() Claim { return e.claim }
