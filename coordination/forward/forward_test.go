package forward

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/state"
)

// A request that may run once is sent again only if no byte of it was sent, and a refusal says
// "not run" only if it can't have run.
func TestHoldsAtMostOnceForwarded(t *testing.T) {
	ok := reply{status: 200, body: "done"}
	for name, c := range map[string]struct {
		replies  []reply
		attempts int
		answered bool
		notRun   bool
	}{
		"answered":                     {[]reply{ok}, 1, true, false},
		"unsent, then answered":        {[]reply{{err: errUnsent}, {err: errUnsent}, ok}, 3, true, false},
		"broken off after sending":     {[]reply{{err: errSent}}, 1, false, false},
		"unsent, then broken off":      {[]reply{{err: errUnsent}, {err: errSent}}, 2, false, false},
		"broken off in the answer":     {[]reply{{status: 200, body: "do", readErr: io.ErrUnexpectedEOF}}, 1, false, false},
		"response without signature":   {[]reply{{status: 200, body: "done", unsigned: true}}, 1, false, false},
		"refused without running":      {[]reply{{status: 503, notRun: true}}, 1, false, true},
		"runner's failure is returned": {[]reply{{status: 500, body: "failed"}}, 1, true, false},
		"no runner reachable":          {[]reply{{err: errUnsent}, {err: errUnsent}, {err: errUnsent}, {err: errUnsent}, {err: errUnsent}}, 5, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, plenty, c.replies...)
			answer, err := w.Forward(t.Context(), request(state.RouteUnsafe, 1, false))
			is.Equal(len(w.up.attempts), c.attempts)
			is.Equal(answer != nil, c.answered)
			if answer == nil {
				var refusal *Refusal
				is.True(errors.As(err, &refusal))
				is.Equal(refusal.NotRun, c.notRun)
			}
		})
	}
}

func TestRepeatableCallIsRetried(t *testing.T) {
	ok := reply{status: 200, body: "done"}
	for name, c := range map[string]struct {
		budget   int
		replies  []reply
		attempts int
		status   int
	}{
		"after a broken attempt":                      {plenty, []reply{{err: errSent}, ok}, 2, 200},
		"after the runner's failure":                  {plenty, []reply{{status: 500}, ok}, 2, 200},
		"second failure is returned":                  {plenty, []reply{{status: 500}, {status: 500}}, 2, 500},
		"not beyond the route's attempts":             {plenty, []reply{{err: errSent}, {err: errSent}}, 2, 0},
		"failure is returned if the retry breaks off": {plenty, []reply{{status: 500}, {err: errSent}}, 2, 500},
		"not without budget":                          {0, []reply{{err: errSent}}, 1, 0},
		"failure is returned without budget":          {0, []reply{{status: 500}}, 1, 500},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, c.budget, c.replies...)
			answer, err := w.Forward(t.Context(), request(state.RouteSafe, 2, false))
			is.Equal(len(w.up.attempts), c.attempts)
			if c.status == 0 {
				is.True(err != nil)
				return
			}
			is.NoErr(err)
			is.Equal(answer.Head.Status, c.status)
			seen := map[state.InstanceID]bool{}
			for _, a := range w.up.attempts {
				is.True(!seen[a.Instance.ID]) // another runner each time
				seen[a.Instance.ID] = true
			}
		})
	}
}

func TestDeadlineEndsAttempt(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, reply{hang: true})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	r := request(state.RouteUnsafe, 1, false)
	r.Deadline = time.Now().Add(20 * time.Millisecond)
	_, err := w.Forward(ctx, r)
	var refusal *Refusal
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Reason, ReasonDeadline)
	is.Equal(refusal.NotRun, false)
}

func TestAttemptCarriesTimeLeft(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, reply{err: errUnsent}, reply{status: 200})
	r := request(state.RouteUnsafe, 1, false)
	r.ArrivedAt = r.ArrivedAt.Add(-time.Second)
	r.Deadline = r.ArrivedAt.Add(1500 * time.Millisecond)
	_, err := w.Forward(t.Context(), r)
	is.NoErr(err)
	for _, a := range w.up.attempts {
		is.True(a.TimeLeft > 0 && a.TimeLeft <= 500*time.Millisecond)
	}
}

func TestNoRetryAfterCallerLeft(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, reply{hang: true})
	ctx, leave := context.WithCancel(t.Context())
	time.AfterFunc(10*time.Millisecond, leave)
	_, err := w.Forward(ctx, request(state.RouteSafe, 2, false))
	var refusal *Refusal
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Reason, ReasonCancelled)
	is.Equal(len(w.up.attempts), 1)
}

func TestDrainingInstanceGetsNoRequest(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty)
	w.fleet.Update([]state.Instance{{ID: state.InstanceID{Name: "s1"}, Service: "plain", Draining: true}})
	_, err := w.Forward(t.Context(), request(state.RouteSafe, 2, false))
	var refusal *Refusal
	is.True(errors.As(err, &refusal))
	is.True(refusal.NotRun)
	is.True(refusal.RetryAfter > 0)
	is.Equal(len(w.up.attempts), 0)
}
