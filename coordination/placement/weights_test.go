package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/state"
)

// speedsOf gives the runners of a fleet the speeds in turn, in the order of their names.
func speedsOf(f *Fleet, speeds []float64) map[state.InstanceID]float64 {
	out := map[state.InstanceID]float64{}
	for _, r := range f.Runners("s") {
		if len(speeds) > 0 {
			n := 0
			_, _ = fmt.Sscanf(r.Instance.ID.Name, "e%d", &n)
			out[r.Instance.ID] = speeds[n%len(speeds)]
		}
	}
	return out
}

// engineOf returns the engines of many sessions.
func enginesOf(f *Fleet, sessions int) []state.InstanceID {
	var out []state.InstanceID
	for i := range sessions {
		out = append(out, f.ChooseForPrefill(Pool{Service: "s"}, fmt.Sprint("session-", i), nil).Instance.ID)
	}
	return out
}

// Equal engines keep exactly the order that they have without weights.
func TestEqualWeightsKeepOrder(t *testing.T) {
	is := is.New(t)
	f, same, scaled := newFleet("d0", 40, state.RolePrefill), newFleet("d0", 40, state.RolePrefill), newFleet("d0", 40, state.RolePrefill)
	same.SetSpeeds(speedsOf(same, []float64{1}))
	scaled.SetSpeeds(speedsOf(scaled, []float64{1.7}))
	for i := range 60 {
		session := fmt.Sprint("session-", i)
		var tried []state.InstanceID
		for range 40 {
			want := f.ChooseForPrefill(Pool{Service: "s"}, session, tried).Instance.ID
			is.Equal(same.ChooseForPrefill(Pool{Service: "s"}, session, tried).Instance.ID, want)
			is.Equal(scaled.ChooseForPrefill(Pool{Service: "s"}, session, tried).Instance.ID, want)
			tried = append(tried, want)
		}
	}
	is.Equal(newWeightedScore(1).of(0.3), 0.3)
}

// Weighted scores keep their range, in which the preference of a failure domain adds 1, and their order.
func TestWeightedScores(t *testing.T) {
	is := is.New(t)
	for _, weight := range []float64{0.25, 0.7, 1.7, 4} {
		w, last := newWeightedScore(weight), -1.0
		for i := range 10_000 {
			u := float64(i) / 10_000
			got, want := w.of(u), 1-math.Pow(1-u, 1/weight)
			is.True(math.Abs(got-want) < 0.01*want+1e-4 || u > 0.9)
			is.True(got > last && got < 1)
			last = got
		}
		is.True(w.of(1) < 1)
		is.Equal(w.of(0), 0.0)
	}
}

// A change of one weight moves only sessions to or from that engine, in proportion. This is also the
// bound of what hosts do differently that know different weights for a second.
func TestChangeOfWeightMovesOnlyItsSessions(t *testing.T) {
	is := is.New(t)
	const sessions = 20_000
	f := newFleet("d0", 40, state.RolePrefill)
	before := enginesOf(f, sessions)
	f.SetSpeeds(map[state.InstanceID]float64{instanceID("e07"): 2})
	counts := map[state.InstanceID]int{}
	for i, id := range enginesOf(f, sessions) {
		if id != before[i] {
			is.Equal(id, instanceID("e07"))
		}
		counts[id]++
	}
	is.True(math.Abs(float64(counts[instanceID("e07")])/(sessions*2.0/41)-1) < 0.1)
	f.SetSpeeds(nil)
	is.Equal(enginesOf(f, sessions), before)
}

// A restarted engine is another run, whose speed isn't known. A weight may arrive before the list has
// the engine.
func TestWeightBelongsToRun(t *testing.T) {
	is := is.New(t)
	f := NewFleet(Options{Clock: clocktest.Bubble{}})
	run := func(born int64) state.Instance {
		return state.Instance{ID: state.InstanceID{Name: "e", Born: born}, Service: "s"}
	}
	f.SetSpeeds(map[state.InstanceID]float64{run(1).ID: 0.5, run(3).ID: math.NaN()})
	for born, want := range map[int64]float64{1: 0.5, 2: 1, 3: 1} {
		f.Update([]state.Instance{run(born)})
		is.Equal(f.Runner(run(born).ID).Weight(), want)
	}
}

// A speed that jitters by 6 % changes no weight, also at the middle of two steps.
func TestJitterOfSpeedChangesNoWeight(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	for _, speed := range []float64{0.25, 0.7, 0.94, 1, 1.06, 1.7, 4} {
		weight := Weight(1, speed)
		is.True(math.Abs(math.Log(weight/speed)) <= math.Log(weightTolerance))
		for range 1000 {
			next := Weight(weight, speed*(0.94+0.12*rng.Float64()))
			is.Equal(next, weight)
		}
	}
	is.Equal(Weight(1, 1.14), 1.0)
	is.Equal(Weight(1, 0.88), 1.0)
	is.Equal(Weight(1, 1.7), math.Pow(9.0/8, 5))
	is.Equal(Weight(math.Pow(9.0/8, 5), 1.02), 1.0)
	is.Equal(Weight(1.5, math.NaN()), 1.5)
	is.Equal(Weight(1, 100), 4.0)
}

