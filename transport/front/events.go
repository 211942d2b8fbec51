package front

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"strconv"
	"sync"

	"github.com/thymerack/thymerack/coordination/answer"
	"github.com/thymerack/thymerack/protocol/callerapi"
	"github.com/thymerack/thymerack/protocol/engineapi"
)

// eventBytes is about how much of an answer is formatted at a time.
const eventBytes = 2 << 10

// eventStream is the body of a streamed response: server-sent events, numbered as
// the answer's tokens. The goroutine of the connection reads it and sends what
// each Read gives, so that a stream needs no goroutine, pipe and buffer between.
type eventStream struct {
	s    *Server
	id   string
	src  source
	conn net.Conn
	done func()
	once sync.Once

	// next is the number of the next token.
	next int
	// chunk was read from the answer and isn't formatted yet.
	chunk answer.Chunk
	// out is formatted; what is before taken has been read.
	out   []byte
	taken int
	// over is set once nothing follows out.
	over bool
	// before and behind are a token's event up to its text, and after it.
	before, behind []byte
}

func newEventStream(s *Server, id string, src source, conn net.Conn, from int, first answer.Chunk, done func()) *eventStream {
	e := &eventStream{s: s, id: id, src: src, conn: conn, done: done, next: from, chunk: first}
	e.format()
	if first.Empty() {
		e.probe()
	}
	return e
}

// Read implements io.Reader. An error other than io.EOF makes the library close
// the connection.
func (e *eventStream) Read(p []byte) (int, error) {
	for e.taken == len(e.out) {
		if e.over {
			return 0, io.EOF
		}
		e.out, e.taken = e.out[:0], 0
		if err := e.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(p, e.out[e.taken:])
	e.taken += n
	return n, nil
}

// Close implements io.Closer; the library calls it however the response ends.
func (e *eventStream) Close() error {
	e.once.Do(e.done)
	return nil
}

// fill waits for more of the answer and formats it.
func (e *eventStream) fill() error {
	if e.chunk.Empty() {
		var err error
		e.chunk, err = e.s.await(e.conn, e.src, e.next, e.s.o.ProbeInterval)
		switch {
		case errors.Is(err, errCallerGone):
			return err
		case err != nil:
			return e.fail(err)
		case e.chunk.Empty():
			e.probe()
			return nil
		}
	}
	for len(e.chunk.Tokens) > 0 && len(e.out) < eventBytes {
		e.token(e.chunk.Tokens[0])
		e.chunk.Tokens = e.chunk.Tokens[1:]
	}
	if len(e.chunk.Tokens) > 0 || e.chunk.End == nil {
		return nil
	}
	if err := e.chunk.End.Err; err != nil {
		return e.fail(err)
	}
	return e.end(e.chunk.End.Finish)
}

// probe adds a comment line, which shows whether the caller is still there and
// keeps the connection from idling.
func (e *eventStream) probe() { e.out = append(e.out, ": waiting\n\n"...) }

// token adds one numbered token.
func (e *eventStream) token(text string) {
	quoted, err := json.Marshal(text)
	if err != nil {
		return // a string can always be marshalled
	}
	e.number(e.next)
	e.out = append(e.out, e.before...)
	e.out = append(e.out, quoted...)
	e.out = append(e.out, e.behind...)
	e.next++
}

func (e *eventStream) number(n int) {
	e.out = append(e.out, "id: "...)
	e.out = strconv.AppendInt(e.out, int64(n), 10)
	e.out = append(e.out, '\n')
}

// end adds a last chunk without text, numbered as the token before it, that
// carries the finish reason, and the end mark.
func (e *eventStream) end(finish string) error {
	data, err := json.Marshal(e.event("", &finish))
	if err != nil {
		return err
	}
	e.number(e.next - 1)
	e.out = append(e.out, "data: "...)
	e.out = append(e.out, data...)
	e.out = append(e.out, "\n\ndata: "+engineapi.DoneMark+"\n\n"...)
	e.over = true
	return nil
}

// fail ends the stream with an error event and no end mark, so that nobody takes
// what was given for the whole answer.
func (e *eventStream) fail(err error) error {
	r := reportOf(err)
	e.s.o.Observer.Refused(r.kind)
	data, err := json.Marshal(r.body(e.id))
	if err != nil {
		return err
	}
	e.out = append(e.out, "event: error\ndata: "...)
	e.out = append(e.out, data...)
	e.out = append(e.out, "\n\n"...)
	e.over = true
	return nil
}

func (e *eventStream) event(text string, finish *string) callerapi.Completion {
	out := callerapi.Completion{ID: e.id, Object: "text_completion", Model: e.src.model()}
	choice := callerapi.Choice{Text: text, FinishReason: finish}
	if e.src.chat() {
		out.Object = "chat.completion.chunk"
		choice = callerapi.Choice{Delta: &engineapi.Message{Role: "assistant", Content: text}, FinishReason: finish}
	}
	out.Choices = []callerapi.Choice{choice}
	return out
}

// format prepares the events of tokens, which differ in the text only.
func (e *eventStream) format() {
	const mark = `"@"`
	data, err := json.Marshal(e.event("@", nil))
	at := bytes.LastIndex(data, []byte(mark)) // an id or model may hold the mark, too
	if err != nil || at < 0 {
		return // the types always can be marshalled
	}
	e.before = append([]byte("data: "), data[:at]...)
	e.behind = append(data[at+len(mark):len(data):len(data)], "\n\n"...)
}
