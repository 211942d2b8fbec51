package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/backlog"
)

func TestLongPromptStaysAtOneMixedEngine(t *testing.T) {
	is := is.New(t)
	w := newMixedWorld(t, plenty, generated)
	w.gate.refusal = []backlog.Forecast{{Wait: 300 * time.Millisecond, Finish: 320 * time.Millisecond, CachedTokens: 400, CachedAtStart: 400}}
	w.mustServe(t)
	is.Equal(len(w.up.attempts), 1)
	a := w.up.attempts[0]
	is.True(!a.PrefillOnly)
	is.True(a.Rank < backlog.Classes)
	is.True(a.Source == nil)
	// The second engine admits the prompt, and fetches the prefix that the session's own has cached.
	is.Equal(a.Instance.ID, w.gate.asks[1].Engine)
	is.Equal(a.FetchFrom, w.gate.asks[0].Engine.Name+":1")
	// Admission is for the prefill, not for a slot.
	is.Equal(w.gate.asks[0].MaxInFlight, 0)
	is.True(w.gate.asks[0].Prefill.Prompt.OwnTokens > 0)
}

func TestLatePromptIsQueuedLastAtMixedEngine(t *testing.T) {
	is := is.New(t)
	w := newMixedWorld(t, plenty, generated)
	w.gate.refusal = busyForecasts(time.Second, true)
	w.gate.given = &backlog.Forecast{Rank: backlog.Classes + 2}
	w.mustServe(t)
	is.Equal(len(w.up.attempts), 1)
	is.Equal(w.up.attempts[0].Rank, backlog.Classes+2)
	is.Equal(w.up.attempts[0].Instance.ID, w.gate.asks[0].Engine) // the session's own
}

func TestShortPromptTakesSlotOfMixedEngine(t *testing.T) {
	is := is.New(t)
	w := newMixedWorld(t, plenty, generated)
	answer, err := w.Forward(t.Context(), modelRequest(500, false))
	is.NoErr(err)
	_, err = readAll(answer.Stream)
	is.NoErr(err)
	is.Equal(w.gate.asks[0].MaxInFlight, engineSlots)
}

func TestRefusedPromptIsRetriedAtAnotherMixedEngine(t *testing.T) {
	is := is.New(t)
	w := newMixedWorld(t, 1, reply{status: 503, notRun: true}, generated)
	w.mustServe(t)
	is.Equal(len(w.up.attempts), 2)
	is.True(w.up.attempts[0].Instance.ID != w.up.attempts[1].Instance.ID)
	for _, r := range w.fleet.Runners("model") {
		is.Equal(r.Suspect(time.Now()), r.Instance.ID == w.up.attempts[0].Instance.ID)
		is.Equal(r.InFlight(), int64(0))
	}
}

// The prompts of a session go to the same engine through all hosts, without coordination.
func TestSessionStaysAtOneMixedEngine(t *testing.T) {
	is := is.New(t)
	first := newMixedWorld(t, plenty, generated)
	first.mustServe(t)
	second := newMixedWorld(t, plenty, generated)
	second.mustServe(t)
	is.Equal(first.up.attempts[0].Instance.ID, second.up.attempts[0].Instance.ID)
}
