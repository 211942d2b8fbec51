// Package follow keeps a host's copy of objects that others write at the
// platform's store: the routing configuration and the list of instances.
package follow

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

const (
	// initialRetryDelay and retryMost are the pauses between calls to a store that does
	// not answer: each call is priced, and the bound for a new configuration
	// (2 s and more) counts from when the store has been back for some seconds.
	initialRetryDelay = 200 * time.Millisecond
	maxRetryDelay     = time.Second
	// relistTimeout bounds the list after a watch that was cut: a store that drops its
	// waiting watches answers the next call in some milliseconds, though watches may
	// hear nothing for a second, and hosts that follow this one shouldn't all turn to it.
	relistTimeout = 500 * time.Millisecond
)

// Poller is a store whose changes can be asked for without waiting.
type Poller interface {
	// Poll returns the changes after a revision at once, as store.Store's Watch.
	Poll(ctx context.Context, kind string, after uint64) (store.Batch, error)
}

// Options configure a Mirror. All fields are required.
type Options struct {
	// Store may be a Poller; then its return is noticed though nothing changes.
	Store store.Store
	Clock state.Clock
	Log   *slog.Logger
	// Kind is the kind of the objects.
	Kind string
	// OnChange gets the whole copy after each change, one call at a time.
	OnChange func(Copy)
	// Notify is called when the copy or the word of the store has changed; nil for none.
	Notify func()
	// RetryGroup is shared by the mirrors that follow the same store.
	RetryGroup *RetryGroup
	// CoalesceDelay is the pause after a watch that brought changes, so that changes in
	// quick succession cost one call; it delays the later ones. May be zero.
	CoalesceDelay time.Duration
	// RecoveryTime is how long after a restoration of the store what it lost may not be written again:
	// what it answers until then proves nothing. May be zero.
	RecoveryTime time.Duration
	// Newer reports whether the first of two objects of a name is the newer by its value alone; nil
	// if values can't tell. Such a one stays when a restored store has the other.
	Newer func(a, b store.Object) bool
}

// Copy is the objects of a kind at one revision of the store.
type Copy struct {
	Revision uint64
	Objects  []store.Object
}

// Mirror follows the objects of one kind: listed once, then by watches that wait
// at the store. It never goes back to a lower revision, whoever offers it.
type Mirror struct {
	o Options

	mu       sync.Mutex
	objects  map[string]store.Object
	revision uint64
	// peerRevision is the revision of a peer's copy when this host started.
	peerRevision uint64
	history      history
	// lostAt is when the store stopped answering; Run alone uses it.
	lostAt time.Time
	// regainedAt is when it answered again; nil if it has always answered.
	regainedAt atomic.Pointer[time.Time]
	lost       atomic.Bool
	// relisting is set for the list that follows a watch which was cut; Run alone uses it.
	relisting bool
	// consecutiveGaps is the number of watches in a row whose history was gone; Run alone uses it.
	consecutiveGaps int
	// following is set while Run follows the store and is answered.
	following atomic.Bool
	// proof is the latest Proven; nil before the first.
	proof atomic.Pointer[proof]
	// proofsSuspended is set while the store's answers prove nothing, since this host has just started.
	proofsSuspended atomic.Bool
	// restoredAt is when this host learnt that the store was restored; nil if it never was.
	restoredAt  atomic.Pointer[time.Time]
	answerStats answerStats
}

// New validates the options.
func New(o Options) (*Mirror, error) {
	if o.Store == nil || o.Clock == nil || o.Log == nil || o.Kind == "" || o.OnChange == nil || o.RetryGroup == nil {
		return nil, errors.New("follow: a field of Options is missing; set all of them")
	}
	return &Mirror{o: o, objects: map[string]store.Object{}, answerStats: newAnswerStats()}, nil
}

// Lost reports whether the store doesn't answer this host.
func (m *Mirror) Lost() bool { return m.lost.Load() }

// Following reports whether this mirror follows the store itself and was answered last.
func (m *Mirror) Following() bool { return m.following.Load() }

// UnavailableWithin reports whether the store didn't answer this host at some moment of
// the last d.
func (m *Mirror) UnavailableWithin(d time.Duration) bool {
	if m.lost.Load() {
		return true
	}
	back, ever := m.Regained()
	return ever && back < d
}

// Regained is how long ago the store answered again; ever is false if it always has.
func (m *Mirror) Regained() (ago time.Duration, ever bool) {
	at := m.regainedAt.Load()
	if at == nil {
		return 0, false
	}
	return m.o.Clock.Now().Sub(*at), true
}

// Revision is the store's revision of the copy; 0 before the first.
func (m *Mirror) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Export returns the copy.
func (m *Mirror) Export() Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.copyLocked()
}

