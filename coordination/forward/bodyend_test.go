package forward

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/state"
)

// sixEvents are the events of a whole stream.
func sixEvents() string {
	var out strings.Builder
	for id := 1; id <= 6; id++ {
		fmt.Fprintf(&out, "id: %d\ndata: %s\n\n", id, strings.Repeat("x", 11))
	}
	return out.String()
}

// rest returns the events after the last whole one of a part of a stream.
func rest(whole, part string) string {
	end := strings.LastIndex(part, "\n\n")
	if end < 0 {
		return whole
	}
	return whole[end+2:]
}

// Guards against a stream that broke off inside an event being delivered as a complete one, or cleared as
// answered: whatever the framing, at each offset.
func TestStreamThatEndsInsideAnEventIsBroken(t *testing.T) {
	whole := sixEvents()
	for end, bodyEnd := range map[BodyEnd]error{EndFramed: io.EOF, EndConnection: ErrUnframed} {
		for offset := range len(whole) {
			part := whole[:offset]
			if strings.HasSuffix(part, "\n\n") || (end == EndFramed && offset == 0) {
				continue // no event is incomplete
			}
			t.Run(fmt.Sprint(end, offset, "resumable"), func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, plenty, reply{status: 200, events: true, body: part, readErr: bodyEnd}, reply{status: 200, events: true, body: rest(whole, part)})
				answer, err := w.Forward(t.Context(), modelRequest(500, true))
				is.NoErr(err)
				got, err := readAll(answer.Stream)
				is.NoErr(err)
				is.Equal(got, whole)
				is.Equal(len(w.up.attempts), 2)
				is.Equal(w.quarantine.answered, digestsOf(modelRequest(500, true)))
			})
			t.Run(fmt.Sprint(end, offset, "at most once"), func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, plenty, reply{status: 200, events: true, body: part, readErr: bodyEnd})
				answer, err := w.Forward(t.Context(), modelRequest(500, false))
				if !strings.Contains(part, "\n\n") {
					var refusal *Refusal
					is.True(errors.As(err, &refusal))
					is.True(!refusal.NotRun)
				} else {
					is.NoErr(err)
					_, err = readAll(answer.Stream)
					is.True(errors.Is(err, ErrStreamInterrupted))
				}
				is.Equal(len(w.up.attempts), 1)
				is.Equal(len(w.quarantine.answered), 0)
				is.Equal(len(w.crashes.suspects), 1)
			})
		}
	}
}

// Guards against a sound stream being broken off or repeated since its runner names no length: it is complete
// if it ends after a whole event.
func TestUnframedStreamThatEndsAfterAnEventIsComplete(t *testing.T) {
	is := is.New(t)
	whole := sixEvents()
	w := newWorld(t, plenty, reply{status: 200, events: true, body: whole, readErr: ErrUnframed})
	answer, err := w.Forward(t.Context(), modelRequest(500, true))
	is.NoErr(err)
	got, err := readAll(answer.Stream)
	is.NoErr(err)
	is.Equal(got, whole)
	is.Equal(len(w.up.attempts), 1)
}

// Guards against a stream that ends as complete since its killed engine's connection was closed in order between two
// events: it goes on elsewhere, or its caller sees that it broke off.
func TestUnframedStreamOfAnEndedEngineIsBroken(t *testing.T) {
	whole := sixEvents()
	for events := 1; events <= 6; events++ {
		part := strings.Join(strings.SplitAfter(whole, "\n\n")[:events], "")
		t.Run(fmt.Sprint(events, " events, resumable"), func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, plenty, reply{status: 200, events: true, body: part, readErr: ErrUnframed}, reply{status: 200, events: true, body: rest(whole, part)})
			answer, err := w.Forward(t.Context(), modelRequest(500, true))
			is.NoErr(err)
			w.up.ended = append(w.up.ended, w.up.attempts[0].Instance.ID)
			w.up.ending = events % maxEndProbes // the first probes meet the engine while it is being killed
			got, err := readAll(answer.Stream)
			is.NoErr(err)
			is.Equal(got, whole)
			is.Equal(w.up.attempts[1].LastEventID, fmt.Sprint(events))
		})
		t.Run(fmt.Sprint(events, " events, at most once"), func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, plenty, reply{status: 200, events: true, body: part, readErr: ErrUnframed})
			answer, err := w.Forward(t.Context(), modelRequest(500, false))
			is.NoErr(err)
			w.up.ended = append(w.up.ended, w.up.attempts[0].Instance.ID)
			got, err := readAll(answer.Stream)
			is.True(errors.Is(err, ErrStreamInterrupted))
			is.Equal(got, part)
		})
	}
}

// Guards against a stream being opened by a comment: until its first event has come, the request can be sent to
// another runner.
func TestCommentOpensNoStream(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, reply{status: 200, events: true, body: ": queued\n\n", readErr: ErrUnframed}, reply{status: 200, events: true, body: "id: 1\r\ndata: a\r\n\r\n"})
	answer, err := w.Forward(t.Context(), modelRequest(500, true))
	is.NoErr(err)
	got, err := readAll(answer.Stream)
	is.NoErr(err)
	is.Equal(got, "id: 1\r\ndata: a\r\n\r\n")
	is.Equal(len(w.up.attempts), 2)
}

