package forward

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/state"
)

// Work that breaks off at a runner is told, with whether its answer was settled; what this
// host or the caller ended isn't.
func TestWorkThatBreaksOffIsTold(t *testing.T) {
	const settled, fresh = "settled", "fresh"
	for name, c := range map[string]struct {
		request *Request
		replies []reply
		want    []string
	}{
		"a call, before its answer":        {request(state.RouteUnsafe, 1, false), []reply{{err: errSent}}, []string{fresh}},
		"a call, in its answer":            {request(state.RouteUnsafe, 1, false), []reply{{status: 200, body: "do", readErr: io.ErrUnexpectedEOF}}, []string{fresh}},
		"a call at two runners":            {request(state.RouteSafe, 2, false), []reply{{err: errSent}, {status: 200, after: 2 * movedWithin, readErr: io.ErrUnexpectedEOF}}, []string{fresh, fresh}},
		"a stream, before its first event": {modelRequest(200, false), []reply{{status: 200, events: true, readErr: errors.New("reset")}}, []string{fresh}},
		"a stream, after its first event":  {onceStream(), []reply{{status: 200, events: true, body: "id: 1\ndata: x\n\n", readErr: errors.New("reset")}}, []string{fresh}},
		"a stream, after a while":          {onceStream(), []reply{{status: 200, events: true, body: "id: 1\n\n", stall: quarantine.LongRunningAfter, readErr: errors.New("reset")}}, []string{settled}},
		"a prompt that was being read":     {modelRequest(2000, false), []reply{{err: errSent}, {status: 200, body: "h"}, {status: 200, events: true, body: "id: 1\ndata: x\n\n"}}, []string{fresh}},
		"nothing was sent":                 {request(state.RouteUnsafe, 1, false), []reply{{err: errUnsent}, {status: 200}}, nil},
		"refused":                          {request(state.RouteUnsafe, 1, false), []reply{{status: 503, notRun: true}}, nil},
		"answered":                         {request(state.RouteUnsafe, 1, false), []reply{{status: 500}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, plenty, c.replies...)
			if answer, err := w.Forward(t.Context(), c.request); err == nil && answer.Stream != nil {
				_, _ = readAll(answer.Stream)
			}
			var got []string
			for _, work := range w.broken.work {
				is.Equal(work.RequestID, c.request.ID)
				if work.LongRunning {
					got = append(got, settled)
				} else {
					got = append(got, fresh)
				}
			}
			is.Equal(got, c.want)
		})
	}
}

// Engines that end together: the request is moved from one to the other within the time in
// which the news of the second one's end is on its way, and is not held against the request.
func TestRequestMovedToAnEndedRunnerIsNotSuspected(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration
		want  int
	}{
		"ended before it arrived": {2 * time.Millisecond, 1},
		"ended under it":          {movedWithin, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, plenty, reply{err: errSent}, reply{status: 200, after: c.after, body: "do", readErr: io.ErrUnexpectedEOF})
				_, err := w.Forward(t.Context(), request(state.RouteSafe, 2, false))
				is := is.New(t)
				is.True(err != nil)
				is.Equal(len(w.broken.work), c.want)
			})
		})
	}
}

func onceStream() *Request {
	r := modelRequest(200, false)
	r.Route.MaxAttempts = 1
	return r
}

func TestWorkThatTheCallerEndedIsNotTold(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, reply{hang: true})
	ctx, leave := context.WithCancel(t.Context())
	time.AfterFunc(10*time.Millisecond, leave)
	_, err := w.Forward(ctx, request(state.RouteUnsafe, 1, false))
	is.True(err != nil)
	is.Equal(len(w.broken.work), 0)
}
