package follow

import (
	"context"
	"sort"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
)

// minDeletionsBound is the least number of deletions that a mirror keeps if there are as many; a
// mirror of more objects keeps as many deletions as it has objects, so that it holds a release that
// replaces all of them. A peer that lacks older deletions gets a full copy.
const minDeletionsBound = 4096

// history is what a mirror needs to compute the changes since an earlier revision.
type history struct {
	// completeSince is the revision after which deletions holds every deletion.
	completeSince uint64
	// skippedFrom and skippedTo are the revisions before and after the last full copy. Objects that
	// were created and deleted between the two are unknown, so that no delta can be computed for a
	// peer whose revision lies between them.
	skippedFrom, skippedTo uint64
	// changedAt is the revision of the last change.
	changedAt uint64
	// deletions are the deletions after completeSince, oldest first.
	deletions []deletion
	// updates are the objects that were created or changed after updatesSince, oldest first.
	updates      []update
	updatesSince uint64
	// maxObjects is the largest number of objects that the mirror had at a time.
	maxObjects int
}

// deletion is an object that was deleted.
type deletion struct {
	object store.Object
	// revision is the mirror's revision once it had applied the deletion.
	revision uint64
}

// update is an object that was created or changed.
type update struct {
	name string
	// revision is the mirror's revision once it had applied the update.
	revision uint64
}

// recordFullCopy records that a full copy replaced the mirror's objects; gone are the objects that
// the copy lacks. Only the last full copy is kept: a peer at a revision before an earlier one gets
// a full copy.
func (h *history) recordFullCopy(from, to uint64, gone []store.Object) {
	if from == 0 {
		h.completeSince = to
	}
	h.completeSince = max(h.completeSince, h.skippedTo)
	h.updates, h.updatesSince = nil, to
	h.skippedFrom, h.skippedTo = from, to
	for _, o := range gone {
		h.recordDeletion(o, to)
	}
}

// covers reports whether all changes after a revision are known.
func (h *history) covers(revision uint64) bool {
	skipped := revision > h.skippedFrom && revision < h.skippedTo
	return revision >= h.completeSince && revision > 0 && !skipped
}

func (h *history) recordChange(revision uint64) { h.changedAt = revision }

// recordSize records the number of objects that the mirror has.
func (h *history) recordSize(objects int) { h.maxObjects = max(h.maxObjects, objects) }

// recordDeletion records a deletion, also of an object that this mirror never had: a peer may have it.
func (h *history) recordDeletion(o store.Object, at uint64) {
	h.recordChange(at)
	h.deletions = append(h.deletions, deletion{o, at})
	if over := len(h.deletions) - max(minDeletionsBound, h.maxObjects); over > 0 {
		h.completeSince = h.deletions[over-1].revision
		h.deletions = append([]deletion(nil), h.deletions[over:]...)
	}
}

// recordUpdate records an object that was created or changed.
func (h *history) recordUpdate(name string, at uint64) {
	h.updates = append(h.updates, update{name, at})
	if over := len(h.updates) - max(minDeletionsBound, h.maxObjects); over > 0 {
		h.updatesSince = h.updates[over-1].revision
		h.updates = append([]update(nil), h.updates[over:]...)
	}
}

// updatedSince returns the names of the objects that were created or changed after a revision, which
// may repeat; ok is false if they aren't known.
func (h *history) updatedSince(revision uint64) (updates []update, ok bool) {
	if revision < h.updatesSince {
		return nil, false
	}
	first := sort.Search(len(h.updates), func(i int) bool { return h.updates[i].revision > revision })
	return h.updates[first:], true
}

// deletedSince returns the deletions after a revision.
func (h *history) deletedSince(revision uint64) []deletion {
	first := sort.Search(len(h.deletions), func(i int) bool { return h.deletions[i].revision > revision })
	return h.deletions[first:]
}

// Delta holds the changes of a copy after a revision.
type Delta struct {
	// Revision is the store's revision at which the copy is valid once the changes are applied.
	Revision uint64
	// Full says that Objects are all objects of the copy, in a list that must not be modified and is
	// the same in each such delta until an object changes. Otherwise Objects are those that changed,
	// and Deleted those that were deleted, each with a version that isn't below its last one. In calls
	// of Options.OnDelta they have their last version and value, which the receiver may not have seen.
	Full             bool
	Objects, Deleted []store.Object
	// Proven says that the copy with these changes held everything that the store had acknowledged
	// up to Age ago.
	Proven bool
	Age    time.Duration
	// Source is the call that brought the changes to this host. ProvenBefore is a time at which the
	// copy without them held everything that the store had acknowledged; zero if none is known. Both
	// are set in calls of Options.OnDelta only, and aren't sent to peers.
	Source       Source
	ProvenBefore time.Time
}

