package forward

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/state"
)

// Guards against two engines that run one request: the answer of a resumable stream is lost while its engine goes on, which
// is asked to stop before the stream goes on elsewhere.
func TestResumableStreamIsStoppedBeforeItGoesOn(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(w *world, first state.InstanceID)
		// source is the engine from whose KV cache the stream goes on; "" for none.
		source func(w *world) *KVSource
		pause  time.Duration
	}{
		"stopped": {
			func(w *world, _ state.InstanceID) { w.up.setMove("h9", nil) },
			func(w *world) *KVSource { return &KVSource{Instance: w.up.attempts[0].Instance, Handle: "h9"} }, 0,
		},
		"stopped, but not copied": {
			func(w *world, _ state.InstanceID) { w.up.setMove("", &NotCopiedError{Handle: "h9"}) },
			func(w *world) *KVSource { return &KVSource{Instance: w.up.attempts[0].Instance, Handle: "h9"} }, 0,
		},
		"no such run":  {func(*world, state.InstanceID) {}, nil, 0},
		"refuses":      {func(w *world, _ state.InstanceID) { w.up.setMove("", errors.New("no")) }, nil, 0},
		"doesn't tell": {func(w *world, first state.InstanceID) { w.up.setUnresponsive(first) }, nil, probeTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, plenty,
					reply{status: 200, events: true, body: firstEvents, readErr: errors.New("reset")},
					reply{status: 200, events: true, body: laterEvents})
				answer, err := w.Forward(t.Context(), modelRequest(500, true))
				is.NoErr(err)
				c.prepare(w, w.up.attempts[0].Instance.ID)
				began := time.Now()
				got, err := readAll(answer.Stream)
				is.NoErr(err)
				is.Equal(got, firstEvents+laterEvents)
				is.Equal(time.Since(began), c.pause)
				is.Equal(w.up.moveRequests, []state.InstanceID{w.up.attempts[0].Instance.ID})
				is.Equal(w.up.attempts[1].LastEventID, "1")
				if c.source == nil {
					is.True(w.up.attempts[1].Source == nil)
				} else {
					is.Equal(*w.up.attempts[1].Source, *c.source(w))
				}
			})
		})
	}
}
