package quarantine

import (
	"encoding/json"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
)

// Kind is the kind of the store's objects that contain the entries. Each object is named by the
// digest of a held request; an operator releases the request by deleting its object.
const Kind = "thymerack-quarantine"

const (
	// initialHold is how long the first hold of a request lasts before the request is tried again,
	// which leaves time to fix the runners. Each further hold lasts twice as long, up to maxHold,
	// so that a request that is never fixed costs one runner a day in the end.
	initialHold = 10 * time.Minute
	maxHold     = 24 * time.Hour
	// releasedEntryTTL is how long the entry of a request on trial is kept if the request crashes
	// no runner.
	releasedEntryTTL = 24 * time.Hour
)

// entry is the content of an object of the store.
type entry struct {
	Evidence []Evidence `json:"evidence"`
	// HoldCount is how often the request has been held.
	HoldCount int `json:"times"`
	// Released marks a request on trial: it may run until it crashes a runner again.
	Released bool `json:"released,omitempty"`
	// Bystander marks a request that was released because another held request ran at all its
	// crashes and at others. The crashes recorded against it are kept.
	Bystander bool `json:"outdone,omitempty"`
}

// storedEntry is an entry as this host knows it.
type storedEntry struct {
	entry
	version uint64
	// seenAt is when this host first saw this version.
	seenAt time.Time
	// rewritePendingSince is when this host found that the store, restored to an earlier state,
	// lacks the entry or has an older one; zero once the entry is written again.
	rewritePendingSince time.Time
}

// decodeEntry decodes an object of the store. Anyone may write such objects, so the evidence is cut
// to maxEvidence.
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

// holdDuration returns how long the current hold lasts.
func (e entry) holdDuration() time.Duration {
	out := initialHold
	for n := 1; n < e.HoldCount && out < maxHold; n++ {
		out *= 2
	}
	return min(out, maxHold)
}
