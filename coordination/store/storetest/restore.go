package storetest

import (
	"time"

	"github.com/thymerack/thymerack/coordination/store"
)

// Restore restores the store's state at a revision: later changes are lost, their revisions are
// assigned again, and the epoch rises by one.
func (p *Platform) Restore(revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.restore(func(c change) bool { return store.RevisionOf(c.revision) <= revision })
}

// RestoreBefore restores the state that the store had the given time ago.
func (p *Platform) RestoreBefore(ago time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	to := time.Now().Add(-ago)
	p.restore(func(c change) bool { return !c.at.After(to) })
}

// Revision returns the store's present revision.
func (p *Platform) Revision() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revision
}

// restore restores the longest prefix of the changes for which keep holds; p.mu is held.
func (p *Platform) restore(keep func(change) bool) {
	epoch := store.EpochOf(p.revision) + 1
	n := 0
	for n < len(p.allChanges) && keep(p.allChanges[n]) {
		n++
	}
	p.allChanges = p.allChanges[:n:n]
	p.objects = map[key]store.Object{}
	p.revision, p.oldest = store.MakeVersion(epoch, 0), store.MakeVersion(epoch, store.RevisionOf(p.oldest))
	for i := range p.allChanges {
		p.replay(&p.allChanges[i], epoch)
	}
	p.oldest = min(p.oldest, p.revision)
	p.changes = append([]change(nil), p.allChanges...)
	p.wakeWatches()
}

// replay applies a change again, with its revisions moved to the epoch; p.mu is held.
func (p *Platform) replay(c *change, epoch uint64) {
	c.revision = store.MakeVersion(epoch, store.RevisionOf(c.revision))
	o := &c.event.Object
	o.Version = store.MakeVersion(epoch, store.RevisionOf(o.Version))
	p.revision = c.revision
	if c.event.Deleted {
		delete(p.objects, key{o.Kind, o.Name})
		return
	}
	p.objects[key{o.Kind, o.Name}] = *o
}