// fixedWeights returns the weights of engines whose throughput doesn't change.
func fixedWeights(throughput map[state.InstanceID]float64) map[state.InstanceID]float64 {
	var w Weigher
	w.Update(throughput)
	return w.Update(throughput)
}

// One odd measurement moves no session, and a lasting one does. The weight ends with the run.
func TestWeightFollowsLastingChange(t *testing.T) {
	is := is.New(t)
	var w Weigher
	engines := func(last float64) map[state.InstanceID]float64 {
		return map[state.InstanceID]float64{instanceID("a"): 70, instanceID("b"): 70, instanceID("c"): last}
	}
	is.Equal(len(w.Update(nil)), 0)
	is.Equal(len(w.Update(engines(170))), 0)
	is.Equal(len(w.Update(engines(70))), 0)
	is.Equal(len(w.Update(engines(170))), 0)
	weights := map[state.InstanceID]float64{instanceID("c"): math.Pow(9.0/8, 8)}
	is.Equal(w.Update(engines(175)), weights)
	is.Equal(w.Update(engines(40)), weights)
	is.Equal(w.Update(nil), weights) // nothing measured
	is.Equal(w.Update(map[state.InstanceID]float64{instanceID("a"): 70}), weights)
	w.Forget(func(id state.InstanceID) bool { return id != instanceID("c") })
	is.Equal(len(w.Update(engines(71))), 0)
}

// Of requests in flight without a session, each engine gets those that it ends in the same time.
func TestChoicesWithoutSessionCountInTime(t *testing.T) {
	is := is.New(t)
	for _, role := range []state.Role{state.RolePrefill, state.RoleDecode} {
		f := newFleet("d0", 4, role)
		f.SetSpeeds(map[state.InstanceID]float64{instanceID("e00"): 0.5, instanceID("e03"): 2})
		for range 25 {
			if role == state.RolePrefill {
				f.ChooseForPrefill(Pool{Service: "s"}, "", nil).Begin()
			} else {
				f.ChooseForDecode(Pool{Service: "s"}, "", "d0", []state.InstanceID{instanceID("e01"), instanceID("e02")}).Begin()
			}
		}
		slow, fast := f.Runner(instanceID("e00")).InFlight(), f.Runner(instanceID("e03")).InFlight()
		is.True(fast >= 4*slow-2 && fast <= 4*slow+4)
	}
}

// The same holds if the service's prefixes are local to domains.
func TestLocalChoicesWithoutSessionCountInTime(t *testing.T) {
	is := is.New(t)
	f := newFleet("d0", 4, state.RolePrefill)
	f.SetLocalPrefixes([]string{"s"})
	f.SetSpeeds(map[state.InstanceID]float64{instanceID("e00"): 0.5, instanceID("e03"): 2})
	for range 100 {
		f.ChooseForPrefill(Pool{Service: "s"}, "", nil).Begin()
	}
	slow, fast := f.Runner(instanceID("e00")).InFlight(), f.Runner(instanceID("e03")).InFlight()
	is.True(fast >= 4*slow-4 && fast <= 4*slow+8)
}

// The load limit of an engine is in proportion to its weight: a fast engine keeps its session where an
// equal one would lose it.
func TestLoadLimitCountsInTime(t *testing.T) {
	is := is.New(t)
	for speed, stays := range map[float64]bool{1: false, 4: true} {
		f := newFleet("d0", 4, state.RolePrefill)
		first := f.ChooseForPrefill(Pool{Service: "s"}, "x", nil)
		f.SetSpeeds(map[state.InstanceID]float64{first.Instance.ID: speed})
		for range 2 {
			first.Begin()
		}
		is.Equal(f.ChooseForPrefill(Pool{Service: "s"}, "x", nil) == first, stays)
	}
}

// Engines at 0.7, 0.7 and 1.7 of the usual speed: by weights, the time of the busiest of 40 engines is
// within a fifth of the mean, apart from the chance with which sessions are placed.
func TestUnevenEnginesShareTime(t *testing.T) {
	is := is.New(t)
	speeds := []float64{0.7, 0.7, 1.7}
	f := newFleet("d0", 40, state.RolePrefill)
	busiest := func() float64 {
		time, total := map[state.InstanceID]float64{}, 0.0
		of := speedsOf(f, speeds)
		for _, id := range enginesOf(f, 40*500) {
			time[id] += 1 / of[id]
		}
		most := 0.0
		for _, t := range time {
			most, total = max(most, t), total+t
		}
		return most / (total / 40)
	}
	unweighted := busiest()
	throughput := speedsOf(f, speeds)
	f.SetSpeeds(fixedWeights(throughput))
	weighted := busiest()
	t.Logf("busiest engine's time relative to the mean: %.2f without weights, %.2f with", unweighted, weighted)
	is.True(weighted < 1.2)
	is.True(unweighted > 1.2)
}
