package follow

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/coordination/store/storetest"
)

// modelStore is a model of the store that knows the objects at every revision.
type modelStore struct {
	revision uint64
	// events are the events of the present epoch in order; the first has revision 1. The revision is
	// also the version of the event's object.
	events []store.Event
	// states maps a revision to the versions of its objects by name.
	states map[uint64]map[string]uint64
}

func newModelStore() *modelStore { return &modelStore{states: map[uint64]map[string]uint64{0: {}}} }

// restore goes back to a revision, in a new epoch.
func (o *modelStore) restore(to uint64) {
	epoch := store.EpochOf(o.revision) + 1
	anew := func(version uint64) uint64 { return store.MakeVersion(epoch, store.RevisionOf(version)) }
	for r := uint64(0); r <= to; r++ {
		state := map[string]uint64{}
		for name, version := range o.states[store.MakeVersion(epoch-1, r)] {
			state[name] = anew(version)
		}
		o.states[store.MakeVersion(epoch, r)] = state
	}
	o.events = slices.Clone(o.events[:to])
	for i := range o.events {
		e := &o.events[i].Object
		e.Version = anew(e.Version)
		if e.Value != nil {
			e.Value = []byte(strconv.FormatUint(e.Version, 10))
		}
	}
	o.revision = store.MakeVersion(epoch, to)
}

// change writes or deletes an object at the next revision.
func (o *modelStore) change(name string, deleted bool) {
	state := maps.Clone(o.states[o.revision])
	if _, there := state[name]; deleted && !there {
		return
	}
	o.revision++
	e := store.Event{Object: store.Object{Name: name, Version: o.revision, Value: []byte(strconv.FormatUint(o.revision, 10))}, Deleted: deleted}
	if deleted {
		e.Object.Version = state[name] // the object's last version
		e.Object.Value = nil
		delete(state, name)
	} else {
		state[name] = o.revision
	}
	o.events = append(o.events, e)
	o.states[o.revision] = state
}

// batch returns what a watch after a revision returns.
func (o *modelStore) batch(after uint64) store.Batch {
	if store.EpochOf(after) != store.EpochOf(o.revision) {
		return store.Batch{Gap: true}
	}
	return store.Batch{Revision: o.revision, Events: o.events[store.RevisionOf(after):]}
}

// list returns the objects at the present revision.
func (o *modelStore) list() Copy {
	c := Copy{Revision: o.revision}
	for name, version := range o.states[o.revision] {
		c.Objects = append(c.Objects, store.Object{Name: name, Version: version, Value: []byte(strconv.FormatUint(version, 10))})
	}
	return c
}

// versionsByName returns the versions of a mirror's objects.
func versionsByName(m *Mirror) map[string]uint64 {
	out := map[string]uint64{}
	for _, o := range m.Export().Objects {
		out[o.Name] = o.Version
	}
	return out
}

