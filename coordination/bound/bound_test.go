package bound

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// constantDay returns a day of n seconds with the same capacity and arrivals.
func constantDay(n int, capacity time.Duration, arrivals ...float64) []Second {
	out := make([]Second, n)
	for i := range out {
		out[i] = Second{Arrivals: arrivals, Capacity: map[string]time.Duration{"s": capacity}}
	}
	return out
}

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

func TestSufficientCapacityEarnsFullValue(t *testing.T) {
	is := is.New(t)
	r := Evaluate([]Class{{Service: "s", Work: 10 * time.Millisecond, Deadline: time.Second, Value: 2}}, constantDay(5, time.Second, 90))
	is.True(near(r.Share(), 1))
	is.Equal(len(r.SaturatedSeconds), 0)
}

func TestServesHighestValueDensityFirst(t *testing.T) {
	is := is.New(t)
	classes := []Class{
		{Service: "s", Work: 10 * time.Millisecond, Value: 1},
		{Service: "s", Work: 5 * time.Millisecond, Value: 1},
	}
	r := Evaluate(classes, constantDay(4, time.Second, 100, 100))
	is.True(near(r.InTime[1], 1))
	is.True(near(r.InTime[0], 0.5))
	is.Equal(r.SaturatedSeconds["s"], 4)
}

func TestBurstIsServedLateWithinDeadline(t *testing.T) {
	is := is.New(t)
	classes := []Class{{Service: "s", Work: 10 * time.Millisecond, Deadline: 2 * time.Second, Value: 1, LateValue: 0.3}}
	seconds := constantDay(6, time.Second, 0)
	seconds[0] = Second{Arrivals: []float64{450}, Capacity: seconds[1].Capacity}
	r := Evaluate(classes, seconds)
	is.True(near(r.InTime[0], 100.0/450))
	is.True(near(r.Late[0], 200.0/450)) // in the next two seconds
	is.True(near(r.Earned, 100+0.3*200))
}

func TestEngineWork(t *testing.T) {
	is := is.New(t)
	e := Engine{BatchSize: 10, StepMS: 1, StepPerRequestMS: 0.1, PrefillTokensPerMS: 100, AttentionPerMPairsMS: 0.1, ChunkTokens: 1000, StepsPerToken: 5}
	kept := e.Work(Request{SharedTokens: 1000, OwnTokens: 2000, CachedShare: 1})
	is.Equal(kept, 22400*time.Microsecond) // 20 ms, 4 million pairs, two chunks
	all := e.Work(Request{SharedTokens: 1000, OwnTokens: 2000})
	is.Equal(all, 33450*time.Microsecond) // 30 ms, 4.5 million pairs, three chunks
	write := e.Work(Request{OutputTokens: 4})
	is.Equal(write, 4*time.Millisecond) // 20 steps of 2 ms shared by 10
}

// Guards against value that is earned twice, and against more capacity that earns less.
func TestEarnedIsBoundedAndMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		classes := []Class{
			{Service: "s", Work: 10 * time.Millisecond, Deadline: 2 * time.Second, Value: 2, LateValue: 0.6},
			{Service: "s", Work: 30 * time.Millisecond, Deadline: 15 * time.Second, Value: 5, LateValue: 1.5},
		}
		n := rapid.IntRange(1, 20).Draw(t, "seconds")
		small, large := make([]Second, n), make([]Second, n)
		for i := range n {
			arrivals := []float64{rapid.Float64Range(0, 300).Draw(t, "a"), rapid.Float64Range(0, 100).Draw(t, "b")}
			work := time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			small[i] = Second{arrivals, map[string]time.Duration{"s": work}}
			large[i] = Second{arrivals, map[string]time.Duration{"s": 3 * work}}
		}
		a, b := Evaluate(classes, small), Evaluate(classes, large)
		if a.Earned > a.Offered+1e-6 || a.Earned < 0 {
			t.Fatalf("earned %v of %v offered", a.Earned, a.Offered)
		}
		if b.Earned < a.Earned-1e-6 {
			t.Fatalf("three times the capacity earns %v, less than %v", b.Earned, a.Earned)
		}
	})
}
