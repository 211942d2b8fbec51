package forward

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// What was seen: engines turned requests away and asked for three seconds of rest; single hosts
// sent them three and four requests in that time. Prompts that went there first were late at the
// engine that read them in the end.
//
// How it came about: a host passes an engine that refused over for a tenth of a second, and for
// up to one second when it goes on refusing.
//
// Cause: how long a runner wants nothing was not read from its answer.
//
// Proof: the pauses of all hosts followed their own schedule, whatever the engines asked for.
func TestRunnerThatWantsRestIsLeftAlone(t *testing.T) {
	for _, name := range []string{"s12", "d1", "p4"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newAdvisedFleet(t, 7)
				rng := rand.New(rand.NewPCG(37, 3))
				l := load{prompts: 110, questions: 17, calls: 50}
				f.play(rng, l, 2*time.Second)
				f.set(func(r *advisedRunner) { r.resting, r.rest = true, 3*time.Second }, name)
				f.play(rng, l, 10*time.Second)
				during, turnedAway := f.runner(name).inRest()
				t.Logf("%d requests in a rest, %d turned away; %d served, %d late, %d not", during, turnedAway, f.served, f.late, f.unserved)
				is.True(turnedAway > 0) // it did ask
				is.Equal(during, 0)
				is.Equal(f.unserved, 0)
				f.set(func(r *advisedRunner) { r.resting = false }, name)
				back := time.Now()
				f.play(rng, l, 5*time.Second)
				is.True(f.runner(name).between(back, time.Now()) > 20) // it is used again
			})
		})
	}
}
