package forward

import (
	"errors"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/buffers/buffertest"
	"github.com/thymerack/thymerack/state"
)

// Guards against a bound that sound streams can't pass, and against the copying of a long event with each read.
func TestSoundStreamsPassWhole(t *testing.T) {
	const keepAlive = ": waiting for a slot\n\n"
	for name, body := range map[string]string{
		"long events":          "id: 1\ndata: " + strings.Repeat("x", 3<<18) + "\n\nid: 2\ndata: " + strings.Repeat("y", 3<<18) + "\n\n",
		"long stream":          strings.Repeat("id: 1\ndata: "+strings.Repeat("x", 8<<10)+"\n\n", 500),
		"comments":             strings.Repeat(keepAlive, 100) + "id: 1\ndata: a\n\n" + strings.Repeat(keepAlive, 1000) + "id: 2\ndata: b\n\n",
		"comments in an event": "id: 1\n" + strings.Repeat(": x\n", 1000) + "data: a\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, plenty, reply{status: 200, events: true, body: body})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			answer, err := w.Forward(t.Context(), request(state.RouteStream, 1, false))
			is.NoErr(err)
			got, err := readAll(answer.Stream)
			runtime.ReadMemStats(&after)
			is.NoErr(err)
			is.True(got == body)
			is.True(after.TotalAlloc-before.TotalAlloc < uint64(8*len(body)+1<<20))
			is.Equal(w.o.Buffers.Held(), int64(0))
		})
	}
}

// Guards against an event without end that ends its caller's answer as complete, or is blamed on the caller.
func TestEventWithoutEndInterruptsTheStream(t *testing.T) {
	is := is.New(t)
	const first = "id: 1\ndata: a\n\n"
	w := newWorld(t, plenty, reply{status: 200, events: true, body: first + strings.Repeat("x", 2*buffertest.MaxAnswerBytes)})
	answer, err := w.Forward(t.Context(), request(state.RouteStream, 1, false))
	is.NoErr(err)
	got, err := readAll(answer.Stream)
	is.True(errors.Is(err, ErrStreamInterrupted))
	is.Equal(got, first)
	is.Equal(w.up.aborts, 1)
	is.Equal(w.o.Buffers.Held(), int64(0))
}
