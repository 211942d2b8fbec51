package quarantine

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
)

const (
	// owedFor is how long an entry that a restored store has lost counts until it is written
	// again: a few tries of each host that follows the store.
	owedFor = 30 * time.Second
	// rememberRemoved is how long it is remembered that an entry was removed: a restored store may
	// have it again.
	rememberRemoved = 5 * time.Minute
)

// advance takes a copy's revision and reports whether the store was restored since the last copy.
// r.mu is held.
func (r *Registry) advance(revision uint64) (restored bool) {
	restored = store.RestoredBetween(r.revision, revision)
	r.revision = revision
	return restored
}

// takeRestored takes an entry of the first copy after a restoration. What this host knew of it is
// newer and is written again; one that had been removed goes again. r.mu is held.
func (r *Registry) takeRestored(d Digest, e entry, version uint64) stored {
	now := r.o.Clock.Now()
	if known, there := r.entries[d]; there {
		known.version = version
		if known.Released != e.Released || known.HoldCount != e.HoldCount || known.Bystander != e.Bystander {
			known.owedAt = now
		}
		return known
	}
	if _, removed := r.removed[d]; removed {
		r.answered[d] = answer{at: now}
		r.o.Log.Info("restored entry was removed before; removed again", "digest", d.String(), "version", store.FormatVersion(version))
	}
	r.adopt(d, e)
	return stored{entry: e, version: version, seenAt: now}
}

// keep returns an entry that a copy lacks and that counts all the same: it was written since the
// copy, or a restored store lost it. r.mu is held.
func (r *Registry) keep(s stored, revision uint64, restored bool) (kept stored, is bool) {
	now := r.o.Clock.Now()
	switch {
	case s.version > revision:
		return s, true
	case restored:
		s.version, s.owedAt = store.Absent, now
		return s, true
	}
	return s, s.version == store.Absent && now.Sub(s.owedAt) < owedFor
}

// removedNow notes that an entry was removed; r.mu is held.
func (r *Registry) removedNow(d Digest) {
	now := r.o.Clock.Now()
	for other, at := range r.removed {
		if now.Sub(at) > rememberRemoved {
			delete(r.removed, other)
		}
	}
	r.removed[d] = now
}

// writeAgain writes the entries that a restored store has lost, or has as they were before. The
// hosts that follow the store do it; the first one's write is the one that counts.
func (r *Registry) writeAgain(ctx context.Context) {
	if !r.o.FollowsStore() {
		return
	}
	r.mu.Lock()
	owed := map[Digest]stored{}
	for d, s := range r.entries {
		if !s.owedAt.IsZero() {
			owed[d] = s
		}
	}
	r.mu.Unlock()
	for d, s := range owed {
		r.put(ctx, d, s.entry, s.version)
	}
}
