package state

import "time"

// ClaimState is what is known of a call that may not be repeated.
type ClaimState string

// The states of a claim. A claim moves from claimed to exactly one other state.
const (
	ClaimClaimed ClaimState = "claimed"
	ClaimDone    ClaimState = "done"
	ClaimNotRun  ClaimState = "not_run"
	ClaimUnknown ClaimState = "unknown"
)

// Claim is the record of one key.
type Claim struct {
	// Key is the caller's Idempotency-Key, a UUIDv7 in canonical form.
	Key      string     `json:"key"`
	Customer string     `json:"customer"`
	State    ClaimState `json:"state"`
	Holder   HostID     `json:"holder"`
	// Fingerprint is the xxhash of the request, so that a key reused for
	// another request is refused.
	Fingerprint uint64 `json:"fingerprint"`
	// ClaimedAt is the holder's clock; for display only.
	ClaimedAt time.Time `json:"claimed_at"`
	// Answer is the recorded answer of a done claim.
	Answer *RecordedAnswer `json:"answer,omitempty"`
}

// RecordedAnswer is the answer kept for a repeated key.
type RecordedAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
	// Truncated is true when the body was too large to keep.
	Truncated bool `json:"truncated,omitempty"`
}
