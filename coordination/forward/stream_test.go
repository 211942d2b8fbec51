package forward

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

func TestStreamResumesAfterLastWholeEvent(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty,
		reply{status: 200, events: true, body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", readErr: errors.New("reset")},
		reply{status: 200, events: true, body: "id: 3\ndata: c\n\n"})
	r := modelRequest(500, true)
	answer, err := w.Forward(t.Context(), r)
	is.NoErr(err)
	got, err := readAll(answer.Stream)
	is.NoErr(err)
	is.Equal(got, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n")
	is.Equal(w.up.attempts[1].LastEventID, "2")
	is.True(w.up.aborts >= 1) // the earlier run is aborted first
}

func TestNonRepeatableStreamIsNotResumed(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, reply{status: 200, events: true, body: "id: 1\ndata: a\n\nid: 2\nda", readErr: errors.New("reset")})
	answer, err := w.Forward(t.Context(), modelRequest(500, false))
	is.NoErr(err)
	got, err := readAll(answer.Stream)
	is.True(errors.Is(err, ErrStreamInterrupted))
	is.Equal(got, "id: 1\ndata: a\n\n")
	is.Equal(len(w.up.attempts), 1)
}

func TestResumeStopsAtMaxAttempts(t *testing.T) {
	is := is.New(t)
	cut := reply{status: 200, events: true, body: "id: 1\ndata: a\n\n", readErr: errors.New("reset")}
	w := newWorld(t, plenty, cut, reply{status: 200, events: true, readErr: errors.New("reset")})
	answer, err := w.Forward(t.Context(), modelRequest(500, true))
	is.NoErr(err)
	_, err = readAll(answer.Stream)
	is.True(errors.Is(err, ErrStreamInterrupted))
	is.Equal(len(w.up.attempts), 2)
}
