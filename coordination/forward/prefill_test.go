package forward

import (
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/backlog"
	"github.com/thymerack/thymerack/coordination/occupancy"
	"github.com/thymerack/thymerack/state"
)

func TestSeparatePrefillIsHandedToDecodeEngine(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, reply{status: 200, body: "h1"}, reply{status: 200, events: true, body: "id: 1\ndata: x\n\n"})
	answer, err := w.Forward(t.Context(), modelRequest(9000, true))
	is.NoErr(err)
	got, err := readAll(answer.Stream)
	is.NoErr(err)
	is.Equal(got, "id: 1\ndata: x\n\n")
	is.True(w.up.attempts[0].PrefillOnly)
	is.Equal(w.up.attempts[0].Instance.Role, state.RolePrefill)
	is.Equal(w.up.attempts[1].Instance.Role, state.RoleDecode)
	is.Equal(*w.up.attempts[1].Source, KVSource{Instance: w.up.attempts[0].Instance, Handle: "h1"})
}

// Guards against a prefill engine whose answer has no end: it is read for a handle only.
func TestPrefillWithoutEndIsDropped(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, reply{status: 200, body: strings.Repeat("h", 1<<20)}, prefilled, generated)
	answer, err := w.Forward(t.Context(), modelRequest(9000, true))
	is.NoErr(err)
	_, err = readAll(answer.Stream)
	is.NoErr(err)
	is.Equal(w.up.aborts, 1)
	is.Equal(w.up.attempts[2].Source.Instance, w.up.attempts[1].Instance)
}

func TestShortPromptHasNoSeparatePrefill(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, reply{status: 200, events: true, body: "id: 1\ndata: x\n\n"})
	answer, err := w.Forward(t.Context(), modelRequest(500, false))
	is.NoErr(err)
	_, err = readAll(answer.Stream)
	is.NoErr(err)
	is.Equal(w.up.attempts[0].Instance.Role, state.RoleDecode)
	is.True(w.up.attempts[0].Source == nil)
}

// Guards against the loss of a request whose run broke off before its first event: its engine may have taken the KV
// cache of the prompt, which can be taken once, so that every further engine refuses the request.
func TestLastAttemptAfterABrokenRunNeedsNoKVCache(t *testing.T) {
	gone := reply{status: 503, notRun: true}
	for _, c := range []struct {
		name        string
		maxAttempts int
		replies     []reply
	}{
		{"one retry", 2, []reply{prefilled, {err: errSent}, generated}},
		{"two retries, the cache is gone", 3, []reply{prefilled, {err: errSent}, gone, generated}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, plenty, c.replies...)
			r := modelRequest(9000, true)
			r.Route.MaxAttempts = c.maxAttempts
			answer, err := w.Forward(t.Context(), r)
			is.NoErr(err)
			_, err = readAll(answer.Stream)
			is.NoErr(err)
			last := len(c.replies) - 1
			for _, a := range w.up.attempts[1:last] {
				is.Equal(a.Source.Handle, "h1")
			}
			is.True(w.up.attempts[last].Source == nil)
			is.Equal(<-w.up.discarded, "h1") // it may still be there
		})
	}
}

func TestFailedPrefillFallsBackToDecodeEngine(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, reply{err: errSent}, reply{status: 503, notRun: true}, reply{status: 200, events: true, body: "id: 1\n\n"})
	answer, err := w.Forward(t.Context(), modelRequest(9000, true))
	is.NoErr(err)
	_, err = readAll(answer.Stream)
	is.NoErr(err)
	is.True(w.up.attempts[1].PrefillOnly)
	is.True(w.up.attempts[1].Instance.ID != w.up.attempts[0].Instance.ID)
	is.True(w.up.attempts[2].Source == nil)
}

