package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/backlog"
	"github.com/thymerack/thymerack/coordination/occupancy"
	"github.com/thymerack/thymerack/state"
)

// In a burst of prompts the engines that only read are late, and those that generate have
// next to nothing to do: prompts that would be late go whole to an idle one, with what is
// kept elsewhere fetched.
func TestLatePromptIsReadByAnIdleGeneratingEngine(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, generated)
	late := busyFor(time.Second, true)[:maxAsked]
	late[2].Kept, late[2].Coming = 400, 400
	w.gate.refusal = late
	w.served(t)
	is.Equal(len(w.up.attempts), 1)
	a := w.up.attempts[0]
	is.Equal(a.Instance.Role, state.RoleDecode)
	is.True(!a.PrefillOnly && a.Source == nil)
	is.Equal(a.FetchFrom, w.gate.asks[2].Engine.Name+":1")
	ask := w.gate.asks[maxAsked]
	is.True(ask.Reading.Idle)
	is.Equal(ask.Reading.Work.Fetched, 400)
}

// An engine with answers under way is spared: reading between their tokens would hold them
// up. Prompts that are in time don't ask at all.
func TestGeneratingEnginesAreSpared(t *testing.T) {
	for name, c := range map[string]struct {
		busy  bool
		ranks int
		asks  int
	}{
		"answers are under way at all": {busy: true, ranks: backlog.Classes, asks: maxAsked + maxSpareAsked + 1},
		"the prompt is in time":        {ranks: 0, asks: maxAsked + 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, plenty, promptRead, generated)
			for _, f := range busyFor(time.Second, false)[:maxAsked] {
				f.Rank = c.ranks
				w.gate.refusal = append(w.gate.refusal, f)
			}
			if c.busy {
				for _, r := range w.fleet.Runners("model") {
					w.gate.book.Enter(occupancy.Ask{Engine: r.Instance.ID, Most: 1, Keep: time.Minute})
				}
			}
			w.served(t)
			is.Equal(len(w.gate.asks), c.asks)
			is.True(w.up.attempts[0].PrefillOnly)
		})
	}
}

// The place at a spare engine is given back if the request is never sent there.
func TestPlaceAtASpareEngineIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, plenty)
		w.gate.refusal = busyFor(time.Second, true)[:maxAsked]
		w.gate.asked = func(a occupancy.Ask) {
			if a.Reading != nil && a.Reading.Idle {
				w.fleet.Update(nil) // all engines leave while the last is asked
			}
		}
		r := modelRequest(9000, true)
		_, err := w.Forward(t.Context(), r)
		is.True(err != nil)
		is.Equal(len(w.up.attempts), 0)
		for _, a := range w.gate.asks {
			got := w.gate.book.Enter(occupancy.Ask{Engine: a.Engine, Most: 1, Keep: time.Second})
			is.True(got.ID != 0)
		}
	})
}

// A generating engine reads at half the speed until its own readings tell better.
func TestSlowerReaderIsPredictedSo(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty)
	ask := func(engine string, slower float64) time.Duration {
		return w.gate.book.Enter(occupancy.Ask{Engine: state.InstanceID{Name: engine}, Keep: time.Second, Reading: &occupancy.Reading{
			Service: "model", Work: backlog.Work{Own: 4000}, Memory: 1e6, Slower: slower, MaxWait: time.Second, Limit: time.Second,
		}}).Forecast.Finish
	}
	is.Equal(ask("slow", spareSlower), spareSlower*ask("fast", 0))
}
