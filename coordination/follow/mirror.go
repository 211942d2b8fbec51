// Package follow keeps a host's mirrors of objects that others write at the platform's store, such
// as the routing configuration and the list of instances.
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

	"github.com/thymerack/thymerack/coordination/propagation"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

// initialRetryDelay is the first pause between calls to a store that doesn't answer. The pauses grow
// because each call is billed.
const initialRetryDelay = 200 * time.Millisecond

// Poller is implemented by a store that can return changes without waiting.
type Poller interface {
	// Poll is store.Store's Watch without the wait: it returns the changes after a revision at once.
	Poll(ctx context.Context, kind string, after uint64) (store.Batch, error)
}

// Options configures a Mirror. A field is required unless its comment says otherwise.
type Options struct {
	// Store may be a Poller: then its recovery is noticed even if nothing changes.
	Store store.Store
	Clock state.Clock
	Log   *slog.Logger
	// Kind is the kind of the mirrored objects.
	Kind string
	// OnChange is called with the whole copy after each change, and OnDelta with what has changed
	// since its last call, which costs no pass over all objects. Exactly one of them is set. There
	// is one call at a time.
	OnChange func(Copy)
	OnDelta  func(Delta)
	// Notify is called when the copy or the result of Following has changed; nil for none.
	Notify func()
	// RetryGroup is shared by the mirrors that follow the same store.
	RetryGroup *RetryGroup
	// Delays are the longest delays of the mirror's calls and pauses.
	Delays propagation.Delays
	// CoalesceDelay is the pause after a watch that returned changes, so that changes in quick
	// succession cost one call; it delays the later ones. May be zero.
	CoalesceDelay time.Duration
	// RecoveryTime is how long after a restoration of the store the lost writes may not have been
	// repeated: the store's answers prove nothing until then. May be zero.
	RecoveryTime time.Duration
	// Newer reports whether the first of two objects of one name is newer, judged by their values
	// alone; nil if the values don't say. An object that is newer than the one of a restored store
	// is kept.
	Newer func(a, b store.Object) bool
}

// Copy holds the objects of a kind at one revision of the store. The list must not be modified.
type Copy struct {
	Revision uint64
	Objects  []store.Object
}

// Mirror is a local copy of the objects of one kind: they are listed once, and then updated by
// watches that wait at the store, or by a peer's changes. Its revision never decreases,
// whatever the source of the changes.
type Mirror struct {
	o Options

	mu       sync.Mutex
	objects  map[string]store.Object
	revision uint64
	// all holds the objects as a list, which is never modified; nil until it is needed.
	all []store.Object
	// peerRevision is the revision of a peer's copy when this host started; 0 if no peer answered.
	peerRevision uint64
	history      history
	// lostAt is when the store stopped answering; only Run uses it.
	lostAt time.Time
	// regainedAt is when the store answered again; nil if it has always answered.
	regainedAt atomic.Pointer[time.Time]
	// lost is set while the store answers neither this host nor a peer that relays its changes.
	lost atomic.Bool
	// relisting is set for the list call that follows a cut watch; only Run uses it.
	relisting bool
	// listTimeouts is the number of successive lists that timed out; only Run uses it.
	listTimeouts int
	// consecutiveGaps is the number of successive watches that returned a gap; only Run uses it.
	consecutiveGaps int
	// following is set while Run runs and the store answered its last call.
	following atomic.Bool
	// proof is the latest proof that the copy was up to date; nil before the first.
	proof atomic.Pointer[proof]
	// proofsSuspended is set while the store's answers prove nothing, because this host has just started.
	proofsSuspended atomic.Bool
	// restoredAt is when this host noticed that the store was restored; nil if it never was.
	restoredAt  atomic.Pointer[time.Time]
	answerStats answerStats
}

// New returns an empty mirror, or an error if a required option is missing.
func New(o Options) (*Mirror, error) {
	if o.Store == nil || o.Clock == nil || o.Log == nil || o.Kind == "" || o.RetryGroup == nil || o.Delays == (propagation.Delays{}) {
		return nil, errors.New("follow: a required field of Options is missing; set Store, Clock, Log, Kind, RetryGroup and Delays")
	}
	if (o.OnChange == nil) == (o.OnDelta == nil) {
		return nil, errors.New("follow: Options.OnChange and OnDelta are both set or both missing; set one of them")
	}
	return &Mirror{o: o, objects: map[string]store.Object{}, answerStats: newAnswerStats()}, nil
}

