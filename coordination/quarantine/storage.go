package quarantine

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/thymerack/thymerack/coordination/follow"
	"github.com/thymerack/thymerack/coordination/store"
)

// ApplyCopy applies a new copy of the store's entries. An entry that it lacks was removed: an
// operator released the request, or the request was answered.
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
		if r.writing[d] {
			// The write may still take effect, and a copy may show its entry before the answer arrives.
			r.answered[d] = clearance{at: r.o.Clock.Now(), local: true}
		}
		r.o.Log.Info("request no longer held", "digest", d.String(), "revision", store.FormatVersion(c.Revision))
	}
	r.entries = present
	if restored {
		r.wakeLoops()
	}
}

// applyEntry returns an entry of a copy with this host's state of it. It updates the table if the
// version is new. r.mu must be held.
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

// updateTable holds or releases a request as its entry says. r.mu must be held.
func (r *Registry) updateTable(d Digest, e entry) {
	_, answered := r.answered[d]
	if _, bystander := r.bystanders[d]; answered || (bystander && !e.Released) {
		return // the writer of the entry didn't know of the answer or the release
	}
	if e.Released && e.Bystander {
		r.o.Table.ReleaseBystander(d)
		r.o.Log.Info("request released as a bystander by its entry", "digest", d.String(), "times", e.HoldCount)
		return
	}
	if e.Released {
		r.o.Table.ReleaseOnTrial(d)
		r.o.Log.Info("request released on trial by its entry", "digest", d.String(), "times", e.HoldCount)
		return
	}
	if r.contradict(d, e.Evidence) {
		return
	}
	if r.o.Table.Hold(d, e.Evidence) {
		r.logHold(d, "the store")
	}
}

// logUnreadable logs an object that can't be decoded, once for each version. r.mu must be held.
func (r *Registry) logUnreadable(o store.Object, err error) {
	if r.unreadable[o.Name] != o.Version {
		r.unreadable[o.Name] = o.Version
		r.o.Log.Warn("entry of a held request not decodable", "name", o.Name, "version", store.FormatVersion(o.Version), "cause", err.Error())
	}
}

// writeHolds writes the holds that have no entry in the store. Hosts that saw one of the crashes
// write at once. Other hosts that follow the store write if the entry is still missing after
// takeoverDelay.
func (r *Registry) writeHolds(ctx context.Context) {
	for d := range r.o.Table.Holds() {
		if e, version, missing := r.missingEntry(d); missing {
			r.putEntry(ctx, d, e, version)
			r.endWrite(d)
		}
	}
}

// endWrite records that the write which missingEntry began has ended.
func (r *Registry) endWrite(d Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.writing, d)
}

// missingEntry returns the entry that this host must write for a request, and the version that it
// replaces. The caller must call endWrite once it has written it. The hold is read under r.mu, which is held while releases are applied. A hold that was
// read earlier, while another write waited for the store, may have been released and its entry
// removed since: it would look like a hold without an entry, and writing it would undo the release
// at all hosts.
func (r *Registry) missingEntry(d Digest) (e entry, version uint64, missing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	hold := r.o.Table.Held(d)
	if hold == nil || len(r.entries) >= maxHeld {
		return entry{}, 0, false
	}
	s, found := r.entries[d]
	if found && !s.Released && hold.Local && hold.trials() > (&Hold{Evidence: s.Evidence}).trials() {
		// Hosts that start must know how often the part was tried.
		r.writing[d] = true
		return entry{Evidence: hold.Evidence, HoldCount: s.HoldCount}, s.version, true
	}
	takeOver := r.o.Clock.Now().Sub(hold.At) > takeoverDelay && r.o.FollowsStore()
	if (found && !s.Released) || !(hold.Local || takeOver) {
		return entry{}, 0, false
	}
	r.writing[d] = true
	return entry{Evidence: hold.Evidence, HoldCount: s.HoldCount + 1}, s.version, true
}

// putEntry writes an entry over its known version. A conflict means that another host wrote first.
func (r *Registry) putEntry(ctx context.Context, d Digest, e entry, version uint64) {
	value, err := json.Marshal(e)
	if err != nil {
		r.o.Log.Error("entry of a held request not written", "digest", d.String(), "cause", err.Error())
		return
	}
	newVersion, err := r.o.Store.Put(ctx, Kind, d.String(), version, value)
	switch {
	case err == nil:
		r.recordWrite(d, storedEntry{entry: e, version: newVersion, seenAt: r.o.Clock.Now()})
		r.o.Log.Info("entry of a held request written", "digest", d.String(), "released", e.Released, "times", e.HoldCount, "version", store.FormatVersion(newVersion))
	case store.IsConflict(err):
		// the next copy of the store shows the other host's entry
	case ctx.Err() == nil:
		r.o.Log.Warn("entry of a held request not written", "digest", d.String(), "cause", err.Error())
	}
}

// recordWrite keeps an entry that this host has written until a copy of the store shows it. If the
// latest copy is as new as the write, it has already shown the entry or its removal; applying the
// entry after a delayed answer of the store would undo the removal at this host alone. If the
// request was released while the write was in flight, the entry is removed again: the store
// accepted the write, since it can't distinguish an entry that was removed from one that never
// existed.
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

// reconcile holds requests that have an entry, and releases those that still have none after
// initialHold. It corrects two cases: this host ignored an entry because it knew of an answer, or
// it missed the release of a request whose entry it had never seen.
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
			r.o.Log.Info("request no longer held: the store has no entry for it", "digest", d.String(), "held", now.Sub(hold.At))
		}
	}
}

// expireEntries releases entries whose hold has expired and removes entries that are no longer
// needed. All hosts that follow the store do so; the first write takes effect and the others
// conflict.
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

// dueEntries returns the entries to release and those to remove. It also drops expired clearances.
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
			continue // a restored store lost it, and it is not written again yet
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
