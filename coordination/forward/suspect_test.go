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

// A request that breaks off at a runner is reported, together with whether its answer was
// settled. Complete answers and refusals aren't reported.
func TestBrokenAttemptIsReported(t *testing.T) {
	const settled, fresh = "settled", "fresh"
	for name, c := range map[string]struct {
		request *Request
		replies []reply
		want    []string
	}{
		"call, before its answer":        {request(state.RouteUnsafe, 1, false), []reply{{err: errSent}}, []string{fresh}},
		"call, in its answer":            {request(state.RouteUnsafe, 1, false), []reply{{status: 200, body: "do", readErr: io.ErrUnexpectedEOF}}, []string{fresh}},
		"call, at two runners":           {request(state.RouteSafe, 2, false), []reply{{err: errSent}, {status: 200, delay: 2 * crashNoticeDelay, readErr: io.ErrUnexpectedEOF}}, []string{fresh, fresh}},
		"stream, before its first event": {modelRequest(200, false), []reply{{status: 200, events: true, readErr: errors.New("reset")}}, []string{fresh}},
		"stream, after its first event":  {singleAttemptStream(), []reply{{status: 200, events: true, body: "id: 1\ndata: x\n\n", readErr: errors.New("reset")}}, []string{fresh}},
		"stream, after a settled answer": {singleAttemptStream(), []reply{{status: 200, events: true, body: "id: 1\n\n", stall: quarantine.LongRunningAfter, readErr: errors.New("reset")}}, []string{settled}},
		"separate prefill":               {modelRequest(2000, false), []reply{{err: errSent}, {status: 200, body: "h"}, {status: 200, events: true, body: "id: 1\ndata: x\n\n"}}, []string{fresh}},
		"unsent":                         {request(state.RouteUnsafe, 1, false), []reply{{err: errUnsent}, {status: 200}}, nil},
		"refused":                        {request(state.RouteUnsafe, 1, false), []reply{{status: 503, notRun: true}}, nil},
		"answered":                       {request(state.RouteUnsafe, 1, false), []reply{{status: 500}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, plenty, c.replies...)
			if answer, err := w.Forward(t.Context(), c.request); err == nil && answer.Stream != nil {
				_, _ = readAll(answer.Stream)
			}
			var got []string
			for _, suspect := range w.crashes.suspects {
				is.Equal(suspect.RequestID, c.request.ID)
				if suspect.LongRunning {
					got = append(got, settled)
				} else {
					got = append(got, fresh)
				}
			}
			is.Equal(got, c.want)
		})
	}
}

// Two engines end together, and the request is retried at the second one before its end is known.
// The second failure must not count against the request.
func TestRetryAtEndedRunnerIsNotReported(t *testing.T) {
	for name, c := range map[string]struct {
		delay time.Duration
		want  int
	}{
		"second runner had ended before the retry":   {2 * time.Millisecond, 1},
		"second runner ended while it ran the retry": {crashNoticeDelay, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, plenty, reply{err: errSent}, reply{status: 200, delay: c.delay, body: "do", readErr: io.ErrUnexpectedEOF})
				_, err := w.Forward(t.Context(), request(state.RouteSafe, 2, false))
				is := is.New(t)
				is.True(err != nil)
				is.Equal(len(w.crashes.suspects), c.want)
			})
		})
	}
}

func singleAttemptStream() *Request {
	r := modelRequest(200, false)
	r.Route.MaxAttempts = 1
	return r
}

func TestAttemptCancelledByCallerIsNotReported(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, reply{hang: true})
	ctx, leave := context.WithCancel(t.Context())
	time.AfterFunc(10*time.Millisecond, leave)
	_, err := w.Forward(ctx, request(state.RouteUnsafe, 1, false))
	is.True(err != nil)
	is.Equal(len(w.crashes.suspects), 0)
}
