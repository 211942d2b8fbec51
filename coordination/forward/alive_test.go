package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/backlog"
	"github.com/thymerack/thymerack/state"
)

// onceRequest is a question that may run once.
func onceRequest() *Request {
	r := modelRequest(200, false)
	r.Generation.Parts = nil
	r.Route.MaxAttempts = 1
	r.Engine = &state.EngineSpec{Slots: engineSlots}
	return r
}

// A fifth of the engines fall silent at once, while questions that may run once arrive
// at all of them: none is sent to an engine that doesn't answer, and each is served.
func TestQuestionsThatRunOnceAreNotSentToDarkEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const questions = 200
		var replies []reply
		for range questions {
			replies = append(replies, generated)
		}
		w := newWorld(t, plenty, replies...)
		w.up.setUnresponsive(state.InstanceID{Name: "d2"})
		for range questions {
			r := onceRequest()
			answer, err := w.Forward(t.Context(), r)
			is.NoErr(err)
			_, err = readAll(answer.Stream)
			is.NoErr(err)
			is.True(time.Since(r.ArrivedAt) <= 2*askTimeout)
		}
		is.Equal(len(w.up.attempts), questions)
		for _, a := range w.up.attempts {
			is.True(!w.up.isUnresponsive(a.Instance.ID))
		}
	})
}

// An engine that has just answered isn't asked, nor is any for what may be repeated.
func TestOnlyEnginesThatWereNotHeardAreAsked(t *testing.T) {
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
		serve(onceRequest())
		is.Equal(len(w.up.probed), 1)
		serve(onceRequest())
		is.Equal(len(w.up.probed), 1)
		time.Sleep(2 * heardWithin)
		repeatable := onceRequest()
		repeatable.Route.Resumable = true
		serve(repeatable)
		is.Equal(len(w.up.probed), 1)
		time.Sleep(2 * heardWithin)
		serve(onceRequest())
		is.Equal(len(w.up.probed), 2)
	})
}

// The engine that should generate is silent: another one is asked as soon as the first
// event is overdue, and the caller has it in time.
func TestSilentEngineIsLeftBeforeItsCallerDoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, plenty, prefilled, reply{hang: true}, generated)
		for _, name := range []string{"d1", "d2", "d3", "d4", "d5"} {
			w.up.setUnresponsive(state.InstanceID{Name: name})
		}
		r := modelRequest(9000, true)
		answer, err := w.Forward(t.Context(), r)
		is.NoErr(err)
		_, err = readAll(answer.Stream)
		is.NoErr(err)
		is.True(w.up.attempts[1].Instance.ID != w.up.attempts[2].Instance.ID)
		is.True(time.Since(r.ArrivedAt) < r.Route.Objective)
		silent := w.fleet.ChooseForDecode("model", "", "", nil)
		is.True(silent.Instance.ID != w.up.attempts[1].Instance.ID) // others are spared it
	})
}

// The wait follows what first events take: a service whose memory moves slowly is given
// its time.
func TestWaitForTheFirstEventFollowsTheService(t *testing.T) {
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

// A request that may not be sent again is waited for.
func TestLastAttemptIsNotEndedBySilence(t *testing.T) {
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

// An engine that answers when it is asked is busy, not dark: the request keeps its place.
func TestBusyEngineIsWaitedFor(t *testing.T) {
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

// A prompt waits at an engine that all hosts are told is silent: it is left at once, not
// when its reading is overdue, and read elsewhere in time.
func TestPromptLeavesAnEngineThatIsToldToBeSilent(t *testing.T) {
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
		is.True(time.Since(r.ArrivedAt) <= lookEvery+askTimeout)
		is.Equal(w.outliers.silent[0], w.up.attempts[0].Instance.ID) // the host tells of it, too
	})
}