// Lost reports whether the store doesn't answer this host and no peer relays its changes.
func (m *Mirror) Lost() bool { return m.lost.Load() }

// Following reports whether this mirror follows the store itself and its last call was answered.
func (m *Mirror) Following() bool { return m.following.Load() }

// UnavailableWithin reports whether the store didn't answer this host at some moment of the last d.
func (m *Mirror) UnavailableWithin(d time.Duration) bool {
	if m.lost.Load() {
		return true
	}
	back, ever := m.Regained()
	return ever && back < d
}

// Regained returns how long ago the store answered again; ever is false if it always has.
func (m *Mirror) Regained() (ago time.Duration, ever bool) {
	at := m.regainedAt.Load()
	if at == nil {
		return 0, false
	}
	return m.o.Clock.Now().Sub(*at), true
}

// Revision returns the store's revision of the copy; 0 before the first.
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

// copyLocked returns the copy, whose list of objects is the same until one changes; m.mu is held.
func (m *Mirror) copyLocked() Copy {
	if m.all == nil {
		m.all = make([]store.Object, 0, len(m.objects))
		for _, o := range m.objects {
			m.all = append(m.all, o)
		}
	}
	return Copy{Revision: m.revision, Objects: m.all}
}

// Adopt replaces the copy by a peer's copy if that is newer, and reports whether it was.
func (m *Mirror) Adopt(c Copy, from string) bool {
	if !m.replace(c.Objects, c.Revision, PeerSource(from)) {
		m.adoptNewerValues(c, from)
		return false
	}
	m.o.Log.Info("adopted a copy from a peer", "kind", m.o.Kind, "revision", store.FormatVersion(c.Revision), "peer", from)
	return true
}

// Run follows the store until ctx ends. It may be called again after it returned, but not
// concurrently; a copy that the mirror has by then is updated with the changes since.
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
		pause = min(2*pause, m.maxRetryDelay())
	}
}

// maxRetryDelay returns the longest pause between calls to a store that doesn't answer, without jitter.
func (m *Mirror) maxRetryDelay() time.Duration { return m.o.Delays.Retry * 2 / 3 }

// stopped records that Run no longer follows the store.
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

// jitter returns a random duration from d/2 to 3d/2, which spreads the calls of hosts that lost the
// store at the same time.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// replace replaces the copy by a newer one and reports whether it was newer.
func (m *Mirror) replace(objects []store.Object, revision uint64, source Source) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision < m.revision || (revision == m.revision && m.revision != 0) {
		return false
	}
	restored := m.detectRestore(revision)
	before := m.objects
	m.all = nil
	m.objects = make(map[string]store.Object, len(objects))
	changed := restored || len(before) != len(objects)
	for _, o := range objects {
		if known, have := before[o.Name]; have && (restored || known.Version == o.Version) && m.newer(known, o) {
			o.Value = known.Value
		}
		m.objects[o.Name] = o
		changed = changed || before[o.Name].Version != o.Version
	}
	m.history.recordSize(max(len(before), len(m.objects)))
	m.history.recordFullCopy(m.revision, revision, removedObjects(before, m.objects))
	first := m.revision == 0
	m.revision = revision
	if changed || first {
		m.history.recordChange(revision)
		m.passOnCopy(source)
		m.notify()
	}
	return true
}

// passOnCopy passes on the whole copy; m.mu is held.
func (m *Mirror) passOnCopy(source Source) {
	c := m.copyLocked()
	if m.o.OnDelta != nil {
		m.o.OnDelta(Delta{Revision: c.Revision, Full: true, Objects: c.Objects, Source: source, ProvenBefore: m.ProvenAt()})
		return
	}
	m.o.OnChange(c)
}

// KeepsNewer reports whether objects are kept whose values are newer than a restored store's.
func (m *Mirror) KeepsNewer() bool { return m.o.Newer != nil }

