package occupancy

import (
	"time"

	"github.com/thymerack/thymerack/coordination/backlog"
	"github.com/thymerack/thymerack/coordination/fleetload"
)

const (
	// partInUse is how long after its last use a prompt part counts as in use.
	partInUse = 20 * time.Second
	// maxPartUses bounds the recorded parts. It covers 65,000 distinct parts in use at one owner.
	maxPartUses = 4096
)

// partKey identifies a prompt part of a service.
type partKey struct {
	service string
	id      uint64
}

// partUse is the last use of a part.
type partUse struct {
	tokens int
	at     time.Time
}

// partUses records the last use of the sampled prompt parts, whether or not an engine still has them
// in its cache: a cache holds no more than its memory, however large the working set is.
type partUses map[partKey]partUse

// record records the use of a prompt's parts. Parts that exceed maxPartUses aren't recorded until a
// sample removes others.
func (u partUses) record(now time.Time, service string, parts []backlog.Part) {
	for _, p := range parts {
		if !fleetload.Sampled(p.ID) {
			continue
		}
		key := partKey{service, p.ID}
		if _, known := u[key]; known || len(u) < maxPartUses {
			u[key] = partUse{p.Tokens, now}
		}
	}
}

// inUse returns the parts in use, and removes the others.
func (u partUses) inUse(now time.Time) []fleetload.PartUse {
	var out []fleetload.PartUse
	for key, use := range u {
		if now.Sub(use.at) > partInUse {
			delete(u, key)
			continue
		}
		out = append(out, fleetload.PartUse{Service: key.service, ID: key.id, Tokens: use.tokens})
	}
	return out
}
