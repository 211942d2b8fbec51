package follow

import (
	"time"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

const (
	// departedRetention is how long a run that is gone is remembered at least: a restored store may
	// list it again.
	departedRetention = 5 * time.Minute
	// maxDeparted bounds the runs that are remembered as gone.
	maxDeparted = 4096
)

// departedRuns are the runs that left the list recently, in two generations.
type departedRuns struct {
	current, previous map[state.InstanceID]bool
	startedAt         time.Time
}

func (g *departedRuns) add(id state.InstanceID, now time.Time) {
	if len(g.current) >= maxDeparted/2 || now.Sub(g.startedAt) > departedRetention {
		g.previous, g.current, g.startedAt = g.current, nil, now
	}
	if g.current == nil {
		g.current = map[state.InstanceID]bool{}
	}
	g.current[id] = true
}

func (g *departedRuns) has(id state.InstanceID) bool { return g.current[id] || g.previous[id] }

func (g *departedRuns) remove(id state.InstanceID) {
	delete(g.current, id)
	delete(g.previous, id)
}

// advance takes a copy's revision and reports whether the store was restored since the last copy.
func (l *Instances) advance(revision uint64) (restored bool) {
	restored = store.RestoredBetween(l.revision, revision)
	l.revision = revision
	return restored
}

// applyRestored takes an entry of the first copy after a restoration. What this host knew of its run
// is newer than the entry, unless that was written again already, which can't be told: a run that
// was leaving goes on leaving, and one that was gone counts only once its entry is written
// anew or has outlived the time in which the store drops one that is silent.
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
		l.o.Log.Info("restored entry is of an earlier run; the later one counts", "instance", known.instance.ID, "listed", instance.ID)
		return
	}
	l.entries[object.Name] = &entry{version: object.Version, instance: instance, ignoredUntil: l.o.Clock.Now().Add(l.o.HeartbeatTimeout)}
	l.o.Log.Info("restored entry is of a run that was gone; not used until it is written again", "instance", instance.ID, "version", store.FormatVersion(object.Version), "at_most", l.o.HeartbeatTimeout)
}

func (l *Instances) applyRestoredRun(object store.Object, known *entry, instance state.Instance) {
	if known != nil && known.instance.ID == instance.ID && known.instance.Draining && !instance.Draining {
		instance.Draining = true
		l.o.Log.Info("restored entry is older than the run's leaving; it goes on leaving", "instance", instance.ID, "version", store.FormatVersion(object.Version))
	}
	l.entries[object.Name] = &entry{version: object.Version, instance: instance}
}

// activateIgnored has restored entries count whose runs were gone and that have outlived the time in which
// the store drops one that is silent; it reports whether there were any.
func (l *Instances) activateIgnored(now time.Time) (activated bool) {
	for id, e := range l.entries {
		if e.ignoredUntil.IsZero() || now.Before(e.ignoredUntil) {
			continue
		}
		e.ignoredUntil, activated = time.Time{}, true
		l.departed.remove(e.instance.ID)
		l.o.Log.Info("restored entry of a run that was gone is still there; used again", "instance", id)
	}
	return activated
}
