package quarantine

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
)

const (
	// rewriteTimeout is how long an entry that a restored store has lost counts until it is written
	// again: a few tries of each host that follows the store.
	rewriteTimeout = 30 * time.Second
	// removalTTL is how long it is remembered that an entry was removed: a restored store may
	// have it again.
	removalTTL = 5 * time.Minute
)

// advanceRevision takes a copy's revision and reports whether the store was restored since the last copy.
// r.mu is held.
func (r *Registry) advanceRevision(revision uint64) (restored bool) {
	restored = store.RestoredBetween(r.revision, revision)
	r.revision = revision
	return restored
}

// applyRestored takes an entry of the first copy after a restoration. What this host knew of it is
// newer and is written again; one that had been removed goes again. r.mu is held.
func (r *Registry) applyRestored(d Digest, e entry, version uint64) storedEntry {
	now := r.o.Clock.Now()
	if known, found := r.entries[d]; found {
		known.version = version
		if known.Released != e.Released || known.HoldCount != e.HoldCount || known.Bystander != e.Bystander {
			known.rewritePendingSince = now
		}
		return known
	}
	if _, removed := r.removed[d]; removed {
		r.answered[d] = clearance{at: now}
		r.o.Log.Info("restored entry was removed before; removed again", "digest", d.String(), "version", store.FormatVersion(version))
	}
	r.updateTable(d, e)
	return storedEntry{entry: e, version: version, seenAt: now}
}

// keepMissing returns an entry that a copy lacks and that counts all the same: it was written since the
// copy, or a restored store lost it. r.mu is held.
func (r *Registry) keepMissing(s storedEntry, revision uint64, restored bool) (kept storedEntry, ok bool) {
	now := r.o.Clock.Now()
	switch {
	case s.version > revision:
		return s, true
	case restored:
		s.version, s.rewritePendingSince = store.Absent, now
		return s, true
	}
	return s, s.version == store.Absent && now.Sub(s.rewritePendingSince) < rewriteTimeout
}

// recordRemoval notes that an entry was removed; r.mu is held.
func (r *Registry) recordRemoval(d Digest) {
	now := r.o.Clock.Now()
	for other, at := range r.removed {
		if now.Sub(at) > removalTTL {
			delete(r.removed, other)
		}
	}
	r.removed[d] = now
}

// rewriteEntries writes the entries that a restored store has lost, or has as they were before. The
// hosts that follow the store do it; the first one's write is the one that counts.
func (r *Registry) rewriteEntries(ctx context.Context) {
	if !r.o.FollowsStore() {
		return
	}
	r.mu.Lock()
	pending := map[Digest]storedEntry{}
	for d, s := range r.entries {
		if !s.rewritePendingSince.IsZero() {
			pending[d] = s
		}
	}
	r.mu.Unlock()
	for d, s := range pending {
		r.putEntry(ctx, d, s.entry, s.version)
	}
}
