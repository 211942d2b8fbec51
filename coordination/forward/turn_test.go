package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/occupancy"
)

func TestPromptIsReadAtTheFirstEngineWithRoom(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, promptRead, generated)
	w.gate.verdicts = []occupancy.Verdict{occupancy.Full, occupancy.Full, occupancy.Given}
	w.served(t)
	is.Equal(len(w.gate.asks), 3)
	is.Equal(w.up.attempts[0].Instance.ID, w.gate.asks[2].Engine)
	is.True(!w.up.attempts[0].Deferred)
	home, _ := w.fleet.Prefill("model", "b", nil)
	is.Equal(w.gate.asks[0].Engine, home.Instance.ID)
	is.Equal(w.up.attempts[0].FetchFrom, home.Instance.Addr) // shared parts aren't read again
}

func TestPromptIsDeferredWhenAllAskedEnginesAreFull(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, promptRead, generated)
	for range maxAsked {
		w.gate.verdicts = append(w.gate.verdicts, occupancy.Full)
	}
	w.served(t)
	is.Equal(len(w.gate.asks), maxAsked)
	is.True(w.up.attempts[0].PrefillOnly)
	is.True(w.up.attempts[0].Deferred)
	is.True(!w.up.attempts[1].Deferred) // what was read generates in its turn
}

func TestQuestionTakesAFreeSlotWhereItFindsOne(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, generated)
	w.gate.verdicts = []occupancy.Verdict{occupancy.Full, occupancy.Given}
	answer, err := w.Forward(t.Context(), modelRequest(500, true))
	is.NoErr(err)
	_, err = readAll(answer.Stream)
	is.NoErr(err)
	is.Equal(w.up.attempts[0].Instance.ID, w.gate.asks[1].Engine)
	is.Equal(w.gate.asks[1].Most, engineSlots)
	is.True(!w.up.attempts[0].Deferred)
}

func TestQuestionGoesBehindTheOthersWhenAllSlotsAreTaken(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, generated)
	for range maxAsked {
		w.gate.verdicts = append(w.gate.verdicts, occupancy.Full)
	}
	answer, err := w.Forward(t.Context(), modelRequest(500, true))
	is.NoErr(err)
	_, err = readAll(answer.Stream)
	is.NoErr(err)
	is.Equal(w.up.attempts[0].Instance.ID, w.gate.asks[0].Engine)
	is.True(w.up.attempts[0].Deferred)
}

func TestQuestionIsNotHeldBackWhileNoKeeperAnswers(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, generated)
	w.gate.verdicts = []occupancy.Verdict{occupancy.Unknown}
	answer, err := w.Forward(t.Context(), modelRequest(500, true))
	is.NoErr(err)
	_, err = readAll(answer.Stream)
	is.NoErr(err)
	is.True(!w.up.attempts[0].Deferred)
}

func TestHostKeepsToItsOwnBoundWhileNoKeeperAnswers(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, promptRead, generated, promptRead, generated)
	w.gate.verdicts = []occupancy.Verdict{occupancy.Unknown, occupancy.Unknown}
	w.served(t)
	is.True(!w.up.attempts[0].Deferred)
	route := modelRequest(9000, true).Route
	for l := w.limiter(route); l.Acquire(1, time.Second) != nil; {
	}
	w.served(t)
	is.True(w.up.attempts[2].Deferred)
}

func TestDeferredPromptThatIsNotReadSaysNothingOfItsEngine(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, reply{hang: true})
	r := modelRequest(9000, true)
	w.gate.verdicts = []occupancy.Verdict{occupancy.Full, occupancy.Full, occupancy.Full, occupancy.Full}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	r.Deadline = time.Now().Add(20 * time.Millisecond)
	_, err := w.Forward(ctx, r)
	is.True(err != nil)
	is.True(w.up.attempts[0].Deferred)
	for _, runner := range w.fleet.Runners("model") {
		is.True(!runner.Suspect(time.Now()))
	}
}

// An engine refuses a deferred prompt whose time is over in its queue: it is as sound
// as before, and nothing is left to be read elsewhere.
func TestDeferredPromptThatIsRefusedAtItsEndSaysNothingOfItsEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, plenty, reply{status: 503, notRun: true, after: 1990 * time.Millisecond})
		w.gate.verdicts = []occupancy.Verdict{occupancy.Full, occupancy.Full, occupancy.Full, occupancy.Full}
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