func (m *Mirror) copyLocked() Copy {
	c := Copy{Revision: m.revision, Objects: make([]store.Object, 0, len(m.objects))}
	for _, o := range m.objects {
		c.Objects = append(c.Objects, o)
	}
	return c
}

// Adopt takes a copy that a peer has, if it is newer, and reports whether it was.
func (m *Mirror) Adopt(c Copy, from string) bool {
	if !m.replace(c.Objects, c.Revision) {
		m.adoptNewerValues(c, from)
		return false
	}
	m.o.Log.Info("copy adopted from a peer", "kind", m.o.Kind, "revision", store.FormatVersion(c.Revision), "peer", from)
	return true
}

// Run follows the store until ctx ends. It may be run again, one run at a time; a copy
// that it has by then is brought up to date by the changes since.
func (m *Mirror) Run(ctx context.Context) {
	defer m.stopped()
	pause := initialRetryDelay
	listed := m.Revision() > 0
	for ctx.Err() == nil {
		var err error
		if !listed || m.relisting {
			err = m.list(ctx)
			listed = listed || err == nil
		} else {
			listed, err = m.watch(ctx)
		}
		if err == nil {
			pause, m.relisting = initialRetryDelay, false
			continue
		}
		m.relisting = !m.relisting && m.Following() && m.mayRelist(ctx)
		if m.relisting {
			continue
		}
		m.markFailed(ctx, err)
		if m.waitToRetry(ctx, pause) != nil {
			return
		}
		pause = min(2*pause, maxRetryDelay)
	}
}

// stopped notes that nobody follows the store any more.
func (m *Mirror) stopped() {
	m.o.RetryGroup.release(m)
	m.following.Store(false)
	m.notify()
}

func (m *Mirror) notify() {
	if m.o.Notify != nil {
		m.o.Notify()
	}
}

// jitter spreads the calls of hosts that lost the store together.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

func (m *Mirror) list(ctx context.Context) error {
	if m.relisting {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, relistTimeout)
		defer cancel()
	}
	asked, known := m.o.Clock.Now(), m.Revision()
	objects, revision, err := m.o.Store.List(ctx, m.o.Kind)
	if err != nil {
		return err
	}
	m.applyList(objects, revision)
	if revision < known {
		return &storeBehindError{store: revision, copied: known}
	}
	m.markAnswered()
	m.recordStoreProof(asked, revision)
	return nil
}

// storeBehindError says that the store told a state older than one that this host knew before it asked.
type storeBehindError struct{ store, copied uint64 }

// Error implements error.
func (e *storeBehindError) Error() string {
	return fmt.Sprintf("the store is at %s and this host's copy at %s; the copy stands until the store is as new: if the store was replaced by another, restart the hosts", store.FormatVersion(e.store), store.FormatVersion(e.copied))
}

// watch waits for changes. listed is false when the copy has to be read anew.
func (m *Mirror) watch(ctx context.Context) (listed bool, err error) {
	asked := m.o.Clock.Now()
	batch, err := m.fetchChanges(ctx)
	if err != nil {
		return true, err
	}
	m.markAnswered()
	if batch.Gap {
		m.countGap()
		return false, m.backOffAfterGap(ctx)
	}
	m.consecutiveGaps = 0
	m.applyBatch(batch)
	m.recordStoreProof(asked, batch.Revision)
	if len(batch.Events) > 0 && m.o.CoalesceDelay > 0 {
		return true, m.o.Clock.Sleep(ctx, m.o.CoalesceDelay)
	}
	return true, nil
}

// backOffAfterGap waits before the list that follows a gap, unless it is the first one in a row: a
// store that has no history for this host must not be asked without a pause.
func (m *Mirror) backOffAfterGap(ctx context.Context) error {
	m.consecutiveGaps++
	if m.consecutiveGaps == 1 {
		return nil
	}
	return m.o.Clock.Sleep(ctx, jitter(min(initialRetryDelay<<min(m.consecutiveGaps-2, 8), maxRetryDelay)))
}

// fetchChanges returns the fetchChanges changes. A store that didn't answer, or wasn't asked yet, is
// asked without waiting first: a watch would tell its return only with the fetchChanges change.
func (m *Mirror) fetchChanges(ctx context.Context) (store.Batch, error) {
	if p, ok := m.o.Store.(Poller); ok && !m.Following() {
		return p.Poll(ctx, m.o.Kind, m.Revision())
	}
	return m.o.Store.Watch(ctx, m.o.Kind, m.Revision())
}

