package follow

import (
	"time"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

const (
	// departedRetention is how long a departed run is remembered at least, because a restored store
	// may list it again.
	departedRetention = 5 * time.Minute
	// minGenerationSize is the least size at which a generation of departed runs is full. In a fleet
	// with more instances it is full at as many runs, so that a release of all is remembered.
	minGenerationSize = 2048
)

// departedRuns is the set of runs that left the list recently, in two generations: when the current
// one is full or older than departedRetention, it replaces the previous one.
type departedRuns struct {
	current, previous map[state.InstanceID]bool
	startedAt         time.Time
	// maxListed is the largest number of instances that were listed at a time.
	maxListed int
}

// add records that a run departed at the given time. listed is the number of listed instances.
func (g *departedRuns) add(id state.InstanceID, now time.Time, listed int) {
	g.maxListed = max(g.maxListed, listed)
	if len(g.current) >= max(minGenerationSize, g.maxListed) || now.Sub(g.startedAt) > departedRetention {
		g.previous, g.current, g.startedAt = g.current, nil, now
	}
	if g.current == nil {
		g.current = map[state.InstanceID]bool{}
	}
	g.current[id] = true
}

// has reports whether a run departed recently.
func (g *departedRuns) has(id state.InstanceID) bool { return g.current[id] || g.previous[id] }

// remove deletes a run that is listed again.
func (g *departedRuns) remove(id state.InstanceID) {
	delete(g.current, id)
	delete(g.previous, id)
}

// advance sets the revision of the last copy and reports whether the store was restored since the
// copy before.
func (l *Instances) advance(revision uint64) (restored bool) {
	restored = store.RestoredBetween(l.revision, revision)
	l.revision = revision
	return restored
}

// applyRestored applies an entry of the first copy after a restoration. What this host knows of the
// entry's run is newer than the entry, unless the entry was already written again, which can't be
// detected: a draining run stays draining, and a departed run is used only once its entry is written
// again or has outlived the heartbeat timeout, after which the store drops silent instances.
func (l *Instances) applyRestored(object store.Object) {
	known := l.entries[object.Name]
	instance, err := l.o.Decode(object.Name, object.Value)
	if err != nil {
		l.applyEntry(object)
		return
	}
	if !l.departed.has(instance.ID) {
		l.applyRestoredRun(object, known, instance)
		return
	}
	if known != nil && !known.unusable && known.instance.ID != instance.ID {
		known.version = object.Version
		l.touched[known.instance.Addr] = true
		l.o.Log.Info("ignored a restored entry of an earlier run", "instance", known.instance.ID, "listed", instance.ID)
		return
	}
	l.put(object.Name, &entry{version: object.Version, instance: instance, ignoredUntil: l.o.Clock.Now().Add(l.o.HeartbeatTimeout)})
	l.o.Log.Info("ignored a restored entry of a departed run until it is written again", "instance", instance.ID, "version", store.FormatVersion(object.Version), "at_most", l.o.HeartbeatTimeout)
}

// applyRestoredRun applies a restored entry whose run isn't known to have departed.
func (l *Instances) applyRestoredRun(object store.Object, known *entry, instance state.Instance) {
	if known != nil && known.instance.ID == instance.ID && known.instance.Draining && !instance.Draining {
		instance.Draining = true
		l.o.Log.Info("restored entry is older than the run's drain; the run stays draining", "instance", instance.ID, "version", store.FormatVersion(object.Version))
	}
	l.put(object.Name, &entry{version: object.Version, instance: instance})
}

// activateIgnored uses the ignored entries of departed runs again that have outlived the heartbeat
// timeout, which shows that they are live.
func (l *Instances) activateIgnored(now time.Time) {
	for name := range l.held {
		e := l.entries[name]
		if e.ignoredUntil.IsZero() || now.Before(e.ignoredUntil) {
			continue
		}
		e.ignoredUntil = time.Time{}
		if e.missingSince.IsZero() {
			delete(l.held, name)
		}
		l.touched[e.instance.Addr] = true
		l.departed.remove(e.instance.ID)
		l.o.Log.Info("restored entry of a departed run outlived the heartbeat timeout; used again", "instance", name)
	}
}
