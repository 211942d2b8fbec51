package quarantine

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
)

const (
	// rewriteTimeout is how long an entry that a restored store lost stays in force until it is
	// written again. It leaves time for a few attempts of each host that follows the store.
	rewriteTimeout = 30 * time.Second
	// removalTTL is how long the removal of an entry is remembered: a restored store may have the
	// entry again.
	removalTTL = 5 * time.Minute
)

// advanceRevision sets the revision of the latest copy, and reports whether the store was restored
// to an earlier state since the previous one. r.mu must be held.
func (r *Registry) advanceRevision(revision uint64) (restored bool) {
	restored = store.RestoredBetween(r.revision, revision)
	r.revision = revision
	return restored
}

// applyRestored applies an entry of the first copy after a restore. If this host knows the entry,
// its own state is newer and is written again. An entry that had been removed before is removed
// again. r.mu must be held.
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
		r.o.Log.Info("restored entry had been removed before; removing it again", "digest", d.String(), "version", store.FormatVersion(version))
	}
	r.updateTable(d, e)
	return storedEntry{entry: e, version: version, seenAt: now}
}

// keepMissing returns an entry that a copy lacks, and reports whether it stays in force: it was
// written after the copy, or a restored store lost it. r.mu must be held.
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

// recordRemoval records that an entry was removed. r.mu must be held.
func (r *Registry) recordRemoval(d Digest) {
	now := r.o.Clock.Now()
	for other, at := range r.removed {
		if now.Sub(at) > removalTTL {
			delete(r.removed, other)
		}
	}
	r.removed[d] = now
}

// rewriteEntries writes the entries that a restored store lost or has in an older state. All hosts
// that follow the store do so; the first write takes effect and the others conflict.
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