// A refused prefill has reached an engine too, so that the next attempt is a retry.
func TestAttemptAfterRefusedPrefillIsRetry(t *testing.T) {
	refused := reply{status: 421, notRun: true}
	for _, c := range []struct {
		name     string
		budget   int
		replies  []reply
		attempts int
		served   bool
	}{
		{"no retry left", 0, []reply{refused}, 1, false},
		{"one retry left, second prefill accepted", 1, []reply{refused, prefilled, generated}, 3, true},
		{"one retry left, refused twice", 1, []reply{refused, refused}, 2, false},
		{"two retries left, refused twice", 2, []reply{refused, refused, generated}, 3, true},
		{"no retry left, second prefill after a broken one", 0, []reply{{err: errSent}, prefilled, generated}, 2, false},
		{"no retry left, first prefill unsent", 0, []reply{{err: errUnsent}, prefilled, generated}, 3, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, c.budget, c.replies...)
			answer, err := w.Forward(t.Context(), modelRequest(9000, true))
			is.Equal(len(w.up.attempts), c.attempts)
			if c.served {
				is.NoErr(err)
				_, err = readAll(answer.Stream)
				is.NoErr(err)
				return
			}
			var refusal *Refusal
			is.True(errors.As(err, &refusal))
			is.True(refusal.NotRun)
			is.True(refusal.RetryAfter > 0)
			is.Equal(refusal.Reason, ReasonBudget)
		})
	}
}

func TestUnresponsivePrefillEngineIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, plenty, reply{hang: true}, reply{status: 200, body: "h2"}, reply{status: 200, events: true, body: "id: 1\n\n"})
		w.gate.given = &backlog.Forecast{Reliable: true, Finish: 90 * time.Millisecond}
		r := modelRequest(9000, true)
		answer, err := w.Forward(t.Context(), r)
		is.NoErr(err)
		is.True(time.Since(r.ArrivedAt) < time.Second) // long before the deadline
		_, err = readAll(answer.Stream)
		is.NoErr(err)
		is.Equal(w.up.attempts[2].Source.Handle, "h2")
		for _, runner := range w.fleet.Runners("model") {
			is.Equal(runner.Suspect(time.Now()), runner.Instance.ID == w.up.attempts[0].Instance.ID)
		}
	})
}

// The answer is generated in the failure domain of the KV cache if transferring the cache to
// another one takes long.
func TestDecodeStaysNearSlowKVCache(t *testing.T) {
	is := is.New(t)
	r := modelRequest(17000, false)
	source := &KVSource{Instance: &state.Instance{FailureDomain: "d2"}}
	is.Equal(decodeDomain(r, source), "") // link bandwidth is unknown
	r.Engine = &state.EngineSpec{KVTokenBytes: 163_840, LinkBits: 1.6e12}
	is.Equal(decodeDomain(r, source), "d2") // 14 ms longer
	r.Engine.LinkBits = 8.8e12
	is.Equal(decodeDomain(r, source), "") // 2.5 ms longer
	is.Equal(decodeDomain(r, nil), "")
}

// An engine leaves the list while the owner of its count is asked for admission. Nothing is sent to
// it, and another engine computes the prompt.
func TestEngineRemovedDuringAdmissionIsSkipped(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, prefilled, generated, prefilled, generated)
	w.mustServe(t) // the session's engine has the prefix cached from now on
	var gone state.InstanceID
	w.gate.onEnter = func(a occupancy.Request) {
		if gone != (state.InstanceID{}) {
			return
		}
		gone = a.Engine
		var left []state.Instance
		for _, r := range w.fleet.Runners("model") {
			if r.Instance.ID != gone {
				left = append(left, *r.Instance)
			}
		}
		w.fleet.Update(left)
	}
	w.mustServe(t)
	is.True(gone != state.InstanceID{})
	is.Equal(w.up.attempts[0].Instance.ID, gone)
	is.True(w.up.attempts[2].Instance.ID != gone)
}

var (
	prefilled = reply{status: 200, body: "h1"}
	generated = reply{status: 200, events: true, body: "id: 1\n\n"}
)

// mustServe forwards a request with a long prompt and reads its answer.
func (w *world) mustServe(t *testing.T) {
	t.Helper()
	answer, err := w.Forward(t.Context(), modelRequest(9000, true))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := readAll(answer.Stream); err != nil {
		t.Fatal(err)
	}
}

func TestUnusedKVCacheIsDiscarded(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, reply{status: 200, body: "h1"}, reply{status: 503, notRun: true}, reply{status: 503, notRun: true})
	_, err := w.Forward(t.Context(), modelRequest(9000, true))
	var refusal *Refusal
	is.True(errors.As(err, &refusal))
	is.True(refusal.NotRun)
	is.Equal(<-w.up.discarded, "h1")
}
