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
	restored := r.advance(c.Revision)
	present := make(map[Digest]stored, len(c.Objects))
	for _, o := range c.Objects {
		d, e, err := decodeEntry(o)
		if err != nil {
			r.noteUnreadable(o, err)
			continue
		}
		present[d] = r.take(d, e, o.Version, restored)
	}
	for d, s := range r.entries {
		if _, there := present[d]; there {
			continue
		}
		if kept, is := r.keep(s, c.Revision, restored); is {
			present[d] = kept
			continue
		}
		r.removedNow(d)
		r.o.Table.Clear(d)
		r.o.Log.Info("request no longer held", "digest", d.String(), "revision", store.FormatVersion(c.Revision))
	}
	r.entries = present
	if restored {
		r.rouse()
	}
}

// take takes an entry of a copy; r.mu is held.
func (r *Registry) take(d Digest, e entry, version uint64, restored bool) stored {
	before, known := r.entries[d]
	switch {
	case restored:
		return r.takeRestored(d, e, version)
	case known && before.version == version:
		return before
	}
	r.adopt(d, e)
	return stored{entry: e, version: version, seenAt: r.o.Clock.Now()}
}

// adopt takes a new version of an entry; r.mu is held.
func (r *Registry) adopt(d Digest, e entry) {
	_, answered := r.answered[d]
	if _, outdone := r.outdone[d]; answered || (outdone && !e.Released) {
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
		r.logHeld(d, "the store")
	}
}

func (r *Registry) noteUnreadable(o store.Object, err error) {
	if r.unreadable[o.Name] != o.Version {
		r.unreadable[o.Name] = o.Version
		r.o.Log.Warn("entry of a held request not readable", "name", o.Name, "version", store.FormatVersion(o.Version), "cause", err.Error())
	}
}

// write brings to the store what is held and isn't there. The hosts that saw a crash
// themselves do it at once, others that follow the store when it is still missing later.
func (r *Registry) write(ctx context.Context) {
	for d := range r.o.Table.Holds() {
		if e, version, missing := r.missing(d); missing {
			r.put(ctx, d, e, version)
		}
	}
}

// missing returns the entry that this host owes the store for a request, and the version to
// replace. The hold is read under the lock under which releases are taken: one that was read
// before, while a write waited for the store, would look like a hold that nobody has written,
// and writing it would undo the release at all hosts.
func (r *Registry) missing(d Digest) (e entry, version uint64, missing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	hold := r.o.Table.Held(d)
	if hold == nil || len(r.entries) >= mostHeld {
		return entry{}, 0, false
	}
	s, there := r.entries[d]
	late := r.o.Clock.Now().Sub(hold.At) > standInAfter && r.o.FollowsStore()
	if (there && !s.Released) || !(hold.Local || late) {
		return entry{}, 0, false
	}
	return entry{Evidence: hold.Evidence, HoldCount: s.HoldCount + 1}, s.version, true
}

// put writes an entry at its known version. A conflict says that another host was faster.
func (r *Registry) put(ctx context.Context, d Digest, e entry, version uint64) {
	value, err := json.Marshal(e)
	if err != nil {
		r.o.Log.Error("held request not written", "digest", d.String(), "cause", err.Error())
		return
	}
	now, err := r.o.Store.Put(ctx, Kind, d.String(), version, value)
	switch {
	case err == nil:
		r.wrote(d, stored{entry: e, version: now, seenAt: r.o.Clock.Now()})
		r.o.Log.Info("held request written", "digest", d.String(), "released", e.Released, "times", e.HoldCount, "version", store.FormatVersion(now))
	case store.IsConflict(err):
		// the copy of the store will show what the other wrote
	case ctx.Err() == nil:
		r.o.Log.Warn("held request not written", "digest", d.String(), "cause", err.Error())
	}
}

// wrote takes an entry that this host has written, until a copy of the store shows it. A copy
// that is as new has shown it already, or its removal, which an answer that was long on its way
// would undo at this host alone. A hold that was let go while the write was on its way has its
// entry removed again: a store can't tell one that was removed from one that was never there.
func (r *Registry) wrote(d Digest, s stored) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !s.Released && r.o.Table.Held(d) == nil {
		r.answered[d] = answer{at: s.seenAt, own: true}
	}
	if s.version <= r.revision || s.version <= r.entries[d].version {
		return
	}
	r.entries[d] = s
	r.adopt(d, s.entry)
}

// reconcile holds what has an entry, and lets go what has none although there was time to
// write it: news of an entry may have come when an answer spoke against it, or not at all.
func (r *Registry) reconcile() {
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for d, s := range r.entries {
		if !s.Released && r.o.Table.Held(d) == nil {
			r.adopt(d, s.entry)
		}
	}
	for d, hold := range r.o.Table.Holds() {
		if _, there := r.entries[d]; !there && now.Sub(hold.At) > holdFirst {
			r.o.Table.Clear(d)
			r.o.Log.Info("request no longer held: no entry of it", "digest", d.String(), "held", now.Sub(hold.At))
		}
	}
}

// sweep releases entries whose time is over and removes those that are needed no more. The
// hosts that follow the store do it; the first one's write is the one that counts.
func (r *Registry) sweep(ctx context.Context) {
	release, remove := r.due()
	for d, s := range release {
		s.Released = true
		r.put(ctx, d, s.entry, s.version)
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

// due are the entries to be released and to be removed.
func (r *Registry) due() (release, remove map[Digest]stored) {
	follows := r.o.FollowsStore()
	now := r.o.Clock.Now()
	release, remove = map[Digest]stored{}, map[Digest]stored{}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, gone := range []map[Digest]answer{r.answered, r.outdone} {
		for d, a := range gone {
			if _, there := r.entries[d]; !there && now.Sub(a.at) > answeredFor {
				delete(gone, d)
			}
		}
	}
	for d, s := range r.entries {
		if s.version == store.Absent {
			continue // lost by the store, and not written again yet
		}
		age := now.Sub(s.seenAt)
		a, answered := r.answered[d]
		_, outdone := r.outdone[d]
		switch {
		case answered && (a.own || follows), follows && s.Released && age > forgetAfter:
			remove[d] = s
		case follows && !s.Released && (outdone || age > s.holdFor()):
			s.Bystander = outdone
			release[d] = s
		}
	}
	return release, remove
}
