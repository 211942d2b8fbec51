package forward

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/backlog"
	"github.com/thymerack/thymerack/coordination/occupancy"
	"github.com/thymerack/thymerack/coordination/placement"
	"github.com/thymerack/thymerack/state"
)

// With all caches cold, a session's first prompt queries several engines for its parts; later
// prompts go to the engine that prefilled it.
func TestColdSessionPrefillsAtOneEngine(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, prefilled, generated, prefilled, generated)
	home := w.fleet.ChooseForPrefill(placement.Pool{Service: "model"}, "b", nil)
	w.mustServe(t)
	is.Equal(w.prefillAsks(), maxPrefillCandidates+1)
	is.Equal(w.up.attempts[0].Instance.ID, home.Instance.ID)
	w.mustServe(t)
	is.Equal(w.prefillAsks(), maxPrefillCandidates+2)
	is.Equal(w.up.attempts[2].Instance.ID, home.Instance.ID)
}

// The session's engine has a long queue: another engine prefills the prompt and fetches the
// shared parts.
func TestPrefillRunsAtEngineThatFinishesFirst(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, prefilled, generated)
	w.gate.refusal = []backlog.Forecast{
		{Wait: 300 * time.Millisecond, Finish: 320 * time.Millisecond, CachedTokens: 400, CachedAtStart: 400},
		{Wait: 100 * time.Millisecond, Finish: 150 * time.Millisecond, UncachedTime: 30 * time.Millisecond},
		{Wait: 50 * time.Millisecond, Finish: 100 * time.Millisecond, UncachedTime: 30 * time.Millisecond},
		{Wait: 250 * time.Millisecond, Finish: 300 * time.Millisecond, UncachedTime: 30 * time.Millisecond},
	}
	w.mustServe(t)
	home := w.fleet.ChooseForPrefill(placement.Pool{Service: "model"}, "b", nil)
	is.Equal(w.gate.asks[0].Engine, home.Instance.ID)
	is.Equal(w.up.attempts[0].Instance.ID, w.gate.asks[2].Engine)
	is.Equal(w.up.attempts[0].FetchFrom, home.Instance.Addr)
	is.Equal(w.gate.asks[4].Prefill.Prompt.FetchableTokens, 400)
	is.True(w.gate.asks[4].Prefill.AllowLate)
}

// The session's engine was replaced: the next one in the session's order still has the parts
// cached.
func TestCachedPrefixIsFetchedFromItsHolder(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, prefilled, generated)
	w.gate.refusal = []backlog.Forecast{
		{Finish: 90 * time.Millisecond, UncachedTime: 50 * time.Millisecond},
		{Wait: 200 * time.Millisecond, Finish: 240 * time.Millisecond, CachedTokens: 400, CachedAtStart: 400},
		{Wait: 200 * time.Millisecond, Finish: 290 * time.Millisecond, UncachedTime: 50 * time.Millisecond},
		{Wait: 200 * time.Millisecond, Finish: 290 * time.Millisecond, UncachedTime: 50 * time.Millisecond},
	}
	w.mustServe(t)
	is.Equal(w.up.attempts[0].Instance.ID, w.gate.asks[0].Engine)
	is.Equal(w.up.attempts[0].FetchFrom, w.gate.asks[1].Engine.Name+":1")
}

func busyForecasts(d time.Duration, known bool) []backlog.Forecast {
	out := make([]backlog.Forecast, maxPrefillCandidates)
	for i := range out {
		out[i] = backlog.Forecast{Wait: d, Finish: d, Reliable: known}
	}
	return out
}

// Every engine's queue is longer than any caller waits: the request is refused before it takes
// up capacity.
func TestPromptBeyondCallerTimeoutIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty)
	w.gate.refusal = busyForecasts(5*time.Second, true)
	_, err := w.Forward(t.Context(), modelRequest(9000, true))
	var refusal *Refusal
	is.True(errors.As(err, &refusal))
	is.True(refusal.NotRun)
	is.Equal(refusal.Reason, ReasonOverload)
	is.True(refusal.RetryAfter >= 4*time.Second) // when the prefill would be in time
	is.Equal(len(w.up.attempts), 0)
}

func TestPromptIsTriedWithoutKnownForecast(t *testing.T) {
	w := newWorld(t, plenty, prefilled, generated)
	w.gate.refusal = busyForecasts(5*time.Second, false)
	w.mustServe(t)
}

func TestLatePromptIsDeferred(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, prefilled, generated)
	w.gate.refusal = busyForecasts(time.Second, true)
	w.gate.given = &backlog.Forecast{Rank: backlog.Classes + 1}
	w.mustServe(t)
	is.Equal(w.up.attempts[0].Rank, backlog.Classes+1)
	is.Equal(w.up.attempts[1].Rank, 0) // the decode isn't deferred
	is.Equal(newReservation(candidate{Result: occupancy.Result{Response: occupancy.Response{Forecast: *w.gate.given}}}, nil).kind, ReservationDeferred)
}

