package follow

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
)

// maxDeletions bounds the deletions that a mirror remembers: a release that replaces
// 1,800 runners, each deleted once, fits twice. Whoever lacks older ones gets a whole copy.
const maxDeletions = 4096

// history is what a mirror needs to tell what changed since a revision that it has had.
type history struct {
	// completeSince is the revision from which on no deletion is missing.
	completeSince uint64
	// skippedFrom and skippedTo are the revisions before and after the last whole copy. What came
	// and went in between isn't known: it matters to those alone that were there.
	skippedFrom, skippedTo uint64
	// changedAt is the revision of the last change.
	changedAt uint64
	// deletions are those since, the oldest first.
	deletions []deletion
}

type deletion struct {
	object store.Object
	// revision is the mirror's revision once it knew.
	revision uint64
}

// recordFullCopy notes a whole copy, with the objects that it lacks. One recordFullCopy is remembered: whoever
// was there before an earlier one gets a whole copy.
func (h *history) recordFullCopy(from, to uint64, gone []store.Object) {
	if from == 0 {
		h.completeSince = to
	}
	h.completeSince = max(h.completeSince, h.skippedTo)
	h.skippedFrom, h.skippedTo = from, to
	for _, o := range gone {
		h.recordDeletion(o, to)
	}
}

// covers reports whether all that changed after a revision is known.
func (h *history) covers(revision uint64) bool {
	inJump := revision > h.skippedFrom && revision < h.skippedTo
	return revision >= h.completeSince && revision > 0 && !inJump
}

func (h *history) recordChange(revision uint64) { h.changedAt = revision }

// recordDeletion notes a deletion, also of an object that this mirror never had: a peer may.
func (h *history) recordDeletion(o store.Object, at uint64) {
	h.recordChange(at)
	h.deletions = append(h.deletions, deletion{o, at})
	if over := len(h.deletions) - maxDeletions; over > 0 {
		h.completeSince = h.deletions[over-1].revision
		h.deletions = append([]deletion(nil), h.deletions[over:]...)
	}
}

// Delta is what changed in a copy after a revision.
type Delta struct {
	// Revision is the store's revision that the copy is valid at with the change.
	Revision uint64
	// Full says that Objects are all there are; otherwise they are those that changed,
	// and Deleted those that are gone, each with the version that it had last.
	Full             bool
	Objects, Deleted []store.Object
	// Proven says that the copy, with the change, held all that the store had acknowledged
	// Age ago.
	Proven bool
	Age    time.Duration
}

// Empty reports whether nothing changed.
func (d Delta) Empty() bool { return !d.Full && len(d.Objects) == 0 && len(d.Deleted) == 0 }

// Since returns what changed after a revision: nothing if that isn't lower than the
// copy's own, and the whole copy if the history doesn't reach so far back or the store was
// restored since.
func (m *Mirror) Since(revision uint64) Delta {
	// The proof is read before the copy, which holds what is proven or more.
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

func (m *Mirror) addChanges(d *Delta, revision uint64) {
	for _, o := range m.objects {
		if o.Version > revision {
			d.Objects = append(d.Objects, o)
		}
	}
	for _, gone := range m.history.deletions {
		if gone.revision > revision {
			d.Deleted = append(d.Deleted, gone.object)
		}
	}
}

// Merge takes what changed at a peer after a revision that this mirror has had; asked is
// when the peer was asked.
func (m *Mirror) Merge(d Delta, from string, asked time.Time) {
	m.mergeChanges(d, from)
	if d.Proven {
		m.recordPeerProof(asked.Add(-d.Age), d.Revision)
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
	m.apply(b)
}

// MarkLost notes that neither a peer nor the store keeps this mirror up to date.
func (m *Mirror) MarkLost() { m.lost.Store(true) }

// PollOnce asks the store for changes once and takes them. It must not be called while Run
// does.
func (m *Mirror) PollOnce(ctx context.Context) bool {
	p, ok := m.o.Store.(Poller)
	if !ok {
		return m.list(ctx) == nil
	}
	_, err := m.poll(ctx, p)
	return err == nil
}

// MarkRelayed notes that a peer which follows the store keeps this mirror up to date.
// regained is how long ago the store answered that peer again, if ever it did not.
func (m *Mirror) MarkRelayed(regained time.Duration, ever bool) {
	m.lost.Store(false)
	if !ever {
		return
	}
	at := m.o.Clock.Now().Add(-regained)
	if before := m.regainedAt.Load(); before == nil || at.After(*before) {
		m.regainedAt.Store(&at)
	}
}
