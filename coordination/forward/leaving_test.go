package forward

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// What was seen: a runner said in each answer that it leaves, and for the twelve seconds until
// its entry in the list said so too, all hosts went on sending to it. Some callers lost their
// answer with it.
//
// How it came about: the store was away, so that the list called the runner ready.
//
// Cause: who leaves was taken from the list alone.
//
// Proof: no host's share of requests to the runner changed by its answers; all ended within two
// seconds of the entry.
func TestRunnerThatSaysItLeavesGetsNothingMore(t *testing.T) {
	for _, name := range []string{"s12", "d1", "p4"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newAdvisedFleet(t, 7)
				rng := rand.New(rand.NewPCG(37, 2))
				l := load{prompts: 110, questions: 17, calls: 50}
				f.play(rng, l, 2*time.Second)
				f.set(func(r *advisedRunner) { r.leaving = true }, name)
				said := time.Now()
				f.play(rng, l, 12*time.Second)
				late := f.runner(name).between(said.Add(leavingWithin), time.Now())
				t.Logf("%d requests later than %s after it said so; %d served, %d late, %d not", late, leavingWithin, f.served, f.late, f.unserved)
				is.True(f.runner(name).between(said, time.Now()) > 0) // it was heard
				is.Equal(late, 0)
				is.Equal(f.unserved, 0)
			})
		})
	}
}

// leavingWithin is the time in which all hosts must know that a runner leaves, from its first
// answer that says so. Its first answer may take a while.
const leavingWithin = 300 * time.Millisecond
