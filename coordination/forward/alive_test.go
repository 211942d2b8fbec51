package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/backlog"
	"github.com/thymerack/thymerack/coordination/placement"
	"github.com/thymerack/thymerack/state"
)

// atMostOnceRequest is a request with a short prompt that must not run twice.
func atMostOnceRequest() *Request {
	r := modelRequest(200, false)
	r.Generation.Parts = nil
	r.Route.MaxAttempts = 1
	r.Engine = &state.EngineSpec{Slots: engineSlots}
	return r
}

// One of five engines stops answering while at-most-once requests arrive for all of them: none
// is sent to that engine, and each is served.
func TestAtMostOnceRequestsAvoidUnavailableEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const requests = 200
		var replies []reply
		for range requests {
			replies = append(replies, generated)
		}
		w := newWorld(t, plenty, replies...)
		w.up.setUnresponsive(state.InstanceID{Name: "d2"})
		for range requests {
			r := atMostOnceRequest()
			answer, err := w.Forward(t.Context(), r)
			is.NoErr(err)
			_, err = readAll(answer.Stream)
			is.NoErr(err)
			is.True(time.Since(r.ArrivedAt) <= 2*probeTimeout)
		}
		is.Equal(len(w.up.attempts), requests)
		for _, a := range w.up.attempts {
			is.True(!w.up.isUnresponsive(a.Instance.ID))
		}
	})
}

// An engine with a recent response isn't probed, and no engine is for a repeatable request.
func TestOnlyEnginesWithoutRecentResponseAreProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, plenty, generated, generated, generated, generated)
		serve := func(r *Request) {
			answer, err := w.Forward(t.Context(), r)
			is.NoErr(err)
			_, err = readAll(answer.Stream)
			is.NoErr(err)
		}
		w.fleet.Update([]state.Instance{*w.fleet.Runner(state.InstanceID{Name: "d1"}).Instance})
		serve(atMostOnceRequest())
		is.Equal(len(w.up.probed), 1)
		serve(atMostOnceRequest())
		is.Equal(len(w.up.probed), 1)
		time.Sleep(2 * recentResponse)
		repeatable := atMostOnceRequest()
		repeatable.Route.Resumable = true
		serve(repeatable)
		is.Equal(len(w.up.probed), 1)
		time.Sleep(2 * recentResponse)
		serve(atMostOnceRequest())
		is.Equal(len(w.up.probed), 2)
	})
}

// The decode engine doesn't answer: another one is tried once it has been silent for longer than a sound
// engine, and the caller gets the event at once.
func TestUnavailableDecodeEngineIsReplacedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, plenty, prefilled, reply{hang: true}, generated)
		for _, name := range []string{"d1", "d2", "d3", "d4", "d5"} {
			w.up.setUnresponsive(state.InstanceID{Name: name})
		}
		r := modelRequest(9000, true)
		r.Deadline = r.ArrivedAt.Add(r.Route.Timeout)
		answer, err := w.Forward(t.Context(), r)
		is.NoErr(err)
		_, err = readAll(answer.Stream)
		is.NoErr(err)
		is.True(w.up.attempts[1].Instance.ID != w.up.attempts[2].Instance.ID)
		is.True(time.Since(r.ArrivedAt) < soundSilence+r.Route.Objective)
		next := w.fleet.ChooseForDecode(placement.Pool{Service: "model"}, "", "", nil)
		is.True(next.Instance.ID != w.up.attempts[1].Instance.ID) // later requests avoid it
	})
}

// The timeout follows the first-event times of each service: one whose KV caches transfer
// slowly gets more time.
func TestFirstEventTimeoutFollowsService(t *testing.T) {
	is := is.New(t)
	var l firstEventDelays
	for range 100 {
		l.observe("slow", 400*time.Millisecond)
		l.observe("fast", 20*time.Millisecond)
	}
	is.True(l.timeout("slow") > 400*time.Millisecond+delaySlack)
	is.True(l.timeout("fast") < 100*time.Millisecond)
	is.True(l.timeout("unknown") >= initialDelay+delaySlack)
}

// An attempt that can't be repeated isn't cancelled while its engine sends nothing.
func TestLastAttemptIsNotCancelledWhenSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, plenty, prefilled, reply{status: 200, events: true, body: "id: 1\n\n", delay: time.Second})
		r := modelRequest(9000, true)
		r.Route.MaxAttempts = 1
		answer, err := w.Forward(t.Context(), r)
		is.NoErr(err)
		_, err = readAll(answer.Stream)
		is.NoErr(err)
	})
}

// An engine that answers a probe is busy, not unavailable: the request keeps its place there.
func TestBusyEngineKeepsItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, plenty, prefilled, reply{status: 200, events: true, body: "id: 1\n\n", delay: time.Second})
		answer, err := w.Forward(t.Context(), modelRequest(9000, true))
		is.NoErr(err)
		_, err = readAll(answer.Stream)
		is.NoErr(err)
		is.Equal(len(w.up.attempts), 2)
	})
}

// A prompt waits at an engine that other hosts report as silent: the prefill is cancelled at
// once, not when it is overdue, and done elsewhere in time.
func TestPrefillLeavesEngineReportedSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, plenty, reply{hang: true}, prefilled, generated)
		w.gate.given = &backlog.Forecast{Wait: 20 * time.Millisecond, Finish: 900 * time.Millisecond, Reliable: true}
		go func() {
			time.Sleep(50 * time.Millisecond)
			for _, r := range w.fleet.Runners("model") {
				if r.InFlight() > 0 {
					w.fleet.ApplyReport(r.Instance.ID, time.Second)
				}
			}
		}()
		r := modelRequest(9000, true)
		answer, err := w.Forward(t.Context(), r)
		is.NoErr(err)
		_, err = readAll(answer.Stream)
		is.NoErr(err)
		is.True(w.up.attempts[0].PrefillOnly && w.up.attempts[1].PrefillOnly)
		is.True(time.Since(r.ArrivedAt) <= checkInterval+probeTimeout)
		is.Equal(w.outliers.silent[0], w.up.attempts[0].Instance.ID) // this host reports it as well
	})
}
