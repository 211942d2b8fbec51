package quarantine

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/thymerack/thymerack/coordination/follow"
	"github.com/thymerack/thymerack/coordination/store"
)

// ApplyCopy takes a new copy of the store's entries. One that is gone was released by an
// operator, or because its request was answered.
func (r *Registry) ApplyCopy(c follow.Copy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	restored := r.advanceRevision(c.Revision)
	present := make(map[Digest]storedEntry, len(c.Objects))
	for _, o := range c.Objects {
		d, e, err := decodeEntry(o)
		if err != nil {
			r.logUnreadable(o, err)
			continue
		}
		present[d] = r.applyEntry(d, e, o.Version, restored)
	}
	for d, s := range r.entries {
		if _, found := present[d]; found {
			continue
		}
		if kept, ok := r.keepMissing(s, c.Revision, restored); ok {
			present[d] = kept
			continue
		}
		r.recordRemoval(d)
		r.o.Table.Clear(d)
		r.o.Log.Info("request no longer held", "digest", d.String(), "revision", store.FormatVersion(c.Revision))
	}
	r.entries = present
	if restored {
		r.wakeLoops()
	}
}

// applyEntry takes an entry of a copy; r.mu is held.
func (r *Registry) applyEntry(d Digest, e entry, version uint64, restored bool) storedEntry {
	current, known := r.entries[d]
	switch {
	case restored:
		return r.applyRestored(d, e, version)
	case known && current.version == version:
		return current
	}
	r.updateTable(d, e)
	return storedEntry{entry: e, version: version, seenAt: r.o.Clock.Now()}
}

// updateTable takes a new version of an entry; r.mu is held.
func (r *Registry) updateTable(d Digest, e entry) {
	_, answered := r.answered[d]
	if _, bystander := r.bystanders[d]; answered || (bystander && !e.Released) {
		return // it was written in ignorance of that
	}
	if e.Released && e.Bystander {
		r.o.Table.ReleaseBystander(d)
		r.o.Log.Info("request let go by the store's word", "digest", d.String(), "times", e.HoldCount)
		return
	}
	if e.Released {
		r.o.Table.ReleaseOnTrial(d)
		r.o.Log.Info("request released for a trial", "digest", d.String(), "times", e.HoldCount)
		return
	}
	if r.o.Table.Hold(d, e.Evidence) {
		r.logHold(d, "the store")
	}
}

func (r *Registry) logUnreadable(o store.Object, err error) {
	if r.unreadable[o.Name] != o.Version {
		r.unreadable[o.Name] = o.Version
		r.o.Log.Warn("entry of a held request not readable", "name", o.Name, "version", store.FormatVersion(o.Version), "cause", err.Error())
	}
}

// writeHolds brings to the store what is held and isn't there. The hosts that saw a crash
// themselves do it at once, others that follow the store when it is still missing later.
func (r *Registry) writeHolds(ctx context.Context) {
	for d := range r.o.Table.Holds() {
		if e, version, missing := r.missingEntry(d); missing {
			r.putEntry(ctx, d, e, version)
		}
	}
}

// missingEntry returns the entry that this host owes the store for a request, and the version to
// replace. The hold is read under the lock under which releases are taken: one that was read
// before, while a write waited for the store, would look like a hold that nobody has written,
// and writing it would undo the release at all hosts.
func (r *Registry) missingEntry(d Digest) (e entry, version uint64, missing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	hold := r.o.Table.Held(d)
	if hold == nil || len(r.entries) >= maxHeld {
		return entry{}, 0, false
	}
	s, found := r.entries[d]
	takeOver := r.o.Clock.Now().Sub(hold.At) > takeoverDelay && r.o.FollowsStore()
	if (found && !s.Released) || !(hold.Local || takeOver) {
		return entry{}, 0, false
	}
	return entry{Evidence: hold.Evidence, HoldCount: s.HoldCount + 1}, s.version, true
}

