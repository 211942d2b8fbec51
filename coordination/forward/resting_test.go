package forward

import (
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/backpressure"
	"github.com/thymerack/thymerack/state"
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

// ask has the runners of these names ask for something by an answer.
func (w *world) ask(a backpressure.Advice, names ...string) {
	for _, name := range names {
		w.advice.Record(&state.Instance{ID: state.InstanceID{Name: name}, Service: "s"}, time.Now(), a, true)
	}
}

// When no runner takes a request now, one that can be served in time waits for the first that
// does; any other is refused at once, as not run, with the time at which it could be. No prompt
// is read that no engine generates in time.
func TestRequestsWithoutAnOpenRunner(t *testing.T) {
	plain := []string{"s1", "s2", "s3", "s4", "s5"}
	generating := []string{"d1", "d2", "d3", "d4", "d5"}
	reading := []string{"p1", "p2", "p3", "p4", "p5"}
	event := []reply{{status: 200, events: true, body: "id: 1\n\n"}}
	rest := func(d time.Duration) backpressure.Advice { return backpressure.Advice{Backoff: d} }
	for name, c := range map[string]struct {
		request *Request
		who     []string
		advice  backpressure.Advice
		replies []reply
		// reason is "" for those that are served, after so long at least.
		reason Reason
		after  time.Duration
	}{
		"calls wait for a short rest":       {request(state.RouteSafe, 2, false), plain, rest(100 * time.Millisecond), []reply{{status: 200}}, "", 100 * time.Millisecond},
		"one that may run once as well":     {request(state.RouteUnsafe, 1, false), plain, rest(100 * time.Millisecond), []reply{{status: 200}}, "", 100 * time.Millisecond},
		"questions wait for a short rest":   {modelRequest(200, false), generating, rest(100 * time.Millisecond), event, "", 100 * time.Millisecond},
		"calls don't wait for a long rest":  {request(state.RouteSafe, 2, false), plain, rest(3 * time.Second), nil, ReasonBackpressure, 3 * time.Second},
		"nothing is read in vain":           {modelRequest(2000, false), generating, rest(3 * time.Second), nil, ReasonBackpressure, 3 * time.Second},
		"prompts are read where generated":  {modelRequest(2000, false), reading, rest(3 * time.Second), event, "", 0},
		"one runner that is open is enough": {request(state.RouteSafe, 2, false), plain[1:], rest(3 * time.Second), []reply{{status: 200}}, "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, plenty, c.replies...)
				w.ask(c.advice, c.who...)
				c.request.ArrivedAt, c.request.Deadline = time.Now(), time.Now().Add(2*time.Second)
				began := time.Now()
				answer, err := w.Forward(t.Context(), c.request)
				took := time.Since(began)
				if c.reason == "" {
					is.NoErr(err)
					is.True(took >= c.after && took < c.after+c.after/5+time.Millisecond)
					if answer.Stream != nil {
						_, err = readAll(answer.Stream)
						is.NoErr(err)
					}
					return
				}
				var refusal *Refusal
				is.True(errors.As(err, &refusal))
				is.Equal(refusal.Reason, c.reason)
				is.True(refusal.NotRun)
				is.Equal(took, time.Duration(0))
				is.True(refusal.RetryAfter >= c.after)
				is.True(refusal.RetryAfter < 2*c.after)
			})
		})
	}
}

// A refusal that asks for rest says nothing of the runner's soundness: it is back when the rest
// is over, however often it asked.
func TestRestIsNoFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, plenty)
		for range 5 {
			w.ask(backpressure.Advice{Backoff: 100 * time.Millisecond}, "s1")
			w.noteRefused(w.fleet.Runner(state.InstanceID{Name: "s1"}), &Head{Status: 503, NotRun: true})
			time.Sleep(time.Second)
		}
		s := w.fleet.Runner(state.InstanceID{Name: "s1"})
		is.Equal(s.FailureRate(time.Now()), 0.0)
		is.True(!s.Suspect(time.Now()))
	})
}

// Many requests wait for the same rest of all runners of a service: when it ends one goes first,
// the others follow once that is answered, and nobody asks in vain meanwhile.
func TestRequestsThatWaitForOneRest(t *testing.T) {
	for _, hosts := range []int{1, 7} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newAdvisedFleet(t, hosts)
			rng := rand.New(rand.NewPCG(37, 4))
			all := []string{"s12", "s13", "s14"}
			f.set(func(r *advisedRunner) { r.resting, r.rest = true, 150*time.Millisecond }, all...)
			f.play(rng, load{calls: 200}, time.Second)
			f.set(func(r *advisedRunner) { r.resting = false }, all...)
			refused := f.unserved
			f.play(rng, load{calls: 200}, 2*time.Second)
			for _, name := range all {
				during, _ := f.runner(name).inRest()
				is.Equal(during, 0)
				is.Equal(f.runner(name).besideTrials(), 0)
			}
			t.Logf("%d served, %d late, %d refused while they rested, %d after", f.served, f.late, refused, f.unserved-refused)
			is.Equal(f.late, 0)
			is.Equal(f.unserved, refused)
		})
	}
}

// The line of a request that was refused since all runners are closed names the first to open.
func TestRefusalNamesTheRunnerThatOpensFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, plenty)
		w.ask(backpressure.Advice{Backoff: 9 * time.Second}, "s1", "s2", "s4", "s5")
		w.ask(backpressure.Advice{Backoff: 3 * time.Second}, "s3")
		rec := &record{}
		_, err := w.pick(t.Context(), request(state.RouteSafe, 2, false), rec, time.Now().Add(time.Second))
		is.True(err != nil)
		is.Equal(len(rec.steps), 1)
		is.Equal(rec.steps[0].instance.Name, "s3")
		is.Equal(rec.steps[0].outcome, outcomeClosed)
		is.True(rec.steps[0].took >= 3*time.Second)
	})
}
