package follow

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

// InstancesOptions configures Instances. All fields are required.
type InstancesOptions struct {
	Clock state.Clock
	Log   *slog.Logger
	// Decode decodes one entry of the list.
	Decode func(id string, value []byte) (state.Instance, error)
	// Publish is called with each new list.
	Publish func([]state.Instance)
	// OnUnusable is called for each version of an entry that can't be decoded.
	OnUnusable func()
	// EntriesMayBeMissing reports whether the store is unavailable or was so recently, so that
	// entries of live instances may be missing.
	EntriesMayBeMissing func() bool
	// HoldFor bounds how long an instance whose entry is missing stays listed during that time.
	HoldFor time.Duration
	// Leaving reports whether a run announced to this host that it leaves. Such a run counts as
	// draining whatever its entry says: the store may accept its update many seconds later.
	Leaving func(id state.InstanceID) bool
	// HeartbeatTimeout is how long the store lists an instance that sends no heartbeats.
	HeartbeatTimeout time.Duration
}

// Instances turns copies of the store's list of entries into instances. A run is one lifetime of an
// instance's process: a restart under the same name is another run.
//
// An entry that goes missing around an outage of the store stays listed until the outage is over,
// and for HoldFor at most, because live instances need a moment to register again; one that a
// restoration of the store lost stays listed for the whole of that time. An entry that
// can't be decoded stands for no instance, even if it replaces one that could; other entries aren't
// affected. After the store was restored from a backup, what this host knows of a run takes precedence
// over the run's restored entry until that entry is written again.
type Instances struct {
	o InstancesOptions

	mu      sync.Mutex
	entries map[string]*entry
	// revision is the revision of the last copy; 0 before the first.
	revision uint64
	// departed are the runs that left the list recently.
	departed departedRuns
}

// entry is the last known state of one entry of the list.
type entry struct {
	version  uint64
	instance state.Instance
	// unusable is set for an entry that can't be decoded.
	unusable bool
	// missingSince is when the entry went missing; zero while it is listed. lostInRestore says that
	// a restoration of the store lost it.
	missingSince  time.Time
	lostInRestore bool
	// ignoredUntil is set for an entry of a restored store whose run had departed before.
	ignoredUntil time.Time
}

// active reports whether the entry stands for an instance that may be used.
func (e *entry) active() bool { return !e.unusable && e.ignoredUntil.IsZero() }

// NewInstances returns an Instances with an empty list.
func NewInstances(o InstancesOptions) *Instances {
	return &Instances{o: o, entries: map[string]*entry{}}
}

// Update applies a new copy of the list and publishes the result.
func (l *Instances) Update(c Copy) {
	l.mu.Lock()
	defer l.mu.Unlock()
	restored := l.advance(c.Revision)
	listed := make(map[string]bool, len(c.Objects))
	for _, object := range c.Objects {
		listed[object.Name] = true
		if restored {
			l.applyRestored(object)
		} else {
			l.applyEntry(object)
		}
	}
	now := l.o.Clock.Now()
	hold := restored || l.o.EntriesMayBeMissing()
	for id, e := range l.entries {
		if listed[id] || !e.missingSince.IsZero() {
			continue
		}
		if hold && !e.instance.Draining && e.active() {
			e.missingSince, e.lostInRestore = now, restored
			l.o.Log.Info("instance missing after an outage; held for now", "instance", id, "revision", store.FormatVersion(c.Revision))
			continue
		}
		l.remove(id, e, now)
		l.o.Log.Info("instance removed", "instance", id, "service", e.instance.Service, "revision", store.FormatVersion(c.Revision))
	}
	l.publish()
}

// remove deletes an entry and records its run as departed.
func (l *Instances) remove(name string, e *entry, now time.Time) {
	delete(l.entries, name)
	if !e.unusable {
		l.departed.add(e.instance.ID, now)
	}
}

// applyEntry decodes a new or changed entry. Of two runs under one name the one whose entry has the
// higher version at the store is used: their start times aren't comparable, since the clocks of
// the two may differ.
func (l *Instances) applyEntry(object store.Object) {
	known := l.entries[object.Name]
	if known != nil && known.version == object.Version {
		known.missingSince = time.Time{}
		return
	}
	instance, err := l.o.Decode(object.Name, object.Value)
	if err != nil {
		l.o.OnUnusable()
		l.o.Log.Warn("entry can't be decoded; not used", "entry", object.Name, "version", store.FormatVersion(object.Version), "replaces", known != nil && !known.unusable, "cause", err.Error())
		l.entries[object.Name] = &entry{version: object.Version, unusable: true}
		return
	}
	if known == nil || known.instance.ID != instance.ID || known.instance.Draining != instance.Draining || known.instance.Role != instance.Role {
		l.o.Log.Info("instance listed", "instance", instance.ID, "service", instance.Service, "draining", instance.Draining, "role", string(instance.Role), "version", store.FormatVersion(object.Version))
	}
	if known != nil && !known.unusable && known.instance.ID != instance.ID {
		l.departed.add(known.instance.ID, l.o.Clock.Now())
	}
	l.departed.remove(instance.ID)
	l.entries[object.Name] = &entry{version: object.Version, instance: instance}
}

// Run removes held entries once their time is over, until ctx ends.
func (l *Instances) Run(ctx context.Context) {
	for l.o.Clock.Sleep(ctx, holdCheckInterval) == nil {
		l.removeExpired()
	}
}

// holdCheckInterval is the interval between two checks of the held entries.
const holdCheckInterval = 100 * time.Millisecond

// removeExpired removes the held entries whose time is over.
func (l *Instances) removeExpired() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.o.Clock.Now()
	outage := l.o.EntriesMayBeMissing()
	changed := l.activateIgnored(now)
	for id, e := range l.entries {
		if e.missingSince.IsZero() || (outage && (e.lostInRestore || now.Sub(e.missingSince) < l.o.HoldFor)) {
			continue
		}
		l.remove(id, e, now)
		changed = true
		l.o.Log.Info("held instance removed", "instance", id, "service", e.instance.Service)
	}
	if changed {
		l.publish()
	}
}

// latestByAddr returns the entry that was written last for each address. A crashed run stays
// listed for some heartbeats while the next run already takes requests at the same address.
func (l *Instances) latestByAddr() map[string]*entry {
	out := make(map[string]*entry, len(l.entries))
	for _, e := range l.entries {
		if other := out[e.instance.Addr]; e.active() && (other == nil || other.version < e.version) {
			out[e.instance.Addr] = e
		}
	}
	return out
}

// Republish publishes the list again, for example after a run announced that it leaves.
func (l *Instances) Republish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.publish()
}

// publish publishes the active instances; l.mu is held.
func (l *Instances) publish() {
	out := make([]state.Instance, 0, len(l.entries))
	latest := l.latestByAddr()
	for _, e := range l.entries {
		if !e.active() || latest[e.instance.Addr] != e {
			continue
		}
		instance := e.instance
		instance.Draining = instance.Draining || l.o.Leaving(instance.ID)
		out = append(out, instance)
	}
	l.o.Publish(out)
}
