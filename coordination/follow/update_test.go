package follow

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

// newListedInstances returns Instances whose entries' values are addresses, and the list that they
// published last.
func newListedInstances() (l *Instances, listed map[state.InstanceID]state.Instance) {
	listed = map[state.InstanceID]state.Instance{}
	return NewInstances(InstancesOptions{
		Clock: clocktest.Bubble{}, Log: quiet, OnUnusable: func() {}, OnDeparture: func(Departure, time.Duration) {},
		Decode: func(id string, value []byte) (state.Instance, error) {
			if len(value) == 0 {
				return state.Instance{}, fmt.Errorf("entry %q is empty", id)
			}
			return state.Instance{ID: state.InstanceID{Name: id}, Service: "s", Addr: string(value)}, nil
		},
		EntriesMayBeMissing: func() bool { return false }, HoldFor: time.Second, Leaving: func(state.InstanceID) bool { return false }, HeartbeatTimeout: time.Second,
		Publish: func(c state.InstanceChanges) {
			for _, id := range c.Removed {
				if _, known := listed[id]; !known {
					panic("an instance was removed that isn't listed: " + id.String())
				}
				delete(listed, id)
			}
			for _, i := range c.Set {
				listed[i.ID] = i
			}
		},
	}), listed
}

// Changes give the same list as the whole copies would: entries that come, go, change their address,
// can't be decoded, or share an address with another.
func TestChangesGiveTheSameListAsWholeCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		byChanges, got := newListedInstances()
		byCopies, want := newListedInstances()
		objects := map[string]store.Object{}
		version := uint64(0)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			d := Delta{}
			for range rapid.IntRange(0, 6).Draw(t, "changes") {
				version++
				name := fmt.Sprint("i-", rapid.IntRange(0, 9).Draw(t, "name"))
				before, listed := objects[name]
				d.Objects = slices.DeleteFunc(d.Objects, func(o store.Object) bool { return o.Name == name })
				d.Deleted = slices.DeleteFunc(d.Deleted, func(o store.Object) bool { return o.Name == name })
				if listed && rapid.Bool().Draw(t, "delete") {
					delete(objects, name)
					d.Deleted = append(d.Deleted, before)
					continue
				}
				value := rapid.SampledFrom([]string{"", "addr-1", "addr-2", "addr-3"}).Draw(t, "value")
				objects[name] = store.Object{Name: name, Version: version, Value: []byte(value)}
				d.Objects = append(d.Objects, objects[name])
			}
			version++
			d.Revision = version
			byChanges.Apply(d)
			byCopies.Apply(Delta{Revision: version, Full: true, Objects: slices.Collect(maps.Values(objects))})
			if !maps.Equal(got, want) {
				t.Fatalf("got %v, want %v", got, want)
			}
		}
	})
}

// A change of one entry costs as much in a large fleet as in a small one.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{1000, 3000, 10_000, 20_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l, _ := newListedInstances()
			c := Delta{Revision: 1, Full: true}
			for i := range n {
				c.Objects = append(c.Objects, store.Object{Name: fmt.Sprint("i-", i), Version: 1, Value: fmt.Append(nil, "addr-", i)})
			}
			l.Apply(c)
			b.ReportAllocs()
			one := c.Objects[0]
			for b.Loop() {
				one.Version++
				l.Apply(Delta{Revision: one.Version, Objects: []store.Object{one}})
			}
		})
	}
}