// replace puts a whole newer copy in place.
func (m *Mirror) replace(objects []store.Object, revision uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision < m.revision || (revision == m.revision && m.revision != 0) {
		return false
	}
	restored := m.detectRestore(revision)
	before := m.objects
	m.objects = make(map[string]store.Object, len(objects))
	changed := restored || len(before) != len(objects)
	for _, o := range objects {
		if known, have := before[o.Name]; have && (restored || known.Version == o.Version) && m.newer(known, o) {
			o.Value = known.Value
		}
		m.objects[o.Name] = o
		changed = changed || before[o.Name].Version != o.Version
	}
	m.history.recordFullCopy(m.revision, revision, removedObjects(before, m.objects))
	first := m.revision == 0
	m.revision = revision
	if changed || first {
		m.history.recordChange(revision)
		m.o.OnChange(m.copyLocked())
		m.notify()
	}
	return true
}

// KeepsNewer reports whether objects stay that are newer by their values than a restored store's.
func (m *Mirror) KeepsNewer() bool { return m.o.Newer != nil }

func (m *Mirror) newer(a, b store.Object) bool {
	return m.o.Newer != nil && !bytes.Equal(a.Value, b.Value) && m.o.Newer(a, b)
}

// adoptNewerValues takes the objects that a peer kept and that are newer than this copy's, which are those of a
// restored store.
func (m *Mirror) adoptNewerValues(c Copy, from string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := false
	for _, o := range c.Objects {
		own, have := m.objects[o.Name]
		if !have || !m.newer(o, own) {
			continue
		}
		m.o.Log.Info("object kept by a peer is newer than the restored store's", "kind", m.o.Kind, "name", o.Name, "version", store.FormatVersion(own.Version), "kept", store.FormatVersion(o.Version), "peer", from)
		own.Value, taken = o.Value, true
		m.objects[o.Name] = own
	}
	if taken {
		m.o.OnChange(m.copyLocked())
		m.notify()
	}
}

// detectRestore reports whether a revision is of a later epoch, and notes it: what the store lost is being
// written again, as after an outage, even if this host always got its answers. m.mu is held.
func (m *Mirror) detectRestore(revision uint64) (restored bool) {
	known := cmp.Or(m.revision, m.peerRevision)
	if !store.RestoredBetween(known, revision) {
		return false
	}
	now := m.o.Clock.Now()
	m.regainedAt.Store(&now)
	m.restoredAt.Store(&now)
	m.o.Log.Warn("copy of a restored store", "kind", m.o.Kind, "revision", store.FormatVersion(revision), "before", store.FormatVersion(known), "objects_before", len(m.objects))
	return true
}

// removedObjects are the objects of one copy that another lacks.
func removedObjects(before, now map[string]store.Object) []store.Object {
	var out []store.Object
	for name, o := range before {
		if _, there := now[name]; !there {
			out = append(out, o)
		}
	}
	return out
}

// apply takes the events of a watch. Those that the copy has already are skipped:
// a peer's copy may have come while the watch was waiting. Changes to another epoch's copy say
// nothing of this one.
func (m *Mirror) apply(b store.Batch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if b.Revision <= m.revision || store.EpochOf(b.Revision) != store.EpochOf(m.revision) {
		return
	}
	changed, before := false, m.history.changedAt
	for _, e := range b.Events {
		if e.Deleted {
			m.history.recordDeletion(e.Object, b.Revision)
		}
		changed = m.applyEvent(e) || changed
	}
	m.revision = b.Revision
	if changed {
		m.history.recordChange(b.Revision)
		m.o.OnChange(m.copyLocked())
	}
	if m.history.changedAt != before {
		m.notify()
	}
}

// applyEvent takes one event and reports whether it changed the copy. A deletion
// carries the object's last version, so that it spares one created again since.
func (m *Mirror) applyEvent(e store.Event) bool {
	known, have := m.objects[e.Object.Name]
	if e.Deleted {
		if !have || known.Version > e.Object.Version {
			return false
		}
		delete(m.objects, e.Object.Name)
		return true
	}
	if e.Object.Version <= m.revision {
		return false
	}
	m.objects[e.Object.Name] = e.Object
	return true
}

func (m *Mirror) markAnswered() {
	m.o.RetryGroup.release(m)
	if !m.following.Swap(true) {
		m.notify()
	}
	if !m.lost.Swap(false) {
		return
	}
	now := m.o.Clock.Now()
	m.regainedAt.Store(&now)
	away := now.Sub(m.lostAt)
	m.o.Log.Info("store regained", "kind", m.o.Kind, "away", away, "revision", store.FormatVersion(m.Revision()))
}

func (m *Mirror) markFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if m.following.Swap(false) {
		m.notify()
	}
	if m.lost.Swap(true) {
		return
	}
	m.lostAt = m.o.Clock.Now()
	m.o.Log.Warn("store lost", "kind", m.o.Kind, "revision", store.FormatVersion(m.Revision()), "cause", fmt.Sprint(err))
}
