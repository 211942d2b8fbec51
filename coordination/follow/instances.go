package follow

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/propagation"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

// InstancesOptions configures Instances. All fields are required.
type InstancesOptions struct {
	Clock state.Clock
	Log   *slog.Logger
	// Decode decodes one entry of the list.
	Decode func(id string, value []byte) (state.Instance, error)
	// Publish is called with the changes of the list, if there are any.
	Publish func(state.InstanceChanges)
	// OnUnusable is called for each version of an entry that can't be decoded.
	OnUnusable func()
	// OnDeparture is called for each instance that begins to leave. The store accepted the change at
	// most age ago: that is how old the copy of the list was before it. For DepartureHeld, age is how
	// long the instance was held.
	OnDeparture func(d Departure, age time.Duration)
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

// Departure is how an instance that accepted work stops doing so.
type Departure string

// The departures: the entry says draining, the entry is gone, or the instance was held after its entry
// had gone.
const (
	DepartureDraining Departure = "draining"
	DepartureRemoved  Departure = "removed"
	DepartureHeld     Departure = "held"
)

// Instances turns changes of the store's list of entries into changes of instances, at a cost that
// grows with the changes and not with the list. A run is one lifetime of an
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
	// held are the names of the entries that are missing or ignored for some time.
	held map[string]bool
	// byAddr are the entries of each address that can be decoded, mostly one. published is what was
	// last published of each address, and touched are the addresses that have changed since.
	byAddr    map[string][]*entry
	published map[string]publishedEntry
	touched   map[string]bool
	// revision is the revision of the last copy; 0 before the first.
	revision uint64
	// departed are the runs that left the list recently.
	departed departedRuns
	// log is the log of the update in progress.
	log *batchLog
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

// publishedEntry is an entry as it was published.
type publishedEntry struct {
	*entry
	draining, unconfirmed bool
}

// asInstance returns what was published.
func (p publishedEntry) asInstance() state.Instance {
	i := p.instance
	i.Draining, i.Unconfirmed = p.draining, p.unconfirmed
	return i
}

// active reports whether the entry stands for an instance that may be used.
func (e *entry) active() bool { return !e.unusable && e.ignoredUntil.IsZero() }

// NewInstances returns an Instances with an empty list.
func NewInstances(o InstancesOptions) *Instances {
	return &Instances{
		o: o, entries: map[string]*entry{}, held: map[string]bool{}, byAddr: map[string][]*entry{},
		published: map[string]publishedEntry{}, touched: map[string]bool{},
	}
}

// Apply applies changes of the entries and publishes the result.
func (l *Instances) Apply(d Delta) {
	l.mu.Lock()
	defer l.mu.Unlock()
	restored := l.advance(d.Revision)
	l.log = newBatchLog(l.o.Log, d.Revision, d.Source, l.age(d.ProvenBefore))
	defer l.log.finish()
	for _, object := range d.Objects {
		if restored {
			l.applyRestored(object)
		} else {
			l.applyEntry(object)
		}
	}
	hold := restored || l.o.EntriesMayBeMissing()
	for _, object := range l.missing(d) {
		l.applyMissing(object, hold, restored)
	}
	l.publish()
}

// age returns how long ago the copy was proven to be up to date; 0 if it never was.
func (l *Instances) age(provenAt time.Time) time.Duration {
	if provenAt.IsZero() {
		return 0
	}
	return l.o.Clock.Now().Sub(provenAt)
}

// missing returns the entries that a delta no longer lists, those of a full copy without a value.
func (l *Instances) missing(d Delta) []store.Object {
	if !d.Full {
		return d.Deleted
	}
	var out []store.Object
	listed := make(map[string]bool, len(d.Objects))
	for _, object := range d.Objects {
		listed[object.Name] = true
	}
	for name := range l.entries {
		if !listed[name] {
			out = append(out, store.Object{Name: name})
		}
	}
	return out
}

// applyMissing removes an entry that is no longer listed, or holds it for now.
func (l *Instances) applyMissing(object store.Object, hold, restored bool) {
	name := object.Name
	known := l.entries[name]
	if known == nil {
		return
	}
	if len(object.Value) > 0 && object.Version != known.version {
		l.applyEntry(object) // a last value that is new: of another run, or of one that said draining
	}
	e := l.entries[name]
	if !e.missingSince.IsZero() {
		return
	}
	now := l.o.Clock.Now()
	if hold && !e.instance.Draining && e.active() {
		e.missingSince, e.lostInRestore = now, restored
		l.held[name] = true
		l.touched[e.instance.Addr] = true
		l.log.add("instance missing after an outage; held for now", e.instance)
		return
	}
	l.remove(name, e, now)
	l.log.add("instance removed", e.instance)
	if e.active() && !e.instance.Draining {
		l.o.OnDeparture(DepartureRemoved, l.log.age)
	}
}

// put sets the entry of a name.
func (l *Instances) put(name string, e *entry) {
	l.unlink(name)
	l.entries[name] = e
	if e.unusable {
		return
	}
	addr := e.instance.Addr
	l.byAddr[addr] = append(l.byAddr[addr], e)
	l.touched[addr] = true
	if !e.ignoredUntil.IsZero() {
		l.held[name] = true
	}
}

// unlink removes the entry of a name, if there is one.
func (l *Instances) unlink(name string) {
	e := l.entries[name]
	if e == nil {
		return
	}
	delete(l.entries, name)
	delete(l.held, name)
	if e.unusable {
		return
	}
	addr := e.instance.Addr
	l.touched[addr] = true
	l.byAddr[addr] = slices.DeleteFunc(l.byAddr[addr], func(other *entry) bool { return other == e })
	if len(l.byAddr[addr]) == 0 {
		delete(l.byAddr, addr)
	}
}

// remove deletes an entry and records its run as departed.
func (l *Instances) remove(name string, e *entry, now time.Time) {
	listed := len(l.entries)
	l.unlink(name)
	if !e.unusable {
		l.departed.add(e.instance.ID, now, listed)
	}
}

// applyEntry decodes a new or changed entry. Of two runs under one name the one whose entry has the
// higher version at the store is used: their start times aren't comparable, since the clocks of
// the two may differ.
func (l *Instances) applyEntry(object store.Object) {
	known := l.entries[object.Name]
	if known != nil && known.version == object.Version {
		if !known.missingSince.IsZero() {
			known.missingSince = time.Time{}
			delete(l.held, object.Name)
			l.touched[known.instance.Addr] = true
			l.log.add("held instance listed again", known.instance)
		}
		return
	}
	instance, err := l.o.Decode(object.Name, object.Value)
	if err != nil {
		l.o.OnUnusable()
		l.o.Log.Warn("entry can't be decoded; not used", "entry", object.Name, "version", store.FormatVersion(object.Version), "replaces", known != nil && !known.unusable, "cause", err.Error())
		l.put(object.Name, &entry{version: object.Version, unusable: true})
		return
	}
	if known == nil || known.instance.ID != instance.ID || known.instance.Draining != instance.Draining || known.instance.Role != instance.Role || known.instance.Version != instance.Version {
		l.log.add("instance listed", instance, "runner_version", instance.Version)
	}
	if known != nil && known.instance.ID == instance.ID && instance.Draining && !known.instance.Draining {
		l.o.OnDeparture(DepartureDraining, l.log.age)
	}
	if known != nil && !known.unusable && known.instance.ID != instance.ID {
		l.departed.add(known.instance.ID, l.o.Clock.Now(), len(l.entries))
	}
	l.departed.remove(instance.ID)
	l.put(object.Name, &entry{version: object.Version, instance: instance})
}

// Run removes held entries once their time is over, until ctx ends.
func (l *Instances) Run(ctx context.Context) {
	for l.o.Clock.Sleep(ctx, propagation.HoldCheck) == nil {
		l.removeExpired()
	}
}

// sourceTimer is the source of the changes that the end of a hold brings.
const sourceTimer Source = "timer"

// removeExpired removes the held entries whose time is over.
func (l *Instances) removeExpired() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.o.Clock.Now()
	outage := l.o.EntriesMayBeMissing()
	l.log = newBatchLog(l.o.Log, l.revision, sourceTimer, 0)
	defer l.log.finish()
	l.activateIgnored(now)
	for name := range l.held {
		e := l.entries[name]
		if e.missingSince.IsZero() || (outage && (e.lostInRestore || now.Sub(e.missingSince) < l.o.HoldFor)) {
			continue
		}
		l.remove(name, e, now)
		held := now.Sub(e.missingSince)
		l.log.add("held instance removed", e.instance, "held", held)
		l.o.OnDeparture(DepartureHeld, held)
	}
	l.publish()
}