// Guards against events being missed since their lines end as the HTML standard allows and the platform's own
// runners don't: the stream goes on after the last whole one.
func TestStreamResumesWhateverEndsItsLines(t *testing.T) {
	for _, eol := range []string{"\n", "\r\n", "\r"} {
		is := is.New(t)
		event := func(id string) string { return "id: " + id + eol + "data: x" + eol + eol }
		w := newWorld(t, plenty, reply{status: 200, events: true, body: event("1") + event("2") + "id: 3" + eol, readErr: ErrUnframed}, reply{status: 200, events: true, body: event("3")})
		answer, err := w.Forward(t.Context(), modelRequest(500, true))
		is.NoErr(err)
		got, err := readAll(answer.Stream)
		is.NoErr(err)
		is.Equal(got, event("1")+event("2")+event("3"))
		is.Equal(w.up.attempts[1].LastEventID, "2")
	}
}

// Guards against a request that crashes its runners being cleared by an answer without a length, which the crash
// itself may have ended: a suspect is cleared once its runner answers after that.
func TestUnframedAnswerClearsASuspectOnlyIfItsRunnerLives(t *testing.T) {
	events, call := sixEvents(), "answer"
	for name, c := range map[string]struct {
		events, framed, suspected, ended, cleared bool
	}{
		"call, framed":                           {framed: true, suspected: true, ended: true, cleared: true},
		"call of a suspect, runner ended":        {suspected: true, ended: true},
		"call of a suspect, runner lives":        {suspected: true, cleared: true},
		"call, not suspected":                    {},
		"stream, framed":                         {events: true, framed: true, suspected: true, ended: true, cleared: true},
		"stream of a suspect, runner ended":      {events: true, suspected: true, ended: true},
		"stream of a suspect, runner lives":      {events: true, suspected: true, cleared: true},
		"stream, not suspected, runner is ended": {events: true, ended: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r, a := request(state.RouteSafe, 1, false), reply{status: 200, body: call}
				if c.events {
					r, a = modelRequest(500, true), reply{status: 200, events: true, body: events}
				}
				if !c.framed {
					a.readErr = ErrUnframed
				}
				w := newWorld(t, plenty, a)
				w.quarantine.suspected = c.suspected
				if c.ended {
					w.up.setOnSend(func() { w.up.setUnresponsive(w.up.attempts[0].Instance.ID) })
				}
				answer, err := w.Forward(t.Context(), r)
				is.NoErr(err)
				if c.events {
					_, err = readAll(answer.Stream)
					is.NoErr(err)
				}
				time.Sleep(time.Second)
				synctest.Wait()
				var want []quarantine.Digest
				if c.cleared {
					want = digestsOf(r)
				}
				is.Equal(w.quarantine.answered, want)
			})
		})
	}
}

// Guards against events that come twice: a stream can only be resumed after an event that has an ID.
func TestStreamIsNotResumedAfterAnEventWithoutID(t *testing.T) {
	for name, body := range map[string]string{"no IDs": "data: a\n\nda", "last one without ID": "id: 1\ndata: a\n\ndata: b\n\nda", "ID reset": "id: 1\ndata: a\n\nid\ndata: b\n\nda"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, plenty, reply{status: 200, events: true, body: body, readErr: errors.New("reset")}, reply{status: 200, events: true, body: sixEvents()})
			answer, err := w.Forward(t.Context(), modelRequest(500, true))
			is.NoErr(err)
			got, err := readAll(answer.Stream)
			is.True(errors.Is(err, ErrStreamInterrupted))
			is.Equal(got, body[:len(body)-len("da")])
			is.Equal(len(w.up.attempts), 1)
		})
	}
}

// Guards against whole events being lost that arrive in the read in which the run breaks off: they are delivered, and the
// stream goes on after them.
func TestEventsOfTheLastReadAreDelivered(t *testing.T) {
	whole := sixEvents()
	part := whole[:strings.Index(whole, "id: 4")]
	for name, c := range map[string]reply{
		"framed, inside an event": {body: part + "id: 4\nda", readErr: io.EOF},
		"unframed":                {body: part + "id: 4\nda", readErr: ErrUnframed},
		"reset after an event":    {body: part, readErr: errors.New("reset")},
	} {
		c.status, c.events, c.endsRead = 200, true, true
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, plenty, c, reply{status: 200, events: true, body: whole[len(part):]})
			answer, err := w.Forward(t.Context(), modelRequest(500, true))
			is.NoErr(err)
			got, err := readAll(answer.Stream)
			is.NoErr(err)
			is.Equal(got, whole)
			is.Equal(w.up.attempts[1].LastEventID, "3")
		})
		t.Run(name+", later read", func(t *testing.T) {
			is := is.New(t)
			late := c
			late.body = strings.Repeat(": kept alive\n\n", 1) + c.body
			w := newWorld(t, plenty, late, reply{status: 200, events: true, body: whole[len(part):]})
			answer, err := w.Forward(t.Context(), modelRequest(500, true))
			is.NoErr(err)
			got, err := readAll(answer.Stream)
			is.NoErr(err)
			is.Equal(strings.TrimPrefix(got, ": kept alive\n\n"), whole)
		})
	}
}
