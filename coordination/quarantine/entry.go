package quarantine

import (
	"encoding/json"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
)

// Kind is the kind of the store's objects. Each is named by the digest of a request that is
// held; an operator releases the request by deleting its object.
const Kind = "thymerack-quarantine"

const (
	// initialHold is how long a request is held before it may run again: time to mend the
	// runners. Each further time lasts twice as long, up to holdLongest, so that a request
	// which nobody mends costs a runner a day in the end.
	initialHold = 10 * time.Minute
	maxHold     = 24 * time.Hour
	// releasedEntryTTL is when a request that was released and did no harm is forgotten.
	releasedEntryTTL = 24 * time.Hour
)

// entry is an object of the store.
type entry struct {
	Evidence []Evidence `json:"evidence"`
	// HoldCount is how often the request has been held.
	HoldCount int `json:"times"`
	// Released requests may run until one crashes a runner again.
	Released bool `json:"released,omitempty"`
	// Bystander requests were released since another was at all their crashes and at more. What
	// spoke against them isn't forgotten.
	Bystander bool `json:"outdone,omitempty"`
}

// storedEntry is an entry as this host has it.
type storedEntry struct {
	entry
	version uint64
	// seenAt is when this host first saw this version.
	seenAt time.Time
	// rewritePendingSince is when this host saw that a restored store lacks the entry or has an older one; zero
	// once it is written again.
	rewritePendingSince time.Time
}

// decodeEntry reads an object; anybody may write there.
func decodeEntry(o store.Object) (Digest, entry, error) {
	d, err := ParseDigest(o.Name)
	if err != nil {
		return Digest{}, entry{}, err
	}
	var e entry
	if err := json.Unmarshal(o.Value, &e); err != nil {
		return Digest{}, entry{}, err
	}
	e.Evidence = e.Evidence[:min(len(e.Evidence), maxEvidence)]
	return d, e, nil
}

// holdDuration is how long the request is held this time.
func (e entry) holdDuration() time.Duration {
	out := initialHold
	for n := 1; n < e.HoldCount && out < maxHold; n++ {
		out *= 2
	}
	return min(out, maxHold)
}
