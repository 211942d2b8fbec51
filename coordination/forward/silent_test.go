package forward

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/state"
)

const (
	// engineSilence is how long engines are silent in these tests: longer than a sound one, and not for good.
	engineSilence = 1500 * time.Millisecond
	// silentBody and restOfBody are a stream whose engine is silent after its first event.
	silentBody = "id: 1\ndata: a\n\n"
	restOfBody = "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"
)

var (
	busyReply   = reply{status: 503, notRun: true}
	silentReply = reply{status: 200, events: true, body: silentBody, stall: engineSilence, rest: restOfBody}
)

// resumableRequest is a stream that may be resumed and has time for its engine's silence.
func resumableRequest() *Request {
	r := modelRequest(500, true)
	r.Deadline = r.ArrivedAt.Add(10 * time.Second)
	r.Route.EventGap = 200 * time.Millisecond
	return r
}

// readSilent forwards a request whose engine is silent after its first event, and reads the stream.
func readSilent(t *testing.T, r func() *Request, replies ...reply) (w *world, got string, err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w = newWorld(t, plenty, replies...)
		answer, failed := w.Forward(t.Context(), r())
		if failed != nil {
			t.Fatal(failed)
		}
		w.up.silence(w.up.attempts[0].Instance.ID, engineSilence)
		got, err = readAll(answer.Stream)
	})
	return w, got, err
}

// Guards against an engine that works on a request for 400 ms and longer after it has gone on elsewhere: one that is silent
// for a second at most keeps its run, and one that is silent for longer is left 400 ms before it goes on at the earliest.
func TestRunOfASoundEngineIsNotTakenElsewhere(t *testing.T) {
	const allowed = 400 * time.Millisecond
	for name, request := range map[string]func() *Request{"resumable": resumableRequest, "at most once": backupRequest, "before its first event": prefilledRequest} {
		for silence := 100 * time.Millisecond; silence <= soundSilence+allowed; silence += 100 * time.Millisecond {
			t.Run(fmt.Sprint(name, ", silent for ", silence), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					r, first := request(), 0
					r.Deadline = r.ArrivedAt.Add(10 * time.Second)
					other := reply{status: 200, events: true, body: restOfBody}
					replies := []reply{{status: 200, events: true, body: silentBody, stall: silence, rest: restOfBody}, other, other}
					if name == "before its first event" {
						replies[0] = reply{status: 200, events: true, body: silentBody + restOfBody, delay: silence}
						replies, first = append([]reply{prefilled}, replies...), 1
					}
					w := newWorld(t, plenty, replies...)
					var sentAt []time.Time
					w.up.setOnSend(func() { sentAt = append(sentAt, time.Now()) })
					if first > 0 {
						for _, engine := range []string{"d1", "d2", "d3", "d4", "d5"} {
							w.up.silence(state.InstanceID{Name: engine}, silence)
						}
					}
					answer, err := w.Forward(t.Context(), r)
					is.NoErr(err)
					if first == 0 {
						w.up.silence(w.up.attempts[0].Instance.ID, silence)
					}
					_, err = readAll(answer.Stream)
					is.NoErr(err)
					goesOnAt := sentAt[first].Add(silence)
					if silence <= soundSilence {
						is.Equal(len(sentAt), first+1)
					} else if len(sentAt) > first+1 {
						is.True(goesOnAt.Sub(sentAt[first+1]) <= allowed)
					}
				})
			})
		}
	}
}

// Guards against streams that are broken off because their engine was silent for a moment and no other engine took
// them.
func TestStreamStaysAtSilentEngineIfNoOtherTakesIt(t *testing.T) {
	for name, c := range map[string]struct {
		request func() *Request
		other   reply
	}{
		"resumable, others are busy":                {resumableRequest, busyReply},
		"resumable, the other breaks off":           {resumableRequest, reply{err: errSent}},
		"resumable, the other breaks off unstarted": {resumableRequest, reply{status: 200, events: true, readErr: errSent}},
		"at most once, the backup is busy":          {backupRequest, busyReply},
		"at most once, the backup can't be reached": {backupRequest, reply{err: errUnsent}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			others := []reply{c.other, c.other, c.other, c.other, c.other, c.other, c.other, c.other}
			_, got, err := readSilent(t, c.request, append([]reply{silentReply}, others...)...)
			is.NoErr(err)
			is.Equal(got, silentBody+restOfBody)
		})
	}
}

