package placement

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/state"
)

// fleetSizes are numbers of engines of one role up to twice those of the largest fleet.
var fleetSizes = []int{1, 7, 60, 127, 128, 300, 1000, 3000, 10_000, 20_000}

// The runners that one choice looks at don't grow with the service.
func TestGroupsAreBounded(t *testing.T) {
	for _, n := range fleetSizes {
		x := newFleet("d0", n, state.RolePrefill).service("s").prefill
		total := 0
		for g := range x.groups {
			size := len(x.group(g))
			total += size
			if size > 3*minGroupSize || size < min(n, minGroupSize/2) {
				t.Errorf("%d runners: a group of %d", n, size)
			}
		}
		if total != n {
			t.Errorf("%d runners: %d in groups", n, total)
		}
	}
}

// Sessions are spread over the engines: the busiest engine has no more than a few times the mean,
// as when each session is placed at random.
func TestSessionsAreSpreadOverAllGroups(t *testing.T) {
	for _, n := range []int{60, 300, 3000} {
		f := newFleet("d0", n, state.RolePrefill)
		sessions := map[string]int{}
		for i := range 20 * n {
			sessions[f.ChooseForPrefill(Pool{Service: "s"}, fmt.Sprint("session-", i), nil).Instance.ID.Name]++
		}
		busiest := 0
		for _, count := range sessions {
			busiest = max(busiest, count)
		}
		t.Logf("%d engines: at most %d sessions where the mean is 20", n, busiest)
		if len(sessions) < n*99/100 || busiest > 3*20 {
			t.Errorf("%d engines: %d have sessions, at most %d", n, len(sessions), busiest)
		}
	}
}

// The engine of a session moves only if the engine itself leaves, however large the fleet is.
func TestSessionsOfOtherEnginesStay(t *testing.T) {
	is := is.New(t)
	const n, sessions = 1000, 2000
	f := newFleet("d0", n, state.RolePrefill)
	gone := f.Runners("s")[17].Instance.ID
	before := map[string]state.InstanceID{}
	for i := range sessions {
		s := fmt.Sprint("session-", i)
		before[s] = f.ChooseForPrefill(Pool{Service: "s"}, s, nil).Instance.ID
	}
	var rest []state.Instance
	for _, r := range f.Runners("s") {
		if r.Instance.ID != gone {
			rest = append(rest, *r.Instance)
		}
	}
	f.Update(rest)
	for s, id := range before {
		if id != gone {
			is.Equal(f.ChooseForPrefill(Pool{Service: "s"}, s, nil).Instance.ID, id)
		}
	}
}

// While all engines of a session's group are suspects or tried, those of other groups are chosen.
func TestOtherGroupsReplaceUnavailableOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet("d0", 1000, state.RoleMixed)
		x := f.service("s").decode
		own := x.group(x.first("session"))
		for _, r := range own {
			r.RecordConnectionFailure()
		}
		is.True(!slices.Contains(own, f.ChooseForPrefill(Pool{Service: "s"}, "session", nil)))
		is.True(!slices.Contains(own, f.ChooseForDecode(Pool{Service: "s"}, "session", "", nil)))
		var tried []state.InstanceID
		for _, r := range f.Runners("s")[1:] {
			tried = append(tried, r.Instance.ID)
		}
		last := f.Runners("s")[0]
		for _, choose := range []func() *Runner{
			func() *Runner { return f.ChooseForCall(Pool{Service: "s"}, tried) },
			func() *Runner { return f.ChooseForPrefill(Pool{Service: "s"}, "session", tried) },
			func() *Runner { return f.ChooseForDecode(Pool{Service: "s"}, "session", "", tried) },
		} {
			is.Equal(choose(), last)
		}
		is.Equal(f.ChooseForCall(Pool{Service: "s"}, append(tried, last.Instance.ID)), nil)
	})
}

// An available runner ends the search for the first one that opens.
func TestEarliestAvailableIsFirstOpenRunner(t *testing.T) {
	is := is.New(t)
	f := newFleet("d0", 20_000, state.RolePrefill)
	r, at := f.EarliestAvailable(Pool{Service: "s"}, PhasePrefill, nil)
	is.Equal(r, f.Runners("s")[0])
	is.True(at.IsZero())
}

// benchmarkSizes runs a benchmark for services of several sizes.
func benchmarkSizes(b *testing.B, role state.Role, run func(f *Fleet), speeds ...float64) {
	for _, n := range []int{60, 1000, 3000, 10_000, 20_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFleet("d0", n, role)
			f.SetSpeeds(speedsOf(f, speeds))
			for b.Loop() {
				run(f)
			}
		})
	}
}

func BenchmarkChooseForPrefill(b *testing.B) {
	benchmarkSizes(b, state.RolePrefill, func(f *Fleet) { f.ChooseForPrefill(Pool{Service: "s"}, "session", nil) })
}

// Two engines in three have a weight of their own.
func BenchmarkChooseForPrefillByWeight(b *testing.B) {
	benchmarkSizes(b, state.RolePrefill, func(f *Fleet) { f.ChooseForPrefill(Pool{Service: "s"}, "session", nil) }, 0.7, 1, 1.7)
}

func BenchmarkChooseForDecode(b *testing.B) {
	benchmarkSizes(b, state.RoleDecode, func(f *Fleet) { f.ChooseForDecode(Pool{Service: "s"}, "session", "d0", nil) })
}

func BenchmarkChooseForCall(b *testing.B) {
	benchmarkSizes(b, "", func(f *Fleet) { f.ChooseForCall(Pool{Service: "s"}, nil) })
}