func (m *Mirror) newer(a, b store.Object) bool {
	return m.o.Newer != nil && !bytes.Equal(a.Value, b.Value) && m.o.Newer(a, b)
}

// adoptNewerValues takes from a peer's copy the objects whose values are newer than those of this
// copy, which came from a restored store.
func (m *Mirror) adoptNewerValues(c Copy, from string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	adopted := false
	for _, o := range c.Objects {
		own, have := m.objects[o.Name]
		if !have || !m.newer(o, own) {
			continue
		}
		m.o.Log.Info("took an object from a peer that is newer than the restored store's", "kind", m.o.Kind, "name", o.Name, "version", store.FormatVersion(own.Version), "kept", store.FormatVersion(o.Version), "peer", from)
		own.Value, adopted = o.Value, true
		m.objects[o.Name], m.all = own, nil
	}
	if adopted {
		m.passOnCopy(PeerSource(from))
		m.notify()
	}
}

// detectRestore reports whether a revision is of a later epoch than the copy, which means that the
// store was restored, and records the time: lost writes are being repeated, as after an outage,
// even if the store always answered this host. m.mu is held.
func (m *Mirror) detectRestore(revision uint64) (restored bool) {
	known := cmp.Or(m.revision, m.peerRevision)
	if !store.RestoredBetween(known, revision) {
		return false
	}
	now := m.o.Clock.Now()
	m.regainedAt.Store(&now)
	m.restoredAt.Store(&now)
	m.o.Log.Warn("the store was restored from a backup", "kind", m.o.Kind, "revision", store.FormatVersion(revision), "before", store.FormatVersion(known), "objects_before", len(m.objects))
	return true
}

// removedObjects returns the objects that are in before but not in now.
func removedObjects(before, now map[string]store.Object) []store.Object {
	var out []store.Object
	for name, o := range before {
		if _, there := now[name]; !there {
			out = append(out, o)
		}
	}
	return out
}

// apply applies the events of a watch. Events that the copy already reflects are skipped, because
// a peer's copy may have been adopted during the watch. A batch of another epoch is skipped: its
// changes don't apply to this copy.
func (m *Mirror) apply(b store.Batch, source Source) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if b.Revision <= m.revision || store.EpochOf(b.Revision) != store.EpochOf(m.revision) {
		return
	}
	m.history.recordSize(len(m.objects))
	before, changed := m.history.changedAt, map[string]store.Object{}
	for _, e := range b.Events {
		last := m.objects[e.Object.Name]
		if e.Deleted {
			m.history.recordDeletion(e.Object, b.Revision)
		}
		if !m.applyEvent(e) {
			continue
		}
		changed[e.Object.Name], m.all = last, nil
		if !e.Deleted {
			m.history.recordUpdate(e.Object.Name, b.Revision)
		}
	}
	m.revision = b.Revision
	if len(changed) > 0 {
		m.history.recordChange(b.Revision)
		m.passOnChanges(changed, source)
	}
	if m.history.changedAt != before {
		m.notify()
	}
}

// passOnChanges passes on the objects that have changed, by name, each as it was before the last change;
// m.mu is held.
func (m *Mirror) passOnChanges(changed map[string]store.Object, source Source) {
	if m.o.OnDelta == nil {
		m.o.OnChange(m.copyLocked())
		return
	}
	d := Delta{Revision: m.revision, Source: source, ProvenBefore: m.ProvenAt()}
	for name, last := range changed {
		if o, listed := m.objects[name]; listed {
			d.Objects = append(d.Objects, o)
		} else {
			d.Deleted = append(d.Deleted, last)
		}
	}
	m.o.OnDelta(d)
}

// applyEvent applies one event and reports whether it changed the copy. A deletion carries the
// object's last version, so that it doesn't delete an object that was created again since.
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

// markAnswered records that the store answered.
func (m *Mirror) markAnswered() {
	m.listTimeouts = 0
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
	m.o.Log.Info("store available again", "kind", m.o.Kind, "away", away, "revision", store.FormatVersion(m.Revision()))
}

// markFailed records that the store didn't answer; err is the reason.
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
	m.o.Log.Warn("store unavailable", "kind", m.o.Kind, "revision", store.FormatVersion(m.Revision()), "cause", fmt.Sprint(err))
}