// Guards against two runs of a request, one of which nobody reads: the silent engine's is cut once another run has
// brought its first event, and not before.
func TestSilentEngineIsCutAfterItsReplacementHasBegun(t *testing.T) {
	const firstEventAfter = 150 * time.Millisecond
	for name, request := range map[string]func() *Request{"resumable": resumableRequest, "at most once": backupRequest} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var sentAt time.Time
			var w *world
			synctest.Test(t, func(t *testing.T) {
				w = newWorld(t, plenty, silentReply, reply{status: 200, events: true, delay: firstEventAfter, body: restOfBody})
				answer, err := w.Forward(t.Context(), request())
				is.NoErr(err)
				w.up.silence(w.up.attempts[0].Instance.ID, engineSilence)
				w.up.setOnSend(func() { sentAt = time.Now() })
				got, err := readAll(answer.Stream)
				is.NoErr(err)
				is.Equal(got, silentBody+restOfBody)
			})
			is.Equal(len(w.up.attempts), 2)
			is.Equal(w.up.attempts[1].LastEventID, "1")
			is.Equal(w.up.abortedAt[0].Sub(sentAt), firstEventAfter)
		})
	}
}

// Guards against events that come twice: if the silent engine goes on first, its events count, and the other run is
// cancelled.
func TestSilentEngineThatGoesOnFirstKeepsItsStream(t *testing.T) {
	for name, request := range map[string]func() *Request{"resumable": resumableRequest, "at most once": backupRequest} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w, got, err := readSilent(t, request, silentReply, reply{status: 200, events: true, delay: 5 * time.Second, body: restOfBody})
			is.NoErr(err)
			is.Equal(got, silentBody+restOfBody)
			is.Equal(len(w.up.attempts), 2)
			is.Equal(w.up.aborts, 0)
		})
	}
}

// Guards against a lost replacement: the silent engine's connection breaks while another engine prepares to go on.
func TestReplacementOutlivesBreakOfSilentEngine(t *testing.T) {
	is := is.New(t)
	breaks := reply{status: 200, events: true, body: silentBody, stall: soundSilence + 200*time.Millisecond, readErr: errors.New("reset")}
	w, got, err := readSilent(t, resumableRequest, breaks, reply{status: 200, events: true, delay: 400 * time.Millisecond, body: restOfBody})
	is.NoErr(err)
	is.Equal(got, silentBody+restOfBody)
	is.Equal(len(w.up.attempts), 2)
}

// Guards against a stream that is refused although its engine was only silent: its first event is overdue, no other
// engine takes the request, and the first one goes on.
func TestRequestStaysAtSilentEngineBeforeItsFirstEvent(t *testing.T) {
	for name, first := range map[string]reply{
		"without a head":        {status: 200, events: true, body: silentBody + restOfBody, delay: engineSilence},
		"with a head, no event": {status: 200, events: true, stall: engineSilence, rest: silentBody + restOfBody},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, plenty, prefilled, first, busyReply, busyReply, busyReply, busyReply)
				for _, name := range []string{"d1", "d2", "d3", "d4", "d5"} {
					w.up.silence(state.InstanceID{Name: name}, engineSilence)
				}
				r := modelRequest(9000, true)
				r.Route.MaxAttempts = 3
				r.Deadline = r.ArrivedAt.Add(10 * time.Second)
				answer, err := w.Forward(t.Context(), r)
				is.NoErr(err)
				got, err := readAll(answer.Stream)
				is.NoErr(err)
				is.Equal(got, silentBody+restOfBody)
			})
		})
	}
}

// Guards against a second run that nobody reads: both engines bring a first event, and one run is cancelled.
func TestOneRunIsLeftAfterOverdueFirstEvent(t *testing.T) {
	for name, c := range map[string]struct {
		second time.Duration
		want   string
	}{
		"the second is first": {50 * time.Millisecond, "id: 1\ndata: second\n\n"},
		"the first is first":  {5 * time.Second, "id: 1\ndata: first\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, plenty, prefilled,
					reply{status: 200, events: true, body: "id: 1\ndata: first\n\n", delay: engineSilence},
					reply{status: 200, events: true, body: "id: 1\ndata: second\n\n", delay: c.second})
				for _, name := range []string{"d1", "d2", "d3", "d4", "d5"} {
					w.up.silence(state.InstanceID{Name: name}, engineSilence)
				}
				r := modelRequest(9000, true)
				r.Deadline = r.ArrivedAt.Add(10 * time.Second)
				answer, err := w.Forward(t.Context(), r)
				is.NoErr(err)
				got, err := readAll(answer.Stream)
				is.NoErr(err)
				is.Equal(got, c.want)
				for _, runner := range w.fleet.Runners("model") {
					is.Equal(runner.InFlight(), int64(0))
				}
			})
		})
	}
}
