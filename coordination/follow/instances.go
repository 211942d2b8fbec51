package follow

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

// InstancesOptions configure Instances. All fields are required.
type InstancesOptions struct {
	Clock state.Clock
	Log   *slog.Logger
	// Decode reads one entry.
	Decode func(id string, value []byte) (state.Instance, error)
	// Publish gets each new list.
	Publish func([]state.Instance)
	// OnUnusable is told of each version of an entry that names no instance.
	OnUnusable func()
	// EntriesMayBeMissing reports that the store is away or has come back lately, so that entries
	// of living instances may be missing.
	EntriesMayBeMissing func() bool
	// HoldFor bounds how long a missing entry still counts meanwhile.
	HoldFor time.Duration
	// Leaving reports whether a run has said itself that it leaves. Such a run counts as
	// draining whatever its entry says: the store may take its word many seconds later.
	Leaving func(id state.InstanceID) bool
	// HeartbeatTimeout is how long the store lists an instance that is silent.
	HeartbeatTimeout time.Duration
}

// Instances turns copies of the list into instances. An entry that goes missing
// around an outage of the store counts until the outage is over and for HoldFor at
// most, because living instances need a moment to register again. An entry that can't
// be used names no instance, also where it has replaced one that could; the others hold.
// When the store comes back from an older copy, what is known of a run counts before its entry
// there until that is written again.
type Instances struct {
	o InstancesOptions

	mu      sync.Mutex
	entries map[string]*entry
	// revision is that of the last copy; 0 before the first.
	revision uint64
	departed departedRuns
}

type entry struct {
	version  uint64
	instance state.Instance
	// unusable is set for an entry that names no instance.
	unusable bool
	// missingSince is when the entry went missingSince; zero while it is listed. lost says that the store
	// lost it in a restoration.
	missingSince  time.Time
	lostInRestore bool
	// ignoredUntil is set for an entry of a restored store whose run was gone before.
	ignoredUntil time.Time
}

// active reports whether the entry names an instance that is there.
func (e *entry) active() bool { return !e.unusable && e.ignoredUntil.IsZero() }

// NewInstances returns an empty list.
func NewInstances(o InstancesOptions) *Instances {
	return &Instances{o: o, entries: map[string]*entry{}}
}

// Update takes a new copy of the list.
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
			l.o.Log.Info("instance missing after an outage; held", "instance", id, "revision", store.FormatVersion(c.Revision))
			continue
		}
		l.remove(id, e, now)
		l.o.Log.Info("instance gone", "instance", id, "service", e.instance.Service, "revision", store.FormatVersion(c.Revision))
	}
	l.publish()
}

// remove forgets an entry, but that its run was there.
func (l *Instances) remove(name string, e *entry, now time.Time) {
	delete(l.entries, name)
	if !e.unusable {
		l.departed.add(e.instance.ID, now)
	}
}

// applyEntry decodes a new or changed entry. The store's order of versions decides between
// two runs under one name: their clocks may differ.
func (l *Instances) applyEntry(object store.Object) {
	known := l.entries[object.Name]
	if known != nil && known.version == object.Version {
		known.missingSince = time.Time{}
		return
	}
	instance, err := l.o.Decode(object.Name, object.Value)
	if err != nil {
		l.o.OnUnusable()
		l.o.Log.Warn("entry names no instance", "entry", object.Name, "version", store.FormatVersion(object.Version), "replaces", known != nil && !known.unusable, "cause", err.Error())
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

// Run drops held entries when their time is over, until ctx ends.
func (l *Instances) Run(ctx context.Context) {
	for l.o.Clock.Sleep(ctx, holdCheckInterval) == nil {
		l.removeExpired()
	}
}

// holdCheckInterval is how often held entries are looked at.
const holdCheckInterval = 100 * time.Millisecond

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
		l.o.Log.Info("held instance gone", "instance", id, "service", e.instance.Service)
	}
	if changed {
		l.publish()
	}
}

// latestByAddr is the entry that was written last for each address: a run that has crashed
// stays listed for some heartbeats, while the next one takes work at its address.
func (l *Instances) latestByAddr() map[string]*entry {
	out := make(map[string]*entry, len(l.entries))
	for _, e := range l.entries {
		if other := out[e.instance.Addr]; e.active() && (other == nil || other.version < e.version) {
			out[e.instance.Addr] = e
		}
	}
	return out
}

// Republish publishes the list anew when a run has said that it leaves.
func (l *Instances) Republish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.publish()
}

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