// Source is the call that brought changes to a mirror.
type Source string

// The sources; a peer's changes have PeerSource.
const (
	SourceWatch Source = "watch"
	SourcePoll  Source = "poll"
	SourceList  Source = "list"
)

// PeerSource is the source of the changes that the peer at an address sent.
func PeerSource(addr string) Source { return Source("peer " + addr) }

// Empty reports whether nothing changed.
func (d Delta) Empty() bool { return !d.Full && len(d.Objects) == 0 && len(d.Deleted) == 0 }

// Since returns the changes after a revision: none if the revision isn't lower than that of the
// last change, and a full copy if the history doesn't reach back that far or the store was
// restored since.
func (m *Mirror) Since(revision uint64) Delta {
	// The proof is read before the objects, so that they are at least as new as the proof says.
	proven := m.proof.Load()
	m.mu.Lock()
	defer m.mu.Unlock()
	d := Delta{Revision: m.revision}
	if proven != nil && proven.epoch == store.EpochOf(m.revision) {
		d.Proven, d.Age = true, m.o.Clock.Now().Sub(proven.at)
	}
	switch {
	case revision >= m.history.changedAt:
	case !m.history.covers(revision) || store.EpochOf(revision) != store.EpochOf(m.revision):
		d.Full, d.Objects = true, m.copyLocked().Objects
	default:
		m.addChanges(&d, revision)
	}
	return d
}

// addChanges adds the objects that changed and were deleted after a revision; m.mu is held.
func (m *Mirror) addChanges(d *Delta, revision uint64) {
	d.Objects = m.updatedObjects(revision)
	for _, gone := range m.history.deletedSince(revision) {
		d.Deleted = append(d.Deleted, gone.object)
	}
}

// updatedObjects returns the objects that changed after a revision; m.mu is held. The cost grows with
// their number, unless the revision is older than the history of updates.
func (m *Mirror) updatedObjects(revision uint64) []store.Object {
	var out []store.Object
	updates, known := m.history.updatedSince(revision)
	if !known {
		for _, o := range m.objects {
			if o.Version > revision {
				out = append(out, o)
			}
		}
		return out
	}
	added := make(map[string]bool, len(updates))
	for _, u := range updates {
		if o, listed := m.objects[u.name]; listed && o.Version > revision && !added[u.name] {
			added[u.name] = true
			out = append(out, o)
		}
	}
	return out
}

// Merge applies a peer's changes since a revision that this mirror has had. sentAt is the time at
// which the request to the peer was sent.
func (m *Mirror) Merge(d Delta, from string, sentAt time.Time) {
	m.mergeChanges(d, from)
	if d.Proven {
		m.recordPeerProof(sentAt.Add(-d.Age), d.Revision)
	}
}

func (m *Mirror) mergeChanges(d Delta, from string) {
	if d.Full {
		m.Adopt(Copy{Revision: d.Revision, Objects: d.Objects}, from)
		return
	}
	b := store.Batch{Revision: d.Revision}
	for _, o := range d.Deleted {
		b.Events = append(b.Events, store.Event{Object: o, Deleted: true})
	}
	for _, o := range d.Objects {
		b.Events = append(b.Events, store.Event{Object: o})
	}
	m.apply(b, PeerSource(from))
}

// MarkLost records that neither the store nor a peer keeps this mirror up to date.
func (m *Mirror) MarkLost() { m.lost.Store(true) }

// PollOnce asks the store for changes once, applies them and reports whether the store answered. It
// must not be called while Run runs.
func (m *Mirror) PollOnce(ctx context.Context) bool {
	p, ok := m.o.Store.(Poller)
	if !ok {
		return m.list(ctx) == nil
	}
	_, err := m.poll(ctx, p)
	return err == nil
}

// MarkRelayed records that a peer that follows the store keeps this mirror up to date. regained
// is how long ago the store answered that peer again after an outage; ever is false if that peer
// saw no outage. The outage of a peer isn't one of this mirror if others kept it up to date.
func (m *Mirror) MarkRelayed(regained time.Duration, ever bool) {
	if !m.lost.Swap(false) || !ever {
		return
	}
	at := m.o.Clock.Now().Add(-regained)
	if before := m.regainedAt.Load(); before == nil || at.After(*before) {
		m.regainedAt.Store(&at)
	}
}
