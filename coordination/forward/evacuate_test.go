package forward

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/state"
)

// drain has the list tell that an engine leaves.
func (w *world) drain(id state.InstanceID) {
	var list []state.Instance
	for _, service := range []string{"plain", "model"} {
		list = append(list, w.fleet.Instances(service)...)
	}
	for i := range list {
		list[i].Draining = list[i].Draining || list[i].ID == id
	}
	w.fleet.Update(list)
}

// An engine is taken back, with a notice of two seconds, while a question that may run once is
// answered there for longer: the run goes on elsewhere, before the engine is gone.
func TestRunIsMovedOffALeavingEngine(t *testing.T) {
	is := is.New(t)
	var noticed time.Time
	w, got, err := inBackedWorld(t, func(w *world, first state.InstanceID) {
		noticed = time.Now()
		w.up.moveHandle = "h9"
		w.up.onSend = func() { is.True(time.Since(noticed) <= 250*time.Millisecond) } // the pause that its caller was promised
		w.drain(first)
	}, reply{status: 200, events: true, body: begun, stall: time.Minute}, reply{status: 200, events: true, body: rest})
	is.NoErr(err)
	is.Equal(got, begun+rest)
	a := w.up.attempts
	is.Equal(*a[1].Source, KVSource{Instance: a[0].Instance, Handle: "h9"})
	is.Equal(a[1].LastEventID, "1")
	is.True(w.fleet.Accepts(a[1].Instance.ID))
	is.Equal(len(w.crashes.suspects), 0) // it left; nobody broke it
}

// A run that can't be moved stays at its engine for as long as that is there.
func TestRunThatCannotBeMovedStays(t *testing.T) {
	for name, c := range map[string]struct {
		handle string
		err    error
	}{"no room": {err: errors.New("answered 503")}, "no such run": {}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w, got, err := inBackedWorld(t, func(w *world, first state.InstanceID) {
				w.up.moveHandle, w.up.moveErr = c.handle, c.err
				w.drain(first)
			}, reply{status: 200, events: true, body: begun, stall: 2 * time.Second})
			is.NoErr(err)
			is.Equal(got, begun)
			is.Equal(len(w.up.moveRequests), 1) // tried once
		})
	}
}

// Runs that may be repeated, and engines that stay, are left alone.
func TestOnlyRunsThatMayNotBeRepeatedAreMoved(t *testing.T) {
	is := is.New(t)
	w, _, err := inBackedWorld(t, func(w *world, first state.InstanceID) {
		for _, e := range w.fleet.Instances("model") {
			if e.ID != first {
				w.drain(e.ID)
				break
			}
		}
	}, reply{status: 200, events: true, body: begun, stall: 2 * time.Second})
	is.NoErr(err)
	is.Equal(len(w.up.moveRequests), 0)
	repeatable := &Attempt{Request: modelRequest(9000, true), Instance: w.up.attempts[0].Instance}
	w.drain(repeatable.Instance.ID)
	is.True(!w.leaves(repeatable))
}

// A run whose request may not be sent once more isn't stopped: what is left of its engine's time
// may be enough for it.
func TestRunIsNotStoppedForAMoveThatIsNotAllowed(t *testing.T) {
	is := is.New(t)
	w, got, err := inBackedWorld(t, func(w *world, first state.InstanceID) {
		w.up.moveHandle = "h9"
		w.o.Budget = &countingBudget{}
		w.drain(first)
	}, reply{status: 200, events: true, body: begun, stall: 2 * time.Second})
	is.NoErr(err)
	is.Equal(got, begun)
	is.Equal(len(w.up.moveRequests), 0)
}
