package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/contention"
	"github.com/thymerack/thymerack/coordination/occupancy"
	"github.com/thymerack/thymerack/coordination/placement"
	"github.com/thymerack/thymerack/state"
)

const engineTokens = 100_000

// knownMemory is a model request to engines whose memory is known.
func knownMemory(tokens int) *Request {
	r := modelRequest(tokens, true)
	r.Engine = &state.EngineSpec{KVTokens: engineTokens, Slots: engineSlots}
	r.Generation.OutputHint, r.Generation.MaxOutput = 50, 1000
	return r
}

// fillMemory reserves all memory of an engine, and one slot.
func (w *world) fillMemory(t *testing.T, id state.InstanceID) {
	t.Helper()
	ask := occupancy.Request{Engine: id, MaxInFlight: engineSlots, TTL: time.Minute, MemoryTokens: engineTokens * 30 / 32, EngineTokens: engineTokens}
	if w.gate.book.Enter(ask).ID == 0 {
		t.Fatal("not reserved")
	}
}

// decodeOrder returns the engines in the order in which they are asked for a slot.
func (w *world) decodeOrder(session string) (order []state.InstanceID) {
	for range 5 {
		order = append(order, w.fleet.ChooseForDecode(placement.Pool{Service: "model"}, session, "", order).Instance.ID)
	}
	return order
}

// Guards against a decode at an engine without memory while another engine has some, and against a
// refusal when none has: then the session's engine is used, as without free slots.
func TestDecodeRunsWhereMemoryIsFree(t *testing.T) {
	for name, full := range map[string]int{"some are full": 4, "all are full": 5} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, plenty, prefilled, generated)
			r := knownMemory(9000)
			order := w.decodeOrder(r.Generation.Session())
			for _, id := range order[:full] {
				w.fillMemory(t, id)
			}
			answer, err := w.Forward(t.Context(), r)
			is.NoErr(err)
			_, err = readAll(answer.Stream)
			is.NoErr(err)
			is.Equal(w.up.attempts[1].Instance.ID, order[full%len(order)])
			last := w.gate.asks[len(w.gate.asks)-1]
			is.Equal(last.MemoryTokens, 9000+outputMargin*50)
			is.Equal(last.EngineTokens, engineTokens)
			is.Equal(w.gate.asks[0].MemoryTokens, 0) // the prefill is at an engine that doesn't decode
		})
	}
}

// Guards against a short prompt that preempts a run for memory, and against decisions that change where
// the memory of engines isn't known.
func TestShortPromptTakesFreeMemory(t *testing.T) {
	for name, known := range map[string]bool{"known": true, "unknown": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, plenty, generated)
			r := knownMemory(500)
			r.Contention = contention.Class{Level: 1, Levels: 2}
			order := w.decodeOrder("")
			for _, id := range order[1:] {
				w.fillMemory(t, id)
			}
			if !known {
				r.Engine.KVTokens = 0
			}
			answer, err := w.Forward(t.Context(), r)
			is.NoErr(err)
			_, err = readAll(answer.Stream)
			is.NoErr(err)
			is.Equal(w.up.attempts[0].Rank, 0)
			if !known {
				is.Equal(len(w.gate.asks), 1)
				is.Equal(w.gate.asks[0].MemoryTokens, 0)
				return
			}
			is.Equal(w.up.attempts[0].Instance.ID, order[0])
			is.Equal(w.gate.asks[0].Class, r.Contention)
		})
	}
}

// A mixed engine decodes after the prefill: its memory must stay reserved until the run ends, and an
// engine without memory must not be chosen while another has some.
func TestMixedEngineHoldsMemoryUntilRunEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newMixedWorld(t, plenty, generated)
		home := w.fleet.ChooseForPrefill(placement.Pool{Service: "model"}, "b", nil).Instance.ID
		w.fillMemory(t, home)
		answer, err := w.Forward(t.Context(), knownMemory(9000))
		is.NoErr(err)
		at := w.up.attempts[0].Instance.ID
		is.True(at != home)
		held := func() int {
			s := w.gate.book.Sample(func(id state.InstanceID) *state.Instance {
				if id != at {
					return nil
				}
				return &state.Instance{ID: id, Service: "model"}
			})
			return s.Domains[0].DecodeTokens
		}
		is.Equal(held(), 9200)
		_, err = readAll(answer.Stream)
		is.NoErr(err)
		is.Equal(held(), 0)
	})
}

// Guards against direct prefills at engines whose memory is reserved for others, and against runs whose
// memory and slot seem to be free while they decode.
func TestDirectPrefillHoldsMemoryUntilRunEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, plenty, generated)
		w.observeGaps(50 * time.Millisecond)
		full := w.decodeOrder("")[0]
		w.fillMemory(t, full)
		r := urgentRequest(3500)
		r.Engine, r.Generation.OutputHint, r.Generation.MaxOutput = knownMemory(3500).Engine, 50, 1000
		answer, err := w.Forward(t.Context(), r)
		is.NoErr(err)
		is.Equal(len(w.up.attempts), 1)
		at := w.up.attempts[0].Instance
		is.Equal(at.Role, state.RoleDecode)
		is.True(at.ID != full)
		held := func() int {
			return w.gate.book.Sample(func(id state.InstanceID) *state.Instance {
				if id != at.ID {
					return nil
				}
				return at
			}).Domains[0].DecodeTokens
		}
		is.Equal(held(), 3700)
		_, err = readAll(answer.Stream)
		is.NoErr(err)
		is.Equal(held(), 0)
	})
}

// If no mixed engine has memory, the prompt is queued at one of them, as before.
func TestPromptIsQueuedWithoutMixedMemory(t *testing.T) {
	is := is.New(t)
	w := newMixedWorld(t, plenty, generated)
	for _, r := range w.fleet.Runners("model") {
		w.fillMemory(t, r.Instance.ID)
	}
	answer, err := w.Forward(t.Context(), knownMemory(9000))
	is.NoErr(err)
	_, err = readAll(answer.Stream)
	is.NoErr(err)
	is.Equal(len(w.up.attempts), 1)
}

// Guards against a reservation beyond the request's maximum, and against none for outputs of unknown size.
func TestReservedOutput(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty)
	for _, c := range []struct{ hint, limit, want int }{{50, 1000, 200}, {50, 120, 120}, {50, 0, 200}, {0, 1000, 1000}, {0, 0, 4 * 30}} {
		r := knownMemory(500)
		r.Generation.OutputHint, r.Generation.MaxOutput = c.hint, c.limit
		w.observeOutput(r, 30)
		is.Equal(w.outputTokens(r), c.want)
	}
}
