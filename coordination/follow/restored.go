package follow

import (
	"time"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

const (
	// rememberGone is how long a run that is gone is remembered at least: a restored store may
	// list it again.
	rememberGone = 5 * time.Minute
	// mostGone bounds the runs that are remembered as gone.
	mostGone = 4096
)

// goneRuns are the runs that left the list recently, in two generations.
type goneRuns struct {
	present, before map[state.InstanceID]bool
	beganAt         time.Time
}

func (g *goneRuns) add(id state.InstanceID, now time.Time) {
	if len(g.present) >= mostGone/2 || now.Sub(g.beganAt) > rememberGone {
		g.before, g.present, g.beganAt = g.present, nil, now
	}
	if g.present == nil {
		g.present = map[state.InstanceID]bool{}
	}
	g.present[id] = true
}

func (g *goneRuns) has(id state.InstanceID) bool { return g.present[id] || g.before[id] }

func (g *goneRuns) forget(id state.InstanceID) {
	delete(g.present, id)
	delete(g.before, id)
}

// advance takes a copy's revision and reports whether the store was restored since the last copy.
func (l *Instances) advance(revision uint64) (restored bool) {
	restored = store.RestoredBetween(l.revision, revision)
	l.revision = revision
	return restored
}

// takeRestored takes an entry of the first copy after a restoration. What this host knew of its run
// is newer than the entry, unless that was written again already, which can't be told: a run that
// was leaving goes on leaving, and one that was gone counts only once its entry is written
// anew or has outlived the time in which the store drops one that is silent.
func (l *Instances) takeRestored(object store.Object) {
	known := l.entries[object.Name]
	instance, err := l.o.Decode(object.Name, object.Value)
	if err != nil {
		l.take(object)
		return
	}
	if !l.gone.has(instance.ID) {
		l.takeRestoredRun(object, known, instance)
		return
	}
	if known != nil && !known.unusable && known.instance.ID != instance.ID {
		known.version = object.Version
		l.o.Log.Info("restored entry is of an earlier run; the later one counts", "instance", known.instance.ID, "listed", instance.ID)
		return
	}
	l.entries[object.Name] = &entry{version: object.Version, instance: instance, goneUntil: l.o.Clock.Now().Add(l.o.HeartbeatTimeout)}
	l.o.Log.Info("restored entry is of a run that was gone; not used until it is written again", "instance", instance.ID, "version", store.FormatVersion(object.Version), "at_most", l.o.HeartbeatTimeout)
}

func (l *Instances) takeRestoredRun(object store.Object, known *entry, instance state.Instance) {
	if known != nil && known.instance.ID == instance.ID && known.instance.Draining && !instance.Draining {
		instance.Draining = true
		l.o.Log.Info("restored entry is older than the run's leaving; it goes on leaving", "instance", instance.ID, "version", store.FormatVersion(object.Version))
	}
	l.entries[object.Name] = &entry{version: object.Version, instance: instance}
}

// endGone has restored entries count whose runs were gone and that have outlived the time in which
// the store drops one that is silent; it reports whether there were any.
func (l *Instances) endGone(now time.Time) (any bool) {
	for id, e := range l.entries {
		if e.goneUntil.IsZero() || now.Before(e.goneUntil) {
			continue
		}
		e.goneUntil, any = time.Time{}, true
		l.gone.forget(e.instance.ID)
		l.o.Log.Info("restored entry of a run that was gone is still there; used again", "instance", id)
	}
	return any
}