// putEntry writes an entry at its known version. A conflict says that another host was faster.
func (r *Registry) putEntry(ctx context.Context, d Digest, e entry, version uint64) {
	value, err := json.Marshal(e)
	if err != nil {
		r.o.Log.Error("held request not written", "digest", d.String(), "cause", err.Error())
		return
	}
	newVersion, err := r.o.Store.Put(ctx, Kind, d.String(), version, value)
	switch {
	case err == nil:
		r.recordWrite(d, storedEntry{entry: e, version: newVersion, seenAt: r.o.Clock.Now()})
		r.o.Log.Info("held request written", "digest", d.String(), "released", e.Released, "times", e.HoldCount, "version", store.FormatVersion(newVersion))
	case store.IsConflict(err):
		// the copy of the store will show what the other wrote
	case ctx.Err() == nil:
		r.o.Log.Warn("held request not written", "digest", d.String(), "cause", err.Error())
	}
}

// recordWrite takes an entry that this host has written, until a copy of the store shows it. A copy
// that is as new has shown it already, or its removal, which an answer that was long on its way
// would undo at this host alone. A hold that was let go while the write was on its way has its
// entry removed again: a store can't tell one that was removed from one that was never there.
func (r *Registry) recordWrite(d Digest, s storedEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !s.Released && r.o.Table.Held(d) == nil {
		r.answered[d] = clearance{at: s.seenAt, local: true}
	}
	if s.version <= r.revision || s.version <= r.entries[d].version {
		return
	}
	r.entries[d] = s
	r.updateTable(d, s.entry)
}

// reconcile holds what has an entry, and lets go what has none although there was time to
// write it: news of an entry may have come when an answer spoke against it, or not at all.
func (r *Registry) reconcile() {
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for d, s := range r.entries {
		if !s.Released && r.o.Table.Held(d) == nil {
			r.updateTable(d, s.entry)
		}
	}
	for d, hold := range r.o.Table.Holds() {
		if _, found := r.entries[d]; !found && now.Sub(hold.At) > initialHold {
			r.o.Table.Clear(d)
			r.o.Log.Info("request no longer held: no entry of it", "digest", d.String(), "held", now.Sub(hold.At))
		}
	}
}

// expireEntries releases entries whose time is over and removes those that are needed no more. The
// hosts that follow the store do it; the first one's write is the one that counts.
func (r *Registry) expireEntries(ctx context.Context) {
	release, remove := r.dueEntries()
	for d, s := range release {
		s.Released = true
		r.putEntry(ctx, d, s.entry, s.version)
	}
	for d, s := range remove {
		err := r.o.Store.Delete(ctx, Kind, d.String(), s.version)
		switch {
		case err == nil, store.IsConflict(err), errors.Is(err, store.ErrNotFound):
			r.mu.Lock()
			delete(r.answered, d)
			r.mu.Unlock()
		case ctx.Err() == nil:
			r.o.Log.Warn("entry of a released request not removed", "digest", d.String(), "cause", err.Error())
		}
	}
}

// dueEntries are the entries to be released and to be removed.
func (r *Registry) dueEntries() (release, remove map[Digest]storedEntry) {
	followsStore := r.o.FollowsStore()
	now := r.o.Clock.Now()
	release, remove = map[Digest]storedEntry{}, map[Digest]storedEntry{}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, cleared := range []map[Digest]clearance{r.answered, r.bystanders} {
		for d, a := range cleared {
			if _, found := r.entries[d]; !found && now.Sub(a.at) > clearanceTTL {
				delete(cleared, d)
			}
		}
	}
	for d, s := range r.entries {
		if s.version == store.Absent {
			continue // lost by the store, and not written again yet
		}
		age := now.Sub(s.seenAt)
		a, answered := r.answered[d]
		_, bystander := r.bystanders[d]
		switch {
		case answered && (a.local || followsStore), followsStore && s.Released && age > releasedEntryTTL:
			remove[d] = s
		case followsStore && !s.Released && (bystander || age > s.holdDuration()):
			s.Bystander = bystander
			release[d] = s
		}
	}
	return release, remove
}