// A prefill that isn't done in time is cancelled while its caller still waits. It isn't counted
// as a failure of the engine, which may be busy with other prompts.
func TestPrefillIsAbandonedBeforeCallerTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, plenty, reply{hang: true})
		r := modelRequest(9000, true)
		r.Deadline = r.ArrivedAt.Add(6 * time.Second)
		r.Route.CallerSilence = 2 * time.Second
		_, err := w.Forward(t.Context(), r)
		took := time.Since(r.ArrivedAt)
		is.True(took > 1800*time.Millisecond && took < 2*time.Second)
		var refusal *Refusal
		is.True(errors.As(err, &refusal))
		is.True(refusal.NotRun)
		is.True(refusal.RetryAfter > 0)
		for _, runner := range w.fleet.Runners("model") {
			is.True(!runner.Suspect(time.Now()))
		}
	})
}

// An engine rejects a prompt whose deadline passed in its queue: this isn't counted as a
// failure of the engine, and no time is left for another attempt.
func TestRefusalAtDeadlineIsNotAnEngineFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, plenty, reply{status: 503, notRun: true, delay: 1990 * time.Millisecond})
		r := modelRequest(9000, true)
		ctx, cancel := context.WithDeadline(t.Context(), r.Deadline)
		defer cancel()
		_, err := w.Forward(ctx, r)
		is.True(err != nil)
		is.Equal(len(w.up.attempts), 1)
		for _, runner := range w.fleet.Runners("model") {
			is.True(!runner.Suspect(time.Now()))
			is.Equal(runner.FailureRate(time.Now()), 0.0)
		}
	})
}

// The prefill takes longer than its forecast, but the engine's owner reports that it is still
// under way.
func TestOverduePrefillWithProgressKeepsItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, plenty, reply{status: 200, body: "h1", delay: time.Second}, generated)
		w.gate.given = &backlog.Forecast{Reliable: true, Finish: 10 * time.Millisecond}
		r := modelRequest(200_000, true) // 4 s of prefill by the book's estimate
		_, err := w.Forward(t.Context(), r)
		is.NoErr(err)
		is.Equal(len(w.up.attempts), 2)
	})
}

func TestShortPromptTakesFreeSlot(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, generated)
	w.gate.refusal = make([]backlog.Forecast, 1)
	answer, err := w.Forward(t.Context(), modelRequest(500, true))
	is.NoErr(err)
	_, err = readAll(answer.Stream)
	is.NoErr(err)
	is.Equal(w.up.attempts[0].Instance.ID, w.gate.asks[1].Engine)
	is.Equal(w.gate.asks[1].MaxInFlight, engineSlots)
	is.Equal(w.up.attempts[0].Rank, 0)
}

func TestShortPromptIsDeferredWhenNoSlotIsFree(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, generated)
	w.gate.refusal = make([]backlog.Forecast, maxSlotCandidates)
	answer, err := w.Forward(t.Context(), modelRequest(500, true))
	is.NoErr(err)
	_, err = readAll(answer.Stream)
	is.NoErr(err)
	is.Equal(w.up.attempts[0].Instance.ID, w.gate.asks[0].Engine)
	is.Equal(w.up.attempts[0].Rank, deferredRank)
}

func TestRanksStayWithinEngineRange(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		priority int
		kind     ReservationKind
		rank     int
	}{
		{-1, ReservationShared, 0}, {0, ReservationShared, 0}, {2, ReservationShared, 2}, {7, ReservationShared, defaultRank},
		{0, ReservationDeferred, deferredRank}, {2, ReservationDeferred, deferredRank + 2}, {9, ReservationDeferred, maxRank},
	} {
		r := modelRequest(500, true)
		r.Route.Priority = c.priority
		is.Equal(choice{reservation: reservation{kind: c.kind}}.rank(r, &record{}), c.rank)
	}
	is.True(2*backlog.Classes-1 <= maxRank)
}

// Running streams fill the decode engines: after a separate prefill, the decode goes to an
// engine with a free slot, so that no stream is preempted, and to the session's engine if no
// slot is free.
func TestDecodeRunsWhereASlotIsFree(t *testing.T) {
	for name, c := range map[string]struct{ full int }{"some are full": {4}, "all are full": {5}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, plenty, prefilled, generated)
			session := modelRequest(9000, true).Generation.Session()
			var order []state.InstanceID
			for range 5 {
				order = append(order, w.fleet.ChooseForDecode(placement.Pool{Service: "model"}, session, "", order).Instance.ID)
			}
			for _, id := range order[:c.full] {
				for range engineSlots {
					is.True(w.gate.book.Enter(occupancy.Request{Engine: id, MaxInFlight: engineSlots, TTL: time.Minute}).ID != 0)
				}
			}
			want := order[c.full%len(order)]
			w.mustServe(t)
			is.Equal(w.up.attempts[1].Instance.ID, want)
			is.Equal(w.up.attempts[1].Rank, 0)
		})
	}
}