// Guards against copies that differ from the store: mirrors that apply lists, watches and each other's
// changes in any order, across restorations, always hold the store's objects at their revision.
func TestHoldsCopiesAreTheStoreAtTheirRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newModelStore()
		var copies []*Mirror
		for range 4 {
			m, err := New(Options{
				Delays: defaultDelays, Store: storetest.NewPlatform(0).Client("h"), Clock: clocktest.Bubble{}, Log: quiet, Kind: "things", RetryGroup: &RetryGroup{}, OnChange: func(Copy) {},
			})
			if err != nil {
				t.Fatal(err)
			}
			copies = append(copies, m)
		}
		anyCopy := rapid.SampledFrom(copies)
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "changes") {
					o.change(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.Bool().Draw(t, "deleted"))
				}
			},
			"list": func(t *rapid.T) { c := o.list(); anyCopy.Draw(t, "copy").replace(c.Objects, c.Revision, SourceList) },
			"watch": func(t *rapid.T) {
				m := anyCopy.Draw(t, "copy")
				if b := o.batch(m.Revision()); !b.Gap {
					m.apply(b, SourceWatch)
				}
			},
			"late watch": func(t *rapid.T) { // one that began at an older revision
				m := anyCopy.Draw(t, "copy")
				after := rapid.Uint64Range(0, store.RevisionOf(m.Revision())).Draw(t, "after")
				if b := o.batch(store.MakeVersion(store.EpochOf(m.Revision()), after)); !b.Gap {
					m.apply(b, SourceWatch)
				}
			},
			"overtaken list": func(t *rapid.T) { // in flight when the store was restored
				m, c := anyCopy.Draw(t, "copy"), o.list()
				o.restore(rapid.Uint64Range(0, store.RevisionOf(o.revision)).Draw(t, "to"))
				if rapid.Bool().Draw(t, "after the next") {
					next := o.list()
					m.replace(next.Objects, next.Revision, SourceList)
				}
				m.replace(c.Objects, c.Revision, SourceList)
			},
			"restore": func(t *rapid.T) { o.restore(rapid.Uint64Range(0, store.RevisionOf(o.revision)).Draw(t, "to")) },
			"peer": func(t *rapid.T) {
				from, to := anyCopy.Draw(t, "from"), anyCopy.Draw(t, "to")
				to.Merge(from.Since(to.Revision()), "peer", time.Now())
			},
			"late peer": func(t *rapid.T) { // a request made at an older revision
				from, to := anyCopy.Draw(t, "from"), anyCopy.Draw(t, "to")
				since := rapid.Uint64Range(0, store.RevisionOf(to.Revision())).Draw(t, "since")
				to.Merge(from.Since(store.MakeVersion(store.EpochOf(to.Revision()), since)), "peer", time.Now())
			},
			"": func(t *rapid.T) {
				for i, m := range copies {
					if got, want := versionsByName(m), o.states[m.Revision()]; !maps.Equal(got, want) {
						t.Fatalf("copy %d at revision %d: got objects %v, want %v", i, m.Revision(), got, want)
					}
				}
			},
		})
	})
}

// A peer that was away during a release of all objects gets the changes and not the whole list,
// whatever the size of the fleet.
func TestDeltaCoversReleaseOfAllObjects(t *testing.T) {
	is := is.New(t)
	const objects = 20_000
	f := newTestMirror(t, storetest.NewPlatform(0), 0)
	c := Copy{Revision: objects}
	for i := range objects {
		c.Objects = append(c.Objects, store.Object{Name: fmt.Sprint(i), Version: uint64(i + 1)})
	}
	is.True(f.Adopt(c, "peer"))
	b := store.Batch{Revision: 2 * objects}
	for _, o := range c.Objects {
		b.Events = append(b.Events, store.Event{Object: o, Deleted: true})
	}
	f.apply(b, SourceWatch)
	d := f.Since(objects)
	is.True(!d.Full)
	is.Equal(len(d.Deleted), objects)
}

// Guards against a peer that misses deletions: if some are no longer kept, it gets a full copy.
func TestDeltaIsFullBeyondDeletionHistory(t *testing.T) {
	is := is.New(t)
	f := newTestMirror(t, storetest.NewPlatform(0), 0)
	is.True(f.Adopt(Copy{Revision: 1, Objects: []store.Object{{Name: "kept", Version: 1}}}, "peer"))
	for i := range uint64(minDeletionsBound + 10) {
		f.apply(store.Batch{Revision: i + 2, Events: []store.Event{{Object: store.Object{Name: fmt.Sprint(i), Version: 1}, Deleted: true}}}, SourceWatch)
	}
	is.True(f.Since(5).Full)
	d := f.Since(minDeletionsBound)
	is.True(!d.Full)
	is.Equal(len(d.Deleted), 11)
	is.True(f.Since(f.Revision()).Empty())
}

// What a relay computes for each of its followers grows with the changes, not with the list.
func BenchmarkSince(b *testing.B) {
	for _, n := range []int{1000, 3000, 10_000, 20_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := newTestMirror(b, storetest.NewPlatform(0), 0)
			c := Copy{Revision: uint64(n)}
			for i := range n {
				c.Objects = append(c.Objects, store.Object{Name: fmt.Sprint(i), Version: uint64(i + 1)})
			}
			m.Adopt(c, "peer")
			m.apply(store.Batch{Revision: uint64(n + 1), Events: []store.Event{{Object: store.Object{Name: "7", Version: uint64(n + 1)}}}}, SourceWatch)
			b.ReportAllocs()
			for b.Loop() {
				if d := m.Since(uint64(n)); len(d.Objects) != 1 {
					b.Fatal(len(d.Objects))
				}
			}
		})
	}
}
