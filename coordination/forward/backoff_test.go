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

// A runner that rejects a request and asks for a backoff must get no requests until the backoff
// is over. Hosts that followed their own schedule instead, which avoids an engine for 0.1 s
// after a rejection and up to 1 s after several, sent such engines three and four requests
// within a backoff of three seconds, and the prompts that tried them first were late.
func TestRunnerInBackoffGetsNoRequests(t *testing.T) {
	for _, name := range []string{"s12", "d1", "p4"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newSimFleet(t, 7)
				rng := rand.New(rand.NewPCG(37, 3))
				l := load{longPrompts: 110, shortPrompts: 17, calls: 50}
				f.runLoad(rng, l, 2*time.Second)
				f.setAdvice(func(r *simRunner) { r.rejecting, r.backoff = true, 3*time.Second }, name)
				f.runLoad(rng, l, 10*time.Second)
				during, rejected := f.runner(name).duringBackoff()
				t.Logf("%d requests during the backoff, %d rejected; %d served, %d late, %d unserved", during, rejected, f.served, f.late, f.unserved)
				is.True(rejected > 0) // the backoff was requested
				is.Equal(during, 0)
				is.Equal(f.unserved, 0)
				f.setAdvice(func(r *simRunner) { r.rejecting = false }, name)
				resumedAt := time.Now()
				f.runLoad(rng, l, 5*time.Second)
				is.True(f.runner(name).countBetween(resumedAt, time.Now()) > 20) // it is used again
			})
		})
	}
}

// receiveAdvice delivers a response with the advice from each of the named runners.
func (w *world) receiveAdvice(a backpressure.Advice, names ...string) {
	for _, name := range names {
		w.advice.Record(&state.Instance{ID: state.InstanceID{Name: name}, Service: "s"}, time.Now(), a, true)
	}
}

// When no runner accepts a request now, a request that can be served in time waits for the
// first runner that does; any other is refused at once, as not run, with the time after which
// it could be. No prompt is prefilled that no engine decodes in time.
func TestRequestsWithoutAvailableRunner(t *testing.T) {
	plainRunners := []string{"s1", "s2", "s3", "s4", "s5"}
	decodeEngines := []string{"d1", "d2", "d3", "d4", "d5"}
	prefillEngines := []string{"p1", "p2", "p3", "p4", "p5"}
	event := []reply{{status: 200, events: true, body: "id: 1\n\n"}}
	backoff := func(d time.Duration) backpressure.Advice { return backpressure.Advice{Backoff: d} }
	for name, c := range map[string]struct {
		request *Request
		runners []string
		advice  backpressure.Advice
		replies []reply
		// reason is "" for requests that are served, which takes at least after.
		reason Reason
		after  time.Duration
	}{
		"call waits for a short backoff":                  {request(state.RouteSafe, 2, false), plainRunners, backoff(100 * time.Millisecond), []reply{{status: 200}}, "", 100 * time.Millisecond},
		"at-most-once call waits as well":                 {request(state.RouteUnsafe, 1, false), plainRunners, backoff(100 * time.Millisecond), []reply{{status: 200}}, "", 100 * time.Millisecond},
		"short prompt waits for a short backoff":          {modelRequest(200, false), decodeEngines, backoff(100 * time.Millisecond), event, "", 100 * time.Millisecond},
		"call doesn't wait for a long backoff":            {request(state.RouteSafe, 2, false), plainRunners, backoff(3 * time.Second), nil, ReasonBackpressure, 3 * time.Second},
		"no prefill without an engine to decode":          {modelRequest(2000, false), decodeEngines, backoff(3 * time.Second), nil, ReasonBackpressure, 3 * time.Second},
		"decode engine prefills if others are in backoff": {modelRequest(2000, false), prefillEngines, backoff(3 * time.Second), event, "", 0},
		"one open runner is enough":                       {request(state.RouteSafe, 2, false), plainRunners[1:], backoff(3 * time.Second), []reply{{status: 200}}, "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, plenty, c.replies...)
				w.receiveAdvice(c.advice, c.runners...)
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

// A rejection with a backoff isn't a failure of the runner: the runner is used again when the
// backoff is over, however often it requested one.
func TestBackoffIsNotAFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, plenty)
		for range 5 {
			w.receiveAdvice(backpressure.Advice{Backoff: 100 * time.Millisecond}, "s1")
			w.noteRefusal(w.fleet.Runner(state.InstanceID{Name: "s1"}), &Head{Status: 503, NotRun: true})
			time.Sleep(time.Second)
		}
		s := w.fleet.Runner(state.InstanceID{Name: "s1"})
		is.Equal(s.FailureRate(time.Now()), 0.0)
		is.True(!s.Suspect(time.Now()))
	})
}

// Many requests wait for the same backoff of all runners of a service: when it ends, one is
// sent as a trial, the others follow once it is answered, and none is rejected meanwhile.
func TestRequestsWaitingForOneBackoff(t *testing.T) {
	for _, hosts := range []int{1, 7} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newSimFleet(t, hosts)
			rng := rand.New(rand.NewPCG(37, 4))
			all := []string{"s12", "s13", "s14"}
			f.setAdvice(func(r *simRunner) { r.rejecting, r.backoff = true, 150*time.Millisecond }, all...)
			f.runLoad(rng, load{calls: 200}, time.Second)
			f.setAdvice(func(r *simRunner) { r.rejecting = false }, all...)
			refused := f.unserved
			f.runLoad(rng, load{calls: 200}, 2*time.Second)
			for _, name := range all {
				during, _ := f.runner(name).duringBackoff()
				is.Equal(during, 0)
				is.Equal(f.runner(name).rejectedBesideTrials(), 0)
			}
			t.Logf("%d served, %d late, %d refused during the backoff, %d after it", f.served, f.late, refused, f.unserved-refused)
			is.Equal(f.late, 0)
			is.Equal(f.unserved, refused)
		})
	}
}

// The log line of a request that is refused because all runners are closed names the first one
// to open.
func TestRefusalRecordsFirstAvailableRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, plenty)
		w.receiveAdvice(backpressure.Advice{Backoff: 9 * time.Second}, "s1", "s2", "s4", "s5")
		w.receiveAdvice(backpressure.Advice{Backoff: 3 * time.Second}, "s3")
		rec := &record{}
		_, err := w.pickRunner(t.Context(), request(state.RouteSafe, 2, false), rec, time.Now().Add(time.Second))
		is.True(err != nil)
		is.Equal(len(rec.steps), 1)
		is.Equal(rec.steps[0].instance.Name, "s3")
		is.Equal(rec.steps[0].outcome, outcomeClosed)
		is.True(rec.steps[0].took >= 3*time.Second)
	})
}
