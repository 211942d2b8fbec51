package placement

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/state"
)

// Guards against a version that begins streams before the store has noted it, and against runners that are left out although
// theirs is noted: in whichever order lists and notes come, the pool has the runners of noted versions.
func TestNotedRunnersAreThoseOfNotedVersions(t *testing.T) {
	versions := []string{"", "v1", "v2", "v3"}
	rapid.Check(t, func(t *rapid.T) {
		f := NewFleet(Options{Clock: clocktest.Bubble{}, FailureDomain: "d0"})
		model, noted := map[state.InstanceID]state.Instance{}, []string{}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			id := state.InstanceID{Name: fmt.Sprint("i-", rapid.IntRange(0, 10).Draw(t, "name"))}
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				noted = rapid.SliceOfDistinct(rapid.SampledFrom(versions[1:]), rapid.ID[string]).Draw(t, "noted")
				f.SetNoted("s", noted)
			case 1:
				if _, listed := model[id]; listed {
					f.Apply(state.InstanceChanges{Removed: []state.InstanceID{id}})
					delete(model, id)
				}
			default:
				i := state.Instance{ID: id, Service: "s", Addr: id.Name, Role: state.RoleMixed, Version: rapid.SampledFrom(versions).Draw(t, "version"), Draining: rapid.IntRange(0, 3).Draw(t, "draining") == 0}
				f.Apply(state.InstanceChanges{Set: []state.Instance{i}})
				model[id] = i
			}
			var want []string
			accepting := 0
			for _, i := range model {
				if i.Draining {
					continue
				}
				accepting++
				if i.Version == "" || slices.Contains(noted, i.Version) {
					want = append(want, i.ID.String())
				}
			}
			slices.Sort(want)
			pool := f.pool(Pool{Service: "s", Noted: true})
			if got := names(pool.all.all()); !slices.Equal(got, want) || pool.decode.size != len(want) {
				t.Fatalf("got %v, want %v", got, want)
			}
			if all, n := f.NotedSize("s"); all != accepting || n != len(want) {
				t.Fatalf("sizes are %d and %d, not %d and %d", all, n, accepting, len(want))
			}
		}
	})
}