// Unconfirmed returns the number of instances that are held although their entries are missing.
func (l *Instances) Unconfirmed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for name := range l.held {
		if !l.entries[name].missingSince.IsZero() {
			n++
		}
	}
	return n
}

// Republish publishes an instance again that announced that it leaves.
func (l *Instances) Republish(id state.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[id.Name]; e != nil && !e.unusable && e.instance.ID == id {
		l.touched[e.instance.Addr] = true
		l.publish()
	}
}

// publish publishes the changes at the touched addresses; l.mu is held.
func (l *Instances) publish() {
	var c state.InstanceChanges
	for addr := range l.touched {
		before, published := l.published[addr]
		now, active := l.entryAt(addr)
		if published && (!active || now.instance.ID != before.instance.ID) {
			c.Removed = append(c.Removed, before.instance.ID)
			delete(l.published, addr)
		}
		if !active {
			continue
		}
		if !published || now.asInstance() != before.asInstance() {
			c.Set = append(c.Set, now.asInstance())
		}
		l.published[addr] = now
	}
	l.touched = map[string]bool{} // iterating over a cleared map costs as much as over the full one
	if !c.Empty() {
		l.o.Publish(c)
	}
}

// entryAt returns the active entry that was written last for an address. A crashed run stays listed for
// some heartbeats while the next run already takes requests at the same address.
func (l *Instances) entryAt(addr string) (p publishedEntry, active bool) {
	var latest *entry
	for _, e := range l.byAddr[addr] {
		if e.active() && (latest == nil || latest.version < e.version) {
			latest = e
		}
	}
	if latest == nil {
		return publishedEntry{}, false
	}
	return publishedEntry{latest, latest.instance.Draining || l.o.Leaving(latest.instance.ID), !latest.missingSince.IsZero()}, true
}
