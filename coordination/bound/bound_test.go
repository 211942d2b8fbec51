package bound

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func day(n int, capacity time.Duration, arrivals ...float64) []Second {
	out := make([]Second, n)
	for i := range out {
		out[i] = Second{Arrivals: arrivals, Capacity: map[string]time.Duration{"s": capacity}}
	}
	return out
}

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

func TestEnoughCapacityEarnsAll(t *testing.T) {
	is := is.New(t)
	r := Day([]Class{{Service: "s", Work: 10 * time.Millisecond, Deadline: time.Second, Worth: 2}}, day(5, time.Second, 90))
	is.True(near(r.Share(), 1))
	is.Equal(len(r.Short), 0)
}

func TestDearestForItsWorkGoesFirst(t *testing.T) {
	is := is.New(t)
	classes := []Class{
		{Service: "s", Work: 10 * time.Millisecond, Worth: 1},
		{Service: "s", Work: 5 * time.Millisecond, Worth: 1},
	}
	r := Day(classes, day(4, time.Second, 100, 100))
	is.True(near(r.InTime[1], 1))
	is.True(near(r.InTime[0], 0.5))
	is.Equal(r.Short["s"], 4)
}

func TestABurstIsServedLateWhileItsCallersWait(t *testing.T) {
	is := is.New(t)
	classes := []Class{{Service: "s", Work: 10 * time.Millisecond, Deadline: 2 * time.Second, Worth: 1, Late: 0.3}}
	seconds := day(6, time.Second, 0)
	seconds[0] = Second{Arrivals: []float64{450}, Capacity: seconds[1].Capacity}
	r := Day(classes, seconds)
	is.True(near(r.InTime[0], 100.0/450))
	is.True(near(r.LateServed[0], 200.0/450)) // in the two seconds after
	is.True(near(r.Earned, 100+0.3*200))
}

func TestWorkOfAnEngine(t *testing.T) {
	is := is.New(t)
	e := Engine{Slots: 10, StepMS: 1, StepPerSlotMS: 0.1, ReadPerMS: 100, PairsPerMMS: 0.1, ChunkTokens: 1000, StepsPerToken: 5}
	kept := e.Work(Request{Shared: 1000, Own: 2000, Kept: 1})
	is.Equal(kept, 22400*time.Microsecond) // 20 ms, 4 million pairs, two chunks
	all := e.Work(Request{Shared: 1000, Own: 2000})
	is.Equal(all, 33450*time.Microsecond) // 30 ms, 4.5 million pairs, three chunks
	write := e.Work(Request{Output: 4})
	is.Equal(write, 4*time.Millisecond) // 20 steps of 2 ms shared by 10
}

// Nothing is earned twice, and more capacity never earns less.
func TestBoundIsSound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		classes := []Class{
			{Service: "s", Work: 10 * time.Millisecond, Deadline: 2 * time.Second, Worth: 2, Late: 0.6},
			{Service: "s", Work: 30 * time.Millisecond, Deadline: 15 * time.Second, Worth: 5, Late: 1.5},
		}
		n := rapid.IntRange(1, 20).Draw(t, "seconds")
		small, large := make([]Second, n), make([]Second, n)
		for i := range n {
			arrivals := []float64{rapid.Float64Range(0, 300).Draw(t, "a"), rapid.Float64Range(0, 100).Draw(t, "b")}
			work := time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			small[i] = Second{arrivals, map[string]time.Duration{"s": work}}
			large[i] = Second{arrivals, map[string]time.Duration{"s": 3 * work}}
		}
		a, b := Day(classes, small), Day(classes, large)
		if a.Earned > a.Owed+1e-6 || a.Earned < 0 {
			t.Fatalf("earned %v of %v", a.Earned, a.Owed)
		}
		if b.Earned < a.Earned-1e-6 {
			t.Fatalf("three times the capacity earns %v, once %v", b.Earned, a.Earned)
		}
	})
}
